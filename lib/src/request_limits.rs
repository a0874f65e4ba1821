//! Limits on requests in progress, for the whole daemon and for each caller.

use std::collections::BTreeMap;

use crate::ids::CallerId;

/// Why a request is not taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestLimit {
    /// The daemon has as many requests as it may.
    Daemon,
    /// The caller has as many requests as one caller may.
    Caller,
}

impl RequestLimit {
    /// Returns the word for log lines and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Daemon => "daemon-limit",
            Self::Caller => "caller-limit",
        }
    }
}

/// Requests in progress.
#[derive(Debug)]
pub struct RequestLimits {
    total: u32,
    most: u32,
    share: u32,
    callers: BTreeMap<CallerId, u32>,
}

impl RequestLimits {
    /// Allows `most` requests at once, and `share` of one caller.
    pub fn new(most: u32, share: u32) -> Self {
        Self { total: 0, most, share, callers: BTreeMap::new() }
    }

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// Names the limit that is reached.
    pub fn acquire(&mut self, caller: &CallerId) -> Result<(), RequestLimit> {
        if self.total >= self.most {
            return Err(RequestLimit::Daemon);
        }
        let count = self.callers.entry(caller.clone()).or_default();
        if *count >= self.share {
            return Err(RequestLimit::Caller);
        }
        *count += 1;
        self.total += 1;
        Ok(())
    }

    /// Notes the end of a request that [`RequestLimits::acquire`] took in.
    pub fn release(&mut self, caller: &CallerId) {
        self.total = self.total.saturating_sub(1);
        if let Some(count) = self.callers.get_mut(caller) {
            *count -= 1;
            if *count == 0 {
                self.callers.remove(caller);
            }
        }
    }

    /// Returns the requests in progress.
    pub fn total(&self) -> u32 {
        self.total
    }
}
