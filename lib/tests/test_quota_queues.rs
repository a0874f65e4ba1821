//! How the tokens of a quota are divided among requests that can wait and those that cannot.
//!
//! Load: a workspace asks for several times its quota. Operators pay for both kinds of requests, so neither may get less
//! than the part that corresponds to its demand, and what one leaves goes to the other.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::quota_queue::Supply;
use comfreymux_lib::cluster::quota_queue::Waiting;
use comfreymux_lib::cluster::quota_queues::Decision;
use comfreymux_lib::cluster::quota_queues::QuotaQueues;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const START: Moment = Duration::from_secs(100);
const RATE: f64 = 1000.0;
const TOKENS: u64 = 10;
const STEP: Duration = Duration::from_millis(10);
const PATIENT_WAIT: Duration = Duration::from_secs(8);
const URGENT_WAIT: Duration = Duration::from_millis(100);

fn request(id: u32, now: Moment, wait: Duration) -> Waiting {
    Waiting {
        key: (1, id),
        needed: TOKENS as f64,
        tokens: TOKENS,
        reply_to: None,
        due: now + wait,
        heard_at: now + wait,
        since: now,
    }
}

/// Numbers of requests that were asked for and got their tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: u32,
    granted: u32,
}

/// Plays a demand of patient and urgent requests, in requests per 10 ms, for `time`, after which nothing is asked for nine
/// seconds. Returns the counts of both.
fn play(patient: u32, urgent: u32, time: Duration) -> (Count, Count) {
    let mut queues = QuotaQueues::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut level, mut id, mut now) = (0.0, 0, START);
    let mut counts = [Count::default(); 2];
    while now < START + time + Duration::from_secs(9) {
        now += STEP;
        level += RATE * STEP.as_secs_f64();
        let supply = Supply { level, rate: RATE, is_ample: level > RATE / 4.0 };
        while let Some(next) = queues.pop(level, Supply { level, ..supply }, now) {
            level -= next.needed;
            counts[usize::from(next.due < next.since + PATIENT_WAIT)].granted += 1;
        }
        queues.remove_hopeless(supply, now);
        if now > START + time {
            continue;
        }
        let mut kinds = [vec![0; patient as usize], vec![1; urgent as usize]].concat();
        // Callers come in any order.
        kinds.shuffle(&mut rng);
        for kind in kinds {
            id += 1;
            counts[kind].asked += 1;
            let ask = request(id, now, [PATIENT_WAIT, URGENT_WAIT][kind]);
            if queues.offer(ask, level, Supply { level, ..supply }, now) == Decision::Granted {
                level -= TOKENS as f64;
                counts[kind].granted += 1;
            }
        }
    }
    (counts[0], counts[1])
}

/// Guards against requests that can wait taking the tokens of those that cannot, and the reverse, for as long as too much
/// is asked for.
#[rstest]
#[case::few_patient(1, 4)]
#[case::many_patient(4, 1)]
#[case::equal(3, 3)]
fn parts_kept(#[case] patient: u32, #[case] urgent: u32) {
    let time = Duration::from_secs(20);
    let (waiting, others) = play(patient, urgent, time);
    let all = RATE * time.as_secs_f64() / TOKENS as f64;
    let part = f64::from(urgent) / f64::from(patient + urgent);
    let granted = f64::from(others.granted);
    assert!(granted >= 0.9 * part * all, "{granted} of {} that cannot wait", all * part);
    let granted = f64::from(waiting.granted);
    assert!(granted >= 0.9 * (1.0 - part) * all, "{granted} of {}", all * (1.0 - part));
}

/// Guards against requests that can wait being refused though the demand falls before they are late.
#[test]
fn rest_used() {
    let (waiting, _) = play(1, 4, Duration::from_secs(5));
    assert!(waiting.granted * 100 >= waiting.asked * 95, "{waiting:?}");
}

/// Guards against tokens being left over while one kind of requests could use them.
#[rstest]
#[case::only_patient(2, 0)]
#[case::only_urgent(0, 2)]
fn alone_served(#[case] patient: u32, #[case] urgent: u32) {
    let time = Duration::from_secs(20);
    let (waiting, others) = play(patient, urgent, time);
    let all = RATE * time.as_secs_f64() / TOKENS as f64;
    let granted = f64::from(waiting.granted + others.granted);
    assert!(granted >= 0.95 * all, "{granted} of {all}");
}

/// Guards against waits without need: what the bucket holds is granted at once.
#[test]
fn nothing_delayed() {
    let mut queues = QuotaQueues::default();
    let supply = Supply { level: 500.0, rate: RATE, is_ample: false };
    for wait in [PATIENT_WAIT, URGENT_WAIT, Duration::ZERO] {
        let decision = queues.offer(request(1, START, wait), 500.0, supply, START);
        assert_eq!(decision, Decision::Granted);
    }
}
