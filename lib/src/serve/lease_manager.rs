//! Takes, renews and gives up the placement lease.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::placement::entries;
use crate::placement::entries::LeaseEntry;
use crate::placement::entries::PLACEMENT_KEY;
use crate::placement::lease_state::LeaseStep;
use crate::serve::daemon_state::DaemonState;
use crate::serve::gossip::Gossip;
use crate::serve::store_calls::track_call;
use crate::store::Feed;
use crate::store::FeedRecord;
use crate::store::StoreError;

/// Time between looks while this daemon may not bid.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Tries to give the lease up in a row, where renewals that are on their way come first.
const RELEASE_TRIES: usize = 3;
/// Time between them: a renewal's answer takes some milliseconds.
const RELEASE_PAUSE: Duration = Duration::from_millis(20);

/// Carries out what the tenure decides.
#[derive(Debug)]
pub struct LeaseManager {
    daemon: Rc<DaemonState>,
    gossip: Rc<Gossip>,
}

impl LeaseManager {
    /// Starts without the lease.
    pub fn new(daemon: Rc<DaemonState>, gossip: Rc<Gossip>) -> Rc<Self> {
        Rc::new(Self { daemon, gossip })
    }

    /// Takes and renews the lease.
    pub async fn run(self: Rc<Self>) {
        let daemon = &self.daemon;
        // Since when nobody is heard to hold the lease.
        let mut vacant = None;
        loop {
            // A daemon that stops takes no new lease; one that it could not give up it keeps.
            if daemon.stopping.get().is_some() && !daemon.lease.borrow().may_hold() {
                return;
            }
            // Who does not know its peers would bid beside all of them.
            if daemon.config().is_none() || daemon.isolated.get() || !daemon.peers_known.get() {
                sleep(LOOK_EVERY).await;
                continue;
            }
            let now = daemon.now();
            let heard = daemon.peers.borrow().holder(now).map(|(_, _, lease)| lease);
            let patience = daemon.bid_delay();
            if heard.is_some() {
                vacant = None;
            }
            daemon.lease.borrow_mut().set_bid_delay(patience);
            let step = daemon.lease.borrow_mut().next_step(now, heard);
            match step {
                LeaseStep::Sleep(until) => {
                    let _woken =
                        timeout(until.saturating_sub(now), daemon.renewal_due.notified()).await;
                }
                LeaseStep::Read if self.is_bystander() => {
                    let due = *vacant.get_or_insert(now) + patience;
                    if now >= due {
                        self.read_lease().await;
                    } else {
                        sleep(LOOK_EVERY.min(due.saturating_sub(now))).await;
                    }
                }
                LeaseStep::Read => self.read_lease().await,
                LeaseStep::Append(at, record) => self.append_lease(at, &record).await,
            }
        }
    }

    /// Returns whether this is one of so many daemons that it reads the lease only when its turn to bid has come.
    ///
    /// Hundreds read it each time that its holder was lost; all but the first few hear of the next holder before
    /// their turn.
    fn is_bystander(&self) -> bool {
        self.daemon.is_large_fleet() && !self.daemon.lease.borrow().may_hold()
    }

    async fn read_lease(&self) {
        let daemon = &self.daemon;
        let result = track_call(daemon, Feed::Leases, daemon.store.list_latest(Feed::Leases)).await;
        let now = daemon.now();
        match result {
            Ok(batch) => {
                daemon.log_unreadable_records(Feed::Leases, &batch);
                let newest = batch.records.iter().rev().find(|r| r.key == PLACEMENT_KEY);
                let raw = newest.and_then(|r| r.value.as_ref());
                let record = raw.and_then(|raw| self.read_record(raw));
                let was_held = daemon.fence().is_some();
                daemon.lease.borrow_mut().on_read(now, record.clone(), batch.end);
                if was_held != daemon.fence().is_some() {
                    slog::info!(daemon.log, "lease"; "held" => !was_held,
                        "record" => ?record, "end" => batch.end);
                }
            }
            Err(_failed) => daemon.lease.borrow_mut().on_store_failure(now),
        }
    }

    fn read_record(&self, raw: &[u8]) -> Option<LeaseEntry> {
        match entries::decode(raw) {
            Ok(record) => {
                self.daemon.unreadable.borrow_mut().clear(Feed::Leases, PLACEMENT_KEY);
                Some(record)
            }
            Err(error) => {
                self.daemon.log_unreadable(Feed::Leases, PLACEMENT_KEY, &error.0);
                None
            }
        }
    }

    async fn append_lease(&self, at: u64, record: &LeaseEntry) {
        let daemon = &self.daemon;
        let sent = daemon.now();
        let value = entries::encode(record);
        let feed_record = FeedRecord { key: SmolStr::new(PLACEMENT_KEY), value: Some(value) };
        let call = daemon.store.append(Feed::Leases, feed_record, Some(at));
        let result = track_call(daemon, Feed::Leases, call).await;
        let now = daemon.now();
        let mut lease = daemon.lease.borrow_mut();
        match result {
            Ok(offset) => {
                lease.on_appended(sent, now, offset);
                drop(lease);
                daemon.lease_renewed.notify_waiters();
                if record.fence.is_none() {
                    let held_back = daemon.lease.borrow().blocked_engines(now);
                    slog::info!(daemon.log, "lease"; "held" => true, "fence" => offset + 1,
                        "sent_ms_ago" => now.saturating_sub(sent).as_millis(),
                        "engines_held_back" => held_back.map_or("all".into(), |n| n.to_string()));
                    daemon.plan_due.notify_one();
                }
                // Peers that know of each renewal wait no longer than they must after the last one.
                self.gossip.publish_digest();
            }
            Err(StoreError::EndMismatch | StoreError::Expired) => {
                slog::info!(daemon.log, "lease-append-refused"; "at" => at);
                lease.on_conflict();
            }
            Err(StoreError::Refused(_)) => lease.on_store_failure(now),
            Err(StoreError::UnknownOutcome(error)) => {
                slog::info!(daemon.log, "lease-append-doubtful"; "at" => at, "error" => error);
                lease.on_unknown_outcome(sent, now);
            }
        }
    }

    /// Gives the lease up, so that another daemon can take it at once; does nothing where it is not
    /// held or the store does not answer.
    pub async fn release(&self) {
        for _ in 0..RELEASE_TRIES {
            if !self.try_release().await {
                return;
            }
            sleep(RELEASE_PAUSE).await;
        }
    }

    /// Returns whether another try is worth it: a renewal that was on its way came first.
    async fn try_release(&self) -> bool {
        let daemon = &self.daemon;
        let released = daemon.lease.borrow_mut().release(daemon.now());
        let Some((at, record)) = released else { return false };
        let value = Some(entries::encode(&record));
        let feed_record = FeedRecord { key: SmolStr::new(PLACEMENT_KEY), value };
        let call = daemon.store.append(Feed::Leases, feed_record, Some(at));
        let result = track_call(daemon, Feed::Leases, call).await;
        slog::info!(daemon.log, "lease-release"; "done" => result.is_ok(), "at" => at);
        // An append without an answer may have given it up: only proof of the contrary keeps it.
        if matches!(result, Ok(_) | Err(StoreError::UnknownOutcome(_))) {
            daemon.lease.borrow_mut().on_released();
        } else {
            daemon.lease.borrow_mut().on_release_failed();
        }
        self.gossip.publish_digest();
        matches!(result, Err(StoreError::EndMismatch))
    }
}
