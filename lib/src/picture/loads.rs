//! How much work each backend server has, from this daemon's own requests and those of its peers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::ids::DaemonId;
use crate::ids::ModelName;
use crate::picture::server_start::ServerStart;

/// A server's own word counts for this long: some steps of its batch.
const WORD_FRESH: Duration = Duration::from_millis(400);

/// Requests at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of requests that have had no event yet.
    pub prompt: u32,
}

/// A start of a server, and the model where it is an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Place {
    /// The server.
    pub server: ServerStart,
    /// The model.
    pub model: Option<ModelName>,
}

/// A server's own word on its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerWord {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

#[derive(Debug, Default)]
struct Tables {
    own: HashMap<Place, Work>,
    peers: HashMap<DaemonId, (Moment, Vec<(Place, Work)>)>,
    words: HashMap<ServerStart, (Moment, ServerWord)>,
    /// A peer's word on its requests counts for this long.
    fresh: Duration,
}

impl Tables {
    /// This daemon's requests and those of peers that were heard lately.
    fn all(&self, now: Moment) -> impl Iterator<Item = (&Place, &Work)> {
        let fresh = self.peers.values().filter(move |(heard, _)| now <= *heard + self.fresh);
        let peers = fresh.flat_map(|(_, list)| list.iter().map(|(place, work)| (place, work)));
        self.own.iter().chain(peers)
    }
}

/// Counts of requests in progress.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    tables: Rc<RefCell<Tables>>,
}

/// A request in progress at a server; it ends when this is dropped.
#[derive(Debug)]
pub struct InProgress {
    loads: Loads,
    place: Place,
    prompt: u32,
}

impl Loads {
    /// Counts a request with `prompt` tokens to read.
    pub fn begin(&self, place: Place, prompt: u32) -> InProgress {
        let mut tables = self.tables.borrow_mut();
        let work = tables.own.entry(place.clone()).or_default();
        work.running += 1;
        work.prompt += prompt;
        InProgress { loads: self.clone(), place, prompt }
    }

    /// Takes in a peer's requests in progress, which count until it must be out of reach.
    pub fn heard(&self, peer: &DaemonId, now: Moment, fresh: Duration, work: Vec<(Place, Work)>) {
        let mut tables = self.tables.borrow_mut();
        tables.fresh = fresh;
        tables.peers.insert(peer.clone(), (now, work));
    }

    /// Takes in a server's own word.
    pub fn told(&self, server: &ServerStart, now: Moment, word: ServerWord) {
        self.tables.borrow_mut().words.insert(server.clone(), (now, word));
    }

    /// Returns this daemon's own requests in progress.
    pub fn own(&self) -> Vec<(Place, Work)> {
        let tables = self.tables.borrow();
        tables.own.iter().map(|(place, work)| (place.clone(), *work)).collect()
    }

    /// Returns the work at a server as far as known.
    pub fn at(&self, server: &ServerStart, now: Moment) -> Work {
        let mut work = self.sum(now, |place| place.server == *server);
        let tables = self.tables.borrow();
        if let Some((told, word)) = tables.words.get(server)
            && now <= *told + WORD_FRESH
        {
            work.running = work.running.max(word.running + word.waiting);
        }
        work
    }

    /// Returns how many requests are in progress at each place.
    pub fn running(&self, now: Moment) -> HashMap<Place, u32> {
        let tables = self.tables.borrow();
        let mut all = HashMap::new();
        for (place, work) in tables.all(now) {
            *all.entry(place.clone()).or_default() += work.running;
        }
        all
    }

    fn sum(&self, now: Moment, counts: impl Fn(&Place) -> bool) -> Work {
        let tables = self.tables.borrow();
        let mut sum = Work::default();
        for (_, work) in tables.all(now).filter(|(place, _)| counts(place)) {
            sum.running += work.running;
            sum.prompt += work.prompt;
        }
        sum
    }

    /// Forgets what is known of servers other than `known` and of peers that fell silent.
    pub fn retain(&self, now: Moment, known: impl Fn(&ServerStart) -> bool) {
        let mut tables = self.tables.borrow_mut();
        tables.words.retain(|start, _| known(start));
        let fresh = tables.fresh;
        tables.peers.retain(|_, (heard, _)| now <= *heard + fresh);
    }
}

impl InProgress {
    /// Notes the first event of the answer: the prompt has been read.
    pub fn first_event(&mut self) {
        let mut tables = self.loads.tables.borrow_mut();
        if let Some(work) = tables.own.get_mut(&self.place) {
            work.prompt = work.prompt.saturating_sub(self.prompt);
        }
        self.prompt = 0;
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let mut tables = self.loads.tables.borrow_mut();
        if let Some(work) = tables.own.get_mut(&self.place) {
            work.running = work.running.saturating_sub(1);
            work.prompt = work.prompt.saturating_sub(self.prompt);
            if work.running == 0 {
                tables.own.remove(&self.place);
            }
        }
    }
}
