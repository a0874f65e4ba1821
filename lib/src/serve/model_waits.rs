//! This daemon's requests that wait for a model or an adapter, and the number of requests received for each.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::boot_clock::Moment;
use crate::cluster::digest::ArrivalCount;
use crate::cluster::digest::DemandReport;
use crate::cluster::digest::QueuedDemand;
use crate::cluster::digest::VersionDemand;
use crate::cluster::server_instance::ServerInstance;
use crate::placement::demand::ModelTarget;

/// The arrival count of a model target is published for this long after the last arrival.
const REPORT_ARRIVALS_FOR: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
struct WaitingRequest {
    due: Moment,
    until: Moment,
    avoid: Vec<ServerInstance>,
}

#[derive(Debug, Default)]
struct Tables {
    waiting: BTreeMap<ModelTarget, BTreeMap<u64, WaitingRequest>>,
    arrival_counts: BTreeMap<ModelTarget, (Moment, u32)>,
    next_id: u64,
}

/// Waiting requests and arrival counts by model target.
#[derive(Clone, Debug, Default)]
pub struct ModelWaits {
    tables: Rc<RefCell<Tables>>,
    /// Signalled when the inventory of an engine changes.
    pub inventories_changed: Rc<Notify>,
    /// Signalled when a request begins to wait.
    pub wait_started: Rc<Notify>,
}

/// A waiting request; its wait ends when this is dropped.
#[derive(Debug)]
pub struct WaitGuard {
    waits: ModelWaits,
    target: ModelTarget,
    id: u64,
}

impl ModelWaits {
    /// Counts the arrival of a request for a model target.
    pub fn count_arrival(&self, target: &ModelTarget, now: Moment) {
        let mut tables = self.tables.borrow_mut();
        let count = tables.arrival_counts.entry(target.clone()).or_insert((now, 0));
        *count = (now, count.1 + 1);
    }

    /// Begins a wait for a model.
    ///
    /// The model must be loaded by `due` for an answer on time, and by `until` for any answer. `avoid` lists
    /// the engines that this request cannot use.
    pub fn begin(
        &self,
        target: ModelTarget,
        due: Moment,
        until: Moment,
        avoid: Vec<ServerInstance>,
    ) -> WaitGuard {
        let mut tables = self.tables.borrow_mut();
        let id = tables.next_id;
        tables.next_id += 1;
        let requests = tables.waiting.entry(target.clone()).or_default();
        requests.insert(id, WaitingRequest { due, until, avoid });
        drop(tables);
        self.wait_started.notify_one();
        WaitGuard { waits: self.clone(), target, id }
    }

    /// Returns how many requests wait for a model target.
    pub fn waiting_for(&self, target: &ModelTarget) -> usize {
        self.tables.borrow().waiting.get(target).map_or(0, BTreeMap::len)
    }

    /// Returns how many requests wait for any model target.
    pub fn total(&self) -> usize {
        self.tables.borrow().waiting.values().map(BTreeMap::len).sum()
    }

    /// Returns the demand to publish: waiting requests and the counts of recent arrivals.
    pub fn demand_report(&self, now: Moment) -> DemandReport {
        let tables = self.tables.borrow();
        let queued = tables
            .waiting
            .iter()
            .filter(|(target, _)| target.version.is_none())
            .map(|(target, requests)| queued_demand(target, requests, now))
            .collect();
        let recent =
            tables.arrival_counts.iter().filter(|(_, (at, _))| now <= *at + REPORT_ARRIVALS_FOR);
        let arrivals = recent.map(|(target, (_, count))| ArrivalCount {
            service: target.service.clone(),
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            count: *count,
        });
        DemandReport { queued, arrivals: arrivals.collect() }
    }

    /// Returns the waiting streams that only servers of one software version can continue, to publish them.
    pub fn version_demand(&self, now: Moment) -> Vec<VersionDemand> {
        let tables = self.tables.borrow();
        let demand = |(target, requests): (&ModelTarget, _)| {
            let version = target.version.clone()?;
            Some(VersionDemand { version, queued: queued_demand(target, requests, now) })
        };
        tables.waiting.iter().filter_map(demand).collect()
    }
}

fn queued_demand(
    target: &ModelTarget,
    requests: &BTreeMap<u64, WaitingRequest>,
    now: Moment,
) -> QueuedDemand {
    let until = requests.values().map(|w| w.until).max().unwrap_or_default();
    let due = requests.values().map(|w| w.due).max().unwrap_or_default();
    let mut avoid = requests.values().next().map(|w| w.avoid.clone()).unwrap_or_default();
    avoid.retain(|id| requests.values().all(|w| w.avoid.contains(id)));
    QueuedDemand {
        service: target.service.clone(),
        model: target.model.clone(),
        adapter: target.adapter.clone(),
        waiting: requests.len() as u32,
        remaining_ms: until.saturating_sub(now).as_millis() as u32,
        due_ms: due.saturating_sub(now).as_millis() as u32,
        avoid,
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut tables = self.waits.tables.borrow_mut();
        if let Some(requests) = tables.waiting.get_mut(&self.target) {
            requests.remove(&self.id);
            if requests.is_empty() {
                tables.waiting.remove(&self.target);
            }
        }
    }
}
