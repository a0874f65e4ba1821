//! Tracks which engines recently received orders from the lease holder, which stores this list with the lease for its
//! successor.
//!
//! If engines do not check fencing numbers, two holders' orders to one engine must be separated in time. A successor
//! that does not know the previous holder's orders has to leave all engines unused for that long, and callers of cold
//! models wait. The holder therefore records which engines it is about to send orders to before it does so: its
//! successor then waits only for these, each according to its own last order, and uses all others at once.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hasher as _;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::boot_clock::Moment;
use crate::ids::ServerId;

/// Short hash of an engine's id, the same for all its instances. Engines with the same key wait for each other's
/// orders.
pub type EngineKey = u32;

/// Most engines that a record lists; with more it has no list, and a successor waits for all engines.
const MAX_LISTED: usize = 512;

/// Returns the key of an engine.
pub fn engine_key(id: &ServerId) -> EngineKey {
    let mut hasher = Xxh3::new();
    hasher.write(id.as_bytes());
    hasher.finish() as EngineKey
}

/// An engine that recently received orders.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderNote {
    /// The engine.
    pub engine: EngineKey,
    /// Milliseconds from its last order until the record was made; `None` if orders may follow for as long as the
    /// lease is valid.
    pub age: Option<u32>,
}

/// Times that a successor needs to interpret the previous holder's list.
#[derive(Clone, Copy, Debug)]
pub struct Handover {
    /// Latest time at which the previous holder's record was made.
    pub written: Moment,
    /// Latest time at which the previous holder gave an order.
    pub ended: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct EngineOrders {
    /// Number of changes in progress that send orders.
    open: u32,
    /// When the last order was answered or timed out.
    last_order: Moment,
}

/// Engines that recently received orders from this holder or earlier ones.
#[derive(Debug)]
pub struct RecentOrders {
    /// Minimum time between two holders' orders to one engine.
    order_gap: Duration,
    own_orders: HashMap<EngineKey, EngineOrders>,
    /// Until when engines may not receive orders because of earlier holders' orders.
    inherited: HashMap<EngineKey, Moment>,
    /// Engines that the acknowledged record and all later ones list; `None` if all engines may receive orders.
    listed: Option<HashSet<EngineKey>>,
    /// The same for the record being written.
    proposed: Option<HashSet<EngineKey>>,
}

impl RecentOrders {
    /// Starts without orders.
    pub fn new(order_gap: Duration) -> Self {
        Self {
            order_gap,
            own_orders: HashMap::new(),
            inherited: HashMap::new(),
            listed: Some(HashSet::new()),
            proposed: Some(HashSet::new()),
        }
    }

    /// Clears this daemon's own orders at the start of a lease and takes over those of the previous holder.
    pub fn inherit(&mut self, notes: &[OrderNote], handover: Handover) {
        let gap = self.order_gap;
        let orderable_at = |note: &OrderNote| match note.age {
            Some(age) => handover.written + gap.saturating_sub(Duration::from_millis(age.into())),
            None => handover.ended + gap,
        };
        self.forget();
        for note in notes {
            let orderable = self.inherited.entry(note.engine).or_default();
            *orderable = orderable_at(note).max(*orderable);
        }
    }

    /// Clears all orders, at the start of a lease for which no earlier orders are known.
    pub fn forget(&mut self) {
        self.own_orders.clear();
        self.inherited.clear();
        self.listed = Some(HashSet::new());
        self.proposed = Some(HashSet::new());
    }

    /// Records that orders to an engine are about to be sent.
    pub fn begin(&mut self, engine: EngineKey, now: Moment) {
        let recent = self.own_orders.entry(engine).or_default();
        recent.open += 1;
        recent.last_order = now;
    }

    /// Records that a change sends no more orders to an engine.
    pub fn end(&mut self, engine: EngineKey, now: Moment) {
        if let Some(recent) = self.own_orders.get_mut(&engine) {
            recent.open = recent.open.saturating_sub(1);
            recent.last_order = now;
        }
    }

    /// Returns whether the records allow orders to an engine.
    pub fn is_listed(&self, engine: EngineKey) -> bool {
        self.listed.as_ref().is_none_or(|listed| listed.contains(&engine))
    }

    /// Returns whether orders wait for a record that lists their engine.
    pub fn needs_record(&self) -> bool {
        self.own_orders.iter().any(|(engine, recent)| recent.open > 0 && !self.is_listed(*engine))
    }

    /// Returns from when on an engine may receive orders, considering earlier holders' orders.
    pub fn orderable_from(&self, engine: EngineKey) -> Moment {
        self.inherited.get(&engine).copied().unwrap_or_default()
    }

    /// Returns how many engines may not receive orders yet because of earlier holders' orders.
    pub fn blocked_engines(&self, now: Moment) -> usize {
        self.inherited.values().filter(|orderable| now < **orderable).count()
    }

    /// Returns the list for a record made now; `None` if it would be too long.
    ///
    /// A record whose append got no response may still be in the feed, and a successor then relies on it: from here
    /// on, only engines that it lists may receive orders.
    pub fn propose(&mut self, now: Moment) -> Option<Vec<OrderNote>> {
        let gap = self.order_gap;
        self.own_orders.retain(|_, recent| recent.open > 0 || now < recent.last_order + gap);
        self.inherited.retain(|_, orderable| now < *orderable);
        if self.own_orders.len() + self.inherited.len() > MAX_LISTED {
            self.proposed = None;
            return None;
        }
        let open: HashSet<EngineKey> =
            self.own_orders.iter().filter(|(_, r)| r.open > 0).map(|(engine, _)| *engine).collect();
        match &mut self.listed {
            Some(listed) => listed.retain(|engine| open.contains(engine)),
            None => self.listed = Some(open.clone()),
        }
        self.proposed = Some(open);
        let age = |duration: Duration| u32::try_from(duration.as_millis()).unwrap_or(u32::MAX);
        let own_orders = self.own_orders.iter().map(|(engine, recent)| {
            let since = age(now.saturating_sub(recent.last_order));
            OrderNote { engine: *engine, age: (recent.open == 0).then_some(since) }
        });
        let inherited = self.inherited.iter().map(|(engine, orderable)| {
            let since = age(gap.saturating_sub(orderable.saturating_sub(now)));
            OrderNote { engine: *engine, age: Some(since) }
        });
        Some(own_orders.chain(inherited).collect())
    }

    /// Discards the proposed list: the newest record is a release, and a renewal in flight may not list the same
    /// engines.
    pub fn withdraw(&mut self) {
        self.proposed = Some(HashSet::new());
    }

    /// Records that the record with the proposed list is in the feed.
    pub fn commit(&mut self) {
        self.listed.clone_from(&self.proposed);
    }
}
