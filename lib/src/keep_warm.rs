//! How long a replica without requests stays loaded.
//!
//! For each model the times between its last request and the next one are counted. Staying loaded
//! for a time `t` costs the idle accelerator time up to `t`, priced by the table's `idle_price`, and a
//! cold start whenever the next request comes later than `t`. The best `t` under the counted
//! times, mixed with a heavy-tailed prior, is taken.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ModelName;

/// Upper edges of the buckets of return times, in seconds.
const EDGES: [f64; 16] = [
    5.0, 10.0, 20.0, 40.0, 60.0, 90.0, 150.0, 300.0, 600.0, 1200.0, 2400.0, 4800.0, 9600.0,
    19200.0, 38400.0, 86400.0,
];
/// Weight of the prior, in observed returns.
const PRIOR: f64 = 4.0;
/// Factor by which older returns fade with each new one.
const FADE: f64 = 0.97;
/// Shape of the prior's tail: the chance of a return later than `t` falls as `t` to this power.
const TAIL: f64 = -0.5;

/// How the keep-warm time is chosen.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum KeepWarmPolicy {
    /// From return times and the idle price.
    Learned,
    /// The same for every model; the baselines.
    Fixed(Duration),
}

#[derive(Clone, Debug)]
struct Returns {
    counts: [f64; EDGES.len() + 1],
}

impl Returns {
    fn new() -> Self {
        Self { counts: [0.0; EDGES.len() + 1] }
    }

    fn add(&mut self, gap: Duration) {
        for count in &mut self.counts {
            *count *= FADE;
        }
        let seconds = gap.as_secs_f64();
        let bucket = EDGES.iter().position(|e| seconds <= *e).unwrap_or(EDGES.len());
        self.counts[bucket] += 1.0;
    }

    /// Returns the probability of each bucket, the prior mixed in.
    fn shares(&self) -> [f64; EDGES.len() + 1] {
        let mut shares = self.counts;
        let mut above = 1.0;
        for (share, edge) in shares.iter_mut().zip(EDGES) {
            let tail = (edge / EDGES[0]).powf(TAIL);
            *share += PRIOR * (above - tail);
            above = tail;
        }
        shares[EDGES.len()] += PRIOR * above;
        let sum = shares.iter().sum::<f64>();
        shares.map(|s| s / sum)
    }
}

/// Return times of all models.
#[derive(Debug)]
pub struct KeepWarm {
    policy: KeepWarmPolicy,
    models: BTreeMap<ModelName, Returns>,
}

impl KeepWarm {
    /// Creates an empty history.
    pub fn new(policy: KeepWarmPolicy) -> Self {
        Self { policy, models: BTreeMap::new() }
    }

    /// Notes that `model` was used again after `gap` without a request.
    ///
    /// Gaps inside a burst are left out: every keep-warm time covers them, and they would crowd
    /// out the rare long ones.
    pub fn record_gap(&mut self, model: &ModelName, gap: Duration) {
        if gap.as_secs_f64() < EDGES[0] {
            return;
        }
        self.models.entry(model.clone()).or_insert_with(Returns::new).add(gap);
    }

    /// Returns how long `model` may stay loaded without a request.
    ///
    /// `cold` is the expected cold start and `idle_price` the cold-start seconds that one idle
    /// accelerator hour is worth.
    pub fn keep_time(&self, model: &str, cold: Duration, idle_price: f64) -> Duration {
        if let KeepWarmPolicy::Fixed(time) = self.policy {
            return time;
        }
        let shares =
            self.models.get(model).map_or_else(|| Returns::new().shares(), Returns::shares);
        let cold = cold.as_secs_f64();
        let per_second = idle_price / 3600.0;
        let mut best = (f64::INFINITY, EDGES[0]);
        let mut idle = 0.0;
        let mut later = 1.0;
        let mut last = 0.0;
        for (share, edge) in shares.iter().zip(EDGES) {
            // Returns inside the bucket idle for its middle, the others for its whole width.
            idle += share * (edge - last) / 2.0 + (later - share) * (edge - last);
            later -= share;
            let cost = per_second * idle + later * cold;
            if cost < best.0 {
                best = (cost, edge);
            }
            last = edge;
        }
        Duration::from_secs_f64(best.1)
    }
}
