//! Choice of the backend server for a request, by estimated cost.

use std::rc::Rc;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::directory::Directory;
use crate::cluster::directory::Server;
use crate::cluster::engine_inventories::EngineInventories;
use crate::cluster::open_send::OpenSend;
use crate::cluster::run_times::RunTimes;
use crate::cluster::send_permit::SendPermit;
use crate::cluster::send_permit::SendPermits;
use crate::cluster::server_health::ServerHealth;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::server_slowdowns::ServerSlowdowns;
use crate::cluster::silent_servers::SilentServers;
use crate::cluster::slowdown_estimate::preference;
use crate::cluster::workloads::Workload;
use crate::cluster::workloads::Workloads;
use crate::ids::CentreId;
use crate::ids::SoftwareVersion;
use crate::placement::demand::ModelTarget;
use crate::serve::near_best;
use crate::serve::near_best::Candidate;

/// Cost of an engine in another data centre, in milliseconds: the round trip, and the traffic between data
/// centres, which is billed. A first token has a few hundred milliseconds to spare.
const REMOTE_CENTRE_COST_MS: f64 = 30.0;
/// The same for a plain service, whose responses are small and due within 100 ms.
const PLAIN_REMOTE_CENTRE_COST_MS: f64 = 6.0;
/// Milliseconds that a running request adds to another one's first token by making batch steps longer.
const RUNNING_COST_MS: f64 = 0.8;
/// Mean wait in milliseconds for a slot at an engine whose slots are just all taken by known requests. Requests
/// that this daemon does not know of yet may take the free slots, more likely the fewer are left.
const OCCUPANCY_COST_MS: f64 = 100.0;
/// Exponent of that cost in the fraction of taken slots: a sixteenth at half, a third at three quarters, like
/// the wait in a queue with several servers.
const OCCUPANCY_EXPONENT: i32 = 4;
/// Cost of a stream at a usual engine without others, in milliseconds. One in twelve has a pause that is too long, which
/// is as bad for its caller as a first event that comes a second and a half too late.
const PAUSE_COST_MS: f64 = 120.0;
/// Part by which each other stream at an engine makes long pauses more frequent.
const PAUSES_PER_STREAM: f64 = 0.1;
/// Prompt tokens that an engine processes per millisecond, a conservative estimate.
const PROMPT_TOKENS_PER_MS: f64 = 15.0;
/// Milliseconds that a running request adds to another one's time at a plain service.
const PLAIN_RUNNING_COST_MS: f64 = 1.0;
/// Uncertainty of a plain service's cost, in milliseconds. Its requests end before peers receive a report of
/// them, so only this daemon's own requests matter, and these are known at once.
const PLAIN_COST_ERROR_MS: f64 = 1.0;
/// Run time of a request at a plain service, in milliseconds.
const PLAIN_RUN_MS: f64 = 15.0;

/// A request waits for a send permit that is granted within this time, rather than request its model at
/// another engine.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(500);

/// The state that a choice is based on.
#[derive(Debug)]
pub struct Chooser<'a> {
    /// All known servers.
    pub directory: &'a Directory,
    /// Software version of the servers to choose from; `None` for all.
    pub version: Option<&'a SoftwareVersion>,
    /// Models and adapters that engines hold and are loading.
    pub inventories: &'a EngineInventories,
    /// Workload of each server.
    pub workloads: &'a Workloads,
    /// Health of the servers: which to avoid, which are unreachable.
    pub health: &'a ServerHealth,
    /// Servers of plain services that do not respond.
    pub silent: &'a SilentServers,
    /// Mean run time of requests by service.
    pub run_times: &'a RunTimes,
    /// Slowdowns of servers.
    pub slowdowns: &'a ServerSlowdowns,
    /// Send permits for rate-limited servers.
    pub send_permits: &'a SendPermits,
    /// This daemon's data centre.
    pub centre: &'a CentreId,
    /// Current time.
    pub now: Moment,
    /// Number of requests at an engine that peers may have begun or ended since their last reports.
    pub load_uncertainty: f64,
    /// Random number from 0 to 1, used to choose among servers that cost nearly as little as the cheapest.
    pub random: f64,
}

/// A chosen server and the estimates for it.
#[derive(Clone, Debug)]
pub struct ChosenServer {
    /// The chosen server.
    pub server: Rc<Server>,
    /// Estimated cost in milliseconds.
    pub cost: f64,
    /// Number of servers that it was chosen from.
    pub candidate_count: usize,
    /// Known requests in progress there.
    pub running: u32,
    /// How many times the usual time work is expected to take there.
    pub slowdown: f64,
    /// Expected wait for a slot there; zero unless `choose_engine` chose the server.
    pub queue_wait: Duration,
    /// The send that took from the retry budget for it; `None` if none did.
    pub retry: Option<OpenSend>,
}

/// Result of the choice of an engine.
#[derive(Clone, Debug)]
pub enum EngineChoice {
    /// An engine that holds the model and adapter.
    Server(ChosenServer),
    /// No usable engine holds the model and adapter.
    NotLoaded,
    /// The service has no server.
    NoServer,
}

impl Chooser<'_> {
    /// Chooses a server of a plain service, other than those in `tried`.
    pub fn choose_plain(&self, service: &str, tried: &[ServerInstance]) -> Option<ChosenServer> {
        let cost = |s: &Server, w, slowdown| self.plain_cost(s, w, slowdown);
        self.choose(service, tried, |_| true, cost, PLAIN_COST_ERROR_MS)
    }

    fn plain_cost(&self, server: &Server, work: Workload, slowdown: f64) -> f64 {
        let excess = (work.running + 1).saturating_sub(server.slots);
        let usual =
            f64::from(work.running) * PLAIN_RUNNING_COST_MS + f64::from(excess) * PLAIN_RUN_MS;
        usual * slowdown + self.centre_cost(server, PLAIN_REMOTE_CENTRE_COST_MS)
    }

    fn engine_cost(&self, server: &Server, work: Workload, slowdown: f64) -> f64 {
        let occupancy = f64::from(work.running) / f64::from(server.slots.max(1));
        // The prompt of a queued request is processed once it has a slot.
        let running_share = (1.0 / occupancy).min(1.0);
        let usual = f64::from(work.running.min(server.slots)) * RUNNING_COST_MS
            + f64::from(work.prompt_tokens) * running_share / PROMPT_TOKENS_PER_MS
            + OCCUPANCY_COST_MS * occupancy.min(1.0).powi(OCCUPANCY_EXPONENT);
        usual * slowdown
            + self.pause_cost(server, work, slowdown)
            + self.queue_wait(server, work, slowdown).as_secs_f64() * 1000.0
            + self.centre_cost(server, REMOTE_CENTRE_COST_MS)
    }

    /// Returns the expected wait for a slot at an engine, whose slots become free one after the other.
    fn queue_wait(&self, server: &Server, work: Workload, slowdown: f64) -> Duration {
        let ahead = (work.running + 1).saturating_sub(server.slots);
        let time = self.run_times.mean(&server.service) * ahead / server.slots.max(1);
        time.mul_f64(slowdown)
    }

    /// Returns the cost of pauses between events, which grow with the slowdown; zero while no slowdown is known.
    fn pause_cost(&self, server: &Server, work: Workload, slowdown: f64) -> f64 {
        if self.slowdowns.is_unused() {
            return 0.0;
        }
        let streams = 1.0 + f64::from(work.running.min(server.slots)) * PAUSES_PER_STREAM;
        PAUSE_COST_MS * slowdown.powi(2) * streams
    }

    /// Returns the possible error in milliseconds of the cost of an engine: that of requests there which peers may have
    /// begun or ended since their last reports.
    fn engine_cost_error(&self) -> f64 {
        let pauses =
            if self.slowdowns.is_unused() { 0.0 } else { PAUSE_COST_MS * PAUSES_PER_STREAM };
        self.load_uncertainty * (RUNNING_COST_MS + pauses)
    }

    /// Returns how many times the usual time work takes at a server.
    fn slowdown(&self, server: &Server) -> f64 {
        self.slowdowns.expected(&server.instance(), self.now)
    }

    /// Chooses an engine that holds what `model_target` names.
    pub fn choose_engine(
        &self,
        model_target: &ModelTarget,
        tried: &[ServerInstance],
    ) -> EngineChoice {
        // The directory may list an unreachable engine for seconds, but it can serve no request: the request
        // waits, and the model is loaded at another engine.
        let holds = |s: &Server| {
            !self.health.is_unreachable(&s.instance(), self.now)
                && self.inventories.holds(s, &model_target.model, model_target.adapter.as_deref())
        };
        let cost = |s: &Server, w, slowdown| self.engine_cost(s, w, slowdown);
        match self.choose(&model_target.service, tried, holds, cost, self.engine_cost_error()) {
            Some(chosen) => {
                let work = self.workloads.workload_at(&chosen.server.instance(), self.now);
                let queue_wait = self.queue_wait(&chosen.server, work, chosen.slowdown);
                EngineChoice::Server(ChosenServer { queue_wait, ..chosen })
            }
            None if self.has_server(&model_target.service) => EngineChoice::NotLoaded,
            None => EngineChoice::NoServer,
        }
    }

    /// Returns whether a server may be chosen: it is of the given service and of the required software version.
    fn is_eligible(&self, server: &Server, service: &str) -> bool {
        server.service == service
            && self.version.is_none_or(|version| server.version == *version && !version.is_empty())
    }

    /// Returns the eligible servers of a service that are not leaving.
    pub fn eligible_servers<'s>(
        &'s self,
        service: &'s str,
    ) -> impl Iterator<Item = &'s Rc<Server>> {
        self.directory.servers().filter(move |s| self.is_eligible(s, service) && !s.leaving)
    }

    /// Returns whether a wait may help because the service has a server that may be chosen later. Leaving and
    /// unreachable servers do not count if a software version is required: no load makes up for them.
    fn has_server(&self, service: &str) -> bool {
        let mut servers = self.directory.all_servers().filter(|s| self.is_eligible(s, service));
        match self.version {
            None => servers.next().is_some(),
            Some(_) => {
                servers.any(|s| !s.leaving && !self.health.is_unreachable(&s.instance(), self.now))
            }
        }
    }

    /// Returns whether a service has an eligible server that is neither leaving nor in `tried`.
    pub fn has_other(&self, service: &str, tried: &[ServerInstance]) -> bool {
        self.eligible_servers(service).any(|s| !tried.contains(&s.instance()))
    }

    /// Chooses a server that can take a request at once: healthy, with a free slot, and with the model and
    /// adapter of `model_target` loaded if given.
    pub fn choose_available(
        &self,
        service: &str,
        model_target: Option<&ModelTarget>,
        tried: &[ServerInstance],
    ) -> Option<ChosenServer> {
        let is_available = |s: &Server| {
            let holds = |i: &ModelTarget| self.inventories.holds(s, &i.model, i.adapter.as_deref());
            self.is_healthy(s)
                && model_target.is_none_or(holds)
                && self.workloads.workload_at(&s.instance(), self.now).running < s.slots
        };
        if model_target.is_some() {
            let cost = |s: &Server, w, slowdown| self.engine_cost(s, w, slowdown);
            return self.choose(service, tried, is_available, cost, self.engine_cost_error());
        }
        let cost = |s: &Server, w, slowdown| self.plain_cost(s, w, slowdown);
        self.choose(service, tried, is_available, cost, PLAIN_COST_ERROR_MS)
    }

    /// Returns whether a usable engine holds the model or its host has a local copy of the weights.
    ///
    /// If no engine of the service reports local copies, any model may have one, so returns true.
    pub fn has_copy(&self, model_target: &ModelTarget) -> bool {
        let engines =
            self.directory.all_servers().filter(|s| self.is_eligible(s, &model_target.service));
        let mut reports_copies = false;
        for server in engines {
            let copies = &server.copies;
            reports_copies |= !copies.disk.is_empty() || !copies.memory.is_empty();
            let is_usable =
                !server.leaving && !self.health.is_unreachable(&server.instance(), self.now);
            let has_weights = copies.disk.contains(&model_target.model)
                || copies.memory.contains(&model_target.model)
                || self.inventories.holds(server, &model_target.model, None);
            if is_usable && has_weights {
                return true;
            }
        }
        !reports_copies
    }

    /// Returns whether a server is neither avoided nor likely to be silent.
    fn is_healthy(&self, server: &Server) -> bool {
        let server = server.instance();
        !self.health.is_avoided(&server, self.now) && !self.silent.is_doubtful(&server, self.now)
    }

    /// Returns whether a server of a service is neither avoided nor likely to be silent.
    pub fn has_responsive(&self, service: &str) -> bool {
        self.eligible_servers(service).any(|server| self.is_healthy(server))
    }

    /// Returns the servers of a service that get no retry: they are silent, or doubtful and of an unsteady service.
    pub fn unretried_servers(&self, service: &str) -> Vec<ServerInstance> {
        let is_unsteady = self.silent.is_unsteady(service, self.now);
        let is_out = |server: &ServerInstance| {
            let is_doubtful = || self.silent.is_doubtful(server, self.now);
            self.silent.is_silent(server, self.now) || (is_unsteady && is_doubtful())
        };
        let servers = self.directory.servers().filter(|s| self.is_eligible(s, service));
        servers.map(|s| s.instance()).filter(is_out).collect()
    }

    /// Returns the servers of a service that are unreachable from this daemon.
    pub fn unreachable_servers(&self, service: &str) -> Vec<ServerInstance> {
        let unreachable = |s: &&Rc<Server>| {
            self.is_eligible(s, service) && self.health.is_unreachable(&s.instance(), self.now)
        };
        self.directory.servers().filter(unreachable).map(|s| s.instance()).collect()
    }

    fn centre_cost(&self, server: &Server, cost: f64) -> f64 {
        if server.centre == *self.centre { 0.0 } else { cost }
    }

    /// Returns the send permit for a server; `None` if it has no rate limit.
    fn permit(&self, server: &Server) -> Option<&SendPermit> {
        if self.send_permits.is_empty() { None } else { self.send_permits.get(&server.instance()) }
    }

    /// Drops rate-limited servers from `list` if another one has a free slot: their permits are kept for requests
    /// that have no other server. A server whose probe is due stays, since only a request shows whether its limit
    /// still holds.
    fn prefer_unlimited<'s>(&self, list: Vec<&'s Rc<Server>>) -> Vec<&'s Rc<Server>> {
        let is_open = |s: &&Rc<Server>| self.permit(s).is_none_or(|permit| permit.probe_due);
        let has_free_slot =
            |s: &Rc<Server>| self.workloads.workload_at(&s.instance(), self.now).running < s.slots;
        if self.send_permits.is_empty() || !list.iter().any(|s| is_open(s) && has_free_slot(s)) {
            return list;
        }
        list.into_iter().filter(is_open).collect()
    }

    /// Returns the rate-limited servers of a service whose send permits are not granted within `MAX_PERMIT_WAIT`.
    pub fn rate_limited(&self, service: &str) -> Vec<ServerInstance> {
        let is_late = |permit: &SendPermit| permit.wait.is_none_or(|wait| wait > MAX_PERMIT_WAIT);
        let servers = self.directory.servers().filter(|s| self.is_eligible(s, service));
        servers.filter(|s| self.permit(s).is_some_and(is_late)).map(|s| s.instance()).collect()
    }

    /// Returns the earliest send permit for a request that only rate-limited servers can take; with `model_target`,
    /// only engines that hold its model and adapter count. `None` if a usable server has no rate limit, or if no
    /// server is usable.
    pub fn next_permit(
        &self,
        service: &str,
        model_target: Option<&ModelTarget>,
    ) -> Option<SendPermit> {
        let holds = |s: &Server| {
            model_target.is_none_or(|i| self.inventories.holds(s, &i.model, i.adapter.as_deref()))
        };
        let is_usable =
            |s: &Server| !self.health.is_unreachable(&s.instance(), self.now) && holds(s);
        let servers = self.eligible_servers(service).filter(|s| is_usable(s));
        let permits: Option<Vec<SendPermit>> = servers.map(|s| self.permit(s).copied()).collect();
        permits?.into_iter().min_by_key(|permit| permit.wait.unwrap_or(Duration::MAX))
    }

    /// Chooses one of the cheapest healthy servers, or of the avoided ones if no other is left. Costs may be
    /// wrong by `cost_error` milliseconds.
    fn choose(
        &self,
        service: &str,
        tried: &[ServerInstance],
        is_suitable: impl Fn(&Server) -> bool,
        cost: impl Fn(&Server, Workload, f64) -> f64,
        cost_error: f64,
    ) -> Option<ChosenServer> {
        let usable: Vec<&Rc<Server>> = self
            .eligible_servers(service)
            .filter(|s| {
                !tried.contains(&s.instance())
                    && self.permit(s).is_none_or(SendPermit::is_granted)
                    && is_suitable(s)
            })
            .collect();
        let healthy: Vec<&Rc<Server>> =
            usable.iter().filter(|s| self.is_healthy(s)).copied().collect();
        let list = self.prefer_unlimited(if healthy.is_empty() { usable } else { healthy });
        let candidate = |s: &&Rc<Server>| {
            let work = self.workloads.workload_at(&s.instance(), self.now);
            let slowdown = self.slowdown(s);
            Candidate {
                cost: cost(s, work, slowdown),
                free_slots: s.slots.saturating_sub(work.running),
                preference: preference(slowdown),
            }
        };
        let candidates: Vec<Candidate> = list.iter().map(candidate).collect();
        let index = near_best::pick(&candidates, cost_error, self.random)?;
        let server = Rc::clone(list[index]);
        let (cost, candidate_count) = (candidates[index].cost, list.len());
        let running = self.workloads.workload_at(&server.instance(), self.now).running;
        let (slowdown, queue_wait) = (self.slowdown(&server), Duration::ZERO);
        let retry = None;
        Some(ChosenServer { server, cost, candidate_count, running, slowdown, queue_wait, retry })
    }
}
