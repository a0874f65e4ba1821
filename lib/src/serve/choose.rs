//! Which backend server a request goes to.

use std::rc::Rc;

use crate::boot_clock::Moment;
use crate::ids::CentreId;
use crate::picture::directory::Directory;
use crate::picture::directory::Server;
use crate::picture::health::Health;
use crate::picture::holdings::Holdings;
use crate::picture::loads::Loads;
use crate::picture::loads::Work;
use crate::picture::server_start::ServerStart;
use crate::place::demand::Item;

/// Cost of another data centre, in milliseconds: the way there and back, and the bytes between data
/// centres, which are paid for. A first token has some hundred milliseconds to spare.
const DISTANCE: f64 = 30.0;
/// The same for a plain service, whose answers are small and due within 100 ms.
const PLAIN_DISTANCE: f64 = 6.0;
/// Milliseconds that a running request adds to the steps of a batch until a first token.
const PER_RUNNING: f64 = 0.8;
/// Prompt tokens that an engine reads in a millisecond, a cautious figure.
const PROMPT_PER_MS: f64 = 15.0;
/// Milliseconds of a request at a plain service.
const PLAIN_WORK: f64 = 15.0;

/// What a choice looks at.
#[derive(Debug)]
pub struct Chooser<'a> {
    /// The servers.
    pub directory: &'a Directory,
    /// What engines hold.
    pub holdings: &'a Holdings,
    /// Work at the servers.
    pub loads: &'a Loads,
    /// Servers to avoid.
    pub health: &'a Health,
    /// This daemon's data centre.
    pub centre: &'a CentreId,
    /// Now.
    pub now: Moment,
}

/// A chosen server and what decided.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// The server.
    pub server: Rc<Server>,
    /// Its estimated cost in milliseconds.
    pub cost: f64,
    /// Servers that it was chosen among.
    pub among: usize,
}

/// What there is for a request to an engine.
#[derive(Clone, Debug)]
pub enum Choice {
    /// A server.
    Server(Chosen),
    /// No engine holds the model or adapter, or only such as cannot be used.
    Missing,
    /// The service has no server at all.
    NoServer,
}

impl Chooser<'_> {
    /// Chooses a server of a plain service, other than those in `tried`.
    pub fn plain(&self, service: &str, tried: &[ServerStart]) -> Option<Chosen> {
        let cost = |server: &Server, work: Work| {
            let over = (work.running + 1).saturating_sub(server.slots);
            f64::from(work.running)
                + f64::from(over) * PLAIN_WORK
                + self.distance(server, PLAIN_DISTANCE)
        };
        self.cheapest(service, tried, |_| true, cost)
    }

    /// Chooses an engine that holds what `item` names.
    pub fn engine(&self, item: &Item, tried: &[ServerStart]) -> Choice {
        // An engine that cannot be reached serves nobody, though its entry may stand for seconds: the
        // request waits, and the model is loaded elsewhere.
        let holds = |s: &Server| {
            !self.health.is_dark(&s.start(), self.now)
                && self.holdings.holds(s, &item.model, item.adapter.as_deref())
        };
        let cost = |server: &Server, work: Work| {
            let over = (work.running + 1).saturating_sub(server.slots);
            f64::from(work.running) * PER_RUNNING
                + f64::from(work.prompt) / PROMPT_PER_MS
                + f64::from(over) * 100.0
                + self.distance(server, DISTANCE)
        };
        match self.cheapest(&item.service, tried, holds, cost) {
            Some(chosen) => Choice::Server(chosen),
            None if self.directory.known().any(|s| s.service == item.service) => Choice::Missing,
            None => Choice::NoServer,
        }
    }

    /// Returns whether a model is held by an engine, or its weights lie on the host of one.
    ///
    /// Where no engine of the service tells of copies, every model may have some.
    pub fn has_copy(&self, item: &Item) -> bool {
        let engines = self.directory.known().filter(|s| s.service == item.service);
        let mut tells = false;
        for server in engines {
            let copies = &server.copies;
            tells |= !copies.disk.is_empty() || !copies.memory.is_empty();
            let is_usable = !server.leaving && !self.health.is_dark(&server.start(), self.now);
            let is_near = copies.disk.contains(&item.model)
                || copies.memory.contains(&item.model)
                || self.holdings.holds(server, &item.model, None);
            if is_usable && is_near {
                return true;
            }
        }
        !tells
    }

    /// Returns the engines of a service that cannot be reached from here.
    pub fn dark(&self, service: &str) -> Vec<ServerStart> {
        let is_dark =
            |s: &&Rc<Server>| s.service == service && self.health.is_dark(&s.start(), self.now);
        self.directory.servers().filter(is_dark).map(|s| s.start()).collect()
    }

    fn distance(&self, server: &Server, cost: f64) -> f64 {
        if server.centre == *self.centre { 0.0 } else { cost }
    }

    /// The cheapest sound server; an avoided one only where there is no other.
    fn cheapest(
        &self,
        service: &str,
        tried: &[ServerStart],
        fits: impl Fn(&Server) -> bool,
        cost: impl Fn(&Server, Work) -> f64,
    ) -> Option<Chosen> {
        let open: Vec<&Rc<Server>> = self
            .directory
            .servers()
            .filter(|s| {
                s.service == service && !s.leaving && !tried.contains(&s.start()) && fits(s)
            })
            .collect();
        let is_sound = |s: &&&Rc<Server>| !self.health.is_avoided(&s.start(), self.now);
        let sound: Vec<&Rc<Server>> = open.iter().filter(is_sound).copied().collect();
        let list = if sound.is_empty() { open } else { sound };
        let among = list.len();
        let priced = list.into_iter().map(|s| (cost(s, self.loads.at(&s.start(), self.now)), s));
        let (cost, server) = priced.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(Chosen { server: Rc::clone(server), cost, among })
    }
}
