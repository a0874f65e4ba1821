//! A prompt part that goes to no server, and which daemons that binds.

use crate::boot_clock::Moment;

/// Which daemons a hold binds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HoldScope {
    /// Only the one that decided on it while its data centre was isolated: requests that clear the part may have been
    /// served elsewhere, so the hold is neither reported nor stored.
    Isolated,
    /// All.
    Fleet,
}

/// A part that goes to no server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartHold {
    /// When it was found to crash servers; a request with it that gets further later releases it.
    pub since: Moment,
    /// When a caller last sent it.
    pub last_attempt: Moment,
    /// Which daemons it binds.
    pub scope: HoldScope,
}

impl PartHold {
    /// Returns whether it binds all daemons.
    pub fn is_fleetwide(&self) -> bool {
        self.scope == HoldScope::Fleet
    }
}
