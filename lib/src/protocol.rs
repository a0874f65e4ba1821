//! The interface to the platform's protocol: parses and writes headers, store entries and orders
//! as typed values.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::response;
use smol_str::SmolStr;
use thiserror::Error;

use crate::cluster::configuration::Configuration;
use crate::cluster::directory::LoadedModel;
use crate::cluster::directory::Server;
use crate::cluster::directory::WeightCopies;
use crate::cluster::rate_limit::RateLimit;
use crate::cluster::workloads::ReportedWorkload;
use crate::cluster::workspace::Tokens;
use crate::cluster::workspace::WorkspaceName;
use crate::ids::Fence;
use crate::ids::ModelName;
use crate::ids::PartId;
use crate::ids::ServerId;
use crate::ids::StartTime;

/// Id of a caller's attempt, as the caller sent it.
pub type AttemptId = SmolStr;

/// A record or message that cannot be parsed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("cannot be read: {0}")]
pub struct FormatError(pub String);

/// The API key of a caller's request.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum CallerKey<'a> {
    /// The request has none.
    Missing,
    /// The header that holds it is repeated or malformed.
    Malformed,
    /// The key.
    Key(&'a [u8]),
}

impl fmt::Debug for CallerKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "Missing",
            Self::Malformed => "Malformed",
            Self::Key(_) => "Key",
        })
    }
}

/// What the headers of a caller's request contain.
#[derive(Clone, Debug, Default)]
pub struct CallerHeaders {
    /// Id of this attempt.
    pub attempt: Option<AttemptId>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Last event that the caller received of an interrupted stream.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of the interrupted stream, as the caller names it.
    pub resumes: Option<AttemptId>,
    /// Name of the model.
    pub model: Option<ModelName>,
    /// The adapter of the model.
    pub adapter: Option<SmolStr>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens in the prompt and the longest response; `None` if the request does not specify them.
    pub total_tokens: Option<Tokens>,
    /// Parts of the prompt that other requests may share, in their order and each once.
    pub prompt_parts: Vec<PartId>,
}

/// Headers that a send to a backend server adds to the caller's request.
#[derive(Clone, Debug)]
pub struct SendHeaders {
    /// The server instance that the request is meant for.
    pub server: ServerId,
    /// Rank in the engine's queue; 0 is served first.
    pub priority: Option<u8>,
    /// Last event that the caller received of a stream to be resumed.
    pub resume_after: Option<u64>,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
}

/// The rate limit in the headers of a server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ReportedLimit {
    /// There is none.
    #[default]
    None,
    /// A valid limit.
    Limit(RateLimit),
    /// The text of a limit that cannot be parsed.
    Unreadable(SmolStr),
}

/// The rest that a server asks for when it refuses a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ReportedRest {
    /// None.
    #[default]
    None,
    /// It wants no request from this daemon for so long.
    Rest(Duration),
    /// The text of a time that cannot be parsed.
    Unreadable(SmolStr),
}

/// What the headers of a backend server's response contain.
#[derive(Clone, Debug, Default)]
pub struct ResponseHeaders {
    /// Id of the attempt that the response belongs to.
    pub attempt: Option<AttemptId>,
    /// The server instance that sent the response, if it is named.
    pub instance: Option<ServerId>,
    /// Whether the response carries the server's signature header.
    pub signed: bool,
    /// Whether the server reports that the request did not run.
    pub not_executed: bool,
    /// The server's workload, if reported.
    pub workload: Option<ReportedWorkload>,
    /// The server's rate limit.
    pub limit: ReportedLimit,
    /// Number of requests that the server may turn away in a second before it fails; `None` if it is not brittle.
    pub brittle: Option<u32>,
    /// Whether the server reports that it is leaving.
    pub leaving: bool,
    /// The rest that the server asks for.
    pub rest: ReportedRest,
    /// How long the server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

/// Kind of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Loads a model or an adapter.
    Load,
    /// Unloads a model with its adapters, or an adapter.
    Unload,
}

impl OrderKind {
    /// Returns the name of this kind in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug)]
pub struct EngineOrder {
    /// Whether to load or to unload.
    pub kind: OrderKind,
    /// The model.
    pub model: ModelName,
    /// The adapter, if the order concerns one.
    pub adapter: Option<SmolStr>,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_sequence: u64,
    /// Name of the lease holder.
    pub holder: SmolStr,
    /// Fencing number of the lease.
    pub fence: Fence,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The engine carries out the order.
    Accepted,
    /// The engine is already in the ordered state.
    Done,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another server has the address.
    Misdirected,
    /// Any other answer.
    Refused,
}

/// An engine's own report; its content may be some hundred milliseconds old.
#[derive(Clone, Debug)]
pub struct EngineReport {
    /// Loaded models with their adapters. Adapters that are still loading are included, since
    /// `sequence` counts their orders.
    pub models: Vec<LoadedModel>,
    /// Local copies of weights, in its host's memory or on its disk.
    pub copies: WeightCopies,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Number of orders that the engine has accepted.
    pub sequence: u64,
    /// When the engine started, if reported.
    pub born: Option<StartTime>,
}

/// Parses and writes the messages of callers, backend servers and the platform.
pub trait Protocol: fmt::Debug {
    /// Parses a version of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid configuration.
    fn parse_configuration(&self, raw: &[u8]) -> Result<Configuration, FormatError>;

    /// Parses the store entry of the backend server `id`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid entry.
    fn parse_server(&self, id: &str, raw: &[u8]) -> Result<Server, FormatError>;

    /// Parses the headers of a caller's request.
    fn parse_caller_headers(&self, headers: &HeaderMap) -> CallerHeaders;

    /// Parses the API key of a caller's request.
    fn parse_api_key<'a>(&self, headers: &'a HeaderMap) -> CallerKey<'a>;

    /// Removes the API key from the headers of a caller's request: it is shown to no server, log or peer.
    fn remove_api_key(&self, headers: &mut HeaderMap);

    /// Turns a caller's headers into those of a send, and removes those that only the system may
    /// set.
    fn set_send_headers(&self, headers: &mut HeaderMap, terms: &SendHeaders);

    /// Sets the header with the time that is left until the caller's deadline.
    fn set_time_left(&self, headers: &mut HeaderMap, time_left: Duration);

    /// Parses the headers of a backend server's response.
    fn parse_response_headers(&self, head: &response::Parts) -> ResponseHeaders;

    /// Adds the id of the caller's attempt to a response of this daemon.
    fn set_attempt_id(&self, headers: &mut HeaderMap, attempt: &AttemptId);

    /// Returns the path of the readiness check of the platform.
    fn ready_path(&self) -> &'static str;

    /// Builds the HTTP request of an order.
    fn order_request(&self, server: &Server, order: &EngineOrder) -> Request<Bytes>;

    /// Maps the status of an engine's response to the outcome of the order.
    fn order_reply(&self, status: StatusCode) -> OrderReply;

    /// Builds the HTTP request for a server's health check; `None` if the path is invalid.
    fn health_request(&self, server: &Server, path: &str) -> Option<Request<Bytes>>;

    /// Builds the HTTP request for an engine's report.
    fn report_request(&self, server: &Server) -> Request<Bytes>;

    /// Parses an engine's report.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid report.
    fn parse_report(&self, raw: &[u8]) -> Result<EngineReport, FormatError>;
}
