//! Identifiers and units shared by every module.

use std::hash::Hasher;

use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;

/// Name of a table row: a model, adapter, version or plain service.
pub type ModelName = SmolStr;
/// Name of a backend server.
pub type ServerId = SmolStr;
/// Name of a daemon, unique among the entry hosts.
pub type DaemonId = SmolStr;
/// Id of a part of a prompt, which requests share.
pub type PartId = u128;
/// Name of a data centre. Each has one lease, whose holder gives orders to its backend servers.
pub type CentreId = SmolStr;
/// Name of a caller; request limits and idempotency keys are kept per caller.
pub type CallerId = SmolStr;
/// Offset of an entry in the platform's log.
pub type Offset = u64;
/// Offset in a feed of the platform's store, which contains the store's era; see [`crate::feed_offset`].
pub type FeedOffset = u64;
/// Number of times that the platform's store was restored from an older copy.
pub type StoreEra = u64;
/// Position of a record in the log: the entry's offset combined with the record's index in it.
pub type Position = u64;
/// Fencing number of a lease: the position of the record that granted it.
pub type Fence = Position;
/// Start count of a process or host; each later start has a larger number.
pub type Incarnation = u64;
/// Start time of a backend server in Unix milliseconds, by its own clock; a later start has a
/// larger value.
pub type StartTime = u64;
/// Version of a backend server's software, as its directory entry states it.
pub type SoftwareVersion = SmolStr;
/// Identity of a slot: the position of the record that reserved it.
pub type SlotId = Position;
/// Identity of a request, unique within one incarnation of a daemon.
pub type RequestId = u64;
/// Accelerator memory or checkpoint size, in mebibytes.
pub type Mebibytes = u64;

/// Number of low bits of a [`Position`] that hold the record's index in its entry.
pub const INDEX_BITS: u32 = 10;
/// Maximum number of records in one entry.
pub const MAX_BATCH: usize = 1 << INDEX_BITS;

/// Number of low bits of an order's fencing number that count the orders under one lease.
pub const ORDER_BITS: u32 = 24;

/// Returns the fencing number of an order: the offset of the lease in the high bits, the order's
/// count in the low bits.
///
/// Every order under a later lease has a greater number than all orders under earlier ones. Under
/// one lease, each order has a greater number than those before it, so an order that arrives after
/// a later one was carried out is refused. Offsets must stay below 2^40, which suffices for 70
/// years at 500 appends a second.
pub fn order_fence(lease: Fence, count: u64) -> Fence {
    (offset_of(lease) << ORDER_BITS) | (count & ((1 << ORDER_BITS) - 1))
}

/// Combines an entry's offset and a record's index into a position.
///
/// No position is 0, not even that of the log's first record, because 0 stands for "never".
pub fn position(offset: Offset, index: usize) -> Position {
    ((offset + 1) << INDEX_BITS) | (index as u64 & ((1 << INDEX_BITS) - 1))
}

/// Returns the offset of the entry that holds `position`.
pub fn offset_of(position: Position) -> Offset {
    (position >> INDEX_BITS).saturating_sub(1)
}

/// Identity of a request that must not run twice: a hash of its caller, service and idempotency
/// key.
pub type ClaimKey = u128;

/// Hashes a caller, a service and the caller's idempotency key into a claim key.
///
/// Each part is hashed with its length, so that no other division of the same letters into parts
/// gives the same key.
pub fn claim_key(caller: &str, service: &str, key: &str) -> ClaimKey {
    let mut hasher = Xxh3::new();
    for part in [caller, service, key] {
        hasher.write_u64(part.len() as u64);
        hasher.write(part.as_bytes());
    }
    hasher.digest128()
}
