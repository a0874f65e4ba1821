//! Chooses a replica for a request, by workload, prompt prefix and recent failures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::failure_backoff::FailureBackoff;
use crate::ids::CentreId;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::routing_view::Replica;
use crate::routing_view::RoutingView;

/// Time over which the reported workload of other daemons decays to zero.
const WORKLOAD_DECAY: Duration = Duration::from_millis(500);
/// How far the workload of the server preferred for a prompt prefix may exceed the mean, in
/// requests.
const AFFINITY_SLACK: u32 = 2;
/// Time for which a replica is not used after its engine reported that the model is not loaded.
const MISSING_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which a backend server gets no requests after it reported that it is leaving; the host
/// list shows it by then.
const LEAVING_BACKOFF: Duration = Duration::from_mins(2);

/// What the router needs to know about a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The model or plain service.
    pub model: &'a str,
    /// Hash of the beginning of the prompt. Requests with the same hash go to the same engine, to
    /// reuse its prefix cache.
    pub prefix: Option<u64>,
    /// Backend servers that were tried already and are not chosen again.
    pub tried: &'a [ServerId],
}

/// A chosen replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The backend server.
    pub server: ServerId,
    /// Address of the backend server.
    pub addr: SocketAddr,
    /// Why the replica was chosen, for log lines.
    pub reason: &'static str,
}

#[derive(Clone, Copy, Debug, Default)]
struct Workload {
    /// Requests of this daemon in progress.
    own: u32,
    /// Requests of other daemons in progress by the engine's last report, and the time of the
    /// report.
    others: Option<(Duration, u32)>,
}

/// Workloads of replicas, and backend servers that cannot be used for now.
#[derive(Debug)]
pub struct Router {
    centre: CentreId,
    rng: ChaCha8Rng,
    workloads: BTreeMap<(ServerId, ModelName), Workload>,
    backoffs: BTreeMap<ServerId, FailureBackoff>,
    leaving: BTreeMap<ServerId, Duration>,
    /// Replicas whose engine reported that the model is not loaded, and when.
    missing: BTreeMap<(ServerId, ModelName), Duration>,
}

/// Returns how many of `count` reported requests of other daemons still count after `age`.
///
/// This daemon does not see them end. If they counted in full until the next report, an idle
/// replica could appear full and keep requests in the queue. A full engine refuses a request at no
/// cost.
fn decayed_count(age: Duration, count: u32) -> u32 {
    let left = 1.0 - age.as_secs_f64() / WORKLOAD_DECAY.as_secs_f64();
    (f64::from(count) * left.max(0.0)) as u32
}

impl Router {
    /// Creates the router of a daemon in `centre`; `seed` makes its random choices reproducible.
    pub fn new(centre: CentreId, seed: u64) -> Self {
        Self {
            centre,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workloads: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            leaving: BTreeMap::new(),
            missing: BTreeMap::new(),
        }
    }

    /// Chooses a replica with free capacity, preferably in the own data centre.
    ///
    /// Counts the request at the replica until [`Router::record_end`].
    pub fn choose(
        &mut self,
        now: Duration,
        view: &RoutingView,
        route_request: RouteRequest<'_>,
    ) -> Option<Route> {
        let limit = view.table.row(route_request.model)?.limit;
        let usable: Vec<&Replica> = view
            .replicas_of(route_request.model)
            .iter()
            .filter(|r| !route_request.tried.contains(&r.server))
            .filter(|r| self.is_usable(now, &r.server, route_request.model))
            .filter(|r| self.workload(now, &r.server, route_request.model) < limit)
            .collect();
        let local: Vec<&Replica> =
            usable.iter().copied().filter(|r| r.centre == self.centre).collect();
        let candidates = if local.is_empty() { &usable } else { &local };
        let (replica, reason) = self.pick_replica(now, candidates, route_request)?;
        let key = (replica.server.clone(), ModelName::from(route_request.model));
        self.workloads.entry(key).or_default().own += 1;
        Some(Route { server: replica.server.clone(), addr: replica.addr, reason })
    }

    /// Returns how many more requests the replicas of `model` can accept.
    pub fn free_capacity(&self, now: Duration, view: &RoutingView, model: &str) -> u32 {
        let limit = view.table.row(model).map_or(0, |row| row.limit);
        view.replicas_of(model)
            .iter()
            .filter(|r| self.is_usable(now, &r.server, model))
            .map(|r| limit.saturating_sub(self.workload(now, &r.server, model)))
            .sum()
    }

    fn pick_replica<'r>(
        &mut self,
        now: Duration,
        replicas: &[&'r Replica],
        route_request: RouteRequest<'_>,
    ) -> Option<(&'r Replica, &'static str)> {
        match replicas {
            [] => return None,
            [only] => return Some((*only, "only replica with room")),
            _ => {}
        }
        let workload = |r: &Replica| self.workload(now, &r.server, route_request.model);
        if let Some(prefix) = route_request.prefix {
            let score = |r: &&&Replica| xxh3_64_with_seed(r.server.as_bytes(), prefix);
            let preferred = replicas.iter().max_by_key(score)?;
            let mean = replicas.iter().map(|r| workload(r)).sum::<u32>() / replicas.len() as u32;
            if workload(preferred) <= mean + AFFINITY_SLACK {
                return Some((*preferred, "prefix is cached there"));
            }
        }
        // The less loaded of two random replicas: if all daemons chose the least loaded replica,
        // they would choose the same server.
        let a = self.rng.random_range(0..replicas.len());
        let b = (a + self.rng.random_range(1..replicas.len())) % replicas.len();
        let workload = |i: usize| self.workload(now, &replicas[i].server, route_request.model);
        let chosen = if workload(a) <= workload(b) { a } else { b };
        Some((replicas[chosen], "less loaded of two"))
    }

    fn is_usable(&self, now: Duration, server: &str, model: &str) -> bool {
        let backing_off = self.backoffs.get(server).is_some_and(|s| s.is_active(now));
        let leaving = self.leaving.get(server).is_some_and(|at| now < *at + LEAVING_BACKOFF);
        let key = (ServerId::from(server), ModelName::from(model));
        let missing = self.missing.get(&key).is_some_and(|at| now < *at + MISSING_BACKOFF);
        !backing_off && !leaving && !missing
    }

    fn workload(&self, now: Duration, server: &str, model: &str) -> u32 {
        let key = (ServerId::from(server), ModelName::from(model));
        let Some(workload) = self.workloads.get(&key) else {
            return 0;
        };
        workload.own
            + workload.others.map_or(0, |(at, count)| decayed_count(now.saturating_sub(at), count))
    }

    /// Records the end of a request that [`Router::choose`] counted.
    pub fn record_end(&mut self, server: &ServerId, model: &ModelName) {
        let key = (server.clone(), model.clone());
        if let Some(workload) = self.workloads.get_mut(&key) {
            workload.own = workload.own.saturating_sub(1);
            if workload.own == 0 && workload.others.is_none() {
                self.workloads.remove(&key);
            }
        }
    }

    /// Records a response, with the number of requests in progress that the engine reported, if
    /// any.
    pub fn record_answer(
        &mut self,
        now: Duration,
        server: &ServerId,
        model: &ModelName,
        active: Option<u32>,
    ) {
        self.backoffs.remove(server);
        if let (Some(active), Some(workload)) =
            (active, self.workloads.get_mut(&(server.clone(), model.clone())))
        {
            workload.others = Some((now, active.saturating_sub(workload.own)));
        }
    }

    /// Records a failed connection.
    pub fn record_failure(&mut self, now: Duration, server: &ServerId) {
        self.backoffs.entry(server.clone()).or_default().record_failure(now);
    }

    /// Records that a backend server refused a request because it is leaving.
    ///
    /// Without this, the server would get new requests until the host list marks it as leaving.
    pub fn mark_leaving(&mut self, now: Duration, server: &ServerId) {
        self.leaving.insert(server.clone(), now);
    }

    /// Records that an engine refused a request because the model is not loaded.
    ///
    /// Requests then wait for a load. Retrying the engine would keep them from being counted as
    /// waiting, and the model would not be loaded.
    pub fn mark_missing(&mut self, now: Duration, server: &ServerId, model: &ModelName) {
        self.missing.insert((server.clone(), model.clone()), now);
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Duration) {
        self.missing.retain(|_, at| now < *at + MISSING_BACKOFF);
        self.leaving.retain(|_, at| now < *at + LEAVING_BACKOFF);
        self.workloads.retain(|_, workload| {
            workload.others = workload.others.filter(|(at, _)| now < *at + WORKLOAD_DECAY);
            workload.own > 0 || workload.others.is_some()
        });
    }
}
