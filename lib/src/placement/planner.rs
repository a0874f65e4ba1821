//! Plans which engine loads which model or adapter next, and what is evicted for it.
//!
//! A model with queued requests is placed where it can serve soonest, taking the cost of evictions into account. In
//! spare time, busy models get more replicas, and rare models are loaded once so that a copy of their weights is on
//! some host's disk: a later load then takes one or two seconds instead of six or more, which decides whether the
//! first response is on time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::cluster::configuration::Configuration;
use crate::cluster::configuration::EngineSpec;
use crate::cluster::directory::LoadedModel;
use crate::cluster::run_times::RunTimes;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::server_slowdowns::ServerSlowdowns;
use crate::cluster::workload_table::WorkloadTable;
use crate::cluster::workload_table::server_key;
use crate::ids::Mebibytes;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::placement::demand::Backlog;
use crate::placement::demand::Demand;
use crate::placement::demand::ModelTarget;
use crate::placement::engine_table::Engine;
use crate::placement::engine_table::EngineTable;
use crate::placement::engine_table::Source;
use crate::placement::fetch_limiter::StoreShare;
use crate::placement::load_options::BUSY_RATE;
use crate::placement::load_options::LoadOption;
use crate::placement::load_options::LoadOptions;
use crate::placement::load_options::WaitStats;
use crate::placement::plan_index::PlanIndex;
use crate::placement::urgency::Urgency;

/// An action at one engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Load a model after evicting others.
    LoadModel {
        /// The engine.
        server: ServerId,
        /// The model.
        model: ModelName,
        /// Models that are evicted.
        victims: Vec<ModelName>,
        /// Where the weights come from.
        source: Source,
        /// Expected total duration.
        expected_time: Duration,
        /// Reason shown in the log.
        reason: &'static str,
    },
    /// Load an adapter after evicting another, if one is given.
    LoadAdapter {
        /// The engine.
        server: ServerId,
        /// The adapter's model.
        model: ModelName,
        /// The adapter.
        adapter: SmolStr,
        /// Model and adapter that are evicted.
        victim: Option<(ModelName, SmolStr)>,
    },
}

/// Input of a plan.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// The current time.
    pub now: Moment,
    /// The configuration.
    pub config: &'a Configuration,
    /// The engines.
    pub engine_table: &'a EngineTable,
    /// Demand over all daemons.
    pub demand: &'a Demand,
    /// Requests in progress, over all daemons.
    pub workloads: &'a WorkloadTable,
    /// How long requests run.
    pub run_times: &'a RunTimes,
    /// Slowdowns of engines.
    pub slowdowns: &'a ServerSlowdowns,
    /// Engines that get no orders: the lease holder cannot reach them, or their software version is not stored yet.
    pub excluded: Vec<ServerId>,
    /// What is known about the weight store.
    pub share: StoreShare,
    /// Fetches that may still start under the ceiling.
    pub fetches_left: usize,
}

/// Most actions of one plan; the next plan follows within a tenth of a second.
const MAX_ACTIONS: usize = 32;

/// A plan in progress.
#[derive(Debug)]
pub(super) struct Planner<'a> {
    pub(super) input: &'a PlanInput<'a>,
    pub(super) options: LoadOptions<'a>,
    pub(super) backlogs: BTreeMap<ModelTarget, Backlog>,
    /// Models that already have an action.
    pub(super) placed: HashSet<(SmolStr, ModelName)>,
    actions: Vec<Action>,
}

impl PlanInput<'_> {
    /// Returns the next actions, at most one per engine.
    pub fn plan(&self) -> Vec<Action> {
        let backlogs = self.demand.backlogs(self.now);
        let index = PlanIndex::new(self);
        let waiting_models =
            backlogs.keys().map(|t| (t.service.clone(), t.model.clone())).collect();
        let fetching = index.fetching;
        let options = LoadOptions {
            input: self,
            index,
            waiting_models,
            assigned: HashSet::new(),
            reserved: HashMap::new(),
            fetching,
            fetches_left: self.fetches_left,
        };
        let mut planner =
            Planner { input: self, options, backlogs, placed: HashSet::new(), actions: Vec::new() };
        planner.serve_backlogs();
        planner.serve_adapters();
        planner.fetch_missing(true);
        planner.add_replicas();
        planner.add_adapters();
        planner.fetch_missing(false);
        planner.actions
    }
}

impl<'a> Planner<'a> {
    fn has_max_actions(&self) -> bool {
        self.actions.len() >= MAX_ACTIONS
    }

    pub(super) fn start_load(
        &mut self,
        option: LoadOption<'a>,
        model: &ModelName,
        reason: &'static str,
    ) {
        let server = option.engine.server.id.clone();
        self.options.assigned.insert(server.clone());
        self.options.reserve(option.engine, option.time);
        self.placed.insert((option.engine.server.service.clone(), model.clone()));
        if option.source == Source::Store {
            self.options.fetching += 1;
            self.options.fetches_left = self.options.fetches_left.saturating_sub(1);
        }
        self.actions.push(Action::LoadModel {
            server,
            model: model.clone(),
            victims: option.victims,
            source: option.source,
            expected_time: option.time,
            reason,
        });
    }

    /// Loads the models with queued requests, most urgent first.
    fn serve_backlogs(&mut self) {
        let mut targets: Vec<(Urgency, ModelTarget)> = self
            .backlogs
            .iter()
            .map(|(target, backlog)| (self.urgency(target, backlog), target.clone()))
            .collect();
        targets.sort();
        for (_, target) in targets {
            if self.has_max_actions() {
                return;
            }
            self.serve_backlog(&target);
        }
    }

    fn urgency(&self, target: &ModelTarget, backlog: &Backlog) -> Urgency {
        let rate = self.options.rate(&target.service, &target.model);
        Urgency::new(backlog, rate, self.input.now)
    }

    fn serve_backlog(&mut self, target: &ModelTarget) {
        let Some(spec) = self.options.spec(&target.service) else { return };
        if self.placed.contains(&(target.service.clone(), target.model.clone())) {
            return;
        }
        let backlog = self.backlogs.get(target).cloned().unwrap_or_default();
        let stats = Some(WaitStats {
            rate: self.options.rate(&target.service, &target.model),
            waited: self.input.now.saturating_sub(backlog.since),
        });
        let avoid = backlog.avoid;
        let is_allowed =
            |e: &&Engine| target.allows(&e.server.version) && !avoid.contains(&e.server.instance());
        let will_serve = |e: &Engine| {
            let is_victim = e.load_job.as_ref().is_some_and(|j| j.victims.contains(&target.model));
            e.holds(&target.model) && !is_victim
                || e.load_job.as_ref().is_some_and(|j| j.model == target.model)
        };
        if self.options.engines(&target.service).filter(is_allowed).any(will_serve) {
            return;
        }
        let candidates = self.options.index.engines_with_copy(&target.service, &target.model);
        let engines =
            candidates.iter().copied().filter(|e| self.options.is_usable(e)).filter(is_allowed);
        // A host with a copy of the weights is worth waiting for: a fetch takes several times as long. Busy models are
        // evicted if that costs their callers less than the wait costs these.
        let options = engines.flat_map(|e| {
            [None, stats]
                .into_iter()
                .filter_map(|s| self.options.load_option(e, spec, &target.model, s))
        });
        let best = options.min_by(|a, b| a.cost.total_cmp(&b.cost));
        match best {
            Some(best) if best.can_start => self.start_load(best, &target.model, "requests wait"),
            // If the best engine is busy with another load, the model waits for it, and further models after it.
            Some(best) => self.options.reserve(best.engine, best.time),
            None => {}
        }
    }

    fn serve_adapters(&mut self) {
        let targets: Vec<(ModelTarget, Vec<ServerInstance>)> = self
            .backlogs
            .iter()
            .filter(|(target, _)| target.adapter.is_some())
            .map(|(target, backlog)| (target.clone(), backlog.avoid.clone()))
            .collect();
        for (target, avoid) in targets {
            if let Some(action) = self.place_adapter(&target, &avoid) {
                self.start_adapter(action);
            }
        }
    }

    fn start_adapter(&mut self, action: Action) {
        if let Action::LoadAdapter { server, .. } = &action {
            self.options.assigned.insert(server.clone());
        }
        self.actions.push(action);
    }

    /// Returns the action that loads an adapter into an engine that holds its model; `None` if an engine already has
    /// it or no engine can load it now.
    fn place_adapter(&self, target: &ModelTarget, avoid: &[ServerInstance]) -> Option<Action> {
        let adapter = target.adapter.as_ref()?;
        if avoid.is_empty()
            && target.version.is_none()
            && self.options.index.has_adapter(&target.service, &target.model, adapter)
        {
            return None;
        }
        let holders = self.options.index.holders(&target.service, &target.model);
        let is_allowed = |e: &&&Engine| {
            self.options.is_usable(e)
                && target.allows(&e.server.version)
                && !avoid.contains(&e.server.instance())
        };
        let holders: Vec<&Engine> = holders.iter().filter(is_allowed).copied().collect();
        let has = |e: &&Engine| {
            e.holds_adapter(&target.model, adapter) || e.is_loading_adapter(&target.model, adapter)
        };
        if holders.iter().any(has) {
            return None;
        }
        let is_free = |e: &&&Engine| {
            e.confirmed
                && e.load_job.is_none()
                && self.input.now >= e.backoff_until
                && !self.options.assigned.contains(&e.server.id)
        };
        let work = |e: &Engine| self.input.workloads.at(server_key(&e.server.instance())).running;
        let engine = holders.iter().filter(is_free).min_by_key(|e| (e.adapter_count(), work(e)))?;
        self.adapter_action(engine, target, adapter)
    }

    fn adapter_action(
        &self,
        engine: &Engine,
        target: &ModelTarget,
        adapter: &SmolStr,
    ) -> Option<Action> {
        let spec = self.options.spec(&target.service)?;
        let size = spec.models.get(&target.model)?.adapter_size;
        let shortfall = (engine.memory_used(spec) + size).saturating_sub(spec.memory);
        let fits = engine.adapter_count() < spec.adapter_slots && shortfall == 0;
        let victim = if fits { None } else { Some(self.adapter_victim(engine, spec, shortfall)?) };
        Some(Action::LoadAdapter {
            server: engine.server.id.clone(),
            model: target.model.clone(),
            adapter: adapter.clone(),
            victim,
        })
    }

    /// Returns the least requested adapter of an engine, among those that no change in progress evicts and that free
    /// at least `shortfall` of memory.
    fn adapter_victim(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        shortfall: Mebibytes,
    ) -> Option<(ModelName, SmolStr)> {
        let frees = |m: &&LoadedModel| {
            spec.models.get(&m.name).is_some_and(|model| model.adapter_size >= shortfall)
        };
        let all = engine.models.iter().filter(frees).flat_map(|m| {
            let is_kept = |a: &&SmolStr| !engine.is_evicting(&m.name, a);
            m.adapters.iter().filter(is_kept).map(move |a| ModelTarget {
                service: engine.server.service.clone(),
                model: m.name.clone(),
                adapter: Some(a.clone()),
                version: None,
            })
        });
        let rate = |target: &ModelTarget| self.input.demand.target_rate(target, self.input.now);
        let target = all.min_by(|a, b| rate(a).total_cmp(&rate(b)))?;
        Some((target.model, target.adapter?))
    }

    /// Adds replicas of busy models, preferably in data centres that have few of them.
    fn add_replicas(&mut self) {
        for (_, service, model) in self.options.index.busy(BUSY_RATE) {
            if self.has_max_actions() {
                return;
            }
            let key = (SmolStr::new(service), ModelName::new(model));
            if self.placed.contains(&key) || self.options.has_enough_replicas(service, &key.1) {
                continue;
            }
            let Some(spec) = self.options.spec(service) else { continue };
            let may_fetch = self.options.fetching < self.input.share.concurrency();
            let spread_cost = |o: &LoadOption<'_>| {
                self.options.index.replicas_in(service, model, &o.engine.server.centre) as f64
                    + o.cost
            };
            let options = self
                .options
                .engines(service)
                .filter(|e| self.options.is_worth_adding(e, &key.1))
                .filter_map(|e| self.options.load_option(e, spec, model, None));
            // A busy host with a copy is worth waiting for: the weight store is slower, and other models need it more.
            let best = options.min_by(|a, b| spread_cost(a).total_cmp(&spread_cost(b)));
            let best = best.filter(|o| o.can_start && (o.source != Source::Store || may_fetch));
            if let Some(best) = best {
                self.start_load(best, &key.1, "busy model");
            }
        }
    }

    /// Loads adapters of busy models before they are requested, while slots are free.
    fn add_adapters(&mut self) {
        for (_, service, model) in self.options.index.busy(BUSY_RATE) {
            let spec = self.options.spec(service).and_then(|s| s.models.get(model));
            for adapter in spec.map(|s| s.adapters.as_slice()).unwrap_or_default() {
                if self.has_max_actions() {
                    return;
                }
                let target = ModelTarget {
                    service: SmolStr::new(service),
                    model: ModelName::new(model),
                    adapter: Some(adapter.clone()),
                    version: None,
                };
                let action = self.place_adapter(&target, &[]);
                if let Some(action @ Action::LoadAdapter { victim: None, .. }) = action {
                    self.start_adapter(action);
                }
            }
        }
    }
}
