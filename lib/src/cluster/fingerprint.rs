//! Fingerprints, which identify the attempts of one request across daemons.

use std::fmt;

use http::Method;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use smol_str::SmolStr;

use crate::ids::PartId;
use crate::protocol::FormatError;

/// Length of a fingerprint in bytes: long enough that nobody can forge a request with another one's fingerprint.
const FINGERPRINT_BYTES: usize = 16;
/// Number of bytes that log lines show.
const LOGGED_BYTES: usize = 4;

/// Hash of a request's method, host, path and body, equal for all its attempts at any daemon.
///
/// An attempt's id, deadline, hints and resume position are not included, since callers may change them with every
/// attempt. Neither is the model: a request that is moved to another model of its route is still the same request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request; `path` includes the query.
    pub fn new(method: &Method, host: &str, path: &str, body: &[u8]) -> Self {
        Self::of_fields(&[method.as_str().as_bytes(), host.as_bytes(), path.as_bytes(), body])
    }

    /// Computes the fingerprint of a part of prompts at a service, which no request has.
    pub fn of_prompt_part(service: &str, id: PartId) -> Self {
        Self::of_fields(&[b"prompt part", service.as_bytes(), &id.to_be_bytes()])
    }

    fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        // Each field is prefixed with its length, so that bytes cannot shift from one field to the next.
        for field in fields {
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Returns its key in the store, in hexadecimal.
    pub fn key(&self) -> SmolStr {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// Parses a key of the store.
impl TryFrom<&str> for Fingerprint {
    type Error = FormatError;

    fn try_from(key: &str) -> Result<Self, FormatError> {
        let number =
            u128::from_str_radix(key, 16).ok().filter(|_| key.len() == 2 * FINGERPRINT_BYTES);
        let number = number.ok_or_else(|| FormatError(format!("not a fingerprint: {key:?}")))?;
        Ok(Self(number.to_be_bytes()))
    }
}

/// Writes the first bytes in hexadecimal, which suffice to distinguish requests in a log.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..LOGGED_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
