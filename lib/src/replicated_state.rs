//! What the log says, as every daemon that has read it to the same place knows it.

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

/// A lease of a data centre's backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// The holder.
    pub daemon: DaemonId,
    /// The holder's start count.
    pub incarnation: Incarnation,
    /// Position of the record that granted it. Invariant: grows with each holder.
    pub fence: Fence,
    /// Position of the last renewal, at first of the grant.
    pub renewed: Position,
}

/// A claimed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Daemon that may run it. Invariant: never changes while the claim stands.
    pub daemon: DaemonId,
    /// That daemon's start count.
    pub incarnation: Incarnation,
    /// Log time at which it was claimed, in ticks.
    pub tick: u64,
    /// How it ended, once known.
    pub end: Option<ClaimEnd>,
}

/// How a claimed request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimEnd {
    /// What is known. Invariant: not [`Verdict::DidNotRun`], which releases the claim.
    pub verdict: Verdict,
    /// The answer, where it was small enough.
    pub answer: Option<StoredResponse>,
}

/// A line of the table's history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The edit's id.
    pub id: SmolStr,
    /// Who made it.
    pub author: SmolStr,
    /// Where it stands in the log.
    pub position: Position,
    /// The rows it names.
    pub rows: Vec<ModelName>,
    /// Row that conflicted; none where the edit was accepted.
    pub conflict: Option<ModelName>,
}

/// Most lines of history kept. Invariant of deduplication: an edit is repeated by its writer long
/// before this many others follow it.
pub const MAX_HISTORY: usize = 4096;

/// State that the fold computes. Two daemons at the same offset have equal states.
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
    /// Slots that are taken.
    pub slots: Slots,
    /// Requests that may not be repeated.
    pub claims: BTreeMap<ClaimKey, Claim>,
    /// Claims in the order in which they expire.
    pub expiry: VecDeque<(u64, ClaimKey)>,
    /// Last entry of each writer.
    pub writers: BTreeMap<DaemonId, WriterState>,
    /// The log's clock: ticks are at least [`TICK_PERIOD_S`] seconds apart.
    pub tick: u64,
}

/// Last entry of one writer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriterState {
    /// The writer's start count.
    pub incarnation: Incarnation,
    /// Sequence number of its last entry.
    pub sequence: u64,
    /// Log time of it, in ticks.
    pub tick: u64,
}

/// Least seconds between two ticks of the log's clock.
pub const TICK_PERIOD_S: u64 = 60;
/// Ticks for which a claim is kept: a repeat within this time is recognized.
pub const CLAIM_TTL_TICKS: u64 = 24 * 60;
/// Ticks after which a silent writer is forgotten.
pub const WRITER_TTL_TICKS: u64 = 3 * 24 * 60;

impl ReplicatedState {
    /// Returns the slots of `model`, with their identities.
    pub fn slots_of<'a>(&'a self, model: &'a str) -> impl Iterator<Item = (SlotId, &'a Slot)> + 'a {
        self.slots.of_model(model)
    }

    /// Returns the memory of `server` that slots have taken.
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

    /// Returns where the claimed request stands.
    pub fn claim(&self, key: ClaimKey) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// Returns the history line of the edit `id`.
    pub fn edit(&self, id: &str) -> Option<&HistoryEntry> {
        self.history.iter().rev().find(|line| line.id == id)
    }
}
