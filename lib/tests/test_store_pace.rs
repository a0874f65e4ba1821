//! Loads from the weight store: never over their ceiling, and slowed where the store is.

use std::time::Duration;

use comfreymux_lib::place::store_pace::StorePace;

const WINDOW: Duration = Duration::from_secs(5);
const RATE: f64 = 2.0;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(100 + seconds)
}

#[test]
fn ceiling_kept() {
    let mut pace = StorePace::new(Duration::ZERO);
    assert_eq!(pace.room(RATE, WINDOW, at(0)), 10);
    for _ in 0..10 {
        pace.begin(at(1));
    }
    assert_eq!(pace.room(RATE, WINDOW, at(5)), 0);
    assert_eq!(pace.room(RATE, WINDOW, at(7)), 10);
}

/// A holder dies after ordering as much as allowed; its successor knows nothing of that.
#[test]
fn successor_careful() {
    let mut pace = StorePace::new(Duration::ZERO);
    pace.restart(at(0));
    assert_eq!(pace.room(RATE, WINDOW, at(1)), 5);
    assert_eq!(pace.room(RATE, WINDOW, at(6)), 10);
}

/// Four loads at once take four times as long: the store serves one at a time.
#[test]
fn sharing_learned() {
    let mut pace = StorePace::new(Duration::ZERO);
    let alone = Duration::from_secs(6);
    assert!(!pace.learn(Duration::from_secs(7), alone, 4));
    assert_eq!(pace.shared(alone, 4), alone);
    assert!(pace.learn(Duration::from_secs(24), alone, 4));
    assert_eq!(pace.parallel(), 1);
    assert_eq!(pace.shared(alone, 2), alone * 2);
}
