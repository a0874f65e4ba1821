//! Measures how much is asked for per second.

use std::time::Duration;

use crate::boot_clock::Moment;

/// Time over which demand is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(8);

/// A decaying average of an amount per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    updated_at: Moment,
}

impl DemandMeter {
    /// Adds an amount that was asked for.
    pub fn add(&mut self, amount: f64, now: Moment) {
        self.rate = self.rate(now) + amount / AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the average amount per second.
    pub fn rate(&self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
