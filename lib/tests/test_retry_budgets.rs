//! Retry budgets, which bound the retries of all daemons together.

use std::time::Duration;

use comfreymux_lib::cluster::retry_budgets::BudgetLimits;
use comfreymux_lib::cluster::retry_budgets::RetryBudgets;
use smol_str::SmolStr;

const LIMITS: BudgetLimits =
    BudgetLimits { window: Duration::from_secs(10), ratio: 0.2, slack: 50.0 };

fn take_all(budget: &mut RetryBudgets, at: Duration, daemons: usize) -> usize {
    let service = SmolStr::new("draft");
    (0..1000).take_while(|_| budget.take_retry(&service, at, daemons)).count()
}

/// Guards against a failing service that gets retries from all daemons at once: each daemon alone stays within the
/// limit, but together they exceed it several times.
#[test]
fn slack_shared() {
    let mut all = 0;
    for _ in 0..8 {
        all += take_all(&mut RetryBudgets::new(LIMITS), Duration::from_secs(1), 8);
    }
    assert!(all as f64 <= LIMITS.slack, "{all} retries, with a slack of {}", LIMITS.slack);
    assert!(all > 0);
}

/// A request adds half of the ratio, of which nine tenths are used, to the retries of this window and the next one.
#[test]
fn ratio_added() {
    let service = SmolStr::new("draft");
    let mut budget = RetryBudgets::new(LIMITS);
    let idle = take_all(&mut budget, Duration::from_secs(1), 4);
    for _ in 0..100 {
        budget.record_first(&service, Duration::from_secs(2));
    }
    assert_eq!(take_all(&mut budget, Duration::from_secs(2), 4), 9);
    assert!(idle < 10);
    assert_eq!(take_all(&mut budget, Duration::from_secs(11), 4), 0);
    assert_eq!(take_all(&mut budget, Duration::from_millis(12_001), 4), idle);
}

/// Recent retries count until they leave the window, regardless of how it is divided internally.
#[test]
fn window_slides() {
    let mut budget = RetryBudgets::new(LIMITS);
    let first = take_all(&mut budget, Duration::from_secs(1), 1);
    assert!(first > 0);
    assert_eq!(take_all(&mut budget, Duration::from_secs(10), 1), 0);
    assert_eq!(take_all(&mut budget, Duration::from_secs(12), 1), first);
}

/// A failing service must not use up the retry budget of another one.
#[test]
fn services_apart() {
    let mut budget = RetryBudgets::new(LIMITS);
    take_all(&mut budget, Duration::from_secs(1), 1);
    assert!(budget.take_retry(&SmolStr::new("booking"), Duration::from_secs(1), 1));
}
