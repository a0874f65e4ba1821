//! What makes two attempts the same request.

use std::fmt;

use http::Method;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use smol_str::SmolStr;

use crate::protocol::FormatError;

/// Bytes of a fingerprint: too many for anyone to make a request that passes for another one.
const BYTES: usize = 16;
/// Bytes that log lines show.
const SHOWN: usize = 4;

/// A request by its method, host, path and body, the same for each of its attempts at any daemon.
///
/// Callers may send an attempt's id, deadline, hints and the place in a broken stream anew each time, so these are not
/// part of it. The model is not either: it may be moved to another one of its route and still be the same request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Takes the fingerprint of a request; `path` with its query.
    pub fn new(method: &Method, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        // With their lengths, so that no letter can move from one part to the next.
        for part in [method.as_str().as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash.finalize()[..BYTES]);
        Self(bytes)
    }

    /// Returns its key in the store.
    pub fn key(&self) -> SmolStr {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// Reads a key of the store.
impl TryFrom<&str> for Fingerprint {
    type Error = FormatError;

    fn try_from(key: &str) -> Result<Self, FormatError> {
        let number = u128::from_str_radix(key, 16).ok().filter(|_| key.len() == 2 * BYTES);
        let number = number.ok_or_else(|| FormatError(format!("no fingerprint: {key:?}")))?;
        Ok(Self(number.to_be_bytes()))
    }
}

/// Shows its first bytes, which tell requests apart in a log.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..SHOWN].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
