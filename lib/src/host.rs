//! Hosts as the platform's host list and the engines' reports describe them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::CentreId;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::Mebibytes;
use crate::ids::ModelName;
use crate::ids::Position;
use crate::ids::ServerId;
use crate::ids::SlotId;
use crate::record::Source;

/// What runs on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// A daemon.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// One host of the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Its name.
    pub id: SmolStr,
    /// What runs on it.
    pub role: HostRole,
    /// Where it answers: HTTP for back ends, the peer exchange for daemons.
    pub addr: SocketAddr,
    /// Its data centre.
    pub centre: CentreId,
    /// Start count; grows when the host is replaced.
    pub incarnation: Incarnation,
    /// Whether the platform will take it away.
    pub leaving: bool,
    /// Accelerator memory; 0 where there is none.
    pub memory_mib: Mebibytes,
    /// Whether an engine refuses orders with an old fencing number.
    pub fencing: bool,
    /// Table rows that a plain service answers for.
    pub services: Vec<ModelName>,
}

/// What an engine says of one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelReport {
    /// The model.
    pub model: ModelName,
    /// Whether it can serve; otherwise it is loading.
    pub loaded: bool,
    /// Requests in progress.
    pub active: u32,
    /// Requests begun since the engine's start.
    pub served: u64,
    /// Ticket of the order that loaded it; see [`crate::slots::Slot::ticket`].
    pub ticket: Position,
}

/// A checkpoint that an engine need not fetch from the weight store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedCheckpoint {
    /// The model.
    pub model: ModelName,
    /// Where its checkpoint is.
    pub source: Source,
}

/// An engine's load report. It lags behind what the engine does.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerReport {
    /// The engine's start count.
    pub incarnation: Incarnation,
    /// Largest fencing number seen.
    pub fence: Fence,
    /// Whether the host is being taken away.
    pub leaving: bool,
    /// Models that are loaded or loading.
    pub models: Vec<ModelReport>,
    /// Checkpoints in memory or on disk.
    pub cached: Vec<CachedCheckpoint>,
}

impl ServerReport {
    /// Returns what it says of `model`.
    pub fn model(&self, model: &str) -> Option<&ModelReport> {
        self.models.iter().find(|m| m.model == model)
    }

    /// Returns where a load of `model` would read its checkpoint.
    pub fn source(&self, model: &str) -> Source {
        self.cached
            .iter()
            .filter(|c| c.model == model)
            .map(|c| c.source)
            .min()
            .unwrap_or(Source::Remote)
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// What to do.
    pub action: OrderAction,
    /// The backend server.
    pub server: ServerId,
    /// Incarnation that it is meant for.
    pub incarnation: Incarnation,
    /// The model.
    pub model: ModelName,
    /// The slot that it is about.
    pub slot: SlotId,
    /// Ticket of the slot; see [`crate::slots::Slot::ticket`].
    pub ticket: Position,
    /// Fencing number; see [`crate::ids::order_fence`].
    pub fence: Fence,
    /// Memory that the model will take.
    pub memory_mib: Mebibytes,
    /// Size of the checkpoint.
    pub load_mib: Mebibytes,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderAction {
    /// Start to load a model.
    Load,
    /// Unload a model, unless requests are in progress.
    Unload,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderAnswer {
    /// A load began or was done before; an unload is complete.
    Done,
    /// Requests are in progress; nothing was unloaded.
    Busy,
    /// The fencing number or incarnation is old; nothing was done.
    Stale,
    /// The engine cannot do it.
    Refused,
    /// It was not sent.
    Unsent,
    /// No answer came: the order may or may not take effect, now or later.
    Unknown,
}
