//! Which engines the lease holder has ordered lately, as it writes it beside the lease for whoever follows it.
//!
//! Where engines do not check fencing numbers, orders of two holders to one engine must lie apart. A successor that
//! knows nothing of the last holder's orders has to leave all engines alone for that long, and callers of cold models
//! wait meanwhile. So the holder writes down which engines it is about to order before it does: its successor then
//! waits for these, each for as long as its own last order asks, and serves callers from all others at once.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hasher as _;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::boot_clock::Moment;
use crate::ids::ServerId;

/// Short key of an engine, the same for all its starts. Two engines that share one wait for each other's orders.
pub type EngineKey = u32;

/// Engines that a record lists at most; with more it lists none, and a successor waits for all.
const MOST_LISTED: usize = 512;

/// Returns the key of an engine.
pub fn engine_key(id: &ServerId) -> EngineKey {
    let mut hasher = Xxh3::new();
    hasher.write(id.as_bytes());
    hasher.finish() as EngineKey
}

/// An engine that was ordered lately.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderNote {
    /// The engine.
    pub engine: EngineKey,
    /// Milliseconds from its last order until the record was made; none where orders may follow for as long as
    /// the lease lasts.
    pub age: Option<u32>,
}

/// The last holder's orders, as its successor may rely on them.
#[derive(Clone, Copy, Debug)]
pub struct Handover {
    /// When the last holder's record had been made at the latest.
    pub written: Moment,
    /// When it gave its last order at the latest.
    pub ended: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    /// Changes whose orders are being given.
    open: u32,
    /// When the last order was answered or given up.
    last: Moment,
}

/// Engines ordered lately, by this holder and by those before it.
#[derive(Debug)]
pub struct RecentOrders {
    /// How long orders of two holders to one engine must lie apart.
    apart: Duration,
    own: HashMap<EngineKey, Recent>,
    /// Until when engines must be left alone because of earlier holders' orders.
    inherited: HashMap<EngineKey, Moment>,
    /// Engines that every record allows to order from the acknowledged one on; none where all are allowed.
    listed: Option<HashSet<EngineKey>>,
    /// The same of the record that is being written.
    proposed: Option<HashSet<EngineKey>>,
}

impl RecentOrders {
    /// Starts without orders.
    pub fn new(apart: Duration) -> Self {
        Self {
            apart,
            own: HashMap::new(),
            inherited: HashMap::new(),
            listed: Some(HashSet::new()),
            proposed: Some(HashSet::new()),
        }
    }

    /// Forgets this daemon's own orders, as it begins a tenure, and takes over those of the last holder.
    pub fn inherit(&mut self, notes: &[OrderNote], handover: Handover) {
        let apart = self.apart;
        let free_from = |note: &OrderNote| match note.age {
            Some(age) => handover.written + apart.saturating_sub(Duration::from_millis(age.into())),
            None => handover.ended + apart,
        };
        self.forget();
        for note in notes {
            let free = self.inherited.entry(note.engine).or_default();
            *free = free_from(note).max(*free);
        }
    }

    /// Forgets all orders, as a tenure begins before which nothing is known.
    pub fn forget(&mut self) {
        self.own.clear();
        self.inherited.clear();
        self.listed = Some(HashSet::new());
        self.proposed = Some(HashSet::new());
    }

    /// Notes that orders to an engine are about to be given.
    pub fn begin(&mut self, engine: EngineKey, now: Moment) {
        let recent = self.own.entry(engine).or_default();
        recent.open += 1;
        recent.last = now;
    }

    /// Notes that no more orders to an engine follow.
    pub fn end(&mut self, engine: EngineKey, now: Moment) {
        if let Some(recent) = self.own.get_mut(&engine) {
            recent.open = recent.open.saturating_sub(1);
            recent.last = now;
        }
    }

    /// Returns whether an engine may be ordered as far as the records say.
    pub fn is_listed(&self, engine: EngineKey) -> bool {
        self.listed.as_ref().is_none_or(|listed| listed.contains(&engine))
    }

    /// Returns whether orders wait for a record that lists their engine.
    pub fn needs_record(&self) -> bool {
        self.own.iter().any(|(engine, recent)| recent.open > 0 && !self.is_listed(*engine))
    }

    /// Returns from when on an engine may be ordered in view of earlier holders.
    pub fn orderable_from(&self, engine: EngineKey) -> Moment {
        self.inherited.get(&engine).copied().unwrap_or_default()
    }

    /// Returns how many engines are left alone at a moment because of earlier holders' orders.
    pub fn blocked_engines(&self, now: Moment) -> usize {
        self.inherited.values().filter(|free| now < **free).count()
    }

    /// Returns what a record made now says; nothing where it would be too long.
    ///
    /// A record whose append is never answered may land all the same, and a successor then relies on it: from here
    /// on only engines that it lists may be ordered.
    pub fn propose(&mut self, now: Moment) -> Option<Vec<OrderNote>> {
        let apart = self.apart;
        self.own.retain(|_, recent| recent.open > 0 || now < recent.last + apart);
        self.inherited.retain(|_, free| now < *free);
        if self.own.len() + self.inherited.len() > MOST_LISTED {
            self.proposed = None;
            return None;
        }
        let open: HashSet<EngineKey> =
            self.own.iter().filter(|(_, r)| r.open > 0).map(|(engine, _)| *engine).collect();
        match &mut self.listed {
            Some(listed) => listed.retain(|engine| open.contains(engine)),
            None => self.listed = Some(open.clone()),
        }
        self.proposed = Some(open);
        let age = |duration: Duration| u32::try_from(duration.as_millis()).unwrap_or(u32::MAX);
        let own = self.own.iter().map(|(engine, recent)| {
            let since = age(now.saturating_sub(recent.last));
            OrderNote { engine: *engine, age: (recent.open == 0).then_some(since) }
        });
        let inherited = self.inherited.iter().map(|(engine, free)| {
            let since = age(apart.saturating_sub(free.saturating_sub(now)));
            OrderNote { engine: *engine, age: Some(since) }
        });
        Some(own.chain(inherited).collect())
    }

    /// Takes back what the newest record proposed: it is no renewal, and a renewal on its way may not list the same.
    pub fn withdraw(&mut self) {
        self.proposed = Some(HashSet::new());
    }

    /// Takes in that the record of the newest notes is in the feed.
    pub fn commit(&mut self) {
        self.listed.clone_from(&self.proposed);
    }
}
