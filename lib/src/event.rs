//! What goes into the control state machine and what comes out.
//!
//! Events can be written to a trace and replayed; see [`crate::trace`].

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::demand::WaitingRequests;
use crate::host::Host;
use crate::host::Order;
use crate::host::OrderAnswer;
use crate::host::ServerReport;
use crate::ids::ClaimKey;
use crate::ids::DaemonId;
use crate::ids::ModelName;
use crate::ids::Offset;
use crate::ids::ServerId;
use crate::record::Entry;
use crate::record::Settlement;
use crate::record::StoredResponse;
use crate::table::Edit;
use crate::verdict::Verdict;

/// Something that the control state machine learns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The next entry of the log, from the log itself or from a peer.
    Entry(Offset, Entry),
    /// The log answered a read, with or without entries.
    LogRead,
    /// The log failed to answer a read.
    LogFailed,
    /// The log answered an append, or failed to.
    Appended {
        /// Sequence number of the entry.
        sequence: u64,
        /// Whether it is known to have been appended.
        done: bool,
    },
    /// A complete host list.
    Hosts(Vec<Host>),
    /// An engine's load report; none where it did not answer.
    Report(ServerId, Option<ServerReport>),
    /// An engine's answer to an order.
    Ordered(Order, OrderAnswer),
    /// A daemon's waiting requests.
    Demand(DaemonId, Vec<WaitingRequests>),
    /// What the holder of a data centre's lease says of replicas that the log does not show yet.
    Hints(DaemonId, Vec<Hint>),
    /// An operator's edit.
    Edit(Edit),
    /// A request wants to run and may not be repeated.
    Claim(ClaimKey),
    /// A claim is no longer wanted, and nothing was sent.
    Unclaim(ClaimKey),
    /// A claimed request ended.
    Settle(Settlement),
    /// The daemon is about to stop.
    Stop,
}

/// A replica whose readiness the log does not show yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hint {
    /// The model.
    pub model: ModelName,
    /// The backend server.
    pub server: ServerId,
}

/// What became of a request's claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// This daemon may run it, once.
    Granted,
    /// Another request has it, run by this daemon.
    Taken(DaemonId),
    /// It was run by this daemon and ended.
    Ended(DaemonId, Verdict, Option<StoredResponse>),
    /// The log does not answer, and nothing was claimed that will be run.
    LogDown,
}

/// What became of an edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EditAnswer {
    /// It is in force from this log position on.
    Accepted(u64),
    /// This row changed after the author looked.
    Conflict(ModelName),
}

/// Something that the control state machine wants done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Effect {
    /// Append this entry to the log.
    Append(Entry),
    /// Ask a backend server for its report.
    Poll(ServerId),
    /// Give an order to an engine, unless it is this late; checked again just before the write.
    Order(Order, Option<Duration>),
    /// Tell the waiting request.
    Claimed(ClaimKey, ClaimAnswer),
    /// Tell the operator.
    Edited(Edit, EditAnswer),
    /// What routers see has changed.
    Publish,
    /// Log a decision.
    Decide(Decision),
}

/// A decision and its reason, one log line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// What was decided.
    pub action: DecisionKind,
    /// The model, where it concerns one.
    pub model: ModelName,
    /// The backend server or data centre, where it concerns one.
    pub place: ServerId,
    /// Why, in a few words.
    pub reason: String,
}

/// Kind of a control decision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DecisionKind {
    /// Reserve a new slot and load.
    Place,
    /// Load into a slot that is reserved.
    Wake,
    /// A load finished.
    Ready,
    /// Send no new requests, then unload.
    Drain,
    /// Unload now.
    Unload,
    /// Keep loaded after all.
    Retain,
    /// Give a slot back.
    Free,
    /// Bid for a lease.
    Bid,
    /// A lease was won.
    Lead,
    /// A lease was lost.
    Yield,
    /// An edit was accepted.
    Accept,
    /// An edit or record was rejected.
    Reject,
    /// A load waits, for the weight store or for memory.
    Hold,
}

impl DecisionKind {
    /// Returns the word of the log line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Place => "place",
            Self::Wake => "wake",
            Self::Ready => "ready",
            Self::Drain => "drain",
            Self::Unload => "unload",
            Self::Retain => "retain",
            Self::Free => "free",
            Self::Bid => "bid",
            Self::Lead => "lead",
            Self::Yield => "yield",
            Self::Accept => "accept",
            Self::Reject => "reject",
            Self::Hold => "hold",
        }
    }
}

/// An event and when it happened, on the daemon's monotonic clock.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TimedEvent {
    /// Time since the daemon's start.
    pub at: Duration,
    /// The event.
    pub event: Event,
}
