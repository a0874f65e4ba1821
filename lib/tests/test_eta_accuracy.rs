//! Tests when a load is assumed to have ended before a report shows it.

use std::time::Duration;

use comfreymux_lib::placement::eta_accuracy::EtaAccuracy;

const SOON: Duration = Duration::from_millis(250);
const LATE: Duration = Duration::from_secs(1);

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Requests for two rare models wait for the same engine. Each load ended a quarter of a second later by the engine's
/// report than in fact, which made the second model's callers late by just that.
#[test]
fn punctual_trusted() {
    let mut accuracy = EtaAccuracy::default();
    assert!(!accuracy.is_reliable(at(1)), "no load was recorded yet");
    accuracy.record(SOON, at(2));
    assert!(accuracy.is_reliable(at(2)));
}

/// A host's disk becomes slow. The engine refuses requests that arrive before the end of a load, and each of these uses
/// up a retry. After one late load, ends of loads must be read from reports again.
#[test]
fn late_doubted() {
    let mut accuracy = EtaAccuracy::default();
    accuracy.record(SOON, at(2));
    accuracy.record(LATE, at(3));
    accuracy.record(SOON, at(4));
    assert!(!accuracy.is_reliable(at(4)));
    assert!(accuracy.is_reliable(at(14)));
}
