//! Settings, injected faults and audit counters of the model engine stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use comfreymux_lib::ids::Incarnation;
use comfreymux_lib::ids::Mebibytes;
use comfreymux_lib::ids::ModelName;
use serde::Deserialize;
use serde::Serialize;

/// Capacity and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Number of this start of the engine's process; orders for another start are refused as stale.
    pub incarnation: Incarnation,
    /// Accelerator memory in MiB, as listed for the host; the stand-in does not enforce it.
    pub memory_mib: Mebibytes,
    /// Whether orders with an old fencing number or for another incarnation are refused.
    pub fencing: bool,
    /// Speed of a load from host memory, in MiB/s.
    pub memory_rate: f64,
    /// Speed of a load from disk, in MiB/s.
    pub disk_rate: f64,
    /// Address of the weight store; if `None`, remote loads run at `disk_rate`.
    pub store: Option<SocketAddr>,
    /// Delay before the first token.
    pub first: Duration,
    /// Delay between tokens.
    pub gap: Duration,
    /// Tokens of an answer if the request has no `max_tokens`.
    pub tokens: u64,
    /// Requests that each loaded model runs concurrently; further ones are refused.
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

/// Faults of an engine; set by `POST /fault`. A count of n affects the next n cases.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Refuses new requests and reports that the host is leaving.
    pub leaving: bool,
    /// Next streams that stop sending after `after` tokens, with the connection left open.
    pub stall: u32,
    /// Next streams whose connection closes after `after` tokens.
    pub cut: u32,
    /// Next streams that end with an error object after `after` tokens.
    pub error: u32,
    /// Next answers that carry another attempt's id.
    pub crossed: u32,
    /// Next requests that get no answer, with the connection left open.
    pub silent: u32,
    /// Tokens sent before a stream's fault.
    pub after: u64,
    /// Age of the reports that the engine returns, in milliseconds.
    pub lag_ms: u64,
    /// Next orders that are carried out without an answer.
    pub lose: u32,
}

/// Counters that tests and the demo check; returned by `GET /audit`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineAudit {
    /// Peak memory of all models loaded or loading, in MiB.
    pub peak_mib: Mebibytes,
    /// Loads started.
    pub loads: u64,
    /// Orders refused for an old fencing number or another incarnation.
    pub stale: u64,
    /// Models that are loaded or loading.
    pub models: Vec<ModelName>,
    /// Requests that started to run.
    pub served: u64,
}
