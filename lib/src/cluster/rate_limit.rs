//! A limit that a backend server in need names in its answers.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Requests a second that a server takes from all daemons together; finite and not negative.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct RateLimit(f64);

/// Finite numbers equal themselves.
impl Eq for RateLimit {}

impl RateLimit {
    /// Returns the limit; none where the number is negative or not finite.
    pub fn new(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }

    /// Returns requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
