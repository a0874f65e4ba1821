//! The next step of each slot: load, ready, drain, unload, free.
//!
//! A slot's count and memory are given back only after the engine answered an order to unload
//! under the current fencing number. On an engine that fences, that answer also shuts out every
//! older order; on one that does not, the fold keeps the slot until the daemon that gave the last
//! order is known to be gone or the engine reports that very load.

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

/// Time from the record that starts draining to the order to unload: routers learn of it meanwhile.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Most that a load report lags behind the engine.
pub const REPORT_LAG: Duration = Duration::from_secs(3);
/// How long a replica stays that has served nothing since its load.
const UNUSED_KEEP: Duration = Duration::from_secs(5);
/// Pause before an order is given again.
const ORDER_PAUSE: Duration = Duration::from_secs(1);

/// What to do with a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotStep {
    /// Order the engine to load.
    Load,
    /// Record another load, then order it: an engine that ignores fencing numbers gets one order a
    /// record, so that what is under way is always known.
    Reload,
    /// The load finished.
    Ready,
    /// Send no new requests.
    Drain(String),
    /// Send requests again.
    Retain,
    /// Order the engine to unload.
    Unload(String),
    /// Nothing is loaded any more; keep count and memory.
    Reserve(String),
    /// Give count and memory back.
    Free(String),
}

/// Decides the steps of one data centre's slots.
#[derive(Debug)]
pub struct SlotReconciler<'a> {
    /// Everything placement looks at.
    pub planner: LoadPlanner<'a>,
    /// Keep-warm times.
    pub keep_warm: &'a KeepWarm,
    /// This daemon and its start.
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
            Some(o) if o.action == OrderAction::Unload => emptied(o, "load given up")
                .filter(|s| !self.paused(o) || matches!(s, SlotStep::Free(_))),
            Some(o) => self.step_ordered(slot, o),
            None if own || self.is_fencing(slot) => Some(SlotStep::Load),
            None if self.is_orderer_gone(slot) => {
                Some(SlotStep::Unload("its orderer is gone".into()))
            }
            // Another daemon's order may still arrive at an engine that would not refuse it.
            None => None,
        }
    }

    /// Returns what follows an order to load that has shown no effect.
    fn step_ordered(&self, slot: &Slot, order: OrderState) -> Option<SlotStep> {
        let waited = self.planner.now.saturating_sub(order.sent_at);
        match order.answer {
            Some(OrderAnswer::Refused) => Some(SlotStep::Unload("the engine refused it".into())),
            Some(OrderAnswer::Done) if self.is_absent(slot, order.updated_at) => {
                let again = if self.is_fencing(slot) { SlotStep::Load } else { SlotStep::Reload };
                Some(again)
            }
            // A lost answer on an engine that ignores fencing numbers: a second order could
            // arrive after the slot was emptied, so only a report resolves it.
            Some(OrderAnswer::Unknown) if self.is_fencing(slot) && waited >= ORDER_PAUSE => {
                Some(SlotStep::Load)
            }
            // The engine started anew since: a connection to its old start carries nothing more.
            Some(OrderAnswer::Unknown) if self.is_restarted(slot, order) => {
                Some(SlotStep::Unload("the engine restarted".into()))
            }
            // A later order overtook it, or the lease went to another daemon, who will say so.
            Some(OrderAnswer::Stale) if waited >= ORDER_PAUSE => Some(SlotStep::Load),
            _ => None,
        }
    }

    fn step_reserved(&self, id: SlotId, slot: &Slot, tracked: &TrackedSlot) -> Option<SlotStep> {
        let giving = self.giving(id, slot, tracked);
        match tracked.order {
            Some(o) if o.action == OrderAction::Unload => {
                let reason = giving?;
                match emptied(o, &reason) {
                    Some(SlotStep::Unload(_)) if !self.paused(o) => Some(SlotStep::Unload(reason)),
                    Some(SlotStep::Free(_)) => Some(SlotStep::Free(reason)),
                    _ => None,
                }
            }
            // Woken without a record, which only engines that fence allow.
            Some(o) if giving.is_none() => {
                if self.is_reported(slot) {
                    return Some(SlotStep::Ready);
                }
                self.step_ordered(slot, o)
            }
            _ => giving.map(SlotStep::Unload),
        }
    }

    fn step_loaded(&self, id: SlotId, slot: &Slot, tracked: &TrackedSlot) -> Option<SlotStep> {
        if self.is_absent(slot, tracked.last_used) {
            return Some(SlotStep::Reserve("the engine no longer reports it".into()));
        }
        if let Some(reason) = self.giving(id, slot, tracked) {
            return Some(SlotStep::Drain(reason));
        }
        if tracked.active > 0 || self.planner.demand.total(&slot.model).is_some() {
            return None;
        }
        if self.planner.is_adapter_base(slot) {
            return None;
        }
        let row = self.planner.state.table.row(&slot.model)?;
        // A load that nobody used was for its checkpoint, or for callers who have gone.
        let keep = if tracked.served == 0 { UNUSED_KEEP } else { self.keep(row, slot) };
        let idle = self.planner.now.saturating_sub(tracked.last_used);
        (idle >= keep)
            .then(|| SlotStep::Drain(format!("idle {}s, kept {}s", idle.as_secs(), keep.as_secs())))
    }

    fn keep(&self, row: &Row, slot: &Slot) -> Duration {
        // The next start reads what this unload leaves in the server's memory or on its disk.
        let cold = self.planner.rates.expected_time(row.load_mib, Source::Disk);
        let member = self.planner.fleet.get(&slot.server);
        let whole = member.map_or(1, |m| m.host.memory_mib.max(1));
        let share = slot.memory_mib as f64 / whole as f64;
        self.keep_warm.keep_time(&row.name, cold, row.idle_price * share)
    }

    fn step_draining(&self, id: SlotId, slot: &Slot, tracked: &TrackedSlot) -> Option<SlotStep> {
        let giving = self.giving(id, slot, tracked);
        if let Some(o) = tracked.order.filter(|o| o.action == OrderAction::Unload) {
            return match (o.answer, giving) {
                (Some(OrderAnswer::Done), Some(reason)) => Some(SlotStep::Free(reason)),
                (Some(OrderAnswer::Done), None) => Some(SlotStep::Reserve("unloaded".into())),
                (Some(OrderAnswer::Busy), None) => Some(SlotStep::Retain),
                (None, _) => None,
                (Some(_), _) if self.paused(o) => None,
                (Some(_), _) => Some(SlotStep::Unload("ordered again".into())),
            };
        }
        let wanted = self.planner.demand.total(&slot.model).is_some();
        if giving.is_none() && wanted {
            return Some(SlotStep::Retain);
        }
        let drained = tracked.drain_began.is_some_and(|at| self.planner.now >= at + DRAIN_GRACE);
        let idle = tracked.active == 0;
        (drained && idle).then(|| SlotStep::Unload("drained".into()))
    }

    /// Returns whether the last order is too young to be given again.
    fn paused(&self, order: OrderState) -> bool {
        self.planner.now < order.sent_at + ORDER_PAUSE
    }

    /// Returns why the slot must be given back, if it must.
    fn giving(&self, id: SlotId, slot: &Slot, tracked: &TrackedSlot) -> Option<String> {
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

    /// Returns how many slots of the model come before this one when the table's count shrinks.
    fn rank(&self, id: SlotId, slot: &Slot) -> usize {
        let key = |id: SlotId, s: &Slot| (rank_of(s.phase), id);
        let own = key(id, slot);
        self.planner.state.slots_of(&slot.model).filter(|(i, s)| key(*i, s) < own).count()
    }

    fn reported(&self, slot: &Slot) -> Option<&ModelReport> {
        let (_, report) = self.planner.fleet.get(&slot.server)?.last_report.as_ref()?;
        report.model(&slot.model)
    }

    fn is_reported(&self, slot: &Slot) -> bool {
        // A lagging report may show the load before this one. Taking it for this one's end would send
        // requests to an engine that is still loading, and on one that ignores fencing numbers it
        // would pass an order that is still under way for one that was carried out.
        self.reported(slot).is_some_and(|m| m.loaded && m.ticket == slot.ticket)
    }

    fn is_restarted(&self, slot: &Slot, order: OrderState) -> bool {
        let server = self.planner.state.servers.get(&slot.server);
        server.is_some_and(|s| s.incarnation > order.incarnation)
    }

    /// Returns whether a report that is surely younger than `since` does not name the model.
    fn is_absent(&self, slot: &Slot, since: Duration) -> bool {
        let member = self.planner.fleet.get(&slot.server);
        let report = member.and_then(|m| m.last_report.as_ref());
        report.is_some_and(|(at, report)| {
            *at > since + REPORT_LAG && report.model(&slot.model).is_none()
        })
    }

    /// Returns whether the daemon that gave the slot's last order cannot have one under way.
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

/// Returns what follows an order to unload a slot that is given back.
fn emptied(order: OrderState, reason: &str) -> Option<SlotStep> {
    match order.answer {
        Some(OrderAnswer::Done) => Some(SlotStep::Free(reason.into())),
        Some(OrderAnswer::Unknown | OrderAnswer::Busy | OrderAnswer::Stale) => {
            Some(SlotStep::Unload(reason.into()))
        }
        _ => None,
    }
}
