//! Spaces the chunks of transfers to peers, so that they leave room for callers' streams on the host's link.

use std::cell::Cell;
use std::time::Duration;

use crate::boot_clock::Moment;

/// Largest share of the link that all transfers take together.
const MAX_SHARE: f64 = 0.5;

/// The share of the host's link that transfers to peers take.
#[derive(Debug, Default)]
pub struct LinkShare {
    /// When the chunks that were reserved so far have been sent.
    free_at: Cell<Moment>,
}

impl LinkShare {
    /// Reserves a turn for `bytes` on a link of `megabits` per second; returns the time until the turn begins.
    pub fn reserve(&self, bytes: usize, megabits: f64, now: Moment) -> Duration {
        let bytes_per_second = megabits * MAX_SHARE * 1_000_000.0 / 8.0;
        let Ok(time) = Duration::try_from_secs_f64(bytes as f64 / bytes_per_second) else {
            return Duration::ZERO;
        };
        let begins = self.free_at.get().max(now);
        self.free_at.set(begins + time);
        begins.saturating_sub(now)
    }
}
