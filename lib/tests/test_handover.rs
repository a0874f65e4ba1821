//! What a new lease holder may order where engines do not check fencing numbers.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::placement::entries::LeaseEntry;
use comfreymux_lib::placement::lease_state::LEASE_TTL;
use comfreymux_lib::placement::lease_state::LeaseState;
use comfreymux_lib::placement::lease_state::LeaseStep;
use comfreymux_lib::placement::recent_orders::EngineKey;
use rstest::rstest;

const APART: Duration = Duration::from_secs(3);
const ORDERED: EngineKey = 1;
const OTHER: EngineKey = 2;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

/// Daemons before one feed of the lease, which answers at once.
#[derive(Debug, Default)]
struct Fleet {
    newest: Option<LeaseEntry>,
    end: u64,
}

impl Fleet {
    fn daemon(process: u64, fenced: bool) -> LeaseState {
        LeaseState::new(format!("d{process}").into(), process, fenced, APART, ms(0))
    }

    fn settle(&mut self, lease: &mut LeaseState, now: Moment) {
        loop {
            match lease.next_step(now, None) {
                LeaseStep::Sleep(_) => return,
                LeaseStep::Read => lease.on_read(now, self.newest.clone(), self.end),
                LeaseStep::Append(at, _) if at != self.end => lease.on_conflict(),
                LeaseStep::Append(_, entry) => {
                    let offset = self.append(entry);
                    lease.on_appended(now, now, offset);
                }
            }
        }
    }

    fn append(&mut self, entry: LeaseEntry) -> u64 {
        self.newest = Some(entry);
        self.end += 1;
        self.end - 1
    }

    /// Lets a holder begin a change at an engine.
    fn change(&mut self, lease: &mut LeaseState, engine: EngineKey, now: Moment) {
        let fence = lease.held_fence().expect("it holds the lease");
        lease.begin_orders(fence, engine, now);
        self.settle(lease, now);
    }

    /// Returns when a daemon may first order an engine, looking every 50 ms.
    fn first_order(&mut self, lease: &mut LeaseState, engine: EngineKey, from: u64) -> Moment {
        let first = (from..from + 20_000).step_by(50).map(ms).find(|now| {
            self.settle(lease, *now);
            if lease.held_fence().is_none() {
                return false;
            }
            self.change(lease, engine, *now);
            lease.fence_for(engine, *now).is_some()
        });
        first.expect("it orders at last")
    }
}

/// Callers of cold models are late for five seconds each time that the holder is lost: its successor left all engines
/// alone for three seconds, though the last one had ordered few of them. It serves callers from the others at once.
#[rstest]
#[case::ordered(ORDERED, ms(1_800) + APART)]
#[case::other(OTHER, ms(1_800))]
fn others_free(#[case] engine: EngineKey, #[case] least: Duration) {
    let mut fleet = Fleet::default();
    let (mut a, mut b) = (Fleet::daemon(1, false), Fleet::daemon(2, false));
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED, ms(100));
    let first = fleet.first_order(&mut b, engine, 150);
    assert!(first >= least && first < least + ms(400), "{first:?}");
}

/// The last holder had ordered an engine two seconds before it stopped. The engine needs rest for one second more,
/// and no longer.
#[test]
fn age_counts() {
    let mut fleet = Fleet::default();
    let (mut a, mut b) = (Fleet::daemon(1, false), Fleet::daemon(2, false));
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED, ms(100));
    a.end_orders(1, ORDERED, ms(200));
    for now in (250..=2_200).step_by(50) {
        fleet.settle(&mut a, ms(now));
    }
    let (_, entry) = a.release(ms(2_200)).expect("held");
    fleet.append(entry);
    let first = fleet.first_order(&mut b, ORDERED, 2_250);
    assert!(first >= ms(200) + APART && first < ms(700) + APART, "{first:?}");
}

/// Two holders die one after the other. The third leaves alone what the first had ordered: the second's first record
/// hands it on.
#[test]
fn inherited_twice() {
    let mut fleet = Fleet::default();
    let (mut a, mut b, mut c) =
        (Fleet::daemon(1, false), Fleet::daemon(2, false), Fleet::daemon(3, false));
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED, ms(100));
    let (_, entry) = a.release(ms(200)).expect("held");
    fleet.append(entry);
    fleet.settle(&mut b, ms(250));
    let (_, entry) = b.release(ms(300)).expect("taken over");
    fleet.append(entry);
    let first = fleet.first_order(&mut c, ORDERED, 350);
    assert!(first >= ms(200) + APART, "{first:?}");
}

/// A holder orders an engine before the record that lists it is in the store, and its host is lost. The successor knows
/// nothing of the order and follows it within a moment.
#[test]
fn listed_first() {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, false);
    fleet.settle(&mut a, ms(0));
    assert!(a.begin_orders(1, ORDERED, ms(100)));
    assert_eq!(a.fence_for(ORDERED, ms(100)), None);
    fleet.settle(&mut a, ms(100));
    assert_eq!(a.fence_for(ORDERED, ms(100)), Some(1));
    assert_eq!(a.fence_for(OTHER, ms(100)), None);
}

/// The record that lists an engine no more gets no answer, though it landed. The holder begins another change at the
/// engine: its successor would not know of it.
#[test]
fn doubtful_unlists() {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, false);
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED, ms(100));
    a.end_orders(1, ORDERED, ms(200));
    let LeaseStep::Append(_, entry) = a.next_step(ms(700), None) else {
        panic!("a renewal was due")
    };
    fleet.append(entry);
    a.on_unknown_outcome(ms(700), ms(800));
    a.begin_orders(1, ORDERED, ms(900));
    assert_eq!(a.fence_for(ORDERED, ms(900)), None);
    fleet.settle(&mut a, ms(1_200));
    assert_eq!(a.fence_for(ORDERED, ms(1_200)), Some(1));
}

/// The lease is given up, and the store's answer is slow: another daemon holds it already. No order leaves meanwhile.
#[test]
fn leaving_silent() {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, false);
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED, ms(100));
    a.release(ms(200)).expect("held");
    assert_eq!(a.fence_for(ORDERED, ms(200)), None);
    assert!(
        matches!(a.next_step(ms(900), None), LeaseStep::Sleep(_)),
        "a renewal would come first"
    );
    a.on_release_failed();
    assert_eq!(a.fence_for(ORDERED, ms(300)), Some(1));
}

/// A renewal is on its way when the holder gives the lease up, and comes first. An engine whose change began in between is in
/// no record of the feed: ordered all the same, it would get the successor's orders a moment later.
#[test]
fn release_unlists() {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, false);
    fleet.settle(&mut a, ms(0));
    let LeaseStep::Append(_, renewal) = a.next_step(ms(600), None) else {
        panic!("a renewal was due")
    };
    a.begin_orders(1, ORDERED, ms(601));
    a.release(ms(602)).expect("held");
    let offset = fleet.append(renewal);
    a.on_appended(ms(600), ms(603), offset);
    a.on_release_failed();
    assert_eq!(a.fence_for(ORDERED, ms(604)), None);
    fleet.settle(&mut a, ms(610));
    assert_eq!(a.fence_for(ORDERED, ms(610)), Some(1));
}

/// A daemon of an older version held the lease: its records say nothing of orders, so all engines are left alone.
#[test]
fn unsaid_awaited() {
    let mut fleet = Fleet::default();
    let (mut a, mut b) = (Fleet::daemon(1, false), Fleet::daemon(2, false));
    fleet.settle(&mut a, ms(0));
    fleet.newest = fleet.newest.map(|entry| LeaseEntry { orders: None, ..entry });
    let first = fleet.first_order(&mut b, OTHER, 50);
    assert!(first >= ms(1_600) + APART, "{first:?}");
}

/// Engines that check fencing numbers need no lists: no record is written for an order, and nobody waits.
#[test]
fn fenced_unlisted() {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, true);
    fleet.settle(&mut a, ms(0));
    assert!(!a.begin_orders(1, ORDERED, ms(100)));
    assert_eq!(a.fence_for(ORDERED, ms(100)), Some(1));
    assert!(matches!(a.next_step(ms(100), None), LeaseStep::Sleep(_)));
}

/// All daemons lose power and start again two seconds later. Each waited until the last holder's lease had surely ended,
/// though the one at the holder's address knows that it has: callers of cold models waited on.
#[rstest]
#[case::same_host(8_001, ms(2_100))]
#[case::other_host(8_002, ms(2_100) + LEASE_TTL)]
fn power_returns(#[case] port: u16, #[case] least: Duration) {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, false);
    a.set_address(([10, 0, 0, 1], 8_001).into(), ms(0));
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED, ms(100));
    let mut again = Fleet::daemon(9, false);
    again.set_address(([10, 0, 0, 1], port).into(), ms(2_100));
    let first = fleet.first_order(&mut again, OTHER, 2_100);
    assert!(first >= least && first < least + ms(400), "{first:?}");
    assert_eq!(again.fence_for(ORDERED, ms(2_100) + APART), None);
}

/// Hundreds of engines are ordered at once. A record that lists them all would be too long to write for each order: it
/// lists none, and a successor leaves all alone.
#[test]
fn many_unlisted() {
    let mut fleet = Fleet::default();
    let (mut a, mut b) = (Fleet::daemon(1, false), Fleet::daemon(2, false));
    fleet.settle(&mut a, ms(0));
    for engine in 100..1_000 {
        a.begin_orders(1, engine, ms(100));
    }
    fleet.settle(&mut a, ms(100));
    assert!((100..1_000).all(|engine| a.fence_for(engine, ms(100)).is_some()));
    let first = fleet.first_order(&mut b, OTHER, 150);
    assert!(first >= ms(1_700) + APART, "{first:?}");
}
