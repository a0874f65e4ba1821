//! Blocks request threads until a replica has free capacity for them.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::demand::WaitingRequests;
use crate::ids::ModelName;
use crate::queue::EnqueueResult;
use crate::queue::Queue;
use crate::queue::QueueRefusal;
use crate::queue::Waiter;
use crate::queue::WaiterKey;

type Wake = Result<(), QueueRefusal>;

#[derive(Debug)]
struct Inner {
    queue: Queue,
    senders: BTreeMap<WaiterKey, flume::Sender<Wake>>,
    stopping: bool,
}

/// The request queue, with a channel to wake the thread of each queued request.
#[derive(Debug)]
pub struct WaitQueue {
    inner: Mutex<Inner>,
}

impl Inner {
    fn wake(&mut self, key: WaiterKey, wake: Wake) {
        self.queue.remove(key);
        if let Some(sender) = self.senders.remove(&key) {
            // Fails if the waiter timed out and dropped its receiver.
            let _ignored = sender.send(wake);
        }
    }
}

impl WaitQueue {
    /// Creates a queue for at most `capacity` requests of each model.
    pub fn new(capacity: usize) -> Self {
        let queue = Queue::new(capacity);
        Self { inner: Mutex::new(Inner { queue, senders: BTreeMap::new(), stopping: false }) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Blocks until a replica may have free capacity or the waiter's deadline passes. `expected` is
    /// the estimated minimum wait.
    ///
    /// # Errors
    ///
    /// Returns why the request must be refused.
    pub fn wait(
        &self,
        now: Duration,
        waiter: Waiter,
        expected: Duration,
    ) -> Result<(), QueueRefusal> {
        let timeout = waiter.deadline.saturating_sub(now);
        let (sender, receiver) = flume::bounded(1);
        let key = {
            let mut inner = self.inner();
            if inner.stopping {
                return Err(QueueRefusal::Stopping);
            }
            match inner.queue.enqueue(now, waiter, expected) {
                EnqueueResult::Refused(refusal) => return Err(refusal),
                EnqueueResult::Queued(key, displaced) => {
                    inner.senders.insert(key, sender);
                    if let Some(displaced) = displaced {
                        inner.wake(displaced, Err(QueueRefusal::Displaced));
                    }
                    key
                }
            }
        };
        let woken = receiver.recv_timeout(timeout);
        if let Ok(wake) = woken {
            return wake;
        }
        let mut inner = self.inner();
        inner.senders.remove(&key);
        if inner.queue.remove(key) {
            return Err(QueueRefusal::Expired);
        }
        // It was woken just as its deadline passed.
        receiver.try_recv().unwrap_or(Err(QueueRefusal::Expired))
    }

    /// Wakes as many requests of each model as `free_capacity` returns, and refuses those whose
    /// deadline has passed.
    pub fn wake_ready(&self, now: Duration, mut free_capacity: impl FnMut(&ModelName) -> u32) {
        let mut inner = self.inner();
        for key in inner.queue.expire(now) {
            inner.wake(key, Err(QueueRefusal::Expired));
        }
        for model in inner.queue.models() {
            for _ in 0..free_capacity(&model) {
                let Some(key) = inner.queue.first(&model) else {
                    break;
                };
                inner.wake(key, Ok(()));
            }
        }
    }

    /// Refuses all queued and all later requests.
    pub fn close(&self) {
        let mut inner = self.inner();
        inner.stopping = true;
        for key in inner.queue.keys() {
            inner.wake(key, Err(QueueRefusal::Stopping));
        }
    }

    /// Returns how many queued requests come before `waiter`.
    pub fn count_ahead(&self, waiter: &Waiter) -> usize {
        self.inner().queue.ahead(waiter)
    }

    /// Returns whether requests wait for `model`; a new request must not overtake them.
    pub fn has_waiters(&self, model: &str) -> bool {
        self.inner().queue.first(model).is_some()
    }

    /// Returns the queued requests as they are reported to the lease holders.
    pub fn demand(&self) -> Vec<WaitingRequests> {
        self.inner().queue.demand()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.inner().senders.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
