//! Checked settings of an entry daemon.

use std::net::SocketAddr;
use std::time::Duration;

use crate::cluster::quota_bucket::QuotaTolerance;
use crate::cluster::retry_budgets::BudgetLimits;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::serve::caller_connections::ConnectionLimits;

/// Link speed in Mbit/s that a lease holder of a large fleet needs: it sends inventories to many daemons in bursts,
/// beside engines' reports and callers' streams.
const MIN_HOLDER_MBPS: f64 = 50.0;
/// CPU cores that a lease holder of a large fleet needs: it plans loads beside serving callers' requests.
const MIN_HOLDER_CORES: f64 = 0.2;
/// Fraction of a host's memory for the bodies of callers' requests that are being read or sent.
const REQUEST_FRACTION: f64 = 0.25;
/// Fraction of a host's memory for all connections of callers, and for those without a whole request.
const CONNECTION_FRACTION: f64 = 0.4;
const UNFINISHED_FRACTION: f64 = 0.15;
/// Memory of a connection: its buffers here and in the kernel, and a short body.
const CONNECTION_BYTES: f64 = 64.0 * 1024.0;
/// Descriptors that no caller's connection takes: those of the store, of other daemons and of the daemon's own files.
const OWN_DESCRIPTORS: usize = 128;
/// Fraction of a host's memory for responses that are read whole. A host of 120 MB can read the longest.
const RESPONSE_FRACTION: f64 = 0.11;

/// Checked settings of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// The daemon's id, unique in the fleet.
    pub id: DaemonId,
    /// The data centre of its host.
    pub centre: CentreId,
    /// Address on which callers' HTTP requests are accepted.
    pub front: SocketAddr,
    /// Address of the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Address for other daemons' connections (TCP) and digests (UDP).
    pub peer: SocketAddr,
    /// Peer addresses of daemons to fetch state from while the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Retry budget that all daemons share.
    pub budget: BudgetLimits,
    /// Time between SIGTERM and the kill that follows it.
    pub grace: Duration,
    /// Time within which a leaving server must stop receiving requests.
    pub drain: Duration,
    /// Whether engines refuse orders with an old fencing number.
    pub fenced: bool,
    /// Least time between the orders of two successive lease holders if engines do not check fencing numbers.
    pub apart: Duration,
    /// Length of the window over which fetches are counted.
    pub load_window: Duration,
    /// Age from which a configuration that nobody has confirmed as the newest counts as stale: it may lack a route that
    /// operators have added since.
    pub stale_after: Duration,
    /// How far the tokens that workspaces take may exceed their quotas.
    pub quota_tolerance: QuotaTolerance,
    /// What the daemon may use of its host. A change of the memory takes effect at the next start of the process.
    pub host: HostSize,
    /// Number of daemons from which a fleet is large, so that daemons get state through readers. A change takes
    /// effect at the next start of the process.
    pub readers_from: usize,
    /// Largest slowdown that decisions assume of a server, and the inverse of the smallest; 1 if all servers count as
    /// alike.
    pub max_slowdown: f64,
    /// Longest time that a request waits for tokens of its workspace's quota; zero if none waits.
    pub max_quota_wait: Duration,
    /// Write calls per second that the store accepts from all its callers together.
    pub store_writes: f64,
}

/// What the daemon may use of its host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostSize {
    /// CPU share in cores, summed over all cores.
    pub core: f64,
    /// Link speed in Mbit/s.
    pub link: f64,
    /// Memory in bytes.
    pub memory: usize,
    /// Descriptors for sockets.
    pub sockets: usize,
}

impl HostSize {
    /// Returns whether a lease holder or reader of a large fleet should preferably run on another host.
    pub fn is_small(self) -> bool {
        self.link < MIN_HOLDER_MBPS || self.core < MIN_HOLDER_CORES
    }

    /// Returns the bytes that the bodies of callers' requests may take together.
    pub fn request_bytes(self) -> usize {
        (self.memory as f64 * REQUEST_FRACTION) as usize
    }

    /// Returns how many connections callers may have. Each whole request needs one to a server as well.
    pub fn caller_connections(self) -> ConnectionLimits {
        let fitting = |fraction: f64| (self.memory as f64 * fraction / CONNECTION_BYTES) as usize;
        let open = self.sockets.saturating_sub(OWN_DESCRIPTORS) / 2;
        let open = open.min(fitting(CONNECTION_FRACTION)).max(1);
        ConnectionLimits { open, unfinished: fitting(UNFINISHED_FRACTION).clamp(1, open) }
    }

    /// Returns the bytes that responses which are read whole may take together.
    pub fn response_bytes(self) -> usize {
        (self.memory as f64 * RESPONSE_FRACTION) as usize
    }
}
