//! Server instances that announced in a response that they are leaving.

use std::collections::HashSet;
use std::collections::VecDeque;

use crate::cluster::server_instance::ServerInstance;

/// Most instances that are remembered: as many as leave in a busy day of a large fleet.
const MAX_REMEMBERED: usize = 20_000;

/// Server instances that announced that they are leaving, the newest last.
///
/// An instance never returns from that, so an announcement ends neither with an entry of the store or of a peer, which
/// may be older, nor with the removal of the entry. Only a later instance of the server may get requests.
#[derive(Debug, Default)]
pub struct AnnouncedLeaves {
    instances: HashSet<ServerInstance>,
    order: VecDeque<ServerInstance>,
}

impl AnnouncedLeaves {
    /// Records an announcement; returns whether it is the first of this instance.
    pub fn insert(&mut self, server: &ServerInstance) -> bool {
        if !self.instances.insert(server.clone()) {
            return false;
        }
        self.order.push_back(server.clone());
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.instances.remove(&oldest);
        }
        true
    }

    /// Returns whether an instance announced that it is leaving.
    pub fn contains(&self, server: &ServerInstance) -> bool {
        self.instances.contains(server)
    }
}
