//! Whether the platform's store answers, feed by feed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::store::Feed;

#[derive(Clone, Copy, Debug, Default)]
struct FeedContact {
    /// When a call on the feed was last answered; the host's start before the first.
    heard: Moment,
    /// Whether the last call failed.
    lost: bool,
    /// Whether the last call had no answer.
    silent: bool,
}

/// What came of the calls to the store. Feeds are told apart: one may stay without answers while the
/// store answers on all others.
#[derive(Debug, Default)]
pub struct StoreHealth {
    feeds: BTreeMap<Feed, FeedContact>,
    /// When the newest call was sent whose answer ended a silence.
    back: Moment,
}

impl StoreHealth {
    /// Takes in the answer to a call; returns for how long the feed was away, where its last call had failed.
    pub fn record_answer(&mut self, feed: Feed, sent: Moment, now: Moment) -> Option<Duration> {
        let state = self.feeds.entry(feed).or_default();
        if std::mem::replace(&mut state.silent, false) {
            self.back = self.back.max(sent);
        }
        let was_lost = std::mem::replace(&mut state.lost, false);
        let away = now.saturating_sub(std::mem::replace(&mut state.heard, now));
        was_lost.then_some(away)
    }

    /// Takes in a failed call, `is_silent` where it had no answer; returns whether it is the first since the feed's
    /// last answer.
    pub fn record_failure(&mut self, feed: Feed, is_silent: bool) -> bool {
        let state = self.feeds.entry(feed).or_default();
        state.silent = is_silent;
        !std::mem::replace(&mut state.lost, true)
    }

    /// Returns when the newest call was sent whose answer ended a silence; the host's start before the first.
    ///
    /// A call on any feed that was sent earlier and is still out met that silence, and is not answered any more.
    pub fn recovered_at(&self) -> Moment {
        self.back
    }

    /// Returns how long ago a call on the feed was answered.
    pub fn silence(&self, feed: Feed, now: Moment) -> Duration {
        now.saturating_sub(self.feeds.get(&feed).map_or(Moment::ZERO, |s| s.heard))
    }
}
