//! The operators' configuration: routes, services and the models that engines may hold.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::Mebibytes;
use crate::ids::ModelName;

/// Name of a service.
pub type ServiceName = SmolStr;
/// Version of the configuration; a later one is greater.
pub type ConfigVersion = u64;

/// Least silence after which callers give up a stream.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
/// Callers give up a stream that is silent for this many times its goal.
const PATIENCE_GOALS: u32 = 4;
/// Callers give up a stream that is silent for this many times the longest punctual pause.
const PATIENCE_GAPS: u32 = 8;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// Answers with events; may run once at most unless it can be resumed.
    Streaming,
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: SmolStr,
    /// Host that callers name, in lower case and without a port.
    pub host: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may be kept.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is punctual.
    pub latency_goal: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights; never empty.
    pub targets: Vec<(ServiceName, u32)>,
    /// Most backend servers that may run one attempt of a caller; at least 1.
    pub max_attempts: u32,
    /// Whether a stream may go on at another backend server after its last event.
    pub resumable: bool,
    /// Longest pause between events that is punctual.
    pub gap_target: Option<Duration>,
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

    /// Returns for how long a caller waits for the first or the next event of a stream.
    pub fn stall_timeout(&self) -> Duration {
        let gap = self.gap_target.unwrap_or_default() * PATIENCE_GAPS;
        LEAST_PATIENCE.max(self.latency_goal * PATIENCE_GOALS).max(gap)
    }
}

/// A model that the engines of a service may hold.
#[derive(Clone, Debug)]
pub struct ModelSpec {
    /// Size of its weights.
    pub size: Mebibytes,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load from the backend server's disk.
    pub disk_load: Duration,
    /// Time of a load from the backend server's memory.
    pub memory_load: Duration,
    /// Names of its adapters.
    pub adapters: Vec<SmolStr>,
    /// Size of each adapter.
    pub adapter_size: Mebibytes,
}

/// What the engines of a service have in common.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Models by name.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Requests that run at once.
    pub slots: u32,
    /// Memory of one backend server for weights and adapters.
    pub memory: Mebibytes,
    /// Adapters that one backend server holds at most, those on their way included.
    pub adapter_slots: usize,
    /// Loads a second that the weight store allows over all backend servers.
    pub load_rate: f64,
}

/// One service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Set where its backend servers are model engines.
    pub engine: Option<EngineSpec>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Largest body of a request, in bytes.
    pub max_body: usize,
    /// Longest time for a whole head.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open between requests.
    pub idle_timeout: Duration,
}

/// One version of the configuration; never changed once published.
#[derive(Debug)]
pub struct Configuration {
    /// Its version.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Routes by host, the longest prefix first.
    hosts: HashMap<SmolStr, Vec<Route>>,
}

impl Configuration {
    /// Joins the parts of a version.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<Route>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { version, services, limits, hosts }
    }

    /// Returns the route of a request: the one of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
