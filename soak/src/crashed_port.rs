//! What becomes of the port of a server that crashed, until it is started again.

use std::str::FromStr;

use crate::proxy::NetworkFault;
use crate::proxy::Proxy;

/// What becomes of the port of a server that crashed, until it is started again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CrashedPort {
    /// It refuses connections.
    #[default]
    Refuses,
    /// Something else accepts connections and closes them: a supervisor, or a proxy on the server's host.
    Occupied,
    /// The host is dark: connections are neither accepted nor refused.
    Dark,
}

impl CrashedPort {
    /// Applies it to the proxy of a server that has crashed.
    pub fn begin(self, proxy: &Proxy) {
        match self {
            Self::Refuses => proxy.close(),
            Self::Occupied => {}
            Self::Dark => proxy.fault.set(NetworkFault::Stall),
        }
    }

    /// Ends it, before the server starts again.
    pub fn end(self, proxy: &Proxy) {
        match self {
            Self::Refuses => proxy.open(),
            Self::Occupied => {}
            Self::Dark => proxy.fault.set(NetworkFault::None),
        }
    }
}

impl FromStr for CrashedPort {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "refuses" => Ok(Self::Refuses),
            "occupied" => Ok(Self::Occupied),
            "dark" => Ok(Self::Dark),
            _ => Err(format!("{text} is none of refuses, occupied, dark")),
        }
    }
}
