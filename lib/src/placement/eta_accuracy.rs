//! Decides whether a load can be assumed to end at its expected time, without waiting for a report.
//!
//! An engine's report is a few hundred milliseconds old, so a load appears to end that much later than it does. If
//! one load follows another at an engine, callers get their responses late by twice that. The configuration states
//! how long a load from a host's local copy takes, and this time is relied on as long as reports confirm it.

use std::time::Duration;

use crate::boot_clock::Moment;

/// A load that shows in a report within this time after its expected end was on time: reports are up to 300 ms old.
const ON_TIME_LIMIT: Duration = Duration::from_millis(450);
/// After a late load, no load is assumed to end on time for this long: whatever slows an engine's disk rarely passes
/// sooner.
const UNRELIABLE_PERIOD: Duration = Duration::from_secs(10);

/// Tracks whether loads from local copies end on time.
#[derive(Debug, Default)]
pub struct EtaAccuracy {
    /// Whether any load was reported on time.
    seen_on_time: bool,
    /// Until when no load is assumed to end on time.
    unreliable_until: Moment,
}

impl EtaAccuracy {
    /// Records how long after its expected end a load showed in a report.
    pub fn record(&mut self, lateness: Duration, now: Moment) {
        if lateness > ON_TIME_LIMIT {
            self.unreliable_until = now + UNRELIABLE_PERIOD;
        } else {
            self.seen_on_time = true;
        }
    }

    /// Returns whether a load can be assumed to end at its expected time.
    pub fn is_reliable(&self, now: Moment) -> bool {
        self.seen_on_time && now >= self.unreliable_until
    }

    /// Returns how long to wait for a report after a load's expected end.
    pub fn tolerance() -> Duration {
        ON_TIME_LIMIT
    }
}
