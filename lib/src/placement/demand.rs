//! Aggregates the demand that all daemons report to the holder of the placement lease.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::digest::DemandReport;
use crate::cluster::digest::QueuedDemand;
use crate::cluster::digest::VersionDemand;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::DaemonId;
use crate::ids::ModelName;
use crate::ids::SoftwareVersion;

/// Time constant of arrival rates, in seconds; short, since demand moves to other models within
/// seconds.
const RATE_WINDOW_S: f64 = 6.0;
/// Time constant of peak rates, in seconds. A peak must show while its first callers are being served.
/// Over two seconds, the arrivals of a model that needs a second replica (four a second) vary by a
/// third.
const PEAK_WINDOW_S: f64 = 2.0;
/// How long a daemon's report of queued requests is valid; it is sent five times within this time.
const REPORT_TTL: Duration = Duration::from_millis(1200);

/// A model of a service, or one of its adapters.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ModelTarget {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The adapter; `None` if the target is the model itself.
    pub adapter: Option<SmolStr>,
    /// The software version of the servers that can serve it, if it is a stream to be continued; `None` if all can.
    pub version: Option<SoftwareVersion>,
}

impl ModelTarget {
    /// Returns whether servers of this software version can serve it.
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        self.version.as_ref().is_none_or(|wanted| wanted == version)
    }
}

/// Requests queued for a target, over all daemons.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Number of queued requests.
    pub waiting: u32,
    /// When the first of them was reported.
    pub since: Moment,
    /// When the last of them times out.
    pub deadline: Moment,
    /// When the last of them becomes late.
    pub due: Moment,
    /// Engines that no daemon with a queued request can use.
    pub avoid: Vec<ServerInstance>,
}

/// When this many targets are tracked, those that are no longer queued are removed.
const MAX_TARGETS: usize = 4096;

/// Arrivals per second, decaying exponentially with a long and a short time constant.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    peak: f64,
    at: Moment,
}

impl Rate {
    fn add(&mut self, now: Moment, count: f64) {
        self.value = self.get(now) + count / RATE_WINDOW_S;
        self.peak = self.get_peak(now) + count / PEAK_WINDOW_S;
        self.at = now;
    }

    fn get(self, now: Moment) -> f64 {
        self.value * self.decay(now, RATE_WINDOW_S)
    }

    fn get_peak(self, now: Moment) -> f64 {
        self.peak * self.decay(now, PEAK_WINDOW_S)
    }

    fn decay(self, now: Moment, window_s: f64) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        (-age / window_s).exp()
    }
}

/// Requests queued at one daemon, by its last report.
#[derive(Debug)]
struct ReportedBacklogs {
    at: Moment,
    backlogs: BTreeMap<ModelTarget, Backlog>,
}

/// Demand over all daemons.
#[derive(Debug, Default)]
pub struct Demand {
    counts: HashMap<(DaemonId, ModelTarget), u32>,
    rates: BTreeMap<ModelTarget, Rate>,
    reported: HashMap<DaemonId, ReportedBacklogs>,
    /// The same of streams that only servers of one software version can continue.
    versions: HashMap<DaemonId, ReportedBacklogs>,
    /// When each target was first and last reported as queued. Expired entries are removed only when
    /// the map is full, as hundreds of reports arrive per second.
    queued_times: HashMap<ModelTarget, (Moment, Moment)>,
}

impl Demand {
    /// Applies a daemon's report.
    pub fn update(&mut self, from: &DaemonId, report: DemandReport, now: Moment) {
        for count in report.arrivals {
            let target = ModelTarget {
                service: count.service,
                model: count.model,
                adapter: count.adapter,
                version: None,
            };
            let old = self.counts.insert((from.clone(), target.clone()), count.count);
            // A restarted daemon counts from zero. The first report of an unknown daemon may include
            // arrivals long past, so at most one of them is counted.
            let added = match old {
                Some(old) if count.count >= old => count.count - old,
                Some(_) => count.count,
                None => count.count.min(1),
            };
            if added > 0 {
                self.rates.entry(target).or_default().add(now, added.into());
            }
        }
        let queued = report.queued.into_iter().map(|queued| (None, queued));
        let backlogs = self.collect_backlogs(queued, now);
        self.reported.insert(from.clone(), ReportedBacklogs { at: now, backlogs });
    }

    /// Applies a daemon's report of streams that only servers of one software version can continue.
    pub fn update_versions(&mut self, from: &DaemonId, list: Vec<VersionDemand>, now: Moment) {
        let queued = list.into_iter().map(|demand| (Some(demand.version), demand.queued));
        let backlogs = self.collect_backlogs(queued, now);
        self.versions.insert(from.clone(), ReportedBacklogs { at: now, backlogs });
    }

    fn collect_backlogs(
        &mut self,
        list: impl Iterator<Item = (Option<SoftwareVersion>, QueuedDemand)>,
        now: Moment,
    ) -> BTreeMap<ModelTarget, Backlog> {
        let mut backlogs = BTreeMap::new();
        for (version, queued) in list {
            let target = ModelTarget {
                service: queued.service,
                model: queued.model,
                adapter: queued.adapter,
                version,
            };
            let since = self.queued_since(&target, now);
            let deadline = now + Duration::from_millis(queued.remaining_ms.into());
            let due = now + Duration::from_millis(queued.due_ms.into());
            let (waiting, avoid) = (queued.waiting, queued.avoid);
            backlogs.insert(target, Backlog { waiting, since, deadline, due, avoid });
        }
        backlogs
    }

    /// Returns since when a target has been queued without interruption.
    fn queued_since(&mut self, target: &ModelTarget, now: Moment) -> Moment {
        if let Some((first, last)) = self.queued_times.get_mut(target) {
            if now > *last + REPORT_TTL {
                *first = now;
            }
            *last = now;
            return *first;
        }
        if self.queued_times.len() >= MAX_TARGETS {
            self.queued_times.retain(|_, (_, last)| now <= *last + REPORT_TTL);
        }
        self.queued_times.insert(target.clone(), (now, now));
        now
    }

    /// Returns the requests queued now, by target.
    pub fn backlogs(&self, now: Moment) -> BTreeMap<ModelTarget, Backlog> {
        let mut all: BTreeMap<ModelTarget, Backlog> = BTreeMap::new();
        let reports = self.reported.values().chain(self.versions.values());
        for reported in reports.filter(|r| now <= r.at + REPORT_TTL) {
            for (target, backlog) in reported.backlogs.iter().filter(|(_, b)| now < b.deadline) {
                let sum = all.entry(target.clone()).or_insert_with(|| Backlog {
                    since: backlog.since,
                    avoid: backlog.avoid.clone(),
                    ..Backlog::default()
                });
                sum.waiting += backlog.waiting;
                sum.since = sum.since.min(backlog.since);
                sum.deadline = sum.deadline.max(backlog.deadline);
                sum.due = sum.due.max(backlog.due);
                // An engine that one daemon cannot use may still serve the others.
                sum.avoid.retain(|id| backlog.avoid.contains(id));
            }
        }
        all
    }

    /// Returns each target's arrivals per second.
    pub fn rates(&self, now: Moment) -> impl Iterator<Item = (&ModelTarget, f64)> {
        self.rates.iter().map(move |(target, rate)| (target, rate.get(now)))
    }

    /// Returns each target's arrivals per second over about the last two seconds.
    pub fn peaks(&self, now: Moment) -> impl Iterator<Item = (&ModelTarget, f64)> {
        self.rates.iter().map(move |(target, rate)| (target, rate.get_peak(now)))
    }

    /// Returns the daemons with requests queued for any of the models or their adapters.
    pub fn waiting_daemons(&self, service: &str, models: &[&str]) -> Vec<&DaemonId> {
        let matches = |t: &ModelTarget| t.service == service && models.contains(&t.model.as_str());
        let is_waiting = |reported: &ReportedBacklogs| reported.backlogs.keys().any(matches);
        self.reported
            .iter()
            .chain(&self.versions)
            .filter(|(_, reported)| is_waiting(reported))
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns a target's arrivals per second.
    pub fn target_rate(&self, target: &ModelTarget, now: Moment) -> f64 {
        self.rates.get(target).map_or(0.0, |r| r.get(now))
    }

    /// Returns whether no arrival was ever reported.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }
}
