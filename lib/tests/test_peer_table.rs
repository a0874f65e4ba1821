//! Whom a daemon tells its state, and how often.

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

/// A table of `count` peers, every second of them in another data centre; the last one holds the lease.
fn table(count: u16) -> PeerTable {
    let mut peers = PeerTable::default();
    for n in 0..count {
        let lease = (n + 1 == count).then_some(LeaseReport { fence: 1, left_ms: 1000, end: 1 });
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

fn hear(peers: &mut PeerTable, n: u16, centre: &str, config_age: Duration, now: Duration) {
    let _was_silent = peers.record_digest(
        &format!("d{n}").into(),
        addr(n),
        n.into(),
        &digest(centre, config_age),
        now,
    );
}

/// Each of 72 daemons asked the store for the configuration each second; two in a data centre do.
#[test]
fn readers_few() {
    let mut peers = PeerTable::default();
    assert!(peers.polls_config("d1", "near", NOW), "one that knows nobody asks itself");
    hear(&mut peers, 0, "far", Duration::ZERO, NOW);
    hear(&mut peers, 1, "near", Duration::ZERO, NOW);
    hear(&mut peers, 2, "near", Duration::ZERO, NOW);
    hear(&mut peers, 3, "near", Duration::ZERO, NOW);
    let often = |id: &str| peers.polls_config(id, "near", NOW);
    assert_eq!(["d1", "d2", "d3", "d4"].map(often), [true, true, false, false]);
    assert!(peers.polls_config("d4", "far", NOW));
}

/// A version stays unseen in a data centre for six seconds. Of the two daemons that ask for it one is cut off
/// from the store and goes on telling its peers, the other has stopped; the next two take their part.
#[test]
fn readers_replaced() {
    let mut peers = PeerTable::default();
    let second = Duration::from_secs(1);
    hear(&mut peers, 1, "near", Duration::ZERO, NOW);
    hear(&mut peers, 2, "near", Duration::ZERO, NOW);
    assert!(!peers.polls_config("d3", "near", NOW + second));
    let later = NOW + second * 2;
    hear(&mut peers, 1, "near", second * 3, later);
    assert!(peers.polls_config("d3", "near", later));
    assert!(peers.polls_config("d4", "near", later));
    hear(&mut peers, 1, "near", Duration::ZERO, later);
    hear(&mut peers, 3, "near", Duration::ZERO, later);
    assert!(!peers.polls_config("d4", "near", later), "the first and the third do");
}

/// The store is slow, all daemons are behind and fetch the configuration from the same peer, the first by name.
/// Its link is full for seconds, fetches end without a result, and each daemon asks it again.
#[test]
fn fetches_spread() {
    let peers = table(20);
    let told =
        |centre: &str, turn| peers.snapshot_source(0, None, centre, turn, NOW).expect("a peer");
    let asked: BTreeSet<_> = (7..17).map(|turn| told("near", turn)).collect();
    assert_eq!(asked.len(), 10, "each once");
    let near: BTreeSet<_> = (0..20).step_by(2).map(addr).collect();
    assert_eq!(asked, near, "bytes between data centres are paid for");
    let asked: BTreeSet<_> = (0..20).map(|turn| told("elsewhere", turn)).collect();
    assert_eq!(asked.len(), 20);
    assert_eq!(peers.snapshot_source(1, None, "near", 0, NOW), None);
    assert!(peers.snapshot_source(1, Some(0), "near", 0, NOW).is_some());
}

/// In a fleet of hundreds, digests come seconds apart. All daemons take those that ask for the configuration on
/// their behalf for dead between two digests, ask themselves, and give up calls that wait well: the
/// store is asked five times as often as it need be.
#[rstest]
#[case::small(12)]
#[case::large(72)]
#[case::largest(300)]
fn readers_kept(#[case] count: u16) {
    let mut peers = PeerTable::default();
    let age = Duration::from_secs(1);
    for n in 3..count {
        hear(&mut peers, n, "far", age, NOW);
    }
    hear(&mut peers, 1, "near", age, NOW);
    hear(&mut peers, 2, "near", age, NOW);
    let gap = peers.digest_interval();
    assert!(!peers.polls_config("d3", "near", NOW + gap), "before the next digest");
    assert!(peers.polls_config("d3", "near", NOW + gap * 3 + Duration::from_secs(2)));
}

/// Hundreds of daemons told each other their state every 2.5 s: 35,000 datagrams a second, most of them between data
/// centres, where bytes are paid for, and each chose servers by what others did seconds ago. Now two readers of a
/// daemon's own data centre hear it three times a second, and of the others one in turn, so that all know that it lives.
#[rstest]
#[case::small(8, 4, 8, 4)]
#[case::large_first(72, 0, 72, 36)]
#[case::large(72, 3, 7, 1)]
#[case::largest(300, 3, 18, 1)]
fn readers_told(#[case] count: u16, #[case] round: u64, #[case] most: usize, #[case] far: usize) {
    let peers = table(count);
    let list = peers.digest_targets("near", round, NOW);
    assert!(list.len() <= most, "{} are told", list.len());
    let is_far = |a: &&SocketAddr| (a.port() - 9_000) % 2 == 1;
    assert_eq!(list.iter().filter(is_far).count(), far);
    let first = [addr(0), addr(2)];
    assert!(first.iter().all(|reader| list.contains(reader)), "who reads or will read is told");
}

/// A daemon of a large fleet is told of by all others once in a while: nobody may take it for gone, or come to share
/// with fewer daemons than there are.
#[test]
fn all_told() {
    let peers = table(300);
    let told: BTreeSet<_> =
        (3..303).flat_map(|round| peers.digest_targets("near", round, NOW)).collect();
    assert_eq!(told.len(), 300);
}
