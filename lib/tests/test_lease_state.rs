//! Tests that at most one daemon holds the lease and that fencing numbers never decrease.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::peer_table::PeerLease;
use comfreymux_lib::feed_offset::era_of;
use comfreymux_lib::feed_offset::feed_offset;
use comfreymux_lib::feed_offset::offset_in_era;
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

const ORDER_GAP: Duration = Duration::from_secs(3);
const ENGINE: EngineKey = 7;
/// Number of engines in a random run.
const ENGINES: usize = 3;
/// Time between checks of which daemon may send orders, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 25;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn daemon(process: u64, fenced: bool) -> LeaseState {
    LeaseState::new(format!("d{process}").into(), process, fenced, ORDER_GAP, ms(process * 20))
}

/// The store's feed of the lease: its newest record and its end, and how both were before.
#[derive(Debug, Default)]
struct Feed {
    newest: Option<LeaseEntry>,
    end: u64,
    history: Vec<(Option<LeaseEntry>, u64)>,
}

/// How an append ended.
#[derive(Clone, Copy, Debug)]
enum Appended {
    At(u64),
    Refused,
    /// The feed of a later era happened to end at the same offset.
    InOtherEra,
}

impl Feed {
    /// Appends another program's record under the key of the lease.
    fn overwrite(&mut self) {
        self.newest = None;
        self.end += 1;
    }

    /// Appends another program's record under another key.
    fn grow(&mut self) {
        self.end += 1;
    }

    fn append(&mut self, at: u64, entry: LeaseEntry) -> Option<u64> {
        if at != self.end {
            return None;
        }
        self.history.push((self.newest.clone(), self.end));
        self.newest = Some(entry);
        self.end += 1;
        Some(at)
    }

    /// Appends as the store does, which knows no eras of offsets.
    fn append_unaware(&mut self, at: u64, entry: LeaseEntry) -> Appended {
        if offset_in_era(at) != offset_in_era(self.end) {
            return Appended::Refused;
        }
        let offset = self.append(self.end, entry);
        offset.filter(|offset| *offset == at).map_or(Appended::InOtherEra, Appended::At)
    }

    /// Restores an earlier state, some records back; a new era begins.
    fn restore_back(&mut self, records: usize) {
        let kept = self.history.len().saturating_sub(records);
        let (newest, end) =
            self.history.get(kept).cloned().unwrap_or((self.newest.clone(), self.end));
        self.history.truncate(kept);
        restore(self, offset_in_era(end), newest);
    }

    /// Executes one step at once; returns whether there was one.
    fn step(&mut self, lease: &mut LeaseState, now: Moment) -> bool {
        self.step_with_peer(lease, now, None)
    }

    /// The same for a daemon that received another daemon's claim.
    fn step_with_peer(
        &mut self,
        lease: &mut LeaseState,
        now: Moment,
        heard: Option<PeerLease>,
    ) -> bool {
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

/// Begins a new era of the store, with the records before `end`.
fn restore(feed: &mut Feed, end: u64, newest: Option<LeaseEntry>) {
    feed.end = feed_offset(era_of(feed.end) + 1, end);
    feed.newest = newest;
}

/// Guards against a holder that goes on with a fencing number of an earlier era, and against a pause of loads although no
/// other daemon can hold the lease.
#[rstest]
#[case::own_left(true)]
#[case::nothing_left(false)]
fn restored_holder(#[case] has_record: bool) {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, true), daemon(2, true));
    feed.settle(&mut a, ms(100));
    feed.settle(&mut b, ms(100));
    let first = feed.newest.clone();
    feed.settle(&mut a, ms(700));
    let before = a.fence(ms(700)).expect("the lease");
    restore(&mut feed, u64::from(has_record), first.filter(|_| has_record));
    for t in (1_200..1_400).step_by(50) {
        feed.settle(&mut b, ms(t));
        feed.settle(&mut a, ms(t));
        assert_eq!(b.fence(ms(t)), None);
    }
    assert!(a.fence(ms(1_400)).expect("the lease") > before);
}

/// Guards against two daemons that order engines without fences at the same time: the record of one that took the lease
/// after the other is lost with the store's last seconds, and the other's release before it shows again.
#[test]
fn restored_release() {
    let mut feed = Feed::default();
    let (mut a, mut b, mut c) = (daemon(1, false), daemon(2, false), daemon(3, false));
    feed.settle(&mut a, ms(100));
    let (at, released) = a.release(ms(200)).expect("the lease");
    feed.append(at, released).expect("the end");
    a.on_released();
    let copy = (offset_in_era(feed.end), feed.newest.clone());
    feed.settle(&mut c, ms(300));
    feed.settle(&mut b, ms(400));
    let last_order = ms(400) + LEASE_TTL;
    assert!(b.fence(ms(400)).is_some() || c.fence(ms(400)).is_some());
    restore(&mut feed, copy.0, copy.1);
    for t in (450..9_000).step_by(50) {
        feed.settle(&mut a, ms(t));
        if a.fence(ms(t)).is_some() {
            assert!(ms(t) >= last_order, "both may order at {t} ms");
            return;
        }
    }
    panic!("nobody took the lease");
}

/// Guards against a daemon that starts after the restore taking an empty feed for one that never had a holder.
#[test]
fn restored_empty() {
    let mut feed = Feed { end: feed_offset(1, 0), ..Feed::default() };
    let mut a = daemon(1, true);
    feed.settle(&mut a, ms(100));
    assert_eq!(a.fence(ms(100)), None);
    for t in (150..4_000).step_by(50) {
        feed.settle(&mut a, ms(t));
        if a.fence(ms(t)).is_some() {
            assert!(ms(t) >= ms(100) + LEASE_TTL, "at {t} ms");
            return;
        }
    }
    panic!("nobody took the lease");
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

/// The holder fails. Another daemon must wait until its last renewal has certainly expired.
#[test]
fn dead_replaced() {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, true), daemon(2, true));
    feed.settle(&mut a, ms(100));
    for t in (200..9_000).step_by(50) {
        feed.settle(&mut b, ms(t));
        if b.fence(ms(t)).is_some() {
            assert_eq!(a.fence(ms(t)), None, "at {t} ms both may send orders");
            assert!(t < 6_000, "the takeover took {t} ms");
            return;
        }
    }
    panic!("no daemon took over");
}

/// Guards against refusing callers of cold models for five seconds after the holder's host fails: the other daemons
/// had read the lease long before and waited until it expired. Their bid then failed because the feed had grown
/// since, and they waited again.
#[rstest]
#[case::fenced(true, 2_100)]
#[case::unfenced(false, 5_100)]
fn successor_prompt(#[case] fenced: bool, #[case] limit: u64) {
    let mut feed = Feed::default();
    let (mut a, mut b) = (daemon(1, fenced), daemon(2, fenced));
    feed.settle(&mut a, ms(0));
    feed.settle(&mut b, ms(0));
    let failed_at = 10_050;
    let mut heard = None;
    for t in (50..20_000).step_by(50) {
        if t <= failed_at {
            // It sends its claim every 300 ms and with each renewal.
            let renewed = feed.step(&mut a, ms(t));
            if renewed || t % 300 == 0 {
                heard = a.claim(ms(t)).map(|claim| (t, claim));
            }
        }
        let fresh = heard.filter(|(at, _)| t <= at + 900).map(|(at, claim)| PeerLease {
            fence: claim.fence,
            valid_until: ms(at) + claim.valid_for,
            feed_end: claim.end,
        });
        while feed.step_with_peer(&mut b, ms(t), fresh) {}
        if b.fence(ms(t)).is_some() {
            assert_eq!(a.fence(ms(t)), None, "at {t} ms both may send orders");
            assert!(t < failed_at + limit, "the takeover took {} ms", t - failed_at);
            return;
        }
    }
    panic!("no daemon took over");
}

/// Engines that do not check fencing numbers must not receive orders of two holders within three seconds.
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
    assert!(ms(gap) >= ORDER_GAP, "{gap} ms between two holders' orders");
}

/// The holder's host is frozen and resumes after another daemon took over: it must read the store before it sends an
/// order.
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

/// The store is unavailable to all daemons. If engines check fencing numbers, placement continues; otherwise it
/// stops, as another daemon may take over unnoticed.
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

/// An append without a response succeeded: the feed's newest record is the daemon's own, and its validity counts
/// from when it was sent.
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

/// The new process of a killed holder must not take its predecessor's record for its own lease.
#[test]
fn own_name() {
    let mut feed = Feed::default();
    let mut a = daemon(1, true);
    feed.settle(&mut a, ms(100));
    let mut again = LeaseState::new("d1".into(), 77, true, ORDER_GAP, ms(0));
    feed.settle(&mut again, ms(200));
    assert_eq!(again.fence(ms(200)), None);
}

/// A graceful stop passes the lease on at once.
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

/// A holder that receives a later lease's claim stops at once.
#[test]
fn outbid_stops() {
    let mut feed = Feed::default();
    let mut a = daemon(1, true);
    feed.settle(&mut a, ms(100));
    a.next_step(ms(200), Some(PeerLease { fence: 9, valid_until: ms(2_000), feed_end: 9 }));
    assert_eq!(a.fence(ms(200)), None);
}

#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Acknowledged,
    NoResponse,
    NotExecuted,
    Delayed(u8),
    Failed,
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    (0..10_u8, any::<u8>()).prop_map(|(kind, delayed)| match kind {
        0..=5 => CallOutcome::Acknowledged,
        6 => CallOutcome::NoResponse,
        7 => CallOutcome::NotExecuted,
        8 => CallOutcome::Delayed(delayed % 60),
        _ => CallOutcome::Failed,
    })
}

/// One step of a random run.
#[derive(Clone, Copy, Debug)]
struct RunStep {
    /// The daemon that executes the step.
    daemon_index: usize,
    /// Milliseconds before the step.
    pause: u64,
    outcome: CallOutcome,
    /// Another program's record: 1 under the key of the lease, 2 under another key.
    other_record: u8,
    /// Number of records that the store loses.
    lost: Option<usize>,
}

/// Orders in a random run: changes in progress by daemon and engine, and the last order to each engine.
#[derive(Debug, Default)]
struct RandomRun {
    changes: [[Option<u64>; ENGINES]; 3],
    last: [Option<(usize, Moment)>; ENGINES],
    fence: u64,
    /// Daemon that had the fencing number.
    holder: usize,
}

impl RandomRun {
    /// Begins or ends a change at an engine.
    fn toggle_change(
        &mut self,
        lease: &mut LeaseState,
        daemon_index: usize,
        engine: usize,
        now: Moment,
    ) {
        match self.changes[daemon_index][engine].take() {
            Some(fence) => lease.end_orders(fence, engine as EngineKey, now),
            None => {
                if let Some(fence) = lease.held_fence() {
                    lease.begin_orders(fence, engine as EngineKey, now);
                    self.changes[daemon_index][engine] = Some(fence);
                }
            }
        }
    }

    /// Sends all permitted orders; checks that at most one daemon may send orders and that two daemons' orders to an
    /// engine are far enough apart.
    fn send_orders(&mut self, daemons: &[LeaseState], now: Moment) {
        let holders: Vec<_> =
            daemons.iter().enumerate().filter_map(|(i, d)| Some((i, d.fence(now)?))).collect();
        assert!(holders.len() <= 1, "{holders:?} at {now:?}");
        let Some((daemon_index, fence)) = holders.first().copied() else { return };
        assert!(fence >= self.fence, "fence {fence} after {}", self.fence);
        assert!(fence > self.fence || daemon_index == self.holder, "{fence} of two daemons");
        (self.fence, self.holder) = (fence, daemon_index);
        for engine in 0..ENGINES {
            let may = daemons[daemon_index].fence_for(engine as EngineKey, now) == Some(fence);
            if !may || self.changes[daemon_index][engine] != Some(fence) {
                continue;
            }
            if let Some((before, at)) = self.last[engine]
                && before != daemon_index
            {
                assert!(
                    now >= at + ORDER_GAP,
                    "two holders' orders to engine {engine} at {at:?} and {now:?}"
                );
            }
            self.last[engine] = Some((daemon_index, now));
        }
    }
}

/// Plays a run without fencing checks; checks that no two daemons hold the lease at once, that two daemons' orders
/// to one engine are far enough apart, and that fencing numbers only grow.
fn play_steps(steps: Vec<RunStep>) {
    let mut feed = Feed::default();
    let mut daemons: Vec<_> = (1..=3).map(|p| daemon(p, false)).collect();
    let mut delayed: Vec<(Moment, u64, LeaseEntry)> = Vec::new();
    let mut now = ms(0);
    let mut run = RandomRun::default();
    for RunStep { daemon_index, pause, outcome, other_record, lost } in steps {
        for wait in (CHECK_INTERVAL_MS..pause).step_by(CHECK_INTERVAL_MS as usize) {
            run.send_orders(&daemons, now + ms(wait));
        }
        now += ms(pause);
        match other_record {
            1 => feed.overwrite(),
            2 => feed.grow(),
            _ => {}
        }
        if let Some(records) = lost {
            feed.restore_back(records);
        }
        delayed.sort_by_key(|(at, _, _)| *at);
        while delayed.first().is_some_and(|(at, _, _)| *at <= now) {
            let (_, at, entry) = delayed.remove(0);
            feed.append_unaware(at, entry);
        }
        run.toggle_change(&mut daemons[daemon_index], daemon_index, pause as usize % ENGINES, now);
        let lease = &mut daemons[daemon_index];
        match lease.next_step(now, None) {
            LeaseStep::Sleep(_) => {}
            LeaseStep::Read => match outcome {
                CallOutcome::Acknowledged => lease.on_read(now, feed.newest.clone(), feed.end),
                _ => lease.on_store_failure(now),
            },
            LeaseStep::Append(at, entry) => match outcome {
                CallOutcome::Acknowledged => match feed.append_unaware(at, entry) {
                    Appended::At(offset) => lease.on_appended(now, now, offset),
                    Appended::Refused => lease.on_conflict(),
                    Appended::InOtherEra => lease.on_unknown_outcome(now, now),
                },
                CallOutcome::NoResponse => {
                    feed.append_unaware(at, entry);
                    lease.on_unknown_outcome(now, now);
                }
                CallOutcome::NotExecuted => lease.on_unknown_outcome(now, now),
                CallOutcome::Delayed(tenths) => {
                    delayed.push((now + ms(u64::from(tenths) * 100), at, entry));
                    lease.on_unknown_outcome(now, now);
                }
                CallOutcome::Failed => lease.on_store_failure(now),
            },
        }
        run.send_orders(&daemons, now);
    }
    assert!(LEASE_TTL > Duration::ZERO);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), ..Config::default() })]

    /// Three daemons share one feed. Calls are answered, not answered, refused or carried out seconds later, and
    /// daemons pause for seconds. Without fencing checks, no two daemons may be allowed to send orders to an engine
    /// within the minimum gap, and fencing numbers only grow.
    #[test]
    fn never_two(
        steps in prop::collection::vec((0..3_usize, 20..900_u64, call_outcome()), 1..300),
    ) {
        let own = |(daemon_index, pause, outcome)| RunStep {
            daemon_index,
            pause,
            outcome,
            other_record: 0,
            lost: None,
        };
        play_steps(steps.into_iter().map(own).collect());
    }

    /// The same while another program writes to the feed, also under the lease's key.
    #[test]
    fn never_two_foreign(
        steps in prop::collection::vec((0..3_usize, 20..900_u64, call_outcome(), 0..12_u8), 1..300),
    ) {
        let all = |(daemon_index, pause, outcome, other_record)| RunStep {
            daemon_index,
            pause,
            outcome,
            other_record,
            lost: None,
        };
        play_steps(steps.into_iter().map(all).collect());
    }

    /// The same while the store is restored from copies that lack some records.
    #[test]
    fn never_two_restored(
        steps in prop::collection::vec(
            (0..3_usize, 20..900_u64, call_outcome(), prop::option::weighted(0.05, 0..20_usize)),
            1..300,
        ),
    ) {
        let all = |(daemon_index, pause, outcome, lost)| RunStep {
            daemon_index,
            pause,
            outcome,
            other_record: 0,
            lost,
        };
        play_steps(steps.into_iter().map(all).collect());
    }
}

/// Guards against treating a renewal that is a second late on a slow host as the loss of the lease: a third of all
/// loads were cancelled, and the state of demand and engines was discarded.
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

/// Guards against two daemons sending orders at once: another program wrote over the record of the lease, and the
/// second daemon treated a feed without a readable record as a free lease.
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

/// The holder fails, and its record is overwritten. Another daemon waits as long as for a readable record, and
/// without fencing checks its orders must be far enough from the previous ones.
#[rstest]
#[case::fenced(true, ms(1_600))]
#[case::unfenced(false, ORDER_GAP)]
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
    assert!(taken >= ms(100) + least, "taken over at {taken:?}");
    assert!(taken < ms(7_000), "taken over at {taken:?}");
}

/// The holder was frozen so long that another daemon may have taken over, and the record is overwritten: it must not
/// continue as the lease holder.
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

/// The holder fails while another program writes to the feed under its own key, twice a second. Each of its records
/// was taken for a renewal, so no daemon took over while it wrote.
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
    assert!((1_700..4_000).contains(&taken), "taken over at {taken} ms");
}

/// A renewal succeeds without a response, and another program's record is the next in the feed.
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
