//! How fast models may come from the weight store, and how many at once it serves at full speed.
//!
//! The store does not say how many loads it serves at full speed; one that begins beside more takes
//! longer in proportion, for all of its time. Loads show the number by their time: one that ends sooner
//! than it should by a number proves that the store serves more, and one that goes on for longer proves
//! that it serves fewer, long before it ends.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;

/// Loads at once at most: more would take engines out of service for callers who wait elsewhere.
const MOST: usize = 4;
/// Loads at once beside those that are proven, to find out whether the store serves more: each further one would make
/// all of them longer where it does not.
const TRIAL: usize = 1;
/// Part of a load's time after which an end counts as punctual: loads of one size differ a little.
const DONE: f64 = 0.85;
/// A load that has not ended after this many times its time shows that the store serves fewer.
const LATE: f64 = 1.3;
/// Part of the ceiling that a new holder of the lease uses for one window: it does not know what the
/// one before ordered.
const FIRST_PART: f64 = 0.5;
/// After this time a limit is doubted: a slow phase of the store may have passed.
const DOUBT_AFTER: Duration = Duration::from_mins(1);

/// What is known of the weight store, handed on from holder to holder of the placement lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreShare {
    /// Loads at once that were seen at full speed.
    pub proven: usize,
    /// Most loads at once that may be at full speed.
    pub limit: usize,
}

impl Default for StoreShare {
    fn default() -> Self {
        Self { proven: 1, limit: MOST }
    }
}

impl StoreShare {
    /// Returns how many loads at once to run: all that are proven, and one more to find out.
    pub fn concurrency(self) -> usize {
        (self.proven + TRIAL).min(self.limit).max(1)
    }

    /// Returns the time of a load that begins beside others, `count` in all.
    pub fn time(self, alone: Duration, count: usize) -> Duration {
        shared_time(alone, count, self.concurrency())
    }
}

/// The time of a load that began as one of `count` at a store that serves `full` at full speed.
fn shared_time(alone: Duration, count: usize, full: usize) -> Duration {
    alone.mul_f64((count as f64 / full as f64).max(1.0))
}

/// A load from the weight store that is under way.
#[derive(Debug)]
struct Running {
    server: ServerInstance,
    since: Moment,
    /// Its time where it has the store for itself.
    alone: Duration,
    /// Loads under way when it began, itself included.
    count: usize,
}

impl Running {
    /// Its time, were `full` loads at once served at full speed.
    fn time(&self, full: usize) -> Duration {
        shared_time(self.alone, self.count, full)
    }
}

/// Loads from the weight store.
#[derive(Debug)]
pub struct FetchLimiter {
    /// When this daemon began to order.
    since: Moment,
    /// When loads of the last window began.
    begun: VecDeque<Moment>,
    running: Vec<Running>,
    share: StoreShare,
    limited: Moment,
}

impl FetchLimiter {
    /// Begins with nothing ordered.
    pub fn new(since: Moment) -> Self {
        Self {
            since,
            begun: VecDeque::new(),
            running: Vec::new(),
            share: StoreShare::default(),
            limited: since,
        }
    }

    /// Begins anew, as a new holder of the lease, with what the one before knew.
    pub fn restart(&mut self, now: Moment, share: StoreShare) {
        self.since = now;
        self.running.clear();
        self.limited = now;
        self.share =
            StoreShare { proven: share.proven.clamp(1, MOST), limit: share.limit.clamp(1, MOST) };
    }

    /// Notes that an engine begins a load that takes `alone` by itself, beside `others` that are not known here.
    ///
    /// A new holder of the lease knows nothing of the loads of the one before. Two begun beside two of those took 20
    /// and 27 s in place of 13, and the store was taken to serve one at a time for the rest of the day.
    pub fn begin(&mut self, server: &ServerInstance, alone: Duration, others: usize, now: Moment) {
        self.begun.push_back(now);
        let count = self.running.len() + others + 1;
        self.running.push(Running { server: server.clone(), since: now, alone, count });
    }

    /// Notes that an engine's load is over; learns from one that succeeded.
    pub fn end(&mut self, server: &ServerInstance, succeeded: bool, now: Moment) {
        let Some(at) = self.running.iter().position(|r| r.server == *server) else { return };
        let load = self.running.remove(at);
        if !succeeded {
            return;
        }
        let took = now.saturating_sub(load.since);
        let proven = (1..=MOST).find(|full| took >= load.time(*full).mul_f64(DONE)).unwrap_or(1);
        self.share.proven = self.share.proven.max(proven.min(self.share.limit));
    }

    /// Looks for loads that are late; returns whether the store turned out to serve fewer at once.
    pub fn update_limit(&mut self, now: Moment) -> bool {
        if now > self.limited + DOUBT_AFTER && self.share.limit < MOST {
            self.limited = now;
            self.share.limit += 1;
        }
        let is_late = |load: &Running, full: usize| {
            now.saturating_sub(load.since) > load.time(full).mul_f64(LATE)
        };
        // A load that is late even with the store shared by all says nothing of it: its engine may be
        // at fault.
        let lates = self.running.iter().filter(|load| !is_late(load, 1));
        let fewest = lates.filter_map(|load| (2..=MOST).find(|full| is_late(load, *full))).min();
        let Some(limit) = fewest.map(|n| n - 1).filter(|limit| *limit < self.share.limit) else {
            return false;
        };
        self.share = StoreShare { proven: self.share.proven.min(limit), limit };
        self.limited = now;
        true
    }

    /// Returns how many loads may begin, where `rate` a second are allowed in each `window`.
    ///
    /// The ceiling is kept with room to spare, as loads begin some time after their orders.
    pub fn fetches_left(&mut self, rate: f64, window: Duration, now: Moment) -> usize {
        while self.begun.front().is_some_and(|t| now > *t + window) {
            self.begun.pop_front();
        }
        let part = if now < self.since + window { FIRST_PART } else { 1.0 };
        let most = (rate * window.as_secs_f64() * part).floor().max(1.0) as usize;
        most.saturating_sub(self.begun.len())
    }

    /// Returns what is known of the store.
    pub fn share(&self) -> StoreShare {
        self.share
    }
}
