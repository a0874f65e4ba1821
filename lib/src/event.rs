//! Inputs (events) and outputs (effects) of the control state machine.
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

/// An input of the control state machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Event {
    /// Periodic tick, for everything that depends on time.
    Tick,
    /// The next entry of the log, from the log itself or from a peer.
    Entry(Offset, Entry),
    /// A read of the log succeeded, with or without entries.
    LogRead,
    /// A read of the log failed.
    LogFailed,
    /// An append to the log succeeded or failed.
    Appended {
        /// Sequence number of the entry.
        sequence: u64,
        /// Whether it is known to have been appended.
        done: bool,
    },
    /// A complete host list.
    Hosts(Vec<Host>),
    /// An engine's report; `None` if it did not answer.
    Report(ServerId, Option<ServerReport>),
    /// An engine's answer to an order.
    Ordered(Order, OrderAnswer),
    /// A daemon's waiting requests.
    Demand(DaemonId, Vec<WaitingRequests>),
    /// Replicas that a lease holder reports as ready before the log shows it.
    Hints(DaemonId, Vec<Hint>),
    /// An operator's edit.
    Edit(Edit),
    /// A request that must not run twice needs a claim before it is sent.
    Claim(ClaimKey),
    /// A claim is no longer needed; the request was not sent.
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

/// Result of a request's claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// This daemon may run the request once.
    Granted,
    /// Another request with the same key is in progress at the named daemon.
    Taken(DaemonId),
    /// A request with the same key ended at the named daemon.
    Ended(DaemonId, Verdict, Option<StoredResponse>),
    /// The log is unavailable; no claim was made under which the request would run.
    LogDown,
}

/// Result of an edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EditAnswer {
    /// It takes effect at this log position.
    Accepted(u64),
    /// The named row changed since the version that the edit is based on.
    Conflict(ModelName),
}

/// An action that the control state machine requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Effect {
    /// Append this entry to the log.
    Append(Entry),
    /// Fetch the report of a backend server.
    Poll(ServerId),
    /// Send an order to an engine unless this time has passed. The time is checked again just
    /// before the write.
    Order(Order, Option<Duration>),
    /// Send the result to the request that waits for the claim.
    Claimed(ClaimKey, ClaimAnswer),
    /// Send the result to the operator.
    Edited(Edit, EditAnswer),
    /// Publish the routing view, which has changed.
    Publish,
    /// Log a decision.
    Decide(Decision),
}

/// A decision and its reason; becomes one log line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// What was decided.
    pub action: DecisionKind,
    /// The model; empty if the decision concerns none.
    pub model: ModelName,
    /// The backend server or data centre; empty if the decision concerns none.
    pub place: ServerId,
    /// The reason in a few words.
    pub reason: String,
}

/// Kind of a control decision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DecisionKind {
    /// Reserve a new slot and load the model into it.
    Place,
    /// Load the model into its reserved slot.
    Wake,
    /// A load finished.
    Ready,
    /// Send no new requests, then unload.
    Drain,
    /// Unload now.
    Unload,
    /// Cancel a drain and keep the model loaded.
    Retain,
    /// Free a slot.
    Free,
    /// Bid for a lease.
    Bid,
    /// A lease was acquired.
    Lead,
    /// This daemon no longer holds a lease.
    Yield,
    /// An edit was accepted.
    Accept,
    /// An edit or record was rejected.
    Reject,
    /// A load is postponed, for instance until the weight store or memory is free.
    Hold,
}

impl DecisionKind {
    /// Returns the name used in log lines.
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

/// An event and the time at which it happened, on the daemon's monotonic clock.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TimedEvent {
    /// Time since the daemon's start.
    pub at: Duration,
    /// The event.
    pub event: Event,
}
