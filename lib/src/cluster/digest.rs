//! Messages between daemons, one a datagram.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

use crate::cluster::configuration::ConfigVersion;
use crate::cluster::configuration::ServiceName;
use crate::cluster::directory::LoadedModel;
use crate::cluster::engine_inventories::EngineInventory;
use crate::cluster::quarantine_report::QuarantineReport;
use crate::cluster::rate_limits::LimitReport;
use crate::cluster::reader_report::ReaderReport;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::trial_report::TrialReport;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::ids::ModelName;
use crate::ids::Offset;
use crate::ids::ServerId;
use crate::placement::lease_state::LeaseClaim;

/// Identity of one start of a daemon's process, drawn at random.
pub type ProcessId = u64;

/// Who holds the lease for placement, as its holder says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseReport {
    /// The fencing number of its orders.
    pub fence: Fence,
    /// For how long the lease is still valid, in milliseconds.
    pub left_ms: u32,
    /// Where the feed of the lease ended after the newest renewal.
    pub end: Offset,
}

impl From<LeaseClaim> for LeaseReport {
    fn from(claim: LeaseClaim) -> Self {
        Self { fence: claim.fence, left_ms: claim.valid_for.as_millis() as u32, end: claim.end }
    }
}

/// A server's load from one daemon's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkloadReport {
    /// The server.
    pub server: ServerInstance,
    /// The model, where the server is an engine.
    pub model: Option<ModelName>,
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens that wait to be read.
    pub prompt_tokens: u32,
}

/// A server that left, by the last that was known of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerDeparture {
    /// The start that left.
    pub server: ServerInstance,
    /// Its last heartbeat; a later one shows that it came back.
    pub heartbeat: u64,
}

/// A daemon's state, told several times a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Its data centre.
    pub centre: CentreId,
    /// Configuration that it follows; 0 before the first.
    pub config_version: ConfigVersion,
    /// For how long the store has not told it whether the configuration changed, in milliseconds.
    pub config_age: u32,
    /// Place in the platform's feed of servers that it has read up to.
    pub servers_end: Offset,
    /// Servers that it saw leave in the last seconds.
    pub departures: Vec<ServerDeparture>,
    /// Whether it takes new callers.
    pub ready: bool,
    /// Whether its host is small.
    pub is_small: bool,
    /// Its requests by server.
    pub workloads: Vec<WorkloadReport>,
    /// Limits that servers name.
    pub limits: Vec<LimitReport>,
    /// Requests under which servers crashed.
    pub quarantine: QuarantineReport,
    /// Set by the holder of the placement lease.
    pub lease: Option<LeaseReport>,
}

/// Requests that wait for a model, or for an adapter of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueuedDemand {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The adapter, where one is asked for.
    pub adapter: Option<SmolStr>,
    /// Waiting requests.
    pub waiting: u32,
    /// Time that the most patient of them has left, in milliseconds.
    pub remaining_ms: u32,
    /// Time within which the last of them must be served to be punctual, in milliseconds; 0 where all
    /// are late.
    pub due_ms: u32,
    /// Servers that cannot be reached from here, or that have just failed to serve it.
    pub avoid: Vec<ServerInstance>,
}

/// Arrivals of requests for a model since the daemon's start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ArrivalCount {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The adapter, where one is asked for.
    pub adapter: Option<SmolStr>,
    /// Arrivals; only grows.
    pub count: u32,
}

/// A daemon's demand, told to the holder of the placement lease.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DemandReport {
    /// What requests wait for.
    pub queued: Vec<QueuedDemand>,
    /// Arrivals of models that were asked for lately.
    pub arrivals: Vec<ArrivalCount>,
}

/// What a message carries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Payload {
    /// The sender's state.
    Digest(Digest),
    /// The sender's demand.
    Demand(DemandReport),
    /// What servers hold, from the holder of the placement lease.
    Inventories(Fence, Vec<EngineInventory>),
    /// A reader's word.
    ReaderReport(ReaderReport),
    /// The sender's suspected requests.
    Trials(Vec<TrialReport>),
}

/// Number of the form of datagrams; a change of these types takes the next one.
///
/// The encoding does not describe itself: datagrams of another version's types may decode to nonsense,
/// such as a start of a server that no later one can follow. The first form had no number and began with
/// the length of a daemon's name, which is never that of this number.
const FORMAT: u8 = 0xf6;

/// Why a datagram cannot be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MessageError {
    /// It is of another form, as daemons of another version send.
    #[error("it is not of form {FORMAT}")]
    Format,
    /// It is cut or broken.
    #[error("{0}")]
    Malformed(#[from] postcard::Error),
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// The sender.
    pub from: DaemonId,
    /// The sender's process.
    pub process: ProcessId,
    /// Where the sender takes datagrams and connections from other daemons.
    pub port: u16,
    /// What it says.
    pub payload: Payload,
}

impl PeerMessage {
    /// Writes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        // These types have no form that the codec refuses.
        postcard::to_extend(self, vec![FORMAT]).unwrap_or_default()
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// It is of another form, or broken.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let body = bytes.strip_prefix(&[FORMAT]).ok_or(MessageError::Format)?;
        Ok(postcard::from_bytes(body)?)
    }
}

/// What one daemon asks of another over a connection.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRequest {
    /// The configuration and the servers' entries.
    Snapshot,
    /// The configuration.
    Configuration,
}

/// The platform's records, relayed to a daemon that the platform turns away.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotReply {
    /// Version of the configuration.
    pub config_version: ConfigVersion,
    /// The configuration as the platform wrote it.
    pub raw_config: Vec<u8>,
    /// Place in the feed of servers.
    pub servers_end: Offset,
    /// Servers' entries as the platform wrote them.
    pub raw_servers: Vec<(ServerId, Vec<u8>)>,
    /// Servers whose entries are missing or name no server, and which may be back in a moment.
    pub awaited: Vec<ServerId>,
}

/// A model with its adapters on the wire between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModelReport {
    /// The model.
    pub name: ModelName,
    /// Its loaded adapters.
    pub adapters: Vec<SmolStr>,
}

impl From<&LoadedModel> for LoadedModelReport {
    fn from(held: &LoadedModel) -> Self {
        Self { name: held.name.clone(), adapters: held.adapters.clone() }
    }
}

impl From<LoadedModelReport> for LoadedModel {
    fn from(note: LoadedModelReport) -> Self {
        Self { name: note.name, adapters: note.adapters }
    }
}
