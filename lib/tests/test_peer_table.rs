//! Which peers a daemon sends its digests to, and which ones it relies on for polls and snapshots.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use comfreymux_lib::cluster::digest::Digest;
use comfreymux_lib::cluster::digest::LeaseReport;
use comfreymux_lib::cluster::peer_table::PeerTable;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(100);

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + n))
}

/// Returns a table of `count` peers, every second of them in another data centre; the last one holds the lease.
fn table(count: u16) -> PeerTable {
    let mut peers = PeerTable::default();
    for n in 0..count {
        let lease =
            (n + 1 == count).then_some(LeaseReport { fence: 1, remaining_ms: 1000, feed_end: 1 });
        let centre = ["near", "far"][usize::from(n % 2)];
        let digest = Digest { lease, ..digest(centre, Duration::ZERO) };
        peers.record_digest(&format!("d{n}").into(), addr(n), n.into(), &digest, NOW);
    }
    peers
}

fn digest(centre: &str, config_age: Duration) -> Digest {
    Digest {
        centre: centre.into(),
        config_version: 1,
        config_age: config_age.as_millis() as u32,
        servers_end: 1,
        departures: Vec::new(),
        ready: true,
        is_small: false,
        workloads: Vec::new(),
        limits: <_>::default(),
        quarantine: <_>::default(),
        lease: None,
    }
}

fn record_digest(peers: &mut PeerTable, n: u16, centre: &str, config_age: Duration, now: Duration) {
    let _was_unreachable = peers.record_digest(
        &format!("d{n}").into(),
        addr(n),
        n.into(),
        &digest(centre, config_age),
        now,
    );
}

/// Guards against unnecessary load on the store: each of 72 daemons polled the configuration every second, although
/// two per data centre suffice.
#[test]
fn readers_few() {
    let mut peers = PeerTable::default();
    assert!(peers.polls_config("d1", "near", NOW), "a daemon without known peers must poll");
    record_digest(&mut peers, 0, "far", Duration::ZERO, NOW);
    record_digest(&mut peers, 1, "near", Duration::ZERO, NOW);
    record_digest(&mut peers, 2, "near", Duration::ZERO, NOW);
    record_digest(&mut peers, 3, "near", Duration::ZERO, NOW);
    let often = |id: &str| peers.polls_config(id, "near", NOW);
    assert_eq!(["d1", "d2", "d3", "d4"].map(often), [true, true, false, false]);
    assert!(peers.polls_config("d4", "far", NOW));
}

/// Guards against a data centre that misses a new version for six seconds: of the two daemons that poll the
/// configuration, one is disconnected from the store but still sends digests, and the other has stopped. The next two
/// must replace them.
#[test]
fn readers_replaced() {
    let mut peers = PeerTable::default();
    let second = Duration::from_secs(1);
    record_digest(&mut peers, 1, "near", Duration::ZERO, NOW);
    record_digest(&mut peers, 2, "near", Duration::ZERO, NOW);
    assert!(!peers.polls_config("d3", "near", NOW + second));
    let later = NOW + second * 2;
    record_digest(&mut peers, 1, "near", second * 3, later);
    assert!(peers.polls_config("d3", "near", later));
    assert!(peers.polls_config("d4", "near", later));
    record_digest(&mut peers, 1, "near", Duration::ZERO, later);
    record_digest(&mut peers, 3, "near", Duration::ZERO, later);
    assert!(!peers.polls_config("d4", "near", later), "the first and the third poll");
}

/// Guards against an overloaded peer: with a slow store, all daemons are behind and fetch the configuration from the
/// first peer by name. Its link is saturated for seconds, fetches time out, and each daemon asks it again.
#[test]
fn fetches_spread() {
    let peers = table(20);
    let source = |centre: &str, turn| {
        peers.update_source(|p| p.config_version > 0, centre, turn, NOW).expect("a peer")
    };
    let asked: BTreeSet<_> = (7..17).map(|turn| source("near", turn)).collect();
    assert_eq!(asked.len(), 10, "each fetch must use another peer");
    let near: BTreeSet<_> = (0..20).step_by(2).map(addr).collect();
    assert_eq!(asked, near, "traffic between data centres is billed");
    let asked: BTreeSet<_> = (0..20).map(|turn| source("elsewhere", turn)).collect();
    assert_eq!(asked.len(), 20);
    assert_eq!(peers.update_source(|p| p.config_version > 1, "near", 0, NOW), None);
    assert!(peers.update_source(|p| p.servers_end > 0, "near", 0, NOW).is_some());
}

/// Guards against unnecessary polls in a fleet of hundreds, where digests arrive seconds apart: between two digests all
/// daemons considered the ones that poll the configuration as failed, polled it themselves, and cancelled calls that
/// were properly waiting. The store got five times as many calls as necessary.
#[rstest]
#[case::small(12)]
#[case::large(72)]
#[case::largest(300)]
fn readers_kept(#[case] count: u16) {
    let mut peers = PeerTable::default();
    let age = Duration::from_secs(1);
    for n in 3..count {
        record_digest(&mut peers, n, "far", age, NOW);
    }
    record_digest(&mut peers, 1, "near", age, NOW);
    record_digest(&mut peers, 2, "near", age, NOW);
    let interval = peers.digest_interval();
    assert!(!peers.polls_config("d3", "near", NOW + interval), "before the next digest");
    assert!(peers.polls_config("d3", "near", NOW + interval * 3 + Duration::from_secs(2)));
}

/// Guards against digests from all to all in a fleet of hundreds: one every 2.5 s took 35,000 datagrams a second, most
/// of them between data centres, where traffic is billed, and servers were chosen by workloads seconds old. Two readers
/// of a daemon's data centre must get its digest three times a second, the other daemons one in rotation, so that all
/// know that it is running.
#[rstest]
#[case::small(8, 4, 8, 4)]
#[case::large_first(72, 0, 72, 36)]
#[case::large(72, 3, 7, 1)]
#[case::largest(300, 3, 18, 1)]
fn readers_told(#[case] count: u16, #[case] round: u64, #[case] most: usize, #[case] far: usize) {
    let peers = table(count);
    let targets = peers.digest_targets("near", round, NOW);
    assert!(targets.len() <= most, "{} digests are sent", targets.len());
    let is_far = |a: &&SocketAddr| (a.port() - 9_000) % 2 == 1;
    assert_eq!(targets.iter().filter(is_far).count(), far);
    let readers = [addr(0), addr(2)];
    assert!(readers.iter().all(|r| targets.contains(r)), "readers and the next in rank get it");
}

/// Every peer in a large fleet must get a digest from time to time. Otherwise peers would consider the sender as
/// removed and divide shared limits among fewer daemons than there are.
#[test]
fn all_told() {
    let peers = table(300);
    let targets: BTreeSet<_> =
        (3..303).flat_map(|round| peers.digest_targets("near", round, NOW)).collect();
    assert_eq!(targets.len(), 300);
}
