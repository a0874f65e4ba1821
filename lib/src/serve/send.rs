//! One send of a request to one backend server, and what is known of it afterwards.

use std::io;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::response;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::cluster::directory::Server;
use crate::cluster::server_health::Evidence;
use crate::protocol::AttemptId;
use crate::protocol::ResponseHeaders;
use crate::serve::daemon_state::DaemonState;
use crate::serve::pool::Connection;
use crate::serve::pool::ConnectionPool;
use crate::verdict::Verdict;

/// The head of an answer, and what is needed to read the rest.
#[derive(Debug)]
pub struct ServerResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// What the server said beside them.
    pub terms: ResponseHeaders,
    /// The body.
    pub body: Incoming,
    /// The connection, to be given back after the whole body.
    pub connection: Connection,
}

/// Where a connection ended while a server had a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disconnect {
    /// Before the head of the answer.
    BeforeHead,
    /// After it: the server had begun to answer.
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

/// A send without an answer that can be used.
#[derive(Clone, Debug)]
pub struct SendFailure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What it says of the server.
    pub evidence: Evidence,
    /// What happened, for the log.
    pub reason: &'static str,
    /// Whether the server got the request at all.
    pub delivered: bool,
    /// Whether the server says that it does not hold the model or adapter.
    pub lacks_model: bool,
    /// Where its connection ended, if that is what failed.
    pub disconnect: Option<Disconnect>,
}

impl SendFailure {
    fn unreachable(reason: &'static str) -> Self {
        Self { evidence: Evidence::Unreachable, delivered: false, ..Self::unrun(reason) }
    }

    fn unconnected(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::unreachable("connection refused"),
            _ => Self::unreachable("no connection"),
        }
    }

    /// A sound server's word that the request did not run.
    fn unrun(reason: &'static str) -> Self {
        let verdict = Verdict::DidNotRun;
        Self {
            verdict,
            evidence: Evidence::Sound,
            reason,
            delivered: true,
            lacks_model: false,
            disconnect: None,
        }
    }

    fn misdirected(is_other: bool) -> Self {
        if is_other {
            let other = Self::unrun("another server has the address");
            return Self { evidence: Evidence::Misdirected, ..other };
        }
        Self { lacks_model: true, ..Self::unrun("the server lacks the model") }
    }

    fn refused() -> Self {
        Self::unrun("the server refused it unrun")
    }

    /// A failure after which the request may have run.
    pub fn may_have_run(reason: &'static str) -> Self {
        let verdict = Verdict::MayHaveRun;
        Self { verdict, evidence: Evidence::Failed, ..Self::unrun(reason) }
    }

    /// A connection that ended while the server had the request.
    pub fn disconnected(reason: &'static str, broke: Disconnect) -> Self {
        Self { disconnect: Some(broke), ..Self::may_have_run(reason) }
    }
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// There is no answer to this request, or the server says that it did not run.
pub async fn send(
    daemon: &DaemonState,
    server: &Server,
    attempt: Option<&AttemptId>,
    request: Request<Bytes>,
) -> Result<ServerResponse, SendFailure> {
    let mut request = request.map(Full::new);
    let (start, pool, sent) = (server.instance(), &daemon.pool, daemon.now());
    let mut connection = pool
        .acquire(&start, server.addr)
        .await
        .map_err(|error| SendFailure::unconnected(&error))?;
    // A connection that ended while it was idle gives the request back unsent.
    let mut tries = 0;
    let response = loop {
        match connection.sender().try_send_request(request).await {
            Ok(response) => break response,
            Err(mut error) => {
                tries += 1;
                let Some(unsent) = error.take_message() else {
                    let reason = "the connection ended without an answer";
                    return Err(SendFailure::disconnected(reason, Disconnect::BeforeHead));
                };
                if tries > 2 {
                    return Err(SendFailure::unreachable("connections end at once"));
                }
                request = unsent;
                connection = pool
                    .connect(&start, server.addr)
                    .await
                    .map_err(|error| SendFailure::unconnected(&error))?;
            }
        }
    };
    let (head, body) = response.into_parts();
    let terms = daemon.protocol.parse_response_headers(&head);
    let is_own = terms.attempt.as_ref() == attempt;
    let is_other = terms.instance.as_ref().is_some_and(|id| *id != server.id);
    if is_own && !is_other {
        daemon.apply_server_feedback(&start, &terms, sent);
    }
    judge(server, ServerResponse { head, terms, body, connection }, attempt)
}

fn judge(
    server: &Server,
    answer: ServerResponse,
    attempt: Option<&AttemptId>,
) -> Result<ServerResponse, SendFailure> {
    let ServerResponse { head, terms, .. } = &answer;
    // An answer that belongs to another request may stand where this one's is due.
    if attempt.is_some() && terms.attempt.is_some() && terms.attempt.as_ref() != attempt {
        return Err(SendFailure::may_have_run("the answer belongs to another request"));
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let is_other = terms.instance.as_ref().is_some_and(|id| *id != server.id);
        return Err(SendFailure::misdirected(is_other));
    }
    if terms.not_executed {
        return Err(SendFailure::refused());
    }
    if head.status.is_success() && (!terms.signed || terms.attempt.as_ref() != attempt) {
        return Err(SendFailure::may_have_run("the answer is not signed"));
    }
    Ok(answer)
}

/// Reads the rest of an answer, up to `limit` bytes.
///
/// # Errors
///
/// The answer broke off or is too long.
pub async fn read_whole(
    pool: &ConnectionPool,
    answer: ServerResponse,
    limit: usize,
) -> Result<(response::Parts, Bytes), SendFailure> {
    let ServerResponse { head, terms, mut body, connection } = answer;
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| {
            SendFailure::disconnected("the answer broke off", Disconnect::AfterHead)
        })?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > limit {
            return Err(SendFailure::may_have_run("the answer is too long"));
        }
    }
    pool.release(connection, terms.keep_alive);
    Ok((head, Bytes::from(bytes)))
}
