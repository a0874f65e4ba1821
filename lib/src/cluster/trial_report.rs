//! Reports that daemons exchange about suspected requests on their way to engines.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::server_instance::ServerInstance;

/// A suspected request of one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TrialReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The engine that has the request; `None` while it waits for its trial or for a model.
    pub server: Option<ServerInstance>,
}
