//! Requests answered by a stream of events, which may go on at another server.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::response;
use tokio::task::spawn_local;

use crate::boot_clock::Moment;
use crate::serve::attempt::Attempt;
use crate::serve::body::ReplyBody;
use crate::serve::choose::Chosen;
use crate::serve::daemon_state::DaemonState;
use crate::serve::event_stream::Flow;
use crate::serve::event_stream::Progress;
use crate::serve::failover::Exchange;
use crate::serve::failover::ask;
use crate::serve::find_server::COME_BACK;
use crate::serve::find_server::find_server;
use crate::serve::headers::strip_connection;
use crate::serve::relay::Relay;
use crate::serve::reply::Refusal;
use crate::serve::send;
use crate::serve::send::Break;
use crate::serve::send::SendFailure;
use crate::serve::suspects;

/// Largest answer other than a stream.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// A stream whose first events have come.
#[derive(Debug)]
pub struct Started {
    /// Status and headers.
    pub head: response::Parts,
    /// The events to come.
    pub flow: Flow,
    /// The events that have come.
    pub events: Bytes,
    /// When they came.
    pub first: Moment,
}

/// What a send to an engine came to.
#[derive(Debug)]
pub enum Opened {
    /// A stream.
    Stream(Box<Started>),
    /// Another answer, whole.
    Other(response::Parts, Bytes),
}

/// Finds a server that begins to answer.
///
/// # Errors
///
/// Returns the answer of our own that the caller gets.
pub async fn open(entry: &Rc<DaemonState>, attempt: &mut Attempt) -> Result<Opened, Refusal> {
    let resume = attempt.terms.last_event;
    loop {
        let chosen = find_server(entry, attempt).await?;
        if attempt.arrivals > 0 && !entry.take_retry(&attempt.service) {
            return Err(Refusal::failed(attempt.verdict, "the retry budget is spent", COME_BACK));
        }
        let sent = begin(entry, attempt, &chosen, resume);
        match ask(entry, attempt, sent, |e, a, c| begin(e, a, c, resume)).await {
            Ok(Opened::Other(head, body)) => {
                if !head.status.is_server_error() || !attempt.route.resumable {
                    return Ok(Opened::Other(head, body));
                }
                attempt.failed(entry, &SendFailure::doubtful("the server failed"));
                if !attempt.may_repeat(entry.now()) {
                    return Ok(Opened::Other(head, body));
                }
            }
            Ok(Opened::Stream(started)) => {
                attempt.began(entry, started.first);
                return Ok(Opened::Stream(started));
            }
            Err(failure) => {
                attempt.failed(entry, &failure);
                suspects::note_failure(entry, attempt, &failure).await;
                let now = entry.now();
                if now >= attempt.deadline {
                    return Err(Refusal::timeout(attempt.verdict, attempt.reason, COME_BACK));
                }
                if !attempt.may_repeat(now) {
                    return Err(Refusal::failed(attempt.verdict, attempt.reason, COME_BACK));
                }
            }
        }
    }
}

/// Sends the request; the answer is read until the first event.
pub fn begin(
    entry: &Rc<DaemonState>,
    attempt: &mut Attempt,
    chosen: &Chosen,
    resume: Option<u64>,
) -> Exchange<Opened> {
    let server = Rc::clone(&chosen.server);
    attempt.sent(chosen, entry.now());
    entry.record_send(&server.instance());
    let request = attempt.request(entry, &server, resume);
    let work = entry.workloads.begin(attempt.place(&server), attempt.terms.prompt);
    let id = attempt.terms.attempt.clone();
    let entry = Rc::clone(entry);
    Box::pin(async move {
        let answer = send::send(&entry, &server, id.as_ref(), request).await?;
        if answer.head.status != StatusCode::OK {
            let (head, body) = send::read_whole(&entry.pool, answer, ANSWER_LIMIT).await?;
            return Ok(Opened::Other(head, body));
        }
        let head = answer.head.clone();
        let mut flow = Flow::new(answer, resume, work);
        let events = match flow.next().await? {
            Progress::Events(events) => events,
            // Nothing may be left of a stream that its caller takes up again.
            Progress::End if resume.is_some() => Bytes::new(),
            Progress::End => {
                return Err(SendFailure::broken("the stream has no event", Break::Answering));
            }
        };
        flow.work.first_event();
        Ok(Opened::Stream(Box::new(Started { head, flow, events, first: entry.now() })))
    })
}

/// Begins the answer to the caller and leaves the rest to a task.
pub fn relay(entry: &Rc<DaemonState>, attempt: Attempt, started: Started) -> Response<ReplyBody> {
    let (sender, body) = ReplyBody::stream();
    let mut response = Response::new(body);
    *response.status_mut() = started.head.status;
    *response.headers_mut() = started.head.headers.clone();
    strip_connection(response.headers_mut());
    entry.metrics.first_byte(started.first.saturating_sub(attempt.arrived));
    entry.metrics.waited(&attempt.route.name, attempt.waited);
    let entry = Rc::clone(entry);
    spawn_local(async move {
        let mut relay = Relay { entry, attempt, sender, heard: started.first };
        relay.run(started).await;
    });
    response
}
