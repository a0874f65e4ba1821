//! Limits on requests in progress, for the whole daemon and for each caller.

use std::collections::BTreeMap;

use crate::ids::CallerId;

/// The limit that a refused request would exceed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestLimit {
    /// The daemon has reached its limit.
    Daemon,
    /// The caller has reached the limit for one caller.
    Caller,
}

impl RequestLimit {
    /// Returns the reason code for log lines and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Daemon => "daemon-limit",
            Self::Caller => "caller-limit",
        }
    }
}

/// Counts of requests in progress, with their limits.
#[derive(Debug)]
pub struct RequestLimits {
    total: u32,
    max_total: u32,
    max_per_caller: u32,
    callers: BTreeMap<CallerId, u32>,
}

impl RequestLimits {
    /// Allows `max_total` concurrent requests in total and `max_per_caller` for each caller.
    pub fn new(max_total: u32, max_per_caller: u32) -> Self {
        Self { total: 0, max_total, max_per_caller, callers: BTreeMap::new() }
    }

    /// Counts a new request in progress.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached; the request is not counted then.
    pub fn acquire(&mut self, caller: &CallerId) -> Result<(), RequestLimit> {
        if self.total >= self.max_total {
            return Err(RequestLimit::Daemon);
        }
        let count = self.callers.entry(caller.clone()).or_default();
        if *count >= self.max_per_caller {
            return Err(RequestLimit::Caller);
        }
        *count += 1;
        self.total += 1;
        Ok(())
    }

    /// Records the end of a request that [`RequestLimits::acquire`] counted.
    pub fn release(&mut self, caller: &CallerId) {
        self.total = self.total.saturating_sub(1);
        if let Some(count) = self.callers.get_mut(caller) {
            *count -= 1;
            if *count == 0 {
                self.callers.remove(caller);
            }
        }
    }

    /// Returns the number of requests in progress.
    pub fn total(&self) -> u32 {
        self.total
    }
}
