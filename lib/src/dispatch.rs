//! Attempts of one request: route, wait, try, and try again where the verdict allows.

use std::time::Duration;

use crate::exchange::Call;
use crate::exchange::Failure;
use crate::exchange::Fault;
use crate::ids::ServerId;
use crate::job::Job;
use crate::node::Node;
use crate::queue::Refusal;
use crate::queue::Waiter;
use crate::record::Source;
use crate::reply::Refused;
use crate::router::Route;
use crate::router::Wish;
use crate::verdict::Verdict;

/// Most attempts of one request that may have run.
const MAX_FAILURES: u32 = 8;
/// Pause after every replica was tried, before they are tried again.
const PAUSE: Duration = Duration::from_millis(100);
/// When to come back after a refusal that names no better time.
const COME_BACK: Duration = Duration::from_secs(1);

/// Why an attempt gave no answer.
#[derive(Debug)]
pub enum Stop {
    /// It failed.
    Failed(Failure),
    /// The caller is gone; nobody wants the answer.
    CallerGone,
}

impl From<Failure> for Stop {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// How a request ended without an answer.
#[derive(Debug)]
pub enum Ended {
    /// The caller must be told.
    Refused(Refused),
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
    job: &Job,
    mut attempt: impl FnMut(&Route, &Call) -> Result<T, Stop>,
) -> Result<T, Ended> {
    let mut history =
        History { attempts: 0, failures: 0, verdict: Verdict::DidNotRun, tried: Vec::new() };
    node.budget().attempted();
    loop {
        let route = find_route(node, job, &mut history).map_err(Ended::Refused)?;
        let call = call_of(job, history.attempts);
        history.attempts += 1;
        node.note_request(&job.id, job.model(), "route", &route.server, route.reason);
        let result = attempt(&route, &call);
        node.router().finished(&route.server, job.model());
        node.pump();
        let failure = match result {
            Ok(value) => return Ok(value),
            Err(Stop::CallerGone) => return Err(Ended::CallerGone),
            Err(Stop::Failed(failure)) => failure,
        };
        note_failure(node, job, &route, &failure);
        history.verdict = history.verdict.combine(failure.verdict);
        history.failures += u32::from(failure.verdict != Verdict::DidNotRun);
        history.tried.push(route.server);
        may_retry(node, job, &history, &failure).map_err(Ended::Refused)?;
        node.metrics.record_retry();
    }
}

fn call_of(job: &Job, attempt: u32) -> Call {
    Call {
        method: job.method.clone(),
        path: job.path.clone(),
        content_type: job.content_type.clone(),
        body: job.body.clone(),
        attempt: format!("{}.{attempt}", job.id),
        resume: 0,
        priority: job.priority,
    }
}

fn note_failure(node: &Node, job: &Job, route: &Route, failure: &Failure) {
    let now = node.now();
    match failure.fault {
        Fault::Leaving => node.router().left(now, &route.server),
        Fault::NotLoaded => node.router().missed(now, &route.server, job.model()),
        Fault::Unreachable | Fault::Stalled => node.router().failed(now, &route.server),
        Fault::Refused => node.router().answered(now, &route.server, job.model(), None),
        Fault::Truncated | Fault::Faulted | Fault::Crossed => {}
    }
    let reason = format!("{} {}: {}", failure.verdict, failure.fault.as_str(), failure.detail);
    node.note_request(&job.id, job.model(), "fail", &route.server, reason);
}

/// Decides whether another attempt is allowed.
///
/// A request that may not be repeated gets one only if no earlier attempt may have run. A refusal
/// before running costs the backend server nothing and needs no budget.
fn may_retry(node: &Node, job: &Job, history: &History, failure: &Failure) -> Result<(), Refused> {
    let refused = |code, message: String| Refused {
        status: if history.verdict == Verdict::DidNotRun { 503 } else { 502 },
        verdict: history.verdict,
        code,
        message,
        retry: Some(COME_BACK),
    };
    if history.verdict != Verdict::DidNotRun && !job.row.repeat {
        let message = format!("the request may have run: {}", failure.detail);
        return Err(Refused { retry: None, ..refused("may-have-run", message) });
    }
    // What was refused before running cost nothing; the deadline bounds it.
    if matches!(failure.fault, Fault::Refused | Fault::Leaving | Fault::NotLoaded) {
        return Ok(());
    }
    if history.failures >= MAX_FAILURES {
        return Err(refused("attempts-used-up", failure.detail.clone()));
    }
    if !node.budget().take() {
        return Err(refused("retry-budget-used-up", failure.detail.clone()));
    }
    Ok(())
}

/// Returns a replica with room, after waiting for one if need be.
fn find_route(node: &Node, job: &Job, history: &mut History) -> Result<Route, Refused> {
    let began = node.now();
    let mut woken = false;
    loop {
        let now = node.now();
        let view = node.view.load_full();
        let wish = Wish { model: job.model(), prefix: job.prefix, tried: &history.tried };
        let overtakes = !woken && node.waiting.is_waited(job.model());
        let route = if overtakes { None } else { node.router().choose(now, &view, wish) };
        if let Some(route) = route {
            if woken {
                node.pace().turned(now, job.model(), job.priority);
                node.metrics.record_wait(job.model(), now.saturating_sub(began));
            }
            return Ok(route);
        }
        if !history.tried.is_empty() && node.router().room(now, &view, job.model()) > 0 {
            // Every replica with room was tried; what refused before may not do so after a pause.
            history.tried.clear();
            std::thread::sleep(PAUSE);
            if node.now() >= job.deadline {
                return Err(refuse(node, job, history, Refusal::Expired, COME_BACK));
            }
            continue;
        }
        if !job.row.is_loaded() && view.places(job.model()).is_empty() {
            let message = format!("no backend server answers for {}", job.model());
            return Err(Refused::later(503, "no-server", message, COME_BACK));
        }
        let waiter =
            Waiter { model: job.model().clone(), priority: job.priority, deadline: job.deadline };
        if !woken {
            node.note_request(&job.id, job.model(), "wait", "", "no replica has room");
        }
        let expected = expected_wait(node, now, job, &waiter);
        let turn = node.waiting.wait(now, waiter, expected);
        turn.map_err(|r| refuse(node, job, history, r, expected))?;
        woken = true;
    }
}

/// Returns the time until the request's turn: a request that cannot wait it is refused at once.
///
/// For a cold model it is the least that a load can take; for others it follows from the pace of the
/// queue.
fn expected_wait(node: &Node, now: Duration, job: &Job, waiter: &Waiter) -> Duration {
    let view = node.view.load();
    let cold = view.places(job.model()).is_empty() && !view.loading.contains(job.model());
    if cold && job.row.is_loaded() {
        return node.loading_rates().expected(job.row.load_mib, Source::Memory);
    }
    let ahead = node.waiting.ahead(waiter);
    node.pace().expected(now, job.model(), job.priority, ahead)
}

fn refuse(
    node: &Node,
    job: &Job,
    history: &History,
    refusal: Refusal,
    expected: Duration,
) -> Refused {
    let cold = node.view.load().places(job.model()).is_empty();
    let retry = match refusal {
        Refusal::Stopping => Duration::ZERO,
        _ if cold => node.loading_rates().expected(job.row.load_mib, Source::Disk),
        _ => {
            let now = node.now();
            let back = node.pace().come_back(now, job.model(), job.priority, expected);
            back.max(COME_BACK)
        }
    };
    let message = match refusal {
        Refusal::Full => "too many requests wait for this model",
        Refusal::Displaced => "a more important request took the place in the queue",
        Refusal::TooLate => "the model cannot be ready by the deadline",
        Refusal::Expired => "no replica was ready by the deadline",
        Refusal::Stopping => "this daemon is stopping; another one will answer",
    };
    Refused {
        status: 503,
        verdict: history.verdict,
        code: refusal.as_str(),
        message: message.to_owned(),
        retry: Some(retry),
    }
}
