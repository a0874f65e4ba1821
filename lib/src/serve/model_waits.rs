//! Requests of this daemon that wait for a model or an adapter, and what callers asked for.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::boot_clock::Moment;
use crate::cluster::digest::ArrivalCount;
use crate::cluster::digest::DemandReport;
use crate::cluster::digest::QueuedDemand;
use crate::cluster::server_instance::ServerInstance;
use crate::placement::demand::ModelTarget;

/// Arrivals of an item are told for this long after the last one.
const TOLD_FOR: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
struct Waiting {
    due: Moment,
    until: Moment,
    avoid: Vec<ServerInstance>,
}

#[derive(Debug, Default)]
struct Tables {
    waiting: BTreeMap<ModelTarget, BTreeMap<u64, Waiting>>,
    counts: BTreeMap<ModelTarget, (Moment, u32)>,
    next: u64,
}

/// The waiting requests by what they wait for.
#[derive(Clone, Debug, Default)]
pub struct ModelWaits {
    tables: Rc<RefCell<Tables>>,
    /// Signalled when engines hold something else than before.
    pub inventories_changed: Rc<Notify>,
    /// Signalled when a request begins to wait for something new.
    pub wait_started: Rc<Notify>,
}

/// A waiting request; it ends when this is dropped.
#[derive(Debug)]
pub struct WaitGuard {
    waits: ModelWaits,
    item: ModelTarget,
    number: u64,
}

impl ModelWaits {
    /// Counts an arrival.
    pub fn count_arrival(&self, item: &ModelTarget, now: Moment) {
        let mut tables = self.tables.borrow_mut();
        let count = tables.counts.entry(item.clone()).or_insert((now, 0));
        *count = (now, count.1 + 1);
    }

    /// Begins a wait for a model that must be there by `due` for a punctual answer, and by `until` for
    /// any; `avoid` are engines that this request cannot use.
    pub fn begin(
        &self,
        item: ModelTarget,
        due: Moment,
        until: Moment,
        avoid: Vec<ServerInstance>,
    ) -> WaitGuard {
        let mut tables = self.tables.borrow_mut();
        let number = tables.next;
        tables.next += 1;
        let list = tables.waiting.entry(item.clone()).or_default();
        list.insert(number, Waiting { due, until, avoid });
        drop(tables);
        self.wait_started.notify_one();
        WaitGuard { waits: self.clone(), item, number }
    }

    /// Returns how many requests wait for an item.
    pub fn waiting_for(&self, item: &ModelTarget) -> usize {
        self.tables.borrow().waiting.get(item).map_or(0, BTreeMap::len)
    }

    /// Returns how many requests wait.
    pub fn total(&self) -> usize {
        self.tables.borrow().waiting.values().map(BTreeMap::len).sum()
    }

    /// Returns the demand to be told.
    pub fn demand_note(&self, now: Moment) -> DemandReport {
        let tables = self.tables.borrow();
        let queued = tables.waiting.iter().map(|(item, list)| want(item, list, now)).collect();
        let fresh = tables.counts.iter().filter(|(_, (at, _))| now <= *at + TOLD_FOR);
        let arrivals = fresh.map(|(item, (_, count))| ArrivalCount {
            service: item.service.clone(),
            model: item.model.clone(),
            adapter: item.adapter.clone(),
            count: *count,
        });
        DemandReport { queued, arrivals: arrivals.collect() }
    }
}

fn want(item: &ModelTarget, list: &BTreeMap<u64, Waiting>, now: Moment) -> QueuedDemand {
    let until = list.values().map(|w| w.until).max().unwrap_or_default();
    let due = list.values().map(|w| w.due).max().unwrap_or_default();
    let mut avoid = list.values().next().map(|w| w.avoid.clone()).unwrap_or_default();
    avoid.retain(|id| list.values().all(|w| w.avoid.contains(id)));
    QueuedDemand {
        service: item.service.clone(),
        model: item.model.clone(),
        adapter: item.adapter.clone(),
        waiting: list.len() as u32,
        remaining_ms: until.saturating_sub(now).as_millis() as u32,
        due_ms: due.saturating_sub(now).as_millis() as u32,
        avoid,
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut tables = self.waits.tables.borrow_mut();
        if let Some(list) = tables.waiting.get_mut(&self.item) {
            list.remove(&self.number);
            if list.is_empty() {
                tables.waiting.remove(&self.item);
            }
        }
    }
}
