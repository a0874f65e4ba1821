//! What daemons write to the platform's log.

use serde::Deserialize;
use serde::Serialize;

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
use crate::table::Edit;
use crate::verdict::Verdict;

/// One entry of the log: records that one daemon appended together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// The daemon that wrote it.
    pub writer: DaemonId,
    /// The writer's start count.
    pub incarnation: Incarnation,
    /// Grows with each new entry of this start. An append whose answer was lost is repeated with
    /// the same number, and the fold ignores the second.
    pub sequence: u64,
    /// The records. Invariant: at most [`crate::ids::MAX_BATCH`].
    pub records: Vec<Record>,
}

/// One record of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// Changes table rows.
    Edit(Edit),
    /// States what a backend server is; a new incarnation frees all slots of the old one.
    Server(ServerFacts),
    /// The host list no longer has this incarnation of a backend server: its slots are free.
    Gone(ServerId, Incarnation),
    /// Bids for the lease of a data centre.
    Bid(Bid),
    /// Renews every lease of the writer.
    Renew,
    /// Gives up the lease of a data centre.
    Release(CentreId, Fence),
    /// Reserves a replica of a model on a backend server, then orders it to load.
    Intent(Intent),
    /// Moves a slot to another phase.
    Phase(PhaseChange),
    /// Frees a slot after a positive report that nothing of it is loaded.
    Freed(Freed),
    /// Claims the right to run a request that may not be repeated.
    Claim(ClaimKey),
    /// States the end of a claimed request.
    Settle(Settlement),
    /// Advances the log's own clock, once a period, by whoever comes first.
    Tick(u64),
    /// One part of a snapshot of the fold's state.
    Snapshot(SnapshotPart),
}

/// What a backend server is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerFacts {
    /// Its name.
    pub id: ServerId,
    /// Start count of its host.
    pub incarnation: Incarnation,
    /// Its data centre, whose lease covers it.
    pub centre: CentreId,
    /// Accelerator memory.
    pub memory_mib: Mebibytes,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
}

/// A bid for a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bid {
    /// The data centre.
    pub centre: CentreId,
    /// Position of the last renewal that the bidder has seen; 0 where there was no holder. The
    /// bid is valid only if no renewal lies between.
    pub seen: Position,
}

/// A decision to keep a replica of a model on a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Intent {
    /// The model.
    pub model: ModelName,
    /// The backend server.
    pub server: ServerId,
    /// Incarnation of the backend server that the decision was made for.
    pub incarnation: Incarnation,
    /// Fencing number of the writer's lease.
    pub fence: Fence,
    /// Where the load will read its checkpoint.
    pub source: Source,
}

/// Where a load reads its checkpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The backend server's memory.
    Memory,
    /// The backend server's disk.
    Disk,
    /// The weight store, whose rate all loads share.
    Remote,
}

/// What is known of a slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// Count and memory are taken, and nothing is loaded.
    Reserved,
    /// An order to load was or will be sent; the checkpoint comes from this source.
    Loading(Source),
    /// The engine reported the model loaded.
    Loaded,
    /// Routers send no new request; it will be unloaded.
    Draining,
}

impl Phase {
    /// Returns whether an order to load may be under way.
    pub fn is_loading(self) -> bool {
        matches!(self, Self::Loading(_))
    }

    /// Returns whether the slot is on its way to another phase.
    pub fn is_transitional(self) -> bool {
        matches!(self, Self::Loading(_) | Self::Draining)
    }
}

/// A slot's change of phase.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PhaseChange {
    /// The slot.
    pub slot: SlotId,
    /// Fencing number of the writer's lease.
    pub fence: Fence,
    /// The new phase.
    pub phase: Phase,
}

/// Statement that a slot holds nothing any more.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Freed {
    /// The slot.
    pub slot: SlotId,
    /// Fencing number of the writer's lease.
    pub fence: Fence,
    /// Whether the host list said that the daemon that gave the last order is gone. Needed on a
    /// backend server that ignores fencing numbers, where a late order of another daemon may
    /// still arrive.
    pub orderer_gone: bool,
}

/// End of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settlement {
    /// The claim.
    pub key: ClaimKey,
    /// What is known. [`Verdict::DidNotRun`] releases the claim.
    pub verdict: Verdict,
    /// The answer, where it is small enough to keep.
    pub answer: Option<StoredResponse>,
}

/// An answer of a plain service, kept for a repeat of the same request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// One part of a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SnapshotPart {
    /// The snapshot holds the state before this offset.
    pub at: Offset,
    /// Number of this part, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// Hash of the whole state, by which parts of one snapshot are joined.
    pub hash: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}
