//! The plan: which engine loads which model or adapter next, and what makes way for it.
//!
//! A model that requests wait for goes where it can serve soonest, counting what its victims are
//! worth. In the time left over, busy models get more replicas, and rare models are loaded once so
//! that a copy of their weights lies on some host's disk: a later load then takes a second or two in
//! place of six and more, which is the difference between a punctual and a late first answer.

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

/// A step to take at one engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Load a model, after its victims made way.
    LoadModel {
        /// The engine.
        server: ServerId,
        /// The model.
        model: ModelName,
        /// Models that make way.
        victims: Vec<ModelName>,
        /// Where the weights come from.
        source: Source,
        /// How long it should take in all.
        time: Duration,
        /// Why.
        reason: &'static str,
    },
    /// Load an adapter, after another made way where one is named.
    LoadAdapter {
        /// The engine.
        server: ServerId,
        /// The adapter's model.
        model: ModelName,
        /// The adapter.
        adapter: SmolStr,
        /// Model and adapter that make way.
        victim: Option<(ModelName, SmolStr)>,
    },
}

/// What the plan looks at.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// Now.
    pub now: Moment,
    /// The configuration.
    pub config: &'a Configuration,
    /// The engines.
    pub engine_table: &'a EngineTable,
    /// Demand over all daemons.
    pub demand: &'a Demand,
    /// Requests in progress, over all daemons.
    pub work: &'a WorkloadTable,
    /// How long requests run.
    pub run_times: &'a RunTimes,
    /// Engines that cannot be reached from the holder.
    pub unreachable: Vec<ServerId>,
    /// What is known of the weight store.
    pub share: StoreShare,
    /// Loads from the weight store that may still begin under its ceiling.
    pub fetches_left: usize,
}

/// Steps begun at once at most; the next plan follows within a tenth of a second.
const MOST_ACTIONS: usize = 32;

/// A plan in the making.
#[derive(Debug)]
pub(super) struct Planner<'a> {
    pub(super) input: &'a PlanInput<'a>,
    pub(super) options: LoadOptions<'a>,
    pub(super) backlogs: BTreeMap<ModelTarget, Backlog>,
    /// Models that got a step.
    pub(super) placed: HashSet<(SmolStr, ModelName)>,
    actions: Vec<Action>,
}

impl PlanInput<'_> {
    /// Returns the next steps; each engine gets one at most.
    pub fn plan(&self) -> Vec<Action> {
        let backlogs = self.demand.backlogs(self.now);
        let index = PlanIndex::new(self.engine_table, self.demand, self.work, self.now);
        let waiting_models =
            backlogs.keys().map(|i| (i.service.clone(), i.model.clone())).collect();
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
        planner.serve_waits();
        planner.serve_adapters();
        planner.fetch_missing(true);
        planner.add_replicas();
        planner.add_adapters();
        planner.fetch_missing(false);
        planner.actions
    }
}

impl<'a> Planner<'a> {
    fn is_full(&self) -> bool {
        self.actions.len() >= MOST_ACTIONS
    }

    pub(super) fn start_load(
        &mut self,
        offer: LoadOption<'a>,
        model: &ModelName,
        reason: &'static str,
    ) {
        let server = offer.engine.server.id.clone();
        self.options.assigned.insert(server.clone());
        self.options.reserve(offer.engine, offer.time);
        self.placed.insert((offer.engine.server.service.clone(), model.clone()));
        if offer.source == Source::Store {
            self.options.fetching += 1;
            self.options.fetches_left = self.options.fetches_left.saturating_sub(1);
        }
        self.actions.push(Action::LoadModel {
            server,
            model: model.clone(),
            victims: offer.victims,
            source: offer.source,
            time: offer.time,
            reason,
        });
    }

    /// Loads the models that requests wait for, in the order of their urgency.
    fn serve_waits(&mut self) {
        let mut items: Vec<(Urgency, ModelTarget)> = self
            .backlogs
            .iter()
            .map(|(item, wait)| (self.urgency(item, wait), item.clone()))
            .collect();
        items.sort();
        for (_, item) in items {
            if self.is_full() {
                return;
            }
            self.serve_wait(&item);
        }
    }

    fn urgency(&self, item: &ModelTarget, wait: &Backlog) -> Urgency {
        let rate = self.options.rate(&item.service, &item.model);
        Urgency::new(wait, rate, self.input.now)
    }

    fn serve_wait(&mut self, item: &ModelTarget) {
        let Some(spec) = self.options.spec(&item.service) else { return };
        if self.placed.contains(&(item.service.clone(), item.model.clone())) {
            return;
        }
        let wait = self.backlogs.get(item).cloned().unwrap_or_default();
        let wanted = Some(WaitStats {
            rate: self.options.rate(&item.service, &item.model),
            waited: self.input.now.saturating_sub(wait.since),
        });
        let avoid = wait.avoid;
        let is_open = |e: &&Engine| !avoid.contains(&e.server.instance());
        let serves = |e: &Engine| {
            let leaves = e.job.as_ref().is_some_and(|j| j.victims.contains(&item.model));
            e.holds(&item.model) && !leaves || e.job.as_ref().is_some_and(|j| j.model == item.model)
        };
        if self.options.engines(&item.service).filter(is_open).any(serves) {
            return;
        }
        let near = self.options.index.engines_with_copy(&item.service, &item.model);
        let engines = near.iter().copied().filter(|e| self.options.is_usable(e)).filter(is_open);
        // A host with a copy of the weights is worth a wait: a load from the weight store takes several times as
        // long. Busy models make way where that costs their callers less than the wait costs these.
        let options = engines.flat_map(|e| {
            [None, wanted]
                .into_iter()
                .filter_map(|w| self.options.load_option(e, spec, &item.model, w))
        });
        let best = options.min_by(|a, b| a.cost.total_cmp(&b.cost));
        match best {
            Some(best) if best.can_start => self.start_load(best, &item.model, "requests wait"),
            // Where the best engine is at work on another load, the model waits for it, and others after it.
            Some(best) => self.options.reserve(best.engine, best.time),
            None => {}
        }
    }

    fn serve_adapters(&mut self) {
        let items: Vec<(ModelTarget, Vec<ServerInstance>)> = self
            .backlogs
            .iter()
            .filter(|(item, _)| item.adapter.is_some())
            .map(|(item, wait)| (item.clone(), wait.avoid.clone()))
            .collect();
        for (item, avoid) in items {
            if let Some(action) = self.place_adapter(&item, &avoid) {
                self.begin_adapter(action);
            }
        }
    }

    fn begin_adapter(&mut self, action: Action) {
        if let Action::LoadAdapter { server, .. } = &action {
            self.options.assigned.insert(server.clone());
        }
        self.actions.push(action);
    }

    /// Puts an adapter on an engine that holds its model, where none has it yet.
    fn place_adapter(&self, item: &ModelTarget, avoid: &[ServerInstance]) -> Option<Action> {
        let adapter = item.adapter.as_ref()?;
        if avoid.is_empty() && self.options.index.has_adapter(&item.service, &item.model, adapter) {
            return None;
        }
        let holders = self.options.index.holders(&item.service, &item.model);
        let is_open =
            |e: &&&Engine| self.options.is_usable(e) && !avoid.contains(&e.server.instance());
        let holders: Vec<&Engine> = holders.iter().filter(is_open).copied().collect();
        let has = |e: &&Engine| {
            e.holds_adapter(&item.model, adapter) || e.is_loading_adapter(&item.model, adapter)
        };
        if holders.iter().any(has) {
            return None;
        }
        let is_free = |e: &&&Engine| {
            e.confirmed
                && e.job.is_none()
                && self.input.now >= e.backoff_until
                && !self.options.assigned.contains(&e.server.id)
        };
        let work = |e: &Engine| self.input.work.at(server_key(&e.server.instance())).running;
        let engine = holders.iter().filter(is_free).min_by_key(|e| (e.adapter_count(), work(e)))?;
        self.adapter_action(engine, item, adapter)
    }

    fn adapter_action(
        &self,
        engine: &Engine,
        item: &ModelTarget,
        adapter: &SmolStr,
    ) -> Option<Action> {
        let spec = self.options.spec(&item.service)?;
        let size = spec.models.get(&item.model)?.adapter_size;
        let short = (engine.memory_used(spec) + size).saturating_sub(spec.memory);
        let fits = engine.adapter_count() < spec.adapter_slots && short == 0;
        let victim = if fits { None } else { Some(self.adapter_victim(engine, spec, short)?) };
        Some(Action::LoadAdapter {
            server: engine.server.id.clone(),
            model: item.model.clone(),
            adapter: adapter.clone(),
            victim,
        })
    }

    /// The adapter of an engine that is asked for least, of those that no change under way takes and that free as much
    /// memory as is short.
    fn adapter_victim(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        short: Mebibytes,
    ) -> Option<(ModelName, SmolStr)> {
        let frees = |m: &&LoadedModel| {
            spec.models.get(&m.name).is_some_and(|model| model.adapter_size >= short)
        };
        let all = engine.models.iter().filter(frees).flat_map(|m| {
            let stays = |a: &&SmolStr| !engine.is_evicting(&m.name, a);
            m.adapters.iter().filter(stays).map(move |a| ModelTarget {
                service: engine.server.service.clone(),
                model: m.name.clone(),
                adapter: Some(a.clone()),
            })
        });
        let rate = |item: &ModelTarget| self.input.demand.item_rate(item, self.input.now);
        let item = all.min_by(|a, b| rate(a).total_cmp(&rate(b)))?;
        Some((item.model, item.adapter?))
    }

    /// Adds replicas of busy models, in data centres that have few of them.
    fn add_replicas(&mut self) {
        for (_, service, model) in self.options.index.busy(BUSY_RATE) {
            if self.is_full() {
                return;
            }
            let key = (SmolStr::new(service), ModelName::new(model));
            let engines = self.options.engines(service).count();
            let needed = self.options.needed_replicas(service, &key.1).min(engines);
            if self.placed.contains(&key) || self.options.index.replicas(service, model) >= needed {
                continue;
            }
            let Some(spec) = self.options.spec(service) else { continue };
            let may_fetch = self.options.fetching < self.input.share.concurrency();
            let spread = |o: &LoadOption<'_>| {
                self.options.index.replicas_in(service, model, &o.engine.server.centre) as f64
                    + o.cost
            };
            let options = self
                .options
                .engines(service)
                .filter_map(|e| self.options.load_option(e, spec, model, None));
            // A host with a copy that is at work now is worth a wait: the weight store is slower, and
            // others need it more.
            let best = options.min_by(|a, b| spread(a).total_cmp(&spread(b)));
            let best = best.filter(|o| o.can_start && (o.source != Source::Store || may_fetch));
            if let Some(best) = best {
                self.start_load(best, &key.1, "busy model");
            }
        }
    }

    /// Loads adapters of busy models before they are asked for, while places are free.
    fn add_adapters(&mut self) {
        for (_, service, model) in self.options.index.busy(BUSY_RATE) {
            let spec = self.options.spec(service).and_then(|s| s.models.get(model));
            for adapter in spec.map(|s| s.adapters.as_slice()).unwrap_or_default() {
                if self.is_full() {
                    return;
                }
                let item = ModelTarget {
                    service: SmolStr::new(service),
                    model: ModelName::new(model),
                    adapter: Some(adapter.clone()),
                };
                let action = self.place_adapter(&item, &[]);
                if let Some(action @ Action::LoadAdapter { victim: None, .. }) = action {
                    self.begin_adapter(action);
                }
            }
        }
    }
}
