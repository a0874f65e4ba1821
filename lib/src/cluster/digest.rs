//! The messages that daemons exchange by UDP, one per datagram, and their encoding.
//!
//! The types are encoded by postcard, in the order of their fields and variants.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

use crate::cluster::configuration::ConfigVersion;
use crate::cluster::configuration::ServiceName;
use crate::cluster::directory::LoadedModel;
use crate::cluster::engine_inventories::EngineInventory;
use crate::cluster::part_report::PartReport;
use crate::cluster::quarantine_report::QuarantineReport;
use crate::cluster::quota_message::QuotaMessage;
use crate::cluster::rate_limits::LimitReport;
use crate::cluster::reader_report::ReaderReport;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::slowdown_report::SlowdownReport;
use crate::cluster::trial_report::TrialReport;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::FeedOffset;
use crate::ids::Fence;
use crate::ids::ModelName;
use crate::ids::SoftwareVersion;
use crate::placement::lease_state::LeaseClaim;

/// Identifies one run of a daemon's process; drawn at random at its start.
pub type ProcessId = u64;

/// The placement lease as its holder reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseReport {
    /// Fencing number of the holder's orders.
    pub fence: Fence,
    /// Remaining validity of the lease, in milliseconds.
    pub remaining_ms: u32,
    /// End of the lease feed after the newest renewal.
    pub feed_end: FeedOffset,
}

impl From<LeaseClaim> for LeaseReport {
    fn from(claim: LeaseClaim) -> Self {
        Self {
            fence: claim.fence,
            remaining_ms: claim.valid_for.as_millis() as u32,
            feed_end: claim.end,
        }
    }
}

/// One daemon's workload at a server, by model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkloadReport {
    /// The server instance that runs the requests.
    pub server: ServerInstance,
    /// The model; `None` if the server is no engine.
    pub model: Option<ModelName>,
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens that the server has not processed yet.
    pub prompt_tokens: u32,
}

/// Reports that a server instance left, with the last heartbeat that the sender had read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerDeparture {
    /// The instance that left.
    pub server: ServerInstance,
    /// Number of its last heartbeat; a higher one shows that it returned, unless the departure was announced.
    pub heartbeat: u64,
    /// Whether the server itself announced it in a response: this instance will not return.
    pub announced: bool,
}

/// A daemon's state, published to peers several times a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The sender's data centre.
    pub centre: CentreId,
    /// Configuration version in force; 0 before the first.
    pub config_version: ConfigVersion,
    /// Time since the store last reported whether the configuration changed, in milliseconds.
    pub config_age: u32,
    /// Offset up to which the sender has read the store's feed of servers.
    pub servers_end: FeedOffset,
    /// Servers that the sender saw leave in the last few seconds.
    pub departures: Vec<ServerDeparture>,
    /// Whether the sender accepts new callers.
    pub ready: bool,
    /// Whether the sender's host is small.
    pub is_small: bool,
    /// The sender's requests in progress, by server.
    pub workloads: Vec<WorkloadReport>,
    /// Rate limits that servers state in their responses.
    pub limits: Vec<LimitReport>,
    /// Requests that are suspected of crashing servers, or quarantined.
    pub quarantine: QuarantineReport,
    /// The placement lease; set only by its holder.
    pub lease: Option<LeaseReport>,
}

/// Requests that wait for a model, or for one of its adapters, to be loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueuedDemand {
    /// Service of the requests.
    pub service: ServiceName,
    /// The requested model.
    pub model: ModelName,
    /// The requested adapter; `None` if only the model is requested.
    pub adapter: Option<SmolStr>,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Remaining time of the request with the latest deadline, in milliseconds.
    pub remaining_ms: u32,
    /// Time within which the last of them must be served to meet its latency goal, in milliseconds; 0 if
    /// all are late.
    pub due_ms: u32,
    /// Servers that the sender cannot reach, or that have just failed to serve the model.
    pub avoid: Vec<ServerInstance>,
}

/// Streams that wait for a model to be loaded at a server of the software version that began them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionDemand {
    /// The software version.
    pub version: SoftwareVersion,
    /// The waiting streams.
    pub queued: QueuedDemand,
}

/// Number of requests for a model that arrived since the daemon started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ArrivalCount {
    /// Service of the requests.
    pub service: ServiceName,
    /// The requested model.
    pub model: ModelName,
    /// The requested adapter; `None` if only the model is requested.
    pub adapter: Option<SmolStr>,
    /// Arrivals; never decreases within one process.
    pub count: u32,
}

/// A daemon's demand for models, sent to the holder of the placement lease.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DemandReport {
    /// Models and adapters that requests wait for.
    pub queued: Vec<QueuedDemand>,
    /// Arrival counts of recently requested models.
    pub arrivals: Vec<ArrivalCount>,
}

/// The content of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Payload {
    /// The sender's state.
    Digest(Digest),
    /// The sender's demand.
    Demand(DemandReport),
    /// Inventories of engines, from the lease holder with this fencing number.
    Inventories(Fence, Vec<EngineInventory>),
    /// What a reader reports to the daemons of its data centre.
    ReaderReport(ReaderReport),
    /// The sender's suspected requests.
    Trials(Vec<TrialReport>),
    /// The sender's demand of streams that only servers of one software version can continue.
    VersionDemand(Vec<VersionDemand>),
    /// Requests that servers may turn away in a second before they fail, as they told the sender.
    RejectionLimits(Vec<(ServerInstance, u32)>),
    /// Crashes that the sender has just detected, or what it knows of requests that the receiver is about to send.
    CrashNews(QuarantineReport),
    /// Prompt parts that are suspected of crashing servers, or quarantined.
    PromptParts(PartReport),
    /// Tokens of workspaces' quotas.
    Quota(QuotaMessage),
    /// Slowdowns of servers.
    Slowdowns(SlowdownReport),
    /// Servers that have not responded to a request of the sender, and for how long, in milliseconds.
    SilentServers(Vec<(ServerInstance, u32)>),
}

/// Version number of the datagram format; increment it whenever these types change, except for a variant of [`Payload`]
/// that is added at the end: daemons that do not know it reject the datagrams that have it, and no others.
///
/// The encoding is not self-describing: a datagram of another version may decode to wrong values, such as
/// a server instance that no later one can supersede. The first format had no number and began with
/// the length of a daemon's name, which is never this number.
const FORMAT: u8 = 0xf9;

/// Reason why a datagram cannot be decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MessageError {
    /// It has another format, as sent by daemons of another version.
    #[error("the datagram is not of format {FORMAT}")]
    Format,
    /// It is truncated or malformed.
    #[error("{0}")]
    Malformed(#[from] postcard::Error),
}

/// A message with its sender, sent as one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// The daemon that sent it.
    pub from: DaemonId,
    /// The run of that daemon's process.
    pub process: ProcessId,
    /// Port on which the sender accepts datagrams and connections from other daemons.
    pub port: u16,
    /// The content of the message.
    pub payload: Payload,
}

impl PeerMessage {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        // postcard can encode every value of these types.
        postcard::to_extend(self, vec![FORMAT]).unwrap_or_default()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram has another format or is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let body = bytes.strip_prefix(&[FORMAT]).ok_or(MessageError::Format)?;
        Ok(postcard::from_bytes(body)?)
    }
}

/// The wire form of [`LoadedModel`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModelReport {
    /// Name of the model.
    pub name: ModelName,
    /// Names of its loaded adapters.
    pub adapters: Vec<SmolStr>,
}

impl From<&LoadedModel> for LoadedModelReport {
    fn from(model: &LoadedModel) -> Self {
        Self { name: model.name.clone(), adapters: model.adapters.clone() }
    }
}

impl From<LoadedModelReport> for LoadedModel {
    fn from(report: LoadedModelReport) -> Self {
        Self { name: report.name, adapters: report.adapters }
    }
}
