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
/// Name of a data centre. It is also the unit of leases: one holder orders its backend servers.
pub type CentreId = SmolStr;
/// Name under which a caller's limits and idempotency keys are kept.
pub type CallerId = SmolStr;
/// Offset of an entry in the platform's log.
pub type Offset = u64;
/// Place of a record in the log: the entry's offset and the record's index inside the entry.
pub type Position = u64;
/// Fencing number of a lease: the position of the record that granted it.
pub type Fence = Position;
/// Start count of a process or host; a later start has a larger number.
pub type Incarnation = u64;
/// Unix millisecond of a backend server's start, by its own clock; a later start has a larger one.
pub type StartTime = u64;
/// Identity of a slot: the position of the record that reserved it.
pub type SlotId = Position;
/// Identity of a request, unique for one daemon's start.
pub type RequestId = u64;
/// Accelerator memory or checkpoint size, in mebibytes.
pub type Mebibytes = u64;

/// Bits of a [`Position`] that number the records of one entry.
pub const INDEX_BITS: u32 = 10;
/// Most records one entry may hold.
pub const MAX_BATCH: usize = 1 << INDEX_BITS;

/// Bits of a fencing number that count the orders under one lease.
pub const ORDER_BITS: u32 = 24;

/// Returns the fencing number of an order: the lease's place in the log, then the order's count.
///
/// A later lease has a greater number than every order of an earlier one. Under one lease, too,
/// each order has a greater number than those before: an order that arrives after a later one was
/// carried out is refused. With offsets below 2^40 this lasts for 70 years of 500 appends a second.
pub fn order_fence(lease: Fence, count: u64) -> Fence {
    (offset_of(lease) << ORDER_BITS) | (count & ((1 << ORDER_BITS) - 1))
}

/// Joins an entry's offset and a record's index to a position.
///
/// No position is 0, which stands for "never": the log's first record must not look like none.
pub fn position(offset: Offset, index: usize) -> Position {
    ((offset + 1) << INDEX_BITS) | (index as u64 & ((1 << INDEX_BITS) - 1))
}

/// Returns the offset of the entry that holds `position`.
pub fn offset_of(position: Position) -> Offset {
    (position >> INDEX_BITS).saturating_sub(1)
}

/// Identity of a request that may not be repeated: a hash of its caller, path and key.
pub type ClaimKey = u128;

/// Hashes a caller, a service and the caller's idempotency key to a claim key.
///
/// The parts are separated, so that two callers cannot meet by shifting letters between them.
pub fn claim_key(caller: &str, service: &str, key: &str) -> ClaimKey {
    let mut hasher = Xxh3::new();
    for part in [caller, service, key] {
        hasher.write_u64(part.len() as u64);
        hasher.write(part.as_bytes());
    }
    hasher.digest128()
}
