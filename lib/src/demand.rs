//! Requests that wait for a model, as all daemons report them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DaemonId;
use crate::ids::ModelName;

/// A report older than this counts no more; daemons repeat theirs several times in it.
const FRESH: Duration = Duration::from_secs(3);

/// What one daemon says of one model's waiting requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingRequests {
    /// The model.
    pub model: ModelName,
    /// Requests that wait for it.
    pub count: u32,
    /// Sum of their priorities, each at least 1.
    pub weight: u32,
}

#[derive(Debug)]
struct Line {
    at: Duration,
    count: u32,
    weight: u32,
}

/// Waiting requests of one model, over all daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DemandTotal {
    /// Requests that wait.
    pub count: u32,
    /// Sum of their weights.
    pub weight: u32,
    /// When the first of them was heard of.
    pub since: Duration,
}

#[derive(Debug, Default)]
struct ModelDemand {
    since: Duration,
    lines: BTreeMap<DaemonId, Line>,
}

/// Waiting requests by model.
#[derive(Debug, Default)]
pub struct Demand {
    models: BTreeMap<ModelName, ModelDemand>,
}

impl Demand {
    /// Replaces what `daemon` said before.
    pub fn update(&mut self, now: Duration, daemon: &DaemonId, waiting: &[WaitingRequests]) {
        for (model, demand) in &mut self.models {
            if !waiting.iter().any(|w| w.count > 0 && w.model == *model) {
                demand.lines.remove(daemon);
            }
        }
        for w in waiting.iter().filter(|w| w.count > 0) {
            let demand = self.models.entry(w.model.clone()).or_default();
            if demand.lines.is_empty() {
                demand.since = now;
            }
            let line = Line { at: now, count: w.count, weight: w.weight };
            demand.lines.insert(daemon.clone(), line);
        }
        self.models.retain(|_, d| !d.lines.is_empty());
    }

    /// Forgets reports that were not repeated.
    pub fn expire(&mut self, now: Duration) {
        for demand in self.models.values_mut() {
            demand.lines.retain(|_, line| now < line.at + FRESH);
        }
        self.models.retain(|_, d| !d.lines.is_empty());
    }

    /// Returns whether no requests wait.
    pub fn is_empty(&self) -> bool {
        self.models.is_empty()
    }

    /// Iterates over the models that requests wait for.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelName, DemandTotal)> {
        self.models.iter().map(|(model, d)| (model, d.total()))
    }

    /// Returns the requests that wait for `model`.
    pub fn total(&self, model: &str) -> Option<DemandTotal> {
        self.models.get(model).map(ModelDemand::total)
    }
}

impl ModelDemand {
    fn total(&self) -> DemandTotal {
        DemandTotal {
            count: self.lines.values().map(|l| l.count).sum(),
            weight: self.lines.values().map(|l| l.weight).sum(),
            since: self.since,
        }
    }
}
