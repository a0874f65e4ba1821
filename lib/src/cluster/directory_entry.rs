//! One backend server in the directory.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::boot_clock::Moment;
use crate::cluster::digest::ServerDeparture;
use crate::cluster::directory::Server;

/// A server that left according to a peer, but has a newer entry, is used again if the entry still exists after
/// this time. The entry may stem from a last heartbeat that reached a slow store after the server had left. Such
/// an entry ends after three missed heartbeats, and no request must reach that server.
const RETURN_CONFIRM_TIME: Duration = Duration::from_secs(6);

/// A listed server with its entry and state.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The server as the entry describes it.
    pub server: Rc<Server>,
    /// The entry as stored by the platform, for relaying to other daemons. Belongs to an older instance while
    /// the newest one is known from peers only; daemons that know the newest ignore it.
    pub raw: Bytes,
    /// When the entry was found missing; set while it may only have lapsed.
    pub lapsed_at: Option<Moment>,
    /// When the entry was found overwritten; set while the newest entry describes no server.
    pub suspended_at: Option<Moment>,
    /// When a peer reported the departure; set if the entry is newer than it, so that the server may have
    /// returned.
    pub returned_at: Option<Moment>,
}

impl Entry {
    /// Returns whether the entry is missing or invalid but may return shortly.
    pub fn is_awaited(&self) -> bool {
        self.lapsed_at.is_some() || self.suspended_at.is_some()
    }

    /// Marks the server as leaving because a peer saw its entry end; returns whether that changed anything.
    ///
    /// The feed is read in order: if a later heartbeat is known here, its entry was written after the end
    /// that the peer reports, and the server may have returned.
    pub fn apply_departure(&mut self, departure: &ServerDeparture, now: Moment) -> bool {
        if self.server.leaving || self.returned_at.is_some() {
            return false;
        }
        self.returned_at = (self.server.heartbeat > departure.heartbeat).then_some(now);
        Rc::make_mut(&mut self.server).leaving = true;
        true
    }

    /// Makes the server usable if its newer entry still exists after `RETURN_CONFIRM_TIME`; returns whether it did.
    pub fn confirm_return(&mut self, now: Moment) -> bool {
        let is_due = self.returned_at.is_some_and(|at| now > at + RETURN_CONFIRM_TIME);
        if !is_due || !self.server.leaving {
            return false;
        }
        Rc::make_mut(&mut self.server).leaving = false;
        true
    }
}
