//! The latest decisions, for `comfreymux explain`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;

/// Decisions that are kept.
const KEPT: usize = 20_000;

/// One decision.
#[derive(Clone, Debug, Serialize)]
pub struct LoggedDecision {
    /// Seconds since the daemon's start.
    pub at: f64,
    /// The request's id; empty for decisions of control.
    pub request: SmolStr,
    /// The model or plain service.
    pub model: SmolStr,
    /// What was decided.
    pub action: &'static str,
    /// The backend server or data centre.
    pub place: SmolStr,
    /// Why.
    pub reason: String,
}

/// A bounded list of decisions.
#[derive(Debug, Default)]
pub struct DecisionLog {
    lines: Mutex<VecDeque<LoggedDecision>>,
}

impl DecisionLog {
    /// Adds a decision and forgets the oldest past the bound.
    pub fn add(&self, now: Duration, mut line: LoggedDecision) {
        line.at = now.as_secs_f64();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() >= KEPT {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// Returns the decisions about a request, model, backend server or data centre, oldest first.
    pub fn find(&self, id: &str) -> Vec<LoggedDecision> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines
            .iter()
            .filter(|l| l.request == id || l.model == id || l.place == id)
            .cloned()
            .collect()
    }
}
