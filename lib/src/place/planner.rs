//! The plan: which engine loads which model or adapter next, and what makes way for it.
//!
//! A model that requests wait for goes where it can serve soonest, counting what its victims are
//! worth. In the time left over, busy models get more replicas, and rare models are loaded once so
//! that a copy of their weights lies on some host's disk: a later load then takes a second or two in
//! place of six and more, which is the difference between a punctual and a late first answer.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::ids::Mebibytes;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::picture::configuration::Configuration;
use crate::picture::configuration::EngineSpec;
use crate::picture::configuration::ModelSpec;
use crate::picture::loads::Loads;
use crate::place::demand::Demand;
use crate::place::demand::Item;
use crate::place::demand::Wait;
use crate::place::ledger::Engine;
use crate::place::ledger::Ledger;
use crate::place::ledger::Source;
use crate::place::survey::Survey;

/// Arrivals a second of a model from which it counts as busy: it is then asked for about as often
/// as a load takes, so it must stay loaded.
const BUSY_RATE: f64 = 0.5;
/// Arrivals a second that one replica of a busy model serves before another is added. Reading a
/// prompt keeps an engine's batch busy for some 75 ms; at four a second a third of its time.
const RATE_PER_REPLICA: f64 = 4.0;
/// Arrivals a second assumed of a model that was never asked for: once a minute.
const UNKNOWN_RATE: f64 = 0.015;
/// Worth of a second of waiting, compared with an eviction's expected loss in requests a second.
const LOSS_SECONDS: f64 = 8.0;
/// Part of its rate that a model loses with one of several replicas.
const SPARE_PART: f64 = 0.1;
/// Part of its rate that a model loses with one of the replicas that its demand asks for.
const NEEDED_PART: f64 = 0.5;
/// Requests that run on a victim delay its unloading by about this long.
const RUNNING_DELAY: Duration = Duration::from_secs(3);
/// Time of an order and its confirmation.
const ORDER_TIME: Duration = Duration::from_millis(150);
/// A model that was loaded or used this recently stays: its waiting requests are on their way.
const SETTLE: Duration = Duration::from_millis(1500);
/// After this wait a model may take the place of a busier one's last replica, whose callers then
/// wait in turn.
const LONG_WAIT: Duration = Duration::from_secs(1);
/// Loads from the weight store under way at once, those that nobody waits for.
const FETCHES: usize = 4;
/// The same once there is traffic: engines that fetch cannot serve other loads meanwhile.
const FETCHES_BUSY: usize = 3;
/// Replicas of a busy model at least, so that one lost engine or data centre leaves one.
const LEAST_BUSY: usize = 2;

/// A step to take at one engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Load a model, after its victims made way.
    Load {
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
    Adapter {
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
pub struct Scene<'a> {
    /// Now.
    pub now: Moment,
    /// The configuration.
    pub config: &'a Configuration,
    /// The engines.
    pub ledger: &'a Ledger,
    /// Demand over all daemons.
    pub demand: &'a Demand,
    /// Requests in progress, over all daemons.
    pub loads: &'a Loads,
    /// Engines that cannot be reached from the holder.
    pub unreachable: Vec<ServerId>,
    /// Loads from the weight store at once that are still at full speed.
    pub parallel: usize,
    /// Loads from the weight store that may still begin under its ceiling.
    pub store_room: usize,
}

/// Steps begun at once at most; the next plan follows within a tenth of a second.
const MOST_ACTIONS: usize = 32;

/// What it takes to load a model at an engine.
struct Offer<'a> {
    engine: &'a Engine,
    victims: Vec<ModelName>,
    source: Source,
    time: Duration,
    cost: f64,
    can_start: bool,
}

/// A model that requests wait for.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    /// Its arrivals a second.
    rate: f64,
    /// How long its first request has waited.
    waited: Duration,
}

/// A plan in the making.
struct Planner<'a> {
    scene: &'a Scene<'a>,
    survey: Survey<'a>,
    waits: BTreeMap<Item, Wait>,
    /// Models with waiting requests: they stay where they are.
    waited: HashSet<(SmolStr, ModelName)>,
    /// Engines that got a step in this plan.
    taken: HashSet<ServerId>,
    /// Models that got one.
    placed: HashSet<(SmolStr, ModelName)>,
    /// Loads from the weight store, those of this plan included.
    fetching: usize,
    store_room: usize,
    actions: Vec<Action>,
}

impl Scene<'_> {
    /// Returns the next steps; each engine gets one at most.
    pub fn plan(&self) -> Vec<Action> {
        let waits = self.demand.waits(self.now);
        let survey = Survey::new(self.ledger, self.demand, self.loads, self.now);
        let waited = waits.keys().map(|i| (i.service.clone(), i.model.clone())).collect();
        let fetching = survey.fetching;
        let mut planner = Planner {
            scene: self,
            survey,
            waits,
            waited,
            taken: HashSet::new(),
            placed: HashSet::new(),
            fetching,
            store_room: self.store_room,
            actions: Vec::new(),
        };
        planner.serve_waits();
        planner.serve_adapters();
        planner.add_replicas();
        planner.add_adapters();
        planner.fetch();
        planner.actions
    }
}

impl<'a> Planner<'a> {
    fn spec(&self, service: &str) -> Option<&'a EngineSpec> {
        self.scene.config.services.get(service)?.engine.as_ref()
    }

    fn engines<'b>(&'b self, service: &'b str) -> impl Iterator<Item = &'a Engine> + use<'a, 'b> {
        let scene = self.scene;
        scene.ledger.engines.values().filter(move |e| {
            e.server.service == service
                && !e.server.leaving
                && !scene.unreachable.contains(&e.server.id)
        })
    }

    fn is_full(&self) -> bool {
        self.actions.len() >= MOST_ACTIONS
    }

    fn rate(&self, service: &str, model: &str) -> f64 {
        self.survey.rate(service, model).max(UNKNOWN_RATE)
    }

    fn is_used(&self, engine: &Engine, model: &str) -> bool {
        self.survey.running(&engine.server.id, model) > 0
    }

    /// Expected loss of evicting a model from one engine, in requests a second that meet no replica.
    fn loss(&self, engine: &Engine, model: &str) -> f64 {
        let service = &engine.server.service;
        let rate = self.rate(service, model);
        let replicas = self.survey.replicas(service, model);
        if replicas > self.needed(service, model).max(1) {
            return rate * SPARE_PART;
        }
        if replicas > 1 { rate * NEEDED_PART } else { rate }
    }

    /// A victim in use is the last choice: the load would wait for its requests.
    fn delay_loss(&self, engine: &Engine, model: &str) -> f64 {
        if self.is_used(engine, model) { RUNNING_DELAY.as_secs_f64() / LOSS_SECONDS } else { 0.0 }
    }

    /// Replicas that a model's demand asks for.
    fn needed(&self, service: &str, model: &str) -> usize {
        let rate = self.rate(service, model);
        if rate < BUSY_RATE {
            return 1;
        }
        ((rate / RATE_PER_REPLICA).ceil() as usize).max(LEAST_BUSY)
    }

    /// Whether a busy model must stay where it is.
    ///
    /// A model that is wanted now and has no replica may take the place of another's second one,
    /// and of a last one that is asked for less, or after a long wait. Otherwise models that were
    /// loaded first would keep all places, and the others would never be served.
    fn must_stay(&self, engine: &Engine, model: &ModelName, wanted: Option<Wanted>) -> bool {
        let service = &engine.server.service;
        let rate = self.rate(service, model);
        let replicas = self.survey.replicas(service, model);
        if rate < BUSY_RATE {
            return false;
        }
        match wanted {
            None => replicas <= self.needed(service, model).min(LEAST_BUSY),
            Some(wanted) => {
                let yields = rate < wanted.rate || wanted.waited > LONG_WAIT;
                replicas <= 1 && !yields
            }
        }
    }

    fn may_leave(&self, engine: &Engine, model: &ModelName, wanted: Option<Wanted>) -> bool {
        let key = (engine.server.service.clone(), model.clone());
        let settles = engine.used.get(model).is_some_and(|t| self.scene.now < *t + SETTLE);
        let is_last = self.survey.replicas(&key.0, model) <= 1;
        let is_waited = is_last && self.waited.contains(&key);
        !settles && !is_waited && !self.must_stay(engine, model, wanted)
    }

    /// Whether models that may leave soon, though not now, make room for `need`.
    fn has_room_soon(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        need: Mebibytes,
        wanted: Option<Wanted>,
    ) -> bool {
        let soon = engine.models.iter().filter(|m| !self.must_stay(engine, &m.name, wanted));
        let room: Mebibytes = soon.map(|m| engine.weight(spec, m)).sum();
        spec.memory.saturating_sub(engine.taken(spec)) + room >= need
    }

    /// Victims that free room for `need`, the least loss first; none where it cannot be had.
    fn victims(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        need: Mebibytes,
        wanted: Option<Wanted>,
    ) -> Option<(Vec<ModelName>, f64)> {
        let mut free = spec.memory.saturating_sub(engine.taken(spec));
        if free >= need {
            return Some((Vec::new(), 0.0));
        }
        let mut options: Vec<(f64, Moment, Mebibytes, &ModelName)> = engine
            .models
            .iter()
            .filter(|m| self.may_leave(engine, &m.name, wanted))
            .map(|m| {
                let loss = self.loss(engine, &m.name) + self.delay_loss(engine, &m.name);
                let used = engine.used.get(&m.name).copied().unwrap_or_default();
                (loss, used, engine.weight(spec, m), &m.name)
            })
            .collect();
        options.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let mut chosen = Vec::new();
        for option in options {
            if free >= need {
                break;
            }
            free += option.2;
            chosen.push(option);
        }
        if free < need {
            return None;
        }
        // An early victim may turn out needless beside a larger later one.
        for i in (0..chosen.len()).rev() {
            if chosen.len() > 1 && free - chosen[i].2 >= need {
                free -= chosen[i].2;
                chosen.remove(i);
            }
        }
        let loss = chosen.iter().map(|(loss, ..)| loss).sum();
        Some((chosen.into_iter().map(|(_, _, _, name)| name.clone()).collect(), loss))
    }

    fn load_time(&self, spec: &ModelSpec, source: Source) -> Duration {
        match source {
            Source::Memory => spec.warm,
            Source::Disk => spec.disk,
            Source::Store => {
                let share = (self.fetching + 1) as f64 / self.scene.parallel.max(1) as f64;
                spec.load.mul_f64(share.max(1.0))
            }
        }
    }

    fn offer(
        &self,
        engine: &'a Engine,
        spec: &EngineSpec,
        model: &str,
        wanted: Option<Wanted>,
    ) -> Option<Offer<'a>> {
        let model_spec = spec.models.get(model)?;
        if engine.holds(model) || model_spec.size > spec.memory {
            return None;
        }
        let now = self.scene.now;
        let source = engine.source(model);
        let mut time = self.load_time(model_spec, source) + ORDER_TIME;
        if let Some(job) = &engine.job {
            if job.model == model {
                return None;
            }
            // Whatever makes way then, the job's own end comes first.
            time += job.eta.saturating_sub(now) + ORDER_TIME;
            let cost = time.as_secs_f64();
            return Some(Offer {
                engine,
                victims: Vec::new(),
                source,
                time,
                cost,
                can_start: false,
            });
        }
        let Some((victims, loss)) = self.victims(engine, spec, model_spec.size, wanted) else {
            if !self.has_room_soon(engine, spec, model_spec.size, wanted) {
                return None;
            }
            // A copy on this host's disk is worth a short wait: a load from the weight store at
            // another engine takes longer.
            time += SETTLE + ORDER_TIME;
            let cost = time.as_secs_f64();
            return Some(Offer {
                engine,
                victims: Vec::new(),
                source,
                time,
                cost,
                can_start: false,
            });
        };
        if !victims.is_empty() {
            time += ORDER_TIME;
        }
        if victims.iter().any(|v| self.is_used(engine, v)) {
            time += RUNNING_DELAY;
        }
        let cost = time.as_secs_f64() + loss * LOSS_SECONDS;
        let can_start = engine.confirmed
            && engine.adapters.is_empty()
            && now >= engine.rest_until
            && !self.taken.contains(&engine.server.id)
            && (source != Source::Store || self.store_room > 0);
        Some(Offer { engine, victims, source, time, cost, can_start })
    }

    fn begin(&mut self, offer: Offer<'a>, model: &ModelName, reason: &'static str) {
        let server = offer.engine.server.id.clone();
        self.taken.insert(server.clone());
        self.placed.insert((offer.engine.server.service.clone(), model.clone()));
        if offer.source == Source::Store {
            self.fetching += 1;
            self.store_room = self.store_room.saturating_sub(1);
        }
        self.actions.push(Action::Load {
            server,
            model: model.clone(),
            victims: offer.victims,
            source: offer.source,
            time: offer.time,
            reason,
        });
    }

    /// Loads the models that requests wait for, the longest wait first.
    fn serve_waits(&mut self) {
        let mut items: Vec<(Moment, Item)> =
            self.waits.iter().map(|(item, wait)| (wait.since, item.clone())).collect();
        items.sort_by_key(|(since, _)| *since);
        for (_, item) in items {
            if self.is_full() {
                return;
            }
            self.serve_wait(&item);
        }
    }

    fn serve_wait(&mut self, item: &Item) {
        let Some(spec) = self.spec(&item.service) else { return };
        if self.placed.contains(&(item.service.clone(), item.model.clone())) {
            return;
        }
        let wait = self.waits.get(item).cloned().unwrap_or_default();
        let wanted = Some(Wanted {
            rate: self.rate(&item.service, &item.model),
            waited: self.scene.now.saturating_sub(wait.since),
        });
        let avoid = wait.avoid;
        let is_open = |e: &&Engine| !avoid.contains(&e.server.id);
        let serves = |e: &Engine| {
            let leaves = e.job.as_ref().is_some_and(|j| j.victims.contains(&item.model));
            e.holds(&item.model) && !leaves || e.job.as_ref().is_some_and(|j| j.model == item.model)
        };
        if self.engines(&item.service).filter(is_open).any(serves) {
            return;
        }
        let best_offer = |wanted| {
            let engines = self.engines(&item.service).filter(is_open);
            let offers = engines.filter_map(|e| self.offer(e, spec, &item.model, wanted));
            offers.min_by(|a, b| a.cost.total_cmp(&b.cost))
        };
        // Only where nothing else can make way do busy models have to.
        let best = best_offer(None).or_else(|| best_offer(wanted));
        // Where the best engine is at work on another load, the model waits for it.
        if let Some(best) = best.filter(|b| b.can_start) {
            self.begin(best, &item.model, "requests wait");
        }
    }

    fn serve_adapters(&mut self) {
        let items: Vec<(Item, Vec<ServerId>)> = self
            .waits
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
        if let Action::Adapter { server, .. } = &action {
            self.taken.insert(server.clone());
        }
        self.actions.push(action);
    }

    /// Puts an adapter on an engine that holds its model, where none has it yet.
    fn place_adapter(&self, item: &Item, avoid: &[ServerId]) -> Option<Action> {
        let adapter = item.adapter.as_ref()?;
        let holders: Vec<&Engine> = self
            .engines(&item.service)
            .filter(|e| e.holds(&item.model) && !avoid.contains(&e.server.id))
            .collect();
        let has = |e: &&Engine| {
            e.holds_adapter(&item.model, adapter) || e.awaits_adapter(&item.model, adapter)
        };
        if holders.iter().any(has) {
            return None;
        }
        let is_free = |e: &&&Engine| {
            e.confirmed
                && e.job.is_none()
                && self.scene.now >= e.rest_until
                && !self.taken.contains(&e.server.id)
        };
        let work = |e: &Engine| self.scene.loads.at(&e.server.id, self.scene.now).running;
        let engine = holders.iter().filter(is_free).min_by_key(|e| (e.adapter_count(), work(e)))?;
        self.adapter_action(engine, item, adapter)
    }

    fn adapter_action(&self, engine: &Engine, item: &Item, adapter: &SmolStr) -> Option<Action> {
        let spec = self.spec(&item.service)?;
        let size = spec.models.get(&item.model)?.adapter_size;
        let fits =
            engine.adapter_count() < spec.adapter_slots && engine.taken(spec) + size <= spec.memory;
        let victim = if fits { None } else { Some(self.adapter_victim(engine)?) };
        Some(Action::Adapter {
            server: engine.server.id.clone(),
            model: item.model.clone(),
            adapter: adapter.clone(),
            victim,
        })
    }

    /// The adapter of an engine that is asked for least.
    fn adapter_victim(&self, engine: &Engine) -> Option<(ModelName, SmolStr)> {
        let all = engine.models.iter().flat_map(|m| {
            m.adapters.iter().map(move |a| Item {
                service: engine.server.service.clone(),
                model: m.name.clone(),
                adapter: Some(a.clone()),
            })
        });
        let rate = |item: &Item| self.scene.demand.item_rate(item, self.scene.now);
        let item = all.min_by(|a, b| rate(a).total_cmp(&rate(b)))?;
        Some((item.model, item.adapter?))
    }

    /// Adds replicas of busy models, in data centres that have few of them.
    fn add_replicas(&mut self) {
        for (_, service, model) in self.survey.busy(BUSY_RATE) {
            if self.is_full() {
                return;
            }
            let key = (SmolStr::new(service), ModelName::new(model));
            let engines = self.engines(service).count();
            let needed = self.needed(service, model).min(engines);
            if self.placed.contains(&key) || self.survey.replicas(service, model) >= needed {
                continue;
            }
            let Some(spec) = self.spec(service) else { continue };
            let may_fetch = self.fetching < self.scene.parallel;
            let spread = |o: &Offer<'_>| {
                self.survey.replicas_in(service, model, &o.engine.server.centre) as f64 + o.cost
            };
            let offers = self.engines(service).filter_map(|e| self.offer(e, spec, model, None));
            let open = offers.filter(|o| o.can_start && (o.source != Source::Store || may_fetch));
            let best = open.min_by(|a, b| spread(a).total_cmp(&spread(b)));
            if let Some(best) = best {
                self.begin(best, &key.1, "busy model");
            }
        }
    }

    /// Loads adapters of busy models before they are asked for, while places are free.
    fn add_adapters(&mut self) {
        for (_, service, model) in self.survey.busy(BUSY_RATE) {
            let spec = self.spec(service).and_then(|s| s.models.get(model));
            for adapter in spec.map(|s| s.adapters.as_slice()).unwrap_or_default() {
                if self.is_full() {
                    return;
                }
                let item = Item {
                    service: SmolStr::new(service),
                    model: ModelName::new(model),
                    adapter: Some(adapter.clone()),
                };
                let action = self.place_adapter(&item, &[]);
                if let Some(action @ Action::Adapter { victim: None, .. }) = action {
                    self.begin_adapter(action);
                }
            }
        }
    }

    /// Loads a model that has no copy on any engine, so that one lies on a disk.
    fn fetch(&mut self) {
        let most = if self.scene.demand.is_empty() { FETCHES } else { FETCHES_BUSY };
        for service in self.scene.config.services.values() {
            let Some(spec) = &service.engine else { continue };
            let lacks = |model: &&ModelName| {
                !self.survey.has_copy(&service.name, model)
                    && !self.placed.contains(&(service.name.clone(), (*model).clone()))
            };
            let mut missing: Vec<&ModelName> = spec.models.keys().filter(lacks).collect();
            let rate = |model: &ModelName| self.rate(&service.name, model);
            missing.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
            for model in missing {
                if self.fetching >= most.min(self.scene.parallel) || self.store_room == 0 {
                    return;
                }
                let offers = self
                    .engines(&service.name)
                    .filter(|e| e.models.iter().all(|m| e.source(&m.name) != Source::Store))
                    .filter_map(|e| self.offer(e, spec, model, None));
                let open = offers.filter(|o| o.can_start);
                let Some(best) = open.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { return };
                self.begin(best, model, "no copy on any host");
            }
        }
    }
}
