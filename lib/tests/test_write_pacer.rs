//! Tests that daemons which write as often as they may leave the store room for its other callers.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::serve::write_pacer::WritePacer;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(1);

/// Returns how many writes one of `daemons` daemons makes within each of some seconds, if it always has something to write.
fn writes_each_second(rate: f64, daemons: usize, seconds: u32) -> Vec<u32> {
    let interval = WritePacer::interval(rate, daemons);
    let mut pacer = WritePacer::default();
    let mut now = Duration::from_hours(1);
    let mut second = || {
        let until: Moment = now + Duration::from_secs(1);
        let mut writes = 0;
        while now < until {
            if pacer.next_write(interval) <= now {
                pacer.record_write(interval, now);
                writes += 1;
            }
            now += STEP;
        }
        writes
    };
    (0..seconds).map(|_| second()).collect()
}

/// Guards against a release in which all daemons together write so often that the store refuses other calls.
#[rstest]
#[case::small(400.0, 8)]
#[case::large(1200.0, 87)]
#[case::target(1200.0, 400)]
fn store_has_room(#[case] rate: f64, #[case] daemons: usize) {
    let writes = writes_each_second(rate, daemons, 20);
    let total: u32 = writes[1..].iter().sum();
    let share = f64::from(total) / 19.0 * daemons as f64 / rate;
    assert!((0.3..=0.42).contains(&share), "{share:.2} of the store's rate");
    // After a pause all daemons may write twice within one interval.
    let first = f64::from(writes[0]) * daemons as f64;
    assert!(first <= 0.4 * rate + 2.0 * daemons as f64, "{first} writes in the first second");
}

/// Guards against a stream that waits for a regular write, though its daemon has not written for some time.
#[test]
fn idle_writes_now() {
    let interval = WritePacer::interval(400.0, 400);
    let mut pacer = WritePacer::default();
    let now = Duration::from_hours(1);
    pacer.record_write(interval, now);
    assert!(pacer.next_write(interval) <= now);
    pacer.record_write(interval, now);
    assert!(pacer.next_write(interval) > now);
    assert!(pacer.next_write(interval) <= now + interval);
}
