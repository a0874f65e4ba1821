//! Retry budgets: how many retries this daemon may send, as its share of the limit for all daemons.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::open_send::OpenSend;

/// Fraction of the limits that is used. The rest covers retries that reach their server late, in another window than
/// the one in which they were granted.
const USED_FRACTION: f64 = 0.9;

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
    /// First sends within two windows.
    first_sends: VecDeque<Moment>,
    /// Retries within one window.
    retries: VecDeque<Moment>,
    /// Retries of which a send is open.
    open: Vec<OpenRetry>,
}

/// A retry that counts for a repeated arrival that may come later.
#[derive(Debug)]
struct OpenRetry {
    granted_at: Moment,
    /// Its own send, and an earlier one of its attempt that may arrive after it. One at least is open.
    sends: Vec<OpenSend>,
}

impl OpenRetry {
    fn is_open(&self) -> bool {
        self.sends.iter().any(|send| send.ended_at().is_none())
    }
}

/// This daemon's sends of a service that count towards its retry budget now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetUsage {
    /// First sends in the last two windows.
    pub first_sends: usize,
    /// Retries in the last window.
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
        let sends_from = now.saturating_sub(length * 2);
        let retries_from = now.saturating_sub(length);
        self.first_sends.drain(..self.first_sends.partition_point(|at| *at < sends_from));
        self.retries.drain(..self.retries.partition_point(|at| *at < retries_from));
        self.open.retain(|retry| retry.is_open() && retry.granted_at >= retries_from);
    }

    /// Returns whether one more retry at `now` keeps the retries since any moment within `limits`, with `slack` for
    /// this daemon.
    ///
    /// The retries since a moment are compared with half of the first sends since one window before it, the mean of
    /// two adjacent windows. This limit is the same sum of sends at each daemon, so the limits of all daemons add up to
    /// the limit of the fleet, also while traffic changes or moves between daemons. The number of sends in
    /// a daemon's own last window does not: it refers to another window at each retry.
    fn allows_retry(&self, limits: &BudgetLimits, slack: f64, now: Moment) -> bool {
        let total = self.retries.len() + 1;
        let starts = self.retries.iter().copied().chain([now]);
        starts.enumerate().all(|(earlier, start)| {
            let sends_from = start.saturating_sub(limits.window);
            let sends =
                self.first_sends.len() - self.first_sends.partition_point(|at| *at < sends_from);
            let allowed = limits.ratio * sends as f64 / 2.0 + slack;
            (total - earlier) as f64 <= allowed * USED_FRACTION
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

    /// Records the first send of a request.
    pub fn record_first(&mut self, service: &ServiceName, now: Moment) {
        let window = self.windows.entry(service.clone()).or_default();
        window.expire(now, self.limits.window);
        window.first_sends.push_back(now);
    }

    /// Returns whether this daemon has a retry left in its share, with `daemons` in the fleet.
    pub fn has_retry(&mut self, service: &ServiceName, now: Moment, daemons: usize) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        window.expire(now, self.limits.window);
        let is_new = now < self.started + self.limits.window;
        let slack = if is_new { 0.0 } else { self.limits.slack / daemons.max(1) as f64 };
        window.allows_retry(&self.limits, slack, now)
    }

    /// Returns the sends that count towards the budget of a service now.
    pub fn usage(&self, service: &ServiceName, now: Moment) -> BudgetUsage {
        let Some(window) = self.windows.get(service) else { return BudgetUsage::default() };
        let open = window.open.iter().filter(|retry| retry.is_open());
        let oldest = open.clone().map(|retry| now.saturating_sub(retry.granted_at)).max();
        BudgetUsage {
            first_sends: window.first_sends.len(),
            retries: window.retries.len(),
            open: open.count(),
            oldest: oldest.unwrap_or_default(),
        }
    }

    /// Takes one retry, whose send is `retry`, out of this daemon's share, with `daemons` in the fleet; returns whether one
    /// was left. `unanswered` is an earlier send of its attempt that may arrive after it.
    pub fn take_retry(
        &mut self,
        service: &ServiceName,
        retry: &OpenSend,
        unanswered: Option<OpenSend>,
        daemons: usize,
    ) -> bool {
        let now = retry.sent_at;
        if !self.has_retry(service, now, daemons) {
            return false;
        }
        let window = self.windows.entry(service.clone()).or_default();
        window.retries.push_back(now);
        let sends = unanswered.into_iter().chain([retry.clone()]).collect();
        window.open.push(OpenRetry { granted_at: now, sends });
        true
    }
}
