//! How much work each backend server has, from this daemon's own requests and those of its peers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::workload_table::ModelKey;
use crate::cluster::workload_table::ServerKey;
use crate::cluster::workload_table::WorkloadSummary;
use crate::cluster::workload_table::WorkloadTable;
use crate::cluster::workload_table::server_key;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::ModelName;

/// A server's own word counts for this long: some steps of its batch.
const WORD_FRESH: Duration = Duration::from_millis(400);
/// A peer's word on requests counts for this long, five times the time between its words: loss alone does
/// not explain a longer silence.
const PEER_FRESH: Duration = Duration::from_millis(1500);

/// Requests at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workload {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of requests that have had no event yet.
    pub prompt_tokens: u32,
}

/// A start of a server, and the model where it is an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct WorkloadKey {
    /// The server.
    pub server: ServerInstance,
    /// The model.
    pub model: Option<ModelName>,
}

/// A server's own word on its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedWorkload {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// A table as told, and when.
#[derive(Debug, Default)]
struct Told {
    heard: Moment,
    table: WorkloadTable,
}

impl Told {
    fn is_fresh(&self, now: Moment) -> bool {
        now <= self.heard + PEER_FRESH
    }
}

#[derive(Debug, Default)]
struct Tables {
    own: HashMap<WorkloadKey, Workload>,
    /// Single daemons' requests.
    peers: HashMap<DaemonId, Told>,
    /// Requests of all daemons of other data centres, as their readers tell.
    centres: HashMap<CentreId, Told>,
    /// Requests of all daemons of this data centre, as its readers tell the lease holder.
    near: Option<Told>,
    /// Requests of all daemons, this one's as of its last telling included, as a reader of its data centre tells.
    fleet: Option<Told>,
    /// This daemon's requests as it last told them to a reader.
    last_own: WorkloadTable,
    words: HashMap<ServerInstance, (Moment, ReportedWorkload)>,
}

impl Tables {
    /// What a reader tells of all daemons, where this daemon lives by that.
    fn fleet(&self, now: Moment) -> Option<&WorkloadTable> {
        self.fleet.as_ref().filter(|told| told.is_fresh(now)).map(|told| &told.table)
    }

    /// What was heard of others, a daemon or a data centre each.
    fn others(&self, now: Moment) -> impl Iterator<Item = &WorkloadTable> {
        let all = self.peers.values().chain(self.centres.values());
        all.filter(move |told| told.is_fresh(now)).map(|told| &told.table)
    }

    fn own_at(&self, server: &ServerInstance) -> Workload {
        let mut sum = Workload::default();
        for (_, work) in self.own.iter().filter(|(place, _)| place.server == *server) {
            sum.running += work.running;
            sum.prompt_tokens += work.prompt_tokens;
        }
        sum
    }

    fn others_at(&self, key: ServerKey, now: Moment) -> Workload {
        if let Some(fleet) = self.fleet(now) {
            let (all, own) = (fleet.at(key), self.last_own.at(key));
            return Workload {
                running: all.running.saturating_sub(own.running),
                prompt_tokens: all.prompt_tokens.saturating_sub(own.prompt_tokens),
            };
        }
        let mut sum = Workload::default();
        for work in self.others(now).map(|table| table.at(key)) {
            sum.running += work.running;
            sum.prompt_tokens += work.prompt_tokens;
        }
        sum
    }

    fn centre_table(&self, now: Moment) -> WorkloadTable {
        let mut sum = self.own_table();
        for told in self.peers.values().filter(|told| told.is_fresh(now)) {
            sum.add_all(&told.table);
        }
        sum
    }

    fn own_table(&self) -> WorkloadTable {
        let mut table = WorkloadTable::default();
        for (place, work) in &self.own {
            table.add(place, *work);
        }
        table
    }
}

/// Counts of requests in progress.
#[derive(Clone, Debug, Default)]
pub struct Workloads {
    tables: Rc<RefCell<Tables>>,
}

/// A request in progress at a server; it ends when this is dropped.
#[derive(Debug)]
pub struct WorkloadGuard {
    loads: Workloads,
    place: WorkloadKey,
    prompt: u32,
}

impl Workloads {
    /// Counts a request with `prompt` tokens to read.
    pub fn begin(&self, place: WorkloadKey, prompt: u32) -> WorkloadGuard {
        let mut tables = self.tables.borrow_mut();
        let work = tables.own.entry(place.clone()).or_default();
        work.running += 1;
        work.prompt_tokens += prompt;
        WorkloadGuard { loads: self.clone(), place, prompt }
    }

    /// Takes in a peer's requests in progress, which count until it must be out of reach.
    pub fn set_peer(&self, peer: &DaemonId, now: Moment, work: Vec<(WorkloadKey, Workload)>) {
        let mut table = WorkloadTable::default();
        for (place, work) in work {
            table.add(&place, work);
        }
        let told = Told { heard: now, table };
        self.tables.borrow_mut().peers.insert(peer.clone(), told);
    }

    /// Takes in a reader's word on the requests of all daemons of another data centre.
    pub fn set_centre(&self, centre: &CentreId, now: Moment, notes: Vec<WorkloadSummary>) {
        let told = Told { heard: now, table: WorkloadTable::from(notes) };
        self.tables.borrow_mut().centres.insert(centre.clone(), told);
    }

    /// Takes in a reader's word on the requests of all daemons of this data centre, which has more in it than what
    /// single ones say here.
    pub fn set_own_centre(&self, now: Moment, notes: Vec<WorkloadSummary>) {
        let told = Told { heard: now, table: WorkloadTable::from(notes) };
        self.tables.borrow_mut().near = Some(told);
    }

    /// Takes in a reader's word on the requests of all daemons, which takes the place of what single ones say.
    pub fn set_fleet(&self, now: Moment, notes: Vec<WorkloadSummary>) {
        let told = Told { heard: now, table: WorkloadTable::from(notes) };
        self.tables.borrow_mut().fleet = Some(told);
    }

    /// Takes in a server's own word.
    pub fn set_reported(&self, server: &ServerInstance, now: Moment, reported: ReportedWorkload) {
        self.tables.borrow_mut().words.insert(server.clone(), (now, reported));
    }

    /// Returns this daemon's own requests in progress, to be told to peers.
    pub fn snapshot_own(&self) -> Vec<(WorkloadKey, Workload)> {
        let mut tables = self.tables.borrow_mut();
        tables.last_own = tables.own_table();
        tables.own.iter().map(|(place, work)| (place.clone(), *work)).collect()
    }

    /// Returns the requests of this daemon and of single others that were heard lately.
    pub fn centre_table(&self, now: Moment) -> WorkloadTable {
        self.tables.borrow().centre_table(now)
    }

    /// Returns the requests of all daemons by model, as far as known.
    pub fn fleet_table(&self, now: Moment) -> WorkloadTable {
        let tables = self.tables.borrow();
        let near = tables.near.as_ref().filter(|told| told.is_fresh(now));
        let mut sum = near.map_or_else(|| tables.centre_table(now), |told| told.table.clone());
        for told in tables.centres.values().filter(|told| told.is_fresh(now)) {
            sum.add_all(&told.table);
        }
        sum
    }

    /// Returns how many requests for a model are in progress at a server, over all daemons and as far as known.
    pub fn running(&self, server: ServerKey, model: ModelKey, now: Moment) -> u32 {
        let tables = self.tables.borrow();
        let near = tables.near.as_ref().filter(|told| told.is_fresh(now));
        let at = |told: &Told| told.table.running(server, model);
        let here = near.map_or_else(
            || {
                let peers = tables.peers.values().filter(|told| told.is_fresh(now));
                tables.own_table().running(server, model) + peers.map(at).sum::<u32>()
            },
            at,
        );
        let away = tables.centres.values().filter(|told| told.is_fresh(now));
        here + away.map(at).sum::<u32>()
    }

    /// Returns the work at a server as far as known.
    pub fn at(&self, server: &ServerInstance, now: Moment) -> Workload {
        let tables = self.tables.borrow();
        let mut work = tables.others_at(server_key(server), now);
        let own = tables.own_at(server);
        work.running += own.running;
        work.prompt_tokens += own.prompt_tokens;
        if let Some((told, word)) = tables.words.get(server)
            && now <= *told + WORD_FRESH
        {
            work.running = work.running.max(word.running + word.waiting);
        }
        work
    }

    /// Forgets what is known of servers other than `known` and of peers that fell silent.
    pub fn retain(&self, now: Moment, known: impl Fn(&ServerInstance) -> bool) {
        let mut tables = self.tables.borrow_mut();
        tables.words.retain(|start, _| known(start));
        tables.peers.retain(|_, told| told.is_fresh(now));
        tables.centres.retain(|_, told| told.is_fresh(now));
    }
}

impl WorkloadGuard {
    /// Notes the first event of the answer: the prompt has been read.
    pub fn first_event(&mut self) {
        let mut tables = self.loads.tables.borrow_mut();
        if let Some(work) = tables.own.get_mut(&self.place) {
            work.prompt_tokens = work.prompt_tokens.saturating_sub(self.prompt);
        }
        self.prompt = 0;
    }
}

impl Drop for WorkloadGuard {
    fn drop(&mut self) {
        let mut tables = self.loads.tables.borrow_mut();
        if let Some(work) = tables.own.get_mut(&self.place) {
            work.running = work.running.saturating_sub(1);
            work.prompt_tokens = work.prompt_tokens.saturating_sub(self.prompt);
            if work.running == 0 {
                tables.own.remove(&self.place);
            }
        }
    }
}
