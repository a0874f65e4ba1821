//! Origins of streams in the platform's store, from which they are known after all daemons were killed at once.
//!
//! Each process has one record of its streams in progress, which it replaces at intervals while several software versions
//! serve. At other times nothing is stored.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::origin_message::OriginMessage;
use crate::cluster::stream_origin::StreamKey;
use crate::cluster::stream_origins::KnownOrigin;
use crate::cluster::stream_origins::MAX_STREAM_TIME;
use crate::ids::FeedOffset;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::track_call;
use crate::store::Feed;
use crate::store::FeedRecord;

/// Shortest interval between two writes of a daemon. Streams that began since the last one are lost with all daemons.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The same for each daemon of the fleet: all together write 333 records a second at most.
const WRITE_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(3);
/// Shortest interval between two listings: what was stored after the first is known to living daemons.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait of a request for a listing.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the lease holder looks for records of former processes.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);

/// Which stored origins this daemon has read.
#[derive(Debug, Default)]
pub struct StoredOrigins {
    /// When the last listing began.
    began: Cell<Option<Moment>>,
    /// When the last successful listing began; what was stored before then is known.
    listed_at: Cell<Option<Moment>>,
    is_listing: Cell<bool>,
    ended: Notify,
}

/// Stores the origins of this daemon's streams in progress while several software versions serve.
pub async fn store_origins(daemon: Rc<DaemonState>) {
    let key = format_smolstr!("{}/{}", daemon.settings().id, daemon.process);
    let mut stored: (Option<Bytes>, FeedOffset) = <_>::default();
    // Daemons that start together write at different times.
    sleep(write_interval(&daemon).mul_f64((daemon.process % 100) as f64 / 100.0)).await;
    loop {
        sleep(write_interval(&daemon)).await;
        let value = unfinished_origins(&daemon);
        if value == stored.0 && !daemon.is_restored_since(stored.1) {
            continue;
        }
        if value.is_some() != stored.0.is_some() {
            slog::info!(daemon.log, "stream-origins-stored"; "begun" => value.is_some(),
                "bytes" => value.as_ref().map_or(0, Bytes::len),
                "interval_ms" => write_interval(&daemon).as_millis());
        }
        let record = FeedRecord { key: key.clone(), value: value.clone() };
        let call = daemon.store.append(Feed::Origins, record, None);
        if let Ok(offset) = track_call(&daemon, Feed::Origins, call).await {
            stored = (value, offset);
        }
    }
}

fn write_interval(daemon: &DaemonState) -> Duration {
    let daemons = u32::try_from(daemon.peers.borrow().daemons()).unwrap_or(u32::MAX);
    MIN_WRITE_INTERVAL.max(WRITE_INTERVAL_PER_DAEMON.saturating_mul(daemons))
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
) -> Option<KnownOrigin> {
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
    daemon.stream_origins.borrow().get(stream, daemon.now())
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
pub async fn remove_outdated(daemon: Rc<DaemonState>) {
    let mut seen: BTreeMap<SmolStr, (Bytes, Moment)> = BTreeMap::new();
    loop {
        sleep(CLEANUP_INTERVAL).await;
        if daemon.fence().is_none() {
            seen.clear();
            continue;
        }
        let call = daemon.store.list_latest(Feed::Origins);
        let Ok(batch) = track_call(&daemon, Feed::Origins, call).await else { continue };
        let now = daemon.now();
        let mut present = BTreeMap::new();
        for record in batch.records {
            let Some(value) = record.value else { continue };
            let known = seen.remove(&record.key).filter(|(before, _)| *before == value);
            let since = known.map_or(now, |(_, since)| since);
            // A running process replaces its record before then.
            if now > since + MAX_STREAM_TIME {
                let removal = FeedRecord { key: record.key, value: None };
                let call = daemon.store.append(Feed::Origins, removal, None);
                let _retried_later = track_call(&daemon, Feed::Origins, call).await;
                continue;
            }
            present.insert(record.key, (value, since));
        }
        seen = present;
    }
}
