//! Twice the capacity offered, in virtual time: what is served, and who is refused when.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymux_lib::pace::Pace;
use comfreymux_lib::queue::Entered;
use comfreymux_lib::queue::Queue;
use comfreymux_lib::queue::Refusal;
use comfreymux_lib::queue::Waiter;
use comfreymux_lib::queue::WaiterKey;

const LIMIT: usize = 8;
const RUN: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(5);
const TIME: Duration = Duration::from_mins(2);
const VALUABLE: u8 = 9;

#[derive(Default)]
struct Tally {
    offered: u32,
    served: u32,
    at_once: u32,
    late: u32,
    valuable_refused: u32,
}

/// One replica with room for eight, and requests of a second each at twice that rate; every fifth is
/// valuable.
fn overload() -> Tally {
    let (mut queue, mut pace) = (Queue::new(256), Pace::default());
    let (mut running, mut tally) = (Vec::<Duration>::new(), Tally::default());
    let mut waiting = BTreeMap::<WaiterKey, u8>::new();
    let mut now = Duration::ZERO;
    let gap = RUN / (2 * LIMIT as u32);
    let mut next = Duration::ZERO;
    while now < TIME {
        running.retain(|end| *end > now);
        while let Some(key) = queue.first("m").filter(|_| running.len() < LIMIT) {
            queue.leave(key);
            let priority = waiting.remove(&key).unwrap();
            pace.turned(now, &"m".into(), priority);
            running.push(now + RUN);
            tally.served += 1;
        }
        for key in queue.expire(now) {
            tally.late += 1;
            tally.valuable_refused += u32::from(waiting.remove(&key) == Some(VALUABLE));
        }
        while next <= now {
            next += gap;
            tally.offered += 1;
            let priority = if tally.offered.is_multiple_of(5) { VALUABLE } else { 1 };
            let waiter = Waiter { model: "m".into(), priority, deadline: now + DEADLINE };
            let expected = pace.expected(now, "m", priority, queue.ahead(&waiter));
            match queue.enter(now, waiter, expected) {
                Entered::Waits(key, displaced) => {
                    waiting.insert(key, priority);
                    if let Some(displaced) = displaced {
                        tally.at_once += 1;
                        tally.valuable_refused +=
                            u32::from(waiting.remove(&displaced) == Some(VALUABLE));
                    }
                }
                Entered::Refused(refusal) => {
                    assert_ne!(refusal, Refusal::Expired);
                    tally.at_once += 1;
                    tally.valuable_refused += u32::from(priority == VALUABLE);
                }
            }
        }
        now += STEP;
    }
    tally
}

#[test]
fn twice_offered() {
    // Twice what a replica can do is offered for two minutes. It works at 95 % of its capacity or
    // better, no valuable request is refused, and who is refused learns it at once, not at its
    // deadline: at most one in twenty finds out late.
    let tally = overload();
    let capacity = TIME.as_secs() as u32 * LIMIT as u32;
    assert!(tally.served >= capacity * 95 / 100, "served {} of {capacity}", tally.served);
    assert_eq!(tally.valuable_refused, 0);
    let refused = tally.at_once + tally.late;
    assert!(refused > 0 && tally.late * 20 <= refused, "late {} of {refused}", tally.late);
}
