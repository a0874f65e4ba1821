//! This daemon's share of the requests that a rate-limited server accepts.

use std::hash::Hasher as _;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::boot_clock::Moment;
use crate::cluster::rate_limit::RateLimit;
use crate::cluster::server_instance::ServerInstance;

/// Requests allowed at once on top of those that the limit allows in a second. Every request beyond these
/// waits at some daemon for a token.
const BURST_REQUESTS: f64 = 3.0;
/// Minimum rate in requests per second, whatever the limit: only the server's responses show that the limit
/// has ended.
const MIN_RATE: f64 = 0.25;

/// Share of a server's rate limit that each sending daemon gets.
///
/// A bucket at every daemon would let as many requests through at once as there are daemons. So only as many
/// daemons send as the burst allows, each with a bucket for at least one request. In any period, all of them
/// together send at most the burst plus what the limit allows in that period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Number of daemons that may send.
    pub senders: usize,
    /// Requests per second of each sender.
    rate: f64,
    /// Capacity of each sender's bucket: requests that it may send at once after a pause.
    capacity: f64,
}

impl RateShare {
    /// Divides a limit among the senders of a fleet of `daemons`.
    pub fn new(limit: RateLimit, daemons: usize) -> Self {
        let rate = limit.per_second().max(MIN_RATE);
        let burst = BURST_REQUESTS + rate;
        let senders = (burst as usize).clamp(1, daemons.max(1));
        let fraction = 1.0 / senders as f64;
        Self { senders, rate: rate * fraction, capacity: burst * fraction }
    }
}

/// Returns a daemon's rendezvous hashing weight for a server; the daemons with the greatest weights may send
/// to it.
pub fn rendezvous_weight(server: &ServerInstance, daemon: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(server.id.as_bytes());
    hasher.write_u64(server.born.unwrap_or(0));
    hasher.write(daemon.as_bytes());
    hasher.finish()
}

/// A token bucket. It starts empty, since its daemon may have replaced a sender that has just sent.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Moment,
}

impl TokenBucket {
    /// Returns an empty bucket.
    pub fn new(now: Moment) -> Self {
        Self { tokens: 0.0, updated_at: now }
    }

    fn refill(&mut self, share: RateShare, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * share.rate).min(share.capacity);
        self.updated_at = now;
    }

    /// Returns the time until a request may be sent.
    pub fn wait(&mut self, share: RateShare, now: Moment) -> Duration {
        self.refill(share, now);
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / share.rate)
    }

    /// Takes one token. A request that was sent before its token was available delays the next one.
    pub fn take(&mut self, share: RateShare, now: Moment) {
        self.refill(share, now);
        self.tokens -= 1.0;
    }
}
