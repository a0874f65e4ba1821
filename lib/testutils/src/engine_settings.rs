//! What an engine stand-in is, how it fails and what it saw.

use std::net::SocketAddr;
use std::time::Duration;

use comfreymux_lib::ids::Incarnation;
use comfreymux_lib::ids::Mebibytes;
use comfreymux_lib::ids::ModelName;
use serde::Deserialize;
use serde::Serialize;

/// What an engine is and how fast.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Start count.
    pub incarnation: Incarnation,
    /// Accelerator memory.
    pub memory_mib: Mebibytes,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// MiB/s of a load from memory.
    pub memory_rate: f64,
    /// MiB/s of a load from disk.
    pub disk_rate: f64,
    /// The weight store; without one remote loads take the disk's rate.
    pub store: Option<SocketAddr>,
    /// Time to the first token.
    pub first: Duration,
    /// Time between tokens.
    pub gap: Duration,
    /// Tokens of an answer that asks for no number.
    pub tokens: u64,
    /// Requests that run at once.
    pub slots: u32,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            incarnation: 1,
            memory_mib: 80_000,
            fencing: true,
            memory_rate: 40_000.0,
            disk_rate: 10_000.0,
            store: None,
            first: Duration::from_millis(20),
            gap: Duration::from_millis(5),
            tokens: 16,
            slots: 64,
        }
    }
}

/// Faults of an engine; set by `POST /fault`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// New work is refused and reports say that the host leaves.
    pub leaving: bool,
    /// Next streams that go silent after `after` tokens.
    pub stall: u32,
    /// Next streams that are cut after `after` tokens.
    pub cut: u32,
    /// Next streams that end with an error object after `after` tokens.
    pub error: u32,
    /// Next answers that belong to another attempt.
    pub crossed: u32,
    /// Next connections that are never answered.
    pub silent: u32,
    /// Tokens before a stream's fault.
    pub after: u64,
    /// Lag of load reports.
    pub lag_ms: u64,
    /// Next orders that take effect and whose answer is lost.
    pub lose: u32,
}

/// What an engine saw.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineAudit {
    /// Most memory that was in use at once.
    pub peak_mib: Mebibytes,
    /// Loads begun.
    pub loads: u64,
    /// Orders refused for an old fencing number.
    pub stale: u64,
    /// Models that are loaded or loading.
    pub models: Vec<ModelName>,
    /// Requests that began to run.
    pub served: u64,
}
