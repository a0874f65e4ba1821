//! What becomes of requests under which servers crash.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::quarantine::HOLD_TIME;
use crate::cluster::quarantine_report::CrashId;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::quarantine_report::QuarantineReport;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::server_instance::ServerInstance;
use crate::placement::entries;
use crate::serve::attempt::Attempt;
use crate::serve::daemon_state::DaemonState;
use crate::serve::reply::Refusal;
use crate::serve::send::Disconnect;
use crate::serve::send::SendFailure;
use crate::serve::store_calls::track_call;
use crate::store::Feed;
use crate::store::FeedRecord;

/// Why a request is held, for the log and its caller.
pub const QUARANTINED_REASON: &str = "servers crash under this request";
/// Time in which a host says that nothing listens at a port: some round trips between data centres.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Events go on for a while once the first one is older than this.
const YOUNG: Duration = Duration::from_millis(500);
/// Pause before a call to the store is made again.
const STORE_PAUSE: Duration = Duration::from_secs(1);

/// A held request in the store, for daemons that start later, and for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct HeldEntry {
    /// Crashes that it is believed to have caused.
    crashes: Vec<CrashId>,
}

impl DaemonState {
    /// Returns whether a request may go to no server; asking keeps it held.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantine.borrow_mut().is_held(fingerprint, self.now())
    }

    /// Takes in how far a server came with a request.
    pub fn record_passed(&self, attempt: &Attempt, passed: RequestProgress) {
        if self.quarantine.borrow_mut().record_progress(attempt.fingerprint, passed, self.now()) {
            self.quarantine_changed.notify_one();
        }
    }

    /// Takes in that events of a stream have just come.
    pub fn record_events(&self, attempt: &mut Attempt) {
        if attempt.young_since.is_some_and(|first| self.now() >= first + YOUNG) {
            attempt.young_since = None;
            self.record_passed(attempt, RequestProgress::Streaming);
        }
    }

    /// Returns the answer to a request that is held.
    pub fn quarantine_refusal(self: &Rc<Self>, attempt: &Attempt) -> Option<Refusal> {
        judge(self, attempt.fingerprint);
        let is_held = self.is_quarantined(&attempt.fingerprint);
        is_held.then(|| Refusal::failed(attempt.verdict, QUARANTINED_REASON, HOLD_TIME))
    }

    /// Returns whether servers crashed under a request that nobody cleared of it.
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        !self.quarantine.borrow().suspected_crashes(fingerprint).is_empty()
    }
}

/// Takes in that a send failed: where its server crashed, the request may have done it.
///
/// A server that crashed refuses connections; one that only lost this connection, gives wrong answers or is cut off
/// does not, and one that is leaving ends as planned.
pub async fn check_for_crash(daemon: &Rc<DaemonState>, attempt: &Attempt, failure: &SendFailure) {
    let (Some(broke), Some(server)) = (failure.disconnect, attempt.last_server.clone()) else {
        return;
    };
    let Some(addr) = address(daemon, &server) else { return };
    let stage = stage(daemon, attempt, broke);
    let is_known = daemon.quarantine.borrow().has_crashed(&server, attempt.sent_at);
    if is_known || refuses(daemon, &server, addr).await {
        note_crash(daemon, attempt, &server, stage);
    }
}

/// Where a server listens, unless it is known to be leaving or gone.
fn address(daemon: &DaemonState, server: &ServerInstance) -> Option<SocketAddr> {
    let directory = daemon.directory.borrow();
    let known = directory.get(&server.id).filter(|s| s.born == server.born && !s.leaving);
    known.map(|s| s.addr)
}

fn stage(daemon: &DaemonState, attempt: &Attempt, broke: Disconnect) -> CrashStage {
    match (broke, attempt.first_event) {
        (Disconnect::AfterHead, None) => CrashStage::BeforeEvents,
        (Disconnect::AfterHead, Some(first)) if daemon.now() < first + YOUNG => {
            CrashStage::FirstEvent
        }
        _ => CrashStage::Other,
    }
}

/// Returns whether a server refuses connections. One that takes this connection gets the next request on it.
async fn refuses(daemon: &DaemonState, server: &ServerInstance, addr: SocketAddr) -> bool {
    match timeout(REFUSAL_TIME, daemon.pool.open_idle(server, addr)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(())) | Err(_) => false,
    }
}

fn note_crash(
    daemon: &Rc<DaemonState>,
    attempt: &Attempt,
    server: &ServerInstance,
    stage: CrashStage,
) {
    let fingerprint = attempt.fingerprint;
    let mut quarantine = daemon.quarantine.borrow_mut();
    let is_held =
        quarantine.record_crash(server, attempt.sent_at, fingerprint, stage, daemon.now());
    let crashes = quarantine.suspected_crashes(&fingerprint).len();
    drop(quarantine);
    if stage < CrashStage::Other || crashes > 1 {
        slog::info!(daemon.log, "request-suspected"; "print" => %fingerprint, "server" => %server,
            "stage" => stage.name(), "crashes" => crashes);
    }
    if stage == CrashStage::BeforeEvents {
        daemon.quarantine_changed.notify_one();
    }
    if is_held {
        hold(daemon, fingerprint);
    }
}

/// Holds a request if what peers have told since is enough.
fn judge(daemon: &Rc<DaemonState>, fingerprint: Fingerprint) {
    let is_held = daemon.quarantine.borrow_mut().evaluate(fingerprint, daemon.now());
    if is_held {
        hold(daemon, fingerprint);
    }
}

/// Tells everybody of a request that this daemon holds from now on.
fn hold(daemon: &Rc<DaemonState>, fingerprint: Fingerprint) {
    daemon.quarantine_changed.notify_one();
    note_held(daemon, fingerprint, "own");
    spawn_local(store_held(Rc::clone(daemon), fingerprint));
}

fn note_held(daemon: &DaemonState, fingerprint: Fingerprint, from: &str) {
    let quarantine = daemon.quarantine.borrow();
    let servers: Vec<_> =
        quarantine.suspected_crashes(&fingerprint).iter().map(|c| c.server.id.as_str()).collect();
    slog::warn!(daemon.log, "request-held"; "print" => %fingerprint, "from" => from,
        "servers" => servers.join(","), "held" => quarantine.held().count());
    daemon.metrics.set_quarantined(quarantine.held().count());
}

/// Takes in what a peer knows of such requests.
pub fn receive_note(daemon: &Rc<DaemonState>, note: &QuarantineReport, from: &str) {
    let held = daemon.quarantine.borrow_mut().merge(note, daemon.now());
    for fingerprint in held {
        note_held(daemon, fingerprint, from);
        // It may be that no daemon holds it by what it saw itself. One record is enough.
        if daemon.fence().is_some() {
            spawn_local(store_held(Rc::clone(daemon), fingerprint));
        }
    }
}

/// Lets go of requests that nobody has asked for in a long time.
pub fn release_expired(daemon: &Rc<DaemonState>) {
    let released = daemon.quarantine.borrow_mut().sweep(daemon.now());
    for fingerprint in released {
        slog::info!(daemon.log, "request-released"; "print" => %fingerprint);
        daemon.metrics.set_quarantined(daemon.quarantine.borrow().held().count());
        // One record is enough.
        if daemon.fence().is_some() {
            spawn_local(append(
                Rc::clone(daemon),
                FeedRecord { key: fingerprint.key(), value: None },
            ));
        }
    }
}

/// Writes a held request to the store, since all daemons may be replaced at once.
async fn store_held(daemon: Rc<DaemonState>, fingerprint: Fingerprint) {
    let crashes =
        daemon.quarantine.borrow().suspected_crashes(&fingerprint).into_iter().cloned().collect();
    let held = HeldEntry { crashes };
    append(daemon, FeedRecord { key: fingerprint.key(), value: Some(entries::encode(&held)) })
        .await;
}

async fn append(daemon: Rc<DaemonState>, record: FeedRecord) {
    loop {
        let call = daemon.store.append(Feed::Quarantine, record.clone(), None);
        if track_call(&daemon, Feed::Quarantine, call).await.is_ok() {
            return;
        }
        sleep(STORE_PAUSE).await;
    }
}

/// Reads which requests were held before this daemon started.
pub async fn load_quarantine(daemon: Rc<DaemonState>) {
    loop {
        let call = daemon.store.list_latest(Feed::Quarantine);
        let Ok(batch) = track_call(&daemon, Feed::Quarantine, call).await else {
            sleep(STORE_PAUSE).await;
            continue;
        };
        daemon.log_unreadable_records(Feed::Quarantine, &batch);
        for record in &batch.records {
            if record.value.is_none() {
                continue;
            }
            match Fingerprint::try_from(record.key.as_str()) {
                Ok(fingerprint) => {
                    daemon.quarantine.borrow_mut().hold(fingerprint, daemon.now());
                    note_held(&daemon, fingerprint, "store");
                }
                Err(error) => daemon.log_unreadable(Feed::Quarantine, &record.key, &error.0),
            }
        }
        return;
    }
}
