//! Evidence that server instances have ended, which outlives the entries and copies of entries of these instances.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::cluster::server_instance::ServerInstance;

/// Most instances that are remembered: as many as end in a busy day of a large fleet. Copies of their entries may be
/// relayed by peers that were disconnected for long, so age is no reason to forget one.
const MAX_REMEMBERED: usize = 20_000;
/// Later than any heartbeat.
const NEVER: u64 = u64::MAX;

/// Server instances that ended: the number of the last heartbeat of each, beyond which an entry shows that it returned.
#[derive(Debug, Default)]
pub struct EndedInstances {
    last_heartbeats: HashMap<ServerInstance, u64>,
    /// The remembered instances, the newest last.
    order: VecDeque<ServerInstance>,
}

impl EndedInstances {
    /// Records that an instance ended after a heartbeat.
    pub fn record_end(&mut self, server: &ServerInstance, heartbeat: u64) {
        if let Some(last) = self.last_heartbeats.get_mut(server) {
            *last = heartbeat.max(*last);
            return;
        }
        self.last_heartbeats.insert(server.clone(), heartbeat);
        self.order.push_back(server.clone());
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.last_heartbeats.remove(&oldest);
        }
    }

    /// Records that an instance announced in a response that it is leaving, from which it never returns; returns whether
    /// this is its first announcement.
    pub fn announce(&mut self, server: &ServerInstance) -> bool {
        let is_first = !self.has_announced(server);
        self.record_end(server, NEVER);
        is_first
    }

    /// Returns whether an instance announced in a response that it is leaving.
    pub fn has_announced(&self, server: &ServerInstance) -> bool {
        self.last_heartbeats.get(server) == Some(&NEVER)
    }

    /// Returns whether an entry with this heartbeat was written before its instance ended.
    pub fn is_outdated(&self, server: &ServerInstance, heartbeat: u64) -> bool {
        self.last_heartbeats.get(server).is_some_and(|last| heartbeat <= *last)
    }
}
