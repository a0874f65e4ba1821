//! Entries and records that daemons append to the platform's log, in their stored format.

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

/// One entry of the log: records that one daemon appended in one call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// The daemon that wrote it.
    pub writer: DaemonId,
    /// Counts the writer's starts.
    pub incarnation: Incarnation,
    /// Increases with each new entry of this start. An append whose answer was not received is
    /// retried with the same number, and the fold ignores the second copy.
    pub sequence: u64,
    /// Invariant: at most [`crate::ids::MAX_BATCH`].
    pub records: Vec<Record>,
}

/// One record of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// Changes table rows.
    Edit(Edit),
    /// Describes a backend server; a new incarnation frees all slots of the old one.
    Server(ServerFacts),
    /// Frees the slots of an incarnation of a backend server that the host list no longer has.
    Gone(ServerId, Incarnation),
    /// Bids for the lease of a data centre.
    Bid(Bid),
    /// Renews every lease of the writer.
    Renew,
    /// Releases the lease of a data centre.
    Release(CentreId, Fence),
    /// Reserves a slot for a replica of a model on a backend server, before the order to load it.
    Intent(Intent),
    /// Moves a slot to another phase.
    Phase(PhaseChange),
    /// Frees a slot after its backend server reported that nothing of it is loaded.
    Freed(Freed),
    /// Claims the right to run a request that must not run twice.
    Claim(ClaimKey),
    /// Records the outcome of a claimed request.
    Settle(Settlement),
    /// Advances the log's clock. Once per period, the record of the daemon that appends first
    /// counts.
    Tick(u64),
    /// One part of a snapshot of the replicated state.
    Snapshot(SnapshotPart),
}

/// Properties of a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerFacts {
    /// Name of the server in the host list.
    pub id: ServerId,
    /// Counts the starts of its host.
    pub incarnation: Incarnation,
    /// Its data centre. The lease of that data centre covers the server.
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
    /// Position of the last renewal that the bidder has read; 0 if there was no holder. The bid is
    /// valid only if there is no renewal between that position and the bid.
    pub seen: Position,
}

/// A decision to load a replica of a model on a backend server.
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
    /// Where the load is planned to read its checkpoint.
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
    /// The weight store; all loads from it share its bandwidth.
    Remote,
}

/// Phase of a slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// The replica is counted and its memory is taken, but nothing is loaded.
    Reserved,
    /// An order to load was or will be sent; the checkpoint is read from this source.
    Loading(Source),
    /// The engine reported the model loaded.
    Loaded,
    /// Routers send it no new requests; it will be unloaded.
    Draining,
}

impl Phase {
    /// Returns whether an order to load may be in progress.
    pub fn is_loading(self) -> bool {
        matches!(self, Self::Loading(_))
    }

    /// Returns whether the slot is being loaded or unloaded.
    pub fn is_transitional(self) -> bool {
        matches!(self, Self::Loading(_) | Self::Draining)
    }
}

/// A change of the phase of a slot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PhaseChange {
    /// The slot.
    pub slot: SlotId,
    /// Fencing number of the writer's lease.
    pub fence: Fence,
    /// The new phase.
    pub phase: Phase,
}

/// The release of a slot that holds nothing any more.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Freed {
    /// The slot.
    pub slot: SlotId,
    /// Fencing number of the writer's lease.
    pub fence: Fence,
    /// Whether the daemon that gave the last order is no longer in the host list. Required if the
    /// backend server ignores fencing numbers, since a late order of another daemon may still
    /// arrive there.
    pub orderer_gone: bool,
}

/// The outcome of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settlement {
    /// The claim.
    pub key: ClaimKey,
    /// Whether the request ran; [`Verdict::DidNotRun`] releases the claim.
    pub verdict: Verdict,
    /// The response, if it is small enough to keep.
    pub answer: Option<StoredResponse>,
}

/// A response of a plain service, kept to answer retries of the same request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// One part of a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SnapshotPart {
    /// The snapshot contains the state before the entry at this offset.
    pub at: Offset,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts of the snapshot.
    pub parts: u32,
    /// Hash of the whole state; parts with the same hash belong to one snapshot.
    pub hash: u64,
    /// Slice of the encoded state.
    pub bytes: Vec<u8>,
}
