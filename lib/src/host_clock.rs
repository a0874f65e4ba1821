//! The border to a host's clock.

use std::fmt;

use crate::boot_clock::Moment;

/// Tells the time since a host's start.
pub trait HostClock: fmt::Debug {
    /// Returns the time since the host's start; it never goes back.
    fn now(&self) -> Moment;
}
