//! The queue of waiting requests: its order, its limit and its refusals.

use std::time::Duration;

use comfreymux_lib::demand::Demand;
use comfreymux_lib::demand::WaitingRequests;
use comfreymux_lib::queue::EnqueueResult;
use comfreymux_lib::queue::Queue;
use comfreymux_lib::queue::QueueRefusal;
use comfreymux_lib::queue::Waiter;
use comfreymux_lib::queue::WaiterKey;
use comfreymux_lib::wait_queue::WaitQueue;
use proptest::prelude::*;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn waiter(priority: u8, deadline: u64) -> Waiter {
    Waiter { model: "m".into(), priority, deadline: seconds(deadline) }
}

fn enqueue_waiter(queue: &mut Queue, priority: u8, deadline: u64) -> WaiterKey {
    match queue.enqueue(seconds(0), waiter(priority, deadline), Duration::ZERO) {
        EnqueueResult::Queued(key, None) => key,
        other => panic!("{other:?}"),
    }
}

#[test]
fn urgent_first() {
    let mut queue = Queue::new(9);
    let late = enqueue_waiter(&mut queue, 5, 30);
    let soon = enqueue_waiter(&mut queue, 5, 10);
    let high_priority = enqueue_waiter(&mut queue, 9, 60);
    for expected in [high_priority, soon, late] {
        assert_eq!(queue.first("m"), Some(expected));
        assert!(queue.remove(expected));
    }
    assert_eq!(queue.first("m"), None);
}

#[test]
fn valuable_displaces() {
    // The queue is full of low-priority requests. A high-priority request displaces the one with
    // the latest deadline; another low-priority request is refused.
    let mut queue = Queue::new(2);
    enqueue_waiter(&mut queue, 1, 10);
    let least = enqueue_waiter(&mut queue, 1, 20);
    let result = queue.enqueue(seconds(0), waiter(1, 5), Duration::ZERO);
    assert!(matches!(result, EnqueueResult::Refused(QueueRefusal::Full)));
    let result = queue.enqueue(seconds(0), waiter(9, 60), Duration::ZERO);
    assert!(matches!(result, EnqueueResult::Queued(_, Some(key)) if key == least));
}

#[test]
fn hopeless_refused() {
    let mut queue = Queue::new(2);
    let result = queue.enqueue(seconds(1), waiter(5, 3), seconds(4));
    assert!(matches!(result, EnqueueResult::Refused(QueueRefusal::TooLate)));
}

#[test]
fn deadline_refused() {
    let mut queue = Queue::new(4);
    let soon = enqueue_waiter(&mut queue, 5, 10);
    let later = enqueue_waiter(&mut queue, 5, 20);
    assert_eq!(queue.expire(seconds(10)), [soon]);
    assert_eq!(queue.first("m"), Some(later));
}

#[test]
fn stop_refuses() {
    // A daemon stops while requests wait. All of them are refused at once, and so are later ones.
    let queue = std::sync::Arc::new(WaitQueue::new(9));
    let waiting = std::sync::Arc::clone(&queue);
    let thread =
        std::thread::spawn(move || waiting.wait(seconds(0), waiter(5, 30), Duration::ZERO));
    while queue.is_empty() {
        std::thread::yield_now();
    }
    queue.close();
    assert_eq!(thread.join().unwrap(), Err(QueueRefusal::Stopping));
    assert_eq!(queue.wait(seconds(0), waiter(5, 30), Duration::ZERO), Err(QueueRefusal::Stopping));
}

#[test]
fn demand_kept() {
    // Reports of waiting requests can be lost: a report that is not repeated counts for a limited
    // time and then expires. The age of the demand counts from the first report.
    let mut demand = Demand::default();
    let waiting = [WaitingRequests { model: "m".into(), count: 2, weight: 10 }];
    demand.update(seconds(1), &"d1".into(), &waiting);
    demand.update(seconds(2), &"d1".into(), &waiting);
    demand.update(seconds(2), &"d2".into(), &waiting);
    let total = demand.total("m").unwrap();
    assert_eq!((total.count, total.weight, total.since), (4, 20, seconds(1)));
    demand.update(seconds(3), &"d2".into(), &[]);
    assert_eq!(demand.total("m").unwrap().count, 2);
    demand.expire(seconds(6));
    assert!(demand.total("m").is_none());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn nobody_lost(steps in prop::collection::vec((0_u8..4, 0_u8..5, 1_u64..50), 1..120)) {
        // Each request is served, refused or still waiting, and the queue never exceeds its limit.
        let mut queue = Queue::new(4);
        let (mut now, mut waiting, mut finished) = (seconds(0), Vec::new(), 0);
        let mut submitted = 0;
        for (step, priority, time) in steps {
            match step {
                0 | 1 => {
                    submitted += 1;
                    let deadline = now.as_secs() + time;
                    match queue.enqueue(now, waiter(priority, deadline), Duration::ZERO) {
                        EnqueueResult::Queued(key, displaced) => {
                            waiting.push(key);
                            if let Some(displaced) = displaced {
                                waiting.retain(|k| *k != displaced);
                                finished += 1;
                            }
                        }
                        EnqueueResult::Refused(_) => finished += 1,
                    }
                }
                2 => {
                    if let Some(key) = queue.first("m") {
                        prop_assert!(queue.remove(key));
                        waiting.retain(|k| *k != key);
                        finished += 1;
                    }
                }
                _ => {
                    now += seconds(time);
                    for key in queue.expire(now) {
                        waiting.retain(|k| *k != key);
                        finished += 1;
                    }
                }
            }
            prop_assert!(queue.keys().len() <= 4);
            prop_assert_eq!(queue.keys().len(), waiting.len());
            prop_assert_eq!(submitted, waiting.len() + finished);
        }
    }
}
