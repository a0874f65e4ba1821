//! How long requests run at engines.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use crate::cluster::configuration::ServiceName;

/// Time of a run before any was seen: a hundred and fifty tokens at one in ten milliseconds.
const FIRST_GUESS: Duration = Duration::from_millis(1500);
/// Weight of the newest run in the mean: some twenty runs, which is seconds of a daemon's streams.
const NEWEST: f64 = 0.05;

/// Mean times of runs, by service.
#[derive(Debug, Default)]
pub struct RunTimes {
    means: RefCell<HashMap<ServiceName, f64>>,
}

impl RunTimes {
    /// Takes in a run that ended well, from its first event on.
    pub fn record(&self, service: &ServiceName, time: Duration) {
        let mut means = self.means.borrow_mut();
        let mean = means.entry(service.clone()).or_insert(FIRST_GUESS.as_secs_f64());
        *mean += NEWEST * (time.as_secs_f64() - *mean);
    }

    /// Returns how long a run of a service takes on the mean.
    pub fn mean(&self, service: &str) -> Duration {
        self.means.borrow().get(service).map_or(FIRST_GUESS, |mean| Duration::from_secs_f64(*mean))
    }
}
