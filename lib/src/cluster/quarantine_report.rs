//! What daemons tell each other of requests under which servers crashed.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::server_instance::ServerInstance;

/// How far a server had come with a request when it crashed, the most suspicious first.
///
/// A request that crashes servers does so as soon as it runs. One whose answer goes on for a while, or that
/// waits for its turn, had its server taken away by another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CrashStage {
    /// The answer had begun, without an event.
    BeforeEvents,
    /// Its first event had just come.
    FirstEvent,
    /// Its events had gone on for a while, or there was no answer yet.
    Other,
}

impl CrashStage {
    /// Returns its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::BeforeEvents => "begun",
            Self::FirstEvent => "young",
            Self::Other => "other",
        }
    }
}

/// How far a server came with a request without a crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RequestProgress {
    /// To its first event.
    FirstEvent,
    /// To events that went on for a while.
    Streaming,
    /// To the end of a whole answer.
    Complete,
}

impl RequestProgress {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::FirstEvent, Self::Streaming, Self::Complete];

    /// Returns whether a request that came so far is not to blame for a crash at a stage: it crashes each server at the
    /// same place, if it does.
    pub fn clears(self, stage: CrashStage) -> bool {
        match self {
            Self::FirstEvent => stage == CrashStage::BeforeEvents,
            Self::Streaming => stage < CrashStage::Other,
            Self::Complete => true,
        }
    }
}

/// One crash of a server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The start that ended, as far as daemons knew.
    pub server: ServerInstance,
    /// Number of earlier crashes of it: the server may have started again unnoticed, and crashed again.
    pub earlier: u32,
}

/// What is known of a crash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Which one.
    pub id: CrashId,
    /// How long ago.
    pub age: Duration,
    /// The most suspicious stage of all its requests, listed or not.
    pub worst: CrashStage,
    /// Requests that it had.
    pub requests: Vec<(Fingerprint, CrashStage)>,
}

/// A daemon's knowledge of such requests, as far as it is news; ages are those of the event.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineReport {
    /// Crashes.
    pub crashes: Vec<CrashReport>,
    /// Requests that came further since.
    pub cleared: Vec<((Fingerprint, RequestProgress), Duration)>,
    /// Requests that go to no server, and when they were last asked for.
    pub held: Vec<(Fingerprint, Duration)>,
}
