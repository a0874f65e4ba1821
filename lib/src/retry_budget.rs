//! The retry budget, which limits the extra requests that a daemon's retries send to backend
//! servers.

/// Average number of retries allowed for each first attempt.
const RETRIES_PER_ATTEMPT: f64 = 0.1;
/// Most unused retries that the budget accumulates.
const MAX_SAVED_RETRIES: f64 = 50.0;

/// A token bucket of retries. Without it, retries would double the requests to a failing fleet when
/// it has the least capacity.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds to the budget.
    pub fn record_first(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// Takes a retry from the budget; returns `false` if the budget is used up.
    pub fn take_retry(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
