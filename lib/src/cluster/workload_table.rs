//! Requests in progress by backend server and model, under short keys.
//!
//! Sums over all daemons are sent many times a second. The names of servers and models would take four fifths
//! of their bytes, and the receivers know the names.

use std::collections::HashMap;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::cluster::server_instance::ServerInstance;
use crate::cluster::workloads::Workload;
use crate::cluster::workloads::WorkloadKey;

/// Short key of a server instance. In one of sixty fleets of 12,000 instances two share a key, and each of
/// them is then taken to have the requests of both.
pub type ServerKey = u32;
/// Short key of a model; 0 for a server that is not an engine.
pub type ModelKey = u32;

/// Returns the short key of a server instance.
pub fn server_key(instance: &ServerInstance) -> ServerKey {
    let mut hasher = Xxh3::new();
    hasher.write(instance.id.as_bytes());
    instance.born.hash(&mut hasher);
    hasher.finish() as ServerKey
}

/// Returns the short key of a model; 0 for `None`.
pub fn model_key(model: Option<&str>) -> ModelKey {
    let Some(model) = model else { return 0 };
    let mut hasher = Xxh3::new();
    hasher.write(model.as_bytes());
    hasher.finish() as ModelKey
}

/// Requests at one server, as sent to other daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkloadSummary {
    /// The server instance.
    pub server: ServerKey,
    /// Prompt tokens that have not been processed yet.
    pub prompt_tokens: u32,
    /// Requests in progress by model.
    pub models: Vec<(ModelKey, u32)>,
}

/// Requests at one server.
#[derive(Clone, Debug, Default, PartialEq)]
struct Entry {
    tokens: u32,
    models: Vec<(ModelKey, u32)>,
}

impl Entry {
    fn add(&mut self, model: ModelKey, workload: Workload) {
        self.tokens += workload.prompt_tokens;
        match self.models.iter_mut().find(|(key, _)| *key == model) {
            Some((_, running)) => *running += workload.running,
            None => self.models.push((model, workload.running)),
        }
    }

    fn workload(&self) -> Workload {
        Workload {
            running: self.models.iter().map(|(_, running)| running).sum(),
            prompt_tokens: self.tokens,
        }
    }
}

/// Requests by server and model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkloadTable {
    servers: HashMap<ServerKey, Entry>,
}

impl WorkloadTable {
    /// Adds requests for a server and model.
    pub fn add(&mut self, key: &WorkloadKey, workload: Workload) {
        let entry = self.servers.entry(server_key(&key.server)).or_default();
        entry.add(model_key(key.model.as_deref()), workload);
    }

    /// Adds all requests of another table.
    pub fn add_all(&mut self, other: &Self) {
        for (server, added) in &other.servers {
            let entry = self.servers.entry(*server).or_default();
            entry.tokens += added.tokens;
            for (model, running) in &added.models {
                entry.add(*model, Workload { running: *running, prompt_tokens: 0 });
            }
        }
    }

    /// Returns the requests at a server, over all its models.
    pub fn at(&self, server: ServerKey) -> Workload {
        self.servers.get(&server).map(Entry::workload).unwrap_or_default()
    }

    /// Returns how many requests for a model are in progress at a server.
    pub fn running(&self, server: ServerKey, model: ModelKey) -> u32 {
        let models = self.servers.get(&server).map_or(&[][..], |e| &e.models);
        models.iter().find(|(key, _)| *key == model).map_or(0, |(_, running)| *running)
    }

    /// Returns a summary for each server. Without models, each has a single count under model key 0.
    pub fn summaries(&self, with_models: bool) -> Vec<WorkloadSummary> {
        let summarize = |(server, entry): (&ServerKey, &Entry)| {
            let models = if with_models {
                entry.models.clone()
            } else {
                vec![(0, entry.workload().running)]
            };
            WorkloadSummary { server: *server, prompt_tokens: entry.tokens, models }
        };
        self.servers.iter().map(summarize).collect()
    }
}

impl From<Vec<WorkloadSummary>> for WorkloadTable {
    fn from(summaries: Vec<WorkloadSummary>) -> Self {
        let entry =
            |s: WorkloadSummary| (s.server, Entry { tokens: s.prompt_tokens, models: s.models });
        Self { servers: summaries.into_iter().map(entry).collect() }
    }
}
