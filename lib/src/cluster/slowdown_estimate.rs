//! How many times the usual time work takes at one server, estimated from its responses.

use std::time::Duration;

use crate::boot_clock::Moment;

/// Time after which an observation has about a third of its weight: the host of a server does not change, but the other
/// work on it does.
const DECAY_TIME: Duration = Duration::from_mins(1);
/// Weight of the assumption that a server is usual, in observations.
const PRIOR_WEIGHT: f64 = 1.0;
/// Least and largest slowdown of an observation. A false one moves the estimate of a server with few others to this at
/// most.
pub const MIN_SLOWDOWN: f64 = 0.25;
/// See [`MIN_SLOWDOWN`].
pub const MAX_SLOWDOWN: f64 = 8.0;
/// Exponent of the preference for a faster server. The time of a stream, the streams beside it and the pauses that they
/// bring each other all grow with the slowdown, so that with this exponent pauses are fewest over all servers.
const PREFERENCE_EXPONENT: i32 = 3;
/// Most weight of one estimate, so that the sum of those of all daemons remains bounded.
pub const MAX_WEIGHT: f64 = 1000.0;

/// Returns the share of streams that a server with this slowdown should get for each one at a usual server.
pub fn preference(slowdown: f64) -> f64 {
    slowdown.powi(-PREFERENCE_EXPONENT)
}

/// A weighted mean of the slowdowns in a server's responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowdownEstimate {
    /// Number of observations, of which older ones count less. Between 0 and `MAX_WEIGHT`.
    weight: f64,
    /// Sum of the observations, each multiplied by its weight.
    sum: f64,
}

impl SlowdownEstimate {
    /// Returns the estimate of observations with this weight and mean; out-of-range values are clamped, others ignored.
    pub fn new(weight: f64, mean: f64) -> Self {
        if !weight.is_finite() || !mean.is_finite() || weight <= 0.0 {
            return Self::default();
        }
        let weight = weight.min(MAX_WEIGHT);
        Self { weight, sum: weight * mean.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN) }
    }

    /// Adds an observation.
    pub fn record(&mut self, slowdown: f64) {
        *self = self.merged(Self::new(1.0, slowdown));
    }

    /// Returns the estimate from the observations of both.
    #[must_use]
    pub fn merged(self, other: Self) -> Self {
        let sum = Self { weight: self.weight + other.weight, sum: self.sum + other.sum };
        if sum.weight <= MAX_WEIGHT { sum } else { Self::new(sum.weight, sum.sum / sum.weight) }
    }

    /// Returns the estimate after `age` without further observations.
    #[must_use]
    pub fn aged(self, age: Duration) -> Self {
        let part = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        Self { weight: self.weight * part, sum: self.sum * part }
    }

    /// Returns the number of observations that it rests on.
    pub fn weight(self) -> f64 {
        self.weight
    }

    /// Returns the mean of the observations; 1 without any.
    pub fn mean(self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 1.0 }
    }

    /// Returns the expected slowdown: the mean, nearer to 1 the fewer observations there are.
    pub fn expected(self) -> f64 {
        (self.sum + PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT)
    }
}

/// An estimate, and when it was current.
#[derive(Clone, Copy, Debug, Default)]
pub struct DatedEstimate {
    /// The estimate.
    pub estimate: SlowdownEstimate,
    /// When it was last updated.
    pub at: Moment,
}

impl DatedEstimate {
    /// Returns the estimate at a later time.
    pub fn at(&self, now: Moment) -> SlowdownEstimate {
        self.estimate.aged(now.saturating_sub(self.at))
    }
}
