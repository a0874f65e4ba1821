//! Standstills of a process: requests that are handled afterwards may have been sent at their begin.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::serve::standstill::Standstill;

const fn at(millis: u64) -> Moment {
    Duration::from_millis(100_000 + millis)
}

fn running_until(end: u64) -> Standstill {
    let standstill = Standstill::default();
    (0..=end).step_by(100).for_each(|millis| standstill.record_turn(at(millis)));
    standstill
}

/// A process that runs, also a little late, handles requests as they come.
#[test]
fn running() {
    let standstill = running_until(500);
    assert_eq!(standstill.earliest_send(at(850)), at(850));
    assert_eq!(Standstill::default().earliest_send(at(850)), at(850));
}

/// Guards against a request that is handled before the process has noticed its standstill.
#[test]
fn unnoticed() {
    let standstill = running_until(500);
    assert_eq!(standstill.earliest_send(at(3_000)), at(500));
}

/// Requests of a standstill are handled for a while after it.
#[test]
fn backlog() {
    let standstill = running_until(500);
    standstill.record_turn(at(3_000));
    assert_eq!(standstill.earliest_send(at(3_050)), at(500));
    standstill.record_turn(at(3_100));
    assert_eq!(standstill.earliest_send(at(3_150)), at(500));
    (3_200..=4_100).step_by(100).for_each(|millis| standstill.record_turn(at(millis)));
    assert_eq!(standstill.earliest_send(at(4_150)), at(4_150));
}
