//! Whether a request goes to an engine whose places are all taken.
//!
//! An engine queues what it cannot run, and more of it makes everybody late: once a queue has grown longer than
//! callers' goals, each of them is served just too late, for as long as demand stays above what the engines do. So a
//! request joins a queue only where it is short enough for a punctual answer. Others are told at once when to come
//! back, but for those that are late already, since they had to wait for their model: these come after all that can
//! still be punctual.

use std::time::Duration;

/// Time of a prompt's reading, and the way to the caller, for a first event after the wait.
const FIRST_EVENT: Duration = Duration::from_millis(200);
/// Part of a caller's patience that an expected wait may take: the expectation may be short by a third.
const PATIENCE_PART: f64 = 0.75;
/// Least time after which a refused caller is asked to come back.
const LEAST_RETRY: Duration = Duration::from_millis(200);

/// What a request has before it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInput {
    /// Expected time in the queue of the best engine.
    pub queue_wait: Duration,
    /// Time left for a punctual first event.
    pub due: Duration,
    /// Time left until the caller leaves.
    pub patience: Duration,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is sent.
    Now,
    /// It is sent, to be run after those that can still be punctual.
    Late,
    /// It is refused; a caller that comes back after this time may be served punctually.
    Refused(Duration),
}

impl AdmissionInput {
    /// Decides.
    pub fn admit(self) -> Admission {
        if self.queue_wait.is_zero() || self.queue_wait + FIRST_EVENT <= self.due {
            return Admission::Now;
        }
        let is_late = self.due < FIRST_EVENT;
        if is_late && self.queue_wait <= self.patience.mul_f64(PATIENCE_PART) {
            return Admission::Late;
        }
        Admission::Refused(self.queue_wait.saturating_sub(self.due).max(LEAST_RETRY))
    }
}
