//! Requests in progress at each backend server, from this daemon's own requests and the reports of its peers.

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

/// A server's own workload report counts for this long: a few steps of its batch.
const SERVER_REPORT_FRESH: Duration = Duration::from_millis(400);
/// A workload report of a peer or reader counts for this long, five times the interval between reports:
/// packet loss alone does not explain a longer gap.
const REPORT_FRESH: Duration = Duration::from_millis(1500);

/// Requests at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workload {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of requests that have had no event yet.
    pub prompt_tokens: u32,
}

/// A server instance, and the model if the server is an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct WorkloadKey {
    /// The server instance.
    pub server: ServerInstance,
    /// The model; `None` if the server is not an engine.
    pub model: Option<ModelName>,
}

/// A server's own workload report.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedWorkload {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the server.
    pub waiting: u32,
    /// Requests that the server can run at once.
    pub slots: u32,
    /// Time that work takes at the server's host now, in percent of the usual; `None` if the header does not state it.
    pub slowdown_percent: Option<u32>,
}

/// A table received from a peer or reader, and when.
#[derive(Debug, Default)]
struct ReceivedTable {
    received_at: Moment,
    table: WorkloadTable,
}

impl ReceivedTable {
    fn is_fresh(&self, now: Moment) -> bool {
        now <= self.received_at + REPORT_FRESH
    }
}

#[derive(Debug, Default)]
struct Tables {
    own: HashMap<WorkloadKey, Workload>,
    /// Requests of single daemons, as each reports its own.
    peers: HashMap<DaemonId, ReceivedTable>,
    /// Requests of all daemons of other data centres, as their readers report.
    centres: HashMap<CentreId, ReceivedTable>,
    /// Requests of all daemons of this data centre, as its readers report to the lease holder.
    own_centre: Option<ReceivedTable>,
    /// Requests of all daemons, as reported by a reader of this data centre. Includes this daemon's own as it
    /// last published them.
    fleet: Option<ReceivedTable>,
    /// This daemon's requests as it last published them to a reader.
    published_own: WorkloadTable,
    server_reports: HashMap<ServerInstance, (Moment, ReportedWorkload)>,
}

impl Tables {
    /// Returns the requests of all daemons if a reader reported them recently.
    fn fleet(&self, now: Moment) -> Option<&WorkloadTable> {
        self.fleet
            .as_ref()
            .filter(|received| received.is_fresh(now))
            .map(|received| &received.table)
    }

    /// Returns the recent tables of other daemons and data centres.
    fn others(&self, now: Moment) -> impl Iterator<Item = &WorkloadTable> {
        let all = self.peers.values().chain(self.centres.values());
        all.filter(move |received| received.is_fresh(now)).map(|received| &received.table)
    }

    fn own_at(&self, server: &ServerInstance) -> Workload {
        let mut sum = Workload::default();
        for (_, workload) in self.own.iter().filter(|(key, _)| key.server == *server) {
            sum.running += workload.running;
            sum.prompt_tokens += workload.prompt_tokens;
        }
        sum
    }

    fn others_at(&self, key: ServerKey, now: Moment) -> Workload {
        if let Some(fleet) = self.fleet(now) {
            let (all, own) = (fleet.at(key), self.published_own.at(key));
            return Workload {
                running: all.running.saturating_sub(own.running),
                prompt_tokens: all.prompt_tokens.saturating_sub(own.prompt_tokens),
            };
        }
        let mut sum = Workload::default();
        for workload in self.others(now).map(|table| table.at(key)) {
            sum.running += workload.running;
            sum.prompt_tokens += workload.prompt_tokens;
        }
        sum
    }

    fn centre_table(&self, now: Moment) -> WorkloadTable {
        let mut sum = self.own_table();
        for received in self.peers.values().filter(|received| received.is_fresh(now)) {
            sum.add_all(&received.table);
        }
        sum
    }

    fn own_table(&self) -> WorkloadTable {
        let mut table = WorkloadTable::default();
        for (key, workload) in &self.own {
            table.add(key, *workload);
        }
        table
    }
}

/// Requests in progress, counted by server and model.
#[derive(Clone, Debug, Default)]
pub struct Workloads {
    tables: Rc<RefCell<Tables>>,
}

/// Counts one request in progress at a server until it is dropped.
#[derive(Debug)]
pub struct WorkloadGuard {
    workloads: Workloads,
    key: WorkloadKey,
    prompt_tokens: u32,
}

impl Workloads {
    /// Counts a request whose prompt has `prompt_tokens` tokens.
    pub fn begin(&self, key: WorkloadKey, prompt_tokens: u32) -> WorkloadGuard {
        let mut tables = self.tables.borrow_mut();
        let workload = tables.own.entry(key.clone()).or_default();
        workload.running += 1;
        workload.prompt_tokens += prompt_tokens;
        WorkloadGuard { workloads: self.clone(), key, prompt_tokens }
    }

    /// Records a peer's requests in progress. They count until `REPORT_FRESH` has passed without a further
    /// report: the peer must then be unreachable.
    pub fn set_peer(&self, peer: &DaemonId, now: Moment, workloads: Vec<(WorkloadKey, Workload)>) {
        let mut table = WorkloadTable::default();
        for (key, workload) in workloads {
            table.add(&key, workload);
        }
        let received = ReceivedTable { received_at: now, table };
        self.tables.borrow_mut().peers.insert(peer.clone(), received);
    }

    /// Records a reader's report on the requests of all daemons of another data centre.
    pub fn set_centre(&self, centre: &CentreId, now: Moment, summaries: Vec<WorkloadSummary>) {
        let received = ReceivedTable { received_at: now, table: WorkloadTable::from(summaries) };
        self.tables.borrow_mut().centres.insert(centre.clone(), received);
    }

    /// Records a reader's report on the requests of all daemons of this data centre. It covers more than the
    /// single peers' reports that arrive here.
    pub fn set_own_centre(&self, now: Moment, summaries: Vec<WorkloadSummary>) {
        let received = ReceivedTable { received_at: now, table: WorkloadTable::from(summaries) };
        self.tables.borrow_mut().own_centre = Some(received);
    }

    /// Records a reader's report on the requests of all daemons. While it is recent, `workload_at` uses it instead
    /// of the reports of single peers and data centres.
    pub fn set_fleet(&self, now: Moment, summaries: Vec<WorkloadSummary>) {
        let received = ReceivedTable { received_at: now, table: WorkloadTable::from(summaries) };
        self.tables.borrow_mut().fleet = Some(received);
    }

    /// Records a server's own workload report.
    pub fn set_reported(&self, server: &ServerInstance, now: Moment, reported: ReportedWorkload) {
        self.tables.borrow_mut().server_reports.insert(server.clone(), (now, reported));
    }

    /// Returns this daemon's own requests in progress, to be published to peers.
    pub fn snapshot_own(&self) -> Vec<(WorkloadKey, Workload)> {
        let mut tables = self.tables.borrow_mut();
        tables.published_own = tables.own_table();
        tables.own.iter().map(|(key, workload)| (key.clone(), *workload)).collect()
    }

    /// Returns the requests of this daemon and of the peers that reported recently.
    pub fn centre_table(&self, now: Moment) -> WorkloadTable {
        self.tables.borrow().centre_table(now)
    }

    /// Returns the requests of all daemons that reported recently, by model.
    pub fn fleet_table(&self, now: Moment) -> WorkloadTable {
        let tables = self.tables.borrow();
        let own_centre = tables.own_centre.as_ref().filter(|received| received.is_fresh(now));
        let mut sum =
            own_centre.map_or_else(|| tables.centre_table(now), |received| received.table.clone());
        for received in tables.centres.values().filter(|received| received.is_fresh(now)) {
            sum.add_all(&received.table);
        }
        sum
    }

    /// Returns how many requests for a model are in progress at a server, over all daemons that reported
    /// recently.
    pub fn running(&self, server: ServerKey, model: ModelKey, now: Moment) -> u32 {
        let tables = self.tables.borrow();
        let own_centre = tables.own_centre.as_ref().filter(|received| received.is_fresh(now));
        let at = |received: &ReceivedTable| received.table.running(server, model);
        let in_centre = own_centre.map_or_else(
            || {
                let peers = tables.peers.values().filter(|received| received.is_fresh(now));
                tables.own_table().running(server, model) + peers.map(at).sum::<u32>()
            },
            at,
        );
        let remote = tables.centres.values().filter(|received| received.is_fresh(now));
        in_centre + remote.map(at).sum::<u32>()
    }

    /// Returns the requests at a server, over all daemons that reported recently. The count is at least what
    /// the server itself reports.
    pub fn workload_at(&self, server: &ServerInstance, now: Moment) -> Workload {
        let tables = self.tables.borrow();
        let mut workload = tables.others_at(server_key(server), now);
        let own = tables.own_at(server);
        workload.running += own.running;
        workload.prompt_tokens += own.prompt_tokens;
        if let Some((received_at, report)) = tables.server_reports.get(server)
            && now <= *received_at + SERVER_REPORT_FRESH
        {
            workload.running = workload.running.max(report.running + report.waiting);
        }
        workload
    }

    /// Drops servers that are not `known`, and reports of peers and data centres that are no longer recent.
    pub fn retain(&self, now: Moment, known: impl Fn(&ServerInstance) -> bool) {
        let mut tables = self.tables.borrow_mut();
        tables.server_reports.retain(|instance, _| known(instance));
        tables.peers.retain(|_, received| received.is_fresh(now));
        tables.centres.retain(|_, received| received.is_fresh(now));
    }
}

impl WorkloadGuard {
    /// Records the first event of the response: the prompt has been processed.
    pub fn first_event(&mut self) {
        let mut tables = self.workloads.tables.borrow_mut();
        if let Some(workload) = tables.own.get_mut(&self.key) {
            workload.prompt_tokens = workload.prompt_tokens.saturating_sub(self.prompt_tokens);
        }
        self.prompt_tokens = 0;
    }
}

impl Drop for WorkloadGuard {
    fn drop(&mut self) {
        let mut tables = self.workloads.tables.borrow_mut();
        if let Some(workload) = tables.own.get_mut(&self.key) {
            workload.running = workload.running.saturating_sub(1);
            workload.prompt_tokens = workload.prompt_tokens.saturating_sub(self.prompt_tokens);
            if workload.running == 0 {
                tables.own.remove(&self.key);
            }
        }
    }
}
