//! Evaluates loading a model at an engine: which models are evicted, how long it takes, and what the eviction costs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::cluster::configuration::EngineSpec;
use crate::cluster::configuration::ModelSpec;
use crate::ids::Mebibytes;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::placement::engine_table::Engine;
use crate::placement::engine_table::Source;
use crate::placement::plan_index::PlanIndex;
use crate::placement::planner::PlanInput;

/// Arrivals per second from which a model counts as busy: it is then requested about once per load time, so it must
/// stay loaded.
pub const BUSY_RATE: f64 = 0.5;
/// Arrivals per second that one replica of a busy model serves before another is added: processing their prompts takes
/// a third of its time.
const RATE_PER_REPLICA: f64 = 4.0;
/// Part of an engine's slots that a model's requests may fill before another replica is added: a full batch makes new
/// requests wait for a slot, and loading a replica takes as long as some requests.
const FILLED_SLOTS_PART: f64 = 0.5;
/// Part of a replica's capacity that counts as available to its model: it also serves other models' requests, and a
/// full replica makes callers wait.
const USABLE_CAPACITY_PART: f64 = 0.8;
/// Arrivals per second assumed for a model that was never requested: about one a minute.
const DEFAULT_RATE: f64 = 0.015;
/// Cost of an eviction, in seconds of waiting per request per second that finds no replica.
const LOSS_SECONDS: f64 = 8.0;
/// Cost of other traffic at an engine, in seconds of waiting per arrival per second. Each prompt pauses the streams
/// there for a while, and pauses make them late.
const CONTENTION_SECONDS: f64 = 0.3;
/// Part of a model's rate counted as loss if it is evicted from one of more replicas than it needs.
const SURPLUS_LOSS_PART: f64 = 0.1;
/// Part of a model's rate counted as loss if it is evicted from a replica that it needs and others remain.
const NEEDED_LOSS_PART: f64 = 0.5;
/// Time of an order and its confirmation.
const ORDER_TIME: Duration = Duration::from_millis(150);
/// A model that was loaded or used this recently is not evicted: its queued requests are about to be sent.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// After this wait a model may replace the last replica of a busier one, whose callers then wait in turn.
const LONG_WAIT: Duration = Duration::from_secs(1);
/// Minimum replicas of a busy model, so that one remains if an engine or a data centre fails.
const MIN_BUSY_REPLICAS: usize = 2;

/// One way to load a model: the engine, the evicted models and the cost.
#[derive(Clone, Debug)]
pub struct LoadOption<'a> {
    /// The engine.
    pub engine: &'a Engine,
    /// Models that are evicted.
    pub victims: Vec<ModelName>,
    /// Where the weights come from.
    pub source: Source,
    /// How long the load takes, without the requests still running on evicted models: this time is reported to
    /// callers, and an estimate of how long others' requests run must not get them refused.
    pub time: Duration,
    /// The time in seconds plus the cost of evictions and of other arrivals at the engine.
    pub cost: f64,
    /// Whether the load can start now; otherwise the engine is worth waiting for.
    pub can_start: bool,
}

impl<'a> LoadOption<'a> {
    /// Returns an option that cannot start now; `extra_cost` is added to its time, in seconds.
    fn deferred(engine: &'a Engine, source: Source, time: Duration, extra_cost: f64) -> Self {
        let cost = time.as_secs_f64() + extra_cost;
        Self { engine, victims: Vec::new(), source, time, cost, can_start: false }
    }
}

/// Statistics of a model that has queued requests.
#[derive(Clone, Copy, Debug)]
pub struct WaitStats {
    /// Arrivals per second.
    pub rate: f64,
    /// How long its first request has been queued.
    pub waited: Duration,
}

fn is_usable(input: &PlanInput<'_>, engine: &Engine) -> bool {
    !engine.server.leaving && !input.excluded.contains(&engine.server.id)
}

/// Computes load options at all engines while a plan is made.
#[derive(Debug)]
pub struct LoadOptions<'a> {
    /// The plan's input.
    pub input: &'a PlanInput<'a>,
    /// Index of the input.
    pub index: PlanIndex<'a>,
    /// Models with queued requests: their last replica is not evicted.
    pub waiting_models: HashSet<(SmolStr, ModelName)>,
    /// Engines that already have an action in this plan.
    pub assigned: HashSet<ServerId>,
    /// How long engines will be busy with models assigned to them in this plan, including models that only wait for
    /// them.
    pub reserved: HashMap<ServerId, Duration>,
    /// Fetches in progress, including those of this plan.
    pub fetching: usize,
    /// Fetches that may still start.
    pub fetches_left: usize,
}

impl<'a> LoadOptions<'a> {
    /// Returns the engine settings of a service.
    pub fn spec(&self, service: &str) -> Option<&'a EngineSpec> {
        self.input.config.services.get(service)?.engine.as_ref()
    }

    /// Returns the engines of a service that may get actions.
    pub fn engines<'b>(
        &'b self,
        service: &'b str,
    ) -> impl Iterator<Item = &'a Engine> + use<'a, 'b> {
        let input = self.input;
        let engines = input.engine_table.engines.values();
        engines.filter(move |e| e.server.service == service && is_usable(input, e))
    }

    /// Returns whether an engine may get actions.
    pub fn is_usable(&self, engine: &Engine) -> bool {
        is_usable(self.input, engine)
    }

    /// Returns a model's arrivals per second, with a small default for models that were never requested.
    pub fn rate(&self, service: &str, model: &str) -> f64 {
        self.index.rate(service, model).max(DEFAULT_RATE)
    }

    /// Reserves an engine for a model for `time`; other models assigned to the engine come after it.
    pub fn reserve(&mut self, engine: &Engine, time: Duration) {
        let reserved = self.reserved.entry(engine.server.id.clone()).or_default();
        *reserved = time.max(*reserved);
    }

    fn is_used(&self, engine: &Engine, model: &ModelName) -> bool {
        self.index.running_at(&engine.server.id, model) > 0
    }

    /// Returns the expected loss of evicting a model from one engine, in requests per second that find no replica.
    fn eviction_loss(&self, engine: &Engine, model: &ModelName) -> f64 {
        let service = &engine.server.service;
        let rate = self.rate(service, model);
        let replicas = self.index.replicas(service, model);
        let needed = self.needed_replicas(service, model).max(1);
        let weight = self.index.preference(&engine.server.id);
        let rest = self.index.capacity(service, model) - weight;
        if replicas > needed.min(MIN_BUSY_REPLICAS) && rest >= needed as f64 {
            return rate * SURPLUS_LOSS_PART;
        }
        if replicas > 1 { rate * NEEDED_LOSS_PART * weight.min(1.0) } else { rate }
    }

    /// Returns how long requests running on an evicted model delay its unloading. Run times vary so much that the
    /// remaining time of a request is on average about that of a whole one.
    fn eviction_delay(&self, engine: &Engine, model: &ModelName) -> Duration {
        let is_used = self.is_used(engine, model);
        if is_used { self.input.run_times.mean(&engine.server.service) } else { Duration::ZERO }
    }

    /// Returns the cost of a load that starts later, apart from its time. Something will be evicted then as well,
    /// though it is not known yet what. With no cost assumed, models waited for a busy host while another one with a
    /// copy could have started.
    fn deferred_cost(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        need: Mebibytes,
        stats: Option<WaitStats>,
    ) -> f64 {
        let current = self.victims(engine, spec, need, stats).map(|(_, loss)| loss);
        let losses = engine.models.iter().map(|m| self.eviction_loss(engine, &m.name));
        let min_loss = || losses.min_by(f64::total_cmp);
        current.or_else(min_loss).unwrap_or(0.0) * LOSS_SECONDS + self.contention_cost(engine)
    }

    /// Returns the cost of other arrivals at an engine for a model's callers there, and of their own longer runs at a slow
    /// one, in seconds of waiting.
    fn contention_cost(&self, engine: &Engine) -> f64 {
        let slowdown = self.index.slowdown(&engine.server.id);
        let run = self.input.run_times.mean(&engine.server.service).as_secs_f64();
        self.index.arrivals(&engine.server.id) * CONTENTION_SECONDS * slowdown
            + run * (slowdown - 1.0)
    }

    /// Returns how many replicas a model needs, by its arrivals and by its requests in progress, which accumulate if
    /// they take longer than expected.
    pub fn needed_replicas(&self, service: &str, model: &ModelName) -> usize {
        if self.rate(service, model) < BUSY_RATE {
            return 1;
        }
        let slots = self.spec(service).map_or(1, |s| s.slots.max(1));
        let running = f64::from(self.index.running(service, model));
        let by_running = running / (f64::from(slots) * FILLED_SLOTS_PART);
        let by_rate = self.index.peak(service, model) / RATE_PER_REPLICA;
        (by_rate.max(by_running).ceil() as usize).max(MIN_BUSY_REPLICAS)
    }

    /// Returns whether a busy model has the replicas that it needs. A slow engine counts as less than one, and a fast one
    /// as more.
    pub fn has_enough_replicas(&self, service: &str, model: &ModelName) -> bool {
        let engines = self.engines(service).count();
        let needed = self.needed_replicas(service, model).min(engines);
        let replicas = self.index.replicas(service, model);
        replicas >= needed.min(MIN_BUSY_REPLICAS)
            && (self.index.capacity(service, model) >= needed as f64 || replicas >= engines)
    }

    /// Returns whether a replica at an engine would serve a model's callers better: it has fewer replicas than it needs, or
    /// those are slower on average.
    pub fn is_worth_adding(&self, engine: &Engine, model: &ModelName) -> bool {
        let service = &engine.server.service;
        let replicas = self.index.replicas(service, model);
        let mean = self.index.capacity(service, model) / replicas.max(1) as f64;
        replicas < self.needed_replicas(service, model)
            || self.index.preference(&engine.server.id) > mean
    }

    /// Returns a model's arrivals per second beyond the capacity of its replicas, including those being loaded; at
    /// most the capacity of one more replica.
    pub fn excess(&self, service: &str, model: &ModelName) -> f64 {
        let slots = self.spec(service).map_or(1, |s| s.slots.max(1));
        let per_replica = f64::from(slots) / self.input.run_times.mean(service).as_secs_f64();
        let replicas = self.index.replicas(service, model) as f64;
        (self.rate(service, model) - replicas * per_replica * USABLE_CAPACITY_PART)
            .clamp(0.0, per_replica)
    }

    /// Returns whether a busy model must not be evicted.
    ///
    /// A model that has queued requests and no replica may replace one of another's several replicas, and its last one
    /// if that model is requested less often or after a long wait. Otherwise models that were loaded first would stay
    /// loaded, and the others would never be served.
    fn must_keep(&self, engine: &Engine, model: &ModelName, stats: Option<WaitStats>) -> bool {
        let service = &engine.server.service;
        let rate = self.rate(service, model);
        let replicas = self.index.replicas(service, model);
        if rate < BUSY_RATE {
            return false;
        }
        match stats {
            None => replicas <= self.needed_replicas(service, model).min(MIN_BUSY_REPLICAS),
            Some(stats) => {
                let can_yield = rate < stats.rate || stats.waited > LONG_WAIT;
                replicas <= 1 && !can_yield
            }
        }
    }

    fn can_evict(&self, engine: &Engine, model: &ModelName, stats: Option<WaitStats>) -> bool {
        let key = (engine.server.service.clone(), model.clone());
        let is_settling =
            engine.last_used.get(model).is_some_and(|t| self.input.now < *t + SETTLE_TIME);
        let is_last = self.index.replicas(&key.0, model) <= 1;
        let has_waiting = is_last && self.waiting_models.contains(&key);
        let is_victim = engine.load_job.as_ref().is_some_and(|job| job.victims.contains(model));
        !is_victim && !is_settling && !has_waiting && !self.must_keep(engine, model, stats)
    }

    /// Returns whether models that can be evicted soon, even if not now, free enough memory for `need`.
    fn has_room_soon(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        need: Mebibytes,
        stats: Option<WaitStats>,
    ) -> bool {
        let evictable = engine.models.iter().filter(|m| !self.must_keep(engine, &m.name, stats));
        let room: Mebibytes = evictable.map(|m| engine.model_memory(spec, m)).sum();
        spec.memory.saturating_sub(engine.memory_used(spec)) + room >= need
    }

    /// Returns the models to evict to free memory for `need`, least loss first, and the total loss; `None` if there is
    /// not enough.
    fn victims(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        need: Mebibytes,
        stats: Option<WaitStats>,
    ) -> Option<(Vec<ModelName>, f64)> {
        let mut free = spec.memory.saturating_sub(engine.memory_used(spec));
        if free >= need {
            return Some((Vec::new(), 0.0));
        }
        let mut options: Vec<(f64, Moment, Mebibytes, &ModelName)> = engine
            .models
            .iter()
            .filter(|m| self.can_evict(engine, &m.name, stats))
            .map(|m| {
                // A model in use is evicted last: the load would wait for its requests.
                let delay = self.eviction_delay(engine, &m.name).as_secs_f64() / LOSS_SECONDS;
                let used = engine.last_used.get(&m.name).copied().unwrap_or_default();
                (
                    self.eviction_loss(engine, &m.name) + delay,
                    used,
                    engine.model_memory(spec, m),
                    &m.name,
                )
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
        // An early choice may be unnecessary beside a larger later one.
        for i in (0..chosen.len()).rev() {
            if chosen.len() > 1 && free - chosen[i].2 >= need {
                free -= chosen[i].2;
                chosen.remove(i);
            }
        }
        let names: Vec<ModelName> = chosen.into_iter().map(|(.., name)| name.clone()).collect();
        let loss = names.iter().map(|name| self.eviction_loss(engine, name)).sum();
        Some((names, loss))
    }

    fn load_time(&self, spec: &ModelSpec, source: Source) -> Duration {
        match source {
            Source::Memory => spec.memory_load,
            Source::Disk => spec.disk_load,
            Source::Store => self.input.share.time(spec.store_load, self.fetching + 1),
        }
    }

    /// Returns the option to load a model at an engine; `None` if that is not possible.
    pub fn load_option(
        &self,
        engine: &'a Engine,
        spec: &EngineSpec,
        model: &str,
        stats: Option<WaitStats>,
    ) -> Option<LoadOption<'a>> {
        let model_spec = spec.models.get(model)?;
        if engine.holds(model) || model_spec.size > spec.memory {
            return None;
        }
        let now = self.input.now;
        let source = engine.source(model);
        let mut time = self.load_time(model_spec, source) + ORDER_TIME;
        time += engine.backoff_until.saturating_sub(now);
        let reserved = self.reserved.get(&engine.server.id).copied();
        if let Some(job) = &engine.load_job {
            if job.model == model {
                return None;
            }
            // Whatever is evicted then, the load in progress ends first.
            let busy = job.eta.saturating_sub(now).max(reserved.unwrap_or_default());
            let extra_cost = self.deferred_cost(engine, spec, model_spec.size, stats);
            return Some(LoadOption::deferred(
                engine,
                source,
                time + busy + ORDER_TIME,
                extra_cost,
            ));
        }
        if let Some(reserved) = reserved {
            let extra_cost = self.deferred_cost(engine, spec, model_spec.size, stats);
            return Some(LoadOption::deferred(engine, source, time + reserved, extra_cost));
        }
        let Some((victims, loss)) = self.victims(engine, spec, model_spec.size, stats) else {
            if !self.has_room_soon(engine, spec, model_spec.size, stats) {
                return None;
            }
            // A copy on this host's disk is worth a short wait: a fetch at another engine takes longer.
            time += SETTLE_TIME + ORDER_TIME;
            let extra_cost = self.deferred_cost(engine, spec, model_spec.size, stats);
            return Some(LoadOption::deferred(engine, source, time, extra_cost));
        };
        if !victims.is_empty() {
            time += ORDER_TIME;
        }
        let delay =
            victims.iter().map(|v| self.eviction_delay(engine, v)).max().unwrap_or_default();
        let cost =
            (time + delay).as_secs_f64() + loss * LOSS_SECONDS + self.contention_cost(engine);
        let can_start = engine.confirmed
            && engine.adapter_jobs.is_empty()
            && now >= engine.backoff_until
            && !self.assigned.contains(&engine.server.id)
            && (source != Source::Store || self.fetches_left > 0);
        Some(LoadOption { engine, victims, source, time, cost, can_start })
    }
}
