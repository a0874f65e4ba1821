//! Silence of a server: the request leaves it only for another server that takes it.

use std::future::pending;
use std::future::ready;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::server_health::Evidence;
use crate::serve::attempt::Attempt;
use crate::serve::choose::ChosenServer;
use crate::serve::choose::EngineChoice;
use crate::serve::daemon_state::DaemonState;
use crate::serve::find_server::RESUME_TIMEOUT;
use crate::serve::find_server::unusable_engines;
use crate::serve::model_waits::WaitGuard;
use crate::serve::send::SendFailure;
use crate::verdict::Verdict;

/// Time between looks for another server, where nothing is told meanwhile: some steps of a batch, after
/// which a full server may have a free place.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Time in which a server that refuses a request says so: some steps of a busy host's event loop. A request
/// may be at two servers for 400 ms at most.
const OFFER_TIME: Duration = Duration::from_millis(150);

/// A send that is under way, with its connection.
pub type SendFuture<T> = Pin<Box<dyn Future<Output = Result<T, SendFailure>>>>;

/// What a wait for a server's answer came to.
#[derive(Debug)]
pub enum WaitOutcome<T> {
    /// The server answered, or broke off.
    Answer(T),
    /// The server is silent, and this one can take the request: its repeat is taken out of the budget,
    /// and a connection to it is open.
    FailOver(ChosenServer),
    /// The deadline has passed.
    OutOfTime,
}

/// Waits for the answer to a send, and goes on at other servers where one is silent; `begin` sends anew.
///
/// # Errors
///
/// There is no usable answer.
pub async fn await_with_failover<T: 'static>(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
    sent: SendFuture<T>,
    begin: impl Fn(&Rc<DaemonState>, &mut Attempt, &ChosenServer) -> SendFuture<T>,
) -> Result<T, SendFailure> {
    let mut current = sent;
    loop {
        match wait_answer(daemon, attempt, attempt.silence_timeout(), &mut current).await {
            WaitOutcome::Answer(answer) => return answer,
            WaitOutcome::OutOfTime => return Err(SendFailure::may_have_run("no answer in time")),
            WaitOutcome::FailOver(next) => {
                if let Some(taken) = try_failover(daemon, attempt, &next, &begin).await {
                    current = taken;
                }
            }
        }
    }
}

/// Offers a request to another server while the silent one still has it. Returns the send there, for which
/// the silent one must be let go at once; nothing where the other one refused.
///
/// What is known of another server's free places is up to seconds old in a large fleet. When the silent one
/// was let go first, a refusal left the request nowhere, and its answer was cut or replaced by a failure. A
/// refusal comes at once, so the silent one is kept until then.
pub async fn try_failover<T: 'static>(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
    next: &ChosenServer,
    begin: impl Fn(&Rc<DaemonState>, &mut Attempt, &ChosenServer) -> SendFuture<T>,
) -> Option<SendFuture<T>> {
    let origin = attempt.begin_failover(daemon);
    let mut offered = begin(daemon, attempt, next);
    match timeout(OFFER_TIME, &mut offered).await {
        Ok(Err(failure)) if failure.verdict == Verdict::DidNotRun => {
            attempt.cancel_failover(daemon, &failure, origin);
            None
        }
        Ok(ended) => Some(Box::pin(ready(ended))),
        Err(_elapsed) => Some(offered),
    }
}

/// Waits for `answer` of the server of the last send.
///
/// A server that is silent for `patience` is left when, and only when, the request can go on elsewhere.
/// Given up for nothing, it cut answers that were coming: the caller saw a broken stream or a failure, and
/// the server's log a run that would have ended well. So attempts, budget, place and connection come first.
pub async fn wait_answer<T>(
    daemon: &Rc<DaemonState>,
    attempt: &Attempt,
    patience: Duration,
    answer: impl Future<Output = T>,
) -> WaitOutcome<T> {
    let left = attempt.deadline.saturating_sub(daemon.now());
    tokio::select! {
        biased;
        answer = answer => WaitOutcome::Answer(answer),
        () = sleep(left) => WaitOutcome::OutOfTime,
        chosen = elsewhere(daemon, attempt, patience) => WaitOutcome::FailOver(chosen),
    }
}

/// Returns once the request can go on at another server; never, where it may not.
async fn elsewhere(
    daemon: &Rc<DaemonState>,
    attempt: &Attempt,
    patience: Duration,
) -> ChosenServer {
    if !attempt.route.is_retryable() {
        return pending().await;
    }
    sleep(patience).await;
    if !attempt.may_fail_over() {
        note(daemon, attempt);
        return pending().await;
    }
    let mut guard = None;
    let until = daemon.now() + RESUME_TIMEOUT;
    let mut is_noted = false;
    loop {
        let changed = daemon.model_waits.inventories_changed.notified();
        if let Some(chosen) = able(daemon, attempt).await {
            return chosen;
        }
        if !is_noted {
            note(daemon, attempt);
            is_noted = true;
        }
        if daemon.now() < until {
            guard = guard.or_else(|| want(daemon, attempt, until));
        } else {
            guard = None;
        }
        let _notified = timeout(LOOK_EVERY, changed).await;
    }
}

/// Returns another server that can take the request now, its repeat taken out of the budget.
async fn able(daemon: &DaemonState, attempt: &Attempt) -> Option<ChosenServer> {
    if daemon.is_quarantined(&attempt.fingerprint) || !daemon.has_retry(&attempt.service) {
        return None;
    }
    let item = attempt.item();
    let tried = attempt.all_tried();
    let chosen =
        daemon.with_chooser(|c| c.choose_available(&attempt.service, item.as_ref(), &tried))?;
    let server = &chosen.server;
    if daemon.pool.ensure_idle(&server.instance(), server.addr).await.is_err() {
        daemon.record_health(&attempt.service, &server.instance(), Evidence::Unreachable);
        return None;
    }
    // Nothing is awaited from here until the caller of `wait_answer` has the server.
    daemon.take_retry(&attempt.service).then_some(chosen)
}

/// Tells of a silent server that cannot be left yet, and lets other requests avoid it.
fn note(daemon: &DaemonState, attempt: &Attempt) {
    let Some(server) = &attempt.last_server else { return };
    slog::info!(daemon.log, "server-silent"; "attempt" => attempt.id(), "server" => %server,
        "ms" => daemon.now().saturating_sub(attempt.arrived).as_millis());
    daemon.record_health(&attempt.service, server, Evidence::Failed);
}

/// Asks for the model at another engine, where no other holds it.
fn want(daemon: &DaemonState, attempt: &Attempt, until: Moment) -> Option<WaitGuard> {
    let item = attempt.item()?;
    let tried = attempt.all_tried();
    if matches!(daemon.with_chooser(|c| c.choose_engine(&item, &tried)), EngineChoice::Server(_)) {
        return None;
    }
    Some(daemon.model_waits.begin(
        item,
        until,
        until,
        unusable_engines(daemon, &attempt.service, &tried),
    ))
}
