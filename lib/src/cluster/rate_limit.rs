//! The rate limit that an overloaded backend server advertises in its responses.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Requests per second that a server accepts from all daemons together; finite and not negative.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct RateLimit(f64);

/// `Eq` is sound, since the number is never NaN.
impl Eq for RateLimit {}

impl RateLimit {
    /// Returns the limit, or `None` if `rate` is negative or not finite.
    pub fn new(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }

    /// Returns the limit in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
