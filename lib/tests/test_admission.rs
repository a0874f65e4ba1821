//! Admission under overload: which requests are queued, run later, or refused.

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
/// Callers time out after this long without a response.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3200);
const PROMPT_TIME: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Waiter {
    arrived: Duration,
    is_late: bool,
}

/// An engine that runs `SLOTS` requests at once and queues the others, late ones last.
#[derive(Debug, Default)]
struct Engine {
    ends: Vec<Duration>,
    queue: Vec<Waiter>,
}

#[derive(Debug, Default)]
struct Tally {
    on_time: u32,
    late: u32,
    refused: u32,
    timed_out: u32,
}

impl Engine {
    fn input(&self) -> AdmissionInput {
        let before = (self.ends.len() + self.queue.len() + 1).saturating_sub(SLOTS);
        AdmissionInput {
            queue_wait: RUN * before as u32 / SLOTS as u32,
            goal_left: GOAL,
            timeout_left: CALLER_TIMEOUT,
        }
    }

    fn step(&mut self, now: Duration, rng: &mut ChaCha8Rng, tally: &mut Tally) {
        self.ends.retain(|end| now < *end);
        let before = self.queue.len();
        self.queue.retain(|w| now < w.arrived + CALLER_TIMEOUT);
        tally.timed_out += (before - self.queue.len()) as u32;
        self.queue.sort_by_key(|w| (w.is_late, w.arrived));
        while self.ends.len() < SLOTS && !self.queue.is_empty() {
            let waiter = self.queue.remove(0);
            let run = RUN.mul_f64(rng.random_range(0.2..1.8));
            self.ends.push(now + run);
            if now + PROMPT_TIME <= waiter.arrived + GOAL {
                tally.on_time += 1;
            } else {
                tally.late += 1;
            }
        }
    }
}

/// Simulates 20 s of requests for one engine's model, at `load` times its capacity.
fn simulate(load: f64, admit: impl Fn(AdmissionInput) -> Admission) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut tally = Tally::default();
    let mut engine = Engine::default();
    let per_second = SLOTS as f64 / RUN.as_secs_f64() * load;
    for ms in 0..20_000_u64 {
        let now = Duration::from_millis(ms);
        if rng.random::<f64>() < per_second / 1000.0 {
            let waiter = |is_late| Waiter { arrived: now, is_late };
            match admit(engine.input()) {
                Admission::Normal => engine.queue.push(waiter(false)),
                Admission::Late => engine.queue.push(waiter(true)),
                Admission::Refused(_) => tally.refused += 1,
            }
        }
        engine.step(now, &mut rng, &mut tally);
    }
    tally
}

/// Without admission control, demand even slightly above an engine's capacity grows the queue until callers time out:
/// nearly all responses miss their goal, and the callers that time out have waited for nothing.
#[rstest]
#[case::a_little(1.1, 0.75)]
#[case::by_half(1.5, 0.55)]
fn queue_short(#[case] load: f64, #[case] least: f64) {
    let joined = simulate(load, |_| Admission::Normal);
    let served = f64::from(joined.on_time + joined.late + joined.refused + joined.timed_out);
    assert!(
        f64::from(joined.on_time) / served < 0.45,
        "{joined:?}: the test must overload the engine"
    );
    let tally = simulate(load, AdmissionInput::admit);
    let total = f64::from(tally.on_time + tally.late + tally.refused + tally.timed_out);
    assert!(f64::from(tally.on_time) / total >= least, "{tally:?}");
    assert_eq!(tally.timed_out, 0, "queued requests must not time out: {tally:?}");
}

/// No request is refused, and hardly any is late, while the engine has free slots.
#[test]
fn room_used() {
    let tally = simulate(0.6, AdmissionInput::admit);
    assert_eq!((tally.refused, tally.timed_out), (0, 0), "{tally:?}");
    assert!(tally.late * 50 <= tally.on_time, "{tally:?}");
}

/// A request that is already late, because its model had to be loaded, is sent to an idle engine at normal priority,
/// and queued behind others at a busy one.
#[test]
fn late_unqueued() {
    let input = AdmissionInput {
        queue_wait: Duration::ZERO,
        goal_left: Duration::ZERO,
        timeout_left: CALLER_TIMEOUT,
    };
    assert_eq!(input.admit(), Admission::Normal);
    let input = AdmissionInput { queue_wait: Duration::from_millis(500), ..input };
    assert_eq!(input.admit(), Admission::Late);
}

/// The retry time of a refused caller is when the queue will be short enough for it, not later.
#[test]
fn return_told() {
    let queue_wait = Duration::from_secs(3);
    let input = AdmissionInput { queue_wait, goal_left: GOAL, timeout_left: CALLER_TIMEOUT };
    assert_eq!(input.admit(), Admission::Refused(queue_wait.saturating_sub(GOAL)));
}
