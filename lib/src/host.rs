//! Data types for hosts: entries of the host list, engines' reports, and orders to engines.

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

/// The kind of process that runs on a host.
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
    /// The kind of process that runs on it.
    pub role: HostRole,
    /// Address for HTTP requests (backend servers) or for the peer protocol (daemons).
    pub addr: SocketAddr,
    /// Its data centre.
    pub centre: CentreId,
    /// Start count; increases when the host is replaced.
    pub incarnation: Incarnation,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
    /// Accelerator memory; 0 if the host has no accelerator.
    pub memory_mib: Mebibytes,
    /// Whether the engine refuses orders with an old fencing number.
    pub fencing: bool,
    /// Names of the table rows that a plain service serves.
    pub services: Vec<ModelName>,
}

/// An engine's report of one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelReport {
    /// The model.
    pub model: ModelName,
    /// Whether it is loaded; otherwise it is loading.
    pub loaded: bool,
    /// Number of requests in progress.
    pub active: u32,
    /// Number of requests that began since the engine started.
    pub served: u64,
    /// Ticket of the order that loaded it; see [`crate::slots::Slot::ticket`].
    pub ticket: Position,
}

/// A checkpoint of which the engine's host has a local copy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedCheckpoint {
    /// The model.
    pub model: ModelName,
    /// Whether the copy is in memory or on disk.
    pub source: Source,
}

/// An engine's report. It lags behind the engine's actual state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerReport {
    /// The engine's start count.
    pub incarnation: Incarnation,
    /// Largest fencing number that the engine has received.
    pub fence: Fence,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
    /// Models that are loaded or loading.
    pub models: Vec<ModelReport>,
    /// Checkpoints in the host's memory or on its disk.
    pub cached: Vec<CachedCheckpoint>,
}

impl ServerReport {
    /// Returns the report of `model`; `None` if it is neither loaded nor loading.
    pub fn model(&self, model: &str) -> Option<&ModelReport> {
        self.models.iter().find(|m| m.model == model)
    }

    /// Returns the source from which a load of `model` would read its checkpoint.
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
    /// The action to carry out.
    pub action: OrderAction,
    /// The backend server.
    pub server: ServerId,
    /// Incarnation of the backend server that the order is for.
    pub incarnation: Incarnation,
    /// The model.
    pub model: ModelName,
    /// The slot that the order concerns.
    pub slot: SlotId,
    /// Ticket of the slot; see [`crate::slots::Slot::ticket`].
    pub ticket: Position,
    /// Fencing number; see [`crate::ids::order_fence`].
    pub fence: Fence,
    /// Accelerator memory that the model occupies once loaded.
    pub memory_mib: Mebibytes,
    /// Size of the checkpoint.
    pub load_mib: Mebibytes,
}

/// The action of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderAction {
    /// Start loading a model.
    Load,
    /// Unload a model, unless requests are in progress.
    Unload,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderAnswer {
    /// The load has begun or had been done before, or the unload is complete.
    Done,
    /// Requests are in progress; nothing was unloaded.
    Busy,
    /// The fencing number or incarnation is old; nothing was done.
    Stale,
    /// The engine cannot carry it out.
    Refused,
    /// The order was not sent.
    Unsent,
    /// No valid answer arrived: the order may or may not take effect, now or later.
    Unknown,
}
