//! Failover from an unresponsive server: the request is moved only once another server accepts it.

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
use crate::serve::part_suspects;
use crate::serve::send::SendFailure;
use crate::serve::suspects::QUARANTINED_REASON;
use crate::verdict::Verdict;

/// Longest time between checks for another server, if no change of inventories is reported: a few batch steps,
/// after which a full server may have a free slot.
const SERVER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time within which a server returns a refusal: a few iterations of a busy host's event loop. A request may
/// be at two servers for at most 400 ms.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(150);

/// A send in progress; dropping it closes its connection.
pub type SendFuture<T> = Pin<Box<dyn Future<Output = Result<T, SendFailure>>>>;

/// Result of a wait for a server's response.
#[derive(Debug)]
pub enum WaitOutcome<T> {
    /// The server responded, or the send failed.
    Response(T),
    /// The server is unresponsive, and this other one can take the request: the retry is taken from the
    /// budget, and a connection is open.
    FailOver(ChosenServer),
    /// The deadline has passed.
    DeadlinePassed,
}

/// Waits for the response to a send, and fails over to other servers if one is unresponsive. `begin` starts
/// a send to another server.
///
/// # Errors
///
/// Returns an error if the last send failed, the deadline has passed, or a part of the prompt is quarantined: the server
/// may still have the request in its queue.
pub async fn await_with_failover<T: 'static>(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
    sent: SendFuture<T>,
    begin: impl Fn(&Rc<DaemonState>, &mut Attempt, &ChosenServer) -> SendFuture<T>,
) -> Result<T, SendFailure> {
    let mut current = sent;
    loop {
        let outcome = tokio::select! {
            biased;
            outcome = wait_response(daemon, attempt, attempt.response_timeout(), &mut current) => outcome,
            () = part_suspects::wait_until_held(daemon, attempt) => {
                return Err(SendFailure::withdrawn(QUARANTINED_REASON));
            }
        };
        match outcome {
            WaitOutcome::Response(response) => return response,
            WaitOutcome::DeadlinePassed => {
                return Err(SendFailure::may_have_run("no answer in time"));
            }
            WaitOutcome::FailOver(next) => {
                if let Some(new_send) = try_failover(daemon, attempt, &next, &begin).await {
                    current = new_send;
                }
            }
        }
    }
}

/// Sends a request to another server while it is still at the unresponsive one. Returns the new send, and the
/// caller must then cancel the old one at once. Returns `None` if the other server refused.
///
/// In a large fleet, information on another server's free slots may be seconds old. When the old send was
/// cancelled first, a refusal left the request at no server, and its response was cut off or replaced by a
/// failure. A refusal is returned within `REFUSAL_TIMEOUT`, so the old send is kept until then.
pub async fn try_failover<T: 'static>(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
    next: &ChosenServer,
    begin: impl Fn(&Rc<DaemonState>, &mut Attempt, &ChosenServer) -> SendFuture<T>,
) -> Option<SendFuture<T>> {
    let origin = attempt.begin_failover(daemon);
    let mut new_send = begin(daemon, attempt, next);
    match timeout(REFUSAL_TIMEOUT, &mut new_send).await {
        Ok(Err(failure)) if failure.verdict == Verdict::DidNotRun => {
            attempt.cancel_failover(daemon, &failure, origin);
            None
        }
        Ok(ended) => Some(Box::pin(ready(ended))),
        Err(_elapsed) => Some(new_send),
    }
}

/// Waits for `response`, the whole or the next part of a response from the server of the last send.
///
/// A server that is unresponsive for `response_timeout` is abandoned only once the request can continue at
/// another one. Cancelling earlier cut off responses that were still in progress: the caller received a broken
/// stream or a failure, though the run would have succeeded. So attempts, retry budget, a free slot and a
/// connection are checked first.
pub async fn wait_response<T>(
    daemon: &Rc<DaemonState>,
    attempt: &Attempt,
    response_timeout: Duration,
    response: impl Future<Output = T>,
) -> WaitOutcome<T> {
    let left = attempt.deadline.saturating_sub(daemon.now());
    tokio::select! {
        biased;
        response = response => WaitOutcome::Response(response),
        () = sleep(left) => WaitOutcome::DeadlinePassed,
        chosen = wait_for_other_server(daemon, attempt, response_timeout) =>
            WaitOutcome::FailOver(chosen),
    }
}

/// Returns once the request can continue at another server; never returns if its route or attempts do not allow it.
async fn wait_for_other_server(
    daemon: &Rc<DaemonState>,
    attempt: &Attempt,
    response_timeout: Duration,
) -> ChosenServer {
    if !attempt.route.is_retryable() {
        return pending().await;
    }
    sleep(response_timeout).await;
    if !attempt.may_fail_over() {
        record_unresponsive(daemon, attempt);
        return pending().await;
    }
    let mut guard = None;
    let request_until = daemon.now() + RESUME_TIMEOUT;
    let mut is_recorded = false;
    loop {
        let changed = daemon.model_waits.inventories_changed.notified();
        if let Some(chosen) = reserve_server(daemon, attempt).await {
            return chosen;
        }
        if !is_recorded {
            record_unresponsive(daemon, attempt);
            is_recorded = true;
        }
        if daemon.now() < request_until {
            guard = guard.or_else(|| request_model(daemon, attempt, request_until));
        } else {
            guard = None;
        }
        let _notified = timeout(SERVER_CHECK_INTERVAL, changed).await;
    }
}

/// Returns another server that can take the request now, after taking the retry from the budget.
async fn reserve_server(daemon: &Rc<DaemonState>, attempt: &Attempt) -> Option<ChosenServer> {
    if daemon.quarantine_refusal(attempt).is_some() || !daemon.has_retry(&attempt.service) {
        return None;
    }
    let model_target = attempt.model_target();
    let mut tried = attempt.all_tried();
    if attempt.trial.is_some() {
        tried.extend(daemon.trials.occupied_servers(daemon.now()));
    }
    let mut chosen = daemon.with_chooser(attempt.version(), |c| {
        c.choose_available(&attempt.service, model_target.as_ref(), &tried)
    })?;
    let server = &chosen.server;
    if daemon.ensure_idle(&server.instance(), server.addr).await.is_err() {
        daemon.record_health(&attempt.service, &server.instance(), Evidence::Unreachable);
        return None;
    }
    // There is no await from here until the caller of `wait_response` has the server: a future dropped in between
    // would lose the retry taken from the budget.
    daemon.take_retry(attempt, &mut chosen).then_some(chosen)
}

/// Logs an unresponsive server that the request has to stay at for now, and marks it as failed so that other
/// requests avoid it.
fn record_unresponsive(daemon: &DaemonState, attempt: &Attempt) {
    let Some(server) = &attempt.last_server else { return };
    slog::info!(daemon.log, "server-silent"; "attempt" => attempt.id(), "server" => %server,
        "ms" => daemon.now().saturating_sub(attempt.arrived).as_millis());
    daemon.record_health(&attempt.service, server, Evidence::Failed);
}

/// Requests a load of the model at another engine, if no other usable engine holds it.
fn request_model(daemon: &DaemonState, attempt: &Attempt, until: Moment) -> Option<WaitGuard> {
    let model_target = attempt.model_target()?;
    let tried = attempt.all_tried();
    if matches!(
        daemon.with_chooser(attempt.version(), |c| c.choose_engine(&model_target, &tried)),
        EngineChoice::Server(_)
    ) {
        return None;
    }
    Some(daemon.model_waits.begin(
        model_target,
        until,
        until,
        unusable_engines(daemon, attempt, &tried),
    ))
}
