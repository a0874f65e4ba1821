//! Requests whose response is an event stream, which may be resumed at another server.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::response;
use tokio::task::spawn_local;

use crate::boot_clock::Moment;
use crate::cluster::quarantine_report::CrashStage;
use crate::serve::attempt::Attempt;
use crate::serve::body::ReplyBody;
use crate::serve::choose::ChosenServer;
use crate::serve::daemon_state::DaemonState;
use crate::serve::event_stream::EventStream;
use crate::serve::event_stream::StreamItem;
use crate::serve::exposure::Exposure;
use crate::serve::failover::SendFuture;
use crate::serve::failover::await_with_failover;
use crate::serve::find_origin::find_origin;
use crate::serve::find_server::DEFAULT_RETRY_AFTER;
use crate::serve::find_server::find_server;
use crate::serve::headers::strip_hop_by_hop;
use crate::serve::relay::Relay;
use crate::serve::reply::Refusal;
use crate::serve::send;
use crate::serve::send::Disconnect;
use crate::serve::send::SendFailure;
use crate::serve::stored_origins::wait_until_stored;
use crate::serve::stream_exposure::StreamExposure;
use crate::serve::suspects;
use crate::serve::verify_instance::verify_instance;

/// Largest response other than a stream.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A stream whose first events were received.
#[derive(Debug)]
pub struct StartedStream {
    /// Status and headers of the response.
    pub head: response::Parts,
    /// Reader of the further events.
    pub stream: EventStream,
    /// Events received so far; may be empty if the stream was resumed.
    pub first_events: Bytes,
    /// Time at which the first events were received.
    pub first_event: Moment,
}

/// Response to a send to an engine.
#[derive(Debug)]
pub enum OpenOutcome {
    /// A started event stream.
    Stream(Box<StartedStream>),
    /// Another response, read whole.
    Whole(response::Parts, Bytes),
}

/// Sends the request, with retries and failover, until a server begins a stream or returns another final response.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn open_stream(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
) -> Result<OpenOutcome, Refusal> {
    let resume = attempt.caller_headers.last_event;
    find_origin(daemon, attempt).await?;
    loop {
        let mut chosen = find_server(daemon, attempt).await?;
        if attempt.failed_deliveries > 0 && !daemon.take_retry(attempt, &mut chosen) {
            return Err(Refusal::failed(
                attempt.verdict,
                "the retry budget is spent",
                DEFAULT_RETRY_AFTER,
            ));
        }
        let sent = start_stream(daemon, attempt, &chosen, resume);
        match await_with_failover(daemon, attempt, sent, |d, a, c| start_stream(d, a, c, resume))
            .await
        {
            Ok(OpenOutcome::Whole(head, body)) => {
                if !head.status.is_server_error() || !attempt.route.resumable {
                    return Ok(OpenOutcome::Whole(head, body));
                }
                attempt.record_failure(daemon, &SendFailure::may_have_run("the server failed"));
                attempt.end_trial();
                if !attempt.may_retry(daemon.now()) {
                    return Ok(OpenOutcome::Whole(head, body));
                }
            }
            Ok(OpenOutcome::Stream(started)) => {
                attempt.record_first_event(daemon, started.first_event);
                wait_until_stored(daemon, &attempt.service).await;
                return Ok(OpenOutcome::Stream(started));
            }
            Err(failure) => {
                attempt.record_failure(daemon, &failure);
                suspects::check_for_crash(daemon, attempt, &failure).await;
                let now = daemon.now();
                if now >= attempt.deadline {
                    return Err(Refusal::timeout(
                        attempt.verdict,
                        attempt.reason,
                        DEFAULT_RETRY_AFTER,
                    ));
                }
                if !attempt.may_retry(now) {
                    return Err(Refusal::failed(
                        attempt.verdict,
                        attempt.reason,
                        DEFAULT_RETRY_AFTER,
                    ));
                }
            }
        }
    }
}

/// Starts a send; its future returns once the first event, or another response as a whole, was received.
pub fn start_stream(
    daemon: &Rc<DaemonState>,
    attempt: &mut Attempt,
    chosen: &ChosenServer,
    resume: Option<u64>,
) -> SendFuture<OpenOutcome> {
    let server = Rc::clone(&chosen.server);
    let open_send = attempt.record_send(chosen, daemon.now());
    let mut brittle_send = daemon.record_send(&server.instance());
    let exposure = Exposure::new(attempt, CrashStage::Unanswered);
    let deadline = attempt.deadline;
    let request = attempt.request(daemon, &server, resume);
    let workload_guard =
        daemon.workloads.begin(attempt.workload_key(&server), attempt.caller_headers.prompt_tokens);
    let id = attempt.caller_headers.attempt.clone();
    let daemon = Rc::clone(daemon);
    Box::pin(async move {
        if resume.is_some() {
            let verified = verify_instance(&daemon, &server).await;
            verified.inspect_err(|_unsent| open_send.end(daemon.now()))?;
        }
        let mut exposure = StreamExposure::new(&daemon, exposure);
        let sent = send::send(&daemon, &server, id.as_ref(), &open_send, deadline, request).await;
        let response = sent.inspect_err(|_failed| exposure.end())?;
        exposure.record_head();
        if let Some(send) = &mut brittle_send {
            send.mark_answered();
        }
        if response.head.status != StatusCode::OK {
            exposure.end();
            let (head, body) =
                send::read_whole(&daemon, &server, response, MAX_RESPONSE_BYTES).await?;
            return Ok(OpenOutcome::Whole(head, body));
        }
        let head = response.head.clone();
        let origin = (Rc::clone(&daemon), Rc::clone(&server));
        let mut stream =
            EventStream::new(origin, response, resume, workload_guard, brittle_send, exposure);
        let first_events = match stream.next().await? {
            StreamItem::Events(events) => events,
            // A caller may resume a stream after its last event, so an empty rest is valid.
            StreamItem::End if resume.is_some() => Bytes::new(),
            StreamItem::End => {
                return Err(SendFailure::disconnected(
                    "the stream has no event",
                    Disconnect::AfterHead,
                ));
            }
        };
        stream.workload_guard.first_event();
        Ok(OpenOutcome::Stream(Box::new(StartedStream {
            head,
            stream,
            first_events,
            first_event: daemon.now(),
        })))
    })
}

/// Returns the response to the caller and spawns a task that relays the events to its body.
pub fn spawn_relay(
    daemon: &Rc<DaemonState>,
    attempt: Attempt,
    started: StartedStream,
) -> Response<ReplyBody> {
    let (sender, body) = ReplyBody::stream();
    let mut response = Response::new(body);
    *response.status_mut() = started.head.status;
    *response.headers_mut() = started.head.headers.clone();
    strip_hop_by_hop(response.headers_mut());
    daemon.metrics.record_first_byte(started.first_event.saturating_sub(attempt.arrived));
    daemon.metrics.record_wait(&attempt.route.name, attempt.model_wait);
    let daemon = Rc::clone(daemon);
    spawn_local(async move {
        let mut relay = Relay { daemon, attempt, sender, last_received: started.first_event };
        relay.run(started).await;
    });
    response
}
