//! What daemons send each other, in the form it has on the wire.

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

/// Largest datagram.
pub const MAX_DATAGRAM: usize = 8 * 1024;
/// Most lines of demand or hints in a datagram.
pub const MAX_LINES: usize = 100;

/// A daemon's datagram to its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The sender.
    pub daemon: SmolStr,
    /// Offset up to which it read the log.
    pub offset: Offset,
    /// Hash of its state at an earlier offset, by which a divergence is noticed.
    pub hash: (Offset, u64),
    /// Requests that wait at it.
    pub demand: Vec<WaitingRequests>,
    /// Replicas that the log does not show yet.
    pub hints: Vec<Hint>,
}

/// A question over TCP.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerQuery {
    /// Log entries from this offset on.
    Entries(Offset),
    /// The whole state.
    State,
    /// How a claimed request ended, waiting up to these milliseconds.
    Outcome(ClaimKey, u64),
}

/// The answer to a [`PeerQuery`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// Entries in the order of their offsets.
    Entries(Vec<(Offset, Entry)>),
    /// The whole state.
    State(Box<ReplicatedState>),
    /// How a claimed request ended.
    Outcome(WireOutcome),
    /// It is not known here.
    Unknown,
}

/// A [`ClaimOutcome`] on the wire.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireOutcome {
    verdict: Verdict,
    answer: Option<StoredResponse>,
}

impl From<ClaimOutcome> for WireOutcome {
    fn from(end: ClaimOutcome) -> Self {
        Self { verdict: end.verdict, answer: end.answer }
    }
}

impl From<WireOutcome> for ClaimOutcome {
    fn from(end: WireOutcome) -> Self {
        Self { verdict: end.verdict, answer: end.answer }
    }
}

/// Writes a message with its length before it; returns the bytes written.
///
/// # Errors
///
/// The connection failed.
pub fn write_message<T: Serialize>(writer: &mut impl Write, message: &T) -> io::Result<usize> {
    let bytes = wire::encode(message);
    let length = bytes.len() as u32;
    writer.write_all(&length.to_be_bytes())?;
    writer.write_all(&bytes)?;
    writer.flush()?;
    Ok(bytes.len() + 4)
}

/// Reads a message of at most `most` bytes.
///
/// # Errors
///
/// The connection failed, or the bytes are too many or malformed.
pub fn read_message<T: DeserializeOwned>(reader: &mut impl Read, most: usize) -> io::Result<T> {
    let mut length = [0; 4];
    reader.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > most {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "message too large"));
    }
    // Read piecewise, so that a false length does not reserve its memory.
    let mut bytes = Vec::new();
    reader.take(length as u64).read_to_end(&mut bytes)?;
    wire::decode(&bytes).map_err(io::Error::other)
}
