//! What engines hold right now, by the word of the placement lease's holder.
//!
//! The platform's entries tell the same, but up to two seconds later, and adapters not at all until
//! the next heartbeat.

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

/// Word of a load that is late by this much no longer counts: its sender may be gone.
const OVERDUE: Duration = Duration::from_secs(3);

/// Something on its way into an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PendingLoad {
    /// The model.
    pub model: ModelName,
    /// The adapter, where one is being loaded.
    pub adapter: Option<SmolStr>,
    /// Time until it can serve, in milliseconds.
    pub eta_ms: u32,
}

/// An entry this many heartbeats after the holder's word is newer than it: one may have been under
/// way already, another may not have been read here yet.
const NEWER_BEATS: u64 = 3;

/// What one engine holds and what is on its way.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineInventory {
    /// The engine.
    pub server: ServerInstance,
    /// Orders that it had accepted.
    pub sequence: u64,
    /// Its newest heartbeat that the holder of the placement lease knew.
    pub heartbeat: u64,
    /// Models that can serve.
    pub models: Vec<LoadedModelReport>,
    /// Models and adapters on their way.
    pub pending: Vec<PendingLoad>,
}

#[derive(Debug)]
struct Told {
    at: Moment,
    fence: Fence,
    sequence: u64,
    /// The newest heartbeat that the teller knew.
    beat: u64,
    models: Vec<LoadedModel>,
    coming: Vec<PendingLoad>,
}

/// The newest word on each start of an engine.
#[derive(Debug, Default)]
pub struct EngineInventories {
    told: HashMap<ServerInstance, Told>,
}

impl EngineInventories {
    /// Takes in word of the holder with `fence`; returns whether anything changed.
    pub fn put(&mut self, fence: Fence, inventory: EngineInventory, now: Moment) -> bool {
        if let Some(old) = self.told.get(&inventory.server)
            && (old.fence > fence || old.fence == fence && old.sequence > inventory.sequence)
        {
            return false;
        }
        let models = inventory.models.into_iter().map(LoadedModel::from).collect();
        let told = Told {
            at: now,
            fence,
            sequence: inventory.sequence,
            beat: inventory.heartbeat,
            models,
            coming: inventory.pending,
        };
        self.told.insert(inventory.server, told);
        true
    }

    /// Returns what `server` holds: the holder's word unless its own entry is newer.
    pub fn models<'a>(&'a self, server: &'a Server) -> &'a [LoadedModel] {
        match self.told.get(&server.instance()) {
            Some(told) if server.heartbeat < told.beat + NEWER_BEATS => &told.models,
            _ => &server.models,
        }
    }

    /// Returns whether `server` holds the model, and the adapter where one is given.
    pub fn holds(&self, server: &Server, model: &str, adapter: Option<&str>) -> bool {
        let held = self.models(server).iter().find(|m| m.name == model);
        held.is_some_and(|m| adapter.is_none_or(|a| m.adapters.iter().any(|have| have == a)))
    }

    /// Returns when `server` will hold the model or adapter, as told.
    pub fn expected_at(
        &self,
        server: &ServerInstance,
        model: &str,
        adapter: Option<&str>,
        now: Moment,
    ) -> Option<Moment> {
        let told = self.told.get(server)?;
        let is_it = |c: &&PendingLoad| c.model == model && c.adapter.as_deref() == adapter;
        let coming = told.coming.iter().find(is_it)?;
        let at = told.at + Duration::from_millis(coming.eta_ms.into());
        (now < at + OVERDUE).then_some(at)
    }

    /// Notes that `server` said it does not hold the model or adapter.
    pub fn mark_missing(&mut self, server: &Server, model: &str, adapter: Option<&str>) {
        let told = self.told.entry(server.instance()).or_insert_with(|| Told {
            at: Moment::ZERO,
            fence: 0,
            sequence: 0,
            beat: server.heartbeat,
            models: server.models.clone(),
            coming: Vec::new(),
        });
        if server.heartbeat >= told.beat + NEWER_BEATS {
            told.models.clone_from(&server.models);
        }
        told.beat = server.heartbeat;
        match adapter {
            None => told.models.retain(|m| m.name != model),
            Some(adapter) => {
                for held in told.models.iter_mut().filter(|m| m.name == model) {
                    held.adapters.retain(|a| a != adapter);
                }
            }
        }
    }

    /// Forgets servers other than `known`.
    pub fn retain(&mut self, known: impl Fn(&ServerInstance) -> bool) {
        self.told.retain(|start, _| known(start));
    }
}
