//! How many repeated sends this daemon may make, as its part of what all daemons may.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;

/// Part of the slack that daemons share out; the rest covers daemons that start anew and forget
/// what they had spent.
const SHARED: f64 = 0.6;

/// Limits over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats allowed for each first send in a window.
    pub ratio: f64,
    /// Repeats allowed in a window whatever the number of requests.
    pub slack: f64,
}

#[derive(Debug, Default)]
struct Window {
    firsts: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

/// Sends of this daemon by service.
#[derive(Debug)]
pub struct RetryBudgets {
    limits: BudgetLimits,
    windows: HashMap<ServiceName, Window>,
}

impl Window {
    fn forget(&mut self, before: Moment) {
        while self.firsts.front().is_some_and(|t| *t < before) {
            self.firsts.pop_front();
        }
        while self.repeats.front().is_some_and(|t| *t < before) {
            self.repeats.pop_front();
        }
    }
}

impl RetryBudgets {
    /// Starts with nothing spent.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, windows: HashMap::new() }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Notes the first send of a request.
    pub fn record_first(&mut self, service: &ServiceName, now: Moment) {
        let window = self.windows.entry(service.clone()).or_default();
        window.forget(now.saturating_sub(self.limits.window));
        window.firsts.push_back(now);
    }

    /// Returns whether a repeat is left in the part of one of `daemons`.
    pub fn has_retry(&mut self, service: &ServiceName, now: Moment, daemons: usize) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        window.forget(now.saturating_sub(self.limits.window));
        let slack = self.limits.slack * SHARED / daemons.max(1) as f64;
        let allowed = self.limits.ratio * window.firsts.len() as f64 + slack;
        window.repeats.len() as f64 + 1.0 <= allowed
    }

    /// Takes one repeat out of the budget, shared by `daemons`; returns whether there was one.
    pub fn take_retry(&mut self, service: &ServiceName, now: Moment, daemons: usize) -> bool {
        if !self.has_retry(service, now, daemons) {
            return false;
        }
        self.windows.entry(service.clone()).or_default().repeats.push_back(now);
        true
    }
}
