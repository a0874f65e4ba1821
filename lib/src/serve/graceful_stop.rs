//! Time limits of a graceful stop: which requests may still start, and when the rest is aborted.

use std::time::Duration;

use crate::boot_clock::Moment;

/// Fraction of the grace period in which any request may still start; most of them finish in the rest.
const START_FRACTION: f64 = 1.0 / 3.0;
/// Time until the load balancer sends no more callers: it checks readiness once a second and needs two
/// failed checks. Callers that it sends until then are served.
pub const DEREGISTRATION_TIME: Duration = Duration::from_millis(2600);
/// Fraction of the grace period that is reserved for the last responses and the exit of the process.
const MARGIN_FRACTION: f64 = 1.0 / 12.0;
/// Longest margin: 0.2 s for the responses and 0.1 s for the log, or 0.4 s if the log's reader is slow.
const MAX_MARGIN: Duration = Duration::from_millis(700);
/// Fraction of the margin in which the last responses are written.
const ANSWER_FRACTION: f64 = 0.3;

/// A graceful stop in progress.
#[derive(Clone, Copy, Debug)]
pub struct GracefulStop {
    began: Moment,
    grace: Duration,
}

impl GracefulStop {
    /// Creates a stop that began at `began`; the process is killed after `grace`.
    pub fn new(began: Moment, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// Returns when the load balancer sends no more callers to this daemon.
    pub fn deregistered_at(self) -> Moment {
        self.began + DEREGISTRATION_TIME
    }

    /// Returns when requests still in progress are aborted.
    pub fn abort_at(self) -> Moment {
        self.began + self.grace.saturating_sub(self.margin())
    }

    /// Returns the end of the time for responses to the callers of aborted requests.
    pub fn answers_until(self) -> Moment {
        self.abort_at() + self.margin().mul_f64(ANSWER_FRACTION)
    }

    /// Returns the latest time at which a request with this deadline may start.
    ///
    /// Callers continue to use open connections. A request that outlasts this daemon is cut off, or its outcome
    /// is unknown, however fast most servers are. Once callers can use other daemons, only requests whose
    /// deadline lies before the abort are started.
    pub fn latest_start(self, deadline: Moment) -> Moment {
        if deadline <= self.abort_at() {
            return self.abort_at();
        }
        self.began + DEREGISTRATION_TIME.min(self.grace.mul_f64(START_FRACTION))
    }

    fn margin(self) -> Duration {
        MAX_MARGIN.min(self.grace.mul_f64(MARGIN_FRACTION))
    }
}
