//! Whom a daemon tells its state, and how often.

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
        let digest = Digest {
            centre: ["near", "far"][usize::from(n % 2)].into(),
            config: 1,
            servers: 1,
            left: Vec::new(),
            ready: true,
            loads: Vec::new(),
            tenure,
        };
        peers.heard(&format!("d{n}").into(), addr(n), n.into(), &digest, NOW);
    }
    peers
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
