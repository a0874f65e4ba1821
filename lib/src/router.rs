//! The choice of a replica for a request.

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

/// What an engine said of other daemons' requests fades over this time.
const LOAD_FRESH: Duration = Duration::from_millis(500);
/// How far above the mean load the server of a prompt prefix may be, in requests.
const AFFINITY_SLACK: u32 = 2;
/// A replica that was not there is asked again after this time.
const MISSING: Duration = Duration::from_secs(1);
/// A backend server that said it leaves is left alone this long, until the host list shows it.
const LEAVING: Duration = Duration::from_mins(2);

/// What a request asks of the router.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The model or plain service.
    pub model: &'a str,
    /// Hash of the prompt's beginning, by which an engine's prefix cache is reused.
    pub prefix: Option<u64>,
    /// Backend servers that were tried already.
    pub tried: &'a [ServerId],
}

/// A chosen replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The backend server.
    pub server: ServerId,
    /// Where it answers.
    pub addr: SocketAddr,
    /// Why it was chosen.
    pub reason: &'static str,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Requests of this daemon in progress.
    own: u32,
    /// Requests of other daemons in progress by the engine's last word, and when it came.
    others: Option<(Duration, u32)>,
}

/// Loads of replicas, and backend servers that failed.
#[derive(Debug)]
pub struct Router {
    centre: CentreId,
    rng: ChaCha8Rng,
    loads: BTreeMap<(ServerId, ModelName), Load>,
    suspects: BTreeMap<ServerId, FailureBackoff>,
    leaving: BTreeMap<ServerId, Duration>,
    /// Replicas that turned out not to be there, and when.
    missing: BTreeMap<(ServerId, ModelName), Duration>,
}

/// Returns how many of other daemons' requests are still counted after `age`.
///
/// They end unseen. Counted in full until the next word, they would keep a replica full that is
/// empty, and the queue waiting; an engine that is full after all refuses at no cost.
fn fade(age: Duration, count: u32) -> u32 {
    let left = 1.0 - age.as_secs_f64() / LOAD_FRESH.as_secs_f64();
    (f64::from(count) * left.max(0.0)) as u32
}

impl Router {
    /// Creates a router of a daemon in `centre`.
    pub fn new(centre: CentreId, seed: u64) -> Self {
        Self {
            centre,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loads: BTreeMap::new(),
            suspects: BTreeMap::new(),
            leaving: BTreeMap::new(),
            missing: BTreeMap::new(),
        }
    }

    /// Chooses a replica with room, and counts the request there until [`Router::record_end`].
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
            .filter(|r| self.load(now, &r.server, route_request.model) < limit)
            .collect();
        let local: Vec<&Replica> =
            usable.iter().copied().filter(|r| r.centre == self.centre).collect();
        let near = if local.is_empty() { &usable } else { &local };
        let (replica, reason) = self.pick(now, near, route_request)?;
        let key = (replica.server.clone(), ModelName::from(route_request.model));
        self.loads.entry(key).or_default().own += 1;
        Some(Route { server: replica.server.clone(), addr: replica.addr, reason })
    }

    /// Returns how many more requests the replicas of `model` have room for.
    pub fn free_capacity(&self, now: Duration, view: &RoutingView, model: &str) -> u32 {
        let limit = view.table.row(model).map_or(0, |row| row.limit);
        view.replicas_of(model)
            .iter()
            .filter(|r| self.is_usable(now, &r.server, model))
            .map(|r| limit.saturating_sub(self.load(now, &r.server, model)))
            .sum()
    }

    fn pick<'r>(
        &mut self,
        now: Duration,
        places: &[&'r Replica],
        route_request: RouteRequest<'_>,
    ) -> Option<(&'r Replica, &'static str)> {
        match places {
            [] => return None,
            [only] => return Some((*only, "only replica with room")),
            _ => {}
        }
        let load = |r: &Replica| self.load(now, &r.server, route_request.model);
        if let Some(prefix) = route_request.prefix {
            let score = |r: &&&Replica| xxh3_64_with_seed(r.server.as_bytes(), prefix);
            let home = places.iter().max_by_key(score)?;
            let mean = places.iter().map(|r| load(r)).sum::<u32>() / places.len() as u32;
            if load(home) <= mean + AFFINITY_SLACK {
                return Some((*home, "prefix is cached there"));
            }
        }
        // Two random choices: the lesser load, without all daemons running to the same server.
        let a = self.rng.random_range(0..places.len());
        let b = (a + self.rng.random_range(1..places.len())) % places.len();
        let load = |i: usize| self.load(now, &places[i].server, route_request.model);
        let chosen = if load(a) <= load(b) { a } else { b };
        Some((places[chosen], "less loaded of two"))
    }

    fn is_usable(&self, now: Duration, server: &str, model: &str) -> bool {
        let suspected = self.suspects.get(server).is_some_and(|s| s.is_active(now));
        let leaving = self.leaving.get(server).is_some_and(|at| now < *at + LEAVING);
        let key = (ServerId::from(server), ModelName::from(model));
        let missing = self.missing.get(&key).is_some_and(|at| now < *at + MISSING);
        !suspected && !leaving && !missing
    }

    fn load(&self, now: Duration, server: &str, model: &str) -> u32 {
        let key = (ServerId::from(server), ModelName::from(model));
        let Some(load) = self.loads.get(&key) else {
            return 0;
        };
        load.own + load.others.map_or(0, |(at, count)| fade(now.saturating_sub(at), count))
    }

    /// Notes the end of a request that [`Router::choose`] counted.
    pub fn record_end(&mut self, server: &ServerId, model: &ModelName) {
        let key = (server.clone(), model.clone());
        if let Some(load) = self.loads.get_mut(&key) {
            load.own = load.own.saturating_sub(1);
            if load.own == 0 && load.others.is_none() {
                self.loads.remove(&key);
            }
        }
    }

    /// Notes an answer and what it said of the replica's load.
    pub fn record_answer(
        &mut self,
        now: Duration,
        server: &ServerId,
        model: &ModelName,
        active: Option<u32>,
    ) {
        self.suspects.remove(server);
        if let (Some(active), Some(load)) =
            (active, self.loads.get_mut(&(server.clone(), model.clone())))
        {
            load.others = Some((now, active.saturating_sub(load.own)));
        }
    }

    /// Notes a failed connection.
    pub fn record_failure(&mut self, now: Duration, server: &ServerId) {
        self.suspects.entry(server.clone()).or_default().record_failure(now);
    }

    /// Notes that a backend server refused work because it leaves.
    ///
    /// The host list lags behind; without this the server would get new work until it shows it.
    pub fn mark_leaving(&mut self, now: Duration, server: &ServerId) {
        self.leaving.insert(server.clone(), now);
    }

    /// Notes that an engine refused work because it does not hold the model.
    ///
    /// Requests wait for a load then; asking again would keep them from being counted as waiting,
    /// and nobody would load the model.
    pub fn mark_missing(&mut self, now: Duration, server: &ServerId, model: &ModelName) {
        self.missing.insert((server.clone(), model.clone()), now);
    }

    /// Forgets what is out of date.
    pub fn expire(&mut self, now: Duration) {
        self.missing.retain(|_, at| now < *at + MISSING);
        self.leaving.retain(|_, at| now < *at + LEAVING);
        self.loads.retain(|_, load| {
            load.others = load.others.filter(|(at, _)| now < *at + LOAD_FRESH);
            load.own > 0 || load.others.is_some()
        });
    }
}
