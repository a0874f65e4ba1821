//! Whether a load can be taken to end when it should.
//!
//! An engine's report is some hundred milliseconds old, and each load ends that much later by it than it does. Where
//! one load follows another at an engine, callers' answers are late by twice that. The configuration tells how long a
//! load from a host's own copy takes, and engines keep to it, as long as reports bear that out.

use std::time::Duration;

use crate::boot_clock::Moment;

/// A load that shows in a report this long after its time was on time: reports are up to 300 ms old.
const ON_TIME: Duration = Duration::from_millis(450);
/// After a late load none is trusted for this long: what slows an engine's disk rarely passes sooner.
const DOUBT: Duration = Duration::from_secs(10);

/// Keeps how punctual loads from hosts' copies have been.
#[derive(Debug, Default)]
pub struct EtaAccuracy {
    /// Whether a load was seen to end on time.
    proven: bool,
    /// Until when no load is trusted.
    doubted: Moment,
}

impl EtaAccuracy {
    /// Takes in when a load showed in a report, counted from when it should have ended.
    pub fn record(&mut self, after: Duration, now: Moment) {
        if after > ON_TIME {
            self.doubted = now + DOUBT;
        } else {
            self.proven = true;
        }
    }

    /// Returns whether a load can be taken to end when it should.
    pub fn is_reliable(&self, now: Moment) -> bool {
        self.proven && now >= self.doubted
    }

    /// Returns how long a report is waited for, from when a load should have ended.
    pub fn tolerance() -> Duration {
        ON_TIME
    }
}
