//! Slowdowns of servers, as daemons send them to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::slowdown_estimate::MAX_SLOWDOWN;
use crate::cluster::slowdown_estimate::SlowdownEstimate;
use crate::cluster::workload_table::ServerKey;

/// Steps of a slowdown in a report.
const STEPS_PER_UNIT: f64 = 100.0;
/// Steps of a weight in a report.
const STEPS_PER_REPORT: f64 = 10.0;

/// Whose observations a report holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlowdownScope {
    /// Those of the sender.
    Daemon,
    /// Those of the daemons of the sender's data centre.
    Centre,
    /// Those of all daemons.
    Fleet,
}

/// The slowdown of one server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlowdownRow {
    /// The server instance.
    pub server: ServerKey,
    /// Number of observations, in tenths.
    pub weight: u32,
    /// Their mean, in hundredths.
    pub slowdown: u32,
}

impl SlowdownRow {
    /// Returns the row of a server; `None` if it holds no observation.
    pub fn new(server: ServerKey, estimate: SlowdownEstimate) -> Option<Self> {
        let weight = (estimate.weight() * STEPS_PER_REPORT).round() as u32;
        let slowdown = (estimate.mean().min(MAX_SLOWDOWN) * STEPS_PER_UNIT).round() as u32;
        (weight > 0).then_some(Self { server, weight, slowdown })
    }
}

impl From<SlowdownRow> for SlowdownEstimate {
    fn from(row: SlowdownRow) -> Self {
        let weight = f64::from(row.weight) / STEPS_PER_REPORT;
        Self::new(weight, f64::from(row.slowdown) / STEPS_PER_UNIT)
    }
}

/// Slowdowns of some servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlowdownReport {
    /// Whose observations these are.
    pub scope: SlowdownScope,
    /// The servers.
    pub rows: Vec<SlowdownRow>,
}
