//! Whether the platform's store answers, feed by feed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::store::Feed;

#[derive(Clone, Copy, Debug, Default)]
struct FeedContact {
    /// When a call on the feed was last answered; the daemon's start before the first.
    heard: Moment,
    /// Whether the last call failed.
    lost: bool,
}

/// What came of the calls to the store. Feeds are told apart: one may stay without answers while the
/// store answers on all others.
#[derive(Debug, Default)]
pub struct Contact {
    feeds: BTreeMap<Feed, FeedContact>,
}

impl Contact {
    /// Takes in an answer; returns for how long the feed was away, where its last call had failed.
    pub fn answered(&mut self, feed: Feed, now: Moment) -> Option<Duration> {
        let state = self.feeds.entry(feed).or_default();
        let was_lost = std::mem::replace(&mut state.lost, false);
        let away = now.saturating_sub(std::mem::replace(&mut state.heard, now));
        was_lost.then_some(away)
    }

    /// Takes in a failed call; returns whether it is the first since the feed's last answer.
    pub fn failed(&mut self, feed: Feed) -> bool {
        let state = self.feeds.entry(feed).or_default();
        !std::mem::replace(&mut state.lost, true)
    }

    /// Returns how long ago a call on the feed was answered.
    pub fn silence(&self, feed: Feed, now: Moment) -> Duration {
        now.saturating_sub(self.feeds.get(&feed).map_or(Moment::ZERO, |s| s.heard))
    }
}
