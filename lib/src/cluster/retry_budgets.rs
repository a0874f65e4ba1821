//! Retry budgets: how many retries this daemon may send, as its share of the limit for all daemons.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;

/// Fraction of the slack that is divided among the daemons. The rest covers daemons that restart and lose
/// their count of retries.
const SHARED_SLACK: f64 = 0.6;

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
    first_sends: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// This daemon's sends of a service that count towards its retry budget now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetUsage {
    /// First sends.
    pub first_sends: usize,
    /// Retries.
    pub retries: usize,
}

/// First sends and retries of this daemon by service.
#[derive(Debug)]
pub struct RetryBudgets {
    limits: BudgetLimits,
    windows: HashMap<ServiceName, Window>,
}

impl Window {
    fn remove_before(&mut self, start: Moment) {
        while self.first_sends.front().is_some_and(|at| *at < start) {
            self.first_sends.pop_front();
        }
        while self.retries.front().is_some_and(|at| *at < start) {
            self.retries.pop_front();
        }
    }
}

impl RetryBudgets {
    /// Returns empty budgets, with no retry used.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, windows: HashMap::new() }
    }

    /// Replaces the limits; sends recorded so far still count.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Records the first send of a request.
    pub fn record_first(&mut self, service: &ServiceName, now: Moment) {
        let window = self.windows.entry(service.clone()).or_default();
        window.remove_before(now.saturating_sub(self.limits.window));
        window.first_sends.push_back(now);
    }

    /// Returns whether this daemon has a retry left in its share, with `daemons` in the fleet.
    pub fn has_retry(&mut self, service: &ServiceName, now: Moment, daemons: usize) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        window.remove_before(now.saturating_sub(self.limits.window));
        let slack = self.limits.slack * SHARED_SLACK / daemons.max(1) as f64;
        let allowed = self.limits.ratio * window.first_sends.len() as f64 + slack;
        window.retries.len() as f64 + 1.0 <= allowed
    }

    /// Returns the sends that count towards the budget of a service now.
    pub fn usage(&self, service: &ServiceName) -> BudgetUsage {
        let usage =
            |w: &Window| BudgetUsage { first_sends: w.first_sends.len(), retries: w.retries.len() };
        self.windows.get(service).map_or_else(BudgetUsage::default, usage)
    }

    /// Takes one retry out of this daemon's share, with `daemons` in the fleet; returns whether one was left.
    pub fn take_retry(&mut self, service: &ServiceName, now: Moment, daemons: usize) -> bool {
        if !self.has_retry(service, now, daemons) {
            return false;
        }
        self.windows.entry(service.clone()).or_default().retries.push_back(now);
        true
    }
}
