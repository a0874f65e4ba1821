//! The order in which requests get tokens of a workspace that asks for more than its quota.
//!
//! Load: a workspace asks for five times its quota for some seconds. Two of ten requests could wait for eight seconds, the
//! others for a few tenths. Callers need those that can wait to be served once there are tokens, and the others to be
//! granted or refused at once.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::quota_queue::QuotaQueue;
use comfreymux_lib::cluster::quota_queue::Supply;
use comfreymux_lib::cluster::quota_queue::Waiting;
use rstest::rstest;

const NOW: Moment = Duration::from_secs(100);
const SUPPLY: Supply = Supply { level: 0.0, rate: 1000.0, is_ample: false };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waiting(id: u32, tokens: u64, due_ms: u64) -> Waiting {
    Waiting {
        key: (1, id),
        needed: tokens as f64,
        tokens,
        reply_to: None,
        due: NOW + ms(due_ms),
        heard_at: NOW + ms(due_ms),
        since: NOW,
    }
}

fn queue_of(list: &[Waiting]) -> QuotaQueue {
    let mut queue = QuotaQueue::default();
    for entry in list {
        queue.push(*entry);
    }
    queue
}

/// Pops what is granted until `until`, a bucket that holds what the rate yields, in steps of 10 ms.
fn granted(queue: &mut QuotaQueue, until_ms: u64) -> Vec<(u32, u64)> {
    let mut level = 0.0;
    let mut list = Vec::new();
    for at in (10..=until_ms).step_by(10) {
        level += SUPPLY.rate * 0.01;
        let supply = Supply { level, ..SUPPLY };
        while let Some(next) = queue.pop(level, supply, NOW + ms(at)) {
            level -= next.needed;
            list.push((next.key.1, at));
        }
    }
    list
}

/// Guards against tokens going to requests in the order of arrival: one that is due soon would be late though another
/// one could wait.
#[test]
fn due_first() {
    let mut queue = queue_of(&[waiting(1, 500, 8000), waiting(2, 200, 300), waiting(3, 300, 800)]);
    let ids: Vec<u32> = granted(&mut queue, 2000).into_iter().map(|(id, _)| id).collect();
    assert_eq!(ids, [2, 3, 1]);
}

/// Guards against a request being accepted that cannot get its tokens in time, which would be held to its deadline.
#[rstest]
#[case::alone(&[], 900, 1000, true)]
#[case::too_large(&[], 1100, 1000, false)]
#[case::behind_others(&[(500, 400)], 600, 1000, false)]
#[case::before_others(&[(500, 4000)], 600, 1000, true)]
fn hopeless_refused(
    #[case] others: &[(u64, u64)],
    #[case] tokens: u64,
    #[case] due_ms: u64,
    #[case] fits: bool,
) {
    let list: Vec<_> = others.iter().map(|(tokens, due)| waiting(1, *tokens, *due)).collect();
    let queue = queue_of(&list);
    assert_eq!(queue.fits(tokens as f64, NOW + ms(due_ms), SUPPLY, NOW), fits);
}

/// Guards against a new request with an early deadline making an accepted one late.
#[test]
fn accepted_kept() {
    let mut queue = queue_of(&[waiting(1, 1000, 1000)]);
    assert!(!queue.fits(100.0, NOW + ms(200), SUPPLY, NOW));
    assert!(!queue.overtake(100.0, NOW, SUPPLY, NOW));
}

/// Guards against a debt of the bucket being left out, which late reports of other homes cause.
#[test]
fn debt_counted() {
    let queue = QuotaQueue::default();
    let supply = Supply { level: -500.0, ..SUPPLY };
    assert!(!queue.fits(600.0, NOW + ms(1000), supply, NOW));
    assert!(queue.fits(400.0, NOW + ms(1000), supply, NOW));
}

/// Guards against homes that all see the same bucket granting its tokens several times over: each has a part of the rate.
#[test]
fn paced() {
    let list: Vec<_> = (0..20).map(|id| waiting(id, 100, 8000)).collect();
    let mut queue = queue_of(&list);
    let supply = Supply { level: 1e6, ..SUPPLY };
    let mut count = 0;
    for at in (10..=1000).step_by(10) {
        while queue.pop(1e6, supply, NOW + ms(at)).is_some() {
            count += 1;
        }
    }
    assert!((9..=10).contains(&count), "{count} of 100 tokens in a second of 1000");
}

/// Guards against callers being held while the rate falls: those that cannot be served any more are refused at once, and
/// the others keep their places.
#[test]
fn rate_falls() {
    let mut queue =
        queue_of(&[waiting(1, 400, 1000), waiting(2, 400, 1000), waiting(3, 400, 4000)]);
    let slow = Supply { rate: 500.0, ..SUPPLY };
    let hopeless = queue.remove_hopeless(slow, NOW);
    assert_eq!(hopeless.iter().map(|entry| entry.key.1).collect::<Vec<_>>(), [2]);
    assert_eq!(queue.len(), 2);
}

/// Guards against tokens being kept for requests whose daemon is gone or cut off.
#[test]
fn daemon_gone() {
    let gone = Waiting { heard_at: NOW, ..waiting(1, 400, 8000) };
    let mut queue = queue_of(&[gone, waiting(2, 400, 8000)]);
    assert!(queue.remove_hopeless(SUPPLY, NOW + ms(3000)).is_empty(), "nobody is there to be told");
    assert_eq!(queue.len(), 1);
    assert!(queue.renew((1, 2), NOW + ms(3000)) && !queue.renew((1, 1), NOW + ms(3000)));
}

/// Guards against tokens being granted to a request whose caller left.
#[test]
fn caller_left() {
    let mut queue = queue_of(&[waiting(1, 400, 8000)]);
    assert!(queue.remove((1, 1)) && !queue.remove((1, 1)));
    assert!(granted(&mut queue, 1000).is_empty());
}
