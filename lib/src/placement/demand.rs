//! What callers of all daemons ask for, as the holder of the placement lease hears it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::digest::DemandReport;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::DaemonId;
use crate::ids::ModelName;

/// Arrivals count for this long in a rate: demand moves to other models within seconds.
const MEMORY: f64 = 6.0;
/// The same for a peak, which must show while its first callers are being served. Over two seconds the
/// arrivals of a model that needs a second replica (four a second) scatter by a third.
const PEAK_MEMORY: f64 = 2.0;
/// A daemon's wants count for this long after it told them; it repeats them five times meanwhile.
const WANT_FRESH: Duration = Duration::from_millis(1200);

/// A model, or an adapter of it, of a service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ModelTarget {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The adapter, where it is about one.
    pub adapter: Option<SmolStr>,
}

/// Requests that wait for an item, over all daemons.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Waiting requests.
    pub waiting: u32,
    /// When the first of them was heard of.
    pub since: Moment,
    /// When the last of them gives up.
    pub deadline: Moment,
    /// When the last of them becomes late.
    pub due: Moment,
    /// Engines that some daemon with a waiting request cannot use.
    pub avoid: Vec<ServerInstance>,
}

/// Items whose times are kept before old ones are cleared.
const MOST_WANTED: usize = 4096;

/// Arrivals a second, fading over two times.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    peak: f64,
    at: Moment,
}

impl Rate {
    fn add(&mut self, now: Moment, count: f64) {
        self.value = self.get(now) + count / MEMORY;
        self.peak = self.get_peak(now) + count / PEAK_MEMORY;
        self.at = now;
    }

    fn get(self, now: Moment) -> f64 {
        self.value * self.faded(now, MEMORY)
    }

    fn get_peak(self, now: Moment) -> f64 {
        self.peak * self.faded(now, PEAK_MEMORY)
    }

    fn faded(self, now: Moment, memory: f64) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        (-age / memory).exp()
    }
}

#[derive(Debug)]
struct Told {
    at: Moment,
    waits: BTreeMap<ModelTarget, Backlog>,
}

/// Demand over all daemons.
#[derive(Debug, Default)]
pub struct Demand {
    counts: HashMap<(DaemonId, ModelTarget), u32>,
    rates: BTreeMap<ModelTarget, Rate>,
    told: HashMap<DaemonId, Told>,
    /// When each item was first and last wanted; looked through only now and then, as hundreds of
    /// notes come in a second.
    wanted: HashMap<ModelTarget, (Moment, Moment)>,
}

impl Demand {
    /// Takes in what a daemon says.
    pub fn update(&mut self, from: &DaemonId, note: DemandReport, now: Moment) {
        for count in note.arrivals {
            let item =
                ModelTarget { service: count.service, model: count.model, adapter: count.adapter };
            let old = self.counts.insert((from.clone(), item.clone()), count.count);
            // A daemon that started anew counts from zero; one not heard of before may tell of
            // arrivals that are long past.
            let more = match old {
                Some(old) if count.count >= old => count.count - old,
                Some(_) => count.count,
                None => count.count.min(1),
            };
            if more > 0 {
                self.rates.entry(item).or_default().add(now, more.into());
            }
        }
        let mut waits = BTreeMap::new();
        for want in note.queued {
            let item =
                ModelTarget { service: want.service, model: want.model, adapter: want.adapter };
            let since = self.since(&item, now);
            let deadline = now + Duration::from_millis(want.remaining_ms.into());
            let due = now + Duration::from_millis(want.due_ms.into());
            let (waiting, avoid) = (want.waiting, want.avoid);
            waits.insert(item, Backlog { waiting, since, deadline, due, avoid });
        }
        self.told.insert(from.clone(), Told { at: now, waits });
    }

    /// Returns since when an item has been wanted without a pause.
    fn since(&mut self, item: &ModelTarget, now: Moment) -> Moment {
        if let Some((first, last)) = self.wanted.get_mut(item) {
            if now > *last + WANT_FRESH {
                *first = now;
            }
            *last = now;
            return *first;
        }
        if self.wanted.len() >= MOST_WANTED {
            self.wanted.retain(|_, (_, last)| now <= *last + WANT_FRESH);
        }
        self.wanted.insert(item.clone(), (now, now));
        now
    }

    /// Returns what is waited for now.
    pub fn backlogs(&self, now: Moment) -> BTreeMap<ModelTarget, Backlog> {
        let mut all: BTreeMap<ModelTarget, Backlog> = BTreeMap::new();
        for told in self.told.values().filter(|t| now <= t.at + WANT_FRESH) {
            for (item, wait) in told.waits.iter().filter(|(_, w)| now < w.deadline) {
                let sum = all.entry(item.clone()).or_insert_with(|| Backlog {
                    since: wait.since,
                    avoid: wait.avoid.clone(),
                    ..Backlog::default()
                });
                sum.waiting += wait.waiting;
                sum.since = sum.since.min(wait.since);
                sum.deadline = sum.deadline.max(wait.deadline);
                sum.due = sum.due.max(wait.due);
                // An engine that one daemon cannot use may still serve the others.
                sum.avoid.retain(|id| wait.avoid.contains(id));
            }
        }
        all
    }

    /// Returns arrivals a second of each item.
    pub fn rates(&self, now: Moment) -> impl Iterator<Item = (&ModelTarget, f64)> {
        self.rates.iter().map(move |(item, rate)| (item, rate.get(now)))
    }

    /// Returns arrivals a second of each item over the last two seconds or so.
    pub fn peaks(&self, now: Moment) -> impl Iterator<Item = (&ModelTarget, f64)> {
        self.rates.iter().map(move |(item, rate)| (item, rate.get_peak(now)))
    }

    /// Returns the daemons with requests that wait for a model or an adapter of it.
    pub fn waiting_daemons(&self, service: &str, models: &[&str]) -> Vec<&DaemonId> {
        let is_it = |i: &ModelTarget| i.service == service && models.contains(&i.model.as_str());
        let waits = |told: &Told| told.waits.keys().any(is_it);
        self.told.iter().filter(|(_, told)| waits(told)).map(|(id, _)| id).collect()
    }

    /// Returns arrivals a second of an item.
    pub fn item_rate(&self, item: &ModelTarget, now: Moment) -> f64 {
        self.rates.get(item).map_or(0.0, |r| r.get(now))
    }

    /// Returns whether anything was ever asked for.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }
}
