//! Carries out one request: routes it, waits for a replica with free capacity, sends it, and
//! retries if the verdict on the failed attempt allows it.

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

/// Maximum number of failed attempts of one request that may have run.
const MAX_FAILURES: u32 = 8;
/// Pause after every replica was tried, before they are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Retry delay sent to the caller if no better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why an attempt produced no response.
#[derive(Debug)]
pub enum AttemptError {
    /// The backend server or the connection to it failed.
    Failed(Failure),
    /// The caller has disconnected, so no response is needed.
    CallerGone,
}

impl From<Failure> for AttemptError {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// Why a request ended without a response.
#[derive(Debug)]
pub enum DispatchError {
    /// The refusal must be sent to the caller.
    Refused(RequestRefusal),
    /// The caller has disconnected.
    CallerGone,
}

/// Combined results of all attempts of a request.
#[derive(Debug)]
struct History {
    attempts: u32,
    /// Failed attempts that may have run.
    failures: u32,
    verdict: Verdict,
    tried: Vec<ServerId>,
}

/// Routes a request and calls `attempt` until it succeeds or no further attempt is allowed.
///
/// # Errors
///
/// Returns an error if the request is refused or its caller has disconnected.
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
        record_failed_attempt(node, caller_request, &route, &failure);
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

fn record_failed_attempt(
    node: &Node,
    caller_request: &CallerRequest,
    route: &Route,
    failure: &Failure,
) {
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

/// Returns an error if no further attempt is allowed.
///
/// A request that must not run twice is retried only if no earlier attempt may have run. A refusal
/// before execution costs the backend server nothing and is not charged to the retry budget.
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
        retry_after: Some(DEFAULT_RETRY_AFTER),
    };
    if history.verdict != Verdict::DidNotRun && !caller_request.row.repeat {
        let message = format!("the request may have run: {}", failure.detail);
        return Err(RequestRefusal { retry_after: None, ..refused("may-have-run", message) });
    }
    // A refusal before execution cost the server nothing; only the deadline limits these retries.
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

/// Returns a replica with free capacity, waiting for one if necessary.
fn find_route(
    node: &Node,
    caller_request: &CallerRequest,
    history: &mut History,
) -> Result<Route, RequestRefusal> {
    let began = node.now();
    let mut dequeued = false;
    loop {
        let now = node.now();
        let view = node.view.load_full();
        let route_request = RouteRequest {
            model: caller_request.model(),
            prefix: caller_request.prefix,
            tried: &history.tried,
        };
        let must_queue = !dequeued && node.waiting.has_waiters(caller_request.model());
        let route = if must_queue { None } else { node.router().choose(now, &view, route_request) };
        if let Some(route) = route {
            if dequeued {
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
            // All replicas with free capacity were tried; after a pause one may accept the request.
            history.tried.clear();
            std::thread::sleep(RETRY_PAUSE);
            if node.now() >= caller_request.deadline {
                return Err(refuse(
                    node,
                    caller_request,
                    history,
                    QueueRefusal::Expired,
                    DEFAULT_RETRY_AFTER,
                ));
            }
            continue;
        }
        if !caller_request.row.is_loadable() && view.replicas_of(caller_request.model()).is_empty()
        {
            let message = format!("no backend server answers for {}", caller_request.model());
            return Err(RequestRefusal::retryable(503, "no-server", message, DEFAULT_RETRY_AFTER));
        }
        let waiter = Waiter {
            model: caller_request.model().clone(),
            priority: caller_request.priority,
            deadline: caller_request.deadline,
        };
        if !dequeued {
            node.log_routing(
                &caller_request.id,
                caller_request.model(),
                "wait",
                "",
                "no replica has room",
            );
        }
        let expected = expected_wait(node, now, caller_request, &waiter);
        let wait_result = node.waiting.wait(now, waiter, expected);
        wait_result.map_err(|r| refuse(node, caller_request, history, r, expected))?;
        dequeued = true;
    }
}

/// Returns the expected time in the queue; a request whose deadline is earlier is refused at once.
///
/// For a cold model this is the shortest time that a load can take; for others it follows from how
/// fast the queue advances.
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
            let delay = node.wait_estimator().retry_after(
                now,
                caller_request.model(),
                caller_request.priority,
                expected,
            );
            delay.max(DEFAULT_RETRY_AFTER)
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
