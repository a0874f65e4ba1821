//! Which connections of callers end to make room.

use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;

use comfreymux_lib::serve::caller_connections::CallerConnection;
use comfreymux_lib::serve::caller_connections::CallerConnections;
use comfreymux_lib::serve::caller_connections::ConnectionLimits;
use comfreymux_lib::serve::caller_connections::EndedConnections;
use proptest::prelude::*;

const LIMITS: ConnectionLimits = ConnectionLimits { open: 4, unfinished: 3 };

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn is_evicted(connection: &CallerConnection) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    pin!(connection.evicted()).poll(&mut context).is_ready()
}

/// Guards against callers that never finish and keep others out.
#[test]
fn oldest_ends() {
    let list = CallerConnections::new(LIMITS);
    let held: Vec<_> = (0..3).map(|n| list.admit(at(n)).expect("room")).collect();
    held[0].begin_request(at(10));
    let young = list.admit(at(11)).expect("room");
    let evicted: Vec<_> = held.iter().map(is_evicted).collect();
    assert_eq!(evicted, [false, true, false], "the second is the oldest in its phase");
    assert!(!is_evicted(&young));
    assert_eq!(list.counts(), (3, 0));
}

/// Guards against a request in progress that is cut for a caller who has sent nothing.
#[test]
fn serving_kept() {
    let list = CallerConnections::new(LIMITS);
    let held: Vec<_> =
        (0..4).map(|n| list.admit(at(n)).inspect(|c| c.begin_serving(at(n)))).collect();
    assert!(list.admit(at(9)).is_none(), "all are serving");
    assert!(held.iter().flatten().all(|connection| !is_evicted(connection)));
    held[2].as_ref().expect("a connection").end_request(at(10));
    assert!(list.admit(at(11)).is_some());
    assert!(is_evicted(held[2].as_ref().expect("a connection")));
}

/// Guards against a body that is cut though it comes as fast as it may, or instead of a slower one.
#[test]
fn stalled_only() {
    let list = CallerConnections::new(LIMITS);
    let held: Vec<_> = (0..3).map(|_| list.admit(at(0)).expect("room")).collect();
    held[0].begin_request(at(500));
    held[1].begin_request(at(300));
    assert!(!list.evict_stalled(at(3300), at(3000)), "none takes longer");
    assert!(list.evict_stalled(at(3301), at(3000)));
    let evicted: Vec<_> = held.iter().map(is_evicted).collect();
    assert_eq!(evicted, [false, true, false], "the third has begun no body");
}

/// Guards against an evicted connection that counts, or that a later phase brings back.
#[test]
fn evicted_uncounted() {
    let list = CallerConnections::new(ConnectionLimits { open: 1, unfinished: 1 });
    let first = list.admit(at(0)).expect("room");
    let second = list.admit(at(1)).expect("room");
    first.begin_serving(at(2));
    assert_eq!(list.counts(), (1, 0));
    drop(first);
    assert_eq!(list.counts(), (1, 0));
    drop(second);
    assert_eq!(list.counts(), (0, 0));
    assert_eq!(list.ended(), EndedConnections { evicted: 1, refused: 0 });
}

/// Guards against a log line for each connection of a crowd.
#[test]
fn lines_bounded() {
    let list = CallerConnections::new(ConnectionLimits { open: 1, unfinished: 1 });
    let _held: Vec<_> = (0..5).map(|n| list.admit(at(n))).collect();
    let first = list.take_unlogged(at(5));
    assert_eq!(first, Some(EndedConnections { evicted: 4, refused: 0 }));
    let _next = list.admit(at(6));
    assert_eq!(list.take_unlogged(at(7)), None, "within a second");
    assert_eq!(list.take_unlogged(at(1005)), Some(EndedConnections { evicted: 1, refused: 0 }));
    assert_eq!(list.take_unlogged(at(3000)), None, "nothing has ended since");
}

proptest! {
    /// Guards against more connections than there may be, in whatever order callers come, send and leave.
    #[test]
    fn limits_kept(steps in prop::collection::vec((0_usize..16, 0_u8..5), 1..300)) {
        let limits = ConnectionLimits { open: 8, unfinished: 5 };
        let list = CallerConnections::new(limits);
        let mut held: Vec<Option<Rc<CallerConnection>>> = vec![None; 16];
        for (time, (place, action)) in (0_u64..).zip(steps) {
            let now = at(time);
            match (action, &held[place]) {
                (0, _) => held[place] = None,
                (1, Some(connection)) => connection.begin_request(now),
                (2, Some(connection)) => connection.begin_serving(now),
                // A response ends a request that was being served.
                (3, Some(connection)) => connection.end_request(now),
                _ => held[place] = list.admit(now).map(Rc::new),
            }
            let (open, serving) = list.counts();
            prop_assert!(open <= limits.open);
            prop_assert!(serving <= open);
        }
        drop(held);
        prop_assert_eq!(list.counts(), (0, 0));
    }
}
