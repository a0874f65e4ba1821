//! When a load is taken to have ended before a report shows it.

use std::time::Duration;

use comfreymux_lib::placement::eta_accuracy::EtaAccuracy;

const SOON: Duration = Duration::from_millis(250);
const LATE: Duration = Duration::from_secs(1);

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Callers of two rare models wait for the same engine. Each load ended a quarter of a second later by the engine's
/// report than it did, and the second one's callers were late by just that.
#[test]
fn punctual_trusted() {
    let mut accuracy = EtaAccuracy::default();
    assert!(!accuracy.is_reliable(at(1)), "nothing was seen yet");
    accuracy.record(SOON, at(2));
    assert!(accuracy.is_reliable(at(2)));
}

/// Hosts' disks turn slow. Requests that come before the end of a load are refused by the engine, and each of them uses
/// up a repeat: after one late load, ends are looked for in reports again.
#[test]
fn late_doubted() {
    let mut accuracy = EtaAccuracy::default();
    accuracy.record(SOON, at(2));
    accuracy.record(LATE, at(3));
    accuracy.record(SOON, at(4));
    assert!(!accuracy.is_reliable(at(4)));
    assert!(accuracy.is_reliable(at(14)));
}
