//! Whether the store answers, feed by feed.

use std::time::Duration;

use comfreymux_lib::picture::contact::Contact;
use comfreymux_lib::store::Feed;

const SECOND: Duration = Duration::from_secs(1);

/// One feed stays without an answer for seconds while the store answers on another. The log showed the
/// loss of the second feed only, and nobody saw that the configuration was old.
#[test]
fn feeds_apart() {
    let mut contact = Contact::default();
    for feed in [Feed::Configuration, Feed::Servers] {
        assert_eq!(contact.answered(feed, SECOND), None);
        assert!(contact.failed(feed));
        assert!(!contact.failed(feed));
    }
    assert_eq!(contact.answered(Feed::Servers, SECOND * 3), Some(SECOND * 2));
    assert_eq!(contact.answered(Feed::Servers, SECOND * 4), None);
    assert_eq!(contact.silence(Feed::Configuration, SECOND * 8), SECOND * 7);
    assert_eq!(contact.silence(Feed::Servers, SECOND * 8), SECOND * 4);
    assert!(!contact.failed(Feed::Configuration));
}

#[test]
fn never_heard() {
    assert_eq!(Contact::default().silence(Feed::Leases, SECOND), SECOND);
}
