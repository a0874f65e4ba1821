//! When a request may be sent to a server that has a rate limit or is at rest.

use std::collections::HashMap;
use std::time::Duration;

use crate::cluster::server_instance::ServerInstance;

/// When this daemon may send to a server that has a rate limit or is at rest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendPermit {
    /// Time until a request may be sent; `None` if only other daemons may send to the server.
    pub wait: Option<Duration>,
    /// Whether the server's limit has not been confirmed for a while, so that a request is needed to find out
    /// whether it still applies.
    pub probe_due: bool,
}

impl SendPermit {
    /// Permits a request now.
    pub const GRANTED: Self = Self { wait: Some(Duration::ZERO), probe_due: false };

    /// Permits no request before `time` is over.
    pub fn postpone(&mut self, time: Duration) {
        self.wait = self.wait.map(|wait| wait.max(time));
        self.probe_due = false;
    }

    /// Returns whether a request may be sent now.
    pub fn is_granted(&self) -> bool {
        self.wait == Some(Duration::ZERO)
    }
}

/// Send permits by server instance, of those that have a rate limit or are at rest.
pub type SendPermits = HashMap<ServerInstance, SendPermit>;
