//! What it takes to load a model at an engine: what makes way, how long it lasts, what is lost.

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

/// Arrivals a second of a model from which it counts as busy: it is then asked for about as often
/// as a load takes, so it must stay loaded.
pub const BUSY_RATE: f64 = 0.5;
/// Arrivals a second that one replica of a busy model serves before another is added: reading their prompts takes a
/// third of its time.
const RATE_PER_REPLICA: f64 = 4.0;
/// Part of an engine's slots that a model's requests may fill before another replica is added: a full
/// batch makes new requests wait for a slot, and the load of a replica takes as long as some requests.
const FILLED: f64 = 0.5;
/// Part of what a replica can run that it can be counted on for: it has other models' requests too, and a full one
/// makes callers wait.
const CARRIED: f64 = 0.8;
/// Arrivals a second assumed of a model that was never asked for: once a minute.
const UNKNOWN_RATE: f64 = 0.015;
/// Worth of a second of waiting, compared with an eviction's expected loss in requests a second.
const LOSS_SECONDS: f64 = 8.0;
/// Worth of a second of waiting, compared with one arrival a second at the engine. Each prompt stops the streams there
/// for a while, and pauses make them late.
const CROWD_SECONDS: f64 = 0.3;
/// Part of its rate that a model loses with one of several replicas.
const SPARE_PART: f64 = 0.1;
/// Part of its rate that a model loses with one of the replicas that its demand asks for.
const NEEDED_PART: f64 = 0.5;
/// Time of an order and its confirmation.
const ORDER_TIME: Duration = Duration::from_millis(150);
/// A model that was loaded or used this recently stays: its waiting requests are on their way.
const SETTLE: Duration = Duration::from_millis(1500);
/// After this wait a model may take the place of a busier one's last replica, whose callers then
/// wait in turn.
const LONG_WAIT: Duration = Duration::from_secs(1);
/// Replicas of a busy model at least, so that one lost engine or data centre leaves one.
const LEAST_BUSY: usize = 2;

/// What it takes to load a model at an engine.
#[derive(Clone, Debug)]
pub struct LoadOption<'a> {
    /// The engine.
    pub engine: &'a Engine,
    /// Models that make way.
    pub victims: Vec<ModelName>,
    /// Where the weights come from.
    pub source: Source,
    /// How long it takes, but for the requests that still run on victims: callers are told of this time, and
    /// must not be refused by a guess of how long others' requests will run.
    pub time: Duration,
    /// The time in seconds, and what the victims' loss is worth.
    pub cost: f64,
    /// Whether it can begin now; else it is worth a wait.
    pub can_start: bool,
}

impl<'a> LoadOption<'a> {
    /// An offer that cannot begin now; `price` is what it costs beside the time.
    fn later(engine: &'a Engine, source: Source, time: Duration, price: f64) -> Self {
        let cost = time.as_secs_f64() + price;
        Self { engine, victims: Vec::new(), source, time, cost, can_start: false }
    }
}

/// A model that requests wait for.
#[derive(Clone, Copy, Debug)]
pub struct WaitStats {
    /// Its arrivals a second.
    pub rate: f64,
    /// How long its first request has waited.
    pub waited: Duration,
}

fn is_usable(input: &PlanInput<'_>, engine: &Engine) -> bool {
    !engine.server.leaving && !input.unreachable.contains(&engine.server.id)
}

/// The offers of all engines, while a plan is made.
#[derive(Debug)]
pub struct LoadOptions<'a> {
    /// What the plan looks at.
    pub input: &'a PlanInput<'a>,
    /// Counts of it.
    pub index: PlanIndex<'a>,
    /// Models with waiting requests: their last replica stays where it is.
    pub waiting_models: HashSet<(SmolStr, ModelName)>,
    /// Engines that got a step in this plan.
    pub assigned: HashSet<ServerId>,
    /// How long engines will be at work for models that chose them in this plan, those that only wait for them
    /// included.
    pub reserved: HashMap<ServerId, Duration>,
    /// Loads from the weight store, those of this plan included.
    pub fetching: usize,
    /// Loads from the weight store that may still begin.
    pub fetches_left: usize,
}

impl<'a> LoadOptions<'a> {
    /// Returns what the engines of a service have in common.
    pub fn spec(&self, service: &str) -> Option<&'a EngineSpec> {
        self.input.config.services.get(service)?.engine.as_ref()
    }

    /// Returns the engines of a service that may get steps.
    pub fn engines<'b>(
        &'b self,
        service: &'b str,
    ) -> impl Iterator<Item = &'a Engine> + use<'a, 'b> {
        let input = self.input;
        let engines = input.engine_table.engines.values();
        engines.filter(move |e| e.server.service == service && is_usable(input, e))
    }

    /// Returns whether an engine may get steps.
    pub fn is_usable(&self, engine: &Engine) -> bool {
        is_usable(self.input, engine)
    }

    /// Returns arrivals a second of a model, with a small figure for one never asked for.
    pub fn rate(&self, service: &str, model: &str) -> f64 {
        self.index.rate(service, model).max(UNKNOWN_RATE)
    }

    /// Notes that a model will be at an engine after `time`: what else goes there comes after it.
    pub fn reserve(&mut self, engine: &Engine, time: Duration) {
        let reserved = self.reserved.entry(engine.server.id.clone()).or_default();
        *reserved = time.max(*reserved);
    }

    fn is_used(&self, engine: &Engine, model: &ModelName) -> bool {
        self.index.running_at(&engine.server.id, model) > 0
    }

    /// Expected loss of evicting a model from one engine, in requests a second that meet no replica.
    fn loss(&self, engine: &Engine, model: &ModelName) -> f64 {
        let service = &engine.server.service;
        let rate = self.rate(service, model);
        let replicas = self.index.replicas(service, model);
        if replicas > self.needed_replicas(service, model).max(1) {
            return rate * SPARE_PART;
        }
        if replicas > 1 { rate * NEEDED_PART } else { rate }
    }

    /// How long requests that run on a victim delay its unloading: runs differ so much in length that what is left of
    /// one is about as long as a whole one on the mean.
    fn delay(&self, engine: &Engine, model: &ModelName) -> Duration {
        let is_used = self.is_used(engine, model);
        if is_used { self.input.run_times.mean(&engine.server.service) } else { Duration::ZERO }
    }

    /// What a load that begins later at an engine costs beside its time: something makes way there as well, though it
    /// is not known yet what. Taken for nothing, it let models wait for a host at work while another one with a copy
    /// could begin.
    fn later_price(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        need: Mebibytes,
        wanted: Option<WaitStats>,
    ) -> f64 {
        let now = self.victims(engine, spec, need, wanted).map(|(_, loss)| loss);
        let losses = engine.models.iter().map(|m| self.loss(engine, &m.name));
        let least = || losses.min_by(f64::total_cmp);
        now.or_else(least).unwrap_or(0.0) * LOSS_SECONDS + self.crowd(engine)
    }

    /// What other arrivals at an engine cost a model's callers there, in seconds of waiting.
    fn crowd(&self, engine: &Engine) -> f64 {
        self.index.arrivals(&engine.server.id) * CROWD_SECONDS
    }

    /// Replicas that a model's demand asks for: by its arrivals, and by its requests in progress, which
    /// pile up where these take longer than expected.
    pub fn needed_replicas(&self, service: &str, model: &ModelName) -> usize {
        if self.rate(service, model) < BUSY_RATE {
            return 1;
        }
        let slots = self.spec(service).map_or(1, |s| s.slots.max(1));
        let running = f64::from(self.index.running(service, model));
        let by_work = running / (f64::from(slots) * FILLED);
        let by_rate = self.index.peak(service, model) / RATE_PER_REPLICA;
        (by_rate.max(by_work).ceil() as usize).max(LEAST_BUSY)
    }

    /// Arrivals a second of a model beyond what its replicas can run, those on their way included; up to what one
    /// more replica could.
    pub fn excess(&self, service: &str, model: &ModelName) -> f64 {
        let slots = self.spec(service).map_or(1, |s| s.slots.max(1));
        let each = f64::from(slots) / self.input.run_times.mean(service).as_secs_f64();
        let replicas = self.index.replicas(service, model) as f64;
        (self.rate(service, model) - replicas * each * CARRIED).clamp(0.0, each)
    }

    /// Whether a busy model must stay where it is.
    ///
    /// A model that is wanted now and has no replica may take the place of another's second one,
    /// and of a last one that is asked for less, or after a long wait. Otherwise models that were
    /// loaded first would keep all places, and the others would never be served.
    fn must_stay(&self, engine: &Engine, model: &ModelName, wanted: Option<WaitStats>) -> bool {
        let service = &engine.server.service;
        let rate = self.rate(service, model);
        let replicas = self.index.replicas(service, model);
        if rate < BUSY_RATE {
            return false;
        }
        match wanted {
            None => replicas <= self.needed_replicas(service, model).min(LEAST_BUSY),
            Some(wanted) => {
                let yields = rate < wanted.rate || wanted.waited > LONG_WAIT;
                replicas <= 1 && !yields
            }
        }
    }

    fn may_leave(&self, engine: &Engine, model: &ModelName, wanted: Option<WaitStats>) -> bool {
        let key = (engine.server.service.clone(), model.clone());
        let settles = engine.used.get(model).is_some_and(|t| self.input.now < *t + SETTLE);
        let is_last = self.index.replicas(&key.0, model) <= 1;
        let is_waited = is_last && self.waiting_models.contains(&key);
        let leaves = engine.job.as_ref().is_some_and(|job| job.victims.contains(model));
        !leaves && !settles && !is_waited && !self.must_stay(engine, model, wanted)
    }

    /// Whether models that may leave soon, though not now, make room for `need`.
    fn has_room_soon(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        need: Mebibytes,
        wanted: Option<WaitStats>,
    ) -> bool {
        let soon = engine.models.iter().filter(|m| !self.must_stay(engine, &m.name, wanted));
        let room: Mebibytes = soon.map(|m| engine.model_memory(spec, m)).sum();
        spec.memory.saturating_sub(engine.memory_used(spec)) + room >= need
    }

    /// Victims that free room for `need`, the least loss first; none where it cannot be had.
    fn victims(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        need: Mebibytes,
        wanted: Option<WaitStats>,
    ) -> Option<(Vec<ModelName>, f64)> {
        let mut free = spec.memory.saturating_sub(engine.memory_used(spec));
        if free >= need {
            return Some((Vec::new(), 0.0));
        }
        let mut options: Vec<(f64, Moment, Mebibytes, &ModelName)> = engine
            .models
            .iter()
            .filter(|m| self.may_leave(engine, &m.name, wanted))
            .map(|m| {
                // A victim in use is the last choice: the load would wait for its requests.
                let delay = self.delay(engine, &m.name).as_secs_f64() / LOSS_SECONDS;
                let used = engine.used.get(&m.name).copied().unwrap_or_default();
                (self.loss(engine, &m.name) + delay, used, engine.model_memory(spec, m), &m.name)
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
        let names: Vec<ModelName> = chosen.into_iter().map(|(.., name)| name.clone()).collect();
        let loss = names.iter().map(|name| self.loss(engine, name)).sum();
        Some((names, loss))
    }

    fn load_time(&self, spec: &ModelSpec, source: Source) -> Duration {
        match source {
            Source::Memory => spec.memory_load,
            Source::Disk => spec.disk_load,
            Source::Store => self.input.share.time(spec.store_load, self.fetching + 1),
        }
    }

    /// Returns what it takes to load a model at an engine; none where it cannot be done.
    pub fn load_option(
        &self,
        engine: &'a Engine,
        spec: &EngineSpec,
        model: &str,
        wanted: Option<WaitStats>,
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
        if let Some(job) = &engine.job {
            if job.model == model {
                return None;
            }
            // Whatever makes way then, the job's own end comes first.
            let busy = job.eta.saturating_sub(now).max(reserved.unwrap_or_default());
            let price = self.later_price(engine, spec, model_spec.size, wanted);
            return Some(LoadOption::later(engine, source, time + busy + ORDER_TIME, price));
        }
        if let Some(reserved) = reserved {
            let price = self.later_price(engine, spec, model_spec.size, wanted);
            return Some(LoadOption::later(engine, source, time + reserved, price));
        }
        let Some((victims, loss)) = self.victims(engine, spec, model_spec.size, wanted) else {
            if !self.has_room_soon(engine, spec, model_spec.size, wanted) {
                return None;
            }
            // A copy on this host's disk is worth a short wait: a load from the weight store at
            // another engine takes longer.
            time += SETTLE + ORDER_TIME;
            let price = self.later_price(engine, spec, model_spec.size, wanted);
            return Some(LoadOption::later(engine, source, time, price));
        };
        if !victims.is_empty() {
            time += ORDER_TIME;
        }
        let delay = victims.iter().map(|v| self.delay(engine, v)).max().unwrap_or_default();
        let cost = (time + delay).as_secs_f64() + loss * LOSS_SECONDS + self.crowd(engine);
        let can_start = engine.confirmed
            && engine.adapter_jobs.is_empty()
            && now >= engine.backoff_until
            && !self.assigned.contains(&engine.server.id)
            && (source != Source::Store || self.fetches_left > 0);
        Some(LoadOption { engine, victims, source, time, cost, can_start })
    }
}
