//! How long requests run at engines.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use crate::cluster::configuration::ServiceName;

/// Assumed run time before any run has ended: 150 tokens at 10 ms each.
const INITIAL_MEAN: Duration = Duration::from_millis(1500);
/// Weight of the newest run in the moving average: it spans about twenty runs, which is seconds of a daemon's
/// streams.
const NEWEST_WEIGHT: f64 = 0.05;

/// Moving averages of run times in seconds, by service.
#[derive(Debug, Default)]
pub struct RunTimes {
    means: RefCell<HashMap<ServiceName, f64>>,
}

impl RunTimes {
    /// Records a run that succeeded, with its time from the first event to the end.
    pub fn record(&self, service: &ServiceName, time: Duration) {
        let mut means = self.means.borrow_mut();
        let mean = means.entry(service.clone()).or_insert(INITIAL_MEAN.as_secs_f64());
        *mean += NEWEST_WEIGHT * (time.as_secs_f64() - *mean);
    }

    /// Returns the longest of the mean run times of services.
    pub fn longest_mean(&self) -> Duration {
        let longest = self.means.borrow().values().copied().reduce(f64::max);
        longest.map_or(INITIAL_MEAN, Duration::from_secs_f64)
    }

    /// Returns the mean run time of a service.
    pub fn mean(&self, service: &str) -> Duration {
        self.means.borrow().get(service).map_or(INITIAL_MEAN, |mean| Duration::from_secs_f64(*mean))
    }
}
