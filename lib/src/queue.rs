//! Requests that wait for a replica.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::demand::WaitingRequests;
use crate::ids::ModelName;

new_key_type! {
    /// Identity of a waiting request.
    pub struct WaiterKey;
}

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The model.
    pub model: ModelName,
    /// Higher is served first and refused last.
    pub priority: u8,
    /// When the caller needs its answer to begin.
    pub deadline: Duration,
}

/// Why a request is refused instead of waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueRefusal {
    /// The queue is full of requests that are no less important.
    Full,
    /// A more important request took its place.
    Displaced,
    /// The expected time is past its deadline.
    TooLate,
    /// Its deadline came.
    Expired,
    /// The daemon is stopping.
    Stopping,
}

impl QueueRefusal {
    /// Returns the word for log lines and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Full => "queue-full",
            Self::Displaced => "displaced",
            Self::TooLate => "deadline-too-near",
            Self::Expired => "deadline-passed",
            Self::Stopping => "stopping",
        }
    }
}

/// What became of an attempt to wait.
#[derive(Debug)]
pub enum EnqueueResult {
    /// It waits; this other request was displaced.
    Queued(WaiterKey, Option<WaiterKey>),
    /// It does not.
    Refused(QueueRefusal),
}

/// Waiting requests of one daemon, bounded for each model.
#[derive(Debug)]
pub struct Queue {
    bound: usize,
    waiters: SlotMap<WaiterKey, Waiter>,
    models: BTreeMap<ModelName, Vec<WaiterKey>>,
}

impl Queue {
    /// Creates a queue of at most `bound` requests for each model.
    pub fn new(bound: usize) -> Self {
        Self { bound, waiters: SlotMap::with_key(), models: BTreeMap::new() }
    }

    /// Lets a request wait, unless `expected` is past its deadline or the queue is full.
    ///
    /// A full queue displaces its least important request, the latest deadline first among equals,
    /// if the new one is more important.
    pub fn enqueue(&mut self, now: Duration, waiter: Waiter, expected: Duration) -> EnqueueResult {
        if now + expected > waiter.deadline {
            return EnqueueResult::Refused(QueueRefusal::TooLate);
        }
        let keys = self.models.entry(waiter.model.clone()).or_default();
        let mut displaced = None;
        if keys.len() >= self.bound {
            let waiters = &self.waiters;
            let least = (0..keys.len())
                .min_by_key(|i| (waiters[keys[*i]].priority, Reverse(waiters[keys[*i]].deadline)));
            let Some(least) = least.filter(|i| waiters[keys[*i]].priority < waiter.priority) else {
                return EnqueueResult::Refused(QueueRefusal::Full);
            };
            let key = keys.swap_remove(least);
            self.waiters.remove(key);
            displaced = Some(key);
        }
        let key = self.waiters.insert(waiter);
        keys.push(key);
        EnqueueResult::Queued(key, displaced)
    }

    /// Returns how many requests would get their turn before `waiter`.
    pub fn ahead(&self, waiter: &Waiter) -> usize {
        let own = (Reverse(waiter.priority), waiter.deadline);
        let keys = self.models.get(&waiter.model).map_or(&[][..], Vec::as_slice);
        let key = |k: &WaiterKey| (Reverse(self.waiters[*k].priority), self.waiters[*k].deadline);
        keys.iter().filter(|k| key(k) <= own).count()
    }

    /// Removes a request; returns whether it was still waiting.
    pub fn remove(&mut self, key: WaiterKey) -> bool {
        let Some(waiter) = self.waiters.remove(key) else {
            return false;
        };
        if let Some(keys) = self.models.get_mut(&waiter.model) {
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.models.remove(&waiter.model);
            }
        }
        true
    }

    /// Returns the next request for `model`: the most important, then the nearest deadline.
    pub fn first(&self, model: &str) -> Option<WaiterKey> {
        let keys = self.models.get(model)?;
        keys.iter()
            .copied()
            .min_by_key(|k| (Reverse(self.waiters[*k].priority), self.waiters[*k].deadline))
    }

    /// Removes and returns the requests whose deadline has come.
    pub fn expire(&mut self, now: Duration) -> Vec<WaiterKey> {
        let late: Vec<WaiterKey> =
            self.waiters.iter().filter(|(_, w)| w.deadline <= now).map(|(k, _)| k).collect();
        for key in &late {
            self.remove(*key);
        }
        late
    }

    /// Returns the models that requests wait for.
    pub fn models(&self) -> Vec<ModelName> {
        self.models.keys().cloned().collect()
    }

    /// Returns all waiting requests.
    pub fn keys(&self) -> Vec<WaiterKey> {
        self.waiters.keys().collect()
    }

    /// Returns what to tell the lease holders.
    pub fn demand(&self) -> Vec<WaitingRequests> {
        self.models
            .iter()
            .filter(|(_, keys)| !keys.is_empty())
            .map(|(model, keys)| WaitingRequests {
                model: model.clone(),
                count: keys.len() as u32,
                weight: keys.iter().map(|k| u32::from(self.waiters[*k].priority).max(1)).sum(),
            })
            .collect()
    }
}
