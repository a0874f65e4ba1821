//! Whom a daemon tells its state, and how often.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use comfreymux_lib::picture::digest::Digest;
use comfreymux_lib::picture::digest::TenureNote;
use comfreymux_lib::picture::peer_table::PeerTable;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(100);

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + n))
}

/// A table of `count` peers, every second of them in another data centre; the last one holds the lease.
fn table(count: u16) -> PeerTable {
    let mut peers = PeerTable::default();
    for n in 0..count {
        let tenure = (n + 1 == count).then_some(TenureNote { fence: 1, left_ms: 1000, end: 1 });
        let centre = ["near", "far"][usize::from(n % 2)];
        let digest = Digest { tenure, ..digest(centre, Duration::ZERO) };
        peers.heard(&format!("d{n}").into(), addr(n), n.into(), &digest, NOW);
    }
    peers
}

fn digest(centre: &str, config_age: Duration) -> Digest {
    Digest {
        centre: centre.into(),
        config: 1,
        config_age: config_age.as_millis() as u32,
        servers: 1,
        left: Vec::new(),
        ready: true,
        loads: Vec::new(),
        tenure: None,
    }
}

fn hear(peers: &mut PeerTable, n: u16, centre: &str, config_age: Duration, now: Duration) {
    let _was_silent =
        peers.heard(&format!("d{n}").into(), addr(n), n.into(), &digest(centre, config_age), now);
}

/// Each of 72 daemons asked the store for the configuration each second; two in a data centre do.
#[test]
fn readers_few() {
    let mut peers = PeerTable::default();
    assert!(peers.reads_often("d1", "near", NOW), "one that knows nobody asks itself");
    hear(&mut peers, 0, "far", Duration::ZERO, NOW);
    hear(&mut peers, 1, "near", Duration::ZERO, NOW);
    hear(&mut peers, 2, "near", Duration::ZERO, NOW);
    hear(&mut peers, 3, "near", Duration::ZERO, NOW);
    let often = |id: &str| peers.reads_often(id, "near", NOW);
    assert_eq!(["d1", "d2", "d3", "d4"].map(often), [true, true, false, false]);
    assert!(peers.reads_often("d4", "far", NOW));
}

/// A version stays unseen in a data centre for six seconds. Of the two daemons that ask for it one is cut off
/// from the store and goes on telling its peers, the other has stopped; the next two take their part.
#[test]
fn readers_replaced() {
    let mut peers = PeerTable::default();
    let second = Duration::from_secs(1);
    hear(&mut peers, 1, "near", Duration::ZERO, NOW);
    hear(&mut peers, 2, "near", Duration::ZERO, NOW);
    assert!(!peers.reads_often("d3", "near", NOW + second));
    let later = NOW + second * 2;
    hear(&mut peers, 1, "near", second * 3, later);
    assert!(peers.reads_often("d3", "near", later));
    assert!(peers.reads_often("d4", "near", later));
    hear(&mut peers, 1, "near", Duration::ZERO, later);
    hear(&mut peers, 3, "near", Duration::ZERO, later);
    assert!(!peers.reads_often("d4", "near", later), "the first and the third do");
}

/// The store is slow, all daemons are behind and fetch the configuration from the same peer, the first by name.
/// Its link is full for seconds, fetches end without a result, and each daemon asks it again.
#[test]
fn fetches_spread() {
    let peers = table(20);
    let told = |centre: &str, turn| peers.ahead(0, None, centre, turn, NOW).expect("a peer");
    let asked: BTreeSet<_> = (7..17).map(|turn| told("near", turn)).collect();
    assert_eq!(asked.len(), 10, "each once");
    let near: BTreeSet<_> = (0..20).step_by(2).map(addr).collect();
    assert_eq!(asked, near, "bytes between data centres are paid for");
    let asked: BTreeSet<_> = (0..20).map(|turn| told("elsewhere", turn)).collect();
    assert_eq!(asked.len(), 20);
    assert_eq!(peers.ahead(1, None, "near", 0, NOW), None);
    assert!(peers.ahead(1, Some(0), "near", 0, NOW).is_some());
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
    let gap = peers.digest_gap();
    assert!(!peers.reads_often("d3", "near", NOW + gap), "before the next digest");
    assert!(peers.reads_often("d3", "near", NOW + gap * 3 + Duration::from_secs(2)));
}

/// Bytes between data centres are paid for; in a large fleet most of them were digests.
#[rstest]
#[case::small(8, 0, 8)]
#[case::small_odd(8, 1, 8)]
#[case::large(72, 0, 72)]
#[case::large_odd(72, 1, 37)]
fn distant_seldom(#[case] count: u16, #[case] round: u64, #[case] told: usize) {
    let peers = table(count);
    let list: Vec<_> = peers.listeners("near", round).collect();
    assert_eq!(list.len(), told);
    assert!(list.contains(&addr(count - 1)), "the holder is told always");
}
