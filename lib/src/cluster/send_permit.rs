//! When a request may be sent to a rate-limited server.

use std::collections::HashMap;
use std::time::Duration;

use crate::cluster::server_instance::ServerInstance;

/// When this daemon may send to a rate-limited server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendPermit {
    /// Time until a request may be sent; `None` if only other daemons may send to the server.
    pub wait: Option<Duration>,
    /// Whether the server's limit has not been confirmed for a while, so that a request is needed to find out
    /// whether it still applies.
    pub probe_due: bool,
}

impl SendPermit {
    /// Returns whether a request may be sent now.
    pub fn is_granted(&self) -> bool {
        self.wait == Some(Duration::ZERO)
    }
}

/// Send permits by rate-limited server instance.
pub type SendPermits = HashMap<ServerInstance, SendPermit>;
