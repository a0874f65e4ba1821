//! Chooses how long a replica without requests stays loaded.
//!
//! A histogram per model counts the gaps between one request and the next. Staying loaded for a
//! time `t` costs the idle accelerator time up to `t`, priced by the table's `idle_price`, plus a
//! cold start if the next request arrives later than `t`. The `t` with the lowest expected cost is
//! chosen, under the histogram mixed with a heavy-tailed prior.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ModelName;

/// Upper edges of the histogram's buckets, in seconds.
const BUCKET_EDGES_S: [f64; 16] = [
    5.0, 10.0, 20.0, 40.0, 60.0, 90.0, 150.0, 300.0, 600.0, 1200.0, 2400.0, 4800.0, 9600.0,
    19200.0, 38400.0, 86400.0,
];
/// Weight of the prior, in observed gaps.
const PRIOR_WEIGHT: f64 = 4.0;
/// Factor on the weight of older gaps at each new one.
const DECAY: f64 = 0.97;
/// Exponent of the prior's tail: the probability of a gap longer than `t` falls as `t` to this
/// power.
const PRIOR_EXPONENT: f64 = -0.5;

/// Policy for the keep-warm time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum KeepWarmPolicy {
    /// Computed from each model's gaps and the idle price.
    Learned,
    /// The same for every model; the baseline in comparisons.
    Fixed(Duration),
}

#[derive(Clone, Debug)]
struct GapHistogram {
    counts: [f64; BUCKET_EDGES_S.len() + 1],
}

impl GapHistogram {
    fn new() -> Self {
        Self { counts: [0.0; BUCKET_EDGES_S.len() + 1] }
    }

    fn add(&mut self, gap: Duration) {
        for count in &mut self.counts {
            *count *= DECAY;
        }
        let seconds = gap.as_secs_f64();
        let bucket =
            BUCKET_EDGES_S.iter().position(|e| seconds <= *e).unwrap_or(BUCKET_EDGES_S.len());
        self.counts[bucket] += 1.0;
    }

    /// Returns the probability of each bucket, with the prior mixed in.
    fn shares(&self) -> [f64; BUCKET_EDGES_S.len() + 1] {
        let mut shares = self.counts;
        let mut above = 1.0;
        for (share, edge) in shares.iter_mut().zip(BUCKET_EDGES_S) {
            let tail = (edge / BUCKET_EDGES_S[0]).powf(PRIOR_EXPONENT);
            *share += PRIOR_WEIGHT * (above - tail);
            above = tail;
        }
        shares[BUCKET_EDGES_S.len()] += PRIOR_WEIGHT * above;
        let sum = shares.iter().sum::<f64>();
        shares.map(|s| s / sum)
    }
}

/// Histograms of the gaps between requests, by model.
#[derive(Debug)]
pub struct KeepWarm {
    policy: KeepWarmPolicy,
    models: BTreeMap<ModelName, GapHistogram>,
}

impl KeepWarm {
    /// Creates an empty history.
    pub fn new(policy: KeepWarmPolicy) -> Self {
        Self { policy, models: BTreeMap::new() }
    }

    /// Records that a request for `model` arrived after `gap` without one.
    ///
    /// Gaps within a burst are ignored: every keep-warm time covers them, and they would outweigh
    /// the rare long ones.
    pub fn record_gap(&mut self, model: &ModelName, gap: Duration) {
        if gap.as_secs_f64() < BUCKET_EDGES_S[0] {
            return;
        }
        self.models.entry(model.clone()).or_insert_with(GapHistogram::new).add(gap);
    }

    /// Returns how long `model` may stay loaded without a request.
    ///
    /// `cold_start` is the expected time of a cold start, and `idle_price` is the cost of one idle
    /// accelerator hour in seconds of cold start.
    pub fn keep_time(&self, model: &str, cold_start: Duration, idle_price: f64) -> Duration {
        if let KeepWarmPolicy::Fixed(time) = self.policy {
            return time;
        }
        let shares = self
            .models
            .get(model)
            .map_or_else(|| GapHistogram::new().shares(), GapHistogram::shares);
        let cold_start = cold_start.as_secs_f64();
        let idle_cost_per_s = idle_price / 3600.0;
        let mut best = (f64::INFINITY, BUCKET_EDGES_S[0]);
        let mut idle = 0.0;
        let mut longer_share = 1.0;
        let mut lower_edge = 0.0;
        for (share, edge) in shares.iter().zip(BUCKET_EDGES_S) {
            // Gaps that end in this bucket add half its width on average, longer ones all of it.
            idle +=
                share * (edge - lower_edge) / 2.0 + (longer_share - share) * (edge - lower_edge);
            longer_share -= share;
            let cost = idle_cost_per_s * idle + longer_share * cold_start;
            if cost < best.0 {
                best = (cost, edge);
            }
            lower_edge = edge;
        }
        Duration::from_secs_f64(best.1)
    }
}
