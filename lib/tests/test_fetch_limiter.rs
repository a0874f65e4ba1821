//! Loads from the weight store: never over their ceiling, and as many at once as it serves well.

use std::time::Duration;

use comfreymux_lib::placement::fetch_limiter::FetchLimiter;
use comfreymux_lib::placement::fetch_limiter::StoreShare;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(5);
const RATE: f64 = 2.0;
const ALONE: Duration = Duration::from_secs(6);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(100 + seconds)
}

fn begin(pace: &mut FetchLimiter, loads: std::ops::Range<usize>, now: Duration) {
    for n in loads {
        pace.begin(&format!("e{n}").as_str().into(), ALONE, 0, now);
    }
}

#[test]
fn ceiling_kept() {
    let mut pace = FetchLimiter::new(Duration::ZERO);
    assert_eq!(pace.fetches_left(RATE, WINDOW, at(0)), 10);
    begin(&mut pace, 0..10, at(1));
    assert_eq!(pace.fetches_left(RATE, WINDOW, at(5)), 0);
    assert_eq!(pace.fetches_left(RATE, WINDOW, at(7)), 10);
}

/// A holder dies after ordering as much as allowed; its successor knows nothing of that.
#[test]
fn successor_careful() {
    let mut pace = FetchLimiter::new(Duration::ZERO);
    pace.restart(at(0), StoreShare::default());
    assert_eq!(pace.fetches_left(RATE, WINDOW, at(1)), 5);
    assert_eq!(pace.fetches_left(RATE, WINDOW, at(6)), 10);
}

/// A store that serves `full` loads at once at full speed, and those that begin beside more slower in
/// proportion. Returns what is known after some rounds of as many loads as seem right.
fn settle(full: usize) -> StoreShare {
    let mut pace = FetchLimiter::new(at(0));
    let mut now = at(0);
    for _ in 0..4 {
        let count = pace.share().concurrency();
        begin(&mut pace, 0..count, now);
        let mut ends: Vec<_> = (0..count)
            .map(|n| (now + ALONE.mul_f64(((n + 1) as f64 / full as f64).max(1.0)), n))
            .collect();
        while !ends.is_empty() {
            now += Duration::from_millis(100);
            pace.update_limit(now);
            ends.retain(|(end, n)| {
                let is_over = *end <= now;
                if is_over {
                    pace.end(&format!("e{n}").as_str().into(), true, now);
                }
                !is_over
            });
        }
    }
    pace.share()
}

/// Callers wait four times as long for a model as its load should take: four loads began at once at
/// a store that serves one at full speed, and nobody learned it before the last of them ended.
#[rstest]
#[case::one(1, 1)]
#[case::two(2, 2)]
#[case::four(4, 4)]
#[case::more(9, 4)]
fn sharing_learned(#[case] full: usize, #[case] parallel: usize) {
    assert_eq!(settle(full).concurrency(), parallel);
}

/// Two loads begin at a store that serves one: it shows before the second has ended.
#[test]
fn shown_early() {
    let mut pace = FetchLimiter::new(at(0));
    begin(&mut pace, 0..2, at(0));
    pace.end(&"e0".into(), true, at(6));
    assert!(!pace.update_limit(at(7)));
    assert!(pace.update_limit(at(8)));
    assert_eq!(pace.share().concurrency(), 1);
    assert_eq!(pace.share().time(ALONE, 2), ALONE * 2);
}

/// Each new holder of the lease began four more loads, which shared a store that serves one; engines
/// were out of service with them for the rest of the day. It goes on with what was known.
#[test]
fn knowledge_inherited() {
    let mut pace = FetchLimiter::new(at(0));
    pace.restart(at(0), StoreShare { proven: 1, limit: 1 });
    assert_eq!(pace.share().concurrency(), 1);
}

/// A host goes dark in the middle of a load: its lateness says nothing of the store.
#[test]
fn dark_ignored() {
    let mut pace = FetchLimiter::new(at(0));
    begin(&mut pace, 0..1, at(0));
    for second in 1..60 {
        assert!(!pace.update_limit(at(second)));
    }
    pace.end(&"e0".into(), false, at(60));
    assert_eq!(pace.share(), StoreShare::default());
}

/// The store was slow for a while: a limit learned then is tried again a minute later.
#[test]
fn limit_doubted() {
    let mut pace = FetchLimiter::new(at(0));
    pace.restart(at(0), StoreShare { proven: 1, limit: 1 });
    pace.update_limit(at(61));
    assert_eq!(pace.share().concurrency(), 2);
}

/// The lease holder dies with two loads under way, and the next one begins two more: at a store that serves two at full
/// speed they take half as long again and twice as long. Taken for the only ones they would show that it serves one.
#[test]
fn heir_unmisled() {
    let mut pace = FetchLimiter::new(at(0));
    pace.restart(at(0), StoreShare::default());
    for (n, server) in ["e1", "e2"].iter().enumerate() {
        pace.begin(&(*server).into(), ALONE, 2, at(n as u64));
    }
    pace.end(&"e1".into(), true, at(0) + ALONE.mul_f64(1.5));
    let end = at(0) + ALONE * 2;
    pace.update_limit(end);
    pace.end(&"e2".into(), true, end);
    assert_eq!(pace.share().concurrency(), 2, "{:?}", pace.share());
}
