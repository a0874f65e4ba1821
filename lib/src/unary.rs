//! Requests with one whole answer, and those that may not be repeated.

use std::time::Duration;

use tiny_http::Request;

use crate::caller_request::CallerRequest;
use crate::chat::read_answer;
use crate::chat::record_refusal;
use crate::chat::record_response;
use crate::claim_outcomes::ClaimOutcome;
use crate::dispatch::DispatchError;
use crate::dispatch::dispatch;
use crate::event::ClaimAnswer;
use crate::event::Event;
use crate::ids::ClaimKey;
use crate::ids::DaemonId;
use crate::node::ControlInput;
use crate::node::Node;
use crate::peer_client;
use crate::record::Settlement;
use crate::record::StoredResponse;
use crate::reply;
use crate::reply::REQUEST_ID_HEADER;
use crate::reply::RequestRefusal;
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
    answer: StoredResponse,
    replayed: bool,
}

/// Serves a request with one whole answer.
pub fn serve(node: &Node, caller_request: &CallerRequest, request: Request) {
    let result = match caller_request.claim_key() {
        Some(key) => claim_and_run(node, caller_request, key),
        None => run(node, caller_request).map(|answer| Given { answer, replayed: false }),
    };
    match result {
        Ok(given) => {
            node.metrics.record_answer(caller_request.model(), Verdict::Ran);
            node.metrics.record_first_byte(node.now().saturating_sub(caller_request.arrived));
            let reason = if given.replayed { "replayed" } else { "answered" };
            node.log_routing(&caller_request.id, caller_request.model(), "done", "", reason);
            send_response(request, caller_request, &given.answer, given.replayed);
        }
        Err(DispatchError::Refused(refused)) => {
            record_refusal(node, caller_request, &refused);
            reply::send_refusal(request, &caller_request.id, &refused);
        }
        Err(DispatchError::CallerGone) => {}
    }
}

/// Sends a backend server's answer to the caller.
pub fn send_response(
    request: Request,
    caller_request: &CallerRequest,
    answer: &StoredResponse,
    replayed: bool,
) {
    let mut response = reply::with_body(answer.status, &answer.content_type, answer.body.clone())
        .with_header(reply::header(VERDICT_HEADER, Verdict::Ran.as_str()))
        .with_header(reply::header(REQUEST_ID_HEADER, &caller_request.id));
    if replayed {
        response.add_header(reply::header(REPLAYED_HEADER, "true"));
    }
    reply::send(request, response);
}

fn run(node: &Node, caller_request: &CallerRequest) -> Result<StoredResponse, DispatchError> {
    dispatch(node, caller_request, |route, server_request| {
        let response = node.backend_client.send(route.addr, server_request)?;
        record_response(node, caller_request, route, &response);
        read_answer(response)
    })
}

fn claim_and_run(
    node: &Node,
    caller_request: &CallerRequest,
    key: ClaimKey,
) -> Result<Given, DispatchError> {
    match ask_claim(node, key) {
        ClaimAnswer::Granted => run_claimed(node, caller_request, key),
        ClaimAnswer::Ended(daemon, verdict, None) => {
            fetch(node, caller_request, key, &daemon).unwrap_or_else(|| Err(lost(verdict)))
        }
        ClaimAnswer::Ended(_, verdict, Some(answer)) => {
            replay(ClaimOutcome { verdict, answer: Some(answer) })
        }
        ClaimAnswer::Taken(daemon) => {
            fetch(node, caller_request, key, &daemon).unwrap_or_else(|| Err(in_progress(&daemon)))
        }
        ClaimAnswer::LogDown => Err(claim_unknown()),
    }
}

fn ask_claim(node: &Node, key: ClaimKey) -> ClaimAnswer {
    let (sender, receiver) = flume::bounded(1);
    node.send(ControlInput::Claim(key, sender));
    receiver.recv_timeout(CLAIM_WAIT).unwrap_or_else(|_silent| {
        node.send(ControlInput::Event(Event::Unclaim(key)));
        ClaimAnswer::LogDown
    })
}

fn run_claimed(
    node: &Node,
    caller_request: &CallerRequest,
    key: ClaimKey,
) -> Result<Given, DispatchError> {
    let result = run(node, caller_request);
    let end = match &result {
        Ok(answer) => ClaimOutcome { verdict: Verdict::Ran, answer: Some(answer.clone()) },
        Err(DispatchError::Refused(refused)) => {
            ClaimOutcome { verdict: refused.verdict, answer: None }
        }
        Err(DispatchError::CallerGone) => {
            ClaimOutcome { verdict: Verdict::MayHaveRun, answer: None }
        }
    };
    let kept = end.answer.clone().filter(|a| a.body.len() <= KEPT_BODY);
    let settlement = Settlement { key, verdict: end.verdict, answer: kept };
    node.send(ControlInput::Event(Event::Settle(settlement)));
    node.outcomes.finish(node.now(), key, &end);
    result.map(|answer| Given { answer, replayed: false })
}

/// Asks the daemon that runs a request for its outcome; none where it cannot tell.
fn fetch(
    node: &Node,
    caller_request: &CallerRequest,
    key: ClaimKey,
    daemon: &DaemonId,
) -> Option<Result<Given, DispatchError>> {
    let wait = caller_request.deadline.saturating_sub(node.now());
    let end = if *daemon == node.settings.id {
        node.outcomes.wait(key, wait)
    } else {
        let addr = *node.view.load().daemons.get(daemon)?;
        peer_client::fetch_outcome(node, addr, key, wait)
    };
    end.map(replay)
}

fn replay(end: ClaimOutcome) -> Result<Given, DispatchError> {
    match end.answer {
        Some(answer) => Ok(Given { answer, replayed: true }),
        None => Err(lost(end.verdict)),
    }
}

/// The refusal of a repeat whose first request ended without an answer that was kept.
fn lost(verdict: Verdict) -> DispatchError {
    let (message, retry) = match verdict {
        Verdict::DidNotRun => ("the first request did not run; send it again", Some(TAKEN_RETRY)),
        Verdict::MayHaveRun => ("the first request may have run; its answer was lost", None),
        Verdict::Ran => ("the request ran; its answer is no longer kept", None),
    };
    let status = if verdict == Verdict::DidNotRun { 503 } else { 409 };
    let message = message.to_owned();
    DispatchError::Refused(RequestRefusal {
        status,
        verdict,
        code: "answer-lost",
        message,
        retry_after: retry,
    })
}

fn in_progress(daemon: &DaemonId) -> DispatchError {
    DispatchError::Refused(RequestRefusal {
        status: 409,
        verdict: Verdict::MayHaveRun,
        code: "claimed-elsewhere",
        message: format!("{daemon} has this request and did not tell how it ended"),
        retry_after: Some(TAKEN_RETRY),
    })
}

/// The refusal of a request whose claim the log did not decide.
///
/// Nothing was sent for it. An earlier request with the same key may have run through another daemon,
/// though, so "did not run" might be untrue; sending it again with its key is safe.
fn claim_unknown() -> DispatchError {
    DispatchError::Refused(RequestRefusal {
        status: 503,
        verdict: Verdict::MayHaveRun,
        code: "claim-unknown",
        message: "nothing was sent now; whether an earlier request with this key ran cannot be \
                  looked up while the log is down; send it again with the same key"
            .to_owned(),
        retry_after: Some(LOG_RETRY),
    })
}
