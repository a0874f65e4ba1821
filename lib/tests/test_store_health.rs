//! Whether the store answers, feed by feed.

use std::time::Duration;

use comfreymux_lib::cluster::store_health::StoreHealth;
use comfreymux_lib::store::Feed;

const SECOND: Duration = Duration::from_secs(1);

/// One feed stays without an answer for seconds while the store answers on another. The log showed the
/// loss of the second feed only, and nobody saw that the configuration was old.
#[test]
fn feeds_apart() {
    let mut contact = StoreHealth::default();
    for feed in [Feed::Configuration, Feed::Servers] {
        assert_eq!(contact.record_answer(feed, SECOND, SECOND), None);
        assert!(contact.record_failure(feed, true));
        assert!(!contact.record_failure(feed, true));
    }
    assert_eq!(contact.record_answer(Feed::Servers, SECOND * 2, SECOND * 3), Some(SECOND * 2));
    assert_eq!(contact.record_answer(Feed::Servers, SECOND * 4, SECOND * 4), None);
    assert_eq!(contact.silence(Feed::Configuration, SECOND * 8), SECOND * 7);
    assert_eq!(contact.silence(Feed::Servers, SECOND * 8), SECOND * 4);
    assert!(!contact.record_failure(Feed::Configuration, true));
}

#[test]
fn never_heard() {
    assert_eq!(StoreHealth::default().silence(Feed::Leases, SECOND), SECOND);
}

/// Each feed took its own time limit to find out that its call had met a silence. The answer to a call that was sent
/// later tells it of all; a refusal does not, as the store answers.
#[test]
fn silence_ends() {
    let mut contact = StoreHealth::default();
    contact.record_answer(Feed::Configuration, SECOND, SECOND);
    contact.record_failure(Feed::Leases, false);
    contact.record_answer(Feed::Leases, SECOND * 2, SECOND * 3);
    assert_eq!(contact.recovered_at(), Duration::ZERO);
    contact.record_failure(Feed::Servers, true);
    assert_eq!(contact.recovered_at(), Duration::ZERO);
    contact.record_answer(Feed::Servers, SECOND * 5, SECOND * 6);
    assert_eq!(contact.recovered_at(), SECOND * 5);
    contact.record_answer(Feed::Servers, SECOND * 7, SECOND * 8);
    assert_eq!(contact.recovered_at(), SECOND * 5);
}
