//! The lease of the one daemon that orders: never two at once, and never an old one after a new.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::peer_table::PeerLease;
use comfreymux_lib::placement::entries::LeaseEntry;
use comfreymux_lib::placement::lease_state::LEASE_TTL;
use comfreymux_lib::placement::lease_state::LeaseState;
use comfreymux_lib::placement::lease_state::LeaseStep;
use comfreymux_lib::placement::recent_orders::EngineKey;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const APART: Duration = Duration::from_secs(3);
/// An engine.
const ENGINE: EngineKey = 7;
/// Engines of a random course.
const ENGINES: usize = 3;
/// Time between looks at who may order, within a random course.
const LOOK: u64 = 25;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn daemon(process: u64, fenced: bool) -> LeaseState {
    LeaseState::new(format!("d{process}").into(), process, fenced, APART, ms(process * 20))
}

/// The store's feed of the lease: the newest record and the end.
#[derive(Debug, Default)]
struct Feed {
    newest: Option<LeaseEntry>,
    end: u64,
}

impl Feed {
    /// Another program writes over the record.
    fn overwrite(&mut self) {
        self.newest = None;
        self.end += 1;
    }

    /// Another program writes a record under another key.
    fn grow(&mut self) {
        self.end += 1;
    }

    fn append(&mut self, at: u64, entry: LeaseEntry) -> Option<u64> {
        if at != self.end {
            return None;
        }
        self.newest = Some(entry);
        self.end += 1;
        Some(at)
    }

    /// Carries out a step at once; returns whether there was one.
    fn step(&mut self, lease: &mut LeaseState, now: Moment) -> bool {
        self.hearing(lease, now, None)
    }

    /// The same at a daemon that hears another's claim.
    fn hearing(&mut self, lease: &mut LeaseState, now: Moment, heard: Option<PeerLease>) -> bool {
        match lease.next_step(now, heard) {
            LeaseStep::Sleep(_) => false,
            LeaseStep::Read => {
                lease.on_read(now, self.newest.clone(), self.end);
                true
            }
            LeaseStep::Append(at, entry) => {
                match self.append(at, entry) {
                    Some(offset) => lease.on_appended(now, now, offset),
                    None => lease.on_conflict(),
                }
                true
            }
        }
    }

    fn settle(&mut self, lease: &mut LeaseState, now: Moment) {
        while self.step(lease, now) {}
    }
}

#[test]
fn first_wins() {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, true), daemon(2, true));
    feed.settle(&mut a, ms(100));
    feed.settle(&mut b, ms(100));
    assert_eq!(a.fence(ms(100)), Some(1));
    assert_eq!(b.fence(ms(100)), None);
}

/// The holder dies. Another must wait until its last renewal has surely ended.
#[test]
fn dead_replaced() {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, true), daemon(2, true));
    feed.settle(&mut a, ms(100));
    for t in (200..9_000).step_by(50) {
        feed.settle(&mut b, ms(t));
        if b.fence(ms(t)).is_some() {
            assert_eq!(a.fence(ms(t)), None, "at {t} ms both order");
            assert!(t < 6_000, "it took {t} ms");
            return;
        }
    }
    panic!("nobody took over");
}

/// Callers of cold models are refused for five seconds after the holder's host is lost. The other
/// daemons had looked at the lease long before and waited out its validity; their bid then failed at
/// an end of the feed that had grown since, and they waited it out a second time.
#[rstest]
#[case::fenced(true, 2_100)]
#[case::unfenced(false, 5_100)]
fn successor_prompt(#[case] fenced: bool, #[case] limit: u64) {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, fenced), daemon(2, fenced));
    feed.settle(&mut a, ms(0));
    feed.settle(&mut b, ms(0));
    let death = 10_050;
    let mut heard = None;
    for t in (50..20_000).step_by(50) {
        if t <= death {
            // It tells its claim every 300 ms, and with each renewal.
            let renewed = feed.step(&mut a, ms(t));
            if renewed || t % 300 == 0 {
                heard = a.claim(ms(t)).map(|claim| (t, claim));
            }
        }
        let fresh = heard.filter(|(at, _)| t <= at + 900).map(|(at, claim)| PeerLease {
            fence: claim.fence,
            until: ms(at) + claim.valid_for,
            end: claim.end,
        });
        while feed.hearing(&mut b, ms(t), fresh) {}
        if b.fence(ms(t)).is_some() {
            assert_eq!(a.fence(ms(t)), None, "at {t} ms both order");
            assert!(t < death + limit, "it took {} ms", t - death);
            return;
        }
    }
    panic!("nobody took over");
}

/// An engine that does not check fencing numbers sees orders of two holders within three seconds.
#[test]
fn unfenced_apart() {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, false), daemon(2, false));
    feed.settle(&mut a, ms(100));
    a.begin_orders(1, ENGINE, ms(100));
    feed.settle(&mut a, ms(110));
    let last = (110..9_000).step_by(10).filter(|t| a.fence_for(ENGINE, ms(*t)).is_some()).max();
    let mut first = None;
    for t in (200..20_000).step_by(50) {
        feed.settle(&mut b, ms(t));
        if let Some(fence) = b.held_fence() {
            b.begin_orders(fence, ENGINE, ms(t));
            feed.settle(&mut b, ms(t));
        }
        if first.is_none() && b.fence_for(ENGINE, ms(t)).is_some() {
            first = Some(t);
        }
    }
    let gap = first.expect("taken over") - last.expect("held once");
    assert!(ms(gap) >= APART, "{gap} ms between two holders' orders");
}

/// The host is frozen and wakes after another took over: no order may leave before it asked.
#[test]
fn frozen_wakes() {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, true), daemon(2, true));
    feed.settle(&mut a, ms(100));
    for t in (200..6_000).step_by(50) {
        feed.settle(&mut b, ms(t));
    }
    assert!(b.fence(ms(6_000)).is_some());
    assert_eq!(a.fence(ms(6_000)), None);
    feed.settle(&mut a, ms(6_000));
    assert_eq!(a.fence(ms(6_000)), None);
}

/// The store is away for everybody. Where engines check fences, placement goes on; where they do
/// not, another may take over unseen, so it stops.
#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
fn store_away(#[case] fenced: bool) {
    let mut feed = Feed::default();
    let mut a = daemon(1, fenced);
    feed.settle(&mut a, ms(100));
    for t in (900..8_000).step_by(100) {
        if matches!(a.next_step(ms(t), None), LeaseStep::Append(..)) {
            a.on_store_failure(ms(t));
        }
    }
    assert_eq!(a.fence(ms(8_000)).is_some(), fenced);
}

/// An append without an answer did land: the feed's newest record is the daemon's own, and its time
/// counts from when it was sent.
#[test]
fn answer_lost() {
    let mut feed = Feed::default();
    let mut a = daemon(1, true);
    a.on_read(ms(100), None, 0);
    let LeaseStep::Append(at, entry) = a.next_step(ms(200), None) else { panic!("a bid was due") };
    feed.append(at, entry);
    a.on_unknown_outcome(ms(200), ms(1_200));
    for t in [1_300, 1_600] {
        feed.settle(&mut a, ms(t));
    }
    assert_eq!(a.fence(ms(1_600)), Some(1));
}

/// A killed holder's new process must not take its own old record for a lease.
#[test]
fn own_name() {
    let mut feed = Feed::default();
    let mut a = daemon(1, true);
    feed.settle(&mut a, ms(100));
    let mut again = LeaseState::new("d1".into(), 77, true, APART, ms(0));
    feed.settle(&mut again, ms(200));
    assert_eq!(again.fence(ms(200)), None);
}

/// A planned stop hands the lease on at once.
#[test]
fn released_taken() {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, true), daemon(2, true));
    feed.settle(&mut a, ms(100));
    let (at, entry) = a.release(ms(300)).expect("held");
    feed.append(at, entry);
    a.on_released();
    feed.settle(&mut b, ms(400));
    assert_eq!(b.fence(ms(400)), Some(3));
    assert_eq!(a.fence(ms(400)), None);
}

/// A holder that hears of a later lease stops at once.
#[test]
fn outbid_stops() {
    let mut feed = Feed::default();
    let mut a = daemon(1, true);
    feed.settle(&mut a, ms(100));
    a.next_step(ms(200), Some(PeerLease { fence: 9, until: ms(2_000), end: 9 }));
    assert_eq!(a.fence(ms(200)), None);
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    Lost,
    LostAndUndone,
    Late(u8),
    Refused,
}

fn fate() -> impl Strategy<Value = Fate> {
    (0..10_u8, any::<u8>()).prop_map(|(kind, late)| match kind {
        0..=5 => Fate::Answered,
        6 => Fate::Lost,
        7 => Fate::LostAndUndone,
        8 => Fate::Late(late % 60),
        _ => Fate::Refused,
    })
}

/// What happens next in a random course.
#[derive(Clone, Copy, Debug)]
struct Move {
    /// The daemon that takes its next step.
    who: usize,
    /// Milliseconds before it.
    pause: u64,
    fate: Fate,
    /// Another writer's record: 1 under the key of the lease, 2 under another.
    foreign: u8,
}

/// The orders of a random course: changes under way by daemon and engine, and each engine's last order.
#[derive(Debug, Default)]
struct Course {
    changes: [[Option<u64>; ENGINES]; 3],
    last: [Option<(usize, Moment)>; ENGINES],
    fence: u64,
}

impl Course {
    /// Begins or ends a change at an engine.
    fn turn(&mut self, lease: &mut LeaseState, who: usize, engine: usize, now: Moment) {
        match self.changes[who][engine].take() {
            Some(fence) => lease.end_orders(fence, engine as EngineKey, now),
            None => {
                if let Some(fence) = lease.held_fence() {
                    lease.begin_orders(fence, engine as EngineKey, now);
                    self.changes[who][engine] = Some(fence);
                }
            }
        }
    }

    /// Everybody orders what it may: never two at once, and one engine's orders by two lie apart.
    fn look(&mut self, daemons: &[LeaseState], now: Moment) {
        let holders: Vec<_> =
            daemons.iter().enumerate().filter_map(|(i, d)| Some((i, d.fence(now)?))).collect();
        assert!(holders.len() <= 1, "{holders:?} at {now:?}");
        let Some((who, fence)) = holders.first().copied() else { return };
        assert!(fence >= self.fence, "fence {fence} after {}", self.fence);
        self.fence = fence;
        for engine in 0..ENGINES {
            let may = daemons[who].fence_for(engine as EngineKey, now) == Some(fence);
            if !may || self.changes[who][engine] != Some(fence) {
                continue;
            }
            if let Some((before, at)) = self.last[engine]
                && before != who
            {
                assert!(now >= at + APART, "turns at engine {engine}: {at:?} and {now:?}");
            }
            self.last[engine] = Some((who, now));
        }
    }
}

/// Plays a course without fences; checks that no two daemons hold the lease at once, that one engine's orders by two
/// of them lie as far apart as they must, and that fencing numbers only grow.
fn play(moves: Vec<Move>) {
    let mut feed = Feed::default();
    let mut daemons: Vec<_> = (1..=3).map(|p| daemon(p, false)).collect();
    let mut late: Vec<(Moment, u64, LeaseEntry)> = Vec::new();
    let mut now = ms(0);
    let mut course = Course::default();
    for Move { who, pause, fate, foreign } in moves {
        for wait in (LOOK..pause).step_by(LOOK as usize) {
            course.look(&daemons, now + ms(wait));
        }
        now += ms(pause);
        match foreign {
            1 => feed.overwrite(),
            2 => feed.grow(),
            _ => {}
        }
        late.sort_by_key(|(at, _, _)| *at);
        while late.first().is_some_and(|(at, _, _)| *at <= now) {
            let (_, at, entry) = late.remove(0);
            feed.append(at, entry);
        }
        course.turn(&mut daemons[who], who, pause as usize % ENGINES, now);
        let lease = &mut daemons[who];
        match lease.next_step(now, None) {
            LeaseStep::Sleep(_) => {}
            LeaseStep::Read => match fate {
                Fate::Answered => lease.on_read(now, feed.newest.clone(), feed.end),
                _ => lease.on_store_failure(now),
            },
            LeaseStep::Append(at, entry) => match fate {
                Fate::Answered => match feed.append(at, entry) {
                    Some(offset) => lease.on_appended(now, now, offset),
                    None => lease.on_conflict(),
                },
                Fate::Lost => {
                    feed.append(at, entry);
                    lease.on_unknown_outcome(now, now);
                }
                Fate::LostAndUndone => lease.on_unknown_outcome(now, now),
                Fate::Late(tenths) => {
                    late.push((now + ms(u64::from(tenths) * 100), at, entry));
                    lease.on_unknown_outcome(now, now);
                }
                Fate::Refused => lease.on_store_failure(now),
            },
        }
        course.look(&daemons, now);
    }
    assert!(LEASE_TTL > Duration::ZERO);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), ..Config::default() })]

    /// Three daemons, one feed; calls are answered, lost, refused or carried out seconds later, and
    /// daemons stand still for seconds. Without fences two must never be allowed to order within the
    /// time that must lie between them, and fencing numbers only grow.
    #[test]
    fn never_two(
        moves in prop::collection::vec((0..3_usize, 20..900_u64, fate()), 1..300),
    ) {
        let own = |(who, pause, fate)| Move { who, pause, fate, foreign: 0 };
        play(moves.into_iter().map(own).collect());
    }

    /// The same while another program writes to the feed, over the lease's record too.
    #[test]
    fn never_two_foreign(
        moves in prop::collection::vec((0..3_usize, 20..900_u64, fate(), 0..12_u8), 1..300),
    ) {
        let all = |(who, pause, fate, foreign)| Move { who, pause, fate, foreign };
        play(moves.into_iter().map(all).collect());
    }
}

/// A renewal comes a second late on a slow host. A third of all loads were given up as if the lease
/// were lost, and what was known of demand and engines was thrown away.
#[test]
fn late_renewal() {
    let mut feed = Feed::default();
    let mut a = daemon(1, true);
    feed.settle(&mut a, ms(100));
    assert_eq!(a.fence(ms(3_000)), None);
    assert_eq!(a.held_fence(), Some(1));
    feed.settle(&mut a, ms(3_100));
    assert_eq!(a.fence(ms(3_100)), Some(1));
}

/// Two daemons order at once: another program wrote over the record of the lease, and the second
/// daemon took a feed without a readable record for a lease that nobody has.
#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
fn hidden_kept(#[case] fenced: bool) {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, fenced), daemon(2, fenced));
    feed.settle(&mut a, ms(100));
    for t in (150..30_000).step_by(50) {
        if t % 700 == 0 {
            feed.overwrite();
        }
        feed.settle(&mut b, ms(t));
        feed.settle(&mut a, ms(t));
        assert_eq!((a.fence(ms(t)), b.held_fence()), (Some(1), None), "at {t} ms");
    }
}

/// The holder dies and its record is written over. Another waits as long as for a record that it can
/// read, and where engines do not check fencing numbers its orders lie apart from the last ones.
#[rstest]
#[case::fenced(true, ms(1_600))]
#[case::unfenced(false, APART)]
fn hidden_replaced(#[case] fenced: bool, #[case] least: Duration) {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, fenced), daemon(2, fenced));
    feed.settle(&mut a, ms(100));
    feed.overwrite();
    let taken = (150..20_000).step_by(50).find(|t| {
        feed.settle(&mut b, ms(*t));
        b.fence(ms(*t)).is_some()
    });
    let taken = ms(taken.expect("taken over"));
    assert!(taken >= ms(100) + least, "after {taken:?}");
    assert!(taken < ms(7_000), "after {taken:?}");
}

/// The holder was frozen for so long that another may have taken over, and the record is written over:
/// it must not go on as if the lease were its own.
#[test]
fn hidden_frozen() {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, true), daemon(2, true));
    feed.settle(&mut a, ms(100));
    for t in (200..4_000).step_by(50) {
        feed.settle(&mut b, ms(t));
    }
    assert!(b.fence(ms(4_000)).is_some());
    feed.overwrite();
    feed.settle(&mut a, ms(4_000));
    assert_eq!(a.held_fence(), None);
    feed.settle(&mut b, ms(4_050));
    assert!(b.fence(ms(4_050)).is_some());
}

/// The holder dies while another program writes to the feed under a key of its own, twice a second. Each
/// of its records looked like a renewal, and nobody took over for as long as it wrote.
#[test]
fn busy_feed() {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, true), daemon(2, true));
    feed.settle(&mut a, ms(100));
    let taken = (150..20_000).step_by(50).find(|t| {
        if t % 500 == 0 {
            feed.grow();
        }
        feed.settle(&mut b, ms(*t));
        b.fence(ms(*t)).is_some()
    });
    let taken = taken.expect("taken over");
    assert!((1_700..4_000).contains(&taken), "after {taken} ms");
}

/// The answer to a renewal is lost, and another program's record is the next in the feed: the renewal
/// landed all the same.
#[test]
fn busy_answer() {
    let mut feed = Feed::default();
    let mut a = daemon(1, true);
    a.on_read(ms(100), None, 0);
    let LeaseStep::Append(at, entry) = a.next_step(ms(200), None) else { panic!("a bid was due") };
    feed.append(at, entry);
    a.on_unknown_outcome(ms(200), ms(1_200));
    feed.grow();
    for t in [1_300, 1_600] {
        feed.settle(&mut a, ms(t));
    }
    assert_eq!(a.fence(ms(1_600)), Some(1));
}
