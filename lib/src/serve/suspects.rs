//! Quarantine of requests under which servers crash: detects crashes, refuses, reports and stores quarantined requests.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::cluster::directory::Server;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::part_report::ExposedPrompt;
use crate::cluster::quarantine::HOLD_TIME;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::quarantine_report::QuarantineReport;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::DaemonId;
use crate::serve::abandoned_streams::AbandonedSend;
use crate::serve::attempt::Attempt;
use crate::serve::daemon_state::DaemonState;
use crate::serve::exposure::Exposure;
use crate::serve::part_suspects;
use crate::serve::reply::Refusal;
use crate::serve::send::Disconnect;
use crate::serve::send::SendFailure;
use crate::serve::stored_quarantine::append;
use crate::serve::stored_quarantine::store_quarantined;
use crate::serve::trials;
use crate::serve::trials::Trial;
use crate::serve::trials::TrialKey;
use crate::store::FeedRecord;

/// Reason for the refusal of a quarantined request, for the log and the caller.
pub const QUARANTINED_REASON: &str = "servers crash under this request";
/// Time after which callers may come back whose requests are refused because the stored quarantine is not known yet.
const UNREAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time within which a host refuses a connection to a port without a listener: some round trips between data centres.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after its first event during which a stream counts as just begun.
pub(super) const EARLY_STREAM_TIME: Duration = Duration::from_millis(500);
/// Longest trial after the first event. The next copy of a suspect would wait for the end of a long stream otherwise.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(3);
/// Daemons that tell a peer what they know of a request without having detected a crash: some may be gone.
const MAX_ANSWERS: usize = 3;

impl DaemonState {
    /// Returns whether a request must not be sent to any server; each call extends its quarantine.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantine.borrow_mut().is_held(fingerprint, self.now())
    }

    /// Records how far a server progressed with a request.
    pub fn record_progress(self: &Rc<Self>, attempt: &Attempt, progress: RequestProgress) {
        part_suspects::record_progress(self, attempt, progress);
        attempt.survived.set(attempt.survived.get() || progress == RequestProgress::Complete);
        if self.quarantine.borrow_mut().record_progress(attempt.fingerprint, progress, self.now()) {
            self.quarantine_changed.notify_one();
        }
    }

    /// Records that events of a stream were just received.
    pub fn record_events(self: &Rc<Self>, attempt: &mut Attempt) {
        if attempt.unproven_since.is_some_and(|first| self.now() >= first + EARLY_STREAM_TIME) {
            attempt.unproven_since = None;
            self.record_progress(attempt, RequestProgress::Streaming);
            self.end_passed_trial(attempt);
        }
        if attempt.first_event.is_some_and(|first| self.now() >= first + MAX_TRIAL_TIME) {
            attempt.end_trial();
        }
    }

    /// Ends the trial of an attempt that got further than the crashes that it was suspected of.
    pub fn end_passed_trial(&self, attempt: &mut Attempt) {
        if attempt.trial.is_some() && self.trial_key(attempt).is_none() {
            attempt.end_trial();
        }
    }

    /// Returns the refusal of a quarantined request, or of one with a quarantined prompt part; `None` if neither is in
    /// quarantine.
    pub fn quarantine_refusal(self: &Rc<Self>, attempt: &Attempt) -> Option<Refusal> {
        evaluate(self, attempt.fingerprint);
        let is_held =
            self.is_quarantined(&attempt.fingerprint) || part_suspects::is_held(self, attempt);
        let is_read = self.stored_quarantine.is_read.get();
        let retry_after = if is_read { HOLD_TIME } else { UNREAD_RETRY_AFTER };
        is_held.then(|| Refusal::failed(attempt.verdict, QUARANTINED_REASON, retry_after))
    }

    /// Returns whether this daemon is one of the few that tell `asker` what they know of a request, though they detected no
    /// crash under it.
    pub fn answers_for(&self, fingerprint: &Fingerprint, asker: &DaemonId) -> bool {
        let own_rank = trials::rank(fingerprint, &self.settings().id);
        let peers = self.peers.borrow();
        let others = peers.reachable(self.now()).filter(|(id, _)| *id != asker);
        others.filter(|(id, _)| trials::rank(fingerprint, id) < own_rank).count() < MAX_ANSWERS
    }

    /// Returns whether servers crashed under a request that has not been cleared of these crashes.
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantine.borrow().is_tried(fingerprint)
    }

    /// Returns what a request is suspected for: one of its prompt parts, or itself. Requests that have it in common are
    /// tried one at a time. `None` if it is no suspect.
    pub fn trial_key(&self, attempt: &Attempt) -> Option<TrialKey> {
        let parts = self.part_quarantine.borrow();
        if let Some(part) = parts.main_suspect(&attempt.prompt_parts, self.now()) {
            return Some(TrialKey::Part(part.fingerprint()));
        }
        let is_suspect = self.is_suspect(&attempt.fingerprint);
        is_suspect.then_some(TrialKey::Request(attempt.fingerprint))
    }

    /// Returns for how long a suspected request must not be sent yet, because other suspects may be cleared meanwhile.
    /// Crashes that peers report may prolong it at any time until the request is sent.
    pub fn decision_delay(&self, attempt: &Attempt) -> Duration {
        let now = self.now();
        let of_request = self.quarantine.borrow().decision_delay(&attempt.fingerprint, now);
        let of_parts = self.part_quarantine.borrow().decision_delay(&attempt.prompt_parts, now);
        of_request.max(of_parts)
    }
}

/// Checks after a failed send whether the server crashed; if so, records that the request may have caused it. Either way
/// the trial of a suspect ends.
///
/// A crashed server refuses connections. One that only dropped this connection, sends wrong responses or is
/// unreachable does not, and one that is leaving ends as planned.
pub async fn check_for_crash(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
    failure: &SendFailure,
) {
    let trial = attempt.trial.take();
    let Some(disconnect) = failure.disconnect else { return };
    let stage = crash_stage(daemon, attempt, disconnect);
    let Some(exposure) = Exposure::new(attempt, stage) else { return };
    // A task of its own: the caller may leave before the check is over.
    let check = spawn_local(record_if_crashed(Rc::clone(daemon), exposure, trial));
    let result = check.await;
    debug_assert!(result.is_ok(), "the check neither panics nor is aborted");
}

/// Records a crash of the server if there was one. The trial ends afterwards, so that the next copy of the request is sent
/// with the crash known.
async fn record_if_crashed(daemon: Rc<DaemonState>, exposure: Exposure, trial: Option<Trial>) {
    // The server may have restarted unnoticed before the request was sent: the connection ends at the time of the crash,
    // so it was one to the instance that is listed now.
    let Some((server, addr)) = active_instance(&daemon, &exposure.server) else {
        log_uncounted(&daemon, &exposure, "unlisted");
        return;
    };
    let exposure = Exposure { server, ..exposure };
    let is_known = daemon.quarantine.borrow().has_crashed(&exposure.server, exposure.sent_at);
    if is_known || refuses_connections(&daemon, &exposure.server, addr).await {
        record_crash(&daemon, &exposure);
    } else {
        log_uncounted(&daemon, &exposure, "running");
        // Something else may accept connections there, or the host may be dark: a new instance shows that it ended.
        daemon.abandoned_streams.push(AbandonedSend { exposure, is_silent: true });
    }
    drop(trial);
}

/// What became of the server of an abandoned send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fate {
    /// It runs, or nothing shows that it ended.
    Running,
    /// It crashed.
    Crashed,
    /// It ends as planned, or the request has been answered elsewhere.
    Irrelevant,
}

/// Records a crash of the server of an abandoned send if there was one. The server is asked only if `asks`; otherwise what
/// others report and the directory decide.
pub(super) async fn record_if_ended(
    daemon: &Rc<DaemonState>,
    exposure: &Exposure,
    asks: bool,
) -> Fate {
    let server = &exposure.server;
    // Copies of a request that are answered by other servers show that it did not end this one.
    let answered_at = daemon.quarantine.borrow().answered_at(&exposure.fingerprint);
    if exposure.survived.get() || answered_at.is_some_and(|at| at > exposure.sent_at) {
        return Fate::Irrelevant;
    }
    let listed = daemon.directory.borrow().get(&server.id).cloned();
    let is_replaced = listed.as_ref().is_some_and(|listed| listed.instance() != *server);
    let is_planned = listed.as_ref().is_some_and(|listed| !is_replaced && listed.leaving);
    if is_planned || daemon.directory.borrow().has_announced(server) {
        return Fate::Irrelevant;
    }
    let (has_crashed, crashed_before) = {
        let quarantine = daemon.quarantine.borrow();
        let crash = quarantine.crash_after(server, exposure.sent_at);
        (quarantine.has_crashed(server, exposure.sent_at), crash.earlier > 0)
    };
    // After a known crash the request reached the next instance, which a new listing does not show to have ended.
    if is_replaced && crashed_before && !has_crashed {
        return Fate::Irrelevant;
    }
    let mut is_ended = is_replaced || has_crashed;
    if let Some(listed) = listed.filter(|_| asks && !is_ended) {
        is_ended = refuses_connections(daemon, server, listed.addr).await;
    }
    if !is_ended {
        return Fate::Running;
    }
    let mut exposure = exposure.clone();
    let parts = daemon.part_quarantine.borrow();
    exposure.parts.retain(|part| !parts.is_answered_since(part, exposure.sent_at));
    drop(parts);
    record_crash(daemon, &exposure);
    Fate::Crashed
}

/// Logs that the end of a connection to a server is not taken for a crash.
fn log_uncounted(daemon: &DaemonState, exposure: &Exposure, reason: &str) {
    slog::info!(daemon.log, "crash-uncounted"; "print" => %exposure.fingerprint,
        "attempt" => &exposure.attempt, "server" => %exposure.server,
        "stage" => exposure.stage.name(), "reason" => reason,
        "sent_ms_ago" => daemon.now().saturating_sub(exposure.sent_at).as_millis());
}

/// Returns the current instance of a server and its address; `None` if it is leaving or no longer in the directory.
fn active_instance(
    daemon: &DaemonState,
    server: &ServerInstance,
) -> Option<(ServerInstance, SocketAddr)> {
    let directory = daemon.directory.borrow();
    let known = directory.get(&server.id).filter(|s| !s.leaving);
    known.map(|s| (s.instance(), s.addr))
}

fn crash_stage(daemon: &DaemonState, attempt: &Attempt, disconnect: Disconnect) -> CrashStage {
    match (disconnect, attempt.first_event) {
        (Disconnect::BeforeHead, _) => CrashStage::Unanswered,
        (Disconnect::AfterHead, None) => CrashStage::BeforeEvents,
        (Disconnect::AfterHead, Some(first)) if daemon.now() < first + EARLY_STREAM_TIME => {
            CrashStage::FirstEvent
        }
        (Disconnect::AfterHead, Some(_)) => CrashStage::Streaming,
    }
}

/// Returns whether a server has ended: another instance is listed in its place, or it refuses connections.
pub async fn has_ended(daemon: &DaemonState, server: &Server) -> bool {
    let instance = server.instance();
    let listed = daemon.directory.borrow().get(&server.id).map(|s| s.instance());
    listed.is_some_and(|listed| listed != instance)
        || refuses_connections(daemon, &instance, server.addr).await
}

/// Returns whether a server refuses connections, of this daemon and of peers that can tell. If it accepts one, the
/// connection is kept for the next request.
async fn refuses_connections(
    daemon: &DaemonState,
    server: &ServerInstance,
    addr: SocketAddr,
) -> bool {
    match timeout(REFUSAL_TIMEOUT, daemon.pool.open_idle(server, addr)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            !daemon.may_be_running(server).await
        }
        Ok(_) | Err(_) => false,
    }
}

fn record_crash(daemon: &Rc<DaemonState>, exposure: &Exposure) {
    let Exposure { fingerprint, ref server, sent_at, stage, .. } = *exposure;
    let mut quarantine = daemon.quarantine.borrow_mut();
    quarantine.set_run_time(daemon.run_times.longest_mean());
    let id = quarantine.crash_after(server, sent_at);
    let is_held = quarantine.record_crash(server, sent_at, fingerprint, stage, daemon.now());
    let crashes = quarantine.open_crash_ids(&fingerprint).len();
    drop(quarantine);
    let part_ids = exposure.parts.iter().map(|part| part.id).collect();
    let prompt = ExposedPrompt { fingerprint, stage, parts: part_ids };
    let mut parts = daemon.part_quarantine.borrow_mut();
    parts.record_crash(&id, &exposure.service, prompt, daemon.now());
    let evidence = parts.evidence(&exposure.parts);
    drop(parts);
    slog::info!(daemon.log, "request-suspected"; "print" => %fingerprint,
        "attempt" => &exposure.attempt, "server" => %server, "stage" => stage.name(),
        "sent_ms_ago" => daemon.now().saturating_sub(sent_at).as_millis(),
        "crashes" => crashes, "parts" => part_suspects::shown_evidence(&evidence));
    let is_repeated = crashes > 1 || evidence.iter().any(|part| part.crashes > 1);
    if stage != CrashStage::Streaming || is_repeated {
        daemon.quarantine_changed.notify_one();
        daemon.stored_crashes.record_detected();
    }
    if is_held {
        begin_quarantine(daemon, fingerprint);
    }
}

/// Quarantines a request if the evidence suffices by now; peers may have reported more since the last check.
fn evaluate(daemon: &Rc<DaemonState>, fingerprint: Fingerprint) {
    let mut quarantine = daemon.quarantine.borrow_mut();
    quarantine.set_run_time(daemon.run_times.longest_mean());
    let is_held = quarantine.evaluate(fingerprint, daemon.now());
    drop(quarantine);
    if is_held {
        begin_quarantine(daemon, fingerprint);
    }
}

/// Logs a request that this daemon has just put in quarantine, and reports it to peers and the store.
fn begin_quarantine(daemon: &Rc<DaemonState>, fingerprint: Fingerprint) {
    daemon.quarantine_changed.notify_one();
    log_quarantined(daemon, fingerprint, "own");
    spawn_local(store_quarantined(Rc::clone(daemon), fingerprint));
}

pub(super) fn log_quarantined(daemon: &DaemonState, fingerprint: Fingerprint, from: &str) {
    let quarantine = daemon.quarantine.borrow();
    let servers: Vec<_> =
        quarantine.open_crash_ids(&fingerprint).iter().map(|c| c.server.id.as_str()).collect();
    slog::warn!(daemon.log, "request-held"; "print" => %fingerprint, "from" => from,
        "servers" => servers.join(","), "held" => quarantine.held().count());
    daemon.metrics.set_quarantined(quarantine.held().count());
}

/// Merges a peer's quarantine report.
pub fn merge_report(daemon: &Rc<DaemonState>, report: &QuarantineReport, from: &str) {
    let held = daemon.quarantine.borrow_mut().merge(report, daemon.now());
    for fingerprint in held {
        log_quarantined(daemon, fingerprint, from);
        // If every daemon learned of the request only from reports, none has stored it. Only the lease holder writes
        // the record, since one is enough.
        if daemon.fence().is_some() {
            spawn_local(store_quarantined(Rc::clone(daemon), fingerprint));
        }
    }
}

/// Releases quarantined requests and prompt parts that no caller has sent again for [`HOLD_TIME`].
pub fn release_expired(daemon: &Rc<DaemonState>) {
    part_suspects::release_expired(daemon);
    let released = daemon.quarantine.borrow_mut().sweep(daemon.now());
    for fingerprint in released {
        slog::info!(daemon.log, "request-released"; "print" => %fingerprint);
        daemon.metrics.set_quarantined(daemon.quarantine.borrow().held().count());
        // Only the lease holder appends the deletion, since one record is enough.
        if daemon.fence().is_some() {
            spawn_local(append(
                Rc::clone(daemon),
                FeedRecord { key: fingerprint.key(), value: None },
            ));
        }
    }
}
