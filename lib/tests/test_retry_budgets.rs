//! Retry budgets, which bound the retries of all daemons together.

use std::time::Duration;

use comfreymux_lib::cluster::open_send::OpenSend;
use comfreymux_lib::cluster::retry_budgets::BudgetLimits;
use comfreymux_lib::cluster::retry_budgets::RetryBudgets;
use smol_str::SmolStr;

const LIMITS: BudgetLimits =
    BudgetLimits { window: Duration::from_secs(10), ratio: 0.2, slack: 50.0 };

/// Returns the budgets of a process that has run for longer than a window.
fn budgets() -> RetryBudgets {
    RetryBudgets::new(LIMITS, Duration::ZERO)
}

/// Returns a moment at which the process of [`budgets`] has its share of the slack.
const fn at(millis: u64) -> Duration {
    Duration::from_millis(100_000 + millis)
}

/// Takes a retry that arrives at once.
fn take(budget: &mut RetryBudgets, service: &str, at: Duration, daemons: usize) -> bool {
    let retry = OpenSend::begin("s1".into(), at, true);
    let is_granted = budget.take_retry(&service.into(), &retry, None, Some(daemons));
    retry.end(at);
    is_granted
}

fn take_all(budget: &mut RetryBudgets, at: Duration, daemons: usize) -> usize {
    (0..1000).take_while(|_| take(budget, "draft", at, daemons)).count()
}

/// Guards against a failing service that gets retries from all daemons at once: each daemon alone stays within the
/// limit, but together they exceed it several times.
#[test]
fn slack_shared() {
    let mut all = 0;
    for _ in 0..8 {
        all += take_all(&mut budgets(), at(1_000), 8);
    }
    assert!(all as f64 <= LIMITS.slack, "{all} retries, with a slack of {}", LIMITS.slack);
    assert!(all > 0);
}

/// A request adds half of the ratio, of which nineteen twentieths are used, to the retries of this window and the next one.
#[test]
fn ratio_added() {
    let service = SmolStr::new("draft");
    let mut budget = budgets();
    let idle = take_all(&mut budget, at(1_000), 4);
    for _ in 0..100 {
        budget.record_first(&service, at(2_000));
    }
    assert_eq!(take_all(&mut budget, at(2_000), 4), 10);
    assert_eq!(idle, 11, "nineteen twentieths of a quarter of the slack");
    assert_eq!(take_all(&mut budget, at(11_000), 4), 0);
    assert_eq!(take_all(&mut budget, at(12_001), 4), idle);
}

/// Recent retries count until they leave the window, regardless of how it is divided internally.
#[test]
fn window_slides() {
    let mut budget = budgets();
    let first = take_all(&mut budget, at(1_000), 1);
    assert!(first > 0);
    assert_eq!(take_all(&mut budget, at(10_000), 1), 0);
    assert_eq!(take_all(&mut budget, at(12_000), 1), first);
}

/// A failing service must not use up the retry budget of another one.
#[test]
fn services_apart() {
    let mut budget = budgets();
    take_all(&mut budget, at(1_000), 1);
    assert!(take(&mut budget, "booking", at(1_000), 1));
}

/// Guards against a process that is killed again and again, and has its whole share of the slack each time.
#[test]
fn slack_later() {
    let service = SmolStr::new("draft");
    let started = at(0);
    let early = started + LIMITS.window / 2;
    let mut budget = RetryBudgets::new(LIMITS, started);
    assert_eq!(take_all(&mut budget, early, 4), 0);
    for _ in 0..100 {
        budget.record_first(&service, early);
    }
    assert_eq!(take_all(&mut budget, early, 4), 9, "by its own requests");
    assert!(take_all(&mut budget, started + LIMITS.window, 4) > 0, "by the slack");
}

/// Guards against a retry whose server stands still: it must count until a window after its arrival, not after its grant.
#[test]
fn late_counted() {
    let service = SmolStr::new("draft");
    let mut budget = budgets();
    let held_up = OpenSend::begin("s1".into(), at(1_000), true);
    assert!(budget.take_retry(&service, &held_up, None, Some(1)));
    let rest = take_all(&mut budget, at(9_000), 1);
    held_up.end(at(9_000));
    assert_eq!(take_all(&mut budget, at(12_000), 1), 0, "it counts from its arrival on");
    assert_eq!(take_all(&mut budget, at(19_001), 1), rest + 1, "a window after it");
}

/// Guards against a first send that is held up and arrives after its retry: then it is the repeat.
#[test]
fn first_counted() {
    let service = SmolStr::new("draft");
    let mut budget = budgets();
    let first = OpenSend::begin("s1".into(), at(0), false);
    let retry = OpenSend::begin("s2".into(), at(1_000), true);
    assert!(budget.take_retry(&service, &retry, Some(first), Some(1)));
    retry.end(at(1_100));
    assert_eq!(budget.usage(&service, at(2_000)).open, 1);
    budget.record_response(&service, &"s2".into(), at(5_000), at(5_000));
    assert!(budget.has_retry(&service, at(5_000), Some(1)));
    assert_eq!(budget.usage(&service, at(5_000)).open, 1, "another server responded");
    budget.record_response(&service, &"s1".into(), at(500), at(5_500));
    assert!(budget.has_retry(&service, at(5_500), Some(1)));
    assert_eq!(
        budget.usage(&service, at(5_500)).open,
        1,
        "to a request that may have come before it"
    );
    budget.record_response(&service, &"s1".into(), at(5_000), at(6_000));
    assert!(budget.has_retry(&service, at(6_000), Some(1)));
    assert_eq!(budget.usage(&service, at(6_000)).open, 0, "to a later request");
}

/// Guards against a server that never responds again and takes a retry for good.
#[test]
fn silence_ends() {
    let service = SmolStr::new("draft");
    let mut budget = budgets();
    let all = take_all(&mut budgets(), at(1_000), 4);
    let silent = OpenSend::begin("s1".into(), at(1_000), true);
    assert!(budget.take_retry(&service, &silent, None, Some(4)));
    assert_eq!(take_all(&mut budget, at(10_500), 4), all - 1);
    assert_eq!(take_all(&mut budget, at(21_001), 4), all);
}

/// Guards against a daemon that starts cut off from all others and takes the whole slack: they have all of it.
#[test]
fn strangers_unpaid() {
    let service = SmolStr::new("draft");
    let mut budget = budgets();
    assert!(!budget.has_retry(&service, at(1_000), None));
    for _ in 0..100 {
        budget.record_first(&service, at(2_000));
    }
    assert!(budget.has_retry(&service, at(2_000), None), "by its own requests");
    assert!(budget.has_retry(&service, at(60_000), Some(1)), "alone in its fleet");
}
