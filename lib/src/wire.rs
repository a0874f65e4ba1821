//! Encodes messages between daemons and stored records: a version byte, then `postcard`.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// First byte of every encoded value; any other value is refused.
pub const WIRE_VERSION: u8 = 1;
/// Maximum size in bytes of one message between daemons.
pub const MAX_MESSAGE: usize = 64 * 1024 * 1024;

/// Why bytes could not be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The message is empty or larger than allowed.
    #[error("a message of {0} bytes")]
    Size(usize),
    /// The version byte is not [`WIRE_VERSION`].
    #[error("wire version {0}, {WIRE_VERSION} is read here")]
    Version(u8),
    /// The bytes are not a valid encoding of the type.
    #[error("malformed message")]
    Malformed(#[from] postcard::Error),
    /// A complete message was followed by more bytes.
    #[error("{0} bytes after the message")]
    Trailing(usize),
}

/// Encodes `value` with the version byte.
///
/// # Panics
///
/// Panics if the type cannot be serialized, which does not happen for the wire types of this crate.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![WIRE_VERSION]).expect("cannot serialize a wire type")
}

/// Decodes the output of [`encode`].
///
/// # Errors
///
/// The size is not allowed, the version differs, or the bytes are malformed or followed by others.
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
