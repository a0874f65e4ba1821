//! Records that daemons keep in the store for each other, as JSON that operators can read.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::cluster::digest::ProcessId;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::ids::Offset;
use crate::placement::fetch_limiter::StoreShare;
use crate::placement::recent_orders::OrderNote;
use crate::protocol::FormatError;

/// Key of the record of the placement lease.
pub const PLACEMENT_KEY: &str = "placement";

/// Where a daemon takes messages from other daemons.
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

/// A record of the placement lease. The newest one counts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseEntry {
    /// The holder.
    pub holder: DaemonId,
    /// The holder's process.
    pub process: ProcessId,
    /// Where the holder takes messages; no two processes can do so at one address.
    #[serde(default)]
    pub addr: Option<SocketAddr>,
    /// Fencing number of a renewal; the first record of a tenure has none, its own offset gives it.
    pub fence: Option<Fence>,
    /// Whether the holder gave the lease up.
    pub released: bool,
    /// Its own offset, which its append named. Records of other keys make the feed grow as well.
    #[serde(default)]
    pub at: Option<Offset>,
    /// What the holder knew of the weight store.
    #[serde(default)]
    pub share: StoreShare,
    /// Engines that the holder ordered lately or may order from now on; none where it does not say.
    #[serde(default)]
    pub orders: Option<Vec<OrderNote>>,
}

/// Writes a record.
///
/// # Panics
///
/// Never: these types have no map with keys other than text.
pub fn encode<T: Serialize>(entry: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(entry).expect("plain fields become JSON"))
}

/// Reads a record.
///
/// # Errors
///
/// The text is not such a record.
pub fn decode<'a, T: Deserialize<'a>>(raw: &'a [u8]) -> Result<T, FormatError> {
    serde_json::from_slice(raw).map_err(|e| FormatError(e.to_string()))
}
