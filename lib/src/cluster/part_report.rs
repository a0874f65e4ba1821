//! Reports that daemons exchange about prompt parts under which servers crashed.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::configuration::ServiceName;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine_report::CrashId;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::quarantine_report::RequestProgress;
use crate::ids::PartId;

/// A request that a server had when it crashed, with the parts of its prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExposedPrompt {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How far the server had got with it.
    pub stage: CrashStage,
    /// The parts that other requests may share, in their order.
    pub parts: Vec<PartId>,
}

/// A crash and the prompts that the server had then.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptCrashReport {
    /// Which crash it is.
    pub id: CrashId,
    /// Service of the server.
    pub service: ServiceName,
    /// Time since the crash.
    pub age: Duration,
    /// The most suspicious stage of all requests at the server, including those not listed in `prompts`.
    pub worst_stage: CrashStage,
    /// Requests at the server.
    pub prompts: Vec<ExposedPrompt>,
}

/// A part of prompts that goes to no server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldPart {
    /// The part.
    pub part: PromptPart,
    /// Time since the last of the crashes that show it to crash servers.
    pub age: Duration,
    /// Time since a caller last sent it.
    pub idle: Duration,
}

/// Recent additions to what a daemon knows of fatal prompt parts. Each age counts from the event itself, not from when
/// the daemon learned of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// Crashes of servers.
    pub crashes: Vec<PromptCrashReport>,
    /// Parts with which a request has since got further than at a crash, and how long ago its first event came.
    pub cleared: Vec<((PromptPart, RequestProgress), Duration)>,
    /// Parts that go to no server.
    pub held: Vec<HeldPart>,
}

impl PartReport {
    /// Returns whether it reports nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.held.is_empty()
    }
}
