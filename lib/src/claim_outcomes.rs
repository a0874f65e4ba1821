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
    /// Whether the claim is requested, and the log's decision has not been read here yet.
    expected: bool,
    /// When the request ended, and its outcome; `None` while it runs.
    finished: Option<(Duration, ClaimOutcome)>,
    waiters: Vec<flume::Sender<ClaimOutcome>>,
}

/// Claimed requests that run on this daemon, ran there recently, or whose claim is requested.
#[derive(Debug, Default)]
pub struct ClaimOutcomes {
    entries: Mutex<BTreeMap<ClaimKey, ClaimEntry>>,
}

impl ClaimOutcomes {
    fn entries(&self) -> MutexGuard<'_, BTreeMap<ClaimKey, ClaimEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the claim of `key` is requested, before it is appended to the log.
    ///
    /// Another daemon may read from the log that the claim is granted before this one does, and ask for the outcome.
    pub fn expect(&self, key: ClaimKey) {
        self.entries()
            .entry(key)
            .or_insert_with(|| ClaimEntry { expected: true, ..ClaimEntry::default() });
    }

    /// Records that an expected claim was not granted; those who wait for its outcome learn that this daemon does not
    /// know it.
    pub fn cancel_expected(&self, key: ClaimKey) {
        let mut entries = self.entries();
        if entries.get(&key).is_some_and(|entry| entry.expected) {
            entries.remove(&key);
        }
    }

    /// Records that the request of `key` starts to run.
    pub fn begin(&self, key: ClaimKey) {
        let mut entries = self.entries();
        let entry = entries.entry(key).or_default();
        entry.expected = false;
        entry.finished = None;
    }

    /// Records the outcome of the request and sends it to all waiters.
    pub fn finish(&self, now: Duration, key: ClaimKey, outcome: &ClaimOutcome) {
        let mut entries = self.entries();
        let entry = entries.entry(key).or_default();
        entry.expected = false;
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
