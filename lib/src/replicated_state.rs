//! The state that each daemon computes from the log; it is equal on all daemons at the same offset.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::CentreId;
use crate::ids::ClaimKey;
use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::Mebibytes;
use crate::ids::ModelName;
use crate::ids::Offset;
use crate::ids::Position;
use crate::ids::ServerId;
use crate::ids::SlotId;
use crate::record::ServerFacts;
use crate::record::StoredResponse;
use crate::slots::Slot;
use crate::slots::Slots;
use crate::table::Table;
use crate::verdict::Verdict;

/// The right to give orders to the backend servers of a data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Daemon that holds the lease.
    pub daemon: DaemonId,
    /// Counts the holder's starts.
    pub incarnation: Incarnation,
    /// Position of the record that granted the lease. Invariant: increases with each holder.
    pub fence: Fence,
    /// Position of the last renewal, initially of the grant.
    pub renewed: Position,
}

/// A claimed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Daemon that may run the request. Invariant: never changes while the claim exists.
    pub daemon: DaemonId,
    /// Counts the starts of that daemon.
    pub incarnation: Incarnation,
    /// Log time of the claim, in ticks.
    pub tick: u64,
    /// Outcome of the request; `None` until it is settled.
    pub end: Option<ClaimEnd>,
}

/// The outcome of a claimed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimEnd {
    /// Whether the request ran. Invariant: not [`Verdict::DidNotRun`], which releases the claim.
    pub verdict: Verdict,
    /// The response, if it was small enough to keep.
    pub answer: Option<StoredResponse>,
}

/// One edit in the history of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The edit's id.
    pub id: SmolStr,
    /// Operator who made the edit.
    pub author: SmolStr,
    /// Position of the edit in the log.
    pub position: Position,
    /// Rows that the edit names.
    pub rows: Vec<ModelName>,
    /// Row that conflicted; `None` if the edit was accepted.
    pub conflict: Option<ModelName>,
}

/// Most history entries that are kept. Deduplication relies on this: a writer retries an edit long
/// before this many other edits follow it.
pub const MAX_HISTORY: usize = 4096;

/// State that the fold computes. Invariant: two daemons at the same offset have equal states.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReplicatedState {
    /// Offset of the next entry to read.
    pub offset: Offset,
    /// The operators' table.
    pub table: Table,
    /// Edits, newest last.
    pub history: VecDeque<HistoryEntry>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerId, ServerFacts>,
    /// Leases by data centre.
    pub leases: BTreeMap<CentreId, Lease>,
    /// Slots in use.
    pub slots: Slots,
    /// Claims of requests that must not run twice.
    pub claims: BTreeMap<ClaimKey, Claim>,
    /// Tick at which each claim was made, and its key, in the order in which the claims expire.
    pub expiry: VecDeque<(u64, ClaimKey)>,
    /// Last entry of each writer.
    pub writers: BTreeMap<DaemonId, WriterState>,
    /// The log's clock: ticks are at least [`TICK_PERIOD_S`] seconds apart.
    pub tick: u64,
}

/// Last entry of one writer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriterState {
    /// Counts the writer's starts.
    pub incarnation: Incarnation,
    /// Sequence number of its last entry.
    pub sequence: u64,
    /// Log time of its last entry, in ticks.
    pub tick: u64,
}

/// Minimum time between two ticks of the log's clock, in seconds.
pub const TICK_PERIOD_S: u64 = 60;
/// Ticks for which a claim is kept; a retry of its request is recognized within this time.
pub const CLAIM_TTL_TICKS: u64 = 24 * 60;
/// Ticks after which a writer that appended nothing is removed from the state.
pub const WRITER_TTL_TICKS: u64 = 3 * 24 * 60;

impl ReplicatedState {
    /// Returns the slots of `model` with their ids.
    pub fn slots_of<'a>(&'a self, model: &'a str) -> impl Iterator<Item = (SlotId, &'a Slot)> + 'a {
        self.slots.of_model(model)
    }

    /// Returns the memory of `server` that its slots use.
    pub fn memory_used(&self, server: &str) -> Mebibytes {
        self.slots.on_server(server).map(|(_, s)| s.memory_mib).sum()
    }

    /// Returns the lease that covers `server`.
    pub fn lease_of(&self, server: &str) -> Option<&Lease> {
        self.leases.get(&self.servers.get(server)?.centre)
    }

    /// Returns a hash of the whole state; daemons compare it at equal offsets.
    pub fn hash(&self) -> u64 {
        xxh3_64(&crate::wire::encode(self))
    }

    /// Returns the claim `key`; `None` if it was never made, was released or has expired.
    pub fn claim(&self, key: ClaimKey) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// Returns the history entry of the edit `id`.
    pub fn edit(&self, id: &str) -> Option<&HistoryEntry> {
        self.history.iter().rev().find(|entry| entry.id == id)
    }
}
