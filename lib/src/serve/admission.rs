//! Admission of requests to engines that have no free slot.
//!
//! An engine queues the requests that it cannot run yet. Once the wait in the queue exceeds the latency goal, every
//! queued request is answered just too late, for as long as demand exceeds the engines' capacity. So a request is
//! queued only if the queue is short enough for it to meet its goal. Other requests are refused at once with a time
//! to retry after, except those that are late already because they waited for their model: these are queued behind
//! all requests that can still meet their goals.

use std::time::Duration;

/// Time from a free slot to the caller's first event: prompt processing and the network.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(200);
/// Fraction of the time until the caller's timeout that an expected wait may take: the actual wait may be a
/// third longer than expected.
const TIMEOUT_FRACTION: f64 = 0.75;
/// Shortest retry time given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The expected wait of a request and the time that it has left.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInput {
    /// Expected wait in the queue of the best engine.
    pub queue_wait: Duration,
    /// Time left until the latency goal of the first event; zero if it has passed.
    pub goal_left: Duration,
    /// Time left until the caller times out.
    pub timeout_left: Duration,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request is sent at its normal priority.
    Normal,
    /// The request is sent, to run after those that can still meet their goals.
    Late,
    /// The request is refused; a retry after this time may meet the goal.
    Refused(Duration),
}

impl AdmissionInput {
    /// Decides whether the request is sent, and with which priority.
    pub fn admit(self) -> Admission {
        if self.queue_wait.is_zero() || self.queue_wait + FIRST_EVENT_TIME <= self.goal_left {
            return Admission::Normal;
        }
        let is_late = self.goal_left < FIRST_EVENT_TIME;
        if is_late && self.queue_wait <= self.timeout_left.mul_f64(TIMEOUT_FRACTION) {
            return Admission::Late;
        }
        Admission::Refused(self.queue_wait.saturating_sub(self.goal_left).max(MIN_RETRY_AFTER))
    }
}
