//! Which waits come first where engines are few.

use std::time::Duration;

use crate::boot_clock::Moment;
use crate::placement::demand::Backlog;
use crate::placement::load_options::BUSY_RATE;

/// Time of the shortest loads, from a host's memory or disk.
const SOONEST: Duration = Duration::from_millis(1500);

/// The order of waits; the first come first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// More callers come while the model is away, some of them with a goal that no load can meet.
    Busy(Moment),
    /// A load that begins now can still be punctual, until the moment given.
    Punctual(Moment),
    /// Too late for a punctual answer, though not for any until the moment given.
    Late(Moment),
    /// No load comes in time for those who wait, since the moment given; others may follow them.
    Lost(Moment),
}

impl Urgency {
    /// Ranks a wait for a model that is asked for `rate` times a second.
    ///
    /// Served by age alone, a queue that has once grown longer than callers' goals makes everybody late:
    /// each load is for somebody who has just become late.
    pub fn new(wait: &Backlog, rate: f64, now: Moment) -> Self {
        if rate >= BUSY_RATE {
            return Self::Busy(wait.since);
        }
        if wait.due >= now + SOONEST {
            return Self::Punctual(wait.due);
        }
        if wait.deadline >= now + SOONEST {
            return Self::Late(wait.deadline);
        }
        Self::Lost(wait.since)
    }
}
