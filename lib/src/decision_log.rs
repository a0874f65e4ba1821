//! The most recent routing and control decisions, which `comfreymux explain` shows.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;

/// Number of decisions that are kept.
const MAX_DECISIONS: usize = 20_000;

/// One decision and the reason for it.
#[derive(Clone, Debug, Serialize)]
pub struct LoggedDecision {
    /// Seconds since the daemon's start.
    pub at: f64,
    /// The request's id; empty for decisions of the control thread.
    pub request: SmolStr,
    /// The model or plain service.
    pub model: SmolStr,
    /// What was decided.
    pub action: &'static str,
    /// The backend server or data centre; empty if the decision concerns none.
    pub place: SmolStr,
    /// Reason for the decision.
    pub reason: String,
}

/// A bounded list of decisions, oldest first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    decisions: Mutex<VecDeque<LoggedDecision>>,
}

impl DecisionLog {
    /// Appends a decision made at `now`; drops the oldest one if the list is full.
    pub fn add(&self, now: Duration, mut decision: LoggedDecision) {
        decision.at = now.as_secs_f64();
        let mut decisions = self.decisions.lock().unwrap_or_else(PoisonError::into_inner);
        if decisions.len() >= MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// Returns the decisions about a request, model, backend server or data centre, oldest first.
    pub fn find(&self, id: &str) -> Vec<LoggedDecision> {
        let decisions = self.decisions.lock().unwrap_or_else(PoisonError::into_inner);
        decisions
            .iter()
            .filter(|d| d.request == id || d.model == id || d.place == id)
            .cloned()
            .collect()
    }
}
