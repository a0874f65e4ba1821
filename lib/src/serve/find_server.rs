//! The server for a stream, and the wait for a model that none holds yet.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;
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
use crate::serve::handle::OTHER_DAEMON_RETRY_AFTER;
use crate::serve::reply::Refusal;
use crate::serve::server_feedback::RATE_LIMITED;
use crate::serve::server_feedback::retry_after;
use crate::serve::suspects::QUARANTINED_REASON;
use crate::verdict::Verdict;

/// When a caller should come back where nothing better is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Left of a caller's patience for the engine's first event, after a wait for a model.
const FIRST_EVENT: Duration = Duration::from_millis(200);
/// Time in which the holder of the placement lease says what it does about a wait.
const WORD_TIME: Duration = Duration::from_millis(700);
/// Pause before engines that all refused a request are asked again.
const FULL_PAUSE: Duration = Duration::from_millis(80);
/// Time over which suspects of one crash are spread: some ways of a datagram between data centres.
const SPREAD: Duration = Duration::from_millis(60);
/// Time in which another engine must be found for a stream that broke off.
pub const RESUME_TIMEOUT: Duration = Duration::from_millis(1200);

/// Chooses a server, waiting for a model or adapter to be loaded where none has it.
///
/// # Errors
///
/// Returns the answer of our own where the wait is hopeless.
pub async fn find_server(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
) -> Result<ChosenServer, Refusal> {
    if let Some(refusal) = daemon.quarantine_refusal(attempt) {
        return Err(refusal);
    }
    let Some(item) = attempt.item() else {
        let chosen = daemon.with_chooser(|c| c.choose_plain(&attempt.service, &attempt.tried));
        return chosen
            .ok_or_else(|| Refusal::failed(attempt.verdict, "no server", DEFAULT_RETRY_AFTER));
    };
    let began = daemon.now();
    let mut guard = None;
    take_turns(daemon, attempt).await;
    loop {
        let changed = daemon.model_waits.inventories_changed.notified();
        if let Some(refusal) = daemon.quarantine_refusal(attempt) {
            return Err(refusal);
        }
        match engine(daemon, attempt, &item) {
            EngineChoice::Server(chosen) => {
                attempt.model_wait += daemon.now().saturating_sub(began);
                return admit(daemon, attempt, chosen);
            }
            EngineChoice::NoServer => {
                return Err(Refusal::failed(attempt.verdict, "no server", DEFAULT_RETRY_AFTER));
            }
            EngineChoice::NotLoaded => {}
        }
        let now = daemon.now();
        let patience = attempt.deadline.min(attempt.arrived + attempt.route.stall_timeout());
        let give_up = patience.min(daemon.latest_start(attempt.deadline));
        if let Some(refusal) = hopeless(daemon, attempt, &item, began, give_up) {
            attempt.model_wait += now.saturating_sub(began);
            return Err(refusal);
        }
        if guard.is_none() {
            slog::info!(daemon.log, "request-waits"; "attempt" => attempt.id(),
                "model" => item.model.as_str(), "adapter" => item.adapter.as_deref().unwrap_or("-"),
                "ahead" => daemon.model_waits.waiting_for(&item),
                "give_up_ms" => give_up.saturating_sub(now).as_millis());
            guard = Some(daemon.model_waits.begin(
                item.clone(),
                (attempt.arrived + attempt.route.latency_goal).saturating_sub(FIRST_EVENT),
                give_up,
                unusable_engines(daemon, &attempt.service, &attempt.tried),
            ));
        }
        // Engines that refused it may have room again.
        let _notified = timeout(FULL_PAUSE * 2, changed).await;
        if daemon.now() > began + FULL_PAUSE && attempt.verdict == Verdict::DidNotRun {
            attempt.tried.clear();
        }
    }
}

/// Lets a suspect wait for its turn.
///
/// All suspects of a crash would go to the next engine in the same moment, from every daemon, before any of these
/// could tell that it has one there. Attempts at one request go one after the other over all daemons, and one that may
/// crash one too many waits until the others of its last crash have had time to show that they did not do it.
async fn take_turns(daemon: &Rc<DaemonState>, attempt: &mut Attempt) {
    attempt.trial = None;
    if !daemon.is_suspect(&attempt.fingerprint) {
        return;
    }
    attempt.trial = Some(daemon.trials.enqueue(attempt.fingerprint, daemon.now()));
    sleep(SPREAD.mul_f64(rand::rng().random_range(0.5..1.0))).await;
    while daemon.now() < attempt.deadline && daemon.quarantine_refusal(attempt).is_none() {
        let changed = daemon.model_waits.inventories_changed.notified();
        let undecided =
            daemon.quarantine.borrow().decision_delay(&attempt.fingerprint, daemon.now());
        if undecided.is_zero() && may_go(daemon, attempt) {
            return;
        }
        let _changed = timeout(undecided.max(FULL_PAUSE), changed).await;
    }
}

/// Returns whether it is an attempt's turn, or it needs none.
fn may_go(daemon: &DaemonState, attempt: &mut Attempt) -> bool {
    if !daemon.is_suspect(&attempt.fingerprint) {
        attempt.trial = None;
        return true;
    }
    // It may have become a suspect while it waited for a model.
    let trial = attempt
        .trial
        .get_or_insert_with(|| daemon.trials.enqueue(attempt.fingerprint, daemon.now()));
    daemon.trials.is_next(trial, &daemon.settings().id, daemon.now())
}

/// Chooses an engine; a suspect gets one to itself among suspects, when it is its turn.
fn engine(daemon: &DaemonState, attempt: &mut Attempt, item: &ModelTarget) -> EngineChoice {
    if !may_go(daemon, attempt) {
        return EngineChoice::NotLoaded;
    }
    let Some(trial) = &attempt.trial else {
        return daemon.with_chooser(|c| c.choose_engine(item, &attempt.tried));
    };
    let mut closed = daemon.trials.occupied_servers(daemon.now());
    closed.extend_from_slice(&attempt.tried);
    let choice = daemon.with_chooser(|c| c.choose_engine(item, &closed));
    if let EngineChoice::Server(chosen) = &choice {
        trial.assign(chosen.server.instance());
    }
    choice
}

/// Lets a request go to a chosen engine, unless its queue is too long for the caller.
fn admit(
    daemon: &DaemonState,
    attempt: &mut Attempt,
    chosen: ChosenServer,
) -> Result<ChosenServer, Refusal> {
    let now = daemon.now();
    let left = |until: Moment| until.saturating_sub(now);
    let leaves = attempt.deadline.min(attempt.arrived + attempt.route.stall_timeout());
    let outlook = AdmissionInput {
        queue_wait: chosen.queue_wait,
        due: left(attempt.arrived + attempt.route.latency_goal),
        patience: left(leaves),
    };
    match outlook.admit() {
        Admission::Now => attempt.is_late = false,
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

/// Engines that this request cannot use: those that failed it, and those out of reach.
pub fn unusable_engines(
    daemon: &DaemonState,
    service: &str,
    tried: &[ServerInstance],
) -> Vec<ServerInstance> {
    let mut list = daemon.with_chooser(|c| c.unreachable_servers(service));
    list.extend(daemon.with_chooser(|c| c.rate_limited(service)));
    list.extend_from_slice(tried);
    list
}

/// Refuses a wait that cannot end in time, as soon as that is known.
fn hopeless(
    daemon: &DaemonState,
    attempt: &Attempt,
    item: &ModelTarget,
    began: Moment,
    give_up: Moment,
) -> Option<Refusal> {
    let now = daemon.now();
    let expected = daemon.with_chooser(|c| {
        let servers = c.directory.servers().filter(|s| s.service == item.service && !s.leaving);
        let times = servers.filter_map(|s| {
            c.inventories.expected_at(&s.instance(), &item.model, item.adapter.as_deref(), now)
        });
        times.min()
    });
    let verdict = attempt.verdict;
    if expected.is_none() && now > began + WORD_TIME {
        let turn = daemon.with_chooser(|c| c.next_turn(&item.service, Some(item)));
        if let Some(retry) = turn.and_then(|turn| retry_after(turn, give_up.saturating_sub(now))) {
            return Some(Refusal::failed(verdict, RATE_LIMITED, retry));
        }
    }
    if expected.is_none() && nobody_loads(daemon) {
        return Some(Refusal::failed(
            verdict,
            "this data centre is cut off",
            OTHER_DAEMON_RETRY_AFTER,
        ));
    }
    match expected {
        Some(at) if at + FIRST_EVENT > give_up && now < give_up => {
            let retry = at.saturating_sub(now).max(FIRST_EVENT);
            Some(Refusal::failed(verdict, "the model will be loaded too late", retry))
        }
        _ if now + FIRST_EVENT > give_up => {
            Some(Refusal::failed(verdict, "the model was not loaded in time", DEFAULT_RETRY_AFTER))
        }
        None if !daemon.with_chooser(|c| c.has_copy(item)) => {
            let load = load_time(attempt, item);
            let is_silent = now > began + WORD_TIME;
            (is_silent || now + load > give_up)
                .then(|| Refusal::failed(verdict, "no host has a copy of the model", load))
        }
        None if give_up < now + soonest(attempt, item) && now > began + WORD_TIME => Some(
            Refusal::failed(verdict, "no engine can load the model in time", DEFAULT_RETRY_AFTER),
        ),
        _ => None,
    }
}

/// Whether this daemon is cut off from the store and other data centres, and from whoever orders loads: callers are
/// better off with another one, where the balancer takes them.
fn nobody_loads(daemon: &DaemonState) -> bool {
    let has_holder = || daemon.peers.borrow().holder(daemon.now()).is_some();
    daemon.isolated.get() && daemon.fence().is_none() && !has_holder()
}

/// What the configuration says of a model.
fn model_spec<'a>(attempt: &'a Attempt, item: &ModelTarget) -> Option<&'a ModelSpec> {
    let engine = attempt.config.services.get(&item.service)?.engine.as_ref()?;
    engine.models.get(&item.model)
}

/// Time of the model's load from the weight store.
fn load_time(attempt: &Attempt, item: &ModelTarget) -> Duration {
    model_spec(attempt, item).map_or(DEFAULT_RETRY_AFTER, |m| m.store_load)
}

/// Time that an item which is not on its way takes at least until its first event.
fn soonest(attempt: &Attempt, item: &ModelTarget) -> Duration {
    let spec = model_spec(attempt, item).filter(|_| item.adapter.is_none());
    spec.map_or(WORD_TIME, |m| m.memory_load.min(m.disk_load).min(m.store_load) + FIRST_EVENT)
}

/// Chooses another server for a stream that broke off; callers wait for events, so not for long.
pub async fn find_replacement(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
) -> Option<ChosenServer> {
    let item = attempt.item()?;
    // A stream that left a server by itself would still have one: it is not broken off before its time.
    let until = if attempt.failed_over { attempt.deadline } else { daemon.now() + RESUME_TIMEOUT };
    let mut guard = None;
    take_turns(daemon, attempt).await;
    loop {
        let changed = daemon.model_waits.inventories_changed.notified();
        if daemon.quarantine_refusal(attempt).is_some() {
            attempt.reason = QUARANTINED_REASON;
            return None;
        }
        if let EngineChoice::Server(chosen) = engine(daemon, attempt, &item) {
            return Some(chosen);
        }
        let left = until.saturating_sub(daemon.now());
        if left.is_zero() {
            return None;
        }
        guard.get_or_insert_with(|| {
            let avoid = unusable_engines(daemon, &attempt.service, &attempt.tried);
            daemon.model_waits.begin(item.clone(), until, until, avoid)
        });
        let _notified = timeout(left.min(FULL_PAUSE * 2), changed).await;
    }
}
