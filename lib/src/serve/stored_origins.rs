//! Origins of streams in the platform's store, from which they are known after all daemons were killed at once.
//!
//! Each process has one record of its streams in progress while several software versions serve. It replaces the record
//! when a stream begins, and a stream's first event waits a moment for that. At other times nothing is stored.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::format_smolstr;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::origin_message::OriginMessage;
use crate::cluster::stream_origin::StreamKey;
use crate::cluster::stream_origins::KnownOrigin;
use crate::cluster::stream_origins::MAX_STREAM_TIME;
use crate::ids::FeedOffset;
use crate::serve::daemon_state::DaemonState;
use crate::serve::outdated_records::remove_outdated;
use crate::serve::store_calls::track_call;
use crate::serve::write_pacer::WritePacer;
use crate::store::Feed;
use crate::store::FeedRecord;

/// Longest wait of a stream's first event for its record: less than the 64 ms that callers expect between two tokens.
const MAX_STORE_WAIT: Duration = Duration::from_millis(60);
/// Longest time between checks whether something must be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which completed streams are removed from the record if no stream begins.
const REWRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Shortest interval between two listings: what was stored after the first is known to living daemons.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait of a request for a listing.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// Which of its origins this daemon has stored, and which stored ones it has read.
#[derive(Debug, Default)]
pub struct StoredOrigins {
    /// Signalled when a stream has begun.
    begun: Notify,
    /// Number of streams that had begun by the last acknowledged write; zero while nothing is stored.
    stored: Cell<u64>,
    /// Earliest time of the next write.
    next_write: Cell<Moment>,
    /// Signalled when a write was acknowledged.
    acknowledged: Notify,
    /// When the last listing began.
    began: Cell<Option<Moment>>,
    /// When the last successful listing began; what was stored before then is known.
    listed_at: Cell<Option<Moment>>,
    is_listing: Cell<bool>,
    ended: Notify,
}

/// Result of looking up a stream among the stored origins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoredLookup {
    /// Its origin.
    Known(KnownOrigin),
    /// No record contains it.
    Unknown,
    /// This process has not read them yet.
    Unread,
}

/// What a process has stored.
#[derive(Debug, Default)]
struct LastWrite {
    value: Option<Bytes>,
    offset: FeedOffset,
    at: Moment,
}

impl StoredOrigins {
    /// Records that a stream of this daemon has begun.
    pub fn record_begun(&self) {
        self.begun.notify_one();
    }
}

/// Waits until the origins of all streams that have begun here are stored, if their service has several software versions;
/// returns after 60 ms in any case, and at once if no write can begin by then.
pub async fn wait_until_stored(daemon: &DaemonState, service: &ServiceName) {
    let now = daemon.now();
    let origins = &daemon.stored_origins;
    if !daemon.version_history.borrow().has_several(service, now)
        || origins.next_write.get() > now + MAX_STORE_WAIT
    {
        return;
    }
    let begun = daemon.stream_origins.borrow().begun();
    let stored = async {
        loop {
            let acknowledged = origins.acknowledged.notified();
            if origins.stored.get() >= begun {
                return;
            }
            acknowledged.await;
        }
    };
    let _timed_out = timeout(MAX_STORE_WAIT, stored).await;
}

/// Stores the origins of this daemon's streams in progress while several software versions serve.
pub async fn store_origins(daemon: Rc<DaemonState>) {
    let key = format_smolstr!("{}/{}", daemon.settings().id, daemon.process);
    let origins = &daemon.stored_origins;
    let mut pacer = WritePacer::default();
    let mut last = LastWrite::default();
    loop {
        let _checked = timeout(CHECK_INTERVAL, origins.begun.notified()).await;
        if !is_due(&daemon, &last) {
            continue;
        }
        let interval = write_interval(&daemon);
        sleep(pacer.next_write(interval).saturating_sub(daemon.now())).await;
        let now = daemon.now();
        let begun = daemon.stream_origins.borrow().begun();
        let value = unfinished_origins(&daemon);
        if value != last.value || daemon.is_restored_since(last.offset) {
            if value.is_some() != last.value.is_some() {
                slog::info!(daemon.log, "stream-origins-stored"; "begun" => value.is_some(),
                    "bytes" => value.as_ref().map_or(0, Bytes::len),
                    "interval_ms" => interval.as_millis());
            }
            pacer.record_write(interval, now);
            origins.next_write.set(pacer.next_write(interval));
            let record = FeedRecord { key: key.clone(), value: value.clone() };
            let call = daemon.store.append(Feed::Origins, record, None);
            let Ok(offset) = track_call(&daemon, Feed::Origins, call).await else {
                origins.next_write.set(daemon.now() + RETRY_DELAY);
                sleep(RETRY_DELAY).await;
                continue;
            };
            last.offset = offset;
        }
        let is_stored = daemon.version_history.borrow().is_mixed(now);
        origins.stored.set(if is_stored { begun } else { 0 });
        origins.acknowledged.notify_waiters();
        (last.value, last.at) = (value, now);
    }
}

/// Returns whether the stored record may lack a stream, or should no longer hold what it does.
fn is_due(daemon: &DaemonState, last: &LastWrite) -> bool {
    let now = daemon.now();
    if !daemon.version_history.borrow().is_mixed(now) {
        return last.value.is_some();
    }
    daemon.stream_origins.borrow().begun() != daemon.stored_origins.stored.get()
        || now >= last.at + REWRITE_INTERVAL
        || daemon.is_restored_since(last.offset)
}

fn write_interval(daemon: &DaemonState) -> Duration {
    WritePacer::interval(daemon.settings().store_writes, daemon.peers.borrow().daemons())
}

/// Returns the record of this daemon's streams in progress; `None` if it has none, or their origins need no record.
fn unfinished_origins(daemon: &DaemonState) -> Option<Bytes> {
    let now = daemon.now();
    if !daemon.version_history.borrow().is_mixed(now) {
        return None;
    }
    let reports = daemon.stream_origins.borrow().unfinished(now);
    (!reports.is_empty()).then(|| OriginMessage::Reports(reports).encode().into())
}

/// Looks up a stream among the stored origins, after a listing that began after `since` unless the last one began a moment
/// ago.
pub async fn look_up_stored(
    daemon: &Rc<DaemonState>,
    stream: StreamKey,
    since: Moment,
) -> StoredLookup {
    let listings = &daemon.stored_origins;
    let listing = async {
        loop {
            let ended = listings.ended.notified();
            if listings.listed_at.get().is_some_and(|at| at >= since) {
                return;
            }
            if !listings.is_listing.get() {
                let next = listings.began.get().map(|began| began + LIST_INTERVAL);
                if next.is_some_and(|next| daemon.now() < next) {
                    return;
                }
                listings.is_listing.set(true);
                spawn_local(list_origins(Rc::clone(daemon)));
            }
            ended.await;
        }
    };
    let _timed_out = timeout(LIST_TIMEOUT, listing).await;
    match daemon.stream_origins.borrow().get(stream, daemon.now()) {
        Some(known) => StoredLookup::Known(known),
        None if listings.listed_at.get().is_some() => StoredLookup::Unknown,
        None => StoredLookup::Unread,
    }
}

async fn list_origins(daemon: Rc<DaemonState>) {
    let listings = &daemon.stored_origins;
    let began = daemon.now();
    listings.began.set(Some(began));
    let call = daemon.store.list_latest(Feed::Origins);
    if let Ok(batch) = track_call(&daemon, Feed::Origins, call).await {
        daemon.log_unreadable_records(Feed::Origins, &batch);
        let now = daemon.now();
        let mut count = 0;
        for record in &batch.records {
            let Some(value) = &record.value else { continue };
            match OriginMessage::decode(value) {
                Ok(OriginMessage::Reports(reports)) => {
                    count += reports.len();
                    let mut origins = daemon.stream_origins.borrow_mut();
                    for report in reports {
                        origins.record_stored(report, now);
                    }
                }
                Ok(_) => daemon.log_unreadable(Feed::Origins, &record.key, "another message"),
                Err(error) => {
                    daemon.log_unreadable(Feed::Origins, &record.key, &error.to_string());
                }
            }
        }
        slog::info!(daemon.log, "stream-origins-read"; "records" => batch.records.len(),
            "streams" => count, "ms" => now.saturating_sub(began).as_millis());
        listings.listed_at.set(Some(began));
    }
    listings.is_listing.set(false);
    listings.ended.notify_waiters();
}

/// Removes, as the lease holder, records of ended processes whose streams have expired.
pub async fn remove_expired(daemon: Rc<DaemonState>) {
    // A running process replaces its record before then.
    remove_outdated(daemon, Feed::Origins, |_key| true, MAX_STREAM_TIME).await;
}
