//! Whether the platform's store answers, by feed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::store::Feed;

#[derive(Clone, Copy, Debug, Default)]
struct FeedHealth {
    /// When a call on the feed was last answered; the host's start before the first answer.
    answered_at: Moment,
    /// Whether the last call failed.
    failed: bool,
    /// Whether the last call got no answer.
    unanswered: bool,
}

/// Outcomes of calls to the store. Each feed is tracked by itself: one may get no answers while the store
/// answers on all others.
#[derive(Debug, Default)]
pub struct StoreHealth {
    feeds: BTreeMap<Feed, FeedHealth>,
    /// When the newest call was sent whose answer ended a time without answers.
    recovered_at: Moment,
}

impl StoreHealth {
    /// Records the answer to a call; returns the time since the feed's previous answer if its last call had
    /// failed.
    pub fn record_answer(&mut self, feed: Feed, sent: Moment, now: Moment) -> Option<Duration> {
        let state = self.feeds.entry(feed).or_default();
        if std::mem::replace(&mut state.unanswered, false) {
            self.recovered_at = self.recovered_at.max(sent);
        }
        let had_failed = std::mem::replace(&mut state.failed, false);
        let outage = now.saturating_sub(std::mem::replace(&mut state.answered_at, now));
        had_failed.then_some(outage)
    }

    /// Records a failed call; `is_unanswered` means that it got no answer. Returns whether this is the first
    /// failure since the feed's last answer.
    pub fn record_failure(&mut self, feed: Feed, is_unanswered: bool) -> bool {
        let state = self.feeds.entry(feed).or_default();
        state.unanswered = is_unanswered;
        !std::mem::replace(&mut state.failed, true)
    }

    /// Returns when the newest call was sent whose answer ended a time without answers; the host's start
    /// before the first.
    ///
    /// A call on any feed that was sent earlier and is still in flight was sent before the store recovered,
    /// and will not be answered any more.
    pub fn recovered_at(&self) -> Moment {
        self.recovered_at
    }

    /// Returns the time since a call on the feed was last answered.
    pub fn time_since_answer(&self, feed: Feed, now: Moment) -> Duration {
        now.saturating_sub(self.feeds.get(&feed).map_or(Moment::ZERO, |s| s.answered_at))
    }
}
