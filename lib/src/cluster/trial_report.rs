//! Reports that daemons exchange about suspected requests on their way to engines.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::server_instance::ServerInstance;

/// How far the trial of a suspected request is. The order of the variants is that of the wire format.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum TrialStage {
    /// The request waits for its trial or for a model.
    Queued,
    /// The engine has the request.
    Sent(ServerInstance),
    /// The request will be sent to the engine unless another suspect has a better claim on it.
    Claimed(ServerInstance),
}

impl TrialStage {
    /// Returns the engine that has the request or is claimed for it.
    pub fn server(&self) -> Option<&ServerInstance> {
        match self {
            Self::Queued => None,
            Self::Sent(server) | Self::Claimed(server) => Some(server),
        }
    }
}

/// A suspected request of one daemon.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TrialReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How far its trial is.
    pub stage: TrialStage,
}
