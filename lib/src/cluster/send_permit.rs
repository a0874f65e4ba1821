//! When a request may be sent to a server that named a limit.

use std::collections::HashMap;
use std::time::Duration;

use crate::cluster::server_instance::ServerInstance;

/// When this daemon may send to a limited server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendPermit {
    /// Time until then; none where other daemons send what the server takes.
    pub wait: Option<Duration>,
    /// Whether the server has not said for a while whether the limit still holds: somebody has to ask.
    pub probe_due: bool,
}

impl SendPermit {
    /// Returns whether a request may be sent now.
    pub fn is_granted(&self) -> bool {
        self.wait == Some(Duration::ZERO)
    }
}

/// Turns at the servers that named limits.
pub type SendPermits = HashMap<ServerInstance, SendPermit>;
