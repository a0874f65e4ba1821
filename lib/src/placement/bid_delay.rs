//! Computes how long a daemon waits before it bids for a free placement lease.
//!
//! The lease holder's traffic grows with the fleet: on a 10 Mbit/s link, its digests to 71 daemons and the engines'
//! reports delayed each other by eight seconds, during which nothing was loaded. Small hosts therefore bid after all
//! large ones. Each failed bid costs two calls to the store: when 295 daemons bid within a quarter of a second, 225
//! were too late.

use std::time::Duration;

/// Bids of a few daemons that wait for the same moment are spread over this time.
const BID_SPREAD: Duration = Duration::from_millis(250);
/// With more daemons than this, delays grow in proportion to their number.
const SMALL_FLEET: usize = 36;
/// Extra delay of small hosts in a small fleet; longer than the bids of large hosts are spread.
const SMALL_HOST_DELAY: Duration = Duration::from_millis(400);

/// Numbers of daemons that may bid.
#[derive(Clone, Copy, Debug)]
pub struct Bidders {
    /// All daemons.
    pub daemons: usize,
    /// Daemons on large hosts.
    pub large: usize,
}

fn fleet_factor(count: usize) -> f64 {
    (count as f64 / SMALL_FLEET as f64).max(1.0)
}

impl Bidders {
    /// Returns the delay of one daemon; `draw` is its random number from 0 to 1.
    pub fn bid_delay(self, is_small: bool, draw: f64) -> Duration {
        if !is_small {
            return BID_SPREAD.mul_f64(fleet_factor(self.large) * draw);
        }
        let factor = fleet_factor(self.daemons);
        SMALL_HOST_DELAY.mul_f64(factor) + BID_SPREAD.mul_f64(factor * draw)
    }
}
