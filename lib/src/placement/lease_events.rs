//! What the feed of the lease and the store's answers tell a daemon.

use std::time::Duration;

use crate::boot_clock::Moment;
use crate::ids::Fence;
use crate::ids::Offset;
use crate::placement::entries::LeaseEntry;
use crate::placement::lease_state::HeldLease;
use crate::placement::lease_state::LEASE_TTL;
use crate::placement::lease_state::LeaseState;
use crate::placement::lease_state::RETRY_EVERY;

impl LeaseState {
    /// Takes in that the feed ended elsewhere: somebody else, or an older append of ours, was first.
    pub fn on_conflict(&mut self) {
        self.outage = None;
        self.end = None;
    }

    /// Takes in that the store did nothing.
    pub fn on_store_failure(&mut self, now: Moment) {
        self.outage = Some(now);
        self.retry_at = now + RETRY_EVERY;
    }

    /// Takes in that an append sent at `sent` had no answer: only reading tells what happened.
    pub fn on_unknown_outcome(&mut self, sent: Moment, now: Moment) {
        self.on_store_failure(now);
        if let Some(end) = self.end.take() {
            // Of several appends at one end the first may be the one that landed.
            self.pending_append =
                self.pending_append.filter(|(_, at)| *at == end).or(Some((sent, end)));
        }
    }

    /// Takes in the newest record that can be read and the feed's end.
    pub fn on_read(&mut self, now: Moment, entry: Option<LeaseEntry>, end: Offset) {
        self.outage = None;
        let grew = self.end != Some(end);
        self.end = Some(end);
        // An append lands where the feed ended or never: it has done so, or the feed has grown past it.
        let settled = self.pending_append.take_if(|(_, at)| end > *at);
        match &entry {
            None if end > 0 => self.read_hidden(now, grew),
            Some(e) if e.process == self.process && !e.released => {
                // Without the same offset the record is an older one of this daemon.
                if let Some((sent, at)) = settled.filter(|(_, at)| e.at == Some(*at)) {
                    self.settle(e.fence, sent, now, at + 1);
                }
            }
            _ => self.read_other(now, entry.as_ref(), end, grew),
        }
        self.newest_entry = entry;
    }

    /// The newest record is another's or there is none.
    fn read_other(&mut self, now: Moment, entry: Option<&LeaseEntry>, end: Offset, grew: bool) {
        self.step_down();
        self.share = entry.map_or(self.share, |e| e.share);
        let at = entry.and_then(|e| e.at);
        let before = self.newest_entry.as_ref().and_then(|e| e.at);
        // Records of other keys do not renew the lease.
        let is_new = if at.is_some() && before.is_some() { at != before } else { grew };
        // The holder told until when the record is valid, unless it wrote a later one, perhaps just
        // before this read.
        let is_told = self.peer_claim.is_some_and(|h| h.end == at.map_or(end, |at| at + 1));
        if entry.is_some_and(|e| !e.released) && is_new && !is_told {
            self.peer_expiry = self.peer_expiry.max(now + LEASE_TTL);
        }
    }

    /// Another writer's record hides that of the lease: anybody may have it.
    ///
    /// While this daemon's own renewal is valid nobody else has bid, so it goes on. After that it must
    /// not: another may have taken over. Who does not hold the lease waits as if it had been renewed.
    fn read_hidden(&mut self, now: Moment, grew: bool) {
        self.held = self.held.filter(|h| now < h.sent + LEASE_TTL);
        if self.held.is_none() && grew {
            self.peer_expiry = self.peer_expiry.max(now + LEASE_TTL);
        }
    }

    /// An append of ours that had no answer did land; the feed ended at `end` after it.
    fn settle(&mut self, fence: Option<Fence>, sent: Moment, now: Moment, end: Offset) {
        let fence = fence.unwrap_or(end);
        match &mut self.held {
            Some(held) if held.fence == fence => {
                held.sent = held.sent.max(sent);
                held.end = end;
            }
            _ => {
                let wait = if self.fenced { Duration::ZERO } else { self.apart };
                self.recent.forget();
                self.held =
                    Some(HeldLease { fence, sent, end, orders_from: now + wait, releasing: false });
            }
        }
    }
}
