//! Which backend server a request goes to.

use std::rc::Rc;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::directory::Directory;
use crate::cluster::directory::Server;
use crate::cluster::engine_inventories::EngineInventories;
use crate::cluster::run_times::RunTimes;
use crate::cluster::send_permit::SendPermit;
use crate::cluster::send_permit::SendPermits;
use crate::cluster::server_health::ServerHealth;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::workloads::Workload;
use crate::cluster::workloads::Workloads;
use crate::ids::CentreId;
use crate::placement::demand::ModelTarget;
use crate::serve::near_best;
use crate::serve::near_best::Candidate;

/// Cost of another data centre, in milliseconds: the way there and back, and the bytes between data
/// centres, which are paid for. A first token has some hundred milliseconds to spare.
const DISTANCE: f64 = 30.0;
/// The same for a plain service, whose answers are small and due within 100 ms.
const PLAIN_DISTANCE: f64 = 6.0;
/// Milliseconds that a running request adds to the steps of a batch until a first token.
const PER_RUNNING: f64 = 0.8;
/// Milliseconds that a request waits on the mean for a place at an engine whose places are just all taken as far
/// as known: requests that are not known yet may fill it, the sooner the fewer places are left.
const CROWDED: f64 = 100.0;
/// How steeply that grows with the part of places that are taken: a sixteenth at half, a third at three
/// quarters, as the wait in a queue with several servers does.
const CROWDED_POWER: i32 = 4;
/// Prompt tokens that an engine reads in a millisecond, a cautious figure.
const PROMPT_PER_MS: f64 = 15.0;
/// Milliseconds that a running request adds to another one's time at a plain service.
const PLAIN_RUNNING: f64 = 1.0;
/// Milliseconds by which such costs may be wrong. Requests of plain services end before peers hear of them,
/// so only this daemon's own count, and those are known at once.
const PLAIN_SCATTER: f64 = 1.0;
/// Milliseconds of a request at a plain service.
const PLAIN_WORK: f64 = 15.0;

/// A request waits for a turn that comes within this time, rather than ask for its model elsewhere.
const SOON: Duration = Duration::from_millis(500);

/// What a choice looks at.
#[derive(Debug)]
pub struct Chooser<'a> {
    /// The servers.
    pub directory: &'a Directory,
    /// What engines hold.
    pub inventories: &'a EngineInventories,
    /// Work at the servers.
    pub workloads: &'a Workloads,
    /// Servers to avoid.
    pub health: &'a ServerHealth,
    /// How long requests run.
    pub run_times: &'a RunTimes,
    /// Turns at servers that name limits.
    pub turns: &'a SendPermits,
    /// This daemon's data centre.
    pub centre: &'a CentreId,
    /// Now.
    pub now: Moment,
    /// Requests at an engine that peers may have begun or ended without this daemon's knowledge.
    pub load_uncertainty: f64,
    /// A random number from 0 to 1, which decides among servers that are nearly as good as the best.
    pub random: f64,
}

/// A chosen server and what decided.
#[derive(Clone, Debug)]
pub struct ChosenServer {
    /// The server.
    pub server: Rc<Server>,
    /// Its estimated cost in milliseconds.
    pub cost: f64,
    /// Servers that it was chosen among.
    pub candidate_count: usize,
    /// How long a request is expected to wait there for a place.
    pub queue_wait: Duration,
}

/// What there is for a request to an engine.
#[derive(Clone, Debug)]
pub enum EngineChoice {
    /// A server.
    Server(ChosenServer),
    /// No engine holds the model or adapter, or only such as cannot be used.
    NotLoaded,
    /// The service has no server at all.
    NoServer,
}

impl Chooser<'_> {
    /// Chooses a server of a plain service, other than those in `tried`.
    pub fn choose_plain(&self, service: &str, tried: &[ServerInstance]) -> Option<ChosenServer> {
        let cost = |s: &Server, w| self.plain_cost(s, w);
        self.choose(service, tried, |_| true, cost, PLAIN_SCATTER)
    }

    fn plain_cost(&self, server: &Server, work: Workload) -> f64 {
        let over = (work.running + 1).saturating_sub(server.slots);
        f64::from(work.running) * PLAIN_RUNNING
            + f64::from(over) * PLAIN_WORK
            + self.distance(server, PLAIN_DISTANCE)
    }

    fn engine_cost(&self, server: &Server, work: Workload) -> f64 {
        let filled = f64::from(work.running) / f64::from(server.slots.max(1));
        // Prompts of queued requests are read when these have a place.
        let placed = (1.0 / filled).min(1.0);
        f64::from(work.running.min(server.slots)) * PER_RUNNING
            + f64::from(work.prompt_tokens) * placed / PROMPT_PER_MS
            + CROWDED * filled.min(1.0).powi(CROWDED_POWER)
            + self.queue_wait(server, work).as_secs_f64() * 1000.0
            + self.distance(server, DISTANCE)
    }

    /// Returns how long a request waits for a place at an engine: its places come free one after the other.
    fn queue_wait(&self, server: &Server, work: Workload) -> Duration {
        let before = (work.running + 1).saturating_sub(server.slots);
        self.run_times.mean(&server.service) * before / server.slots.max(1)
    }

    /// Chooses an engine that holds what `item` names.
    pub fn choose_engine(&self, item: &ModelTarget, tried: &[ServerInstance]) -> EngineChoice {
        // An engine that cannot be reached serves nobody, though its entry may stand for seconds: the
        // request waits, and the model is loaded elsewhere.
        let holds = |s: &Server| {
            !self.health.is_unreachable(&s.instance(), self.now)
                && self.inventories.holds(s, &item.model, item.adapter.as_deref())
        };
        let cost = |s: &Server, w| self.engine_cost(s, w);
        match self.choose(&item.service, tried, holds, cost, self.load_uncertainty * PER_RUNNING) {
            Some(chosen) => {
                let work = self.workloads.at(&chosen.server.instance(), self.now);
                let queue_wait = self.queue_wait(&chosen.server, work);
                EngineChoice::Server(ChosenServer { queue_wait, ..chosen })
            }
            None if self.directory.all_servers().any(|s| s.service == item.service) => {
                EngineChoice::NotLoaded
            }
            None => EngineChoice::NoServer,
        }
    }

    /// Chooses a server that can take a request at once: sound, with a place free, and holding what
    /// `item` names where its service has engines.
    pub fn choose_available(
        &self,
        service: &str,
        item: Option<&ModelTarget>,
        tried: &[ServerInstance],
    ) -> Option<ChosenServer> {
        let fits = |s: &Server| {
            let holds = |i: &ModelTarget| self.inventories.holds(s, &i.model, i.adapter.as_deref());
            !self.health.is_avoided(&s.instance(), self.now)
                && item.is_none_or(holds)
                && self.workloads.at(&s.instance(), self.now).running < s.slots
        };
        if item.is_some() {
            let cost = |s: &Server, w| self.engine_cost(s, w);
            return self.choose(service, tried, fits, cost, self.load_uncertainty * PER_RUNNING);
        }
        let cost = |s: &Server, w| self.plain_cost(s, w);
        self.choose(service, tried, fits, cost, PLAIN_SCATTER)
    }

    /// Returns whether a model is held by an engine, or its weights lie on the host of one.
    ///
    /// Where no engine of the service tells of copies, every model may have some.
    pub fn has_copy(&self, item: &ModelTarget) -> bool {
        let engines = self.directory.all_servers().filter(|s| s.service == item.service);
        let mut tells = false;
        for server in engines {
            let copies = &server.copies;
            tells |= !copies.disk.is_empty() || !copies.memory.is_empty();
            let is_usable =
                !server.leaving && !self.health.is_unreachable(&server.instance(), self.now);
            let is_near = copies.disk.contains(&item.model)
                || copies.memory.contains(&item.model)
                || self.inventories.holds(server, &item.model, None);
            if is_usable && is_near {
                return true;
            }
        }
        !tells
    }

    /// Returns the engines of a service that cannot be reached from here.
    pub fn unreachable_servers(&self, service: &str) -> Vec<ServerInstance> {
        let is_dark = |s: &&Rc<Server>| {
            s.service == service && self.health.is_unreachable(&s.instance(), self.now)
        };
        self.directory.servers().filter(is_dark).map(|s| s.instance()).collect()
    }

    fn distance(&self, server: &Server, cost: f64) -> f64 {
        if server.centre == *self.centre { 0.0 } else { cost }
    }

    /// Returns when a request may be sent to a server that named a limit.
    fn turn(&self, server: &Server) -> Option<&SendPermit> {
        if self.turns.is_empty() { None } else { self.turns.get(&server.instance()) }
    }

    /// Leaves limited servers out while another one has a free place: their turns are for requests that have no
    /// other server. One that is due gets a request all the same.
    fn unlimited_first<'s>(&self, list: Vec<&'s Rc<Server>>) -> Vec<&'s Rc<Server>> {
        let is_open = |s: &&Rc<Server>| self.turn(s).is_none_or(|turn| turn.probe_due);
        let has_place =
            |s: &Rc<Server>| self.workloads.at(&s.instance(), self.now).running < s.slots;
        if self.turns.is_empty() || !list.iter().any(|s| is_open(s) && has_place(s)) {
            return list;
        }
        list.into_iter().filter(is_open).collect()
    }

    /// Returns the limited servers of a service whose turn does not come soon.
    pub fn rate_limited(&self, service: &str) -> Vec<ServerInstance> {
        let is_late = |turn: &SendPermit| turn.wait.is_none_or(|wait| wait > SOON);
        let servers = self.directory.servers().filter(|s| s.service == service);
        servers.filter(|s| self.turn(s).is_some_and(is_late)).map(|s| s.instance()).collect()
    }

    /// Returns when a limited server can be sent a request that has no other server: an engine that holds what `item`
    /// names, where one is given. None where another one is in reach, or there is none at all.
    pub fn next_turn(&self, service: &str, item: Option<&ModelTarget>) -> Option<SendPermit> {
        let holds = |s: &Server| {
            item.is_none_or(|i| self.inventories.holds(s, &i.model, i.adapter.as_deref()))
        };
        let is_usable = |s: &Server| {
            s.service == service
                && !s.leaving
                && !self.health.is_unreachable(&s.instance(), self.now)
        };
        let servers = self.directory.servers().filter(|s| is_usable(s) && holds(s));
        let turns: Option<Vec<SendPermit>> = servers.map(|s| self.turn(s).copied()).collect();
        turns?.into_iter().min_by_key(|turn| turn.wait.unwrap_or(Duration::MAX))
    }

    /// One of the cheapest sound servers; avoided ones only where there is no other. Costs may be wrong
    /// by `scatter` milliseconds.
    fn choose(
        &self,
        service: &str,
        tried: &[ServerInstance],
        fits: impl Fn(&Server) -> bool,
        cost: impl Fn(&Server, Workload) -> f64,
        scatter: f64,
    ) -> Option<ChosenServer> {
        let open: Vec<&Rc<Server>> = self
            .directory
            .servers()
            .filter(|s| {
                s.service == service
                    && !s.leaving
                    && !tried.contains(&s.instance())
                    && self.turn(s).is_none_or(SendPermit::is_granted)
                    && fits(s)
            })
            .collect();
        let is_sound = |s: &&&Rc<Server>| !self.health.is_avoided(&s.instance(), self.now);
        let sound: Vec<&Rc<Server>> = open.iter().filter(is_sound).copied().collect();
        let list = self.unlimited_first(if sound.is_empty() { open } else { sound });
        let candidate = |s: &&Rc<Server>| {
            let work = self.workloads.at(&s.instance(), self.now);
            Candidate { cost: cost(s, work), free_slots: s.slots.saturating_sub(work.running) }
        };
        let candidates: Vec<Candidate> = list.iter().map(candidate).collect();
        let place = near_best::pick(&candidates, scatter, self.random)?;
        let server = Rc::clone(list[place]);
        let (cost, candidate_count) = (candidates[place].cost, list.len());
        Some(ChosenServer { server, cost, candidate_count, queue_wait: Duration::ZERO })
    }
}
