//! The service and software version that began a stream.

use std::hash::Hasher as _;

use xxhash_rust::xxh3::Xxh3;

use crate::cluster::configuration::ServiceName;
use crate::ids::SoftwareVersion;

/// Hash of the id of the caller's attempt that brought a stream's first event.
pub type StreamKey = u64;

/// Hash of a [`StreamOrigin`], short enough for a record of every stream.
pub type OriginHash = u32;

/// The service and software version that began a stream. Other versions may write different events for the same
/// request, so only servers of this one may continue it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The software version; never empty.
    pub version: SoftwareVersion,
}

impl StreamOrigin {
    /// Returns the origin's hash.
    pub fn hash(&self) -> OriginHash {
        let mut hasher = Xxh3::new();
        hasher.write_u64(self.service.len() as u64);
        hasher.write(self.service.as_bytes());
        hasher.write(self.version.as_bytes());
        // The low bits of a good hash are as good as any.
        hasher.finish() as OriginHash
    }
}

/// Returns the key of the stream whose first event the attempt `id` brought.
pub fn stream_key(id: &str) -> StreamKey {
    let mut hasher = Xxh3::new();
    hasher.write(id.as_bytes());
    hasher.finish()
}
