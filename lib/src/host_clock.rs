//! The interface to a host's clock, which tests replace.

use std::fmt;

use crate::boot_clock::Moment;

/// A monotonic clock that counts from a host's start.
pub trait HostClock: fmt::Debug {
    /// Returns the time since the host's start; it never decreases.
    fn now(&self) -> Moment;
}
