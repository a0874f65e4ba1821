//! Lines of the log about records that cannot be read.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::unreadable_records::UnreadableRecords;
use comfreymux_lib::store::Feed;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

/// A listing shows the same broken record at each read, and another program writes it anew with each of
/// its heartbeats; the log must tell of it once, until the record is sound again.
#[test]
fn logged_once() {
    let mut table = UnreadableRecords::default();
    let reason = |column: u32| format!("missing field `state` at line 1 column {column}");
    let note = table.record(Feed::Servers, "a", &reason(9), ms(0)).expect("news");
    assert_eq!((note.key.as_str(), note.reason.as_str()), ("a", "missing field `state`"));
    assert_eq!(table.record(Feed::Servers, "a", &reason(10), ms(100)), None);
    assert!(table.record(Feed::Daemons, "a", &reason(9), ms(100)).is_some());
    assert!(table.record(Feed::Servers, "a", "no text", ms(200)).is_some());
    table.clear(Feed::Servers, "a");
    assert!(table.record(Feed::Servers, "a", "no text", ms(300)).is_some());
}

/// Another program writes thousands of records. The log stays readable and says how many it left out.
#[test]
fn lines_bounded() {
    let mut table = UnreadableRecords::default();
    let key = |n: u64| "k".repeat(200) + &n.to_string();
    let lines = (0..5_000)
        .filter(|n| table.record(Feed::Servers, &n.to_string(), &key(*n), ms(*n)).is_some());
    let lines = lines.count();
    assert!((1..=20).contains(&lines), "{lines} lines in five seconds");
    let late = table.record(Feed::Servers, "late", &key(1), ms(70_000)).expect("a new window");
    assert_eq!(late.unlogged + lines as u64, 5_000);
    assert!(late.reason.chars().count() <= 120);
}
