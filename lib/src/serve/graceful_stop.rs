//! A planned stop: what may still begin, and when it is over.

use std::time::Duration;

use crate::boot_clock::Moment;

/// Part of a stop's grace in which everything may still begin; most of it ends in the rest.
const START_PART: f64 = 1.0 / 3.0;
/// The balancer asks once a second and needs two refusals; callers that it sends until then are
/// served.
pub const LEAVE_TIME: Duration = Duration::from_millis(2600);
/// Part of a stop's grace that is left for last answers and the end of the process, and the most that
/// these need: 0.2 s for the answers and 0.1 s for the log, 0.4 s where its reader is slow.
const END_PART: f64 = 1.0 / 12.0;
const END_MOST: Duration = Duration::from_millis(700);
/// Part of that in which last answers are written.
const ANSWER_PART: f64 = 0.3;

/// A planned stop under way.
#[derive(Clone, Copy, Debug)]
pub struct GracefulStop {
    began: Moment,
    grace: Duration,
}

impl GracefulStop {
    /// Begins a stop that may take `grace`.
    pub fn new(began: Moment, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// Returns when callers have found other daemons.
    pub fn deregistered_at(self) -> Moment {
        self.began + LEAVE_TIME
    }

    /// Returns when what is still in progress is given up.
    pub fn abort_at(self) -> Moment {
        self.began + self.grace.saturating_sub(self.margin())
    }

    /// Returns until when the callers of what was given up are told.
    pub fn answers_until(self) -> Moment {
        self.abort_at() + self.margin().mul_f64(ANSWER_PART)
    }

    /// Returns until when a request may begin that must be answered by `deadline`.
    ///
    /// Callers go on using open connections. What begins while it may last longer than this daemon is
    /// cut, or ends in doubt whether it ran, however quick most servers are: once callers can be
    /// elsewhere only what must be over before the end begins.
    pub fn latest_start(self, deadline: Moment) -> Moment {
        if deadline <= self.abort_at() {
            return self.abort_at();
        }
        self.began + LEAVE_TIME.min(self.grace.mul_f64(START_PART))
    }

    fn margin(self) -> Duration {
        END_MOST.min(self.grace.mul_f64(END_PART))
    }
}
