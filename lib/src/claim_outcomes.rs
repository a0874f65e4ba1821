//! Outcomes of claimed requests, kept for callers that retry them.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::ids::ClaimKey;
use crate::record::StoredResponse;
use crate::verdict::Verdict;

/// Time for which an outcome is kept in memory; the log keeps small ones for longer.
const OUTCOME_TTL: Duration = Duration::from_mins(10);

/// Outcome of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimOutcome {
    /// Whether it ran.
    pub verdict: Verdict,
    /// Its response, if it is known.
    pub answer: Option<StoredResponse>,
}

#[derive(Debug, Default)]
struct ClaimEntry {
    /// When the request ended, and its outcome; `None` while it runs.
    finished: Option<(Duration, ClaimOutcome)>,
    waiters: Vec<flume::Sender<ClaimOutcome>>,
}

/// Claimed requests that run on this daemon or ran there recently.
#[derive(Debug, Default)]
pub struct ClaimOutcomes {
    entries: Mutex<BTreeMap<ClaimKey, ClaimEntry>>,
}

impl ClaimOutcomes {
    fn entries(&self) -> MutexGuard<'_, BTreeMap<ClaimKey, ClaimEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the request of `key` starts to run.
    pub fn begin(&self, key: ClaimKey) {
        let mut entries = self.entries();
        let entry = entries.entry(key).or_default();
        entry.finished = None;
    }

    /// Records the outcome of the request and sends it to all waiters.
    pub fn finish(&self, now: Duration, key: ClaimKey, outcome: &ClaimOutcome) {
        let mut entries = self.entries();
        let entry = entries.entry(key).or_default();
        entry.finished = Some((now, outcome.clone()));
        for waiter in entry.waiters.drain(..) {
            // A waiter that timed out has dropped its receiver.
            let _disconnected = waiter.send(outcome.clone());
        }
    }

    /// Waits up to `wait` for the outcome of a request; `None` if this daemon does not know the
    /// request, or if it is still running after that time.
    pub fn wait(&self, key: ClaimKey, wait: Duration) -> Option<ClaimOutcome> {
        let receiver = {
            let mut entries = self.entries();
            let entry = entries.get_mut(&key)?;
            if let Some((_, outcome)) = &entry.finished {
                return Some(outcome.clone());
            }
            let (sender, receiver) = flume::bounded(1);
            entry.waiters.push(sender);
            receiver
        };
        receiver.recv_timeout(wait).ok()
    }

    /// Removes outcomes that were kept for their full time.
    pub fn expire(&self, now: Duration) {
        self.entries()
            .retain(|_, e| e.finished.as_ref().is_none_or(|(at, _)| now < *at + OUTCOME_TTL));
    }
}
