//! Limits on requests in progress, for the whole daemon and for each caller.

use std::collections::BTreeMap;

use crate::ids::CallerId;

/// Why a request is not taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limit {
    /// The daemon has as many requests as it may.
    Daemon,
    /// The caller has as many requests as one caller may.
    Caller,
}

impl Limit {
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
pub struct Limits {
    total: u32,
    most: u32,
    share: u32,
    callers: BTreeMap<CallerId, u32>,
}

impl Limits {
    /// Allows `most` requests at once, and `share` of one caller.
    pub fn new(most: u32, share: u32) -> Self {
        Self { total: 0, most, share, callers: BTreeMap::new() }
    }

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// Names the limit that is reached.
    pub fn enter(&mut self, caller: &CallerId) -> Result<(), Limit> {
        if self.total >= self.most {
            return Err(Limit::Daemon);
        }
        let count = self.callers.entry(caller.clone()).or_default();
        if *count >= self.share {
            return Err(Limit::Caller);
        }
        *count += 1;
        self.total += 1;
        Ok(())
    }

    /// Notes the end of a request that [`Limits::enter`] took in.
    pub fn leave(&mut self, caller: &CallerId) {
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
