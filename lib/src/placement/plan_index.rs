//! Precomputed lookups of one plan's input.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::cluster::slowdown_estimate::preference;
use crate::cluster::workload_table::WorkloadTable;
use crate::cluster::workload_table::model_key;
use crate::cluster::workload_table::server_key;
use crate::ids::CentreId;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::placement::engine_table::Engine;
use crate::placement::engine_table::EngineTable;
use crate::placement::engine_table::Source;
use crate::placement::planner::PlanInput;

/// A service and a model.
type ModelKey<'a> = (&'a str, &'a str);
/// Engines by service and model.
type EnginesByModel<'a> = HashMap<&'a str, HashMap<&'a str, Vec<&'a Engine>>>;

/// Replica counts of a model.
#[derive(Clone, Debug, Default)]
pub struct Replicas<'a> {
    /// Engines that hold it and do not evict it, or are loading it.
    pub count: usize,
    /// The number of usual engines that serve as well as these.
    pub capacity: f64,
    /// The same by data centre.
    pub centres: HashMap<&'a str, usize>,
}

/// Counts over all engines and all demand at one moment.
#[derive(Debug)]
pub struct PlanIndex<'a> {
    rates: HashMap<ModelKey<'a>, f64>,
    replicas: HashMap<ModelKey<'a>, Replicas<'a>>,
    holders: EnginesByModel<'a>,
    copies: EnginesByModel<'a>,
    adapters: HashSet<(&'a str, &'a str, &'a str)>,
    peaks: HashMap<ModelKey<'a>, f64>,
    /// Requests in progress by engine and model.
    engine_running: HashMap<(ServerId, ModelName), u32>,
    /// Requests in progress by service and model.
    running: HashMap<(&'a str, ModelName), u32>,
    /// Arrivals per second at each engine; a model's arrivals are divided evenly among its replicas.
    arrivals: HashMap<ServerId, f64>,
    slowdowns: HashMap<ServerId, f64>,
    /// Fetches in progress.
    pub fetching: usize,
}

fn find<'a, 'b>(engines: &'b EnginesByModel<'a>, service: &str, model: &str) -> &'b [&'a Engine] {
    let list = engines.get(service).and_then(|models| models.get(model));
    list.map_or(&[], Vec::as_slice)
}

impl<'a> PlanIndex<'a> {
    /// Builds the index.
    pub fn new(input: &PlanInput<'a>) -> Self {
        let (engine_table, demand, now) = (input.engine_table, input.demand, input.now);
        let engines = engine_table.engines.values();
        let slowdowns = engines
            .map(|e| (e.server.id.clone(), input.slowdowns.expected(&e.server.instance(), now)));
        let mut index = Self {
            rates: HashMap::new(),
            replicas: HashMap::new(),
            holders: HashMap::new(),
            copies: HashMap::new(),
            adapters: HashSet::new(),
            peaks: HashMap::new(),
            engine_running: HashMap::new(),
            running: HashMap::new(),
            arrivals: HashMap::new(),
            slowdowns: slowdowns.collect(),
            fetching: 0,
        };
        for (target, rate) in demand.rates(now) {
            *index.rates.entry((&target.service, &target.model)).or_default() += rate;
        }
        for engine in engine_table.engines.values().filter(|e| !e.server.leaving) {
            index.count_engine(engine);
        }
        for (target, peak) in demand.peaks(now) {
            *index.peaks.entry((&target.service, &target.model)).or_default() += peak;
        }
        index.count_running(engine_table, input.workloads);
        index.count_arrivals(engine_table);
        index
    }

    fn count_arrivals(&mut self, engine_table: &'a EngineTable) {
        for engine in engine_table.engines.values() {
            let service = engine.server.service.as_str();
            let weight = self.preference(&engine.server.id);
            let share = |model: &'a str| {
                let capacity = self.capacity(service, model).max(weight);
                self.rate(service, model) * weight / capacity
            };
            let sum = engine.models.iter().map(|m| share(m.name.as_str())).sum();
            self.arrivals.insert(engine.server.id.clone(), sum);
        }
    }

    fn count_running(&mut self, engine_table: &'a EngineTable, workloads: &WorkloadTable) {
        for engine in engine_table.engines.values() {
            let service = engine.server.service.as_str();
            let server = server_key(&engine.server.instance());
            for model in engine.models.iter().map(|m| &m.name) {
                let count = workloads.running(server, model_key(Some(model)));
                if count > 0 {
                    *self.running.entry((service, model.clone())).or_default() += count;
                    self.engine_running.insert((engine.server.id.clone(), model.clone()), count);
                }
            }
        }
    }

    fn count_engine(&mut self, engine: &'a Engine) {
        let service = engine.server.service.as_str();
        let centre = engine.server.centre.as_str();
        let weight = self.preference(&engine.server.id);
        let job = engine.load_job.as_ref();
        let is_fetching = job.map_or(engine.reported_busy, |j| j.source == Source::Store);
        self.fetching += usize::from(is_fetching);
        let kept = engine.models.iter().map(|m| &m.name);
        let kept = kept.filter(|name| !job.is_some_and(|j| j.victims.contains(name)));
        let loading = job.map(|j| &j.model).filter(|name| !engine.holds(name));
        for model in kept.chain(loading) {
            let replicas = self.replicas.entry((service, model)).or_default();
            replicas.count += 1;
            replicas.capacity += weight;
            *replicas.centres.entry(centre).or_default() += 1;
        }
        for held in &engine.models {
            let holders = self.holders.entry(service).or_default();
            holders.entry(&held.name).or_default().push(engine);
            for adapter in &held.adapters {
                self.adapters.insert((service, &held.name, adapter));
            }
        }
        for job in &engine.adapter_jobs {
            self.adapters.insert((service, &job.model, &job.adapter));
        }
        let on_host = engine.disk_copies.iter().chain(&engine.memory_copies);
        let loading = job.map(|j| &j.model);
        for model in on_host.chain(engine.models.iter().map(|m| &m.name)).chain(loading) {
            let copies = self.copies.entry(service).or_default();
            let list = copies.entry(model).or_default();
            if list.last().is_none_or(|last| last.server.id != engine.server.id) {
                list.push(engine);
            }
        }
    }

    /// Returns a model's arrivals per second.
    pub fn rate(&self, service: &str, model: &str) -> f64 {
        self.rates.get(&(service, model)).copied().unwrap_or(0.0)
    }

    /// Returns the models with at least `min_rate` arrivals per second, busiest first, with their rate
    /// and service.
    pub fn busy(&self, min_rate: f64) -> Vec<(f64, &'a str, &'a str)> {
        let busy = self.rates.iter().filter(|(_, rate)| **rate >= min_rate);
        let mut list: Vec<_> =
            busy.map(|((service, model), rate)| (*rate, *service, *model)).collect();
        // Equal rates are ordered by name, so that equal inputs give equal plans.
        list.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| (a.1, a.2).cmp(&(b.1, b.2))));
        list
    }

    /// Returns how many engines hold or are loading a model.
    pub fn replicas(&self, service: &str, model: &str) -> usize {
        self.replicas.get(&(service, model)).map_or(0, |r| r.count)
    }

    /// Returns how many usual engines would serve as well as those that hold or are loading a model.
    pub fn capacity(&self, service: &str, model: &str) -> f64 {
        self.replicas.get(&(service, model)).map_or(0.0, |r| r.capacity)
    }

    /// Returns how many times the usual time work takes at an engine.
    pub fn slowdown(&self, server: &ServerId) -> f64 {
        self.slowdowns.get(server).copied().unwrap_or(1.0)
    }

    /// Returns how many usual engines serve as well as this one.
    pub fn preference(&self, server: &ServerId) -> f64 {
        preference(self.slowdown(server))
    }

    /// Returns how many engines in a data centre hold or are loading a model.
    pub fn replicas_in(&self, service: &str, model: &str, centre: &CentreId) -> usize {
        let replicas = self.replicas.get(&(service, model));
        replicas.and_then(|r| r.centres.get(centre.as_str())).copied().unwrap_or(0)
    }

    /// Returns the engines that hold a model.
    pub fn holders(&self, service: &str, model: &str) -> &[&'a Engine] {
        find(&self.holders, service, model)
    }

    /// Returns the engines that hold a model, are loading it, or have a copy of its weights on their
    /// host.
    pub fn engines_with_copy(&self, service: &str, model: &str) -> &[&'a Engine] {
        find(&self.copies, service, model)
    }

    /// Returns whether any engine holds or is loading an adapter.
    pub fn has_adapter(&self, service: &str, model: &str, adapter: &str) -> bool {
        self.adapters.contains(&(service, model, adapter))
    }

    /// Returns whether any engine holds a model, is loading it, or has a copy of its weights.
    pub fn has_copy(&self, service: &str, model: &str) -> bool {
        !self.engines_with_copy(service, model).is_empty()
    }

    /// Returns the arrivals per second that a model's replicas must be able to serve: an increase
    /// counts at once, a decrease after a while.
    pub fn peak(&self, service: &str, model: &str) -> f64 {
        let peak = self.peaks.get(&(service, model)).copied().unwrap_or(0.0);
        self.rate(service, model).max(peak)
    }

    /// Returns the arrivals per second at an engine.
    pub fn arrivals(&self, server: &ServerId) -> f64 {
        self.arrivals.get(server).copied().unwrap_or(0.0)
    }

    /// Returns how many requests for a model are in progress at an engine.
    pub fn running_at(&self, server: &ServerId, model: &ModelName) -> u32 {
        self.engine_running.get(&(server.clone(), model.clone())).copied().unwrap_or(0)
    }

    /// Returns how many requests for a model are in progress at all engines.
    pub fn running(&self, service: &str, model: &ModelName) -> u32 {
        self.running.get(&(service, model.clone())).copied().unwrap_or(0)
    }
}
