//! Messages that daemons exchange about the quotas of workspaces.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::cluster::quota_ledger::Grant;
use crate::cluster::workspace::Quota;
use crate::cluster::workspace::Tokens;

/// Identifies a workspace: a hash of its name.
pub type WorkspaceId = u64;
/// Number of a daemon's request for tokens.
pub type AskId = u32;

/// Returns the id of a workspace.
pub fn workspace_id(name: &str) -> WorkspaceId {
    xxh3_64(name.as_bytes())
}

/// A request for tokens, from the daemon of a caller to a home of its workspace.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaAsk {
    /// Number of the request.
    pub id: AskId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Number of tokens.
    pub tokens: Tokens,
    /// Tokens per second that the sender's callers ask for.
    pub demand: u32,
    /// Tokens per second of the quota, as the sender knows it.
    pub rate: f32,
    /// Burst of the quota, as the sender knows it.
    pub burst: f32,
}

impl QuotaAsk {
    /// Returns the quota as the sender knows it.
    pub fn quota(&self) -> Quota {
        Quota { rate: f64::from(self.rate), burst: f64::from(self.burst) }
    }
}

/// The answer to a request for tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaReply {
    /// Number of the request.
    pub id: AskId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// `None` if the tokens are granted; else the milliseconds after which they will be there.
    pub retry_ms: Option<u32>,
    /// Tokens per second that all daemons are asked for.
    pub total_demand: u32,
}

impl QuotaReply {
    /// Returns whether the tokens are granted, or when they will be there.
    pub fn grant(&self) -> Grant {
        let wait = self.retry_ms.map(|ms| Duration::from_millis(ms.into()));
        wait.map_or(Grant::Granted, Grant::Exceeded)
    }
}

/// What a daemon knows of one workspace by itself. Totals count from the start of its process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaUsage {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Time for which it has counted them, in milliseconds.
    pub age_ms: u32,
    /// Total of tokens that it granted.
    pub taken: Tokens,
    /// Total of tokens that were returned to it.
    pub returned: Tokens,
    /// Tokens per second that its own callers ask for.
    pub demand: u32,
    /// Tokens per second that the daemons of its data centre are asked for.
    pub home_demand: u32,
    /// Whether the quota is nearly used up, so that its next report comes soon.
    pub is_scarce: bool,
}

/// A message about quotas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum QuotaMessage {
    /// Requests tokens.
    Ask(QuotaAsk),
    /// Answers a request.
    Reply(QuotaReply),
    /// Returns tokens of a request that did not run.
    Return(WorkspaceId, Tokens),
    /// Reports the sender's usage.
    Usage(Vec<QuotaUsage>),
    /// Requests tokens that may be granted later, within these milliseconds. Repeated while the request waits.
    Wait(QuotaAsk, u32),
    /// Acknowledges that a request is queued; a `Reply` follows.
    Queued(AskId),
    /// Withdraws a request whose caller left or that waited long enough. Its tokens are returned if they were granted.
    Cancel(WorkspaceId, AskId),
}
