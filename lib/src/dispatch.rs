//! Attempts of one request: route, wait, try, and try again where the verdict allows.

use std::time::Duration;

use crate::backend_client::Failure;
use crate::backend_client::FailureKind;
use crate::backend_client::ServerRequest;
use crate::caller_request::CallerRequest;
use crate::ids::ServerId;
use crate::node::Node;
use crate::queue::QueueRefusal;
use crate::queue::Waiter;
use crate::record::Source;
use crate::reply::RequestRefusal;
use crate::router::Route;
use crate::router::RouteRequest;
use crate::verdict::Verdict;

/// Most attempts of one request that may have run.
const MAX_FAILURES: u32 = 8;
/// Pause after every replica was tried, before they are tried again.
const PAUSE: Duration = Duration::from_millis(100);
/// When to come back after a refusal that names no better time.
const COME_BACK: Duration = Duration::from_secs(1);

/// Why an attempt gave no answer.
#[derive(Debug)]
pub enum AttemptError {
    /// It failed.
    Failed(Failure),
    /// The caller is gone; nobody wants the answer.
    CallerGone,
}

impl From<Failure> for AttemptError {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// How a request ended without an answer.
#[derive(Debug)]
pub enum DispatchError {
    /// The caller must be told.
    Refused(RequestRefusal),
    /// The caller is gone.
    CallerGone,
}

/// What is known over all attempts of a request.
#[derive(Debug)]
struct History {
    attempts: u32,
    /// Attempts that may have run.
    failures: u32,
    verdict: Verdict,
    tried: Vec<ServerId>,
}

/// Routes a request and runs `attempt` until one succeeds or no other is allowed.
///
/// # Errors
///
/// The request is refused, or its caller is gone.
pub fn dispatch<T>(
    node: &Node,
    caller_request: &CallerRequest,
    mut attempt: impl FnMut(&Route, &ServerRequest) -> Result<T, AttemptError>,
) -> Result<T, DispatchError> {
    let mut history =
        History { attempts: 0, failures: 0, verdict: Verdict::DidNotRun, tried: Vec::new() };
    node.retry_budget().record_first();
    loop {
        let route =
            find_route(node, caller_request, &mut history).map_err(DispatchError::Refused)?;
        let server_request = server_request_for(caller_request, history.attempts);
        history.attempts += 1;
        node.log_routing(
            &caller_request.id,
            caller_request.model(),
            "route",
            &route.server,
            route.reason,
        );
        let result = attempt(&route, &server_request);
        node.router().record_end(&route.server, caller_request.model());
        node.wake_waiting();
        let failure = match result {
            Ok(value) => return Ok(value),
            Err(AttemptError::CallerGone) => return Err(DispatchError::CallerGone),
            Err(AttemptError::Failed(failure)) => failure,
        };
        note_failure(node, caller_request, &route, &failure);
        history.verdict = history.verdict.combine(failure.verdict);
        history.failures += u32::from(failure.verdict != Verdict::DidNotRun);
        history.tried.push(route.server);
        may_retry(node, caller_request, &history, &failure).map_err(DispatchError::Refused)?;
        node.metrics.record_retry();
    }
}

fn server_request_for(caller_request: &CallerRequest, attempt: u32) -> ServerRequest {
    ServerRequest {
        method: caller_request.method.clone(),
        path: caller_request.path.clone(),
        content_type: caller_request.content_type.clone(),
        body: caller_request.body.clone(),
        attempt_id: format!("{}.{attempt}", caller_request.id),
        resume_from: 0,
        priority: caller_request.priority,
    }
}

fn note_failure(node: &Node, caller_request: &CallerRequest, route: &Route, failure: &Failure) {
    let now = node.now();
    match failure.kind {
        FailureKind::Leaving => node.router().mark_leaving(now, &route.server),
        FailureKind::NotLoaded => {
            node.router().mark_missing(now, &route.server, caller_request.model());
        }
        FailureKind::Unreachable | FailureKind::Stalled => {
            node.router().record_failure(now, &route.server);
        }
        FailureKind::Refused => {
            node.router().record_answer(now, &route.server, caller_request.model(), None);
        }
        FailureKind::Truncated | FailureKind::ServerError | FailureKind::WrongAttempt => {}
    }
    let reason = format!("{} {}: {}", failure.verdict, failure.kind.as_str(), failure.detail);
    node.log_routing(&caller_request.id, caller_request.model(), "fail", &route.server, reason);
}

/// Decides whether another attempt is allowed.
///
/// A request that may not be repeated gets one only if no earlier attempt may have run. A refusal
/// before running costs the backend server nothing and needs no budget.
fn may_retry(
    node: &Node,
    caller_request: &CallerRequest,
    history: &History,
    failure: &Failure,
) -> Result<(), RequestRefusal> {
    let refused = |code, message: String| RequestRefusal {
        status: if history.verdict == Verdict::DidNotRun { 503 } else { 502 },
        verdict: history.verdict,
        code,
        message,
        retry_after: Some(COME_BACK),
    };
    if history.verdict != Verdict::DidNotRun && !caller_request.row.repeat {
        let message = format!("the request may have run: {}", failure.detail);
        return Err(RequestRefusal { retry_after: None, ..refused("may-have-run", message) });
    }
    // What was refused before running cost nothing; the deadline bounds it.
    if matches!(failure.kind, FailureKind::Refused | FailureKind::Leaving | FailureKind::NotLoaded)
    {
        return Ok(());
    }
    if history.failures >= MAX_FAILURES {
        return Err(refused("attempts-used-up", failure.detail.clone()));
    }
    if !node.retry_budget().take_retry() {
        return Err(refused("retry-budget-used-up", failure.detail.clone()));
    }
    Ok(())
}

/// Returns a replica with room, after waiting for one if need be.
fn find_route(
    node: &Node,
    caller_request: &CallerRequest,
    history: &mut History,
) -> Result<Route, RequestRefusal> {
    let began = node.now();
    let mut woken = false;
    loop {
        let now = node.now();
        let view = node.view.load_full();
        let route_request = RouteRequest {
            model: caller_request.model(),
            prefix: caller_request.prefix,
            tried: &history.tried,
        };
        let overtakes = !woken && node.waiting.has_waiters(caller_request.model());
        let route = if overtakes { None } else { node.router().choose(now, &view, route_request) };
        if let Some(route) = route {
            if woken {
                node.wait_estimator().record_dequeue(
                    now,
                    caller_request.model(),
                    caller_request.priority,
                );
                node.metrics.record_wait(caller_request.model(), now.saturating_sub(began));
            }
            return Ok(route);
        }
        if !history.tried.is_empty()
            && node.router().free_capacity(now, &view, caller_request.model()) > 0
        {
            // Every replica with room was tried; what refused before may not do so after a pause.
            history.tried.clear();
            std::thread::sleep(PAUSE);
            if node.now() >= caller_request.deadline {
                return Err(refuse(
                    node,
                    caller_request,
                    history,
                    QueueRefusal::Expired,
                    COME_BACK,
                ));
            }
            continue;
        }
        if !caller_request.row.is_loadable() && view.replicas_of(caller_request.model()).is_empty()
        {
            let message = format!("no backend server answers for {}", caller_request.model());
            return Err(RequestRefusal::retryable(503, "no-server", message, COME_BACK));
        }
        let waiter = Waiter {
            model: caller_request.model().clone(),
            priority: caller_request.priority,
            deadline: caller_request.deadline,
        };
        if !woken {
            node.log_routing(
                &caller_request.id,
                caller_request.model(),
                "wait",
                "",
                "no replica has room",
            );
        }
        let expected = expected_wait(node, now, caller_request, &waiter);
        let turn = node.waiting.wait(now, waiter, expected);
        turn.map_err(|r| refuse(node, caller_request, history, r, expected))?;
        woken = true;
    }
}

/// Returns the time until the request's turn: a request that cannot wait it is refused at once.
///
/// For a cold model it is the least that a load can take; for others it follows from the pace of the
/// queue.
fn expected_wait(
    node: &Node,
    now: Duration,
    caller_request: &CallerRequest,
    waiter: &Waiter,
) -> Duration {
    let view = node.view.load();
    let cold = view.replicas_of(caller_request.model()).is_empty()
        && !view.loading.contains(caller_request.model());
    if cold && caller_request.row.is_loadable() {
        return node.load_rates().expected_time(caller_request.row.load_mib, Source::Memory);
    }
    let ahead = node.waiting.count_ahead(waiter);
    node.wait_estimator().expected_wait(now, caller_request.model(), caller_request.priority, ahead)
}

fn refuse(
    node: &Node,
    caller_request: &CallerRequest,
    history: &History,
    refusal: QueueRefusal,
    expected: Duration,
) -> RequestRefusal {
    let cold = node.view.load().replicas_of(caller_request.model()).is_empty();
    let retry = match refusal {
        QueueRefusal::Stopping => Duration::ZERO,
        _ if cold => node.load_rates().expected_time(caller_request.row.load_mib, Source::Disk),
        _ => {
            let now = node.now();
            let back = node.wait_estimator().retry_after(
                now,
                caller_request.model(),
                caller_request.priority,
                expected,
            );
            back.max(COME_BACK)
        }
    };
    let message = match refusal {
        QueueRefusal::Full => "too many requests wait for this model",
        QueueRefusal::Displaced => "a more important request took the place in the queue",
        QueueRefusal::TooLate => "the model cannot be ready by the deadline",
        QueueRefusal::Expired => "no replica was ready by the deadline",
        QueueRefusal::Stopping => "this daemon is stopping; another one will answer",
    };
    RequestRefusal {
        status: 503,
        verdict: history.verdict,
        code: refusal.as_str(),
        message: message.to_owned(),
        retry_after: Some(retry),
    }
}
