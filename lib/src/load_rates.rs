//! Estimates how fast checkpoints load, from the times of completed loads.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Mebibytes;
use crate::record::Source;

/// Weight of a new measurement in the moving average.
const NEW_SAMPLE_WEIGHT: f64 = 0.2;
/// Part of every load time that is not spent on reading the checkpoint.
const FIXED_LOAD_TIME: Duration = Duration::from_millis(500);

/// Average loading speed by source, in MiB/s.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadRates {
    memory: f64,
    disk: f64,
    remote: f64,
}

impl Default for LoadRates {
    fn default() -> Self {
        Self { memory: 8000.0, disk: 2000.0, remote: 500.0 }
    }
}

impl LoadRates {
    /// Returns the expected time to load a checkpoint of `size` from `source`.
    pub fn expected_time(&self, size: Mebibytes, source: Source) -> Duration {
        FIXED_LOAD_TIME + Duration::from_secs_f64(size as f64 / self.rate(source))
    }

    /// Records a load of `size` from `source` that took `time`.
    pub fn record_load(&mut self, size: Mebibytes, source: Source, time: Duration) {
        let reading = time.saturating_sub(FIXED_LOAD_TIME).as_secs_f64().max(0.001);
        let measured = (size as f64 / reading).max(1.0);
        let rate = match source {
            Source::Memory => &mut self.memory,
            Source::Disk => &mut self.disk,
            Source::Remote => &mut self.remote,
        };
        *rate += NEW_SAMPLE_WEIGHT * (measured - *rate);
    }

    fn rate(&self, source: Source) -> f64 {
        match source {
            Source::Memory => self.memory,
            Source::Disk => self.disk,
            Source::Remote => self.remote,
        }
    }
}
