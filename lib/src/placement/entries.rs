//! Records that daemons store for each other, as JSON that operators can read.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::cluster::digest::ProcessId;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::FeedOffset;
use crate::ids::Fence;
use crate::placement::fetch_limiter::StoreShare;
use crate::placement::recent_orders::OrderNote;
use crate::protocol::FormatError;

/// Key of the record of the placement lease.
pub const PLACEMENT_KEY: &str = "placement";

/// Address, process and data centre of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonEntry {
    /// Its address for datagrams and connections.
    pub addr: SocketAddr,
    /// Its process.
    pub process: ProcessId,
    /// Its data centre.
    #[serde(default)]
    pub centre: CentreId,
    /// Whether its host is small.
    #[serde(default)]
    pub small: bool,
}

/// A record of the placement lease. Only the newest one is valid.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseEntry {
    /// The lease holder.
    pub holder: DaemonId,
    /// The lease holder's process.
    pub process: ProcessId,
    /// Address at which the holder receives messages; no two processes can use the same one.
    #[serde(default)]
    pub addr: Option<SocketAddr>,
    /// Fencing number; `None` in the first record of a lease, whose offset determines it.
    pub fence: Option<Fence>,
    /// Whether the holder released the lease.
    pub released: bool,
    /// Offset of this record, as given in its append. The feed also contains records of other keys.
    #[serde(default)]
    pub at: Option<FeedOffset>,
    /// What the holder knew about the weight store.
    #[serde(default)]
    pub share: StoreShare,
    /// Engines that the holder sent orders to recently or may still send orders to; `None` if
    /// unknown.
    #[serde(default)]
    pub orders: Option<Vec<OrderNote>>,
}

/// Serializes a record.
///
/// # Panics
///
/// Never: these types have no map with non-string keys.
pub fn encode<T: Serialize>(entry: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(entry).expect("records serialize to JSON"))
}

/// Parses a record.
///
/// # Errors
///
/// Returns an error if the text is not a valid record.
pub fn decode<'a, T: Deserialize<'a>>(raw: &'a [u8]) -> Result<T, FormatError> {
    serde_json::from_slice(raw).map_err(|e| FormatError(e.to_string()))
}
