//! What a daemon asks of another one over a connection, and the replies.
//!
//! The types are encoded by postcard, in the order of their fields and variants.

use std::io;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::configuration::ConfigVersion;
use crate::cluster::server_instance::ServerInstance;
use crate::delta;
use crate::ids::FeedOffset;
use crate::ids::ServerId;

/// Largest size of a configuration or of all servers' entries that is accepted from a peer, in bytes.
pub const MAX_UPDATE_BYTES: usize = 16 * 1024 * 1024;

/// Identifies a configuration by its version and its bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ConfigId {
    /// Its version.
    pub version: ConfigVersion,
    /// Hash of the bytes as the platform stores them.
    pub checksum: u64,
}

/// A daemon's request to another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Asks for a later configuration.
    Configuration {
        /// The one that the daemon has; `None` before the first.
        known: Option<ConfigId>,
        /// Port on which the daemon accepts connections from other daemons.
        port: u16,
    },
    /// Asks for the entries of all servers.
    Servers,
    /// Asks for a connection to a server. After the reply that it is connected, the bytes of both directions follow.
    Relay {
        /// The server.
        server: ServerInstance,
    },
}

/// What became of a request for a connection to a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RelayOutcome {
    /// The peer is connected to the server.
    Connected,
    /// The server refused the connection.
    Refused,
    /// The peer does not know the server, does not reach it, stops, or relays as many connections as it may.
    Unreachable,
}

impl RelayOutcome {
    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
        }
    }
}

impl PeerRequest {
    /// Returns the request's name in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Configuration { .. } => "configuration",
            Self::Servers => "servers",
            Self::Relay { .. } => "relay",
        }
    }
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerReply {
    /// A later configuration; `None` if the peer has none.
    Configuration(Option<ConfigUpdate>),
    /// The entries of all servers: an encoded [`ServerSnapshot`].
    Servers(Compressed),
    /// The peer serves as many transfers as it may. It has lately given what was asked for to the daemons at these
    /// addresses.
    Busy(Vec<SocketAddr>),
    /// What became of the request for a connection.
    Relay(RelayOutcome),
}

/// Compressed bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Compressed {
    /// Length of the bytes in full.
    pub length: u32,
    /// The bytes, compressed.
    pub bytes: Vec<u8>,
}

impl Compressed {
    /// Compresses bytes against a base.
    ///
    /// # Errors
    ///
    /// The compressor fails.
    pub fn new(bytes: &[u8], base: &[u8]) -> io::Result<Self> {
        let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
        Ok(Self { length, bytes: delta::compress(bytes, base)? })
    }

    /// Restores the bytes.
    ///
    /// # Errors
    ///
    /// They are malformed, longer than [`MAX_UPDATE_BYTES`], or were compressed against another base.
    pub fn restore(&self, base: &[u8]) -> io::Result<Vec<u8>> {
        let length = self.length as usize;
        if length > MAX_UPDATE_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        delta::decompress(&self.bytes, base, length)
    }
}

/// A configuration, compressed against an earlier one that the receiver has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigUpdate {
    /// The configuration.
    pub id: ConfigId,
    /// The earlier one; `None` if it was compressed by itself.
    pub base: Option<ConfigId>,
    /// Its bytes as the platform stores them.
    pub content: Compressed,
}

/// The store's entries of all servers, relayed to a daemon that does not read them itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerSnapshot {
    /// Offset in the feed of servers up to which `raw_servers` is complete.
    pub servers_end: FeedOffset,
    /// Entries of servers as stored by the platform.
    pub raw_servers: Vec<(ServerId, Vec<u8>)>,
    /// Servers whose entries are missing or invalid but may return shortly.
    pub awaited: Vec<ServerId>,
}
