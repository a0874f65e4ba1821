//! Sends a request to one backend server and classifies the result.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header;
use http::response;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::body::Incoming;

use crate::boot_clock::Moment;
use crate::cluster::directory::Server;
use crate::cluster::open_send::OpenSend;
use crate::cluster::server_health::Evidence;
use crate::protocol::AttemptId;
use crate::protocol::ResponseHeaders;
use crate::serve::answer_status::is_answer;
use crate::serve::daemon_state::DaemonState;
use crate::serve::pool::Connection;
use crate::serve::suspects;
use crate::verdict::Verdict;

/// Least time left with which a request is sent: the unit of the deadline header.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// The head of a server's response, and what is needed to read the rest.
#[derive(Debug)]
pub struct ServerResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// Parsed values of the headers that the serving protocol defines.
    pub headers: ResponseHeaders,
    /// The body.
    pub body: Incoming,
    /// The connection, to be released to the pool after the whole body was read.
    pub connection: Connection,
}

/// When a connection ended while a server had a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disconnect {
    /// Before the head of the response.
    BeforeHead,
    /// After the head: the server had begun to respond.
    AfterHead,
}

impl Disconnect {
    /// Returns its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::BeforeHead => "unanswered",
            Self::AfterHead => "answering",
        }
    }
}

/// A send without a usable response.
#[derive(Clone, Debug)]
pub struct SendFailure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What the failure indicates about the server's health; `None` if nothing.
    pub evidence: Option<Evidence>,
    /// What happened, for the log.
    pub reason: &'static str,
    /// Whether the server received the request.
    pub delivered: bool,
    /// Whether the server reported that it does not hold the model or adapter.
    pub lacks_model: bool,
    /// When the connection ended, if that is the failure.
    pub disconnect: Option<Disconnect>,
}

impl ServerResponse {
    /// Returns whether the end of the connection is that of the body, which has neither a length nor chunks and is unread.
    pub fn ends_with_connection(&self) -> bool {
        let is_chunked = self.head.headers.contains_key(header::TRANSFER_ENCODING);
        !is_chunked && self.body.size_hint().exact().is_none()
    }
}

impl SendFailure {
    fn unreachable(reason: &'static str) -> Self {
        Self { evidence: Some(Evidence::Unreachable), delivered: false, ..Self::not_run(reason) }
    }

    fn connect_failed(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::unreachable("connection refused"),
            _ => Self::unreachable("no connection"),
        }
    }

    /// The server is another instance than the request is meant for, or may be; nothing was sent.
    pub fn unverified(reason: &'static str) -> Self {
        Self { delivered: false, ..Self::not_run(reason) }
    }

    /// Nothing was sent, so the server's health is not recorded.
    pub(super) fn unsent(reason: &'static str) -> Self {
        Self { evidence: None, delivered: false, ..Self::not_run(reason) }
    }

    /// A healthy server reported that the request did not run.
    fn not_run(reason: &'static str) -> Self {
        let verdict = Verdict::DidNotRun;
        Self {
            verdict,
            evidence: Some(Evidence::Sound),
            reason,
            delivered: true,
            lacks_model: false,
            disconnect: None,
        }
    }

    fn misdirected(is_other_server: bool) -> Self {
        if is_other_server {
            let other = Self::not_run("another server has the address");
            return Self { evidence: Some(Evidence::Misdirected), ..other };
        }
        Self { lacks_model: true, ..Self::not_run("the server lacks the model") }
    }

    fn refused() -> Self {
        Self::not_run("the server refused it unrun")
    }

    /// Returns a failure after which the request may have run.
    pub fn may_have_run(reason: &'static str) -> Self {
        let verdict = Verdict::MayHaveRun;
        Self { verdict, evidence: Some(Evidence::Failed), ..Self::not_run(reason) }
    }

    /// Returns the failure of a request that this daemon withdrew from its server.
    pub fn withdrawn(reason: &'static str) -> Self {
        Self { evidence: None, ..Self::may_have_run(reason) }
    }

    /// Returns the failure of a connection that ended while the server had the request.
    pub fn disconnected(reason: &'static str, disconnect: Disconnect) -> Self {
        Self { disconnect: Some(disconnect), ..Self::may_have_run(reason) }
    }
}

/// Sends a request, whose caller waits until `deadline`, and waits for the head of the response; then ends `open_send`. It stays
/// open if the future is dropped.
///
/// # Errors
///
/// Returns a failure if there is no response to this request, or if the server reports that the request did not run.
pub async fn send(
    daemon: &DaemonState,
    server: &Server,
    attempt: Option<&AttemptId>,
    open_send: &OpenSend,
    deadline: Moment,
    request: Request<Bytes>,
) -> Result<ServerResponse, SendFailure> {
    let result = exchange(daemon, server, attempt, deadline, request).await;
    let now = daemon.now();
    open_send.end(now);
    if open_send.is_retry {
        let outcome = result.as_ref().map_or_else(|failure| failure.reason, |_| "answered");
        slog::info!(daemon.log, "retry-ended"; "attempt" => attempt.map_or("-", |id| id.as_str()),
            "service" => server.service.as_str(), "server" => %open_send.server, "outcome" => outcome,
            "ms" => now.saturating_sub(open_send.sent_at).as_millis());
    }
    result
}

async fn exchange(
    daemon: &DaemonState,
    server: &Server,
    attempt: Option<&AttemptId>,
    deadline: Moment,
    request: Request<Bytes>,
) -> Result<ServerResponse, SendFailure> {
    let mut request = request.map(Full::new);
    let (instance, sent) = (server.instance(), daemon.now());
    let mut connection = daemon
        .acquire_connection(&instance, server.addr)
        .await
        .map_err(|error| SendFailure::connect_failed(&error))?;
    // If the pooled connection ended while it was idle, the request is returned unsent, and a new connection is tried.
    let mut tries = 0;
    let mut written;
    let response = loop {
        connection.meter().restart();
        let time_left = deadline.saturating_sub(daemon.now());
        if time_left < MIN_TIME_LEFT {
            return Err(SendFailure::unsent("no time is left"));
        }
        daemon.protocol.set_time_left(request.headers_mut(), time_left);
        daemon.record_plain_send(server);
        written = daemon.now();
        match connection.sender().try_send_request(request).await {
            Ok(response) => break response,
            Err(mut error) => {
                tries += 1;
                if connection.is_new() {
                    let mut paths = daemon.server_paths.borrow_mut();
                    paths.record_broken(&instance, connection.is_relayed(), daemon.now());
                }
                let Some(unsent) = error.take_message() else {
                    daemon.record_connection_end(&instance);
                    let reason = "the connection ended without an answer";
                    return Err(SendFailure::disconnected(reason, Disconnect::BeforeHead));
                };
                if tries > 2 {
                    return Err(SendFailure::unreachable("connections end at once"));
                }
                request = unsent;
                connection = daemon
                    .connect_server(&instance, server.addr)
                    .await
                    .map_err(|error| SendFailure::connect_failed(&error))?;
            }
        }
    };
    daemon.record_plain_response(&instance, written);
    daemon.retry_budgets.borrow_mut().record_response(
        &server.service,
        &instance,
        sent,
        daemon.now(),
    );
    if !connection.is_relayed() {
        daemon.server_paths.borrow_mut().record_response(&instance, daemon.now());
    }
    if !is_answer(response.status()) {
        return Err(SendFailure::may_have_run("the status is no answer"));
    }
    connection.meter().restart();
    let (head, body) = response.into_parts();
    let headers = daemon.protocol.parse_response_headers(&head);
    // A refusal may lack the id.
    let matches_attempt = headers.attempt.is_none() || headers.attempt.as_ref() == attempt;
    let is_other_server = headers.instance.as_ref().is_some_and(|id| *id != server.id);
    if matches_attempt && !is_other_server {
        daemon.apply_server_feedback(&instance, &headers, sent);
    }
    check_response(server, ServerResponse { head, headers, body, connection }, attempt)
}

fn check_response(
    server: &Server,
    response: ServerResponse,
    attempt: Option<&AttemptId>,
) -> Result<ServerResponse, SendFailure> {
    let ServerResponse { head, headers, .. } = &response;
    // The connection may deliver the response to another request in place of this one's.
    if attempt.is_some() && headers.attempt.is_some() && headers.attempt.as_ref() != attempt {
        return Err(SendFailure::may_have_run("the answer belongs to another request"));
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let is_other_server = headers.instance.as_ref().is_some_and(|id| *id != server.id);
        return Err(SendFailure::misdirected(is_other_server));
    }
    if headers.not_executed {
        return Err(SendFailure::refused());
    }
    if head.status.is_success() && (!headers.signed || headers.attempt.as_ref() != attempt) {
        return Err(SendFailure::may_have_run("the answer is not signed"));
    }
    Ok(response)
}

/// Reads the rest of a response, up to `limit` bytes, and releases its connection to the pool.
///
/// # Errors
///
/// Returns a failure if the response is cut off or too long, or if there is no memory for it.
pub async fn read_whole(
    daemon: &Rc<DaemonState>,
    server: &Server,
    response: ServerResponse,
    limit: usize,
) -> Result<(response::Parts, Bytes), SendFailure> {
    let ends_with_connection = response.ends_with_connection();
    let ServerResponse { head, headers, mut body, connection } = response;
    let mut bytes = daemon.response_bytes.buffer();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| {
            SendFailure::disconnected("the answer broke off", Disconnect::AfterHead)
        })?;
        connection.meter().restart();
        let data = frame.into_data().unwrap_or_default();
        bytes
            .extend(&data)
            .map_err(|_exceeded| SendFailure::may_have_run("no memory for the answer"))?;
        if bytes.len() > limit {
            return Err(SendFailure::may_have_run("the answer is too long"));
        }
    }
    if ends_with_connection && suspects::has_ended(daemon, server).await {
        let reason = "the answer ended with its server";
        return Err(SendFailure::disconnected(reason, Disconnect::AfterHead));
    }
    daemon.pool.release(connection, headers.keep_alive);
    Ok((head, bytes.freeze()))
}
