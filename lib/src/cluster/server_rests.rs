//! Rest that servers asked for when they refused requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;

/// Servers that get no request from this daemon for a time. Each ends by its own time: a server at rest has not failed.
#[derive(Debug, Default)]
pub struct ServerRests {
    until: HashMap<ServerInstance, Moment>,
}

impl ServerRests {
    /// Records that a server asked for rest; an earlier request for a longer one still holds.
    pub fn record(&mut self, server: &ServerInstance, rest: Duration, now: Moment) {
        let until = self.until.entry(server.clone()).or_default();
        *until = (*until).max(now + rest);
    }

    /// Returns the servers at rest and the time that is left to each; forgets the others.
    pub fn remaining(&mut self, now: Moment) -> impl Iterator<Item = (&ServerInstance, Duration)> {
        self.until.retain(|_, until| now < *until);
        self.until.iter().map(move |(server, until)| (server, until.saturating_sub(now)))
    }

    /// Returns whether no server asked for rest that may not be over.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Forgets instances that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&ServerInstance) -> bool) {
        self.until.retain(|server, _| known(server));
    }
}
