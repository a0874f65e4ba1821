//! Counts repeated arrivals of requests at servers in sliding windows, and compares them with the limit of the fleet.

use std::time::Duration;

use comfreymux_lib::cluster::retry_budgets::BudgetLimits;

/// A window and what is allowed in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindow {
    /// When it begins.
    pub from: Duration,
    /// Arrivals beyond the first of each request.
    pub repeats: usize,
    /// Requests of callers in it, in the window before or in the one that begins half a window earlier, whichever has most.
    pub requests: usize,
    /// Allowed repeats.
    pub allowed: f64,
}

impl RetryWindow {
    /// Returns the repeats beyond those allowed; negative if more were allowed.
    pub fn excess(&self) -> f64 {
        self.repeats as f64 - self.allowed
    }

    fn new(limits: &BudgetLimits, sent: &[Duration], repeats: &[Duration], from: Duration) -> Self {
        let count = |list: &[Duration], from: Duration| {
            let until = from + limits.window;
            list.partition_point(|at| *at <= until) - list.partition_point(|at| *at < from)
        };
        let half = limits.window / 2;
        let starts = [from, from.saturating_sub(half), from.saturating_sub(limits.window)];
        let requests = starts.map(|start| count(sent, start)).into_iter().max().unwrap_or(0);
        let allowed = limits.ratio * requests as f64 + limits.slack;
        Self { from, repeats: count(repeats, from), requests, allowed }
    }
}

/// Returns the window with the most repeats beyond those allowed, among those that begin or end with a repeat; `None` if
/// there is no repeat. Both lists are in order of time.
pub fn worst_window(
    limits: &BudgetLimits,
    sent: &[Duration],
    repeats: &[Duration],
) -> Option<RetryWindow> {
    let starts = repeats.iter().flat_map(|at| [*at, at.saturating_sub(limits.window)]);
    let windows = starts.map(|from| RetryWindow::new(limits, sent, repeats, from));
    windows.max_by(|a, b| a.excess().total_cmp(&b.excess()))
}
