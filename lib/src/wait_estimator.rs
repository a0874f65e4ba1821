//! How fast waiting requests of each model get their turn at this daemon.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ModelName;

/// Factor by which older turns fade with each new one.
const FADE: f64 = 0.97;
/// Factor on the expected wait: a request that is let in and expires after all wastes its caller's time.
const MARGIN: f64 = 1.1;
/// Turns further apart than this say nothing of a queue's pace.
const MAX_GAP: Duration = Duration::from_secs(10);
/// Turns further apart than this are not of one overload.
const LULL: Duration = Duration::from_secs(1);
/// A pace counts for this long after the last turn.
const FRESH: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug)]
struct Turns {
    last: Duration,
    /// Since when turns followed each other without a lull.
    since: Duration,
    /// Seconds between turns, older ones faded. Turns come in bursts, so the mean is taken over all
    /// of them and not of the gaps one by one.
    time: f64,
    /// Turns, older ones faded.
    count: f64,
}

/// Time between the turns of waiting requests, by model and priority.
///
/// Other daemons share the replicas, so only what was seen here tells how long a queue here lasts.
/// A request gets a turn that a less important one would have had, but not the other way round: for
/// each priority the turns of that and all lesser ones count. More important requests that are yet to
/// come and overtake are in the pace that way.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    models: BTreeMap<ModelName, BTreeMap<u8, Turns>>,
}

impl Turns {
    fn turned(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        if gap > LULL {
            self.since = now;
        }
        if gap > MAX_GAP {
            (self.time, self.count) = (0.0, 0.0);
            return;
        }
        self.time = self.time * FADE + gap.as_secs_f64();
        self.count = self.count * FADE + 1.0;
    }
}

impl WaitEstimator {
    /// Notes that a request that had waited gets its turn.
    pub fn record_dequeue(&mut self, now: Duration, model: &ModelName, priority: u8) {
        let classes = self.models.entry(model.clone()).or_default();
        classes.entry(priority).or_insert(Turns { last: now, since: now, time: 0.0, count: 0.0 });
        for (_, turns) in classes.range_mut(priority..) {
            turns.turned(now);
        }
    }

    /// Returns when a refused request should come back, given the wait that it would have had.
    ///
    /// When the queue of now is through, an overload may still go on. One that has lasted for some
    /// time is best expected to last for as long again.
    pub fn retry_after(
        &self,
        now: Duration,
        model: &str,
        priority: u8,
        wait: Duration,
    ) -> Duration {
        let turns = self.models.get(model).and_then(|classes| classes.get(&priority));
        let lasted = turns.filter(|t| now < t.last + LULL).map(|t| now.saturating_sub(t.since));
        wait + lasted.unwrap_or_default()
    }

    /// Returns how long a request waits that has `ahead` others before it; zero where nothing is
    /// known.
    pub fn expected_wait(
        &self,
        now: Duration,
        model: &str,
        priority: u8,
        ahead: usize,
    ) -> Duration {
        let turns = self.models.get(model).and_then(|classes| classes.get(&priority));
        let turns = turns.filter(|t| now < t.last + FRESH && t.count > 0.0);
        let interval = turns.map_or(0.0, |t| t.time / t.count);
        Duration::from_secs_f64(interval * ahead as f64 * MARGIN)
    }
}
