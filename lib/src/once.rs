//! Requests with one whole answer, and those that may not be repeated.

use std::time::Duration;

use tiny_http::Request;

use crate::chat::note_refused;
use crate::chat::note_reply;
use crate::chat::read_answer;
use crate::dispatch::Ended;
use crate::dispatch::dispatch;
use crate::event::ClaimAnswer;
use crate::event::Event;
use crate::ids::ClaimKey;
use crate::ids::DaemonId;
use crate::job::Job;
use crate::node::Input;
use crate::node::Node;
use crate::outcomes::End;
use crate::peer_call;
use crate::record::Answer;
use crate::record::Settlement;
use crate::reply;
use crate::reply::REQUEST_HEADER;
use crate::reply::Refused;
use crate::reply::VERDICT_HEADER;
use crate::verdict::Verdict;

/// Largest answer that is kept in the log for repeats.
const KEPT_BODY: usize = 1024;
/// Time beyond the state machine's own bound after which a claim is given up here.
const CLAIM_WAIT: Duration = Duration::from_secs(3);
/// When to come back while the log does not answer.
const LOG_RETRY: Duration = Duration::from_secs(5);
/// When to come back while another daemon runs the request.
const TAKEN_RETRY: Duration = Duration::from_secs(2);
/// Header of an answer that was given before.
const REPLAYED_HEADER: &str = "Idempotent-Replayed";

/// An answer, and whether an earlier request got it first.
struct Given {
    answer: Answer,
    replayed: bool,
}

/// Serves a request with one whole answer.
pub fn serve(node: &Node, job: &Job, request: Request) {
    let result = match job.claim() {
        Some(key) => claim_and_run(node, job, key),
        None => run(node, job).map(|answer| Given { answer, replayed: false }),
    };
    match result {
        Ok(given) => {
            node.metrics.record_answer(job.model(), Verdict::Ran);
            node.metrics.record_first_byte(node.now().saturating_sub(job.arrived));
            let reason = if given.replayed { "replayed" } else { "answered" };
            node.note_request(&job.id, job.model(), "done", "", reason);
            send_answer(request, job, &given.answer, given.replayed);
        }
        Err(Ended::Refused(refused)) => {
            note_refused(node, job, &refused);
            reply::send_refused(request, &job.id, &refused);
        }
        Err(Ended::CallerGone) => {}
    }
}

/// Sends a backend server's answer to the caller.
pub fn send_answer(request: Request, job: &Job, answer: &Answer, replayed: bool) {
    let mut response = reply::with_body(answer.status, &answer.content_type, answer.body.clone())
        .with_header(reply::header(VERDICT_HEADER, Verdict::Ran.as_str()))
        .with_header(reply::header(REQUEST_HEADER, &job.id));
    if replayed {
        response.add_header(reply::header(REPLAYED_HEADER, "true"));
    }
    reply::send(request, response);
}

fn run(node: &Node, job: &Job) -> Result<Answer, Ended> {
    dispatch(node, job, |route, call| {
        let reply = node.exchange.call(route.addr, call)?;
        note_reply(node, job, route, &reply);
        read_answer(reply)
    })
}

fn claim_and_run(node: &Node, job: &Job, key: ClaimKey) -> Result<Given, Ended> {
    match ask_claim(node, key) {
        ClaimAnswer::Granted => run_claimed(node, job, key),
        ClaimAnswer::Ended(daemon, verdict, None) => {
            fetch(node, job, key, &daemon).unwrap_or_else(|| Err(lost(verdict)))
        }
        ClaimAnswer::Ended(_, verdict, Some(answer)) => {
            replay(End { verdict, answer: Some(answer) })
        }
        ClaimAnswer::Taken(daemon) => {
            fetch(node, job, key, &daemon).unwrap_or_else(|| Err(in_progress(&daemon)))
        }
        ClaimAnswer::LogDown => Err(claim_unknown()),
    }
}

fn ask_claim(node: &Node, key: ClaimKey) -> ClaimAnswer {
    let (sender, receiver) = flume::bounded(1);
    node.tell(Input::Claim(key, sender));
    receiver.recv_timeout(CLAIM_WAIT).unwrap_or_else(|_silent| {
        node.tell(Input::Event(Event::Unclaim(key)));
        ClaimAnswer::LogDown
    })
}

fn run_claimed(node: &Node, job: &Job, key: ClaimKey) -> Result<Given, Ended> {
    let result = run(node, job);
    let end = match &result {
        Ok(answer) => End { verdict: Verdict::Ran, answer: Some(answer.clone()) },
        Err(Ended::Refused(refused)) => End { verdict: refused.verdict, answer: None },
        Err(Ended::CallerGone) => End { verdict: Verdict::MayHaveRun, answer: None },
    };
    let kept = end.answer.clone().filter(|a| a.body.len() <= KEPT_BODY);
    let settlement = Settlement { key, verdict: end.verdict, answer: kept };
    node.tell(Input::Event(Event::Settle(settlement)));
    node.outcomes.end(node.now(), key, &end);
    result.map(|answer| Given { answer, replayed: false })
}

/// Asks the daemon that runs a request for its outcome; none where it cannot tell.
fn fetch(node: &Node, job: &Job, key: ClaimKey, daemon: &DaemonId) -> Option<Result<Given, Ended>> {
    let wait = job.deadline.saturating_sub(node.now());
    let end = if *daemon == node.settings.id {
        node.outcomes.wait(key, wait)
    } else {
        let addr = *node.view.load().daemons.get(daemon)?;
        peer_call::outcome(node, addr, key, wait)
    };
    end.map(replay)
}

fn replay(end: End) -> Result<Given, Ended> {
    match end.answer {
        Some(answer) => Ok(Given { answer, replayed: true }),
        None => Err(lost(end.verdict)),
    }
}

/// The refusal of a repeat whose first request ended without an answer that was kept.
fn lost(verdict: Verdict) -> Ended {
    let (message, retry) = match verdict {
        Verdict::DidNotRun => ("the first request did not run; send it again", Some(TAKEN_RETRY)),
        Verdict::MayHaveRun => ("the first request may have run; its answer was lost", None),
        Verdict::Ran => ("the request ran; its answer is no longer kept", None),
    };
    let status = if verdict == Verdict::DidNotRun { 503 } else { 409 };
    let message = message.to_owned();
    Ended::Refused(Refused { status, verdict, code: "answer-lost", message, retry })
}

fn in_progress(daemon: &DaemonId) -> Ended {
    Ended::Refused(Refused {
        status: 409,
        verdict: Verdict::MayHaveRun,
        code: "claimed-elsewhere",
        message: format!("{daemon} has this request and did not tell how it ended"),
        retry: Some(TAKEN_RETRY),
    })
}

/// The refusal of a request whose claim the log did not decide.
///
/// Nothing was sent for it. An earlier request with the same key may have run through another daemon,
/// though, so "did not run" might be untrue; sending it again with its key is safe.
fn claim_unknown() -> Ended {
    Ended::Refused(Refused {
        status: 503,
        verdict: Verdict::MayHaveRun,
        code: "claim-unknown",
        message: "nothing was sent now; whether an earlier request with this key ran cannot be \
                  looked up while the log is down; send it again with the same key"
            .to_owned(),
        retry: Some(LOG_RETRY),
    })
}
