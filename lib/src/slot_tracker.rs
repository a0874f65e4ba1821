//! What the holder of a lease knows of its slots beyond the log.

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

/// An order counts as unanswered for this long; its sender gives up much earlier.
const ANSWER_BOUND: Duration = Duration::from_secs(10);

/// The last order for a slot and how it went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderState {
    /// What was ordered.
    pub action: OrderAction,
    /// When it was sent.
    pub sent_at: Duration,
    /// The slot's ticket then.
    pub ticket: Position,
    /// The order's fencing number.
    pub fence: Fence,
    /// Incarnation of the backend server that it was meant for.
    pub incarnation: Incarnation,
    /// The answer, once there is one.
    pub answer: Option<OrderAnswer>,
    /// When the answer came; before, when the order was sent.
    pub updated_at: Duration,
}

/// Knowledge about one slot.
#[derive(Clone, Debug)]
pub struct TrackedSlot {
    /// When it last had a request, or became loaded.
    pub last_used: Duration,
    /// Requests begun, as last reported.
    pub served: u64,
    /// Requests in progress, as last reported.
    pub active: u32,
    /// When it began to drain.
    pub drain_began: Option<Duration>,
    /// When its load began.
    pub load_began: Duration,
    /// The last order.
    pub order: Option<OrderState>,
    /// Whether the engine reported it loaded after the last order to load.
    pub loaded: bool,
    /// Whether the slot is to be given back once it is empty.
    pub evicting: bool,
    /// The slot's phase when it was last looked at.
    pub phase: Phase,
    /// The slot's ticket when it was last looked at.
    pub ticket: Position,
}

impl TrackedSlot {
    /// Returns whether a reserved slot was loaded without a record, as is done while the log is down.
    ///
    /// A slot that the log has just moved from loaded to reserved is none: its watch may not have
    /// followed yet, and what was loaded then is unloaded now.
    pub fn is_unlogged_load(&self) -> bool {
        let ordered = self.order.is_some_and(|o| o.action == OrderAction::Load);
        self.loaded && ordered && self.phase == Phase::Reserved
    }

    /// Follows what the log says of the slot.
    pub fn update_from_log(&mut self, now: Duration, slot: &Slot) {
        if self.ticket != slot.ticket {
            // A new load was allowed; orders and reports of the one before say nothing of it.
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

/// Slots of the data centres that this daemon leads.
#[derive(Debug, Default)]
pub struct SlotTracker {
    slots: BTreeMap<SlotId, TrackedSlot>,
    /// Backend servers with an unanswered order, and when it was sent.
    busy: BTreeMap<ServerId, Duration>,
    /// When each model was last used here, which outlasts its slots.
    last: BTreeMap<ModelName, Duration>,
}

impl SlotTracker {
    /// Returns the watch of `slot`, which starts at `now` where there was none.
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

    /// Returns the watch of `slot`.
    pub fn get(&self, slot: SlotId) -> Option<&TrackedSlot> {
        self.slots.get(&slot)
    }

    /// Iterates over the slots with an order whose end is not seen yet.
    pub fn slots_with_order(&self) -> impl Iterator<Item = SlotId> {
        let ordered = |w: &TrackedSlot| w.order.is_some() && w.phase != Phase::Loaded;
        self.slots.iter().filter(move |(_, w)| ordered(w)).map(|(id, _)| *id)
    }

    /// Forgets slots that `stays` does not name.
    pub fn retain(&mut self, stays: impl Fn(SlotId) -> bool) {
        self.slots.retain(|slot, _| stays(*slot));
    }

    /// Returns whether an order to `server` is unanswered.
    pub fn has_order_inflight(&self, now: Duration, server: &str) -> bool {
        self.busy.get(server).is_some_and(|sent| now < *sent + ANSWER_BOUND)
    }

    /// Notes that an order is sent.
    pub fn record_order(&mut self, now: Duration, order: &Order) {
        self.busy.insert(order.server.clone(), now);
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

    /// Notes the answer to the order that is under way; an answer to an older one is ignored.
    pub fn record_answer(&mut self, now: Duration, order: &Order, answer: OrderAnswer) {
        self.busy.remove(&order.server);
        let Some(tracked) = self.slots.get_mut(&order.slot) else {
            return;
        };
        let this = |o: &OrderState| o.fence == order.fence && o.ticket == order.ticket;
        let Some(state) = tracked.order.as_mut().filter(|o| this(o)) else {
            return;
        };
        if answer == OrderAnswer::Unsent {
            tracked.order = None;
        } else {
            state.answer = Some(answer);
            state.updated_at = now;
        }
    }

    /// Notes a use of `model`; returns the time since the one before.
    pub fn record_use(&mut self, now: Duration, model: &ModelName) -> Option<Duration> {
        let last = self.last.insert(model.clone(), now);
        last.map(|last| now.saturating_sub(last))
    }
}
