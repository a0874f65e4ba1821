//! Keeps the history of services' software versions up to date, and stores it for daemons that start later.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::cluster::version_history::StoredVersions;
use crate::ids::FeedOffset;
use crate::placement::entries;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::track_call;
use crate::store::Batch;
use crate::store::Feed;
use crate::store::FeedRecord;

/// Interval at which the servers' versions are compared with the stored ones.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The same for the lease holder, which orders no load at engines of a version that is not stored, and while the stored
/// versions may be lost.
const HOLDER_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a daemon checks whether it holds the lease.
const LEASE_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a failed listing is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reads the stored versions, also after changes of the servers were missed; then records those of listed servers, and
/// stores them as the lease holder.
pub async fn follow_versions(daemon: Rc<DaemonState>) {
    let mut end = FeedOffset::default();
    loop {
        if !daemon.version_history.borrow().is_complete() {
            daemon.version_history.borrow_mut().begin_read();
            let stored;
            (stored, end) = list_versions(&daemon).await;
            daemon.version_history.borrow_mut().load(stored, daemon.now());
        }
        observe_servers(&daemon);
        let is_holder = daemon.fence().is_some();
        let is_outdated = daemon.is_restored_since(end);
        if is_holder {
            if is_outdated {
                let stored;
                (stored, end) = list_versions(&daemon).await;
                daemon.version_history.borrow_mut().set_stored(stored);
            }
            store_changes(&daemon).await;
        }
        let interval = if is_holder || is_outdated { HOLDER_INTERVAL } else { CHECK_INTERVAL };
        wait_as(&daemon, is_holder, interval).await;
    }
}

/// Waits for `interval`, or until this daemon begins or ceases to be the lease holder.
async fn wait_as(daemon: &DaemonState, is_holder: bool, interval: Duration) {
    let until = daemon.now() + interval;
    while daemon.now() < until && daemon.fence().is_some() == is_holder {
        sleep(LEASE_INTERVAL).await;
    }
}

/// Reads the stored versions, and up to where in the feed.
async fn list_versions(daemon: &DaemonState) -> (StoredVersions, FeedOffset) {
    loop {
        let call = daemon.store.list_latest(Feed::Versions);
        match track_call(daemon, Feed::Versions, call).await {
            Ok(batch) => return (parse_versions(daemon, &batch), batch.end),
            Err(_failed) => sleep(RETRY_DELAY).await,
        }
    }
}

fn parse_versions(daemon: &DaemonState, batch: &Batch) -> StoredVersions {
    daemon.log_unreadable_records(Feed::Versions, batch);
    let mut stored = StoredVersions::new();
    for record in &batch.records {
        let Some(value) = &record.value else { continue };
        match entries::decode(value) {
            Ok(versions) => {
                stored.insert(record.key.clone(), versions);
            }
            Err(error) => daemon.log_unreadable(Feed::Versions, &record.key, &error.0),
        }
    }
    stored
}

fn observe_servers(daemon: &DaemonState) {
    let now = daemon.now();
    let mut history = daemon.version_history.borrow_mut();
    for server in daemon.directory.borrow().all_servers().filter(|s| !s.version.is_empty()) {
        history.observe(&server.service, &server.version, now);
    }
}

/// Stores the versions of each service for which they have changed.
async fn store_changes(daemon: &DaemonState) {
    let all = daemon.version_history.borrow().all(daemon.now());
    for (service, versions) in all {
        if daemon.version_history.borrow().stored(&service) == Some(&versions) {
            continue;
        }
        let value = Some(entries::encode(&versions));
        let record = FeedRecord { key: service.clone(), value };
        let call = daemon.store.append(Feed::Versions, record, None);
        if track_call(daemon, Feed::Versions, call).await.is_ok() {
            slog::info!(daemon.log, "software-versions"; "service" => service.as_str(),
                "versions" => versions.join(","));
            daemon.version_history.borrow_mut().record_stored(service, versions);
            daemon.plan_due.notify_one();
        }
    }
}
