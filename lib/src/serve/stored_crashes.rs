//! Crashes whose cause is not found yet in the platform's store, from which they are known after all daemons were killed at
//! once.
//!
//! Each process has one record of the crashes that it knows, while requests of its own may have caused one of them, and keeps those
//! of the daemon's former processes up to date.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::part_report::PartReport;
use crate::cluster::quarantine::CRASH_RETENTION;
use crate::cluster::quarantine_report::CrashId;
use crate::cluster::quarantine_report::QuarantineReport;
use crate::ids::FeedOffset;
use crate::placement::entries;
use crate::serve::daemon_state::DaemonState;
use crate::serve::outdated_records::remove_outdated;
use crate::serve::store_calls::track_call;
use crate::serve::write_pacer::WritePacer;
use crate::store::Feed;
use crate::store::FeedRecord;

/// Beginning of a record's key, which distinguishes it from those of quarantined requests and prompt parts.
const KEY_PREFIX: &str = "crashes:";
/// Interval at which the record is written again if parts or requests were cleared.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The stored records that this process keeps up to date.
#[derive(Debug, Default)]
pub struct StoredCrashes {
    /// Signalled when a crash was detected under a request that had just begun.
    detected: Notify,
    /// Records of former processes of this daemon, by key; what they suspect may have been answered since.
    former: RefCell<BTreeMap<SmolStr, CrashRecord>>,
}

impl StoredCrashes {
    /// Records that this daemon detected a crash.
    pub fn record_detected(&self) {
        self.detected.notify_one();
    }
}

/// The crashes that a process knows. Ages count from the time of the write.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct CrashRecord {
    requests: QuarantineReport,
    parts: PartReport,
}

impl CrashRecord {
    fn new(daemon: &DaemonState) -> Self {
        let now = daemon.now();
        let requests = daemon.quarantine.borrow().open_crashes(now);
        Self { requests, parts: daemon.part_quarantine.borrow().open_crashes(now) }
    }

    /// Returns what is still open of a record.
    fn still_open(&self, daemon: &DaemonState) -> Self {
        let now = daemon.now();
        let is_request_crash = |id: &CrashId| self.requests.crashes.iter().any(|c| c.id == *id);
        let is_part_crash = |id: &CrashId| self.parts.crashes.iter().any(|c| c.id == *id);
        let requests = daemon.quarantine.borrow().open_among(is_request_crash, now);
        Self { requests, parts: daemon.part_quarantine.borrow().open_among(is_part_crash, now) }
    }

    fn is_empty(&self) -> bool {
        self.requests.crashes.is_empty() && self.parts.crashes.is_empty()
    }

    /// Returns the record without ages, in which two records of the same facts differ.
    fn without_ages(&self) -> Self {
        let mut record = self.clone();
        record.requests.crashes.iter_mut().for_each(|crash| crash.age = Duration::ZERO);
        record.parts.crashes.iter_mut().for_each(|crash| crash.age = Duration::ZERO);
        record.parts.cleared.iter_mut().for_each(|(_, age)| *age = Duration::ZERO);
        record
    }
}

/// Returns whether a key is that of a process's record.
pub(super) fn is_key(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}

/// Stores the crashes that requests of this daemon may have caused, for as long as their cause is not found.
pub async fn store_crashes(daemon: Rc<DaemonState>) {
    let key = format_smolstr!("{KEY_PREFIX}{}/{}", daemon.settings().id, daemon.process);
    let mut pacer = WritePacer::default();
    let (mut last, mut offset) = (CrashRecord::default(), FeedOffset::default());
    loop {
        let _checked = timeout(CHECK_INTERVAL, daemon.stored_crashes.detected.notified()).await;
        let is_restored = !last.is_empty() && daemon.is_restored_since(offset);
        if CrashRecord::new(&daemon).without_ages() == last && !is_restored {
            update_former(&daemon, &mut pacer).await;
            continue;
        }
        let interval =
            WritePacer::interval(daemon.settings().store_writes, daemon.peers.borrow().daemons());
        sleep(pacer.next_write(interval).saturating_sub(daemon.now())).await;
        let record = CrashRecord::new(&daemon);
        pacer.record_write(interval, daemon.now());
        match write(&daemon, &key, &record).await {
            Some(at) => (last, offset) = (record.without_ages(), at),
            None => sleep(RETRY_DELAY).await,
        }
    }
}

/// Writes a record of this daemon's former processes again without what was cleared since, if there is one to write. It would
/// otherwise count against requests in every later process, as what cleared them is known to running processes only.
async fn update_former(daemon: &Rc<DaemonState>, pacer: &mut WritePacer) {
    let now = daemon.now();
    let interval =
        WritePacer::interval(daemon.settings().store_writes, daemon.peers.borrow().daemons());
    // The process's own record must not wait for these, so they leave room for one write.
    if pacer.next_write(interval) + interval > now {
        return;
    }
    let outdated = daemon.stored_crashes.former.borrow().iter().find_map(|(key, known)| {
        let open = known.still_open(daemon);
        (open.without_ages() != known.without_ages()).then(|| (key.clone(), open))
    });
    let Some((key, open)) = outdated else { return };
    pacer.record_write(interval, now);
    if write(daemon, &key, &open).await.is_none() {
        return;
    }
    let mut former = daemon.stored_crashes.former.borrow_mut();
    if open.is_empty() {
        former.remove(&key);
    } else {
        former.insert(key, open);
    }
}

/// Writes a record, or removes it if it is empty; returns its offset, or `None` if the store did not take it.
async fn write(
    daemon: &Rc<DaemonState>,
    key: &SmolStr,
    record: &CrashRecord,
) -> Option<FeedOffset> {
    let value: Option<Bytes> = (!record.is_empty()).then(|| entries::encode(record));
    slog::info!(daemon.log, "crashes-stored"; "requests" => record.requests.crashes.len(),
        "parts" => record.parts.crashes.len(), "bytes" => value.as_ref().map_or(0, Bytes::len));
    let stored = FeedRecord { key: key.clone(), value };
    let call = daemon.store.append(Feed::Quarantine, stored, None);
    track_call(daemon, Feed::Quarantine, call).await.ok()
}

/// Applies the record of a process that may have ended.
pub(super) fn load(daemon: &Rc<DaemonState>, key: &str, value: &[u8]) {
    match entries::decode::<CrashRecord>(value) {
        Ok(record) => {
            let now = daemon.now();
            daemon.quarantine.borrow_mut().merge_stored(&record.requests, now);
            daemon.part_quarantine.borrow_mut().merge_stored(&record.parts, now);
            let id = format_smolstr!("{KEY_PREFIX}{}/", daemon.settings().id);
            if key.starts_with(id.as_str()) {
                daemon.stored_crashes.former.borrow_mut().insert(key.into(), record);
            }
        }
        Err(error) => daemon.log_unreadable(Feed::Quarantine, key, &error.0),
    }
}

/// Removes, as the lease holder, records of ended processes whose crashes have expired.
pub async fn remove_expired(daemon: Rc<DaemonState>) {
    // A running process replaces its record before then.
    remove_outdated(daemon, Feed::Quarantine, is_key, CRASH_RETENTION).await;
}
