//! More requests for a model than its engines run: who joins a queue, who comes after, who is refused.

use std::time::Duration;

use comfreymux_lib::serve::admission::Admission;
use comfreymux_lib::serve::admission::AdmissionInput;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SLOTS: usize = 12;
const RUN: Duration = Duration::from_millis(1500);
const GOAL: Duration = Duration::from_millis(800);
/// Callers leave when they have heard nothing for this long.
const PATIENCE: Duration = Duration::from_millis(3200);
const READ: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Waiter {
    arrived: Duration,
    is_late: bool,
}

/// An engine that runs twelve requests at once, and queues others, those that are not late first.
#[derive(Debug, Default)]
struct Engine {
    ends: Vec<Duration>,
    queue: Vec<Waiter>,
}

#[derive(Debug, Default)]
struct Tally {
    punctual: u32,
    late: u32,
    refused: u32,
    left: u32,
}

impl Engine {
    fn outlook(&self) -> AdmissionInput {
        let before = (self.ends.len() + self.queue.len() + 1).saturating_sub(SLOTS);
        AdmissionInput {
            queue_wait: RUN * before as u32 / SLOTS as u32,
            due: GOAL,
            patience: PATIENCE,
        }
    }

    fn step(&mut self, now: Duration, rng: &mut ChaCha8Rng, tally: &mut Tally) {
        self.ends.retain(|end| now < *end);
        let before = self.queue.len();
        self.queue.retain(|w| now < w.arrived + PATIENCE);
        tally.left += (before - self.queue.len()) as u32;
        self.queue.sort_by_key(|w| (w.is_late, w.arrived));
        while self.ends.len() < SLOTS && !self.queue.is_empty() {
            let waiter = self.queue.remove(0);
            let run = RUN.mul_f64(rng.random_range(0.2..1.8));
            self.ends.push(now + run);
            if now + READ <= waiter.arrived + GOAL {
                tally.punctual += 1;
            } else {
                tally.late += 1;
            }
        }
    }
}

/// Twenty seconds of requests for one engine's model, `load` times what it can run.
fn day(load: f64, admit: impl Fn(AdmissionInput) -> Admission) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut tally = Tally::default();
    let mut engine = Engine::default();
    let per_second = SLOTS as f64 / RUN.as_secs_f64() * load;
    for ms in 0..20_000_u64 {
        let now = Duration::from_millis(ms);
        if rng.random::<f64>() < per_second / 1000.0 {
            let waiter = |is_late| Waiter { arrived: now, is_late };
            match admit(engine.outlook()) {
                Admission::Now => engine.queue.push(waiter(false)),
                Admission::Late => engine.queue.push(waiter(true)),
                Admission::Refused(_) => tally.refused += 1,
            }
        }
        engine.step(now, &mut rng, &mut tally);
    }
    tally
}

/// A model is asked for a little more often than its engine can serve it. The queue settles at the length at which
/// callers leave: nearly all are late, and those who leave have waited for nothing.
#[rstest]
#[case::a_little(1.1, 0.75)]
#[case::by_half(1.5, 0.55)]
fn queue_short(#[case] load: f64, #[case] least: f64) {
    let joined = day(load, |_| Admission::Now);
    let served = f64::from(joined.punctual + joined.late + joined.refused + joined.left);
    assert!(f64::from(joined.punctual) / served < 0.45, "{joined:?}: no queue to keep short");
    let tally = day(load, AdmissionInput::admit);
    let asked = f64::from(tally.punctual + tally.late + tally.refused + tally.left);
    assert!(f64::from(tally.punctual) / asked >= least, "{tally:?}");
    assert_eq!(tally.left, 0, "who is refused knows at once: {tally:?}");
}

/// Nobody is turned away or put behind where there is room.
#[test]
fn room_used() {
    let tally = day(0.6, AdmissionInput::admit);
    assert_eq!((tally.refused, tally.left), (0, 0), "{tally:?}");
    assert!(tally.late * 50 <= tally.punctual, "{tally:?}");
}

/// A request that is late already, since its model had to be loaded, goes to an idle engine as any other.
#[test]
fn late_unqueued() {
    let outlook =
        AdmissionInput { queue_wait: Duration::ZERO, due: Duration::ZERO, patience: PATIENCE };
    assert_eq!(outlook.admit(), Admission::Now);
    let outlook = AdmissionInput { queue_wait: Duration::from_millis(500), ..outlook };
    assert_eq!(outlook.admit(), Admission::Late);
}

/// A refused caller is told to come back when the queue is short enough for it, not later.
#[test]
fn return_told() {
    let queue_wait = Duration::from_secs(3);
    let outlook = AdmissionInput { queue_wait, due: GOAL, patience: PATIENCE };
    assert_eq!(outlook.admit(), Admission::Refused(queue_wait.saturating_sub(GOAL)));
}
