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
    let is_granted = budget.take_retry(&service.into(), &retry, None, daemons);
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

/// A request adds half of the ratio, of which nine tenths are used, to the retries of this window and the next one.
#[test]
fn ratio_added() {
    let service = SmolStr::new("draft");
    let mut budget = budgets();
    let idle = take_all(&mut budget, at(1_000), 4);
    for _ in 0..100 {
        budget.record_first(&service, at(2_000));
    }
    assert_eq!(take_all(&mut budget, at(2_000), 4), 9);
    assert_eq!(idle, 11, "nine tenths of a quarter of the slack");
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
