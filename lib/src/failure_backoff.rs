//! Backoff for a host after consecutive failures.

use std::time::Duration;

/// Consecutive failures after which a host is suspected.
const FAILURE_THRESHOLD: u32 = 2;
/// First pause during which a suspected host gets no work; doubled with each further failure.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause before the host is tried again.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Consecutive failures of one host since its last answer.
///
/// Any answer resets the count, so that one unresponsive connection does not exclude a host that
/// answers on others.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureBackoff {
    failures: u32,
    until: Duration,
}

impl FailureBackoff {
    /// Records a failed connection or report.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        let doublings = self.failures.saturating_sub(FAILURE_THRESHOLD).min(8);
        self.until = now + (MIN_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
    }

    /// Records an answer, which ends the backoff.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Returns whether the host gets no new work at `now`.
    pub fn is_active(&self, now: Duration) -> bool {
        self.failures >= FAILURE_THRESHOLD && now < self.until
    }
}
