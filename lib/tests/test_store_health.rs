//! Whether the store responds, tracked per feed.

use std::time::Duration;

use comfreymux_lib::cluster::store_health::StoreHealth;
use comfreymux_lib::store::Feed;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against an unnoticed stale configuration: calls to one feed go unanswered for seconds while the store
/// responds on another, and the log shows only the loss of the second feed.
#[test]
fn feeds_apart() {
    let mut health = StoreHealth::default();
    for feed in [Feed::Configuration, Feed::Servers] {
        assert_eq!(health.record_answer(feed, SECOND, SECOND), None);
        assert!(health.record_failure(feed, true));
        assert!(!health.record_failure(feed, true));
    }
    assert_eq!(health.record_answer(Feed::Servers, SECOND * 2, SECOND * 3), Some(SECOND * 2));
    assert_eq!(health.record_answer(Feed::Servers, SECOND * 4, SECOND * 4), None);
    assert_eq!(health.time_since_answer(Feed::Configuration, SECOND * 8), SECOND * 7);
    assert_eq!(health.time_since_answer(Feed::Servers, SECOND * 8), SECOND * 4);
    assert!(!health.record_failure(Feed::Configuration, true));
}

#[test]
fn never_heard() {
    assert_eq!(StoreHealth::default().time_since_answer(Feed::Leases, SECOND), SECOND);
}

/// Guards against a delay after an outage: each feed waited for its own timeout before it detected that its call had
/// been lost. The response to a call that was sent later shows that for all feeds. A refusal does not start an outage,
/// since the store responds.
#[test]
fn silence_ends() {
    let mut health = StoreHealth::default();
    health.record_answer(Feed::Configuration, SECOND, SECOND);
    health.record_failure(Feed::Leases, false);
    health.record_answer(Feed::Leases, SECOND * 2, SECOND * 3);
    assert_eq!(health.recovered_at(), Duration::ZERO);
    health.record_failure(Feed::Servers, true);
    assert_eq!(health.recovered_at(), Duration::ZERO);
    health.record_answer(Feed::Servers, SECOND * 5, SECOND * 6);
    assert_eq!(health.recovered_at(), SECOND * 5);
    health.record_answer(Feed::Servers, SECOND * 7, SECOND * 8);
    assert_eq!(health.recovered_at(), SECOND * 5);
}
