//! Limits how often and how many models are fetched from the weight store at once.
//!
//! The store does not report how many fetches it serves at full speed. A fetch that starts beside more than that
//! takes longer in proportion, for its whole duration. The number is inferred from the duration of fetches: one that
//! ends sooner than it would with a given number proves that the store serves more, and one that runs longer proves
//! that it serves fewer, long before it ends.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;

/// Most concurrent fetches: more would take engines out of service that requests for other models need.
const MAX_CONCURRENCY: usize = 4;
/// Concurrent fetches beyond the proven number, to find out whether the store serves more at full speed. If it does
/// not, each further one slows down all of them.
const TRIAL_FETCHES: usize = 1;
/// A fetch that takes at least this part of an expected duration matches it: fetches of one size vary a little.
const ON_TIME_RATIO: f64 = 0.85;
/// A fetch that runs longer than this multiple of an expected duration shows that the store serves fewer.
const LATE_RATIO: f64 = 1.3;
/// Part of the ceiling that a new lease holder uses for one window, as it does not know which fetches the previous
/// holder ordered.
const INITIAL_CEILING_PART: f64 = 0.5;
/// After this time a limit is raised by one: a slow phase of the store may have passed.
const LIMIT_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Capacity of the weight store, passed from one holder of the placement lease to the next.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreShare {
    /// Concurrent fetches observed at full speed.
    pub proven: usize,
    /// Most concurrent fetches that the store may serve at full speed.
    pub limit: usize,
}

impl Default for StoreShare {
    fn default() -> Self {
        Self { proven: 1, limit: MAX_CONCURRENCY }
    }
}

impl StoreShare {
    /// Returns how many fetches to run at once: the proven number and one more as a trial, up to the limit.
    pub fn concurrency(self) -> usize {
        (self.proven + TRIAL_FETCHES).min(self.limit).max(1)
    }

    /// Returns the duration of a fetch that starts as one of `concurrent`; `alone_time` is its duration on its own.
    pub fn time(self, alone_time: Duration, concurrent: usize) -> Duration {
        concurrent_time(alone_time, concurrent, self.concurrency())
    }
}

/// Returns the duration of a fetch that starts as one of `concurrent` at a store that serves `full_speed` of them at
/// full speed.
fn concurrent_time(alone_time: Duration, concurrent: usize, full_speed: usize) -> Duration {
    alone_time.mul_f64((concurrent as f64 / full_speed as f64).max(1.0))
}

/// A fetch in progress.
#[derive(Debug)]
struct RunningFetch {
    server: ServerInstance,
    since: Moment,
    /// Its duration if no other fetch runs.
    alone_time: Duration,
    /// Fetches in progress when it started, including itself.
    concurrent: usize,
}

impl RunningFetch {
    /// Returns its duration if the store serves `full_speed` fetches at full speed.
    fn time(&self, full_speed: usize) -> Duration {
        concurrent_time(self.alone_time, self.concurrent, full_speed)
    }
}

/// Tracks fetches from the weight store and limits new ones.
#[derive(Debug)]
pub struct FetchLimiter {
    /// When this daemon began to give orders.
    since: Moment,
    /// When the fetches of the last window started.
    recent_starts: VecDeque<Moment>,
    running: Vec<RunningFetch>,
    share: StoreShare,
    limit_changed: Moment,
}

impl FetchLimiter {
    /// Starts without any fetch.
    pub fn new(since: Moment) -> Self {
        Self {
            since,
            recent_starts: VecDeque::new(),
            running: Vec::new(),
            share: StoreShare::default(),
            limit_changed: since,
        }
    }

    /// Restarts for a new lease holder, with what the previous holder knew about the store.
    pub fn restart(&mut self, now: Moment, share: StoreShare) {
        self.since = now;
        self.running.clear();
        self.limit_changed = now;
        self.share = StoreShare {
            proven: share.proven.clamp(1, MAX_CONCURRENCY),
            limit: share.limit.clamp(1, MAX_CONCURRENCY),
        };
    }

    /// Records the start of a fetch that takes `alone_time` on its own, beside `others` fetches not recorded here.
    ///
    /// A new lease holder does not know the previous holder's fetches. Two that were started beside two of those took
    /// 20 and 27 s instead of 13 s, and the store was assumed to serve one at a time for the rest of the day.
    pub fn record_start(
        &mut self,
        server: &ServerInstance,
        alone_time: Duration,
        others: usize,
        now: Moment,
    ) {
        self.recent_starts.push_back(now);
        let concurrent = self.running.len() + others + 1;
        self.running.push(RunningFetch {
            server: server.clone(),
            since: now,
            alone_time,
            concurrent,
        });
    }

    /// Records the end of an engine's fetch; a successful one may raise the proven number.
    pub fn record_end(&mut self, server: &ServerInstance, succeeded: bool, now: Moment) {
        let Some(at) = self.running.iter().position(|f| f.server == *server) else { return };
        let fetch = self.running.remove(at);
        if !succeeded {
            return;
        }
        let elapsed = now.saturating_sub(fetch.since);
        let proven = (1..=MAX_CONCURRENCY)
            .find(|full_speed| elapsed >= fetch.time(*full_speed).mul_f64(ON_TIME_RATIO))
            .unwrap_or(1);
        self.share.proven = self.share.proven.max(proven.min(self.share.limit));
    }

    /// Checks for late fetches; returns whether they showed that the store serves fewer at once than assumed.
    pub fn update_limit(&mut self, now: Moment) -> bool {
        if now > self.limit_changed + LIMIT_RETRY_AFTER && self.share.limit < MAX_CONCURRENCY {
            self.limit_changed = now;
            self.share.limit += 1;
        }
        let is_late = |fetch: &RunningFetch, full_speed: usize| {
            now.saturating_sub(fetch.since) > fetch.time(full_speed).mul_f64(LATE_RATIO)
        };
        // A fetch that is late even for a store that serves one at full speed shows nothing about the store: its
        // engine may have failed.
        let candidates = self.running.iter().filter(|fetch| !is_late(fetch, 1));
        let exceeded =
            candidates.filter_map(|f| (2..=MAX_CONCURRENCY).find(|count| is_late(f, *count))).min();
        let Some(limit) = exceeded.map(|n| n - 1).filter(|limit| *limit < self.share.limit) else {
            return false;
        };
        self.share = StoreShare { proven: self.share.proven.min(limit), limit };
        self.limit_changed = now;
        true
    }

    /// Returns how many fetches may start now, if `rate` per second are allowed in each `window`.
    ///
    /// The number is rounded down to stay below the ceiling, as fetches start some time after their orders.
    pub fn fetches_left(&mut self, rate: f64, window: Duration, now: Moment) -> usize {
        while self.recent_starts.front().is_some_and(|t| now > *t + window) {
            self.recent_starts.pop_front();
        }
        let part = if now < self.since + window { INITIAL_CEILING_PART } else { 1.0 };
        let allowed = (rate * window.as_secs_f64() * part).floor().max(1.0) as usize;
        allowed.saturating_sub(self.recent_starts.len())
    }

    /// Returns what is known about the store.
    pub fn share(&self) -> StoreShare {
        self.share
    }
}
