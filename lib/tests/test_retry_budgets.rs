//! Repeated sends, bounded over all daemons.

use std::time::Duration;

use comfreymux_lib::cluster::retry_budgets::BudgetLimits;
use comfreymux_lib::cluster::retry_budgets::RetryBudgets;
use smol_str::SmolStr;

const LIMITS: BudgetLimits =
    BudgetLimits { window: Duration::from_secs(10), ratio: 0.2, slack: 50.0 };

fn taken(budget: &mut RetryBudgets, at: Duration, daemons: usize) -> usize {
    let service = SmolStr::new("draft");
    (0..1000).take_while(|_| budget.take_retry(&service, at, daemons)).count()
}

/// A service that fails is hit by repeats of every daemon at once. Each alone keeps the limit, all
/// together exceed it several times.
#[test]
fn slack_shared() {
    let mut all = 0;
    for _ in 0..8 {
        all += taken(&mut RetryBudgets::new(LIMITS), Duration::from_secs(1), 8);
    }
    assert!(all as f64 <= LIMITS.slack, "{all} repeats of a slack of {}", LIMITS.slack);
    assert!(all > 0);
}

#[test]
fn ratio_added() {
    let service = SmolStr::new("draft");
    let mut budget = RetryBudgets::new(LIMITS);
    let idle = taken(&mut budget, Duration::from_secs(1), 4);
    for _ in 0..100 {
        budget.record_first(&service, Duration::from_secs(2));
    }
    assert_eq!(taken(&mut budget, Duration::from_secs(2), 4), 20);
    assert!(idle < 10);
}

/// Repeats of the last seconds count until they leave the window, however it is cut.
#[test]
fn window_slides() {
    let mut budget = RetryBudgets::new(LIMITS);
    let first = taken(&mut budget, Duration::from_secs(1), 1);
    assert!(first > 0);
    assert_eq!(taken(&mut budget, Duration::from_secs(10), 1), 0);
    assert_eq!(taken(&mut budget, Duration::from_secs(12), 1), first);
}

/// A service with trouble must not use up what another may repeat.
#[test]
fn services_apart() {
    let mut budget = RetryBudgets::new(LIMITS);
    taken(&mut budget, Duration::from_secs(1), 1);
    assert!(budget.take_retry(&SmolStr::new("booking"), Duration::from_secs(1), 1));
}
