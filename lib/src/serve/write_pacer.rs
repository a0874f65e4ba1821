//! Spaces a daemon's writes so that all daemons together stay below a part of the store's write rate.

use std::time::Duration;

use crate::boot_clock::Moment;

/// Fraction of the store's write rate that the daemons use together; leases, configuration and servers need the rest.
const USED_FRACTION: f64 = 0.4;
/// Writes that may follow each other at once after a pause.
const BURST: u32 = 2;

/// The times at which a daemon may write.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritePacer {
    /// When all writes so far would have been made at even intervals.
    paid_until: Moment,
}

impl WritePacer {
    /// Returns the interval between writes of one of `daemons` daemons if the store takes `rate` writes per second.
    pub fn interval(rate: f64, daemons: usize) -> Duration {
        Duration::from_secs_f64(daemons.max(1) as f64 / (rate * USED_FRACTION).max(1.0))
    }

    /// Returns the earliest time of the next write.
    pub fn next_write(&self, interval: Duration) -> Moment {
        self.paid_until.saturating_sub(interval * (BURST - 1))
    }

    /// Records a write.
    pub fn record_write(&mut self, interval: Duration, now: Moment) {
        self.paid_until = self.paid_until.max(now) + interval;
    }
}
