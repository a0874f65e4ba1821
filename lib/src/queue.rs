//! The bounded queue of requests that wait for a replica.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::demand::WaitingRequests;
use crate::ids::ModelName;

new_key_type! {
    /// Identifies a waiting request in its [`Queue`].
    pub struct WaiterKey;
}

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Model that the request needs.
    pub model: ModelName,
    /// Requests of higher priority are served first and refused last.
    pub priority: u8,
    /// When the response must begin, as time since the daemon's start.
    pub deadline: Duration,
}

/// Why a request is refused instead of waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueRefusal {
    /// The queue is full, and no request in it has a lower priority.
    Full,
    /// A request of higher priority took its place.
    Displaced,
    /// The expected wait ends after its deadline.
    TooLate,
    /// Its deadline passed.
    Expired,
    /// The daemon is stopping.
    Stopping,
}

impl QueueRefusal {
    /// Returns the reason code for log lines and error bodies.
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

/// Result of [`Queue::enqueue`].
#[derive(Debug)]
pub enum EnqueueResult {
    /// The request waits; the second key is the request that it displaced, if any.
    Queued(WaiterKey, Option<WaiterKey>),
    /// The request is refused.
    Refused(QueueRefusal),
}

/// Waiting requests of one daemon, with a maximum for each model.
#[derive(Debug)]
pub struct Queue {
    max_per_model: usize,
    waiters: SlotMap<WaiterKey, Waiter>,
    models: BTreeMap<ModelName, Vec<WaiterKey>>,
}

impl Queue {
    /// Creates a queue of at most `max_per_model` requests for each model.
    pub fn new(max_per_model: usize) -> Self {
        Self { max_per_model, waiters: SlotMap::with_key(), models: BTreeMap::new() }
    }

    /// Adds a request, unless the wait of `expected` would end after its deadline or the queue is
    /// full.
    ///
    /// A full queue displaces its request of the lowest priority, and among equals the one with the
    /// latest deadline, if the new request has a higher priority.
    pub fn enqueue(&mut self, now: Duration, waiter: Waiter, expected: Duration) -> EnqueueResult {
        if now + expected > waiter.deadline {
            return EnqueueResult::Refused(QueueRefusal::TooLate);
        }
        let keys = self.models.entry(waiter.model.clone()).or_default();
        let mut displaced = None;
        if keys.len() >= self.max_per_model {
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

    /// Returns how many requests are served before `waiter`.
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

    /// Returns the next request for `model`: highest priority first, then earliest deadline.
    pub fn first(&self, model: &str) -> Option<WaiterKey> {
        let keys = self.models.get(model)?;
        keys.iter()
            .copied()
            .min_by_key(|k| (Reverse(self.waiters[*k].priority), self.waiters[*k].deadline))
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<WaiterKey> {
        let expired: Vec<WaiterKey> =
            self.waiters.iter().filter(|(_, w)| w.deadline <= now).map(|(k, _)| k).collect();
        for key in &expired {
            self.remove(*key);
        }
        expired
    }

    /// Returns the models that requests wait for.
    pub fn models(&self) -> Vec<ModelName> {
        self.models.keys().cloned().collect()
    }

    /// Returns the keys of all waiting requests.
    pub fn keys(&self) -> Vec<WaiterKey> {
        self.waiters.keys().collect()
    }

    /// Returns the demand of each model, which is reported to the lease holders.
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
