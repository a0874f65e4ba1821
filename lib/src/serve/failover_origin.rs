//! State of a request before a failover.

use crate::cluster::server_instance::ServerInstance;
use crate::ids::SoftwareVersion;
use crate::verdict::Verdict;

/// State of a request at an unresponsive server, restored if the next server refuses the request.
#[derive(Clone, Debug)]
pub struct FailoverOrigin {
    /// The unresponsive server.
    pub server: Option<ServerInstance>,
    /// Its software version.
    pub version: SoftwareVersion,
    /// Whether the request had run, not counting the send to this server.
    pub verdict: Verdict,
    /// Whether it had failed over before.
    pub failed_over: bool,
}
