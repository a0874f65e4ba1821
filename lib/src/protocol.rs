//! The border to the platform's manner of speaking: headers, entries and orders as typed values.

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
use crate::ids::Fence;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::ids::StartTime;

/// Id of a caller's attempt, as the caller sent it.
pub type AttemptId = SmolStr;

/// A record or message that cannot be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("cannot be read: {0}")]
pub struct FormatError(pub String);

/// What a caller says beside method, path and body.
#[derive(Clone, Debug, Default)]
pub struct CallerHeaders {
    /// Id of this attempt.
    pub attempt: Option<AttemptId>,
    /// For how long the caller will wait.
    pub timeout: Option<Duration>,
    /// Last event of a broken stream that the caller has.
    pub last_event: Option<u64>,
    /// The model.
    pub model: Option<ModelName>,
    /// The adapter of the model.
    pub adapter: Option<SmolStr>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
}

/// What a send tells a backend server beside the caller's request.
#[derive(Clone, Debug)]
pub struct SendHeaders {
    /// The one start of the server that is meant.
    pub server: ServerId,
    /// Time that the caller has left.
    pub time_left: Duration,
    /// Rank in the engine's queue, 0 first.
    pub priority: Option<u8>,
    /// Last event that the caller has of a stream that goes on.
    pub resume_after: Option<u64>,
}

/// What an answer says of its server's limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ReportedLimit {
    /// It names none.
    #[default]
    None,
    /// It names this one.
    Limit(RateLimit),
    /// It names one that cannot be read.
    Unreadable(SmolStr),
}

/// What a backend server's answer says beside status and body.
#[derive(Clone, Debug, Default)]
pub struct ResponseHeaders {
    /// Id of the attempt that it answers.
    pub attempt: Option<AttemptId>,
    /// The server that answered, where it says so.
    pub instance: Option<ServerId>,
    /// Whether it carries the server's signature.
    pub signed: bool,
    /// Whether the server says that the request did not run.
    pub not_executed: bool,
    /// The server's load.
    pub workload: Option<ReportedWorkload>,
    /// The limit that the server names.
    pub limit: ReportedLimit,
    /// For how long the server keeps the connection open.
    pub keep_alive: Option<Duration>,
}

/// What an order does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Loads a model or an adapter.
    Load,
    /// Unloads a model with its adapters, or an adapter.
    Unload,
}

impl OrderKind {
    /// Returns its name in logs.
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
    /// What it does.
    pub kind: OrderKind,
    /// The model.
    pub model: ModelName,
    /// The adapter, where it is about one.
    pub adapter: Option<SmolStr>,
    /// Orders that the engine must have accepted before.
    pub expected_sequence: u64,
    /// Name of the lease's holder.
    pub holder: SmolStr,
    /// Fencing number of the lease.
    pub fence: Fence,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// It already holds.
    Done,
    /// Another order is under way, or the number of accepted orders differs.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another server has the address.
    Misdirected,
    /// Anything else.
    Refused,
}

/// An engine's own report; some hundred milliseconds old.
#[derive(Clone, Debug)]
pub struct EngineReport {
    /// What it holds, adapters on their way included: `sequence` counts their orders.
    pub models: Vec<LoadedModel>,
    /// Copies of weights near its accelerator.
    pub copies: WeightCopies,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders that it has accepted.
    pub sequence: u64,
    /// When it started, where it says so.
    pub born: Option<StartTime>,
}

/// Reads and writes what callers, backend servers and the platform say.
pub trait Protocol: fmt::Debug {
    /// Reads a version of the configuration.
    ///
    /// # Errors
    ///
    /// The text is not a configuration.
    fn parse_configuration(&self, raw: &[u8]) -> Result<Configuration, FormatError>;

    /// Reads a backend server's entry.
    ///
    /// # Errors
    ///
    /// The text is not an entry.
    fn parse_server(&self, id: &str, raw: &[u8]) -> Result<Server, FormatError>;

    /// Reads a caller's terms.
    fn parse_caller_headers(&self, headers: &HeaderMap) -> CallerHeaders;

    /// Turns a caller's headers into those of a send: removes what only the system may set.
    fn set_send_headers(&self, headers: &mut HeaderMap, terms: &SendHeaders);

    /// Reads the terms of a backend server's answer.
    fn parse_response_headers(&self, head: &response::Parts) -> ResponseHeaders;

    /// Marks an answer of our own with the attempt that it answers.
    fn set_attempt_id(&self, headers: &mut HeaderMap, attempt: &AttemptId);

    /// Returns the path that the platform asks for readiness at.
    fn ready_path(&self) -> &'static str;

    /// Makes the request of an order.
    fn order_request(&self, server: &Server, order: &EngineOrder) -> Request<Bytes>;

    /// Reads the answer to an order.
    fn order_reply(&self, status: StatusCode) -> OrderReply;

    /// Makes the request for an engine's report.
    fn report_request(&self, server: &Server) -> Request<Bytes>;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// The text is not a report.
    fn parse_report(&self, raw: &[u8]) -> Result<EngineReport, FormatError>;
}
