//! The token bucket of a quota, and how far daemons may exceed the quota together.

use std::time::Duration;

use crate::cluster::workspace::Quota;

/// Fractions of the allowed excess that are added to the bucket, and once more while daemons are silent, whose demand may
/// have moved to the others. The rest covers tokens that are granted before daemons receive each other's reports.
const USED_OVERAGE: f64 = 0.05;
const USED_TOKENS: f64 = 0.35;

/// The bucket of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    /// Tokens per second.
    pub rate: f64,
    /// Capacity; at least `burst`.
    pub size: f64,
    /// Burst of the quota. A larger request is granted when the bucket holds this much.
    pub burst: f64,
    /// Part of the rate that may be used besides while daemons are silent.
    pub spare: f64,
}

/// How far the tokens that are taken in a window may exceed the quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the sliding window.
    pub window: Duration,
    /// Allowed excess as a fraction of the quota.
    pub overage: f64,
    /// Allowed excess in tokens.
    pub tokens: f64,
}

impl QuotaTolerance {
    /// Returns the bucket of a quota.
    pub fn bucket(&self, quota: Quota) -> Bucket {
        let window = quota.rate * self.window.as_secs_f64() + quota.burst;
        let usable = USED_OVERAGE * self.overage * window + USED_TOKENS * self.tokens;
        let in_window = quota.rate * self.window.as_secs_f64();
        let spare = if in_window > 0.0 { usable / in_window } else { 0.0 };
        Bucket { rate: quota.rate, size: quota.burst + usable, burst: quota.burst, spare }
    }
}
