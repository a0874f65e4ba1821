//! Updates a daemon's view of the lease from the feed and from the store's responses.

use std::time::Duration;

use crate::boot_clock::Moment;
use crate::feed_offset::era_of;
use crate::ids::FeedOffset;
use crate::ids::Fence;
use crate::placement::entries::LeaseEntry;
use crate::placement::lease_state::HeldLease;
use crate::placement::lease_state::LEASE_TTL;
use crate::placement::lease_state::LeaseState;
use crate::placement::lease_state::RETRY_INTERVAL;

impl LeaseState {
    /// Records that an append failed because the feed had grown: another daemon's append, or an earlier
    /// one of this daemon, came first.
    pub fn on_conflict(&mut self) {
        self.outage = None;
        self.end = None;
    }

    /// Records that the store did not carry out a call.
    pub fn on_store_failure(&mut self, now: Moment) {
        self.outage = Some(now);
        self.retry_at = now + RETRY_INTERVAL;
    }

    /// Records that an append sent at `sent` got no response: only reading the feed shows its outcome.
    pub fn on_unknown_outcome(&mut self, sent: Moment, now: Moment) {
        self.on_store_failure(now);
        if let Some(end) = self.end.take() {
            // Of several appends at the same offset, the first may be the one that succeeded.
            self.pending_append =
                self.pending_append.filter(|(_, at)| *at == end).or(Some((sent, end)));
        }
    }

    /// Applies the newest record of the lease, `None` if none can be read, and the feed's end.
    pub fn on_read(&mut self, now: Moment, entry: Option<LeaseEntry>, end: FeedOffset) {
        self.outage = None;
        if self.last_end.replace(end).is_some_and(|last| era_of(last) < era_of(end)) {
            self.on_restore(now, entry, end);
            return;
        }
        let grew = self.end != Some(end);
        self.end = Some(end);
        // An append succeeds at the offset that it names or never. Once the feed has grown past this
        // offset, the outcome is settled.
        let resolved = self.pending_append.take_if(|(_, at)| end > *at);
        match &entry {
            None if end > 0 => self.on_unreadable(now, grew),
            Some(e) if e.process == self.process && !e.released => {
                // A record with another offset is an older one of this daemon.
                if let Some((sent, at)) = resolved.filter(|(_, at)| e.at == Some(*at)) {
                    self.confirm_append(e.fence, sent, now, at + 1);
                }
            }
            _ => self.on_other_entry(now, entry.as_ref(), end, grew),
        }
        self.newest_entry = entry;
    }

    /// Handles a feed that was restored from an older copy, in which the records of later holders may be lost.
    ///
    /// Its records do not show who holds the lease, so daemons wait as if it had just been renewed. A valid renewal of this
    /// daemon excludes other holders: it bids again at once, since its fencing number is of the earlier era.
    fn on_restore(&mut self, now: Moment, entry: Option<LeaseEntry>, end: FeedOffset) {
        let is_unsettled = self.pending_append.is_some();
        let held = self.held.filter(|held| now < held.sent + LEASE_TTL || self.fenced);
        let is_last = entry.as_ref().is_none_or(|e| e.process == self.process);
        self.step_down();
        if held.is_none() || !is_last || is_unsettled && !self.fenced {
            self.peer_expiry = self.peer_expiry.max(now + LEASE_TTL);
        }
        self.end = Some(end);
        self.share = entry.as_ref().map_or(self.share, |e| e.share);
        self.newest_entry = entry;
    }

    /// Handles a newest record of another process, a released lease or an empty feed.
    fn on_other_entry(
        &mut self,
        now: Moment,
        entry: Option<&LeaseEntry>,
        end: FeedOffset,
        grew: bool,
    ) {
        self.step_down();
        self.share = entry.map_or(self.share, |e| e.share);
        let at = entry.and_then(|e| e.at);
        let before = self.newest_entry.as_ref().and_then(|e| e.at);
        // Records of other keys do not renew the lease.
        let is_new = if at.is_some() && before.is_some() { at != before } else { grew };
        // The holder has already sent the expiry of this record, unless it wrote a later record,
        // perhaps just before this read.
        let is_claimed =
            self.peer_claim.is_some_and(|claim| claim.feed_end == at.map_or(end, |at| at + 1));
        if entry.is_some_and(|e| !e.released) && is_new && !is_claimed {
            self.peer_expiry = self.peer_expiry.max(now + LEASE_TTL);
        }
    }

    /// Handles an unreadable record of another writer that hides the lease's: any daemon may hold the
    /// lease.
    ///
    /// While this daemon's own renewal is valid, no other daemon has bid, so it keeps the lease. After
    /// that it must not, as another may have taken over. If this daemon does not hold the lease, it
    /// waits as if the lease had just been renewed.
    fn on_unreadable(&mut self, now: Moment, grew: bool) {
        self.held = self.held.filter(|h| now < h.sent + LEASE_TTL);
        if self.held.is_none() && grew {
            self.peer_expiry = self.peer_expiry.max(now + LEASE_TTL);
        }
    }

    /// Records that an unanswered append of this daemon succeeded; `end` is the feed's end after it.
    fn confirm_append(&mut self, fence: Option<Fence>, sent: Moment, now: Moment, end: FeedOffset) {
        let fence = fence.unwrap_or(end);
        match &mut self.held {
            Some(held) if held.fence == fence => {
                held.sent = held.sent.max(sent);
                held.end = end;
            }
            _ => {
                let wait = if self.fenced { Duration::ZERO } else { self.order_gap };
                self.recent.forget();
                self.held =
                    Some(HeldLease { fence, sent, end, orders_from: now + wait, releasing: false });
            }
        }
    }
}
