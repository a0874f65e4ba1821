//! Messages between daemons, in their wire format: UDP digests, and queries and replies over TCP.

use std::io;
use std::io::Read;
use std::io::Write;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::claim_outcomes::ClaimOutcome;
use crate::demand::WaitingRequests;
use crate::event::Hint;
use crate::ids::ClaimKey;
use crate::ids::Offset;
use crate::record::Entry;
use crate::record::StoredResponse;
use crate::replicated_state::ReplicatedState;
use crate::verdict::Verdict;
use crate::wire;

/// Largest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 8 * 1024;
/// Most entries of demand, and most hints, in one datagram.
pub const MAX_LINES: usize = 100;

/// A daemon's periodic state message to its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Name of the sending daemon.
    pub daemon: SmolStr,
    /// Offset up to which the sender has read the log.
    pub offset: Offset,
    /// An earlier offset and the hash of the sender's state there, to detect a divergence.
    pub hash: (Offset, u64),
    /// Requests that wait at the sender.
    pub demand: Vec<WaitingRequests>,
    /// Replicas that are not recorded in the log yet.
    pub hints: Vec<Hint>,
}

/// A query to another daemon over TCP.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerQuery {
    /// Log entries from this offset on.
    Entries(Offset),
    /// The whole state.
    State,
    /// The outcome of a claimed request, and how long to wait for it, in milliseconds.
    Outcome(ClaimKey, u64),
}

/// The reply to a [`PeerQuery`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// Entries in the order of their offsets.
    Entries(Vec<(Offset, Entry)>),
    /// The whole state.
    State(Box<ReplicatedState>),
    /// The outcome of a claimed request.
    Outcome(WireOutcome),
    /// The daemon does not have what was requested.
    Unknown,
}

/// Wire format of a [`ClaimOutcome`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireOutcome {
    verdict: Verdict,
    answer: Option<StoredResponse>,
}

impl From<ClaimOutcome> for WireOutcome {
    fn from(outcome: ClaimOutcome) -> Self {
        Self { verdict: outcome.verdict, answer: outcome.answer }
    }
}

impl From<WireOutcome> for ClaimOutcome {
    fn from(outcome: WireOutcome) -> Self {
        Self { verdict: outcome.verdict, answer: outcome.answer }
    }
}

/// Writes a message after its length; returns the number of bytes written.
///
/// # Errors
///
/// Returns the error of a write to the connection.
pub fn write_message<T: Serialize>(writer: &mut impl Write, message: &T) -> io::Result<usize> {
    let bytes = wire::encode(message);
    let length = bytes.len() as u32;
    writer.write_all(&length.to_be_bytes())?;
    writer.write_all(&bytes)?;
    writer.flush()?;
    Ok(bytes.len() + 4)
}

/// Reads a message of at most `max_bytes` bytes, not counting its length prefix.
///
/// # Errors
///
/// Returns an error if the connection fails or the message is too large or malformed.
pub fn read_message<T: DeserializeOwned>(
    reader: &mut impl Read,
    max_bytes: usize,
) -> io::Result<T> {
    let mut length = [0; 4];
    reader.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > max_bytes {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "message too large"));
    }
    // The buffer grows as bytes arrive, so that a false length does not allocate that much memory.
    let mut bytes = Vec::new();
    reader.take(length as u64).read_to_end(&mut bytes)?;
    wire::decode(&bytes).map_err(io::Error::other)
}
