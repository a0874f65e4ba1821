//! Requests to backend servers: model engines and plain services.
//!
//! Every request opens a connection of its own: an open one may have gone silent for good while
//! new ones work, and nothing but a timeout would tell.

use std::fmt;
use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use crate::verdict::Verdict;

/// Header of the attempt's id; the backend server returns it with its answer.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header by which a backend server says that it refused a request before running it.
pub const REFUSED_HEADER: &str = "x-refused";
/// Header with the number of requests in progress on a replica.
pub const ACTIVE_HEADER: &str = "x-active";
/// Header with the number of tokens of a stream that the caller has already.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Header with the request's priority.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Word of [`REFUSED_HEADER`] from a backend server that leaves.
pub const REFUSED_LEAVING: &str = "leaving";

/// Word of [`REFUSED_HEADER`] from an engine that does not hold the model.
pub const REFUSED_NOT_LOADED: &str = "not-loaded";

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to a backend server.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Identity of this attempt, unique in the whole system.
    pub attempt_id: String,
    /// Tokens to skip, of a stream that is taken up again.
    pub resume_from: u64,
    /// The request's priority.
    pub priority: u8,
}

/// The head of an answer and the body still to be read.
pub struct ServerResponse {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Requests in progress on the replica, where the backend server says so.
    pub active: Option<u32>,
    /// The body. A read fails if the body ends before its stated length or last chunk, or is
    /// silent for longer than the idle timeout.
    pub body: Box<dyn Read + Send>,
}

impl fmt::Debug for ServerResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reply").field("status", &self.status).finish_non_exhaustive()
    }
}

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// No connection.
    Unreachable,
    /// The backend server refused the request before running it.
    Refused,
    /// It refused because it leaves.
    Leaving,
    /// It refused because it does not hold the model.
    NotLoaded,
    /// Nothing came for longer than the idle timeout.
    Stalled,
    /// The connection ended before the answer was whole.
    Truncated,
    /// The answer carries an error in place of a result.
    ServerError,
    /// The answer belongs to another attempt.
    WrongAttempt,
}

impl FailureKind {
    /// Returns the word for log lines and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Leaving => "leaving",
            Self::NotLoaded => "not-loaded",
            Self::Stalled => "stalled",
            Self::Truncated => "truncated",
            Self::ServerError => "faulted",
            Self::WrongAttempt => "crossed",
        }
    }
}

/// A failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub kind: FailureKind,
    /// More about it.
    pub detail: String,
}

impl Failure {
    /// A failure after bytes may have been written.
    pub fn may_have_run(kind: FailureKind, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, kind, detail: detail.into() }
    }

    /// A failure of reading an answer.
    pub fn from_read_error(error: &io::Error) -> Self {
        let silent = matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock);
        let kind = if silent { FailureKind::Stalled } else { FailureKind::Truncated };
        Self::may_have_run(kind, error.to_string())
    }
}

/// Sends requests to backend servers.
pub trait BackendClient: fmt::Debug + Send + Sync {
    /// Sends a request and returns the head of its answer. Never sends it twice.
    ///
    /// # Errors
    ///
    /// Says whether the request may have run.
    fn send(
        &self,
        addr: SocketAddr,
        server_request: &ServerRequest,
    ) -> Result<ServerResponse, Failure>;
}

/// Requests over HTTP.
#[derive(Debug)]
pub struct HttpBackendClient {
    agent: ureq::Agent,
}

impl HttpBackendClient {
    /// Creates a client that gives up on a connection that is silent for `idle`.
    pub fn new(idle: Duration) -> Self {
        let agent = ureq::AgentBuilder::new()
            .max_idle_connections(0)
            .redirects(0)
            .timeout_connect(CONNECT_TIMEOUT)
            .timeout_read(idle)
            .timeout_write(idle)
            .no_delay(true)
            .build();
        Self { agent }
    }
}

impl BackendClient for HttpBackendClient {
    fn send(
        &self,
        addr: SocketAddr,
        server_request: &ServerRequest,
    ) -> Result<ServerResponse, Failure> {
        let url = format!("http://{addr}{}", server_request.path);
        let mut request = self
            .agent
            .request(&server_request.method, &url)
            .set("content-type", &server_request.content_type)
            .set(ATTEMPT_HEADER, &server_request.attempt_id)
            .set(PRIORITY_HEADER, &server_request.priority.to_string());
        if server_request.resume_from > 0 {
            request = request.set(RESUME_HEADER, &server_request.resume_from.to_string());
        }
        match request.send_bytes(&server_request.body) {
            Ok(response) | Err(ureq::Error::Status(_, response)) => {
                read_head(response, server_request)
            }
            Err(ureq::Error::Transport(error)) => Err(read_transport(&error)),
        }
    }
}

/// Tells errors before the first byte was written from later ones.
fn read_transport(error: &ureq::Transport) -> Failure {
    use ureq::ErrorKind;
    let unsent = matches!(
        error.kind(),
        ErrorKind::ConnectionFailed | ErrorKind::Dns | ErrorKind::InvalidUrl
    );
    let detail = error.to_string();
    if unsent {
        let verdict = Verdict::DidNotRun;
        return Failure { verdict, kind: FailureKind::Unreachable, detail };
    }
    let source = std::error::Error::source(error);
    let io = source.and_then(|s| s.downcast_ref::<io::Error>());
    match io {
        Some(io) => Failure::from_read_error(io),
        None => Failure::may_have_run(FailureKind::Truncated, detail),
    }
}

fn read_head(
    response: ureq::Response,
    server_request: &ServerRequest,
) -> Result<ServerResponse, Failure> {
    if let Some(word) = response.header(REFUSED_HEADER) {
        let kind = match word {
            REFUSED_LEAVING => FailureKind::Leaving,
            REFUSED_NOT_LOADED => FailureKind::NotLoaded,
            _ => FailureKind::Refused,
        };
        let verdict = Verdict::DidNotRun;
        return Err(Failure { verdict, kind, detail: word.to_owned() });
    }
    // An answer that came late or on a crossed connection belongs to another request.
    let echoed = response.header(ATTEMPT_HEADER);
    if echoed != Some(server_request.attempt_id.as_str()) {
        let detail =
            format!("expected {}, got {}", server_request.attempt_id, echoed.unwrap_or("none"));
        return Err(Failure::may_have_run(FailureKind::WrongAttempt, detail));
    }
    Ok(ServerResponse {
        status: response.status(),
        content_type: response.header("content-type").unwrap_or("").to_owned(),
        active: response.header(ACTIVE_HEADER).and_then(|n| n.parse().ok()),
        body: response.into_reader(),
    })
}
