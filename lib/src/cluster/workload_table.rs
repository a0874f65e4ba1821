//! Requests by backend server and model, under short keys.
//!
//! Sums over all daemons are told many times a second. Names of servers and models would be four fifths of their
//! bytes, and whoever hears them knows the names.

use std::collections::HashMap;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::cluster::server_instance::ServerInstance;
use crate::cluster::workloads::Workload;
use crate::cluster::workloads::WorkloadKey;

/// Short key of a start of a server. Two of 12,000 share one in one of sixty fleets, and are then taken to
/// have the requests of both.
pub type ServerKey = u32;
/// Short key of a model; 0 for a server that is no engine.
pub type ModelKey = u32;

/// Returns the short key of a start of a server.
pub fn server_key(start: &ServerInstance) -> ServerKey {
    let mut hasher = Xxh3::new();
    hasher.write(start.id.as_bytes());
    start.born.hash(&mut hasher);
    hasher.finish() as ServerKey
}

/// Returns the short key of a model.
pub fn model_key(model: Option<&str>) -> ModelKey {
    let Some(model) = model else { return 0 };
    let mut hasher = Xxh3::new();
    hasher.write(model.as_bytes());
    hasher.finish() as ModelKey
}

/// Requests at one server, as told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkloadSummary {
    /// The server.
    pub server: ServerKey,
    /// Prompt tokens that wait to be read.
    pub prompt_tokens: u32,
    /// Requests in progress by model.
    pub models: Vec<(ModelKey, u32)>,
}

/// Requests at one server.
#[derive(Clone, Debug, Default, PartialEq)]
struct Entry {
    prompt: u32,
    models: Vec<(ModelKey, u32)>,
}

impl Entry {
    fn add(&mut self, model: ModelKey, work: Workload) {
        self.prompt += work.prompt_tokens;
        match self.models.iter_mut().find(|(key, _)| *key == model) {
            Some((_, running)) => *running += work.running,
            None => self.models.push((model, work.running)),
        }
    }

    fn work(&self) -> Workload {
        Workload { running: self.models.iter().map(|(_, n)| n).sum(), prompt_tokens: self.prompt }
    }
}

/// Requests by server and model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkloadTable {
    servers: HashMap<ServerKey, Entry>,
}

impl WorkloadTable {
    /// Adds requests at a place.
    pub fn add(&mut self, place: &WorkloadKey, work: Workload) {
        let entry = self.servers.entry(server_key(&place.server)).or_default();
        entry.add(model_key(place.model.as_deref()), work);
    }

    /// Adds all of another table.
    pub fn add_all(&mut self, other: &Self) {
        for (server, more) in &other.servers {
            let entry = self.servers.entry(*server).or_default();
            entry.prompt += more.prompt;
            for (model, running) in &more.models {
                entry.add(*model, Workload { running: *running, prompt_tokens: 0 });
            }
        }
    }

    /// Returns the requests at a server.
    pub fn at(&self, server: ServerKey) -> Workload {
        self.servers.get(&server).map(Entry::work).unwrap_or_default()
    }

    /// Returns how many requests for a model are in progress at a server.
    pub fn running(&self, server: ServerKey, model: ModelKey) -> u32 {
        let models = self.servers.get(&server).map_or(&[][..], |e| &e.models);
        models.iter().find(|(key, _)| *key == model).map_or(0, |(_, running)| *running)
    }

    /// Returns what there is to tell, with or without models.
    pub fn summaries(&self, with_models: bool) -> Vec<WorkloadSummary> {
        let note = |(server, entry): (&ServerKey, &Entry)| {
            let models =
                if with_models { entry.models.clone() } else { vec![(0, entry.work().running)] };
            WorkloadSummary { server: *server, prompt_tokens: entry.prompt, models }
        };
        self.servers.iter().map(note).collect()
    }
}

impl From<Vec<WorkloadSummary>> for WorkloadTable {
    fn from(notes: Vec<WorkloadSummary>) -> Self {
        let entry =
            |n: WorkloadSummary| (n.server, Entry { prompt: n.prompt_tokens, models: n.models });
        Self { servers: notes.into_iter().map(entry).collect() }
    }
}
