//! The quarantine in the platform's store, from which it is known after all daemons were replaced at once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine_report::CrashId;
use crate::placement::entries;
use crate::serve::daemon_state::DaemonState;
use crate::serve::part_suspects;
use crate::serve::store_calls::backoff_after;
use crate::serve::store_calls::track_repeatable;
use crate::serve::stored_crashes;
use crate::serve::suspects::log_quarantined;
use crate::store::Feed;
use crate::store::FeedRecord;

/// Delay after the first failed call; each further one doubles it.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a failed call to the store is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a daemon's first requests wait for the quarantine: several responses of a store that all daemons call at
/// once, and little beside the time that callers allow a first token.
const MAX_READ_WAIT: Duration = Duration::from_millis(300);

/// Whether this process has read the stored quarantine.
#[derive(Debug, Default)]
pub struct StoredQuarantine {
    /// Whether it has.
    pub is_read: Cell<bool>,
    /// Until when requests wait for it; `None` before the first one.
    wait_until: Cell<Option<Moment>>,
    /// Signalled when it has been read.
    read: Notify,
}

/// A quarantined request or prompt part in the store, for daemons that start later and for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct QuarantineRecord {
    /// Crashes that the request, or prompt part, is suspected to have caused.
    pub(super) crashes: Vec<CrashId>,
}

/// Writes a quarantined request to the store, since all daemons may be replaced at once.
pub(super) async fn store_quarantined(daemon: Rc<DaemonState>, fingerprint: Fingerprint) {
    let record = held_record(&daemon, &fingerprint);
    append(daemon, record).await;
}

fn held_record(daemon: &DaemonState, fingerprint: &Fingerprint) -> FeedRecord {
    let quarantine = daemon.quarantine.borrow();
    let crashes = quarantine.suspected_crashes(fingerprint).into_iter().cloned().collect();
    let value = Some(entries::encode(&QuarantineRecord { crashes }));
    FeedRecord { key: fingerprint.key(), value }
}

/// Returns the records of all quarantined requests and prompt parts.
pub(super) fn held_records(daemon: &DaemonState) -> Vec<FeedRecord> {
    let held: Vec<_> = daemon.quarantine.borrow().held().copied().collect();
    let mut records: Vec<_> = held.iter().map(|print| held_record(daemon, print)).collect();
    records.extend(part_suspects::held_records(daemon));
    records
}

/// Writes a record, again and again until the store has taken it: a hold that is not stored is lost if all daemons are killed.
pub(super) async fn append(daemon: Rc<DaemonState>, record: FeedRecord) {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let sent_at = daemon.now();
        let call = daemon.store.append(Feed::Quarantine, record.clone(), None);
        if track_repeatable(&daemon, Feed::Quarantine, call).await.is_ok() {
            return;
        }
        backoff_after(&daemon, sent_at, delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Waits until the stored quarantine has been read, for a moment at most: callers are served without it if the store is
/// silent.
pub async fn wait_until_read(daemon: &DaemonState) {
    let stored = &daemon.stored_quarantine;
    if stored.is_read.get() {
        return;
    }
    let now = daemon.now();
    let until = stored.wait_until.get().unwrap_or(now + MAX_READ_WAIT);
    stored.wait_until.set(Some(until));
    let read = async {
        loop {
            let read = stored.read.notified();
            if stored.is_read.get() {
                return;
            }
            read.await;
        }
    };
    let _timed_out = timeout(until.saturating_sub(now), read).await;
}

/// Loads what was quarantined before this daemon started.
pub async fn load_quarantine(daemon: Rc<DaemonState>) {
    daemon.part_quarantine.borrow_mut().set_unread(true);
    let began = daemon.now();
    let mut calls = 0;
    let mut delay = MIN_RETRY_DELAY;
    loop {
        calls += 1;
        let sent_at = daemon.now();
        let call = daemon.store.list_latest(Feed::Quarantine);
        let Ok(batch) = track_repeatable(&daemon, Feed::Quarantine, call).await else {
            backoff_after(&daemon, sent_at, delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
            continue;
        };
        daemon.log_unreadable_records(Feed::Quarantine, &batch);
        for record in &batch.records {
            let Some(value) = &record.value else { continue };
            if stored_crashes::is_key(&record.key) {
                stored_crashes::load(&daemon, &record.key, value);
                continue;
            }
            if PromptPart::is_key(&record.key) {
                part_suspects::load(&daemon, &record.key);
                continue;
            }
            match Fingerprint::try_from(record.key.as_str()) {
                Ok(fingerprint) => {
                    daemon.quarantine.borrow_mut().hold(fingerprint, daemon.now());
                    log_quarantined(&daemon, fingerprint, "store");
                }
                Err(error) => daemon.log_unreadable(Feed::Quarantine, &record.key, &error.0),
            }
        }
        daemon.part_quarantine.borrow_mut().set_unread(false);
        daemon.stored_quarantine.is_read.set(true);
        daemon.stored_quarantine.read.notify_waiters();
        slog::info!(daemon.log, "quarantine-read"; "records" => batch.records.len(),
            "calls" => calls, "started_ms_ago" => daemon.now().saturating_sub(began).as_millis(),
            "config" => daemon.config_version());
        return;
    }
}
