//! Removes records of ended processes from the platform's store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::boot_clock::Moment;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::track_call;
use crate::store::Feed;
use crate::store::FeedRecord;

/// Interval at which the lease holder looks for such records.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);

/// Removes, as the lease holder, records of a feed that have not changed for longer than `lifetime`; those of running processes
/// are rewritten within it. `is_removable` selects records of processes by their keys.
pub(super) async fn remove_outdated(
    daemon: Rc<DaemonState>,
    feed: Feed,
    is_removable: impl Fn(&str) -> bool,
    lifetime: Duration,
) {
    let mut seen: BTreeMap<SmolStr, (Bytes, Moment)> = BTreeMap::new();
    loop {
        sleep(CLEANUP_INTERVAL).await;
        if daemon.fence().is_none() {
            seen.clear();
            continue;
        }
        let call = daemon.store.list_latest(feed);
        let Ok(batch) = track_call(&daemon, feed, call).await else { continue };
        let now = daemon.now();
        let mut present = BTreeMap::new();
        for record in batch.records.into_iter().filter(|record| is_removable(&record.key)) {
            let Some(value) = record.value else { continue };
            let known = seen.remove(&record.key).filter(|(before, _)| *before == value);
            let since = known.map_or(now, |(_, since)| since);
            if now > since + lifetime {
                let removal = FeedRecord { key: record.key, value: None };
                let call = daemon.store.append(feed, removal, None);
                let _retried_later = track_call(&daemon, feed, call).await;
                continue;
            }
            present.insert(record.key, (value, since));
        }
        seen = present;
    }
}
