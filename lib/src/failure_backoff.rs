//! Leaving a host alone after failures in a row.

use std::time::Duration;

/// Failures in a row after which a host is suspected.
const FAILURES: u32 = 2;
/// First time for which a suspected host gets no work; doubled with each further failure.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Longest time without another try.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Failures of one host since its last answer.
///
/// One silent connection does not condemn a host that answers others: any answer clears it.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureBackoff {
    failures: u32,
    until: Duration,
}

impl FailureBackoff {
    /// Notes a failed connection or report.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        let extra = self.failures.saturating_sub(FAILURES).min(8);
        self.until = now + (MIN_PAUSE * 2_u32.pow(extra)).min(MAX_PAUSE);
    }

    /// Notes an answer.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Returns whether the host is left alone now.
    pub fn is_active(&self, now: Duration) -> bool {
        self.failures >= FAILURES && now < self.until
    }
}
