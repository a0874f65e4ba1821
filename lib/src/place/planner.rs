//! The plan: which engine loads which model or adapter next, and what makes way for it.
//!
//! A model that requests wait for goes where it can serve soonest, counting what its victims are
//! worth. In the time left over, busy models get more replicas, and rare models are loaded once so
//! that a copy of their weights lies on some host's disk: a later load then takes a second or two in
//! place of six and more, which is the difference between a punctual and a late first answer.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::ids::CentreId;
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
/// Requests that run on a victim delay its unloading by about this long.
const RUNNING_DELAY: Duration = Duration::from_secs(3);
/// Time of an order and its confirmation.
const ORDER_TIME: Duration = Duration::from_millis(150);
/// A model that was loaded or used this recently stays: its waiting requests are on their way.
const SETTLE: Duration = Duration::from_millis(1500);
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
    /// Whether another load from the weight store may begin under its ceiling.
    pub store_open: bool,
}

struct Offer<'a> {
    engine: &'a Engine,
    victims: Vec<ModelName>,
    source: Source,
    time: Duration,
    cost: f64,
    can_start: bool,
}

impl Scene<'_> {
    /// Returns the next step, or none where all is well.
    pub fn next(&self) -> Option<Action> {
        let waits = self.demand.waits(self.now);
        self.serve_waits(&waits)
            .or_else(|| self.serve_adapters(&waits))
            .or_else(|| self.add_replica())
            .or_else(|| self.add_adapter())
            .or_else(|| self.fetch(&waits))
    }

    fn spec(&self, service: &str) -> Option<&EngineSpec> {
        self.config.services.get(service)?.engine.as_ref()
    }

    fn engines<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Engine> {
        let is_usable = move |e: &&Engine| {
            e.server.service == service
                && !e.server.leaving
                && !self.unreachable.contains(&e.server.id)
        };
        self.ledger.engines.values().filter(is_usable)
    }

    fn running(&self, engine: &Engine) -> u32 {
        self.loads.at(&engine.server.id, self.now).running
    }

    /// Whether requests for a model run at an engine: its unloading would wait for their end.
    fn is_used(&self, engine: &Engine, model: &str) -> bool {
        self.loads.running(&engine.server.id, model, self.now) > 0
    }

    /// Loads from the weight store that are under way.
    fn fetching(&self) -> usize {
        let is_fetch = |e: &&Engine| e.job.as_ref().is_some_and(|j| j.source == Source::Store);
        self.ledger.engines.values().filter(is_fetch).count()
    }

    fn replicas(&self, service: &str, model: &str) -> usize {
        let has = |e: &&Engine| {
            e.holds(model) && !e.job.as_ref().is_some_and(|j| j.victims.iter().any(|v| v == model))
                || e.job.as_ref().is_some_and(|j| j.model == model)
        };
        self.engines(service).filter(has).count()
    }

    /// Engines in a data centre that hold or load a model.
    fn replicas_in(&self, service: &str, model: &str, centre: &CentreId) -> usize {
        let has = |e: &&Engine| {
            e.server.centre == *centre
                && (e.holds(model) || e.job.as_ref().is_some_and(|j| j.model == model))
        };
        self.engines(service).filter(has).count()
    }

    fn rate(&self, service: &str, model: &str) -> f64 {
        self.demand.rate(service, model, self.now).max(UNKNOWN_RATE)
    }

    /// Expected loss of evicting a model from one engine, in requests a second that meet no replica.
    fn loss(&self, engine: &Engine, model: &str) -> f64 {
        let service = &engine.server.service;
        let rate = self.rate(service, model);
        let replicas = self.replicas(service, model);
        let needed = self.needed(service, model);
        if replicas > needed.max(1) {
            return rate * SPARE_PART;
        }
        if replicas > 1 {
            return rate * 0.5;
        }
        // A copy on another engine's disk makes it quick to come back, one here as well.
        rate
    }

    /// A victim in use is the last choice: the load would wait for its requests.
    fn delay_loss(&self, engine: &Engine, model: &str) -> f64 {
        if self.is_used(engine, model) { RUNNING_DELAY.as_secs_f64() / LOSS_SECONDS } else { 0.0 }
    }

    fn needed(&self, service: &str, model: &str) -> usize {
        let rate = self.rate(service, model);
        if rate < BUSY_RATE {
            return 1;
        }
        let engines = self.engines(service).count();
        let wanted = (rate / RATE_PER_REPLICA).ceil() as usize;
        wanted.max(LEAST_BUSY).min(engines.max(1))
    }

    fn may_leave(&self, engine: &Engine, model: &str, waits: &BTreeMap<Item, Wait>) -> bool {
        let service = &engine.server.service;
        let is_busy = self.rate(service, model) >= BUSY_RATE;
        if is_busy && self.replicas(service, model) <= self.needed(service, model).min(LEAST_BUSY) {
            return false;
        }
        let settles = engine.used.get(model).is_some_and(|t| self.now < *t + SETTLE);
        let is_waited = |item: &Item| item.service == *service && item.model == model;
        !settles && !waits.keys().any(is_waited)
    }

    /// Victims that free room for `need`, the least loss first; none where it cannot be had.
    fn victims(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        need: Mebibytes,
        waits: &BTreeMap<Item, Wait>,
    ) -> Option<(Vec<ModelName>, f64)> {
        let mut free = spec.memory.saturating_sub(engine.taken(spec));
        if free >= need {
            return Some((Vec::new(), 0.0));
        }
        let weight = |name: &ModelName| {
            let adapters =
                engine.models.iter().find(|m| m.name == *name).map_or(0, |m| m.adapters.len());
            spec.models.get(name).map_or(0, |m| m.size + m.adapter_size * adapters as Mebibytes)
        };
        let mut options: Vec<_> = engine
            .models
            .iter()
            .filter(|m| self.may_leave(engine, &m.name, waits))
            .map(|m| {
                (self.loss(engine, &m.name) + self.delay_loss(engine, &m.name), m.name.clone())
            })
            .collect();
        options.sort_by(|a, b| {
            let used = |name: &ModelName| engine.used.get(name).copied().unwrap_or_default();
            a.0.total_cmp(&b.0).then_with(|| used(&a.1).cmp(&used(&b.1)))
        });
        let mut victims = Vec::new();
        let mut loss = 0.0;
        for (part, name) in options {
            free += weight(&name);
            loss += part;
            victims.push(name);
            if free >= need {
                break;
            }
        }
        if free < need {
            return None;
        }
        // An early victim may turn out needless beside a larger later one.
        for i in (0..victims.len()).rev() {
            let size = weight(&victims[i]);
            if victims.len() > 1 && free - size >= need {
                free -= size;
                victims.remove(i);
            }
        }
        Some((victims, loss))
    }

    fn load_time(&self, spec: &ModelSpec, source: Source) -> Duration {
        match source {
            Source::Memory => spec.warm,
            Source::Disk => spec.disk,
            Source::Store => {
                let others = self.fetching() + 1;
                spec.load.mul_f64((others as f64 / self.parallel.max(1) as f64).max(1.0))
            }
        }
    }

    /// What it takes to load a model at an engine.
    fn offer<'a>(
        &self,
        engine: &'a Engine,
        spec: &EngineSpec,
        model: &str,
        waits: &BTreeMap<Item, Wait>,
    ) -> Option<Offer<'a>> {
        let model_spec = spec.models.get(model)?;
        if engine.holds(model) || model_spec.size > spec.memory {
            return None;
        }
        let source = engine.source(model);
        let mut time = self.load_time(model_spec, source) + ORDER_TIME;
        if let Some(job) = &engine.job {
            if job.model == model {
                return None;
            }
            // Whatever makes way then, the job's own end comes first.
            time += job.eta.saturating_sub(self.now) + ORDER_TIME;
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
        let (victims, loss) = self.victims(engine, spec, model_spec.size, waits)?;
        if !victims.is_empty() {
            time += ORDER_TIME;
            if victims.iter().any(|v| self.is_used(engine, v)) {
                time += RUNNING_DELAY;
            }
        }
        let cost = time.as_secs_f64() + loss * LOSS_SECONDS;
        let can_start = engine.confirmed
            && engine.adapters.is_empty()
            && self.now >= engine.rest_until
            && (source != Source::Store || self.store_open);
        Some(Offer { engine, victims, source, time, cost, can_start })
    }

    fn serve_waits(&self, waits: &BTreeMap<Item, Wait>) -> Option<Action> {
        let mut models: Vec<(Moment, &Item, &Wait)> = Vec::new();
        for (item, wait) in waits {
            models.push((wait.since, item, wait));
        }
        models.sort_by_key(|(since, _, _)| *since);
        models.into_iter().find_map(|(_, item, wait)| self.serve_wait(item, wait, waits))
    }

    fn serve_wait(&self, item: &Item, wait: &Wait, waits: &BTreeMap<Item, Wait>) -> Option<Action> {
        let spec = self.spec(&item.service)?;
        let is_open = |e: &&Engine| !wait.avoid.contains(&e.server.id);
        let serves = |e: &Engine| {
            let leaves = e.job.as_ref().is_some_and(|j| j.victims.contains(&item.model));
            e.holds(&item.model) && !leaves || e.job.as_ref().is_some_and(|j| j.model == item.model)
        };
        if self.engines(&item.service).filter(is_open).any(serves) {
            return None;
        }
        let offers = self
            .engines(&item.service)
            .filter(is_open)
            .filter_map(|e| self.offer(e, spec, &item.model, waits));
        let best = offers.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        // Where the best engine is at work on another load, the model waits for it.
        best.can_start.then(|| best.action(&item.model, "requests wait"))
    }

    fn serve_adapters(&self, waits: &BTreeMap<Item, Wait>) -> Option<Action> {
        waits.iter().find_map(|(item, wait)| {
            let adapter = item.adapter.as_ref()?;
            self.place_adapter(item, adapter, &wait.avoid)
        })
    }

    /// Puts an adapter on the least loaded engine that holds its model, where none has it yet.
    fn place_adapter(&self, item: &Item, adapter: &SmolStr, avoid: &[ServerId]) -> Option<Action> {
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
        let is_free = |e: &&&Engine| e.confirmed && e.job.is_none() && self.now >= e.rest_until;
        let engine =
            holders.iter().filter(is_free).min_by_key(|e| (e.adapter_count(), self.running(e)))?;
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
        let rate = |item: &Item| self.demand.item_rate(item, self.now);
        let item = all.min_by(|a, b| rate(a).total_cmp(&rate(b)))?;
        Some((item.model, item.adapter?))
    }

    /// Models of all services that are asked for, the busiest first.
    fn busy(&self) -> Vec<(f64, &SmolStr, &ModelName)> {
        let mut busy = Vec::new();
        for service in self.config.services.values() {
            let Some(spec) = &service.engine else { continue };
            for model in spec.models.keys() {
                let rate = self.demand.rate(&service.name, model, self.now);
                if rate >= BUSY_RATE {
                    busy.push((rate, &service.name, model));
                }
            }
        }
        busy.sort_by(|a, b| b.0.total_cmp(&a.0));
        busy
    }

    fn add_replica(&self) -> Option<Action> {
        let none = BTreeMap::new();
        self.busy().into_iter().find_map(|(_, service, model)| {
            let has = self.replicas(service, model);
            if has >= self.needed(service, model) {
                return None;
            }
            let spec = self.spec(service)?;
            let fetches = self.fetching();
            let offers = self
                .engines(service)
                .filter_map(|e| self.offer(e, spec, model, &none))
                .filter(|o| o.can_start)
                .filter(|o| o.source != Source::Store || fetches < self.parallel);
            let spread = |o: &Offer<'_>| {
                self.replicas_in(service, model, &o.engine.server.centre) as f64 + o.cost
            };
            let best = offers.min_by(|a, b| spread(a).total_cmp(&spread(b)))?;
            Some(best.action(model, "busy model"))
        })
    }

    /// Adapters of busy models before they are asked for, while places are free.
    fn add_adapter(&self) -> Option<Action> {
        self.busy().into_iter().find_map(|(_, service, model)| {
            let spec = self.spec(service)?;
            spec.models.get(model)?.adapters.iter().find_map(|adapter| {
                let item = Item {
                    service: service.clone(),
                    model: model.clone(),
                    adapter: Some(adapter.clone()),
                };
                let action = self.place_adapter(&item, adapter, &[])?;
                matches!(action, Action::Adapter { victim: None, .. }).then_some(action)
            })
        })
    }

    /// Loads a model that has no copy on any engine, so that one lies on a disk.
    fn fetch(&self, waits: &BTreeMap<Item, Wait>) -> Option<Action> {
        let most = if self.demand.is_empty() { FETCHES } else { FETCHES_BUSY };
        if self.fetching() >= most.min(self.parallel) || !self.store_open {
            return None;
        }
        self.config.services.values().find_map(|service| {
            let spec = service.engine.as_ref()?;
            let lacks = |model: &&ModelName| {
                self.engines(&service.name).all(|e| {
                    !e.holds(model)
                        && e.source(model) == Source::Store
                        && e.job.as_ref().is_none_or(|j| j.model != ***model)
                })
            };
            let rate = |model: &ModelName| self.rate(&service.name, model);
            let missing = spec.models.keys().filter(lacks);
            let model = missing.max_by(|a, b| rate(a).total_cmp(&rate(b)))?;
            let offers = self
                .engines(&service.name)
                .filter(|e| e.models.iter().all(|m| e.source(&m.name) != Source::Store))
                .filter_map(|e| self.offer(e, spec, model, waits))
                .filter(|o| o.can_start);
            let best = offers.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
            Some(best.action(model, "no copy on any host"))
        })
    }
}

impl Offer<'_> {
    fn action(self, model: &ModelName, reason: &'static str) -> Action {
        Action::Load {
            server: self.engine.server.id.clone(),
            model: model.clone(),
            victims: self.victims,
            source: self.source,
            time: self.time,
            reason,
        }
    }
}
