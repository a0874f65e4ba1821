//! This daemon's part of the requests that a limited server takes.

use std::hash::Hasher as _;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::boot_clock::Moment;
use crate::cluster::rate_limit::RateLimit;
use crate::cluster::server_instance::ServerInstance;

/// Requests that may come at once beside those that the limit allows in a second: every request beyond this waits for
/// its turn at some daemon.
const BURST: f64 = 3.0;
/// Requests a second that a server gets whatever its limit: how else would its answers tell that the need is over?
const LEAST_RATE: f64 = 0.25;

/// What the daemons that may send to a limited server may each do.
///
/// A bucket at every daemon would let as many requests through at once as there are daemons. So only as many daemons send as
/// the burst allows, each with a bucket for one request or more. All of them together send no more than the burst and
/// the limit's worth in any span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Daemons that may send.
    pub senders: usize,
    /// Requests a second of each.
    rate: f64,
    /// Requests that one of them may send at once after a pause.
    depth: f64,
}

impl RateShare {
    /// Shares a limit out among some of so many daemons.
    pub fn new(limit: RateLimit, daemons: usize) -> Self {
        let rate = limit.per_second().max(LEAST_RATE);
        let burst = BURST + rate;
        let senders = (burst as usize).clamp(1, daemons.max(1));
        let each = 1.0 / senders as f64;
        Self { senders, rate: rate * each, depth: burst * each }
    }
}

/// Returns the weight by which a daemon stands among those that may send to a server; the greatest ones do.
pub fn rendezvous_weight(server: &ServerInstance, daemon: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(server.id.as_bytes());
    hasher.write_u64(server.born.unwrap_or(0));
    hasher.write(daemon.as_bytes());
    hasher.finish()
}

/// A token bucket, empty at first: its daemon may have taken over from one that has just sent.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    at: Moment,
}

impl TokenBucket {
    /// Starts empty.
    pub fn new(now: Moment) -> Self {
        Self { tokens: 0.0, at: now }
    }

    fn fill(&mut self, share: RateShare, now: Moment) {
        let time = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + time * share.rate).min(share.depth);
        self.at = now;
    }

    /// Returns the time until a request may be sent.
    pub fn wait(&mut self, share: RateShare, now: Moment) -> Duration {
        self.fill(share, now);
        let lacking = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(lacking / share.rate)
    }

    /// Takes a request out. One that was sent out of turn delays the next.
    pub fn take(&mut self, share: RateShare, now: Moment) {
        self.fill(share, now);
        self.tokens -= 1.0;
    }
}
