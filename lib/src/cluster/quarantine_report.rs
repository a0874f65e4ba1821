//! Crash and quarantine reports that daemons exchange about requests under which servers crashed.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::server_instance::ServerInstance;

/// How far a server had got with a request when it crashed, the most suspicious stage first.
///
/// Most requests that crash servers do so as soon as they run, but neither a request without a response nor one whose
/// response has been streaming for a while is above suspicion.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CrashStage {
    /// The response had begun, but no event had arrived.
    BeforeEvents,
    /// The first event had just arrived.
    FirstEvent,
    /// Events had been arriving for a while.
    Streaming,
    /// There was no response yet: the request waited or was being read.
    Unanswered,
}

impl CrashStage {
    /// Returns how suspicious a request at this stage is, compared with others at the same crash; the least number is the
    /// most suspicious.
    pub fn rank(self) -> u8 {
        match self {
            Self::BeforeEvents => 0,
            Self::FirstEvent => 1,
            Self::Streaming | Self::Unanswered => 2,
        }
    }

    /// Returns the number of steps that a server had made with the request.
    pub fn progress(self) -> u8 {
        match self {
            Self::Unanswered => 0,
            Self::BeforeEvents => 1,
            Self::FirstEvent => 2,
            Self::Streaming => 3,
        }
    }

    /// Returns the stage's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::BeforeEvents => "begun",
            Self::FirstEvent => "young",
            Self::Streaming => "streaming",
            Self::Unanswered => "unanswered",
        }
    }
}

/// How far a server got with a request without crashing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RequestProgress {
    /// The first event arrived.
    FirstEvent,
    /// Events arrived for a while.
    Streaming,
    /// The whole response arrived.
    Complete,
}

impl RequestProgress {
    /// All variants.
    pub const ALL: [Self; 3] = [Self::FirstEvent, Self::Streaming, Self::Complete];

    /// Returns its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstEvent => "first-event",
            Self::Streaming => "streaming",
            Self::Complete => "complete",
        }
    }

    /// Returns whether a request that got this far is not to blame for a crash at `stage`: if a request
    /// crashes servers, it crashes each of them at the same point.
    pub fn clears(self, stage: CrashStage) -> bool {
        match self {
            Self::FirstEvent => stage.progress() < CrashStage::FirstEvent.progress(),
            Self::Streaming => stage != CrashStage::Streaming,
            Self::Complete => true,
        }
    }
}

/// Identifies one crash of a server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The server instance that crashed, as known to daemons at the time.
    pub server: ServerInstance,
    /// Number of earlier crashes of this instance: the server may have restarted unnoticed and crashed again.
    pub earlier: u32,
}

/// A crash and the requests that the server had then.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Which crash it is.
    pub id: CrashId,
    /// Time since the crash.
    pub age: Duration,
    /// The most suspicious stage of all requests at the server, including those not listed in `requests`.
    pub worst_stage: CrashStage,
    /// Requests at the server, with their stage at the crash.
    pub requests: Vec<(Fingerprint, CrashStage)>,
}

/// Recent additions to a daemon's quarantine. Each age counts from the event itself, not from when the daemon
/// learned of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineReport {
    /// Crashes of servers.
    pub crashes: Vec<CrashReport>,
    /// Requests that have since got further than at a crash, and how long ago.
    pub cleared: Vec<((Fingerprint, RequestProgress), Duration)>,
    /// Requests that are sent to no server, and how long ago a caller last sent them.
    pub held: Vec<(Fingerprint, Duration)>,
}
