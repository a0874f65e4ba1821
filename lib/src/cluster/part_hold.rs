//! A quarantined prompt part and the scope of the quarantine.

use crate::boot_clock::Moment;

/// The daemons that a hold binds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HoldScope {
    /// Only the one that decided on it while its data centre was isolated: requests that clear the part may have been
    /// served elsewhere, so the hold is neither reported nor stored.
    Isolated,
    /// All daemons.
    Fleet,
}

/// A part that goes to no server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartHold {
    /// When the last of the crashes happened that show it to crash servers; a request with it whose first event came later
    /// releases it.
    pub since: Moment,
    /// When this daemon learned that it is held.
    pub learned_at: Moment,
    /// When a caller last sent it.
    pub last_attempt: Moment,
    /// The daemons that it binds.
    pub scope: HoldScope,
}

impl PartHold {
    /// Returns whether it binds all daemons.
    pub fn is_fleetwide(&self) -> bool {
        self.scope == HoldScope::Fleet
    }
}
