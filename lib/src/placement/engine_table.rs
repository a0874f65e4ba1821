//! Tracks what the engines hold, from their reports and the orders that they accepted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::cluster::configuration::Configuration;
use crate::cluster::configuration::EngineSpec;
use crate::cluster::digest::LoadedModelReport;
use crate::cluster::directory::Directory;
use crate::cluster::directory::LoadedModel;
use crate::cluster::directory::Server;
use crate::cluster::engine_inventories::EngineInventory;
use crate::cluster::engine_inventories::PendingLoad;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::Mebibytes;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::protocol::EngineReport;

/// Where the weights of a load come from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The host's memory.
    Memory,
    /// The host's disk.
    Disk,
    /// The weight store.
    Store,
}

impl Source {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Store => "store",
        }
    }
}

/// After a change at an engine, its directory entry may be outdated for this long.
const ENTRY_LAG: Duration = Duration::from_secs(2);
/// A report that counts fewer orders than this daemon is applied if it is at least the fourth such report in a row: a
/// report's age is many times less than the time between four of them.
const STALE_REPORT_LIMIT: u8 = 4;

/// A load in progress at an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadJob {
    /// The model being loaded.
    pub model: ModelName,
    /// Models that are evicted.
    pub victims: Vec<ModelName>,
    /// Where the weights come from.
    pub source: Source,
    /// When the load began.
    pub started_at: Moment,
    /// When the load is expected to end.
    pub eta: Moment,
}

/// An adapter that is being loaded into an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterJob {
    /// The adapter's model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: SmolStr,
    /// Model and adapter that are evicted.
    pub victim: Option<(ModelName, SmolStr)>,
    /// When the load is expected to end.
    pub eta: Moment,
}

/// State of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its newest directory entry.
    pub server: Rc<Server>,
    /// Models that it holds.
    pub models: Vec<LoadedModel>,
    /// Number of orders that it accepted. While `confirmed` is set, `models` and the loads in progress describe the
    /// engine after exactly these orders, now or at an earlier time. An order that expects this number and fits can
    /// therefore never exceed the engine's memory.
    pub sequence: u64,
    /// Models with copies in the host's memory.
    pub memory_copies: Vec<ModelName>,
    /// Models with copies on the host's disk.
    pub disk_copies: Vec<ModelName>,
    /// Whether `sequence` and `models` match, by the engine's report and the responses after it. No order is sent
    /// otherwise.
    pub confirmed: bool,
    /// Whether orders that expect `sequence` may still arrive, from a cancelled change or an earlier lease holder. Once
    /// the engine has accepted an order that expects `sequence`, it refuses these.
    pub orders_inflight: bool,
    /// Number of consecutive reports that counted fewer orders.
    pub stale_reports: u8,
    /// When `models` was last changed or confirmed.
    pub changed_at: Moment,
    /// Newest heartbeat whose directory entry was compared with `models`.
    pub compared_heartbeat: u64,
    /// The load in progress.
    pub load_job: Option<LoadJob>,
    /// Whether the last report showed a change that does not result from this daemon's orders. The previous lease
    /// holder ordered it, and it may be a load from the weight store.
    pub reported_busy: bool,
    /// Adapters being loaded.
    pub adapter_jobs: Vec<AdapterJob>,
    /// When each model was last used or loaded.
    pub last_used: BTreeMap<ModelName, Moment>,
    /// No new change starts before this time, after a failed one.
    pub backoff_until: Moment,
}

/// The engines by server id.
#[derive(Debug, Default)]
pub struct EngineTable {
    /// The engines.
    pub engines: BTreeMap<ServerId, Engine>,
}

impl Engine {
    fn new(server: &Rc<Server>) -> Self {
        Self {
            server: Rc::clone(server),
            models: server.models.clone(),
            sequence: 0,
            memory_copies: server.copies.memory.clone(),
            disk_copies: server.copies.disk.clone(),
            confirmed: false,
            orders_inflight: true,
            stale_reports: 0,
            changed_at: Moment::ZERO,
            compared_heartbeat: 0,
            load_job: None,
            reported_busy: false,
            adapter_jobs: Vec::new(),
            last_used: BTreeMap::new(),
            backoff_until: Moment::ZERO,
        }
    }

    /// Returns whether it holds a model.
    pub fn holds(&self, model: &str) -> bool {
        self.models.iter().any(|m| m.name == model)
    }

    /// Returns whether it holds an adapter of a model.
    pub fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        let held = self.models.iter().find(|m| m.name == model);
        held.is_some_and(|m| m.adapters.iter().any(|a| a == adapter))
    }

    /// Returns whether it holds a model or, if one is given, an adapter of it.
    pub fn has_target(&self, model: &str, adapter: Option<&SmolStr>) -> bool {
        adapter.map_or_else(|| self.holds(model), |adapter| self.holds_adapter(model, adapter))
    }

    /// Returns whether a model, or an adapter of a model that it holds, fits beside its current models.
    pub fn has_room(&self, spec: &EngineSpec, model: &str, adapter: Option<&SmolStr>) -> bool {
        let held: Mebibytes = self.models.iter().map(|m| self.model_memory(spec, m)).sum();
        if adapter.is_none() {
            return held + size(spec, model) <= spec.memory;
        }
        let count: usize = self.models.iter().map(|m| m.adapters.len()).sum();
        self.holds(model)
            && count < spec.adapter_slots
            && held + adapters_size(spec, model, 1) <= spec.memory
    }

    /// Returns whether an adapter is being loaded into it.
    pub fn is_loading_adapter(&self, model: &str, adapter: &str) -> bool {
        self.adapter_jobs.iter().any(|a| a.model == model && a.adapter == adapter)
    }

    /// Returns whether an adapter is being evicted for another one.
    pub fn is_evicting(&self, model: &str, adapter: &str) -> bool {
        let mut victims = self.adapter_jobs.iter().filter_map(|job| job.victim.as_ref());
        victims.any(|(m, a)| m == model && a == adapter)
    }

    /// Returns the source from which it would load a model.
    pub fn source(&self, model: &str) -> Source {
        if self.memory_copies.iter().any(|m| m == model) {
            Source::Memory
        } else if self.disk_copies.iter().any(|m| m == model) {
            Source::Disk
        } else {
            Source::Store
        }
    }

    /// Returns whether the host has a copy of a model's weights, apart from a loaded one.
    pub fn has_copy(&self, model: &str) -> bool {
        self.source(model) != Source::Store
    }

    /// Returns the number of adapters that it holds or is loading.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|m| m.adapters.len()).sum::<usize>() + self.adapter_jobs.len()
    }

    /// Returns the memory used by one of its models including adapters.
    pub fn model_memory(&self, spec: &EngineSpec, held: &LoadedModel) -> Mebibytes {
        size(spec, &held.name) + adapters_size(spec, &held.name, held.adapters.len())
    }

    /// Returns the memory used by models and adapters, including those being loaded.
    pub fn memory_used(&self, spec: &EngineSpec) -> Mebibytes {
        let held: Mebibytes = self.models.iter().map(|m| self.model_memory(spec, m)).sum();
        let coming: Mebibytes =
            self.adapter_jobs.iter().map(|a| adapters_size(spec, &a.model, 1)).sum();
        let loading = self.load_job.as_ref().filter(|j| !self.holds(&j.model));
        held + coming + loading.map_or(0, |j| size(spec, &j.model))
    }

    /// Applies the engine's report. An outdated report does no harm: the engine refuses orders that expect its number.
    pub fn apply_report(&mut self, report: &EngineReport, now: Moment) {
        self.models.clone_from(&report.models);
        self.sequence = report.sequence;
        self.memory_copies.clone_from(&report.copies.memory);
        self.disk_copies.clone_from(&report.copies.disk);
        self.confirmed = true;
        self.changed_at = now;
        self.stale_reports = 0;
        self.reported_busy = false;
    }

    /// Returns whether a report may be applied. A report that counts fewer orders than were acknowledged is outdated,
    /// unless the following ones do so as well: then the engine has restarted under its id.
    pub fn accepts_report(&mut self, report: &EngineReport) -> bool {
        if report.sequence >= self.sequence {
            return true;
        }
        self.stale_reports += 1;
        self.stale_reports >= STALE_REPORT_LIMIT
    }

    /// Compares an idle engine with its directory entry and marks it as unconfirmed if they differ.
    ///
    /// An order that timed out may be carried out long after the report that followed it. Without this check, a model
    /// evicted by such an order would count as loaded forever, and callers would wait for it until they time out.
    fn compare(&mut self, now: Moment) {
        if !self.confirmed
            || self.server.heartbeat <= self.compared_heartbeat
            || now < self.changed_at + ENTRY_LAG
        {
            return;
        }
        self.compared_heartbeat = self.server.heartbeat;
        self.confirmed = !self.differs(&self.server.models);
    }

    /// Returns whether an entry shows different models, or different adapters if orders in flight may have changed
    /// them.
    fn differs(&self, entry: &[LoadedModel]) -> bool {
        let adapters = |m: &LoadedModel| -> BTreeSet<SmolStr> {
            if self.orders_inflight {
                m.adapters.iter().cloned().collect()
            } else {
                BTreeSet::new()
            }
        };
        let all = |models: &[LoadedModel]| -> BTreeMap<ModelName, BTreeSet<SmolStr>> {
            models.iter().map(|m| (m.name.clone(), adapters(m))).collect()
        };
        all(&self.models) != all(entry)
    }

    /// Records that the engine now holds a model.
    pub fn add_model(&mut self, model: &ModelName, now: Moment) {
        if !self.holds(model) {
            self.models.push(LoadedModel { name: model.clone(), adapters: Vec::new() });
        }
        for copies in [&mut self.memory_copies, &mut self.disk_copies] {
            if !copies.contains(model) {
                copies.push(model.clone());
            }
        }
        self.last_used.insert(model.clone(), now);
        self.changed_at = now;
    }

    /// Records that the engine unloaded a model.
    pub fn remove_model(&mut self, model: &str) {
        self.models.retain(|m| m.name != model);
    }

    /// Records that the engine unloaded an adapter, or a model with all its adapters.
    pub fn remove_target(&mut self, model: &str, adapter: Option<&SmolStr>) {
        let Some(adapter) = adapter else { return self.remove_model(model) };
        for held in self.models.iter_mut().filter(|m| m.name == model) {
            held.adapters.retain(|a| a != adapter);
        }
    }

    /// Returns the contents that requests of all daemons may rely on.
    pub fn inventory(&self, now: Moment) -> EngineInventory {
        let job = self.load_job.as_ref();
        let is_victim = |name: &ModelName| job.is_some_and(|j| j.victims.contains(name));
        let models = self
            .models
            .iter()
            .filter(|m| !is_victim(&m.name))
            .map(LoadedModelReport::from)
            .collect();
        let eta_ms = |eta: Moment| eta.saturating_sub(now).as_millis() as u32;
        let mut pending: Vec<_> = job
            .filter(|j| !self.holds(&j.model))
            .map(|j| PendingLoad { model: j.model.clone(), adapter: None, eta_ms: eta_ms(j.eta) })
            .into_iter()
            .collect();
        pending.extend(self.adapter_jobs.iter().map(|a| PendingLoad {
            model: a.model.clone(),
            adapter: Some(a.adapter.clone()),
            eta_ms: eta_ms(a.eta),
        }));
        let (server, sequence, heartbeat) =
            (self.server.instance(), self.sequence, self.server.heartbeat);
        EngineInventory { server, sequence, heartbeat, models, pending }
    }
}

fn adapters_size(spec: &EngineSpec, model: &str, count: usize) -> Mebibytes {
    spec.models.get(model).map_or(0, |m| m.adapter_size) * count as Mebibytes
}

fn size(spec: &EngineSpec, model: &str) -> Mebibytes {
    // A model that is missing from the configuration may have any size: nothing fits beside it.
    spec.models.get(model).map_or(spec.memory, |m| m.size)
}

impl EngineTable {
    /// Updates the engines from the directory, which shows new, removed and restarted servers and what idle engines
    /// hold. Returns the instances that have ended.
    ///
    /// The engine of a new instance starts empty and unconfirmed, with no load in progress and order number zero:
    /// whatever the previous instance had accepted would keep the new one out of use forever.
    pub fn update_from_directory(
        &mut self,
        directory: &Directory,
        config: &Configuration,
        now: Moment,
    ) -> Vec<ServerInstance> {
        let is_engine =
            |s: &Server| config.services.get(&s.service).is_some_and(|s| s.engine.is_some());
        let mut ended = Vec::new();
        self.engines.retain(|_, engine| {
            let instance = engine.server.instance();
            let is_current = directory.is_current(&instance);
            if !is_current {
                ended.push(instance);
            }
            is_current
        });
        for server in directory.servers().filter(|s| is_engine(s)) {
            let engine =
                self.engines.entry(server.id.clone()).or_insert_with(|| Engine::new(server));
            engine.server = Rc::clone(server);
            let is_idle = engine.load_job.is_none() && engine.adapter_jobs.is_empty();
            if is_idle && !engine.confirmed {
                engine.models.clone_from(&server.models);
            }
            if is_idle {
                engine.compare(now);
                engine.memory_copies.clone_from(&server.copies.memory);
                engine.disk_copies.clone_from(&server.copies.disk);
            }
        }
        ended
    }

    /// Returns the engine of a server instance.
    pub fn engine_mut(&mut self, instance: &ServerInstance) -> Option<&mut Engine> {
        self.engines.get_mut(&instance.id).filter(|e| e.server.born == instance.born)
    }

    /// Marks all engines as unconfirmed: their state followed from orders under an older lease.
    pub fn invalidate_all(&mut self) {
        for engine in self.engines.values_mut() {
            engine.confirmed = false;
            engine.orders_inflight = true;
        }
    }
}
