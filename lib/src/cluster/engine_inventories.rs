//! The models and adapters that engines have loaded now, as reported by the holder of the placement lease.
//!
//! Servers' entries in the store contain the same, but up to two seconds later, and adapters only from the
//! next heartbeat on.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::cluster::digest::LoadedModelReport;
use crate::cluster::directory::LoadedModel;
use crate::cluster::directory::Server;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::Fence;
use crate::ids::ModelName;

/// A reported load that is overdue by this much is ignored: the daemon that reported it may be unavailable.
const OVERDUE_TIMEOUT: Duration = Duration::from_secs(3);

/// A model or adapter that an engine is loading.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PendingLoad {
    /// The model, or the base model of the adapter.
    pub model: ModelName,
    /// The adapter; `None` if the model itself is being loaded.
    pub adapter: Option<SmolStr>,
    /// Expected time until it can serve requests, in milliseconds.
    pub eta_ms: u32,
}

/// An entry supersedes an inventory if it is at least this many heartbeats later: one heartbeat may already
/// have been in transit, and another may not have been read here yet.
const NEWER_HEARTBEATS: u64 = 3;

/// What one engine has loaded and is loading, as published by the lease holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineInventory {
    /// The engine instance.
    pub server: ServerInstance,
    /// Number of orders that it had accepted.
    pub sequence: u64,
    /// Its newest heartbeat known to the lease holder.
    pub heartbeat: u64,
    /// Models that can serve requests, with their loaded adapters.
    pub models: Vec<LoadedModelReport>,
    /// Models and adapters being loaded.
    pub pending: Vec<PendingLoad>,
}

/// The newest inventory received for one engine instance.
#[derive(Debug)]
struct ReceivedInventory {
    received_at: Moment,
    fence: Fence,
    sequence: u64,
    /// The engine's newest heartbeat known to the lease holder, or here when a model was found missing.
    heartbeat: u64,
    models: Vec<LoadedModel>,
    pending: Vec<PendingLoad>,
}

/// The newest inventory of each engine instance.
#[derive(Debug, Default)]
pub struct EngineInventories {
    inventories: HashMap<ServerInstance, ReceivedInventory>,
}

impl EngineInventories {
    /// Records an inventory from the lease holder with `fence`; returns `false` if a newer one is known.
    pub fn put(&mut self, fence: Fence, inventory: EngineInventory, now: Moment) -> bool {
        if let Some(old) = self.inventories.get(&inventory.server)
            && (old.fence > fence || old.fence == fence && old.sequence > inventory.sequence)
        {
            return false;
        }
        let models = inventory.models.into_iter().map(LoadedModel::from).collect();
        let known = ReceivedInventory {
            received_at: now,
            fence,
            sequence: inventory.sequence,
            heartbeat: inventory.heartbeat,
            models,
            pending: inventory.pending,
        };
        self.inventories.insert(inventory.server, known);
        true
    }

    /// Returns the models that `server` has loaded: from its inventory, or from its own entry if that is newer.
    pub fn models<'a>(&'a self, server: &'a Server) -> &'a [LoadedModel] {
        match self.inventories.get(&server.instance()) {
            Some(known) if server.heartbeat < known.heartbeat + NEWER_HEARTBEATS => &known.models,
            _ => &server.models,
        }
    }

    /// Returns whether `server` has loaded the model and, if one is given, the adapter.
    pub fn holds(&self, server: &Server, model: &str, adapter: Option<&str>) -> bool {
        let loaded = self.models(server).iter().find(|m| m.name == model);
        loaded.is_some_and(|m| adapter.is_none_or(|a| m.adapters.iter().any(|name| name == a)))
    }

    /// Returns when `server` is expected to have loaded the model or adapter; `None` if no such load is known or
    /// it is overdue by `OVERDUE_TIMEOUT`.
    pub fn expected_at(
        &self,
        server: &ServerInstance,
        model: &str,
        adapter: Option<&str>,
        now: Moment,
    ) -> Option<Moment> {
        let known = self.inventories.get(server)?;
        let is_target = |c: &&PendingLoad| c.model == model && c.adapter.as_deref() == adapter;
        let load = known.pending.iter().find(is_target)?;
        let at = known.received_at + Duration::from_millis(load.eta_ms.into());
        (now < at + OVERDUE_TIMEOUT).then_some(at)
    }

    /// Records that `server` refused a request because the model or adapter is not loaded.
    pub fn mark_missing(&mut self, server: &Server, model: &str, adapter: Option<&str>) {
        let known =
            self.inventories.entry(server.instance()).or_insert_with(|| ReceivedInventory {
                received_at: Moment::ZERO,
                fence: 0,
                sequence: 0,
                heartbeat: server.heartbeat,
                models: server.models.clone(),
                pending: Vec::new(),
            });
        if server.heartbeat >= known.heartbeat + NEWER_HEARTBEATS {
            known.models.clone_from(&server.models);
        }
        known.heartbeat = server.heartbeat;
        match adapter {
            None => known.models.retain(|m| m.name != model),
            Some(adapter) => {
                for loaded in known.models.iter_mut().filter(|m| m.name == model) {
                    loaded.adapters.retain(|a| a != adapter);
                }
            }
        }
    }

    /// Removes the inventories of all instances that `is_known` rejects.
    pub fn retain(&mut self, is_known: impl Fn(&ServerInstance) -> bool) {
        self.inventories.retain(|instance, _| is_known(instance));
    }
}
