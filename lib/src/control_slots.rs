//! Management of the lease holder's slots: next steps, loads, evictions and orders to engines.

use std::time::Duration;

use crate::control::Controller;
use crate::event::DecisionKind;
use crate::event::Effect;
use crate::host::Order;
use crate::host::OrderAction;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::ids::SlotId;
use crate::ids::order_fence;
use crate::load_planner::LoadPlanner;
use crate::load_planner::PlanStep;
use crate::record::Freed;
use crate::record::Intent;
use crate::record::Phase;
use crate::record::PhaseChange;
use crate::record::Record;
use crate::record::Source;
use crate::slot_reconciler::SlotReconciler;
use crate::slot_reconciler::SlotStep;
use crate::slots::Slot;

impl Controller {
    /// Applies the next step of each slot; between two full passes only of slots in transition.
    pub(crate) fn reconcile_slots(&mut self, now: Duration, full: bool) {
        let ids = if full { self.local_slots() } else { self.transitioning_slots() };
        for id in ids {
            let Some(slot) = self.state.slots.get(id).cloned() else {
                continue;
            };
            if self.is_freeing(id) {
                continue;
            }
            self.slot_tracker.get_or_insert(now, id).update_from_log(now, &slot);
            let step = {
                let reconciler = self.reconciler(now);
                self.slot_tracker
                    .get(id)
                    .and_then(|tracked| reconciler.next_step(id, &slot, tracked))
            };
            if let Some(step) = step {
                self.apply_step(now, id, &slot, step);
            }
        }
    }

    /// Returns the slots of this data centre that are loading or draining, or that have an
    /// unfinished order.
    fn transitioning_slots(&self) -> Vec<SlotId> {
        let centre = &self.settings.centre;
        let local =
            |s: &Slot| self.state.servers.get(&s.server).is_some_and(|f| f.centre == *centre);
        let transitioning =
            self.state.slots.transitioning().filter(|(_, s)| local(s)).map(|(id, _)| id);
        let mut ids: Vec<SlotId> =
            transitioning.chain(self.slot_tracker.slots_with_order()).collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    fn planner(&self, now: Duration) -> LoadPlanner<'_> {
        LoadPlanner {
            now,
            centre: &self.settings.centre,
            state: &self.state,
            fleet: &self.fleet,
            demand: &self.demand,
            rates: &self.rates,
            slot_tracker: &self.slot_tracker,
        }
    }

    fn reconciler(&self, now: Duration) -> SlotReconciler<'_> {
        SlotReconciler {
            planner: self.planner(now),
            keep_warm: &self.keep_warm,
            daemon: (&self.settings.id, self.settings.incarnation),
            lease_valid: self.authority.is_valid(now),
        }
    }

    fn apply_step(&mut self, now: Duration, id: SlotId, slot: &Slot, step: SlotStep) {
        let (model, server) = (slot.model.as_str(), slot.server.as_str());
        match step {
            SlotStep::Load => {
                self.send_order(now, id, OrderAction::Load);
            }
            SlotStep::Reload => {
                self.change_phase(id, slot.phase);
            }
            SlotStep::Ready => self.on_ready(now, id, slot),
            SlotStep::Drain(reason) => {
                if self.change_phase(id, Phase::Draining) {
                    self.log_decision(DecisionKind::Drain, model, server, reason);
                }
            }
            SlotStep::Retain => {
                if self.change_phase(id, Phase::Loaded) {
                    self.log_decision(DecisionKind::Retain, model, server, "it is wanted again");
                }
            }
            SlotStep::Unload(reason) => {
                if self.send_order(now, id, OrderAction::Unload) {
                    self.log_decision(DecisionKind::Unload, model, server, reason);
                }
            }
            SlotStep::Reserve(_) => {
                self.change_phase(id, Phase::Reserved);
            }
            SlotStep::Free(reason) => self.free(now, id, slot, reason),
        }
    }

    fn on_ready(&mut self, now: Duration, id: SlotId, slot: &Slot) {
        let tracked = self.slot_tracker.get_or_insert(now, id);
        if !tracked.loaded {
            tracked.loaded = true;
            tracked.last_used = now;
            let took = now.saturating_sub(tracked.load_began);
            if let (Phase::Loading(source), Some(row)) =
                (slot.phase, self.state.table.row(&slot.model))
            {
                self.rates.record_load(row.load_mib, source, took);
            }
            let reason = format!("loaded in {:.2}s", took.as_secs_f64());
            self.log_decision(DecisionKind::Ready, &slot.model, &slot.server, reason);
            self.effects.push(Effect::Publish);
        }
        self.change_phase(id, Phase::Loaded);
    }

    fn free(&mut self, now: Duration, id: SlotId, slot: &Slot, reason: String) {
        let Some(fence) = self.held_fence() else {
            return;
        };
        let orderer_gone = self.reconciler(now).is_orderer_gone(slot);
        let record = Record::Freed(Freed { slot: id, fence, orderer_gone });
        if self.appender.push_unique(record) {
            self.log_decision(DecisionKind::Free, &slot.model, &slot.server, reason);
        }
    }

    /// Queues a change of phase; returns false if it is queued or in flight already, if the queue
    /// is full, or if this daemon does not hold the lease.
    fn change_phase(&mut self, slot: SlotId, phase: Phase) -> bool {
        let Some(fence) = self.held_fence() else {
            return false;
        };
        self.appender.push_unique(Record::Phase(PhaseChange { slot, fence, phase }))
    }

    pub(crate) fn place_models(&mut self, now: Duration) {
        if self.stopping {
            return;
        }
        for plan in self.planner(now).plan_loads() {
            match plan {
                PlanStep::Place { model, server, source, reason } => {
                    self.place(now, model, server, source, reason);
                }
                PlanStep::Wake { slot, source, reason } => self.activate(now, slot, source, reason),
                PlanStep::Evict { slot, reason } => self.evict(now, slot, reason),
                PlanStep::Hold { model, reason } => {
                    if self.logged_holds.insert(model.clone(), reason) != Some(reason) {
                        self.log_decision(DecisionKind::Hold, &model, "", reason);
                    }
                }
            }
        }
        let demand = &self.demand;
        self.logged_holds.retain(|model, _| demand.total(model).is_some());
    }

    fn place(
        &mut self,
        now: Duration,
        model: ModelName,
        server: ServerId,
        source: Source,
        reason: String,
    ) {
        let (Some(fence), Some(facts)) = (self.held_fence(), self.state.servers.get(&server))
        else {
            return;
        };
        let queued =
            self.appender.any_pending(|r| matches!(r, Record::Intent(i) if i.model == model));
        if queued || !self.is_log_up(now) {
            return;
        }
        let incarnation = facts.incarnation;
        self.log_decision(DecisionKind::Place, &model, &server, reason);
        let intent = Intent { model, server, incarnation, fence, source };
        self.appender.push(Record::Intent(intent));
    }

    /// Loads the model of a reserved slot.
    ///
    /// The phase change is appended first, so that other daemons see the load. While the log is
    /// down, an engine that checks fencing numbers gets the order at once: the slot's count and
    /// memory belong to this lease until the engine has seen a newer fencing number, so the engine
    /// refuses a holder that has lost the lease without knowing it.
    fn activate(&mut self, now: Duration, id: SlotId, source: Source, reason: String) {
        let Some(slot) = self.state.slots.get(id).cloned() else {
            return;
        };
        if self.is_log_up(now) {
            if self.change_phase(id, Phase::Loading(source)) {
                self.log_decision(DecisionKind::Wake, &slot.model, &slot.server, reason);
            }
            return;
        }
        let fencing = self.state.servers.get(&slot.server).is_some_and(|s| s.fencing);
        let last_order = self.slot_tracker.get(id).and_then(|t| t.order);
        let is_unordered = last_order.is_none_or(|o| o.action != OrderAction::Load);
        if fencing && is_unordered && self.send_order(now, id, OrderAction::Load) {
            self.log_decision(
                DecisionKind::Wake,
                &slot.model,
                &slot.server,
                "reserved; the log is down",
            );
        }
    }

    fn evict(&mut self, now: Duration, id: SlotId, reason: String) {
        let Some(slot) = self.state.slots.get(id).cloned() else {
            return;
        };
        let tracked = self.slot_tracker.get_or_insert(now, id);
        if !tracked.evicting {
            tracked.evicting = true;
            self.log_decision(DecisionKind::Drain, &slot.model, &slot.server, reason);
        }
    }

    /// Returns whether a record that frees the slot is queued or in flight.
    ///
    /// Once it is sent, the slot may be free in the log before this daemon reads that, which can
    /// take long if it is disconnected from the log. A load ordered in that time would have no
    /// slot.
    pub(crate) fn is_freeing(&self, id: SlotId) -> bool {
        self.appender.any_pending(|r| matches!(r, Record::Freed(f) if f.slot == id))
    }

    /// Sends an order, unless one to the same backend server is unanswered; returns whether it was
    /// sent.
    ///
    /// Two concurrent orders could arrive in either sequence, and the engine would refuse the one
    /// with the lower fencing number if it came second.
    pub(crate) fn send_order(&mut self, now: Duration, id: SlotId, action: OrderAction) -> bool {
        let (Some(lease), Some(slot)) = (self.held_fence(), self.state.slots.get(id)) else {
            return false;
        };
        if self.slot_tracker.has_order_inflight(now, &slot.server) || self.is_freeing(id) {
            return false;
        }
        let Some(server) = self.state.servers.get(&slot.server) else {
            return false;
        };
        self.orders_given += 1;
        let fence = order_fence(lease, self.orders_given);
        let row = self.state.table.row(&slot.model);
        let order = Order {
            action,
            server: slot.server.clone(),
            incarnation: server.incarnation,
            model: slot.model.clone(),
            slot: id,
            ticket: slot.ticket,
            fence,
            memory_mib: slot.memory_mib,
            load_mib: row.map_or(0, |r| r.load_mib),
        };
        // An engine that ignores fencing numbers must not get an order after the lease has ended;
        // one that checks them refuses such an order itself.
        let expires = if server.fencing { None } else { self.authority.valid_until() };
        self.slot_tracker.record_order(now, &order);
        self.effects.push(Effect::Order(order, expires));
        true
    }
}
