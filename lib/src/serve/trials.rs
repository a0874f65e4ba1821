//! Suspects at engines: one at a time, so that a crash tells which of them did it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::boot_clock::Moment;
use crate::ids::DaemonId;
use crate::picture::fingerprint::Fingerprint;
use crate::picture::server_start::ServerStart;

/// A peer's word on its suspects counts for this long: two digests.
const PEER_FRESH: Duration = Duration::from_millis(600);

#[derive(Debug, Default)]
struct Tables {
    own: HashMap<ServerStart, Fingerprint>,
    peers: HashMap<DaemonId, (Moment, Vec<ServerStart>)>,
}

/// Servers that have a suspect whose answer has no event yet.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    tables: Rc<RefCell<Tables>>,
    /// Signalled when one of this daemon's begins or ends.
    pub changed: Rc<Notify>,
}

/// A suspect at a server; it ends when this is dropped.
#[derive(Debug)]
pub struct Trial {
    trials: Trials,
    server: ServerStart,
}

impl Trials {
    /// Begins one at a server that has none.
    pub fn begin(&self, server: ServerStart, print: Fingerprint) -> Trial {
        self.tables.borrow_mut().own.insert(server.clone(), print);
        self.changed.notify_one();
        Trial { trials: self.clone(), server }
    }

    /// Returns whether an attempt at a request is one of this daemon's.
    pub fn has(&self, print: &Fingerprint) -> bool {
        self.tables.borrow().own.values().any(|running| running == print)
    }

    /// Returns the servers that have one of this daemon's.
    pub fn own(&self) -> Vec<ServerStart> {
        self.tables.borrow().own.keys().cloned().collect()
    }

    /// Takes in the servers that have one of a peer's; returns whether the peer had others before.
    pub fn heard(&self, peer: &DaemonId, servers: Vec<ServerStart>, now: Moment) -> bool {
        let mut tables = self.tables.borrow_mut();
        if servers.is_empty() {
            return tables.peers.remove(peer).is_some();
        }
        let is_other = tables.peers.get(peer).is_some_and(|(_, before)| *before != servers);
        tables.peers.insert(peer.clone(), (now, servers));
        is_other
    }

    /// Returns the servers that should get no other suspect now.
    pub fn servers(&self, now: Moment) -> Vec<ServerStart> {
        let tables = self.tables.borrow();
        let fresh = tables.peers.values().filter(|(at, _)| now <= *at + PEER_FRESH);
        let peers = fresh.flat_map(|(_, servers)| servers);
        tables.own.keys().chain(peers).cloned().collect()
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.trials.tables.borrow_mut().own.remove(&self.server);
        self.trials.changed.notify_one();
    }
}
