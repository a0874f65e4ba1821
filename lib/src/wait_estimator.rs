//! Estimates how long a queued request waits, from the rate at which this daemon dequeues requests
//! of each model.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ModelName;

/// Factor by which the weight of older dequeues decays with each new one.
const DECAY: f64 = 0.97;
/// Factor on the expected wait: a request that is queued and then expires wastes its caller's time.
const WAIT_MARGIN: f64 = 1.1;
/// Dequeues further apart than this do not count towards the rate and reset it.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Dequeues further apart than this belong to different overloads.
const OVERLOAD_GAP: Duration = Duration::from_secs(1);
/// How long an estimate is used after the last dequeue.
const ESTIMATE_TTL: Duration = Duration::from_secs(20);

/// Dequeue statistics of one model and priority.
#[derive(Clone, Copy, Debug)]
struct DequeueStats {
    /// Time of the last dequeue.
    last: Duration,
    /// Start of the current overload: since then, no two dequeues were more than [`OVERLOAD_GAP`]
    /// apart.
    since: Duration,
    /// Decayed sum of the seconds between dequeues. Dequeues come in bursts, so the mean interval
    /// is this sum divided by `count`, not an average updated gap by gap.
    time: f64,
    /// Decayed number of dequeues.
    count: f64,
}

/// Mean interval between dequeues, by model and priority.
///
/// Other daemons share the replicas, so only the dequeues at this daemon show how fast its queue
/// drains. A request can take a place that would have gone to a lower priority, but not one of a
/// higher priority. The dequeues of a priority and all lower ones therefore count for it, which
/// also accounts for requests of higher priority that arrive later and overtake.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    models: BTreeMap<ModelName, BTreeMap<u8, DequeueStats>>,
}

impl DequeueStats {
    fn record(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        if gap > OVERLOAD_GAP {
            self.since = now;
        }
        if gap > MAX_INTERVAL {
            (self.time, self.count) = (0.0, 0.0);
            return;
        }
        self.time = self.time * DECAY + gap.as_secs_f64();
        self.count = self.count * DECAY + 1.0;
    }
}

impl WaitEstimator {
    /// Records that a request leaves the queue for a replica.
    pub fn record_dequeue(&mut self, now: Duration, model: &ModelName, priority: u8) {
        let classes = self.models.entry(model.clone()).or_default();
        classes.entry(priority).or_insert(DequeueStats {
            last: now,
            since: now,
            time: 0.0,
            count: 0.0,
        });
        for (_, stats) in classes.range_mut(priority..) {
            stats.record(now);
        }
    }

    /// Returns after what time a refused request should be retried, given its expected `wait`.
    ///
    /// An overload may continue after the current queue has drained. The best estimate is that it
    /// lasts as long again as it has lasted so far.
    pub fn retry_after(
        &self,
        now: Duration,
        model: &str,
        priority: u8,
        wait: Duration,
    ) -> Duration {
        let stats = self.models.get(model).and_then(|classes| classes.get(&priority));
        let lasted =
            stats.filter(|t| now < t.last + OVERLOAD_GAP).map(|t| now.saturating_sub(t.since));
        wait + lasted.unwrap_or_default()
    }

    /// Returns the expected wait of a request with `ahead` others before it; zero if there is no
    /// recent estimate.
    pub fn expected_wait(
        &self,
        now: Duration,
        model: &str,
        priority: u8,
        ahead: usize,
    ) -> Duration {
        let stats = self.models.get(model).and_then(|classes| classes.get(&priority));
        let stats = stats.filter(|t| now < t.last + ESTIMATE_TTL && t.count > 0.0);
        let interval = stats.map_or(0.0, |t| t.time / t.count);
        Duration::from_secs_f64(interval * ahead as f64 * WAIT_MARGIN)
    }
}
