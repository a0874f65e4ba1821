//! Tests which engines a new lease holder may send orders to if engines do not check fencing numbers.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::placement::entries::LeaseEntry;
use comfreymux_lib::placement::lease_state::LEASE_TTL;
use comfreymux_lib::placement::lease_state::LeaseState;
use comfreymux_lib::placement::lease_state::LeaseStep;
use comfreymux_lib::placement::recent_orders::EngineKey;
use rstest::rstest;

const ORDER_GAP: Duration = Duration::from_secs(3);
const ORDERED_ENGINE: EngineKey = 1;
const OTHER_ENGINE: EngineKey = 2;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

/// A feed with the lease's records, to which every append is answered at once.
#[derive(Debug, Default)]
struct Fleet {
    newest: Option<LeaseEntry>,
    end: u64,
}

impl Fleet {
    fn daemon(process: u64, fenced: bool) -> LeaseState {
        LeaseState::new(format!("d{process}").into(), process, fenced, ORDER_GAP, ms(0))
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

    /// Begins a change at an engine as the lease holder.
    fn change(&mut self, lease: &mut LeaseState, engine: EngineKey, now: Moment) {
        let fence = lease.held_fence().expect("it holds the lease");
        lease.begin_orders(fence, engine, now);
        self.settle(lease, now);
    }

    /// Returns when a daemon may first send orders to an engine, checking every 50 ms.
    fn first_order(&mut self, lease: &mut LeaseState, engine: EngineKey, from: u64) -> Moment {
        let first = (from..from + 20_000).step_by(50).map(ms).find(|now| {
            self.settle(lease, *now);
            if lease.held_fence().is_none() {
                return false;
            }
            self.change(lease, engine, *now);
            lease.fence_for(engine, *now).is_some()
        });
        first.expect("the daemon was never allowed to send orders")
    }
}

/// Guards against callers of cold models being late for five seconds whenever the holder fails: its successor left all
/// engines unused for three seconds, though only a few had received orders. It must use the others at once.
#[rstest]
#[case::ordered(ORDERED_ENGINE, ms(1_800) + ORDER_GAP)]
#[case::other(OTHER_ENGINE, ms(1_800))]
fn others_free(#[case] engine: EngineKey, #[case] least: Duration) {
    let mut fleet = Fleet::default();
    let (mut a, mut b) = (Fleet::daemon(1, false), Fleet::daemon(2, false));
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED_ENGINE, ms(100));
    let first = fleet.first_order(&mut b, engine, 150);
    assert!(first >= least && first < least + ms(400), "{first:?}");
}

/// The previous holder's last order to an engine was two seconds before its release: the engine is left unused for one
/// more second, but not longer.
#[test]
fn age_counts() {
    let mut fleet = Fleet::default();
    let (mut a, mut b) = (Fleet::daemon(1, false), Fleet::daemon(2, false));
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED_ENGINE, ms(100));
    a.end_orders(1, ORDERED_ENGINE, ms(200));
    for now in (250..=2_200).step_by(50) {
        fleet.settle(&mut a, ms(now));
    }
    let (_, entry) = a.release(ms(2_200)).expect("held");
    fleet.append(entry);
    let first = fleet.first_order(&mut b, ORDERED_ENGINE, 2_250);
    assert!(first >= ms(200) + ORDER_GAP && first < ms(700) + ORDER_GAP, "{first:?}");
}

/// Two holders release the lease one after the other. The third must know the first one's orders from the second's
/// first record.
#[test]
fn inherited_twice() {
    let mut fleet = Fleet::default();
    let (mut a, mut b, mut c) =
        (Fleet::daemon(1, false), Fleet::daemon(2, false), Fleet::daemon(3, false));
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED_ENGINE, ms(100));
    let (_, entry) = a.release(ms(200)).expect("held");
    fleet.append(entry);
    fleet.settle(&mut b, ms(250));
    let (_, entry) = b.release(ms(300)).expect("taken over");
    fleet.append(entry);
    let first = fleet.first_order(&mut c, ORDERED_ENGINE, 350);
    assert!(first >= ms(200) + ORDER_GAP, "{first:?}");
}

/// Guards against orders to an engine before the record that lists it is stored: if the holder's host failed, its
/// successor would not know of them and send its own a moment later.
#[test]
fn listed_first() {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, false);
    fleet.settle(&mut a, ms(0));
    assert!(a.begin_orders(1, ORDERED_ENGINE, ms(100)));
    assert_eq!(a.fence_for(ORDERED_ENGINE, ms(100)), None);
    fleet.settle(&mut a, ms(100));
    assert_eq!(a.fence_for(ORDERED_ENGINE, ms(100)), Some(1));
    assert_eq!(a.fence_for(OTHER_ENGINE, ms(100)), None);
}

/// The append of a record that no longer lists an engine succeeds without a response. If the holder began another
/// change at the engine, its successor would not know it.
#[test]
fn doubtful_unlists() {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, false);
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED_ENGINE, ms(100));
    a.end_orders(1, ORDERED_ENGINE, ms(200));
    let LeaseStep::Append(_, entry) = a.next_step(ms(700), None) else {
        panic!("a renewal was due")
    };
    fleet.append(entry);
    a.on_unknown_outcome(ms(700), ms(800));
    a.begin_orders(1, ORDERED_ENGINE, ms(900));
    assert_eq!(a.fence_for(ORDERED_ENGINE, ms(900)), None);
    fleet.settle(&mut a, ms(1_200));
    assert_eq!(a.fence_for(ORDERED_ENGINE, ms(1_200)), Some(1));
}

/// The lease is being released, and the store's response is slow: another daemon may already hold it, so no order may
/// be sent meanwhile.
#[test]
fn leaving_silent() {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, false);
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED_ENGINE, ms(100));
    a.release(ms(200)).expect("held");
    assert_eq!(a.fence_for(ORDERED_ENGINE, ms(200)), None);
    assert!(
        matches!(a.next_step(ms(900), None), LeaseStep::Sleep(_)),
        "a renewal would precede the release"
    );
    a.on_release_failed();
    assert_eq!(a.fence_for(ORDERED_ENGINE, ms(300)), Some(1));
}

/// A renewal in flight reaches the store before the release. No record in the feed lists an engine whose change began
/// in between: if it received orders, the successor's orders could follow a moment later.
#[test]
fn release_unlists() {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, false);
    fleet.settle(&mut a, ms(0));
    let LeaseStep::Append(_, renewal) = a.next_step(ms(600), None) else {
        panic!("a renewal was due")
    };
    a.begin_orders(1, ORDERED_ENGINE, ms(601));
    a.release(ms(602)).expect("held");
    let offset = fleet.append(renewal);
    a.on_appended(ms(600), ms(603), offset);
    a.on_release_failed();
    assert_eq!(a.fence_for(ORDERED_ENGINE, ms(604)), None);
    fleet.settle(&mut a, ms(610));
    assert_eq!(a.fence_for(ORDERED_ENGINE, ms(610)), Some(1));
}

/// The lease was held by a daemon of an older version, whose records do not list orders: all engines are left unused.
#[test]
fn unsaid_awaited() {
    let mut fleet = Fleet::default();
    let (mut a, mut b) = (Fleet::daemon(1, false), Fleet::daemon(2, false));
    fleet.settle(&mut a, ms(0));
    fleet.newest = fleet.newest.map(|entry| LeaseEntry { orders: None, ..entry });
    let first = fleet.first_order(&mut b, OTHER_ENGINE, 50);
    assert!(first >= ms(1_600) + ORDER_GAP, "{first:?}");
}

/// Engines that check fencing numbers need no list: orders need no record and do not wait.
#[test]
fn fenced_unlisted() {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, true);
    fleet.settle(&mut a, ms(0));
    assert!(!a.begin_orders(1, ORDERED_ENGINE, ms(100)));
    assert_eq!(a.fence_for(ORDERED_ENGINE, ms(100)), Some(1));
    assert!(matches!(a.next_step(ms(100), None), LeaseStep::Sleep(_)));
}

/// All daemons lose power and restart two seconds later. Each waited until the previous lease had expired, although the
/// one at the holder's address knows that the holder has ended, and callers of cold models waited longer.
#[rstest]
#[case::same_host(8_001, ms(2_100))]
#[case::other_host(8_002, ms(2_100) + LEASE_TTL)]
fn power_returns(#[case] port: u16, #[case] least: Duration) {
    let mut fleet = Fleet::default();
    let mut a = Fleet::daemon(1, false);
    a.set_address(([10, 0, 0, 1], 8_001).into(), ms(0));
    fleet.settle(&mut a, ms(0));
    fleet.change(&mut a, ORDERED_ENGINE, ms(100));
    let mut again = Fleet::daemon(9, false);
    again.set_address(([10, 0, 0, 1], port).into(), ms(2_100));
    let first = fleet.first_order(&mut again, OTHER_ENGINE, 2_100);
    assert!(first >= least && first < least + ms(400), "{first:?}");
    assert_eq!(again.fence_for(ORDERED_ENGINE, ms(2_100) + ORDER_GAP), None);
}

/// Hundreds of engines receive orders at once. A record that lists all of them would be too long to write for each
/// order: it has no list, and a successor leaves all engines unused.
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
    let first = fleet.first_order(&mut b, OTHER_ENGINE, 150);
    assert!(first >= ms(1_700) + ORDER_GAP, "{first:?}");
}
