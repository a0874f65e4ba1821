//! Whether messages of other data centres are received.

use std::time::Duration;

use crate::boot_clock::Moment;

/// Time without a message of another data centre after which this one counts as isolated: several digests.
const ISOLATION_TIME: Duration = Duration::from_millis(1500);
/// Time after an isolation within which reports of its crashes reach other data centres and reports that clear parts
/// return.
const NEWS_TIME: Duration = Duration::from_secs(5);

/// When messages of other data centres were received. In a fleet of one data centre nothing is awaited.
#[derive(Debug, Default)]
pub(super) struct RemoteContact {
    /// When the last message was received; `None` if there is no other data centre.
    heard_at: Option<Moment>,
    /// When the last isolation ended, with the first message after it.
    reconnected_at: Option<Moment>,
}

impl RemoteContact {
    /// Records when the last message was received; `None` if there is no other data centre.
    pub fn update(&mut self, heard_at: Option<Moment>) {
        if let (Some(before), Some(now)) = (self.heard_at, heard_at)
            && now > before + ISOLATION_TIME
        {
            self.reconnected_at = Some(now);
        }
        self.heard_at = heard_at;
    }

    /// Returns the time up to which reports of other data centres may have been received.
    pub fn heard_until(&self, now: Moment) -> Moment {
        self.heard_at.map_or(now, |at| at.min(now))
    }

    /// Returns whether no message has been received for some time.
    pub fn is_isolated(&self, now: Moment) -> bool {
        self.heard_at.is_some_and(|at| now > at + ISOLATION_TIME)
    }

    /// Returns whether other data centres had time to answer a report of an event at `at`. Reports of events before the end
    /// of an isolation arrive only after it.
    pub fn has_reported(&self, at: Moment, now: Moment) -> bool {
        self.reconnected_at.is_none_or(|end| at > end || now >= end + NEWS_TIME)
    }

    /// Returns whether messages of other data centres arrive again, for so long that answers to earlier reports have arrived.
    pub fn is_settled(&self, now: Moment) -> bool {
        !self.is_isolated(now) && self.reconnected_at.is_none_or(|end| now >= end + NEWS_TIME)
    }
}
