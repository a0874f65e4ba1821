//! Serves requests that are answered with one complete response, including those with an
//! idempotency key, which must not run twice.

use std::time::Duration;

use flume::RecvTimeoutError;
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

/// Largest response body in bytes that the log keeps for repeated requests.
const MAX_KEPT_BODY: usize = 1024;
/// Steps for which to wait for the decision on a claim before it is cancelled here. Longer than the
/// control state machine's own timeout, which normally ends the wait.
const CLAIM_REPLY_STEPS: u32 = 30;
/// One step of that wait.
const CLAIM_REPLY_STEP: Duration = Duration::from_millis(100);
/// Retry delay for callers while the log does not answer.
const LOG_RETRY: Duration = Duration::from_secs(5);
/// Retry delay for callers while another daemon runs the request.
const TAKEN_RETRY: Duration = Duration::from_secs(2);
/// Header of a response that repeats that of an earlier request.
const REPLAYED_HEADER: &str = "Idempotent-Replayed";

/// A response, and whether it is that of an earlier request with the same key.
struct KeyedResponse {
    answer: StoredResponse,
    replayed: bool,
}

/// Serves a request that is answered with one complete response.
pub fn serve(node: &Node, caller_request: &CallerRequest, request: Request) {
    let result = match caller_request.claim_key() {
        Some(key) => claim_and_run(node, caller_request, key),
        None => run(node, caller_request).map(|answer| KeyedResponse { answer, replayed: false }),
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

/// Sends a backend server's response to the caller.
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
) -> Result<KeyedResponse, DispatchError> {
    match request_claim(node, key) {
        ClaimAnswer::Granted => run_claimed(node, caller_request, key),
        ClaimAnswer::Ended(daemon, verdict, None) => {
            fetch_result(node, caller_request, key, &daemon)
                .unwrap_or_else(|| Err(response_lost(verdict)))
        }
        ClaimAnswer::Ended(_, verdict, Some(answer)) => {
            replay(ClaimOutcome { verdict, answer: Some(answer) })
        }
        ClaimAnswer::Taken(daemon) => fetch_result(node, caller_request, key, &daemon)
            .unwrap_or_else(|| Err(in_progress(&daemon))),
        ClaimAnswer::LogDown => Err(claim_unknown()),
    }
}

fn request_claim(node: &Node, key: ClaimKey) -> ClaimAnswer {
    let (sender, receiver) = flume::bounded(1);
    node.send(ControlInput::Claim(key, sender));
    // Waits in short steps: time in which this process stands still ends one of them at most.
    for _ in 0..CLAIM_REPLY_STEPS {
        match receiver.recv_timeout(CLAIM_REPLY_STEP) {
            Ok(answer) => return answer,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
    }
    node.send(ControlInput::Event(Event::Unclaim(key)));
    ClaimAnswer::LogDown
}

fn run_claimed(
    node: &Node,
    caller_request: &CallerRequest,
    key: ClaimKey,
) -> Result<KeyedResponse, DispatchError> {
    let result = run(node, caller_request);
    let outcome = match &result {
        Ok(answer) => ClaimOutcome { verdict: Verdict::Ran, answer: Some(answer.clone()) },
        Err(DispatchError::Refused(refused)) => {
            ClaimOutcome { verdict: refused.verdict, answer: None }
        }
        Err(DispatchError::CallerGone) => {
            ClaimOutcome { verdict: Verdict::MayHaveRun, answer: None }
        }
    };
    let kept = outcome.answer.clone().filter(|a| a.body.len() <= MAX_KEPT_BODY);
    let settlement = Settlement { key, verdict: outcome.verdict, answer: kept };
    node.send(ControlInput::Event(Event::Settle(settlement)));
    node.outcomes.finish(node.now(), key, &outcome);
    result.map(|answer| KeyedResponse { answer, replayed: false })
}

/// Requests the outcome from the daemon that runs the request. Returns `None` if that daemon is
/// unknown, or does not know the outcome before the deadline.
fn fetch_result(
    node: &Node,
    caller_request: &CallerRequest,
    key: ClaimKey,
    daemon: &DaemonId,
) -> Option<Result<KeyedResponse, DispatchError>> {
    let wait = caller_request.deadline.saturating_sub(node.now());
    let outcome = if *daemon == node.settings.id {
        node.outcomes.wait(key, wait)
    } else {
        let addr = *node.view.load().daemons.get(daemon)?;
        peer_client::fetch_outcome(node, addr, key, wait)
    };
    outcome.map(replay)
}

fn replay(outcome: ClaimOutcome) -> Result<KeyedResponse, DispatchError> {
    match outcome.answer {
        Some(answer) => Ok(KeyedResponse { answer, replayed: true }),
        None => Err(response_lost(outcome.verdict)),
    }
}

/// Returns the refusal of a repeated request if the first one ended and its response is not kept.
fn response_lost(verdict: Verdict) -> DispatchError {
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

/// Returns the refusal of a request that `daemon` runs, or ran with an unknown outcome.
fn in_progress(daemon: &DaemonId) -> DispatchError {
    DispatchError::Refused(RequestRefusal {
        status: 409,
        verdict: Verdict::MayHaveRun,
        code: "claimed-elsewhere",
        message: format!("{daemon} has this request and did not tell how it ended"),
        retry_after: Some(TAKEN_RETRY),
    })
}

/// Returns the refusal of a request whose claim the log did not decide.
///
/// Nothing was sent for this request, but an earlier one with the same key may have run through
/// another daemon, so "did not run" could be wrong. Sending it again with the same key is safe.
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
