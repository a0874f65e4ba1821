//! More than the capacity offered, in virtual time: what is served, and who is refused when.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymux_lib::queue::EnqueueResult;
use comfreymux_lib::queue::Queue;
use comfreymux_lib::queue::QueueRefusal;
use comfreymux_lib::queue::Waiter;
use comfreymux_lib::queue::WaiterKey;
use comfreymux_lib::wait_estimator::WaitEstimator;

const LIMIT: usize = 8;
const RUN: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(5);
const VALUABLE: u8 = 9;

#[derive(Default)]
struct Tally {
    offered: u32,
    served: u32,
    at_once: u32,
    late: u32,
    valuable_refused: u32,
    /// Refused callers that came back when they were told to.
    returned: u32,
    /// Those of them that were served.
    returned_served: u32,
}

/// A request, and whether its caller was refused before.
#[derive(Clone, Copy)]
struct Asked {
    priority: u8,
    again: bool,
}

/// One replica with room for eight requests of a second each.
struct Replica {
    now: Duration,
    queue: Queue,
    wait_estimator: WaitEstimator,
    running: Vec<Duration>,
    waiting: BTreeMap<WaiterKey, Asked>,
    /// Refused callers, by the time they were told to come back at.
    returning: BTreeMap<(Duration, u32), u8>,
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
            returning: BTreeMap::new(),
            tally: Tally::default(),
        }
    }

    /// Offers `rate` requests a second until `end`; every fifth is valuable.
    fn offer(&mut self, rate: u32, end: Duration) {
        let mut next = self.now;
        while self.now < end {
            self.serve();
            while next <= self.now {
                next += Duration::from_secs(1) / rate;
                self.tally.offered += 1;
                let is_valuable = self.tally.offered.is_multiple_of(5);
                let priority = if is_valuable { VALUABLE } else { 1 };
                self.ask(Asked { priority, again: false });
            }
            while let Some(first) = self.returning.first_entry().filter(|e| e.key().0 <= self.now) {
                let priority = first.remove();
                self.tally.returned += 1;
                self.ask(Asked { priority, again: true });
            }
            self.now += STEP;
        }
    }

    fn serve(&mut self) {
        let now = self.now;
        self.running.retain(|end| *end > now);
        while let Some(key) = self.queue.first("m").filter(|_| self.running.len() < LIMIT) {
            self.queue.remove(key);
            let asked = self.waiting.remove(&key).unwrap();
            self.wait_estimator.record_dequeue(now, &"m".into(), asked.priority);
            self.running.push(now + RUN);
            self.tally.served += 1;
            self.tally.returned_served += u32::from(asked.again);
        }
        for key in self.queue.expire(now) {
            self.tally.late += 1;
            let asked = self.waiting.remove(&key).unwrap();
            self.tally.valuable_refused += u32::from(asked.priority == VALUABLE);
        }
    }

    fn ask(&mut self, asked: Asked) {
        let Asked { priority, again } = asked;
        let waiter = Waiter { model: "m".into(), priority, deadline: self.now + DEADLINE };
        let ahead = self.queue.ahead(&waiter);
        let expected = self.wait_estimator.expected_wait(self.now, "m", priority, ahead);
        let refused = match self.queue.enqueue(self.now, waiter, expected) {
            EnqueueResult::Queued(key, displaced) => {
                self.waiting.insert(key, asked);
                displaced.and_then(|key| self.waiting.remove(&key))
            }
            EnqueueResult::Refused(refusal) => {
                assert_ne!(refusal, QueueRefusal::Expired);
                Some(Asked { priority, again })
            }
        };
        let Some(refused) = refused else {
            return;
        };
        self.tally.at_once += 1;
        self.tally.valuable_refused += u32::from(refused.priority == VALUABLE);
        if !refused.again {
            let back = self.wait_estimator.retry_after(self.now, "m", priority, expected);
            let at = self.now + back.max(Duration::from_secs(1));
            self.returning.insert((at, self.tally.at_once), refused.priority);
        }
    }
}

#[test]
fn twice_offered() {
    // Twice what a replica can do is offered for two minutes, and who is refused comes back once. It
    // works at 95 % of its capacity or better, no valuable request is refused, and who is refused
    // learns it at once, not at its deadline: at most one in twenty finds out late.
    let mut replica = Replica::new();
    replica.offer(2 * LIMIT as u32, Duration::from_mins(2));
    let tally = replica.tally;
    let capacity = 120 * LIMIT as u32;
    assert!(tally.served >= capacity * 95 / 100, "served {} of {capacity}", tally.served);
    assert_eq!(tally.valuable_refused, 0);
    let refused = tally.at_once + tally.late;
    assert!(refused > 0 && tally.late * 20 <= refused, "late {} of {refused}", tally.late);
}

#[test]
fn come_back() {
    // A burst of twice the capacity lasts 20 s; then half of it is offered. Who was refused comes back
    // when told to. Most of them are served then, or the time they were told is not honest.
    let mut replica = Replica::new();
    replica.offer(2 * LIMIT as u32, Duration::from_secs(20));
    replica.offer(LIMIT as u32 / 2, Duration::from_mins(1));
    let Tally { returned, returned_served, .. } = replica.tally;
    assert!(returned > 50, "{returned} came back");
    assert!(returned_served * 2 > returned, "served {returned_served} of {returned}");
}
