//! How long a daemon waits before it bids for a placement lease that nobody holds.
//!
//! A holder's work grows with the fleet: on a link of 10 Mbit/s its word to 71 daemons and the engines' reports held
//! each other up for eight seconds, in which nothing was loaded. So small hosts bid after all large ones. And each bid
//! in vain is two calls to the store: of 295 daemons that bid within a quarter of a second 225 were too late.

use std::time::Duration;

/// Bids of a few daemons that wait for the same moment are spread over this time.
const SPREAD: Duration = Duration::from_millis(250);
/// Daemons from which on bids are spread over more.
const FEW: usize = 36;
/// How much longer small hosts wait than large ones, where there are few daemons: more than the spread of these.
const SMALL_PATIENCE: Duration = Duration::from_millis(400);

/// The daemons that may bid.
#[derive(Clone, Copy, Debug)]
pub struct Bidders {
    /// All of them.
    pub daemons: usize,
    /// Those on large hosts.
    pub large: usize,
}

fn factor(count: usize) -> f64 {
    (count as f64 / FEW as f64).max(1.0)
}

impl Bidders {
    /// Returns how long one of them waits; `draw` is its number from 0 to 1.
    pub fn bid_delay(self, is_small: bool, draw: f64) -> Duration {
        if !is_small {
            return SPREAD.mul_f64(factor(self.large) * draw);
        }
        let factor = factor(self.daemons);
        SMALL_PATIENCE.mul_f64(factor) + SPREAD.mul_f64(factor * draw)
    }
}
