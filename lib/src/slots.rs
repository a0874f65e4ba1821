//! Slots, indexed by id, model and backend server.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::Mebibytes;
use crate::ids::ModelName;
use crate::ids::Position;
use crate::ids::ServerId;
use crate::ids::SlotId;
use crate::record::Phase;

/// A reservation for one replica: one of its model's replica count, and memory on one backend
/// server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slot {
    /// The model.
    pub model: ModelName,
    /// The backend server.
    pub server: ServerId,
    /// Reserved memory. Fixed when the slot is created, so that a later edit of the table cannot
    /// lower it below what is loaded.
    pub memory_mib: Mebibytes,
    /// Phase of the replica. Invariant: count and memory stay reserved in every phase.
    pub phase: Phase,
    /// The daemon, with its incarnation, that may have an order for this slot in flight.
    pub orderer: (DaemonId, Incarnation),
    /// Fencing number of the last decision about it.
    pub fence: Fence,
    /// Position of the record that allowed the last load. Engines report it with the model, which
    /// distinguishes a late report of an earlier load.
    pub ticket: Position,
}

/// All slots. Invariant: the indexes contain exactly the slots in `all`. Only `all` is serialised.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "BTreeMap<SlotId, Slot>", into = "BTreeMap<SlotId, Slot>")]
pub struct Slots {
    all: BTreeMap<SlotId, Slot>,
    models: BTreeMap<ModelName, BTreeSet<SlotId>>,
    servers: BTreeMap<ServerId, BTreeSet<SlotId>>,
    /// Slots that are loading or draining.
    moving: BTreeSet<SlotId>,
}

impl From<BTreeMap<SlotId, Slot>> for Slots {
    fn from(slots: BTreeMap<SlotId, Slot>) -> Self {
        let mut out = Self::default();
        for (id, slot) in slots {
            out.insert(id, slot);
        }
        out
    }
}

impl From<Slots> for BTreeMap<SlotId, Slot> {
    fn from(slots: Slots) -> Self {
        slots.all
    }
}

impl Slots {
    /// Returns a slot.
    pub fn get(&self, id: SlotId) -> Option<&Slot> {
        self.all.get(&id)
    }

    /// Returns whether the slot exists.
    pub fn contains(&self, id: SlotId) -> bool {
        self.all.contains_key(&id)
    }

    /// Returns the number of slots.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns whether there are no slots.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Iterates over all slots in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (SlotId, &Slot)> {
        self.all.iter().map(|(id, slot)| (*id, slot))
    }

    /// Iterates over all slots without their ids.
    pub fn values(&self) -> impl Iterator<Item = &Slot> {
        self.all.values()
    }

    /// Iterates over the slots of a model.
    pub fn of_model(&self, model: &str) -> impl Iterator<Item = (SlotId, &Slot)> {
        self.select(self.models.get(model))
    }

    /// Iterates over the slots on a backend server.
    pub fn on_server(&self, server: &str) -> impl Iterator<Item = (SlotId, &Slot)> {
        self.select(self.servers.get(server))
    }

    /// Iterates over the slots that are loading or draining.
    pub fn transitioning(&self) -> impl Iterator<Item = (SlotId, &Slot)> {
        self.select(Some(&self.moving))
    }

    fn select<'a>(
        &'a self,
        ids: Option<&'a BTreeSet<SlotId>>,
    ) -> impl Iterator<Item = (SlotId, &'a Slot)> {
        ids.into_iter().flatten().filter_map(|id| Some((*id, self.all.get(id)?)))
    }

    /// Inserts a slot, replacing one with the same id.
    pub fn insert(&mut self, id: SlotId, slot: Slot) {
        self.remove(id);
        self.models.entry(slot.model.clone()).or_default().insert(id);
        self.servers.entry(slot.server.clone()).or_default().insert(id);
        if slot.phase.is_transitional() {
            self.moving.insert(id);
        }
        self.all.insert(id, slot);
    }

    /// Changes a slot, if it exists. `change` must not alter its model or backend server, which are
    /// indexed.
    pub fn update(&mut self, id: SlotId, change: impl FnOnce(&mut Slot)) {
        let Some(slot) = self.all.get_mut(&id) else {
            return;
        };
        change(slot);
        if slot.phase.is_transitional() {
            self.moving.insert(id);
        } else {
            self.moving.remove(&id);
        }
    }

    /// Removes a slot.
    pub fn remove(&mut self, id: SlotId) {
        let Some(slot) = self.all.remove(&id) else {
            return;
        };
        self.moving.remove(&id);
        remove_from_index(&mut self.models, &slot.model, id);
        remove_from_index(&mut self.servers, &slot.server, id);
    }
}

fn remove_from_index(index: &mut BTreeMap<ModelName, BTreeSet<SlotId>>, key: &str, id: SlotId) {
    if let Some(ids) = index.get_mut(key) {
        ids.remove(&id);
        if ids.is_empty() {
            index.remove(key);
        }
    }
}
