//! Stand-ins of the platform, servers and clients for the cases of the review.

pub mod daemon;
pub mod engine;
pub mod http;
pub mod plain;
pub mod record;
pub mod store;

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns whether the disruption is to be left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Returns a new id of a client attempt.
pub fn attempt_id(number: u64) -> String {
    format!("{:08x}{number:08x}", std::process::id())
}
