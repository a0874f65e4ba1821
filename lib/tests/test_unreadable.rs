//! Log lines about records of the store that cannot be parsed.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::unreadable_records::UnreadableRecords;
use comfreymux_lib::store::Feed;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

/// Each listing contains the same malformed record, and another program rewrites it with each of its heartbeats: it
/// must be logged once until it is readable again.
#[test]
fn logged_once() {
    let mut records = UnreadableRecords::default();
    let reason = |column: u32| format!("missing field `state` at line 1 column {column}");
    let report = records.record(Feed::Servers, "a", &reason(9), ms(0)).expect("the first report");
    assert_eq!((report.key.as_str(), report.reason.as_str()), ("a", "missing field `state`"));
    assert_eq!(records.record(Feed::Servers, "a", &reason(10), ms(100)), None);
    assert!(records.record(Feed::Daemons, "a", &reason(9), ms(100)).is_some());
    assert!(records.record(Feed::Servers, "a", "no text", ms(200)).is_some());
    records.clear(Feed::Servers, "a");
    assert!(records.record(Feed::Servers, "a", "no text", ms(300)).is_some());
}

/// Another program writes thousands of unreadable records: the log must stay readable and state how many lines were
/// omitted.
#[test]
fn lines_bounded() {
    let mut records = UnreadableRecords::default();
    let key = |n: u64| "k".repeat(200) + &n.to_string();
    let logged = (0..5_000)
        .filter(|n| records.record(Feed::Servers, &n.to_string(), &key(*n), ms(*n)).is_some());
    let lines = logged.count();
    assert!((1..=20).contains(&lines), "{lines} lines in five seconds");
    let report = records.record(Feed::Servers, "late", &key(1), ms(70_000)).expect("a new window");
    assert_eq!(report.unlogged + lines as u64, 5_000);
    assert!(report.reason.chars().count() <= 120);
}
