//! Servers of plain services that have had a request for longer than their service usually takes, and sent nothing since.
//!
//! A suspended server reads what its kernel has buffered once it continues, also requests that have been answered elsewhere
//! by then. Such runs are wasted, so few requests are sent to a server that does not respond. Without a health check first, each
//! stall of each server costs at least one such run.

use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::server_instance::ServerInstance;

/// Least time without a response after which a server counts as silent: longer than the pauses of a busy host.
const MIN_PATIENCE: Duration = Duration::from_millis(150);
/// Multiple of a service's mean response time that may pass: few responses take as long.
const PATIENCE_FACTOR: f64 = 6.0;
/// Part of that time after which this daemon itself prefers other servers.
const DOUBT_FRACTION: f64 = 1.0 / 3.0;
/// Assumed mean before any response.
const INITIAL_MEAN: Duration = Duration::from_millis(100);
/// Least weight of the newest response in the mean; the first ones weigh as much as those before together.
const NEWEST_WEIGHT: f64 = 0.05;
/// Time for which a peer's report counts: some reports, of which one may be lost.
const REPORT_TIME: Duration = Duration::from_millis(1200);
/// Time from the first unanswered request to the first health check.
const FIRST_CHECK: Duration = Duration::from_millis(400);
/// Longest time between two health checks of a server.
pub const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a server that cannot be checked gets a request again.
const EXPIRY: Duration = Duration::from_secs(10);
/// Time from a health check by which a server that runs has answered it.
const CHECK_MARGIN: Duration = Duration::from_millis(250);
/// Time after a stall in which requests to the service are sent only after a health check: a stall later than that costs a
/// wasted run, of which there may be few in a day.
const UNSTEADY_TIME: Duration = Duration::from_hours(6);
/// Time after the start of a process in which all services count as unsteady: records of earlier stalls end with a process.
const LEARNING_TIME: Duration = Duration::from_mins(10);
/// Number of unanswered health checks after which, and after [`EXPIRY`], requests are sent without one for `FUTILE_TIME`: the
/// health path may be wrong.
const FUTILE_CHECKS: u32 = 5;
const FUTILE_TIME: Duration = Duration::from_mins(10);
/// Time after a response in which no health check is sent before a request.
const CONFIRMED_TIME: Duration = Duration::from_millis(2);

#[derive(Clone, Debug, Default)]
struct Entry {
    service: ServiceName,
    /// When the oldest request was sent that has no response; `None` if the server has responded since.
    unanswered_since: Option<Moment>,
    /// When the server last responded to this daemon.
    answered_at: Moment,
    /// Until when it counts as silent by peers' reports.
    reported_until: Moment,
    next_check: Moment,
    check_interval: Duration,
    /// Whether `take_new` has returned it since it fell silent.
    is_known: bool,
    /// Whether a peer reported that its health checks are unanswered, too.
    stands_still: bool,
    /// Whether this process has received a response from it.
    has_responded: bool,
    /// Number of health checks before requests since it last answered one, and when the first of them was sent.
    unanswered_checks: u32,
    checked_since: Moment,
}

/// The servers of plain services that this daemon, or a peer, waits for.
#[derive(Debug, Default)]
pub struct SilentServers {
    entries: HashMap<ServerInstance, Entry>,
    times: HashMap<ServiceName, ResponseTimes>,
    /// Until when all services count as unsteady.
    learning_until: Moment,
    /// Services with a server that responded again after a stall, and when that expires.
    unsteady: HashMap<ServiceName, Moment>,
    /// Those that `take_unsteady` has not returned yet.
    new_unsteady: Vec<ServiceName>,
}

/// Response times of a service.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseTimes {
    /// Mean in seconds.
    mean: f64,
    count: u32,
}

impl ResponseTimes {
    fn record(&mut self, time: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(NEWEST_WEIGHT);
        self.mean += weight * (time.as_secs_f64() - self.mean);
    }

    fn mean(self) -> Duration {
        if self.count == 0 { INITIAL_MEAN } else { Duration::from_secs_f64(self.mean) }
    }
}

impl SilentServers {
    /// Returns the state of a process that starts now.
    pub fn new(now: Moment) -> Self {
        Self { learning_until: now + LEARNING_TIME, ..Self::default() }
    }

    /// Records a request that is sent now.
    pub fn record_send(&mut self, service: &ServiceName, server: &ServerInstance, now: Moment) {
        let entry = self.entries.entry(server.clone()).or_default();
        let has_expired = |since: Moment| now.saturating_sub(since) >= EXPIRY;
        if entry.unanswered_since.is_none_or(has_expired) {
            entry.is_known = false;
            entry.service.clone_from(service);
            entry.unanswered_since = Some(now);
            entry.next_check = now + FIRST_CHECK;
            entry.check_interval = FIRST_CHECK;
        }
    }

    /// Records the response to a request that was sent at `sent_at`.
    pub fn record_response(&mut self, server: &ServerInstance, sent_at: Moment, now: Moment) {
        let Some(entry) = self.entries.get(server) else { return };
        // A response that was delayed by a standstill of its server is no measure of the service's usual time.
        let time = now.saturating_sub(sent_at).min(self.patience(&entry.service));
        let service = entry.service.clone();
        self.record_answer(server, now);
        self.times.entry(service).or_default().record(time);
    }

    /// Records that a health check is sent before a request.
    pub fn record_ask(&mut self, server: &ServerInstance, now: Moment) {
        let entry = self.entries.entry(server.clone()).or_default();
        let is_over = now.saturating_sub(entry.checked_since) >= FUTILE_TIME;
        if entry.unanswered_checks == 0 || is_over {
            (entry.unanswered_checks, entry.checked_since) = (0, now);
        }
        entry.unanswered_checks += 1;
    }

    /// Records that the server answered a health check. Returns for how long it had been silent, if `take_new` had returned it.
    pub fn record_check(&mut self, server: &ServerInstance, now: Moment) -> Option<Duration> {
        if let Some(entry) = self.entries.get_mut(server) {
            entry.unanswered_checks = 0;
        }
        self.record_answer(server, now)
    }

    fn record_answer(&mut self, server: &ServerInstance, now: Moment) -> Option<Duration> {
        self.record_standstill(server, now);
        if let Some(entry) = self.entries.get_mut(server) {
            entry.has_responded = true;
        }
        self.record_sign(server, now)
    }

    /// Records a sign of the server or of its host, which ends its silence. Returns for how long it had been silent, if
    /// `take_new` had returned it.
    pub fn record_sign(&mut self, server: &ServerInstance, now: Moment) -> Option<Duration> {
        let entry = self.entries.get_mut(server)?;
        let silence = entry.unanswered_since.map(|since| now.saturating_sub(since));
        entry.unanswered_since = None;
        entry.answered_at = now;
        entry.reported_until = Moment::ZERO;
        entry.stands_still = false;
        silence.filter(|_| std::mem::take(&mut entry.is_known))
    }

    /// Records that the service is unsteady if the server, which responds now, had stalled.
    fn record_standstill(&mut self, server: &ServerInstance, now: Moment) {
        let Some(entry) = self.entries.get(server) else { return };
        let silence = entry.unanswered_since.map(|since| now.saturating_sub(since));
        let least = self.standstill_time(&entry.service);
        if !entry.stands_still && silence.is_none_or(|silence| silence < least) {
            return;
        }
        let service = entry.service.clone();
        if self.unsteady.insert(service.clone(), now + UNSTEADY_TIME).is_none() {
            self.new_unsteady.push(service);
        }
    }

    /// Records that a peer's request has been unanswered for `age`, unless the server has responded to this daemon since.
    pub fn record_peer(
        &mut self,
        service: &ServiceName,
        server: &ServerInstance,
        age: Duration,
        now: Moment,
    ) {
        let least = self.standstill_time(service);
        let entry = self.entries.entry(server.clone()).or_default();
        if entry.answered_at <= now.saturating_sub(age) {
            entry.service.clone_from(service);
            entry.reported_until = now + REPORT_TIME;
            entry.stands_still |= age >= least;
        }
    }

    /// Returns whether a stall of one of the service's servers is recorded, or one may have been before the start of this process.
    pub fn is_unsteady(&self, service: &str, now: Moment) -> bool {
        let until = self.unsteady.get(service).copied().unwrap_or_default();
        now < until.max(self.learning_until)
    }

    /// Returns whether a health check is sent before a request: no response was ever received from the server, or its service is
    /// unsteady and the last response is not recent. `false` while its health checks are futile.
    pub fn must_confirm(&self, service: &str, server: &ServerInstance, now: Moment) -> bool {
        let Some(entry) = self.entries.get(server) else { return true };
        let is_confirmed = now < entry.answered_at + CONFIRMED_TIME;
        let checked_for = now.saturating_sub(entry.checked_since);
        let is_futile = entry.unanswered_checks >= FUTILE_CHECKS
            && (EXPIRY..FUTILE_TIME).contains(&checked_for);
        !is_futile && (!entry.has_responded || (self.is_unsteady(service, now) && !is_confirmed))
    }

    /// Returns whether a server has responded at `since` or later.
    pub fn has_answered(&self, server: &ServerInstance, since: Moment) -> bool {
        self.entries.get(server).is_some_and(|entry| entry.answered_at >= since)
    }

    /// Returns the time within which a server answers a health check before it gets a request; it is doubtful after that.
    pub fn confirm_time(&self, service: &ServiceName) -> Duration {
        self.doubt_time(service)
    }

    /// Returns the services that have become unsteady since the last call.
    pub fn take_unsteady(&mut self) -> Vec<ServiceName> {
        std::mem::take(&mut self.new_unsteady)
    }

    /// Returns whether the server counts as silent.
    pub fn is_silent(&self, server: &ServerInstance, now: Moment) -> bool {
        let entry = self.entries.get(server);
        entry.is_some_and(|e| now < e.reported_until || self.is_own(e, now))
    }

    /// Returns whether other servers are preferred: the server is silent, or may soon turn out to be.
    pub fn is_doubtful(&self, server: &ServerInstance, now: Moment) -> bool {
        let entry = self.entries.get(server);
        entry.is_some_and(|entry| {
            let doubt = self.doubt_time(&entry.service);
            let since = entry.unanswered_since.map(|since| now.saturating_sub(since));
            now < entry.reported_until || since.is_some_and(|time| time > doubt && time < EXPIRY)
        })
    }

    /// Returns the servers that this daemon itself finds silent, and for how long, for its peers.
    pub fn own(&self, now: Moment) -> Vec<(ServerInstance, Duration)> {
        let own = self.entries.iter().filter(|(_, entry)| self.is_own(entry, now));
        let age = |entry: &Entry| now.saturating_sub(entry.unanswered_since.unwrap_or(now));
        own.map(|(server, entry)| (server.clone(), age(entry))).collect()
    }

    fn own_instances(&self, now: Moment) -> Vec<ServerInstance> {
        self.own(now).into_iter().map(|(server, _)| server).collect()
    }

    /// Returns the servers that this daemon has found silent since the last call.
    pub fn take_new(&mut self, now: Moment) -> Vec<ServerInstance> {
        let mut list = self.own_instances(now);
        list.retain(|server| {
            let entry = self.entries.get_mut(server);
            entry.is_some_and(|entry| !std::mem::replace(&mut entry.is_known, true))
        });
        list
    }

    /// Returns the silent servers whose health checks are due; the next ones are later.
    pub fn take_due(&mut self, now: Moment) -> Vec<ServerInstance> {
        let mut list = self.own_instances(now);
        list.retain(|server| {
            let Some(entry) = self.entries.get_mut(server).filter(|e| now >= e.next_check) else {
                return false;
            };
            entry.check_interval = (entry.check_interval * 2).min(MAX_CHECK_INTERVAL);
            entry.next_check = now + entry.check_interval;
            true
        });
        list
    }

    /// Drops servers that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&ServerInstance) -> bool) {
        self.entries.retain(|server, _| known(server));
    }

    fn is_own(&self, entry: &Entry, now: Moment) -> bool {
        let since = entry.unanswered_since.map(|since| now.saturating_sub(since));
        since.is_some_and(|time| time > self.patience(&entry.service) && time < EXPIRY)
    }

    /// Returns the time without a response after which a server counts as stalled: a health check was sent before, and its answer
    /// would have been received.
    fn standstill_time(&self, service: &ServiceName) -> Duration {
        self.patience(service).max(FIRST_CHECK) + CHECK_MARGIN
    }

    fn doubt_time(&self, service: &ServiceName) -> Duration {
        self.patience(service).mul_f64(DOUBT_FRACTION)
    }

    fn patience(&self, service: &ServiceName) -> Duration {
        let mean = self.times.get(service).copied().unwrap_or_default().mean();
        mean.mul_f64(PATIENCE_FACTOR).max(MIN_PATIENCE)
    }
}
