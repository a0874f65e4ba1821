//! Retry budgets: how many retries this daemon may send, as its share of the limit for all daemons.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::open_send::OpenSend;
use crate::cluster::server_instance::ServerInstance;

/// Fraction of the limits that is used. The rest covers the time between a caller's send and this daemon's count of it.
const USED_FRACTION: f64 = 0.95;
/// Fraction of a window after which a server that responds to later requests has received an earlier one, too: connections
/// overtake each other.
const OVERTAKING_FRACTION: f64 = 0.1;

/// Retry limits over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed per first send in a window.
    pub ratio: f64,
    /// Retries allowed in a window regardless of the number of requests.
    pub slack: f64,
}

#[derive(Debug, Default)]
struct Window {
    /// First sends within two windows, in order.
    first_sends: VecDeque<Moment>,
    /// Ends of retries within one window, in order. By then they had arrived.
    retries: VecDeque<Moment>,
    /// Retries of which a send was open when they were last checked.
    open: Vec<OpenRetry>,
}

/// A retry that counts for a repeated arrival that may come later.
#[derive(Debug)]
struct OpenRetry {
    granted_at: Moment,
    /// Its own send, and an earlier one of its attempt that may arrive after it.
    sends: Vec<OpenSend>,
}

impl OpenRetry {
    /// Returns when the last of its sends ended; `None` if one may still arrive.
    ///
    /// A send that is open for a whole window counts as ended, so that a retry to a server that never responds again
    /// expires.
    fn ended_at(&self, now: Moment, window: Duration) -> Option<Moment> {
        let ends = self.sends.iter().map(OpenSend::ended_at);
        let ended = ends.collect::<Option<Vec<_>>>().and_then(|ends| ends.into_iter().max());
        let given_up = self.granted_at + window;
        ended.or_else(|| (now >= given_up).then_some(given_up))
    }
}

/// This daemon's sends of a service that count towards its retry budget now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetUsage {
    /// First sends in the last two windows.
    pub first_sends: usize,
    /// Retries in the last window, without the open ones.
    pub retries: usize,
    /// Retries of which a send may still arrive.
    pub open: usize,
    /// Time since the oldest of them was granted.
    pub oldest: Duration,
}

/// First sends and retries of this daemon by service.
#[derive(Debug)]
pub struct RetryBudgets {
    limits: BudgetLimits,
    /// When the process started. It has no slack for one window: its predecessor may have used that share, and it may
    /// not know all daemons yet.
    started: Moment,
    windows: HashMap<ServiceName, Window>,
}

impl Window {
    /// Forgets the sends that no longer count.
    fn expire(&mut self, now: Moment, length: Duration) {
        self.settle(now, length);
        let sends_from = now.saturating_sub(length * 2);
        let retries_from = now.saturating_sub(length);
        self.first_sends.drain(..self.first_sends.partition_point(|at| *at < sends_from));
        self.retries.drain(..self.retries.partition_point(|at| *at < retries_from));
    }

    /// Counts the retries whose sends have ended.
    fn settle(&mut self, now: Moment, length: Duration) {
        let retries = &mut self.retries;
        self.open.retain(|retry| {
            let Some(ended) = retry.ended_at(now, length) else { return true };
            retries.insert(retries.partition_point(|at| *at <= ended), ended);
            false
        });
    }

    /// Returns whether one more retry at `now` keeps the retries that arrive since any moment within `limits`, with
    /// `slack` for this daemon.
    ///
    /// The retries since a moment are compared with half of the first sends since one window before it, the mean of
    /// two adjacent windows. This limit is the same sum of sends at each daemon, so the limits of all daemons add up to
    /// the limit of the fleet, also while traffic changes or moves between daemons. The number of sends in
    /// a daemon's own last window does not: it refers to another window at each retry.
    ///
    /// An open retry may arrive in any later window, so it counts in all of them, and all open ones together have to be
    /// paid by the first sends of the last half window: these count up to half a window later even if no request follows.
    fn allows_retry(&self, limits: &BudgetLimits, slack: f64, now: Moment) -> bool {
        let open = self.open.len() + 1;
        let allows = |retries: usize, sends_from: Moment| {
            let sends =
                self.first_sends.len() - self.first_sends.partition_point(|at| *at < sends_from);
            let allowed = limits.ratio * sends as f64 / 2.0 + slack;
            retries as f64 <= allowed * USED_FRACTION
        };
        let total = self.retries.len() + open;
        allows(open, now.saturating_sub(limits.window / 2))
            && self.retries.iter().enumerate().all(|(earlier, start)| {
                allows(total - earlier, start.saturating_sub(limits.window))
            })
    }
}

impl RetryBudgets {
    /// Returns the budgets of a process that started at `started` and has sent nothing.
    pub fn new(limits: BudgetLimits, started: Moment) -> Self {
        Self { limits, started, windows: HashMap::new() }
    }

    /// Replaces the limits; sends recorded so far still count.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Records the first send of a request, whose caller sent it at `sent_at` or later.
    pub fn record_first(&mut self, service: &ServiceName, sent_at: Moment) {
        let window = self.windows.entry(service.clone()).or_default();
        window.expire(sent_at, self.limits.window);
        let sends = &mut window.first_sends;
        sends.insert(sends.partition_point(|at| *at <= sent_at), sent_at);
    }

    /// Returns whether this daemon has a retry left in its share, with `daemons` in the fleet; `None` if that is not known.
    ///
    /// A daemon that does not know the others has no slack: they have all of it.
    pub fn has_retry(
        &mut self,
        service: &ServiceName,
        now: Moment,
        daemons: Option<usize>,
    ) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        window.expire(now, self.limits.window);
        let is_new = now < self.started + self.limits.window;
        let sharers = daemons.filter(|_| !is_new);
        let slack = sharers.map_or(0.0, |daemons| self.limits.slack / daemons.max(1) as f64);
        window.allows_retry(&self.limits, slack, now)
    }

    /// Returns the sends that count towards the budget of a service now.
    pub fn usage(&self, service: &ServiceName, now: Moment) -> BudgetUsage {
        let Some(window) = self.windows.get(service) else { return BudgetUsage::default() };
        let oldest = window.open.iter().map(|retry| now.saturating_sub(retry.granted_at)).max();
        BudgetUsage {
            first_sends: window.first_sends.len(),
            retries: window.retries.len(),
            open: window.open.len(),
            oldest: oldest.unwrap_or_default(),
        }
    }

    /// Takes one retry, whose send is `retry`, out of this daemon's share, as [`Self::has_retry`] tells; returns whether one
    /// was left. `unanswered` is an earlier send of its attempt that may arrive after it.
    pub fn take_retry(
        &mut self,
        service: &ServiceName,
        retry: &OpenSend,
        unanswered: Option<OpenSend>,
        daemons: Option<usize>,
    ) -> bool {
        let now = retry.sent_at;
        if !self.has_retry(service, now, daemons) {
            return false;
        }
        let window = self.windows.entry(service.clone()).or_default();
        let sends = unanswered.into_iter().chain([retry.clone()]).collect();
        window.open.push(OpenRetry { granted_at: now, sends });
        true
    }

    /// Records that a server has responded to a request that was sent at `sent_at`: what it was sent some time before has
    /// arrived too.
    pub fn record_response(
        &mut self,
        service: &ServiceName,
        server: &ServerInstance,
        sent_at: Moment,
        now: Moment,
    ) {
        let Some(window) = self.windows.get_mut(service) else { return };
        let overtaking = self.limits.window.mul_f64(OVERTAKING_FRACTION);
        let sends = window.open.iter().flat_map(|retry| &retry.sends);
        for send in
            sends.filter(|send| send.server == *server && send.sent_at + overtaking <= sent_at)
        {
            send.end(now);
        }
    }
}
