//! Ranks models with queued requests when there are too few engines.

use std::time::Duration;

use crate::boot_clock::Moment;
use crate::placement::demand::Backlog;
use crate::placement::load_options::BUSY_RATE;

/// Duration of the shortest loads, from a host's memory or disk.
const SHORTEST_LOAD: Duration = Duration::from_millis(1500);

/// Rank of a model with queued requests; smaller values are served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// More callers arrive while the model is not loaded, some of them with a goal that no load can
    /// meet. Holds the start of the wait.
    Busy(Moment),
    /// A load that starts now can still meet the latency goal, which ends at the given time.
    OnTime(Moment),
    /// Too late for the goal, but the requests can still be served until the given time.
    Late(Moment),
    /// No load can finish in time for the queued requests, though others may follow. Holds the start of
    /// the wait.
    Missed(Moment),
}

impl Urgency {
    /// Ranks a model that is requested `rate` times per second.
    ///
    /// If requests were served by age alone, every caller would be late once the queue exceeded the
    /// callers' goals: each load would serve a request that has just become late.
    pub fn new(backlog: &Backlog, rate: f64, now: Moment) -> Self {
        if rate >= BUSY_RATE {
            return Self::Busy(backlog.since);
        }
        if backlog.due >= now + SHORTEST_LOAD {
            return Self::OnTime(backlog.due);
        }
        if backlog.deadline >= now + SHORTEST_LOAD {
            return Self::Late(backlog.deadline);
        }
        Self::Missed(backlog.since)
    }
}
