//! Tests that fetches from the weight store stay below their ceiling and that as many run at once as the store serves
//! at full speed.

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

fn begin(limiter: &mut FetchLimiter, loads: std::ops::Range<usize>, now: Duration) {
    for n in loads {
        limiter.record_start(&format!("e{n}").as_str().into(), ALONE, 0, now);
    }
}

#[test]
fn ceiling_kept() {
    let mut limiter = FetchLimiter::new(Duration::ZERO);
    assert_eq!(limiter.fetches_left(RATE, WINDOW, at(0)), 10);
    begin(&mut limiter, 0..10, at(1));
    assert_eq!(limiter.fetches_left(RATE, WINDOW, at(5)), 0);
    assert_eq!(limiter.fetches_left(RATE, WINDOW, at(7)), 10);
}

/// A holder fails after ordering as many fetches as allowed, which its successor does not know.
#[test]
fn successor_careful() {
    let mut limiter = FetchLimiter::new(Duration::ZERO);
    limiter.restart(at(0), StoreShare::default());
    assert_eq!(limiter.fetches_left(RATE, WINDOW, at(1)), 5);
    assert_eq!(limiter.fetches_left(RATE, WINDOW, at(6)), 10);
}

/// Simulates a store that serves `full` fetches at full speed and further ones proportionally slower. Returns what is
/// known after four rounds of as many fetches as the limiter allows.
fn settle(full: usize) -> StoreShare {
    let mut limiter = FetchLimiter::new(at(0));
    let mut now = at(0);
    for _ in 0..4 {
        let count = limiter.share().concurrency();
        begin(&mut limiter, 0..count, now);
        let mut ends: Vec<_> = (0..count)
            .map(|n| (now + ALONE.mul_f64(((n + 1) as f64 / full as f64).max(1.0)), n))
            .collect();
        while !ends.is_empty() {
            now += Duration::from_millis(100);
            limiter.update_limit(now);
            ends.retain(|(end, n)| {
                let is_over = *end <= now;
                if is_over {
                    limiter.record_end(&format!("e{n}").as_str().into(), true, now);
                }
                !is_over
            });
        }
    }
    limiter.share()
}

/// Guards against waits of four times a load's expected time: four fetches started at once at a store that serves one
/// at full speed, and this was not detected before the last of them ended.
#[rstest]
#[case::one(1, 1)]
#[case::two(2, 2)]
#[case::four(4, 4)]
#[case::more(9, 4)]
fn sharing_learned(#[case] full: usize, #[case] concurrency: usize) {
    assert_eq!(settle(full).concurrency(), concurrency);
}

/// Two fetches start at a store that serves one: this is detected before the second ends.
#[test]
fn shown_early() {
    let mut limiter = FetchLimiter::new(at(0));
    begin(&mut limiter, 0..2, at(0));
    limiter.record_end(&"e0".into(), true, at(6));
    assert!(!limiter.update_limit(at(7)));
    assert!(limiter.update_limit(at(8)));
    assert_eq!(limiter.share().concurrency(), 1);
    assert_eq!(limiter.share().time(ALONE, 2), ALONE * 2);
}

/// Each new lease holder started four more fetches, which shared a store that serves one, and kept engines out of
/// service for the rest of the day. A new holder must start with what the previous one knew.
#[test]
fn knowledge_inherited() {
    let mut limiter = FetchLimiter::new(at(0));
    limiter.restart(at(0), StoreShare { proven: 1, limit: 1 });
    assert_eq!(limiter.share().concurrency(), 1);
}

/// A host becomes unreachable during a fetch: its lateness shows nothing about the store.
#[test]
fn dark_ignored() {
    let mut limiter = FetchLimiter::new(at(0));
    begin(&mut limiter, 0..1, at(0));
    for second in 1..60 {
        assert!(!limiter.update_limit(at(second)));
    }
    limiter.record_end(&"e0".into(), false, at(60));
    assert_eq!(limiter.share(), StoreShare::default());
}

/// The store was slow for a while: the limit is raised again after a minute.
#[test]
fn limit_doubted() {
    let mut limiter = FetchLimiter::new(at(0));
    limiter.restart(at(0), StoreShare { proven: 1, limit: 1 });
    limiter.update_limit(at(61));
    assert_eq!(limiter.share().concurrency(), 2);
}

/// The lease holder fails during two fetches, and its successor starts two more. At a store that serves two at full
/// speed, these take 1.5 and 2 times as long. If they were counted as the only ones, the store would appear to serve
/// one.
#[test]
fn heir_unmisled() {
    let mut limiter = FetchLimiter::new(at(0));
    limiter.restart(at(0), StoreShare::default());
    for (n, server) in ["e1", "e2"].iter().enumerate() {
        limiter.record_start(&(*server).into(), ALONE, 2, at(n as u64));
    }
    limiter.record_end(&"e1".into(), true, at(0) + ALONE.mul_f64(1.5));
    let end = at(0) + ALONE * 2;
    limiter.update_limit(end);
    limiter.record_end(&"e2".into(), true, end);
    assert_eq!(limiter.share().concurrency(), 2, "{:?}", limiter.share());
}
