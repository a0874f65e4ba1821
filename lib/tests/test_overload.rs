//! A queue under overload, in virtual time: which requests are served and when others are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymux_lib::queue::EnqueueResult;
use comfreymux_lib::queue::Queue;
use comfreymux_lib::queue::QueueRefusal;
use comfreymux_lib::queue::Waiter;
use comfreymux_lib::queue::WaiterKey;
use comfreymux_lib::wait_estimator::WaitEstimator;

const CONCURRENCY: usize = 8;
const RUN_TIME: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(5);
const HIGH_PRIORITY: u8 = 9;

#[derive(Default)]
struct Tally {
    offered: u32,
    served: u32,
    refused_at_once: u32,
    expired: u32,
    high_priority_refused: u32,
    /// Refused requests that were retried at the time their refusal gave.
    retried: u32,
    /// Retried requests that were served.
    retries_served: u32,
}

/// A request, and whether it is the retry of a refused one.
#[derive(Clone, Copy)]
struct OfferedRequest {
    priority: u8,
    is_retry: bool,
}

/// One replica that runs up to eight requests of one second each.
struct Replica {
    now: Duration,
    queue: Queue,
    wait_estimator: WaitEstimator,
    running: Vec<Duration>,
    waiting: BTreeMap<WaiterKey, OfferedRequest>,
    /// Priorities of refused requests, by the time at which they are retried.
    pending_retries: BTreeMap<(Duration, u32), u8>,
    tally: Tally,
}

impl Replica {
    fn new() -> Self {
        Self {
            now: Duration::ZERO,
            queue: Queue::new(256),
            wait_estimator: WaitEstimator::default(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            pending_retries: BTreeMap::new(),
            tally: Tally::default(),
        }
    }

    /// Submits `rate` requests per second until `end`; every fifth has the high priority.
    fn offer(&mut self, rate: u32, end: Duration) {
        let mut next = self.now;
        while self.now < end {
            self.serve();
            while next <= self.now {
                next += Duration::from_secs(1) / rate;
                self.tally.offered += 1;
                let is_high_priority = self.tally.offered.is_multiple_of(5);
                let priority = if is_high_priority { HIGH_PRIORITY } else { 1 };
                self.submit(OfferedRequest { priority, is_retry: false });
            }
            while let Some(first) =
                self.pending_retries.first_entry().filter(|e| e.key().0 <= self.now)
            {
                let priority = first.remove();
                self.tally.retried += 1;
                self.submit(OfferedRequest { priority, is_retry: true });
            }
            self.now += STEP;
        }
    }

    fn serve(&mut self) {
        let now = self.now;
        self.running.retain(|end| *end > now);
        while let Some(key) = self.queue.first("m").filter(|_| self.running.len() < CONCURRENCY) {
            self.queue.remove(key);
            let request = self.waiting.remove(&key).unwrap();
            self.wait_estimator.record_dequeue(now, &"m".into(), request.priority);
            self.running.push(now + RUN_TIME);
            self.tally.served += 1;
            self.tally.retries_served += u32::from(request.is_retry);
        }
        for key in self.queue.expire(now) {
            self.tally.expired += 1;
            let request = self.waiting.remove(&key).unwrap();
            self.tally.high_priority_refused += u32::from(request.priority == HIGH_PRIORITY);
        }
    }

    fn submit(&mut self, request: OfferedRequest) {
        let OfferedRequest { priority, is_retry } = request;
        let waiter = Waiter { model: "m".into(), priority, deadline: self.now + DEADLINE };
        let ahead = self.queue.ahead(&waiter);
        let expected = self.wait_estimator.expected_wait(self.now, "m", priority, ahead);
        let refused = match self.queue.enqueue(self.now, waiter, expected) {
            EnqueueResult::Queued(key, displaced) => {
                self.waiting.insert(key, request);
                displaced.and_then(|key| self.waiting.remove(&key))
            }
            EnqueueResult::Refused(refusal) => {
                assert_ne!(refusal, QueueRefusal::Expired);
                Some(OfferedRequest { priority, is_retry })
            }
        };
        let Some(refused) = refused else {
            return;
        };
        self.tally.refused_at_once += 1;
        self.tally.high_priority_refused += u32::from(refused.priority == HIGH_PRIORITY);
        if !refused.is_retry {
            let delay = self.wait_estimator.retry_after(self.now, "m", priority, expected);
            let at = self.now + delay.max(Duration::from_secs(1));
            self.pending_retries.insert((at, self.tally.refused_at_once), refused.priority);
        }
    }
}

#[test]
fn twice_offered() {
    // Twice the capacity of a replica is offered for two minutes, and each refused request is
    // retried once. The replica works at 95 % of its capacity or better, no high-priority request
    // is refused, and refusals are immediate: at most one in twenty comes only at the deadline.
    let mut replica = Replica::new();
    replica.offer(2 * CONCURRENCY as u32, Duration::from_mins(2));
    let tally = replica.tally;
    let capacity = 120 * CONCURRENCY as u32;
    assert!(tally.served >= capacity * 95 / 100, "served {} of {capacity}", tally.served);
    assert_eq!(tally.high_priority_refused, 0);
    let refused = tally.refused_at_once + tally.expired;
    assert!(
        refused > 0 && tally.expired * 20 <= refused,
        "{} of {refused} refusals came at the deadline",
        tally.expired
    );
}

#[test]
fn come_back() {
    // A burst of twice the capacity lasts 20 s; then half the capacity is offered. Refused requests
    // are retried at the given time. Most must then be served, or the given retry time is wrong.
    let mut replica = Replica::new();
    replica.offer(2 * CONCURRENCY as u32, Duration::from_secs(20));
    replica.offer(CONCURRENCY as u32 / 2, Duration::from_mins(1));
    let Tally { retried, retries_served, .. } = replica.tally;
    assert!(retried > 50, "only {retried} requests were retried");
    assert!(retries_served * 2 > retried, "served {retries_served} of {retried} retries");
}
