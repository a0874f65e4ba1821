//! The operators' configuration: routes, services and the models that engines may load.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::cluster::workspaces::Workspaces;
use crate::ids::Mebibytes;
use crate::ids::ModelName;

/// Name of a service.
pub type ServiceName = SmolStr;
/// Version of the configuration; a later one is greater.
pub type ConfigVersion = u64;

/// Callers wait at least this long for the next event before they abandon a stream.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Callers abandon a stream after this many times its latency goal without an event.
const STALL_LATENCY_GOALS: u32 = 4;
/// Callers abandon a stream after this many times its gap target without an event.
const STALL_GAP_TARGETS: u32 = 8;

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Responds with a stream of events; may run at most once unless it is resumable.
    Streaming,
}

/// Settings of a route: which requests belong to it, where they go and how they may be retried.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, as the configuration and logs show it.
    pub name: SmolStr,
    /// Host name that requests carry, in lower case and without a port.
    pub host: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// Longest time from a request's arrival to the end of its response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, is on time.
    pub latency_goal: Duration,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that requests are distributed over, with their weights; never empty.
    pub targets: Vec<(ServiceName, u32)>,
    /// Maximum number of backend servers that may run one attempt of a caller; at least 1.
    pub max_attempts: u32,
    /// Whether another backend server can continue an interrupted stream after the last event received.
    pub resumable: bool,
    /// Longest pause between two events that is on time; `None` if the route sets no target.
    pub gap_target: Option<Duration>,
    /// Whether its requests need no API key.
    pub is_public: bool,
}

impl Route {
    /// Returns whether a request that may have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Returns how long a caller waits for the first or the next event before it abandons a stream.
    pub fn stall_timeout(&self) -> Duration {
        let gap = self.gap_target.unwrap_or_default() * STALL_GAP_TARGETS;
        MIN_STALL_TIMEOUT.max(self.latency_goal * STALL_LATENCY_GOALS).max(gap)
    }
}

/// A model that the engines of a service may load.
#[derive(Clone, Debug)]
pub struct ModelSpec {
    /// Size of the weights.
    pub size: Mebibytes,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load from the backend server's disk.
    pub disk_load: Duration,
    /// Time of a load from the backend server's memory.
    pub memory_load: Duration,
    /// Names of the adapters that can be loaded with it.
    pub adapters: Vec<SmolStr>,
    /// Size of each adapter.
    pub adapter_size: Mebibytes,
}

/// Settings that all engines of a service share.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Models by name.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Memory of one backend server for weights and adapters.
    pub memory: Mebibytes,
    /// Maximum number of adapters on one backend server, including those being loaded.
    pub adapter_slots: usize,
    /// Loads per second that the weight store allows across all backend servers.
    pub load_rate: f64,
}

/// A group of backend servers that serve the same requests.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name, as routes and backend servers refer to it.
    pub name: ServiceName,
    /// Set if its backend servers are model engines.
    pub engine: Option<EngineSpec>,
    /// Path of its backend servers' health check; `None` if they have none.
    pub health_path: Option<SmolStr>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body: usize,
    /// Longest time to receive a complete head.
    pub head_timeout: Duration,
    /// Longest time that an idle connection stays open between requests.
    pub idle_timeout: Duration,
}

/// One version of the configuration; never changed once published.
#[derive(Debug)]
pub struct Configuration {
    /// Version; greater than that of every earlier configuration.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Workspaces; without any, requests need no API key.
    pub workspaces: Workspaces,
    /// Routes by host name, the longest prefix first.
    host_routes: HashMap<SmolStr, Vec<Route>>,
}

impl Configuration {
    /// Builds a version and indexes its routes by host name.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: CallerLimits,
        workspaces: Workspaces,
    ) -> Self {
        let mut host_routes: HashMap<SmolStr, Vec<Route>> = HashMap::new();
        for route in routes {
            host_routes.entry(route.host.clone()).or_default().push(route);
        }
        for routes in host_routes.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { version, services, limits, workspaces, host_routes }
    }

    /// Returns the route of `host` with the longest prefix of `path`; a port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.host_routes.get(host) {
            Some(routes) => routes,
            None => self.host_routes.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.host_routes.values().map(Vec::len).sum()
    }
}
