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
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Identity of this attempt, unique in the whole system.
    pub attempt: String,
    /// Tokens to skip, of a stream that is taken up again.
    pub resume: u64,
    /// The request's priority.
    pub priority: u8,
}

/// The head of an answer and the body still to be read.
pub struct Reply {
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

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reply").field("status", &self.status).finish_non_exhaustive()
    }
}

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
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
    Faulted,
    /// The answer belongs to another attempt.
    Crossed,
}

impl Fault {
    /// Returns the word for log lines and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Leaving => "leaving",
            Self::NotLoaded => "not-loaded",
            Self::Stalled => "stalled",
            Self::Truncated => "truncated",
            Self::Faulted => "faulted",
            Self::Crossed => "crossed",
        }
    }
}

/// A failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub fault: Fault,
    /// More about it.
    pub detail: String,
}

impl Failure {
    /// A failure after bytes may have been written.
    pub fn doubtful(fault: Fault, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, fault, detail: detail.into() }
    }

    /// A failure of reading an answer.
    pub fn reading(error: &io::Error) -> Self {
        let silent = matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock);
        let fault = if silent { Fault::Stalled } else { Fault::Truncated };
        Self::doubtful(fault, error.to_string())
    }
}

/// Sends requests to backend servers.
pub trait Exchange: fmt::Debug + Send + Sync {
    /// Sends a request and returns the head of its answer. Never sends it twice.
    ///
    /// # Errors
    ///
    /// Says whether the request may have run.
    fn call(&self, addr: SocketAddr, call: &Call) -> Result<Reply, Failure>;
}

/// Requests over HTTP.
#[derive(Debug)]
pub struct HttpExchange {
    agent: ureq::Agent,
}

impl HttpExchange {
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

impl Exchange for HttpExchange {
    fn call(&self, addr: SocketAddr, call: &Call) -> Result<Reply, Failure> {
        let url = format!("http://{addr}{}", call.path);
        let mut request = self
            .agent
            .request(&call.method, &url)
            .set("content-type", &call.content_type)
            .set(ATTEMPT_HEADER, &call.attempt)
            .set(PRIORITY_HEADER, &call.priority.to_string());
        if call.resume > 0 {
            request = request.set(RESUME_HEADER, &call.resume.to_string());
        }
        match request.send_bytes(&call.body) {
            Ok(response) | Err(ureq::Error::Status(_, response)) => read_head(response, call),
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
        return Failure { verdict, fault: Fault::Unreachable, detail };
    }
    let source = std::error::Error::source(error);
    let io = source.and_then(|s| s.downcast_ref::<io::Error>());
    match io {
        Some(io) => Failure::reading(io),
        None => Failure::doubtful(Fault::Truncated, detail),
    }
}

fn read_head(response: ureq::Response, call: &Call) -> Result<Reply, Failure> {
    if let Some(word) = response.header(REFUSED_HEADER) {
        let fault = match word {
            REFUSED_LEAVING => Fault::Leaving,
            REFUSED_NOT_LOADED => Fault::NotLoaded,
            _ => Fault::Refused,
        };
        let verdict = Verdict::DidNotRun;
        return Err(Failure { verdict, fault, detail: word.to_owned() });
    }
    // An answer that came late or on a crossed connection belongs to another request.
    let echoed = response.header(ATTEMPT_HEADER);
    if echoed != Some(call.attempt.as_str()) {
        let detail = format!("expected {}, got {}", call.attempt, echoed.unwrap_or("none"));
        return Err(Failure::doubtful(Fault::Crossed, detail));
    }
    Ok(Reply {
        status: response.status(),
        content_type: response.header("content-type").unwrap_or("").to_owned(),
        active: response.header(ACTIVE_HEADER).and_then(|n| n.parse().ok()),
        body: response.into_reader(),
    })
}
