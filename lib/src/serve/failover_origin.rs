//! How a request stands at a server that it leaves.

use crate::cluster::server_instance::ServerInstance;
use crate::verdict::Verdict;

/// How a request stands at a silent server that it leaves, in case the next one refuses it.
#[derive(Clone, Debug)]
pub struct FailoverOrigin {
    /// The server.
    pub server: Option<ServerInstance>,
    /// What was known of the request running elsewhere before.
    pub verdict: Verdict,
    /// Whether it had left another silent server before.
    pub failed_over: bool,
}
