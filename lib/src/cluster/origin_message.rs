//! The datagrams with which daemons tell and ask each other which software version began a stream.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::digest::MessageError;
use crate::cluster::stream_origin::OriginHash;
use crate::cluster::stream_origin::StreamKey;

/// First byte of these datagrams. Daemons that do not know them reject them like datagrams of another format.
const FORMAT: u8 = 0xa1;

/// Number that matches a reply to its query.
pub type QueryId = u32;

/// The origin of a stream, as sent to peers: 14 bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginReport {
    /// The [`StreamKey`], little-endian: random numbers take more bytes in the variable-length encoding.
    stream: [u8; 8],
    /// The [`OriginHash`], little-endian; `None` if different ones were reported.
    origin: Option<[u8; 4]>,
    /// Seconds until the caller can no longer resume the stream.
    pub ttl_s: u16,
}

impl OriginReport {
    /// Makes a report; `origin` is `None` if different ones were reported.
    pub fn new(stream: StreamKey, origin: Option<OriginHash>, ttl_s: u16) -> Self {
        Self { stream: stream.to_le_bytes(), origin: origin.map(OriginHash::to_le_bytes), ttl_s }
    }

    /// Returns the stream.
    pub fn stream(&self) -> StreamKey {
        StreamKey::from_le_bytes(self.stream)
    }

    /// Returns the stream's origin; `None` if different ones were reported.
    pub fn origin(&self) -> Option<OriginHash> {
        self.origin.map(OriginHash::from_le_bytes)
    }
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OriginMessage {
    /// Origins of streams, to be kept for daemons that ask.
    Reports(Vec<OriginReport>),
    /// Asks for the origin of a stream.
    Query {
        /// Number of the query.
        id: QueryId,
        /// The [`StreamKey`].
        stream: StreamKey,
    },
    /// Answers a query.
    Reply {
        /// Number of the query.
        id: QueryId,
        /// The origin; `None` if the sender does not know the stream.
        report: Option<OriginReport>,
    },
}

impl OriginMessage {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        // postcard can encode every value of these types.
        postcard::to_extend(self, vec![FORMAT]).unwrap_or_default()
    }

    /// Returns whether a datagram has this format.
    pub fn matches(bytes: &[u8]) -> bool {
        bytes.first() == Some(&FORMAT)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram has another format or is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let body = bytes.strip_prefix(&[FORMAT]).ok_or(MessageError::Format)?;
        Ok(postcard::from_bytes(body)?)
    }
}
