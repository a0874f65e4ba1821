//! Which servers this daemon reaches over its own links, and which only through a peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;

/// Time for which connections to a server are relayed before the own link is tried again. It bounds how long relays go
/// on after a partition, and how often a connection attempt is lost meanwhile.
const RELAY_TIME: Duration = Duration::from_secs(1);
/// Number of new connections over the own link that end without a response, one after the other, from which on the link
/// counts as cut. One may end because the server crashed.
const MIN_BROKEN: u32 = 2;
/// Largest factor of `RELAY_TIME` after connections that ended without a response: each try of the own link may lose a
/// request, which must not be repeated.
const MAX_RELAY_FACTOR: u32 = 8;
/// Time for which no relay to a server is tried after peers could not reach it either.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);
/// Time for which a peer that could not relay is asked after the others.
const PEER_PAUSE: Duration = Duration::from_secs(3);

/// A daemon without a response over its own links for this long is cut from all servers, if peers reach some of them.
const CUT_TIME: Duration = Duration::from_secs(2);
/// Time for which a relayed connection is evidence of a cut.
const EVIDENCE_TIME: Duration = Duration::from_secs(5);
/// Number of servers that only peers reach from which on this daemon's links are cut. A single one may be cut itself.
const MIN_RELAYED: usize = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Path {
    relayed_until: Moment,
    unreachable_until: Moment,
    /// New connections over the own link that ended without a response since the last response.
    broken: u32,
}

impl Path {
    fn was_relayed(&self, now: Moment) -> bool {
        self.relayed_until > Moment::ZERO && now < self.relayed_until + EVIDENCE_TIME
    }
}

/// The paths to servers that this daemon does not, or did not lately, reach over its own links.
#[derive(Debug, Default)]
pub struct ServerPaths {
    paths: HashMap<ServerInstance, Path>,
    /// Until when each peer that failed to relay is asked after the others.
    peer_pauses: HashMap<SocketAddr, Moment>,
    /// When a server last responded over the own link.
    last_response: Moment,
}

impl ServerPaths {
    /// Returns whether new connections to a server are relayed, without a try over the own link.
    pub fn is_relayed(&self, server: &ServerInstance, now: Moment) -> bool {
        self.paths.get(server).is_some_and(|path| now < path.relayed_until)
    }

    /// Returns whether connections to any server are relayed.
    pub fn is_any_relayed(&self, now: Moment) -> bool {
        self.paths.values().any(|path| now < path.relayed_until)
    }

    /// Returns whether a relay to a server may be tried now.
    pub fn may_relay(&self, server: &ServerInstance, now: Moment) -> bool {
        self.paths.get(server).is_none_or(|path| now >= path.unreachable_until)
    }

    /// Records that a server was reached over the own link; returns whether connections to it were relayed before.
    pub fn record_direct(&mut self, server: &ServerInstance) -> bool {
        let Some(path) = self.paths.get_mut(server) else { return false };
        let was_relayed = path.relayed_until > Moment::ZERO;
        if path.broken == 0 {
            self.paths.remove(server);
        } else {
            *path = Path { broken: path.broken, ..Path::default() };
        }
        was_relayed
    }

    /// Records that a new connection ended without a response. Several in a row over the own link show that the link is
    /// cut; over a relay they show that it is the server.
    pub fn record_broken(&mut self, server: &ServerInstance, is_relayed: bool, now: Moment) {
        let path = self.paths.entry(server.clone()).or_default();
        if is_relayed {
            *path = Path::default();
            return;
        }
        path.broken += 1;
        if path.broken >= MIN_BROKEN {
            let factor = (1 << (path.broken - MIN_BROKEN).min(u32::BITS - 1)).min(MAX_RELAY_FACTOR);
            path.relayed_until = now + RELAY_TIME * factor;
        }
    }

    /// Records that a peer relayed a connection to a server; returns whether none was relayed lately.
    pub fn record_relayed(&mut self, server: &ServerInstance, now: Moment) -> bool {
        let path = self.paths.entry(server.clone()).or_default();
        if now < path.relayed_until {
            return false;
        }
        let is_first = path.relayed_until == Moment::ZERO;
        path.relayed_until = now + RELAY_TIME;
        path.unreachable_until = Moment::ZERO;
        is_first
    }

    /// Records a response of a server over the own link.
    pub fn record_response(&mut self, server: &ServerInstance, now: Moment) {
        self.last_response = now;
        if let Some(path) = self.paths.get_mut(server) {
            path.broken = 0;
        }
    }

    /// Returns whether this daemon reaches no server at all, while peers reach several.
    pub fn is_cut(&self, now: Moment) -> bool {
        now > self.last_response + CUT_TIME
            && self.paths.values().filter(|path| path.was_relayed(now)).count() >= MIN_RELAYED
    }

    /// Returns whether a connection to any server was relayed lately, so that this daemon's own links are in doubt.
    pub fn has_relayed(&self, now: Moment) -> bool {
        self.paths.values().any(|path| path.was_relayed(now))
    }

    /// Records that peers could not relay to a server.
    pub fn record_unreachable(&mut self, server: &ServerInstance, now: Moment) {
        let path = Path { unreachable_until: now + UNREACHABLE_TIME, ..Path::default() };
        self.paths.insert(server.clone(), path);
    }

    /// Records that a peer could not relay.
    pub fn pause_peer(&mut self, peer: SocketAddr, now: Moment) {
        self.peer_pauses.retain(|_, until| now < *until);
        self.peer_pauses.insert(peer, now + PEER_PAUSE);
    }

    /// Returns whether a peer is asked for a relay only after the others.
    pub fn is_paused(&self, peer: &SocketAddr, now: Moment) -> bool {
        self.peer_pauses.get(peer).is_some_and(|until| now < *until)
    }

    /// Drops servers that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&ServerInstance) -> bool) {
        self.paths.retain(|instance, _| known(instance));
    }
}
