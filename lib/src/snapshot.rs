//! Snapshots of the replicated state. They are stored in the log, since its old entries expire and
//! hosts have no disks.

use std::collections::BTreeMap;

use crate::ids::Offset;
use crate::record::SnapshotPart;
use crate::replicated_state::ReplicatedState;
use crate::wire;

/// Size of one part in bytes.
const PART_SIZE: usize = 16 * 1024;
/// Largest snapshot in bytes that is read back.
const MAX_SNAPSHOT: usize = 256 * 1024 * 1024;

/// Splits a state into the parts of a snapshot.
pub fn split(state: &ReplicatedState) -> Vec<SnapshotPart> {
    let bytes = wire::encode(state);
    let hash = xxhash_rust::xxh3::xxh3_64(&bytes);
    let chunks = bytes.chunks(PART_SIZE);
    let parts = chunks.len() as u32;
    chunks
        .zip(0..)
        .map(|(chunk, part)| SnapshotPart {
            at: state.offset,
            part,
            parts,
            hash,
            bytes: chunk.to_vec(),
        })
        .collect()
}

#[derive(Debug)]
struct Pending {
    parts: BTreeMap<u32, Vec<u8>>,
    size: usize,
}

/// Assembles snapshots from their parts, which several daemons may have written at the same time.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    pending: BTreeMap<(Offset, u64), Pending>,
}

impl SnapshotAssembler {
    /// Adds a part; returns the state once all its parts are present and their hash matches.
    ///
    /// Parts are grouped by offset and hash, so those of different snapshots do not mix. A
    /// duplicate is ignored. A damaged snapshot is dropped as a whole.
    pub fn add_part(&mut self, part: &SnapshotPart) -> Option<ReplicatedState> {
        let key = (part.at, part.hash);
        let pending =
            self.pending.entry(key).or_insert_with(|| Pending { parts: BTreeMap::new(), size: 0 });
        if pending.parts.insert(part.part, part.bytes.clone()).is_none() {
            pending.size += part.bytes.len();
        }
        if pending.size > MAX_SNAPSHOT {
            self.pending.remove(&key);
            return None;
        }
        if pending.parts.len() < part.parts as usize {
            return None;
        }
        let bytes = self.pending.remove(&key)?.parts.into_values().collect::<Vec<_>>().concat();
        if xxhash_rust::xxh3::xxh3_64(&bytes) != part.hash {
            return None;
        }
        let state: ReplicatedState = wire::decode(&bytes).ok()?;
        (state.offset == part.at).then_some(state)
    }
}
