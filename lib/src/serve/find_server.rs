//! Finds a server for a request, waiting for the model to be loaded if no engine holds it.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ModelSpec;
use crate::cluster::server_instance::ServerInstance;
use crate::placement::demand::ModelTarget;
use crate::serve::admission::Admission;
use crate::serve::admission::AdmissionInput;
use crate::serve::attempt::Attempt;
use crate::serve::choose::ChosenServer;
use crate::serve::choose::EngineChoice;
use crate::serve::daemon_state::DaemonState;
use crate::serve::find_origin::VERSION_GONE;
use crate::serve::find_origin::VERSION_RETRY_AFTER;
use crate::serve::handle::OTHER_DAEMON_RETRY_AFTER;
use crate::serve::handle::UNREADY_RETRY_AFTER;
use crate::serve::reply::Refusal;
use crate::serve::server_feedback::RATE_LIMITED;
use crate::serve::server_feedback::retry_after;
use crate::serve::stored_quarantine::wait_until_read;
use crate::serve::suspects::QUARANTINED_REASON;
use crate::serve::trials::Claim;
use crate::serve::trials::REPORT_DELAY;
use crate::serve::trials::TrialKey;
use crate::verdict::Verdict;

/// Retry time given to a caller when no better estimate is available.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time reserved for the engine's first event after a wait for a model.
pub(super) const FIRST_EVENT_TIME: Duration = Duration::from_millis(200);
/// Longest usual time until the lease holder publishes its decision on a wait for a model, such as a load.
const ORDER_TIME: Duration = Duration::from_millis(700);
/// Delay before a request is sent again to engines that all refused it.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Time within which another engine must be found for an interrupted stream.
pub const RESUME_TIMEOUT: Duration = Duration::from_millis(1200);

/// Chooses a server, and waits for the model or adapter to be loaded if no engine holds it.
///
/// # Errors
///
/// Returns the refusal to send to the caller if there is no server, the request is quarantined, the engines are full
/// or the wait cannot end in time.
pub async fn find_server(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
) -> Result<ChosenServer, Refusal> {
    if attempt.model_target().is_some() {
        wait_until_read(daemon).await;
    }
    if let Some(refusal) = daemon.quarantine_refusal(attempt) {
        return Err(refusal);
    }
    let Some(model_target) = attempt.model_target() else {
        let chosen = daemon
            .with_chooser(attempt.version(), |c| c.choose_plain(&attempt.service, &attempt.tried));
        return chosen.ok_or_else(|| no_server(daemon, attempt, DEFAULT_RETRY_AFTER));
    };
    let began = daemon.now();
    let mut guard = None;
    wait_for_trial(daemon, attempt).await;
    loop {
        let changed = daemon.model_waits.inventories_changed.notified();
        if let Some(refusal) = daemon.quarantine_refusal(attempt) {
            return Err(refusal);
        }
        match select_engine(daemon, attempt, &model_target) {
            Selection::Server(chosen) => {
                attempt.model_wait += daemon.now().saturating_sub(began);
                return admit(daemon, attempt, chosen);
            }
            Selection::NoServer => return Err(no_server(daemon, attempt, DEFAULT_RETRY_AFTER)),
            Selection::Claimed(left) => {
                let _notified = timeout(left, changed).await;
                continue;
            }
            Selection::NotLoaded => {}
        }
        let now = daemon.now();
        let caller_timeout = attempt.deadline.min(attempt.arrived + attempt.route.stall_timeout());
        let wait_until = caller_timeout.min(daemon.latest_start(attempt.deadline));
        if let Some(refusal) = refuse_wait(daemon, attempt, &model_target, began, wait_until) {
            attempt.model_wait += now.saturating_sub(began);
            return Err(refusal);
        }
        if guard.is_none() {
            slog::info!(daemon.log, "request-waits"; "attempt" => attempt.id(),
                "model" => model_target.model.as_str(),
                "adapter" => model_target.adapter.as_deref().unwrap_or("-"),
                "ahead" => daemon.model_waits.waiting_for(&model_target),
                "give_up_ms" => wait_until.saturating_sub(now).as_millis());
            guard = Some(daemon.model_waits.begin(
                model_target.clone(),
                (attempt.arrived + attempt.route.latency_goal).saturating_sub(FIRST_EVENT_TIME),
                wait_until,
                unusable_engines(daemon, attempt, &attempt.tried),
            ));
        }
        // Engines that refused the request may have a free slot again.
        let _notified = timeout(FULL_RETRY_DELAY * 2, changed).await;
        if daemon.now() > began + FULL_RETRY_DELAY && attempt.verdict == Verdict::DidNotRun {
            attempt.tried.clear();
        }
    }
}

/// Returns the refusal of a request whose service has no server, or none of the software version that began the stream.
pub fn no_server(daemon: &DaemonState, attempt: &Attempt, retry_after: Duration) -> Refusal {
    if !daemon.freshness.is_listed.get() {
        let reason = "the servers are not known yet";
        return Refusal::failed(attempt.verdict, reason, UNREADY_RETRY_AFTER);
    }
    let version = attempt.version();
    let Some(_) = version else {
        return Refusal::failed(attempt.verdict, "no server", retry_after);
    };
    // An unreachable server may be back shortly.
    let is_listed = daemon.with_chooser(version, |c| c.has_other(&attempt.service, &[]));
    let retry_after = if is_listed { DEFAULT_RETRY_AFTER } else { VERSION_RETRY_AFTER };
    Refusal::failed(attempt.verdict, VERSION_GONE, retry_after)
}

/// Waits until the trial of a suspect may start; returns at once if the request is no suspect.
///
/// Attempts at one request are tried one at a time across all daemons, which must have reported them before. A request
/// that would be quarantined after one more crash also waits until the other suspects of its last crash have had time to
/// be cleared.
async fn wait_for_trial(daemon: &Rc<DaemonState>, attempt: &mut Attempt) {
    attempt.trial = None;
    let Some(key) = daemon.trial_key(attempt) else { return };
    attempt.trial = Some(daemon.trials.enqueue(key, daemon.now()));
    if matches!(key, TrialKey::Request(_)) {
        sleep(REPORT_DELAY).await;
    }
    while daemon.now() < attempt.deadline && daemon.quarantine_refusal(attempt).is_none() {
        let changed = daemon.model_waits.inventories_changed.notified();
        if may_claim(daemon, attempt) {
            return;
        }
        let delay = daemon.decision_delay(attempt);
        let _changed = timeout(delay.max(FULL_RETRY_DELAY), changed).await;
    }
}

/// Returns whether the request may claim an engine or be sent now: it is no suspect, or its trial is next.
fn may_claim(daemon: &DaemonState, attempt: &mut Attempt) -> bool {
    let Some(key) = daemon.trial_key(attempt) else {
        attempt.trial = None;
        return true;
    };
    let delay = daemon.decision_delay(attempt);
    // The request may have become a suspect, or another part of it the main one, while it waited for a model.
    let trial = attempt.trial.take().filter(|trial| trial.key() == key);
    let trial = trial.unwrap_or_else(|| daemon.trials.enqueue(key, daemon.now()));
    let trial = attempt.trial.insert(trial);
    delay.is_zero() && daemon.trials.is_next(trial, &daemon.settings().id, daemon.now())
}

/// Result of the selection of an engine.
#[derive(Debug)]
enum Selection {
    /// The request may be sent to this engine now.
    Server(ChosenServer),
    /// An engine is claimed for the suspect, for this time until it may be sent.
    Claimed(Duration),
    /// No usable engine holds the model and adapter, or the trial of the suspect is not next.
    NotLoaded,
    /// The service has no server.
    NoServer,
}

impl From<EngineChoice> for Selection {
    fn from(choice: EngineChoice) -> Self {
        match choice {
            EngineChoice::Server(chosen) => Self::Server(chosen),
            EngineChoice::NotLoaded => Self::NotLoaded,
            EngineChoice::NoServer => Self::NoServer,
        }
    }
}

/// Selects an engine. A suspect claims one first, when its trial is next, and never one that has another suspect.
fn select_engine(
    daemon: &DaemonState,
    attempt: &mut Attempt,
    model_target: &ModelTarget,
) -> Selection {
    if let Some(selection) = resolve_claim(daemon, attempt, model_target) {
        return selection;
    }
    if !may_claim(daemon, attempt) {
        return Selection::NotLoaded;
    }
    let Some(trial) = &attempt.trial else {
        let choice = daemon
            .with_chooser(attempt.version(), |c| c.choose_engine(model_target, &attempt.tried));
        return choice.into();
    };
    let mut excluded = daemon.trials.occupied_servers(daemon.now());
    excluded.extend_from_slice(&attempt.tried);
    let choice =
        daemon.with_chooser(attempt.version(), |c| c.choose_engine(model_target, &excluded));
    let EngineChoice::Server(chosen) = choice else { return choice.into() };
    trial.claim(chosen.server.instance(), daemon.now());
    Selection::Claimed(REPORT_DELAY)
}

/// Returns the result of the attempt's claim on an engine; `None` if it has none, or no longer.
fn resolve_claim(
    daemon: &DaemonState,
    attempt: &Attempt,
    model_target: &ModelTarget,
) -> Option<Selection> {
    let trial = attempt.trial.as_ref()?;
    if !daemon.decision_delay(attempt).is_zero() {
        trial.release();
        return None;
    }
    let server = match daemon.trials.claim(trial, &daemon.settings().id, daemon.now()) {
        Claim::None => return None,
        Claim::Pending(left) => return Some(Selection::Claimed(left)),
        Claim::Granted(server) => server,
        Claim::Lost => {
            trial.release();
            return None;
        }
    };
    // The claimed engine is the only one that may be chosen, if it still may.
    let choice = daemon.with_chooser(attempt.version(), |c| {
        let others = c.eligible_servers(&model_target.service).map(|s| s.instance());
        let others: Vec<_> = others.filter(|other| *other != server).collect();
        c.choose_engine(model_target, &others)
    });
    if let EngineChoice::Server(chosen) = choice {
        trial.assign(server);
        return Some(Selection::Server(chosen));
    }
    trial.release();
    None
}

/// Returns the chosen engine, or a refusal if its queue is too long for the caller.
fn admit(
    daemon: &DaemonState,
    attempt: &mut Attempt,
    chosen: ChosenServer,
) -> Result<ChosenServer, Refusal> {
    let now = daemon.now();
    let left = |until: Moment| until.saturating_sub(now);
    let caller_timeout = attempt.deadline.min(attempt.arrived + attempt.route.stall_timeout());
    let input = AdmissionInput {
        queue_wait: chosen.queue_wait,
        goal_left: left(attempt.arrived + attempt.route.latency_goal),
        timeout_left: left(caller_timeout),
    };
    match input.admit() {
        Admission::Normal => attempt.is_late = false,
        Admission::Late => attempt.is_late = true,
        Admission::Refused(retry) => {
            attempt.queue_wait = chosen.queue_wait;
            return Err(Refusal::failed(
                attempt.verdict,
                "all engines with the model are full",
                retry,
            ));
        }
    }
    Ok(chosen)
}

/// Returns the engines that a request cannot use: those already tried, unreachable ones and rate-limited ones.
pub fn unusable_engines(
    daemon: &DaemonState,
    attempt: &Attempt,
    tried: &[ServerInstance],
) -> Vec<ServerInstance> {
    let service = &attempt.service;
    let mut list = daemon.with_chooser(attempt.version(), |c| c.unreachable_servers(service));
    list.extend(daemon.with_chooser(attempt.version(), |c| c.rate_limited(service)));
    list.extend_from_slice(tried);
    list
}

/// Returns a refusal if the wait for `model_target` cannot end by `wait_until`, as soon as this is known; `None`
/// while the wait may still succeed.
fn refuse_wait(
    daemon: &DaemonState,
    attempt: &Attempt,
    model_target: &ModelTarget,
    began: Moment,
    wait_until: Moment,
) -> Option<Refusal> {
    let now = daemon.now();
    let expected = daemon.with_chooser(attempt.version(), |c| {
        let servers = c.eligible_servers(&model_target.service);
        let times = servers.filter_map(|s| {
            c.inventories.expected_at(
                &s.instance(),
                &model_target.model,
                model_target.adapter.as_deref(),
                now,
            )
        });
        times.min()
    });
    let verdict = attempt.verdict;
    if let Some(retry) = delay_of_service(daemon, attempt, wait_until) {
        return Some(Refusal::failed(verdict, RATE_LIMITED, retry));
    }
    if expected.is_none() && now > began + ORDER_TIME {
        let permit = daemon.with_chooser(attempt.version(), |c| {
            c.next_permit(&model_target.service, Some(model_target))
        });
        if let Some(retry) =
            permit.and_then(|permit| retry_after(permit, wait_until.saturating_sub(now)))
        {
            return Some(Refusal::failed(verdict, RATE_LIMITED, retry));
        }
    }
    if expected.is_none() && is_without_lease_holder(daemon) {
        return Some(Refusal::failed(
            verdict,
            "this data centre is cut off",
            OTHER_DAEMON_RETRY_AFTER,
        ));
    }
    match expected {
        Some(at) if at + FIRST_EVENT_TIME > wait_until && now < wait_until => {
            let retry = at.saturating_sub(now).max(FIRST_EVENT_TIME);
            Some(Refusal::failed(verdict, "the model will be loaded too late", retry))
        }
        _ if now + FIRST_EVENT_TIME > wait_until => {
            Some(Refusal::failed(verdict, "the model was not loaded in time", DEFAULT_RETRY_AFTER))
        }
        None if !daemon.with_chooser(attempt.version(), |c| c.has_copy(model_target)) => {
            let load = fetch_time(attempt, model_target);
            let is_overdue = now > began + ORDER_TIME;
            (is_overdue || now + load > wait_until)
                .then(|| Refusal::failed(verdict, "no host has a copy of the model", load))
        }
        None if wait_until < now + min_delay(attempt, model_target) && now > began + ORDER_TIME => {
            Some(Refusal::failed(
                verdict,
                "no engine can load the model in time",
                DEFAULT_RETRY_AFTER,
            ))
        }
        _ => None,
    }
}

/// Returns when a caller should retry if no engine of the service takes a request by `wait_until`, so that no load can
/// help; `None` if one may.
fn delay_of_service(
    daemon: &DaemonState,
    attempt: &Attempt,
    wait_until: Moment,
) -> Option<Duration> {
    let permit =
        daemon.with_chooser(attempt.version(), |c| c.next_permit(&attempt.service, None))?;
    permit.wait?;
    retry_after(permit, wait_until.saturating_sub(daemon.now()))
}

/// Returns whether this daemon is isolated from the store and other data centres, and neither holds the lease nor
/// knows its holder, so that no load can be ordered. Callers should then retry at another daemon, to which the load
/// balancer sends them.
fn is_without_lease_holder(daemon: &DaemonState) -> bool {
    let has_holder = || daemon.peers.borrow().holder(daemon.now()).is_some();
    daemon.isolated.get() && daemon.fence().is_none() && !has_holder()
}

/// Returns the configuration of a model.
fn model_spec<'a>(attempt: &'a Attempt, model_target: &ModelTarget) -> Option<&'a ModelSpec> {
    let engine = attempt.config.services.get(&model_target.service)?.engine.as_ref()?;
    engine.models.get(&model_target.model)
}

/// Returns the time that a fetch of the model takes.
fn fetch_time(attempt: &Attempt, model_target: &ModelTarget) -> Duration {
    model_spec(attempt, model_target).map_or(DEFAULT_RETRY_AFTER, |m| m.store_load)
}

/// Returns the least time until the first event of a model or adapter that no engine is loading yet.
pub(super) fn min_delay(attempt: &Attempt, model_target: &ModelTarget) -> Duration {
    let spec = model_spec(attempt, model_target).filter(|_| model_target.adapter.is_none());
    spec.map_or(ORDER_TIME, |m| m.memory_load.min(m.disk_load).min(m.store_load) + FIRST_EVENT_TIME)
}

/// Chooses another server for an interrupted stream; `None` if none is found in time. The wait is short, because the
/// caller is waiting for events.
pub async fn find_replacement(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
) -> Option<ChosenServer> {
    let model_target = attempt.model_target()?;
    // A stream that failed over might still have continued at its former server, so it is not cut off before its
    // deadline.
    let until = if attempt.failed_over { attempt.deadline } else { daemon.now() + RESUME_TIMEOUT };
    let mut guard = None;
    wait_for_trial(daemon, attempt).await;
    loop {
        let changed = daemon.model_waits.inventories_changed.notified();
        if daemon.quarantine_refusal(attempt).is_some() {
            attempt.reason = QUARANTINED_REASON;
            return None;
        }
        match select_engine(daemon, attempt, &model_target) {
            Selection::Server(chosen) => return Some(chosen),
            Selection::Claimed(left) => {
                let _notified = timeout(left, changed).await;
                continue;
            }
            Selection::NotLoaded | Selection::NoServer => {}
        }
        if !daemon
            .with_chooser(attempt.version(), |c| c.has_other(&attempt.service, &attempt.tried))
        {
            attempt.reason = VERSION_GONE;
            return None;
        }
        let left = until.saturating_sub(daemon.now());
        if left.is_zero() {
            return None;
        }
        guard.get_or_insert_with(|| {
            let avoid = unusable_engines(daemon, attempt, &attempt.tried);
            daemon.model_waits.begin(model_target.clone(), until, until, avoid)
        });
        let _notified = timeout(left.min(FULL_RETRY_DELAY * 2), changed).await;
    }
}
