//! Updates of the configuration between peers.

use bytes::Bytes;
use comfreymux_lib::cluster::config_history::ConfigHistory;
use comfreymux_lib::cluster::peer_update::Compressed;
use comfreymux_lib::cluster::peer_update::ConfigUpdate;
use comfreymux_lib::cluster::peer_update::MAX_UPDATE_BYTES;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Bytes of the update that a change of one route may take.
const SMALL_UPDATE: usize = 8 * 1024;

/// Returns a table of `routes` routes with random names; `changed` of them differ from those of other tables.
fn table(routes: usize, changed: usize) -> Bytes {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut text = String::new();
    for n in 0..routes {
        let name: u64 = rng.random();
        let host = if n < changed { n } else { 0 };
        let route = format!("\"name\":\"{name:016x}\",\"host\":\"host{host}.example\"");
        text.push_str(&route);
    }
    Bytes::from(text)
}

fn update(history: &mut ConfigHistory, known: &ConfigHistory) -> ConfigUpdate {
    let update = history.update_from(known.newest()).expect("an update").expect("a later version");
    (*update).clone()
}

/// Guards against updates whose size follows that of the configuration: a change of one route must stay small.
#[rstest]
#[case(50)]
#[case(4_000)]
#[case(60_000)]
fn small_update(#[case] routes: usize) {
    let (mut ahead, mut behind) = (ConfigHistory::default(), ConfigHistory::default());
    let (old, new) = (table(routes, 0), table(routes, 1));
    behind.push(3, old.clone());
    ahead.push(3, old);
    ahead.push(5, new.clone());
    let update = update(&mut ahead, &behind);
    assert_eq!(behind.restore(&update).expect("the version"), new);
    assert!(update.content.bytes.len() <= SMALL_UPDATE, "{} bytes", update.content.bytes.len());
}

/// Guards against a peer that gets nothing, or an update that it cannot use, because its version is not kept.
#[rstest]
fn whole_version(#[values(false, true)] has_other_bytes: bool) {
    let (mut ahead, mut behind) = (ConfigHistory::default(), ConfigHistory::default());
    behind.push(1, table(20, 2));
    ahead.push(if has_other_bytes { 1 } else { 2 }, table(20, 0));
    ahead.push(5, table(20, 3));
    let update = update(&mut ahead, &behind);
    assert_eq!(update.base, None);
    assert_eq!(behind.restore(&update).expect("the version"), table(20, 3));
}

/// Guards against transfers of what the peer has already.
#[test]
fn nothing_later() {
    let mut history = ConfigHistory::default();
    assert_eq!(history.update_from(None).expect("no update"), None);
    history.push(4, table(3, 0));
    let known = history.newest();
    assert_eq!(history.update_from(known).expect("no update"), None);
}

/// Guards against a configuration that is not the peer's, and against one that fills the memory.
#[test]
fn damaged_update() {
    let mut ahead = ConfigHistory::default();
    ahead.push(2, table(50, 0));
    let good = update(&mut ahead, &ConfigHistory::default());
    let behind = ConfigHistory::default();
    let mut changed = good.clone();
    changed.id.checksum ^= 1;
    behind.restore(&changed).expect_err("another checksum");
    let mut longer = good.clone();
    longer.content.length -= 1;
    behind.restore(&longer).expect_err("another length");
    let mut cut = good;
    cut.content.bytes.truncate(20);
    behind.restore(&cut).expect_err("cut off");
    let huge = vec![0; MAX_UPDATE_BYTES + 1];
    let bomb = Compressed::new(&huge, &[]).expect("compressed");
    bomb.restore(&[]).expect_err("too large");
}

/// Guards against memory that grows with the number of versions.
#[test]
fn few_kept() {
    let mut history = ConfigHistory::default();
    let old = table(5, 0);
    history.push(1, old.clone());
    let mut behind = ConfigHistory::default();
    behind.push(1, old);
    for version in 2..12 {
        history.push(version, table(5, version as usize));
    }
    assert_eq!(update(&mut history, &behind).base, None, "version 1 is not kept any more");
}
