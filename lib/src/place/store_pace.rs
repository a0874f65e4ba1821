//! How fast models may come from the weight store, and how many at once it serves at full speed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::boot_clock::Moment;

/// Loads from the weight store that run at full speed at once, until measured otherwise.
const PARALLEL: usize = 4;
/// A load that takes this much longer than it should alone shows that the store is shared.
const SLOWED: f64 = 1.3;
/// Part of the ceiling that a new holder of the lease uses for one window: it does not know what the
/// one before ordered.
const FIRST_PART: f64 = 0.5;

/// Loads from the weight store.
#[derive(Debug)]
pub struct StorePace {
    /// When this daemon began to order.
    since: Moment,
    /// When loads of the last window began.
    begun: VecDeque<Moment>,
    parallel: usize,
}

impl StorePace {
    /// Begins with nothing ordered.
    pub fn new(since: Moment) -> Self {
        Self { since, begun: VecDeque::new(), parallel: PARALLEL }
    }

    /// Begins anew, as a new holder of the lease.
    pub fn restart(&mut self, now: Moment) {
        self.since = now;
    }

    /// Notes that a load begins.
    pub fn begin(&mut self, now: Moment) {
        self.begun.push_back(now);
    }

    /// Returns how many loads may begin, where `rate` a second are allowed in each `window`.
    ///
    /// The ceiling is kept with room to spare, as loads begin some time after their orders.
    pub fn room(&mut self, rate: f64, window: Duration, now: Moment) -> usize {
        while self.begun.front().is_some_and(|t| now > *t + window) {
            self.begun.pop_front();
        }
        let part = if now < self.since + window { FIRST_PART } else { 1.0 };
        let most = (rate * window.as_secs_f64() * part).floor().max(1.0) as usize;
        most.saturating_sub(self.begun.len())
    }

    /// Returns how many loads at once run at full speed, as far as known.
    pub fn parallel(&self) -> usize {
        self.parallel
    }

    /// Returns the time of a load that runs beside others, `count` in all.
    pub fn shared(&self, alone: Duration, count: usize) -> Duration {
        alone.mul_f64((count as f64 / self.parallel as f64).max(1.0))
    }

    /// Learns from a load that took `took` while `count` ran at its end; returns whether the store
    /// turned out to serve fewer at full speed.
    pub fn learn(&mut self, took: Duration, alone: Duration, count: usize) -> bool {
        let factor = took.as_secs_f64() / alone.as_secs_f64().max(f64::EPSILON);
        if factor <= SLOWED || count > self.parallel {
            return false;
        }
        let fitting = (count.max(1) as f64 / factor).floor().max(1.0) as usize;
        let is_fewer = fitting < self.parallel;
        self.parallel = self.parallel.min(fitting);
        is_fewer
    }
}
