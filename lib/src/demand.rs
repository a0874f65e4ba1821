//! Waiting requests by model, summed over the reports of all daemons.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DaemonId;
use crate::ids::ModelName;

/// Age at which a report expires; daemons repeat theirs several times within this time.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// One daemon's report of the requests that wait for one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingRequests {
    /// The model.
    pub model: ModelName,
    /// Number of requests that wait for it.
    pub count: u32,
    /// Sum of their priorities, each at least 1.
    pub weight: u32,
}

#[derive(Debug)]
struct DaemonReport {
    received_at: Duration,
    count: u32,
    weight: u32,
}

/// Waiting requests of one model, summed over all daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DemandTotal {
    /// Number of waiting requests.
    pub count: u32,
    /// Sum of their priorities, each at least 1.
    pub weight: u32,
    /// When the model last went from no waiting requests to some.
    pub since: Duration,
}

#[derive(Debug, Default)]
struct ModelDemand {
    since: Duration,
    reports: BTreeMap<DaemonId, DaemonReport>,
}

/// Waiting requests by model.
#[derive(Debug, Default)]
pub struct Demand {
    models: BTreeMap<ModelName, ModelDemand>,
}

impl Demand {
    /// Replaces the previous report of `daemon`.
    pub fn update(&mut self, now: Duration, daemon: &DaemonId, waiting: &[WaitingRequests]) {
        for (model, demand) in &mut self.models {
            if !waiting.iter().any(|w| w.count > 0 && w.model == *model) {
                demand.reports.remove(daemon);
            }
        }
        for w in waiting.iter().filter(|w| w.count > 0) {
            let demand = self.models.entry(w.model.clone()).or_default();
            if demand.reports.is_empty() {
                demand.since = now;
            }
            let report = DaemonReport { received_at: now, count: w.count, weight: w.weight };
            demand.reports.insert(daemon.clone(), report);
        }
        self.models.retain(|_, d| !d.reports.is_empty());
    }

    /// Drops reports that their daemons have not repeated in time.
    pub fn expire(&mut self, now: Duration) {
        for demand in self.models.values_mut() {
            demand.reports.retain(|_, report| now < report.received_at + REPORT_TTL);
        }
        self.models.retain(|_, d| !d.reports.is_empty());
    }

    /// Returns whether no request waits for any model.
    pub fn is_empty(&self) -> bool {
        self.models.is_empty()
    }

    /// Iterates over the models that requests wait for.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelName, DemandTotal)> {
        self.models.iter().map(|(model, d)| (model, d.total()))
    }

    /// Returns the demand for `model`; `None` if no request waits for it.
    pub fn total(&self, model: &str) -> Option<DemandTotal> {
        self.models.get(model).map(ModelDemand::total)
    }
}

impl ModelDemand {
    fn total(&self) -> DemandTotal {
        DemandTotal {
            count: self.reports.values().map(|r| r.count).sum(),
            weight: self.reports.values().map(|r| r.weight).sum(),
            since: self.since,
        }
    }
}
