//! Requests with a single, complete response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response;

use crate::cluster::configuration::RouteKind;
use crate::cluster::server_health::Evidence;
use crate::serve::attempt::Attempt;
use crate::serve::choose::ChosenServer;
use crate::serve::choose::EngineChoice;
use crate::serve::confirm_server::await_responsive;
use crate::serve::confirm_server::confirm;
use crate::serve::daemon_state::DaemonState;
use crate::serve::failover::SendFuture;
use crate::serve::failover::await_with_failover;
use crate::serve::find_server::no_server;
use crate::serve::reply::Refusal;
use crate::serve::send;
use crate::serve::server_feedback::RATE_LIMITED;
use crate::serve::server_feedback::retry_after;
use crate::serve::suspects;
use crate::verdict::Verdict;

/// Largest response; it is read whole before it is sent to the caller.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Retry time given to a caller when all servers are full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Delay before the request is sent again to servers that were all full.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Sends a request, with retries and failover, until there is a response or no further send is allowed.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn run(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
) -> Result<(response::Parts, Bytes), Refusal> {
    loop {
        let now = daemon.now();
        if now >= attempt.deadline {
            return Err(Refusal::timeout(attempt.verdict, "out of time", FULL_RETRY_AFTER));
        }
        if let Some(refusal) = daemon.quarantine_refusal(attempt) {
            return Err(refusal);
        }
        let Some(mut chosen) = choose(daemon, attempt) else {
            let permit = daemon.with_chooser(attempt.version(), |c| {
                c.next_permit(&attempt.service, attempt.model_target().as_ref())
            });
            if let Some(permit) = permit.filter(|_| !attempt.must_not_retry()) {
                let goal_left = (attempt.arrived + attempt.route.latency_goal).saturating_sub(now);
                if let Some(retry) = retry_after(permit, goal_left) {
                    return Err(Refusal::failed(attempt.verdict, RATE_LIMITED, retry));
                }
                tokio::time::sleep(FULL_RETRY_DELAY).await;
                continue;
            }
            if attempt.tried.is_empty() {
                return Err(no_server(daemon, attempt, FULL_RETRY_AFTER));
            }
            if attempt.must_not_retry() || attempt.verdict != Verdict::DidNotRun {
                return Err(Refusal::failed(attempt.verdict, attempt.reason, FULL_RETRY_AFTER));
            }
            if attempt.unconfirmed > 0 {
                if !await_responsive(daemon, attempt).await {
                    return Err(Refusal::not_run("no server responds", FULL_RETRY_AFTER));
                }
                attempt.tried.clear();
                attempt.unconfirmed = 0;
                continue;
            }
            // Every server refused it. They are tried again after a delay, until the latency goal.
            if now > attempt.arrived + attempt.route.latency_goal {
                return Err(Refusal::not_run("all servers are full", FULL_RETRY_AFTER));
            }
            tokio::time::sleep(FULL_RETRY_DELAY).await;
            attempt.tried.clear();
            continue;
        };
        if attempt.failed_deliveries > 0 && !daemon.take_retry(attempt, &mut chosen) {
            return Err(Refusal::failed(
                attempt.verdict,
                "the retry budget is spent",
                FULL_RETRY_AFTER,
            ));
        }
        let sent = send_once(daemon, attempt, &chosen);
        match await_with_failover(daemon, attempt, sent, send_once).await {
            Ok((head, body)) => {
                if should_retry(daemon, attempt, &head) {
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
                        Refusal::timeout(attempt.verdict, attempt.reason, FULL_RETRY_AFTER)
                    } else {
                        Refusal::failed(attempt.verdict, attempt.reason, FULL_RETRY_AFTER)
                    };
                    return Err(refusal);
                }
            }
        }
    }
}

fn choose(daemon: &DaemonState, attempt: &Attempt) -> Option<ChosenServer> {
    match attempt.model_target() {
        None => daemon.with_chooser(attempt.version(), |c| {
            let mut excluded = attempt.tried.clone();
            if attempt.failed_deliveries > 0 {
                excluded.extend(c.unretried_servers(&attempt.service));
            }
            c.choose_plain(&attempt.service, &excluded)
        }),
        Some(model_target) => {
            match daemon
                .with_chooser(attempt.version(), |c| c.choose_engine(&model_target, &attempt.tried))
            {
                EngineChoice::Server(chosen) => Some(chosen),
                EngineChoice::NotLoaded | EngineChoice::NoServer => None,
            }
        }
    }
}

/// Returns whether to try another server after a server error. This requires an idempotent route, attempts left,
/// another usable server and a retry budget. Also records the server's health.
fn should_retry(daemon: &DaemonState, attempt: &mut Attempt, head: &response::Parts) -> bool {
    let failed = head.status.is_server_error();
    let Some(server) = attempt.last_server.clone() else { return false };
    let evidence = if failed { Evidence::Failed } else { Evidence::Sound };
    daemon.record_health(&attempt.service, &server, evidence);
    if !failed || attempt.route.kind != RouteKind::Idempotent {
        return false;
    }
    attempt.possible_runs += 1;
    attempt.failed_deliveries += 1;
    attempt.verdict = Verdict::Ran;
    attempt.sending = false;
    attempt.tried.push(server);
    let can_retry = attempt.may_retry(daemon.now()) && choose(daemon, attempt).is_some();
    // The retry is taken from the budget when it is sent. Without a budget the caller receives the server's own
    // error, which is better than a refusal.
    can_retry && daemon.has_retry(&attempt.service)
}

/// Starts a send; its future returns the complete response.
fn send_once(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
    chosen: &ChosenServer,
) -> SendFuture<(response::Parts, Bytes)> {
    let server = Rc::clone(&chosen.server);
    let open_send = attempt.record_send(chosen, daemon.now());
    let brittle_send = daemon.record_send(&server.instance());
    let deadline = attempt.deadline;
    let request = attempt.request(daemon, &server, None);
    let workload_guard =
        daemon.workloads.begin(attempt.workload_key(&server), attempt.caller_headers.prompt_tokens);
    let id = attempt.caller_headers.attempt.clone();
    let daemon = Rc::clone(daemon);
    Box::pin(async move {
        let _workload_guard = workload_guard;
        let _brittle_send = brittle_send;
        let confirmed = confirm(&daemon, &server).await;
        confirmed.inspect_err(|_unsent| open_send.end(daemon.now()))?;
        let response =
            send::send(&daemon, &server, id.as_ref(), &open_send, deadline, request).await?;
        send::read_whole(&daemon, &server, response, MAX_RESPONSE_BYTES).await
    })
}
