//! Decides the next step of each slot: load, ready, drain, unload, free.
//!
//! A slot's replica count and memory are released only after the engine confirmed an unload order
//! that carried the current fencing number. An engine that checks fencing numbers then rejects
//! every older order. For one that does not, the replicated state keeps the slot until the daemon
//! that sent the last order is known to have stopped, or the engine reports that exact load.

use std::time::Duration;

use crate::host::ModelReport;
use crate::host::OrderAction;
use crate::host::OrderAnswer;
use crate::ids::DaemonId;
use crate::ids::Incarnation;
use crate::ids::SlotId;
use crate::keep_warm::KeepWarm;
use crate::load_planner::LoadPlanner;
use crate::record::Phase;
use crate::record::Source;
use crate::slot_tracker::OrderState;
use crate::slot_tracker::TrackedSlot;
use crate::slots::Slot;
use crate::table::Row;

/// Time between the record that starts a drain and the unload order, in which routers receive
/// the record.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Maximum delay of a server's report behind the engine's state.
pub const REPORT_LAG: Duration = Duration::from_secs(3);
/// How long a replica that has served no request since its load stays loaded.
const UNUSED_KEEP_TIME: Duration = Duration::from_secs(5);
/// Delay before an order is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What to do with a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotStep {
    /// Order the engine to load.
    Load,
    /// Record another load, then order it. An engine that ignores fencing numbers gets one order
    /// per record, so that the log always shows which order may be in flight.
    Reload,
    /// The load finished.
    Ready,
    /// Send no new requests.
    Drain(String),
    /// Cancel the drain and send requests again.
    Retain,
    /// Order the engine to unload.
    Unload(String),
    /// The model is no longer loaded; keep the replica count and memory reserved.
    Reserve(String),
    /// Release the replica count and memory.
    Free(String),
}

/// Decides the steps of one data centre's slots.
#[derive(Debug)]
pub struct SlotReconciler<'a> {
    /// Fleet state, demand and load rates that placement uses.
    pub planner: LoadPlanner<'a>,
    /// Keep-warm times.
    pub keep_warm: &'a KeepWarm,
    /// This daemon and its incarnation.
    pub daemon: (&'a DaemonId, Incarnation),
    /// Whether orders may go to engines that ignore fencing numbers.
    pub lease_valid: bool,
}

impl SlotReconciler<'_> {
    /// Returns the next step of `slot`, if any.
    pub fn next_step(&self, id: SlotId, slot: &Slot, tracked: &TrackedSlot) -> Option<SlotStep> {
        if !self.may_order(slot) {
            return None;
        }
        match slot.phase {
            Phase::Loading(_) => self.step_loading(slot, tracked),
            Phase::Reserved => self.step_reserved(id, slot, tracked),
            Phase::Loaded => self.step_loaded(id, slot, tracked),
            Phase::Draining => self.step_draining(id, slot, tracked),
        }
    }

    fn is_fencing(&self, slot: &Slot) -> bool {
        self.planner.state.servers.get(&slot.server).is_some_and(|s| s.fencing)
    }

    fn may_order(&self, slot: &Slot) -> bool {
        self.lease_valid || self.is_fencing(slot)
    }

    fn step_loading(&self, slot: &Slot, tracked: &TrackedSlot) -> Option<SlotStep> {
        if self.is_reported(slot) {
            return Some(SlotStep::Ready);
        }
        let own = slot.orderer.0 == *self.daemon.0 && slot.orderer.1 == self.daemon.1;
        match tracked.order {
            Some(o) if o.action == OrderAction::Unload => step_after_unload(o, "load given up")
                .filter(|s| !self.paused(o) || matches!(s, SlotStep::Free(_))),
            Some(o) => self.step_ordered(slot, o),
            None if own || self.is_fencing(slot) => Some(SlotStep::Load),
            None if self.is_orderer_gone(slot) => {
                Some(SlotStep::Unload("its orderer is gone".into()))
            }
            // Another daemon's order may still arrive, and this engine would not refuse it.
            None => None,
        }
    }

    /// Returns the next step after a load order whose load is not reported yet.
    fn step_ordered(&self, slot: &Slot, order: OrderState) -> Option<SlotStep> {
        let waited = self.planner.now.saturating_sub(order.sent_at);
        match order.answer {
            Some(OrderAnswer::Refused) => Some(SlotStep::Unload("the engine refused it".into())),
            Some(OrderAnswer::Done) if self.is_absent(slot, order.updated_at) => {
                let again = if self.is_fencing(slot) { SlotStep::Load } else { SlotStep::Reload };
                Some(again)
            }
            // Without fencing, a second order could arrive after the slot was unloaded, so after a
            // lost answer only a report resolves the outcome.
            Some(OrderAnswer::Unknown) if self.is_fencing(slot) && waited >= ORDER_RETRY_DELAY => {
                Some(SlotStep::Load)
            }
            // The engine has restarted: a connection to its old process delivers nothing more.
            Some(OrderAnswer::Unknown) if self.is_restarted(slot, order) => {
                Some(SlotStep::Unload("the engine restarted".into()))
            }
            // A later order overtook it, or another daemon holds the lease now, which the log
            // will show.
            Some(OrderAnswer::Stale) if waited >= ORDER_RETRY_DELAY => Some(SlotStep::Load),
            _ => None,
        }
    }

    fn step_reserved(&self, id: SlotId, slot: &Slot, tracked: &TrackedSlot) -> Option<SlotStep> {
        let free_reason = self.free_reason(id, slot, tracked);
        match tracked.order {
            Some(o) if o.action == OrderAction::Unload => {
                let reason = free_reason?;
                match step_after_unload(o, &reason) {
                    Some(SlotStep::Unload(_)) if !self.paused(o) => Some(SlotStep::Unload(reason)),
                    Some(SlotStep::Free(_)) => Some(SlotStep::Free(reason)),
                    _ => None,
                }
            }
            // Loaded without a record, which is allowed only on engines that check fencing numbers.
            Some(o) if free_reason.is_none() => {
                if self.is_reported(slot) {
                    return Some(SlotStep::Ready);
                }
                self.step_ordered(slot, o)
            }
            _ => free_reason.map(SlotStep::Unload),
        }
    }

    fn step_loaded(&self, id: SlotId, slot: &Slot, tracked: &TrackedSlot) -> Option<SlotStep> {
        if self.is_absent(slot, tracked.last_used) {
            return Some(SlotStep::Reserve("the engine no longer reports it".into()));
        }
        if let Some(reason) = self.free_reason(id, slot, tracked) {
            return Some(SlotStep::Drain(reason));
        }
        if tracked.active > 0 || self.planner.demand.total(&slot.model).is_some() {
            return None;
        }
        if self.planner.is_adapter_base(slot) {
            return None;
        }
        let row = self.planner.state.table.row(&slot.model)?;
        // An unused load only fetched its checkpoint, or its callers have disconnected.
        let keep = if tracked.served == 0 { UNUSED_KEEP_TIME } else { self.idle_limit(row, slot) };
        let idle = self.planner.now.saturating_sub(tracked.last_used);
        (idle >= keep)
            .then(|| SlotStep::Drain(format!("idle {}s, kept {}s", idle.as_secs(), keep.as_secs())))
    }

    fn idle_limit(&self, row: &Row, slot: &Slot) -> Duration {
        // The next load reads the local copy that this unload leaves in memory or on disk.
        let cold = self.planner.rates.expected_time(row.load_mib, Source::Disk);
        let host_state = self.planner.fleet.get(&slot.server);
        let host_memory = host_state.map_or(1, |m| m.host.memory_mib.max(1));
        let share = slot.memory_mib as f64 / host_memory as f64;
        self.keep_warm.keep_time(&row.name, cold, row.idle_price * share)
    }

    fn step_draining(&self, id: SlotId, slot: &Slot, tracked: &TrackedSlot) -> Option<SlotStep> {
        let free_reason = self.free_reason(id, slot, tracked);
        if let Some(o) = tracked.order.filter(|o| o.action == OrderAction::Unload) {
            return match (o.answer, free_reason) {
                (Some(OrderAnswer::Done), Some(reason)) => Some(SlotStep::Free(reason)),
                (Some(OrderAnswer::Done), None) => Some(SlotStep::Reserve("unloaded".into())),
                (Some(OrderAnswer::Busy), None) => Some(SlotStep::Retain),
                (None, _) => None,
                (Some(_), _) if self.paused(o) => None,
                (Some(_), _) => Some(SlotStep::Unload("ordered again".into())),
            };
        }
        let wanted = self.planner.demand.total(&slot.model).is_some();
        if free_reason.is_none() && wanted {
            return Some(SlotStep::Retain);
        }
        let drained = tracked.drain_began.is_some_and(|at| self.planner.now >= at + DRAIN_GRACE);
        let idle = tracked.active == 0;
        (drained && idle).then(|| SlotStep::Unload("drained".into()))
    }

    /// Returns whether it is too early to send the last order again.
    fn paused(&self, order: OrderState) -> bool {
        self.planner.now < order.sent_at + ORDER_RETRY_DELAY
    }

    /// Returns why the slot must be freed, if it must.
    fn free_reason(&self, id: SlotId, slot: &Slot, tracked: &TrackedSlot) -> Option<String> {
        let Some(row) = self.planner.state.table.row(&slot.model).filter(|r| r.is_loadable())
        else {
            return Some("not in the table".into());
        };
        if self.rank(id, slot) >= row.replicas as usize {
            return Some(format!("the table allows {}", row.replicas));
        }
        if slot.memory_mib != row.memory_mib && slot.phase != Phase::Loaded {
            return Some("its memory changed".into());
        }
        if self.planner.fleet.get(&slot.server).is_some_and(|m| m.leaving) {
            return Some("the server leaves".into());
        }
        tracked.evicting.then(|| "another model needs the memory".into())
    }

    /// Returns how many slots of the model are kept before this one when the table lowers the
    /// replica count.
    fn rank(&self, id: SlotId, slot: &Slot) -> usize {
        let key = |id: SlotId, s: &Slot| (rank_of(s.phase), id);
        let own = key(id, slot);
        self.planner.state.slots_of(&slot.model).filter(|(i, s)| key(*i, s) < own).count()
    }

    fn reported_model(&self, slot: &Slot) -> Option<&ModelReport> {
        let (_, report) = self.planner.fleet.get(&slot.server)?.last_report.as_ref()?;
        report.model(&slot.model)
    }

    fn is_reported(&self, slot: &Slot) -> bool {
        // A late report may show the previous load. Without the ticket check, requests would go to
        // an engine that is still loading, and on an engine that ignores fencing numbers an order
        // that is still in flight would count as carried out.
        self.reported_model(slot).is_some_and(|m| m.loaded && m.ticket == slot.ticket)
    }

    fn is_restarted(&self, slot: &Slot, order: OrderState) -> bool {
        let server = self.planner.state.servers.get(&slot.server);
        server.is_some_and(|s| s.incarnation > order.incarnation)
    }

    /// Returns whether a report that was certainly made after `since` does not list the model.
    fn is_absent(&self, slot: &Slot, since: Duration) -> bool {
        let host_state = self.planner.fleet.get(&slot.server);
        let report = host_state.and_then(|m| m.last_report.as_ref());
        report.is_some_and(|(at, report)| {
            *at > since + REPORT_LAG && report.model(&slot.model).is_none()
        })
    }

    /// Returns whether the daemon that sent the slot's last order can have none in flight: it
    /// restarted, or the host list no longer contains it.
    pub fn is_orderer_gone(&self, slot: &Slot) -> bool {
        let (daemon, incarnation) = &slot.orderer;
        let writer = self.planner.state.writers.get(daemon);
        let replaced = writer.is_some_and(|w| w.incarnation > *incarnation);
        let listed = self.planner.fleet.get(daemon).is_some();
        replaced || (self.planner.fleet.has_host_list() && !listed)
    }
}

fn rank_of(phase: Phase) -> u8 {
    match phase {
        Phase::Loaded => 0,
        Phase::Loading(_) => 1,
        Phase::Draining => 2,
        Phase::Reserved => 3,
    }
}

/// Returns the next step after an unload order for a slot that is being freed.
fn step_after_unload(order: OrderState, reason: &str) -> Option<SlotStep> {
    match order.answer {
        Some(OrderAnswer::Done) => Some(SlotStep::Free(reason.into())),
        Some(OrderAnswer::Unknown | OrderAnswer::Busy | OrderAnswer::Stale) => {
            Some(SlotStep::Unload(reason.into()))
        }
        _ => None,
    }
}
