//! Encoding of what daemons exchange and keep: `postcard` behind a version byte.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// First byte of everything that is encoded here; another one is refused.
pub const WIRE_VERSION: u8 = 1;
/// Most bytes of one message between daemons.
pub const MAX_MESSAGE: usize = 64 * 1024 * 1024;

/// Why bytes could not be read.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The message is empty or larger than allowed.
    #[error("a message of {0} bytes")]
    Size(usize),
    /// The version byte is another one.
    #[error("wire version {0}, {WIRE_VERSION} is read here")]
    Version(u8),
    /// The bytes are not such a message.
    #[error("malformed message")]
    Malformed(#[from] postcard::Error),
    /// A whole message was followed by more bytes.
    #[error("{0} bytes after the message")]
    Trailing(usize),
}

/// Encodes `value` with the version byte.
///
/// # Panics
///
/// Panics if the type cannot be serialized, which the wire types of this crate always can.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![WIRE_VERSION]).expect("wire types serialize into memory")
}

/// Decodes what [`encode`] wrote.
///
/// # Errors
///
/// Refuses another version, malformed bytes and trailing bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    if bytes.is_empty() || bytes.len() > MAX_MESSAGE {
        return Err(DecodeError::Size(bytes.len()));
    }
    if bytes[0] != WIRE_VERSION {
        return Err(DecodeError::Version(bytes[0]));
    }
    let (value, rest) = postcard::take_from_bytes(&bytes[1..])?;
    if rest.is_empty() { Ok(value) } else { Err(DecodeError::Trailing(rest.len())) }
}
