//! Tests the delays before bids for the placement lease.

use std::time::Duration;

use comfreymux_lib::placement::bid_delay::Bidders;
use rstest::rstest;

/// Guards against a small host acquiring the lease before any large one: after a data centre was cut off, a small
/// host of 277 drew the shortest delay, ahead of 15 large ones. Its link could not carry a holder's digests to 294
/// daemons, and nothing was loaded for seven seconds.
#[rstest]
#[case::few(8, 4)]
#[case::many(83, 20)]
#[case::hundreds(295, 18)]
#[case::all_large(400, 400)]
fn large_first(#[case] daemons: usize, #[case] large: usize) {
    let bidders = Bidders { daemons, large };
    let last_large = bidders.bid_delay(false, 1.0);
    let first_small = bidders.bid_delay(true, 0.0);
    let answer = Duration::from_millis(100);
    assert!(last_large + answer < first_small, "{last_large:?}, {first_small:?}");
}

/// Delays are short in a small fleet, and failed bids stay few in a large one.
#[test]
fn bids_spread() {
    let few = Bidders { daemons: 6, large: 6 };
    assert_eq!(few.bid_delay(false, 0.5), Duration::from_millis(125));
    let none_large = Bidders { daemons: 295, large: 0 };
    let between = none_large.bid_delay(true, 0.51).saturating_sub(none_large.bid_delay(true, 0.5));
    assert!(
        between > Duration::from_millis(18),
        "three daemons would bid within one call to the store: {between:?}"
    );
}
