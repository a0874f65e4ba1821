//! Outcomes of claimed requests, for callers that ask again.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::ids::ClaimKey;
use crate::record::StoredResponse;
use crate::verdict::Verdict;

/// How long an outcome is kept here; small ones stay in the log for longer.
const KEPT: Duration = Duration::from_mins(10);

/// What is known of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimOutcome {
    /// Whether it ran.
    pub verdict: Verdict,
    /// Its answer.
    pub answer: Option<StoredResponse>,
}

#[derive(Debug, Default)]
struct Line {
    end: Option<(Duration, ClaimOutcome)>,
    waiters: Vec<flume::Sender<ClaimOutcome>>,
}

/// Claimed requests that this daemon runs or ran.
#[derive(Debug, Default)]
pub struct ClaimOutcomes {
    lines: Mutex<BTreeMap<ClaimKey, Line>>,
}

impl ClaimOutcomes {
    fn lines(&self) -> MutexGuard<'_, BTreeMap<ClaimKey, Line>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the request of `key` begins to run.
    pub fn begin(&self, key: ClaimKey) {
        let mut lines = self.lines();
        let line = lines.entry(key).or_default();
        line.end = None;
    }

    /// Notes how it ended, and tells everybody who waits for it.
    pub fn finish(&self, now: Duration, key: ClaimKey, end: &ClaimOutcome) {
        let mut lines = self.lines();
        let line = lines.entry(key).or_default();
        line.end = Some((now, end.clone()));
        for waiter in line.waiters.drain(..) {
            // A waiter that gave up has dropped its side.
            let _gone = waiter.send(end.clone());
        }
    }

    /// Waits up to `wait` for the end of a request; none where it is unknown here or goes on.
    pub fn wait(&self, key: ClaimKey, wait: Duration) -> Option<ClaimOutcome> {
        let receiver = {
            let mut lines = self.lines();
            let line = lines.get_mut(&key)?;
            if let Some((_, end)) = &line.end {
                return Some(end.clone());
            }
            let (sender, receiver) = flume::bounded(1);
            line.waiters.push(sender);
            receiver
        };
        receiver.recv_timeout(wait).ok()
    }

    /// Forgets old outcomes.
    pub fn expire(&self, now: Duration) {
        self.lines().retain(|_, l| l.end.as_ref().is_none_or(|(at, _)| now < *at + KEPT));
    }
}
