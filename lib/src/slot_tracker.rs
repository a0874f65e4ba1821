//! State that the lease holder keeps for each slot and that is not in the log: the last order and
//! its answer, requests in progress and last use.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::host::Order;
use crate::host::OrderAction;
use crate::host::OrderAnswer;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::ModelName;
use crate::ids::Position;
use crate::ids::ServerId;
use crate::ids::SlotId;
use crate::record::Phase;
use crate::slots::Slot;

/// How long an order without an answer blocks further orders to its server. The sender's own
/// timeout is much shorter.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The last order for a slot and its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderState {
    /// What was ordered.
    pub action: OrderAction,
    /// When it was sent.
    pub sent_at: Duration,
    /// The slot's ticket at that time.
    pub ticket: Position,
    /// The order's fencing number.
    pub fence: Fence,
    /// Incarnation of the backend server that it was addressed to.
    pub incarnation: Incarnation,
    /// The answer; `None` until it arrives.
    pub answer: Option<OrderAnswer>,
    /// When the answer arrived; until then, when the order was sent.
    pub updated_at: Duration,
}

/// What this daemon tracks for one slot.
#[derive(Clone, Debug)]
pub struct TrackedSlot {
    /// When it last had a request, or became loaded.
    pub last_used: Duration,
    /// Requests started since the engine's start, as last reported.
    pub served: u64,
    /// Requests in progress, as last reported.
    pub active: u32,
    /// When it began to drain; `None` if it is not draining.
    pub drain_began: Option<Duration>,
    /// When its load began.
    pub load_began: Duration,
    /// The last order.
    pub order: Option<OrderState>,
    /// Whether the engine reported it loaded after the last order to load.
    pub loaded: bool,
    /// Whether the slot is to be freed once it is unloaded.
    pub evicting: bool,
    /// The slot's phase at the last update from the log.
    pub phase: Phase,
    /// The slot's ticket at the last update from the log.
    pub ticket: Position,
}

impl TrackedSlot {
    /// Returns whether a reserved slot was loaded without a record, as is done while the log is
    /// down.
    ///
    /// Uses the phase of the last update: a slot that the log has just moved from loaded to
    /// reserved does not count, since its model was unloaded and this entry may not be updated yet.
    pub fn is_unlogged_load(&self) -> bool {
        let ordered = self.order.is_some_and(|o| o.action == OrderAction::Load);
        self.loaded && ordered && self.phase == Phase::Reserved
    }

    /// Updates the entry from the slot's state in the log.
    pub fn update_from_log(&mut self, now: Duration, slot: &Slot) {
        if self.ticket != slot.ticket {
            // A new load was allowed: orders and reports of the previous load do not apply to it.
            self.ticket = slot.ticket;
            self.order = None;
            self.loaded = false;
            self.load_began = now;
        }
        if self.phase == slot.phase {
            return;
        }
        self.phase = slot.phase;
        self.drain_began = None;
        match slot.phase {
            Phase::Draining => {
                self.drain_began = Some(now);
                self.order = None;
            }
            Phase::Reserved => {
                self.order = None;
                self.loaded = false;
            }
            Phase::Loaded | Phase::Loading(_) => {}
        }
    }
}

/// Slots of the data centres whose leases this daemon holds.
#[derive(Debug, Default)]
pub struct SlotTracker {
    slots: BTreeMap<SlotId, TrackedSlot>,
    /// Backend servers with an unanswered order, and when it was sent.
    inflight: BTreeMap<ServerId, Duration>,
    /// When each model was last used here; kept after its slots are freed.
    last_uses: BTreeMap<ModelName, Duration>,
}

impl SlotTracker {
    /// Returns the entry of `slot`, created with `now` as its times if there was none.
    pub fn get_or_insert(&mut self, now: Duration, slot: SlotId) -> &mut TrackedSlot {
        self.slots.entry(slot).or_insert_with(|| TrackedSlot {
            last_used: now,
            served: 0,
            active: 0,
            drain_began: None,
            load_began: now,
            order: None,
            loaded: false,
            evicting: false,
            phase: Phase::Reserved,
            ticket: 0,
        })
    }

    /// Returns the entry of `slot`.
    pub fn get(&self, slot: SlotId) -> Option<&TrackedSlot> {
        self.slots.get(&slot)
    }

    /// Iterates over the slots that have an order and are not loaded.
    pub fn slots_with_order(&self) -> impl Iterator<Item = SlotId> {
        let has_order = |t: &TrackedSlot| t.order.is_some() && t.phase != Phase::Loaded;
        self.slots.iter().filter(move |(_, t)| has_order(t)).map(|(id, _)| *id)
    }

    /// Removes the slots for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(SlotId) -> bool) {
        self.slots.retain(|slot, _| keep(*slot));
    }

    /// Returns whether an order to `server` is unanswered.
    pub fn has_order_inflight(&self, now: Duration, server: &str) -> bool {
        self.inflight.get(server).is_some_and(|sent| now < *sent + ANSWER_TIMEOUT)
    }

    /// Records that an order is sent.
    pub fn record_order(&mut self, now: Duration, order: &Order) {
        self.inflight.insert(order.server.clone(), now);
        let Order { action, slot, ticket, fence, incarnation, .. } = *order;
        let tracked = self.get_or_insert(now, slot);
        tracked.order = Some(OrderState {
            action,
            sent_at: now,
            ticket,
            fence,
            incarnation,
            answer: None,
            updated_at: now,
        });
        if action == OrderAction::Load {
            tracked.load_began = now;
            tracked.loaded = false;
        }
    }

    /// Records the answer to the current order; an answer to an older one is ignored.
    pub fn record_answer(&mut self, now: Duration, order: &Order, answer: OrderAnswer) {
        self.inflight.remove(&order.server);
        let Some(tracked) = self.slots.get_mut(&order.slot) else {
            return;
        };
        let is_current = |o: &OrderState| o.fence == order.fence && o.ticket == order.ticket;
        let Some(state) = tracked.order.as_mut().filter(|o| is_current(o)) else {
            return;
        };
        if answer == OrderAnswer::Unsent {
            tracked.order = None;
        } else {
            state.answer = Some(answer);
            state.updated_at = now;
        }
    }

    /// Records a use of `model` and returns the time since the previous one.
    pub fn record_use(&mut self, now: Duration, model: &ModelName) -> Option<Duration> {
        let last = self.last_uses.insert(model.clone(), now);
        last.map(|last| now.saturating_sub(last))
    }
}
