//! Blocking of request threads until a replica has room for them.

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

/// The waiting queue with a channel for each request in it.
#[derive(Debug)]
pub struct WaitQueue {
    inner: Mutex<Inner>,
}

impl Inner {
    fn wake(&mut self, key: WaiterKey, wake: Wake) {
        self.queue.remove(key);
        if let Some(sender) = self.senders.remove(&key) {
            // A waiter that gave up has dropped its side.
            let _gone = sender.send(wake);
        }
    }
}

impl WaitQueue {
    /// Creates a room for `bound` requests of each model.
    pub fn new(bound: usize) -> Self {
        let queue = Queue::new(bound);
        Self { inner: Mutex::new(Inner { queue, senders: BTreeMap::new(), stopping: false }) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a replica may have room; `expected` is the least time that this can take.
    ///
    /// # Errors
    ///
    /// Says why the request must be refused instead.
    pub fn wait(
        &self,
        now: Duration,
        waiter: Waiter,
        expected: Duration,
    ) -> Result<(), QueueRefusal> {
        let bound = waiter.deadline.saturating_sub(now);
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
        let woken = receiver.recv_timeout(bound);
        if let Ok(wake) = woken {
            return wake;
        }
        let mut inner = self.inner();
        inner.senders.remove(&key);
        if inner.queue.remove(key) {
            return Err(QueueRefusal::Expired);
        }
        // It got its turn at the very moment of its deadline.
        receiver.try_recv().unwrap_or(Err(QueueRefusal::Expired))
    }

    /// Wakes requests for which `room` gives places, and refuses those whose deadline has come.
    pub fn wake_ready(&self, now: Duration, mut room: impl FnMut(&ModelName) -> u32) {
        let mut inner = self.inner();
        for key in inner.queue.expire(now) {
            inner.wake(key, Err(QueueRefusal::Expired));
        }
        for model in inner.queue.models() {
            for _ in 0..room(&model) {
                let Some(key) = inner.queue.first(&model) else {
                    break;
                };
                inner.wake(key, Ok(()));
            }
        }
    }

    /// Refuses everybody who waits, and everybody who comes.
    pub fn close(&self) {
        let mut inner = self.inner();
        inner.stopping = true;
        for key in inner.queue.keys() {
            inner.wake(key, Err(QueueRefusal::Stopping));
        }
    }

    /// Returns how many requests would get their turn before `waiter`.
    pub fn count_ahead(&self, waiter: &Waiter) -> usize {
        self.inner().queue.ahead(waiter)
    }

    /// Returns whether requests wait for `model`; a newcomer must not overtake them.
    pub fn has_waiters(&self, model: &str) -> bool {
        self.inner().queue.first(model).is_some()
    }

    /// Returns what to tell the lease holders.
    pub fn demand(&self) -> Vec<WaitingRequests> {
        self.inner().queue.demand()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.inner().senders.len()
    }

    /// Returns whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
