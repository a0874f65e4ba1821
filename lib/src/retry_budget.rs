//! How many retries a daemon may add to the load of its backend servers.

/// Retries allowed for each first attempt, on average.
const SHARE: f64 = 0.1;
/// Retries that may be saved up.
const BURST: f64 = 50.0;

/// A budget of retries: without it a failing fleet would get its load twice when it can bear least.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: BURST }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn record_first(&mut self) {
        self.tokens = (self.tokens + SHARE).min(BURST);
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub fn take_retry(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
