//! Requests with one whole answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response;

use crate::cluster::configuration::RouteKind;
use crate::cluster::server_health::Evidence;
use crate::serve::attempt::Attempt;
use crate::serve::choose::ChosenServer;
use crate::serve::choose::EngineChoice;
use crate::serve::daemon_state::DaemonState;
use crate::serve::failover::SendFuture;
use crate::serve::failover::await_with_failover;
use crate::serve::reply::Refusal;
use crate::serve::send;
use crate::serve::server_feedback::RATE_LIMITED;
use crate::serve::server_feedback::retry_after;
use crate::serve::suspects;
use crate::verdict::Verdict;

/// Largest answer that is read whole before it is passed on.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// When a caller should come back after all servers were full.
const FULL: Duration = Duration::from_millis(300);
/// Pause before servers that were all full are asked again.
const FULL_PAUSE: Duration = Duration::from_millis(20);

/// Sends a request until it has its answer or none can be had.
///
/// # Errors
///
/// Returns the answer of our own that the caller gets.
pub async fn run(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
) -> Result<(response::Parts, Bytes), Refusal> {
    loop {
        let now = daemon.now();
        if now >= attempt.deadline {
            return Err(Refusal::timeout(attempt.verdict, "out of time", FULL));
        }
        if let Some(refusal) = daemon.quarantine_refusal(attempt) {
            return Err(refusal);
        }
        let Some(chosen) = choose(daemon, attempt) else {
            let turn =
                daemon.with_chooser(|c| c.next_turn(&attempt.service, attempt.item().as_ref()));
            if let Some(turn) = turn.filter(|_| !attempt.must_not_retry()) {
                let left = (attempt.arrived + attempt.route.latency_goal).saturating_sub(now);
                if let Some(retry) = retry_after(turn, left) {
                    return Err(Refusal::failed(attempt.verdict, RATE_LIMITED, retry));
                }
                tokio::time::sleep(FULL_PAUSE).await;
                continue;
            }
            if attempt.tried.is_empty() {
                return Err(Refusal::failed(attempt.verdict, "no server", FULL));
            }
            if attempt.must_not_retry() || attempt.verdict != Verdict::DidNotRun {
                return Err(Refusal::failed(attempt.verdict, attempt.reason, FULL));
            }
            // Each server refused it: they are asked once more after a pause, within the goal.
            if now > attempt.arrived + attempt.route.latency_goal {
                return Err(Refusal::not_run("all servers are full", FULL));
            }
            tokio::time::sleep(FULL_PAUSE).await;
            attempt.tried.clear();
            continue;
        };
        if attempt.deliveries > 0 && !daemon.take_retry(&attempt.service) {
            return Err(Refusal::failed(attempt.verdict, "the retry budget is spent", FULL));
        }
        let sent = send_once(daemon, attempt, &chosen);
        match await_with_failover(daemon, attempt, sent, send_once).await {
            Ok((head, body)) => {
                if is_retried(daemon, attempt, &head) {
                    continue;
                }
                daemon.metrics.record_first_byte(daemon.now().saturating_sub(attempt.arrived));
                return Ok((head, body));
            }
            Err(failure) => {
                attempt.record_failure(daemon, &failure);
                suspects::check_for_crash(daemon, attempt, &failure).await;
                if !attempt.may_retry(daemon.now()) {
                    let refusal = if daemon.now() >= attempt.deadline {
                        Refusal::timeout(attempt.verdict, attempt.reason, FULL)
                    } else {
                        Refusal::failed(attempt.verdict, attempt.reason, FULL)
                    };
                    return Err(refusal);
                }
            }
        }
    }
}

fn choose(daemon: &DaemonState, attempt: &Attempt) -> Option<ChosenServer> {
    match attempt.item() {
        None => daemon.with_chooser(|c| c.choose_plain(&attempt.service, &attempt.tried)),
        Some(item) => match daemon.with_chooser(|c| c.choose_engine(&item, &attempt.tried)) {
            EngineChoice::Server(chosen) => Some(chosen),
            EngineChoice::NotLoaded | EngineChoice::NoServer => None,
        },
    }
}

/// Whether a failure of the server's own is worth another server: only where the request may run
/// again and both limits allow it.
fn is_retried(daemon: &DaemonState, attempt: &mut Attempt, head: &response::Parts) -> bool {
    let failed = head.status.is_server_error();
    let Some(server) = attempt.last_server.clone() else { return false };
    let evidence = if failed { Evidence::Failed } else { Evidence::Sound };
    daemon.record_health(&attempt.service, &server, evidence);
    if !failed || attempt.route.kind != RouteKind::Idempotent {
        return false;
    }
    attempt.possible_runs += 1;
    attempt.deliveries += 1;
    attempt.verdict = Verdict::Ran;
    attempt.sending = false;
    attempt.tried.push(server);
    let is_open = attempt.may_retry(daemon.now()) && choose(daemon, attempt).is_some();
    // The next round takes the repeat out of the budget; a server's own answer is better than ours.
    is_open && daemon.has_retry(&attempt.service)
}

/// Sends the request; the answer is read whole.
fn send_once(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
    chosen: &ChosenServer,
) -> SendFuture<(response::Parts, Bytes)> {
    let server = Rc::clone(&chosen.server);
    attempt.record_send(chosen, daemon.now());
    daemon.record_send(&server.instance());
    let request = attempt.request(daemon, &server, None);
    let work = daemon.workloads.begin(attempt.workload_key(&server), attempt.terms.prompt_tokens);
    let id = attempt.terms.attempt.clone();
    let daemon = Rc::clone(daemon);
    Box::pin(async move {
        let _work = work;
        let answer = send::send(&daemon, &server, id.as_ref(), request).await?;
        send::read_whole(&daemon.pool, answer, ANSWER_LIMIT).await
    })
}
