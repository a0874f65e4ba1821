//! Acquires, renews and releases the placement lease.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::feed_offset;
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

/// Interval between checks while this daemon may not bid.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of attempts to release the lease; an attempt fails if a renewal in flight is appended first.
const RELEASE_ATTEMPTS: usize = 3;
/// Delay between these attempts, as the response to a renewal takes a few milliseconds.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Carries out the steps that the daemon's `LeaseState` decides on.
#[derive(Debug)]
pub struct LeaseManager {
    daemon: Rc<DaemonState>,
    gossip: Rc<Gossip>,
}

impl LeaseManager {
    /// Creates a manager; it does not hold the lease at first.
    pub fn new(daemon: Rc<DaemonState>, gossip: Rc<Gossip>) -> Rc<Self> {
        Rc::new(Self { daemon, gossip })
    }

    /// Acquires and renews the lease until the daemon stops.
    pub async fn run(self: Rc<Self>) {
        let daemon = &self.daemon;
        // Since when no peer has claimed the lease.
        let mut vacant_since = None;
        loop {
            // A stopping daemon acquires no lease, but keeps renewing one that it could not release.
            if daemon.stopping.get().is_some() && !daemon.lease.borrow().may_hold() {
                return;
            }
            // A daemon that does not know its peers would bid at the same time as all of them.
            if daemon.config().is_none() || daemon.isolated.get() || !daemon.peers_known.get() {
                sleep(POLL_INTERVAL).await;
                continue;
            }
            if self.hands_over().await {
                sleep(POLL_INTERVAL).await;
                continue;
            }
            let now = daemon.now();
            let peer_claim = daemon.peers.borrow().holder(now).map(|(_, _, lease)| lease);
            let bid_delay = daemon.bid_delay();
            if peer_claim.is_some() {
                vacant_since = None;
            }
            daemon.lease.borrow_mut().set_bid_delay(bid_delay);
            let step = daemon.lease.borrow_mut().next_step(now, peer_claim);
            match step {
                LeaseStep::Sleep(until) => {
                    let _woken =
                        timeout(until.saturating_sub(now), daemon.renewal_due.notified()).await;
                }
                LeaseStep::Read if self.defers_reads() => {
                    let due = *vacant_since.get_or_insert(now) + bid_delay;
                    if now >= due {
                        self.read_lease().await;
                    } else {
                        sleep(POLL_INTERVAL.min(due.saturating_sub(now))).await;
                    }
                }
                LeaseStep::Read => self.read_lease().await,
                LeaseStep::Append(at, record) => self.append_lease(at, &record).await,
            }
        }
    }

    /// Returns whether this daemon leaves the lease to others, because it reaches no engine and peers do. Releases the
    /// lease if this daemon holds it.
    async fn hands_over(&self) -> bool {
        let daemon = &self.daemon;
        if !daemon.server_paths.borrow().is_cut(daemon.now()) {
            return false;
        }
        if daemon.lease.borrow().may_hold() {
            slog::info!(daemon.log, "lease-handover"; "reason" => "no engine responds over own links");
            self.release().await;
        }
        // If the store does not respond, nobody else could acquire the lease, so it is kept and renewed.
        !daemon.lease.borrow().may_hold()
    }

    /// Returns whether this daemon reads the lease only after its bid delay, because the fleet is large.
    ///
    /// Otherwise hundreds of daemons would read the lease whenever its holder fails. All but the first few learn of the
    /// next holder before their bid delay has passed.
    fn defers_reads(&self) -> bool {
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
                let record = raw.and_then(|raw| self.decode_record(raw));
                let was_held = daemon.fence().is_some();
                daemon.lease.borrow_mut().on_read(now, record.clone(), batch.end);
                if was_held != daemon.fence().is_some() {
                    slog::info!(daemon.log, "lease"; "held" => !was_held,
                        "record" => ?record, "end" => feed_offset::show(batch.end));
                }
            }
            Err(_failed) => daemon.lease.borrow_mut().on_store_failure(now),
        }
    }

    fn decode_record(&self, raw: &[u8]) -> Option<LeaseEntry> {
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
        let sent_at = daemon.now();
        let value = entries::encode(record);
        let feed_record = FeedRecord { key: SmolStr::new(PLACEMENT_KEY), value: Some(value) };
        let call = daemon.store.append(Feed::Leases, feed_record, Some(at));
        let result = track_call(daemon, Feed::Leases, call).await;
        let now = daemon.now();
        let mut lease = daemon.lease.borrow_mut();
        match result {
            Ok(offset) => {
                lease.on_appended(sent_at, now, offset);
                drop(lease);
                daemon.lease_renewed.notify_waiters();
                if record.fence.is_none() {
                    let blocked = daemon.lease.borrow().blocked_engines(now);
                    slog::info!(daemon.log, "lease"; "held" => true, "fence" => offset + 1,
                        "sent_ms_ago" => now.saturating_sub(sent_at).as_millis(),
                        "engines_held_back" => blocked.map_or("all".into(), |n| n.to_string()));
                    daemon.plan_due.notify_one();
                }
                // Peers that know the latest renewal wait no longer than necessary once renewals stop.
                self.gossip.publish_digest();
            }
            Err(StoreError::EndMismatch | StoreError::Expired) => {
                slog::info!(daemon.log, "lease-append-refused"; "at" => feed_offset::show(at));
                lease.on_conflict();
            }
            Err(StoreError::Refused(_)) => lease.on_store_failure(now),
            Err(StoreError::UnknownOutcome(error)) => {
                slog::info!(daemon.log, "lease-append-doubtful"; "at" => feed_offset::show(at), "error" => error);
                lease.on_unknown_outcome(sent_at, now);
            }
        }
    }

    /// Releases the lease, so that another daemon can acquire it at once. Does nothing if the lease is not held or the
    /// store does not respond.
    pub async fn release(&self) {
        for _ in 0..RELEASE_ATTEMPTS {
            if !self.try_release().await {
                return;
            }
            sleep(RELEASE_RETRY_DELAY).await;
        }
    }

    /// Returns whether to try again, because a renewal in flight was appended first.
    async fn try_release(&self) -> bool {
        let daemon = &self.daemon;
        let released = daemon.lease.borrow_mut().release(daemon.now());
        let Some((at, record)) = released else { return false };
        let value = Some(entries::encode(&record));
        let feed_record = FeedRecord { key: SmolStr::new(PLACEMENT_KEY), value };
        let call = daemon.store.append(Feed::Leases, feed_record, Some(at));
        let result = track_call(daemon, Feed::Leases, call).await;
        slog::info!(daemon.log, "lease-release"; "done" => result.is_ok(),
            "at" => feed_offset::show(at));
        // An append with an unknown outcome may have released the lease, so the lease is kept only if the append
        // certainly failed.
        if matches!(result, Ok(_) | Err(StoreError::UnknownOutcome(_))) {
            daemon.lease.borrow_mut().on_released();
        } else {
            daemon.lease.borrow_mut().on_release_failed();
        }
        self.gossip.publish_digest();
        matches!(result, Err(StoreError::EndMismatch))
    }
}
