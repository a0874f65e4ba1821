//! Limits that servers name: how many requests daemons send together, and how word of a limit and its end spreads.

use std::net::SocketAddr;
use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::peer_table::PeerTable;
use comfreymux_lib::cluster::rate_limit::RateLimit;
use comfreymux_lib::cluster::rate_limits::RateLimits;
use comfreymux_lib::cluster::rate_share::RateShare;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use comfreymux_lib::placement::entries::DaemonEntry;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(20);
/// The span in which a server's requests are counted, in steps.
const WINDOW: usize = 200;
/// Steps of a course.
const COURSE: usize = 1500;

fn limit(rate: f64) -> RateLimit {
    RateLimit::new(rate).expect("a limit")
}

fn server() -> ServerInstance {
    ServerInstance::from("s1")
}

fn start() -> Moment {
    Moment::ZERO + Duration::from_secs(1000)
}

fn at(step: usize) -> Moment {
    start() + STEP * step as u32
}

/// A daemon that always has a request for the limited server.
struct Daemon {
    id: String,
    peers: PeerTable,
    rates: RateLimits,
}

impl Daemon {
    fn new(n: usize, count: usize) -> Self {
        let mut peers = PeerTable::default();
        for peer in (0..count).filter(|peer| *peer != n) {
            Self::meet(&mut peers, peer);
        }
        Self { id: format!("d{n}"), peers, rates: RateLimits::default() }
    }

    fn meet(peers: &mut PeerTable, peer: usize) {
        let addr = SocketAddr::from(([127, 0, 0, 1], 7000 + peer as u16));
        let entry = DaemonEntry { addr, process: peer as u64, centre: "".into(), small: false };
        peers.put_listed(&format!("d{peer}").into(), &entry, start());
    }

    fn share(&self, limit: RateLimit) -> Option<RateShare> {
        let share = RateShare::new(limit, self.peers.daemons());
        self.peers.is_sender(&self.id, &server(), share.senders).then_some(share)
    }

    /// Sends a request if it is its turn.
    fn press(&mut self, now: Moment) -> bool {
        let Some(limit) = self.rates.limit(&server()) else { return true };
        let share = self.share(limit);
        let turns = self.rates.send_permits(now, |_, _| share);
        let is_now = turns[&server()].is_granted();
        if is_now {
            self.rates.record_send(&server(), share.expect("a turn has a share"), now);
        }
        is_now
    }
}

/// Returns the most requests in a window; `change` may alter daemons before each step.
fn most(daemons: &mut Vec<Daemon>, mut change: impl FnMut(usize, &mut Vec<Daemon>)) -> usize {
    let mut sent = Vec::new();
    for step in 0..COURSE {
        change(step, daemons);
        sent.push(daemons.iter_mut().map(|d| usize::from(d.press(at(step)))).sum::<usize>());
    }
    sent.windows(WINDOW).map(|window| window.iter().sum()).max().unwrap_or(0)
}

fn told(count: usize, rate: f64) -> Vec<Daemon> {
    let mut daemons: Vec<_> = (0..count).map(|n| Daemon::new(n, count)).collect();
    for daemon in &mut daemons {
        daemon.rates.record_answer(&server(), Some(limit(rate)), start(), start());
    }
    daemons
}

fn assert_allowed(most: usize, rate: f64) {
    let allowed = 1.5 * rate * 4.0 + 5.0;
    assert!(most as f64 <= allowed, "{most} in 4 s, allowed {allowed}");
    // What the limit gives is used.
    assert!(most as f64 >= 4.0 * rate * 0.8, "{most} in 4 s");
}

/// Each of many daemons kept to the limit for itself, and the server got a request from each.
#[rstest]
fn limit_shared(#[values(1, 2, 8, 72)] count: usize, #[values(0.0, 0.3, 1.3, 20.0)] rate: f64) {
    assert_allowed(most(&mut told(count, rate), |_, _| {}), rate);
}

/// The same in the largest fleet.
#[test]
fn limit_shared_widely() {
    assert_allowed(most(&mut told(400, 1.3), |_, _| {}), 1.3);
}

/// Daemons lay idle for a while and then all had a request.
#[rstest]
fn burst_after_pause(#[values(2, 72)] count: usize, #[values(0.3, 1.3, 20.0)] rate: f64) {
    let mut daemons = told(count, rate);
    let idle = Duration::from_mins(10);
    let mut sent = Vec::new();
    for step in 0..COURSE {
        let now = at(step) + idle;
        sent.push(daemons.iter_mut().map(|d| usize::from(d.press(now))).sum::<usize>());
    }
    let most = sent.windows(WINDOW).map(|window| window.iter().sum()).max().unwrap_or(0);
    assert_allowed(most, rate);
}

/// A daemon was replaced by one with another name; for a while some knew of it and some did not.
#[rstest]
fn daemon_replaced(#[values(6, 72)] count: usize, #[values(0.3, 1.3, 20.0)] rate: f64) {
    let mut daemons = told(count, rate);
    let most = most(&mut daemons, |step, daemons| {
        let new = count + step / 300;
        if step % 300 == 100 {
            daemons.remove(0);
            let mut daemon = Daemon::new(new, count);
            daemon.rates.record_answer(&server(), Some(limit(rate)), at(step), at(step));
            daemons.push(daemon);
        }
        // Each second of the others learns of it a second later.
        if step % 300 == 150 {
            for daemon in daemons.iter_mut().step_by(2).filter(|d| d.id != format!("d{new}")) {
                Daemon::meet(&mut daemon.peers, new);
            }
        }
    });
    let allowed = 1.5 * rate * 4.0 + 5.0;
    assert!(most as f64 <= allowed, "{most} in 4 s, allowed {allowed}");
}

/// A limit fell while buckets were full for the old one.
#[test]
fn limit_lowered() {
    let mut daemons = told(6, 20.0);
    let mut sent = Vec::new();
    for step in 0..COURSE {
        if step == 600 {
            for daemon in &mut daemons {
                daemon.rates.record_answer(&server(), Some(limit(1.3)), at(step), at(step));
            }
        }
        let is_idle = (300..600).contains(&step);
        let press = |d: &mut Daemon| usize::from(!is_idle && d.press(at(step)));
        sent.push(daemons.iter_mut().map(press).sum::<usize>());
    }
    let most = sent[600..].windows(WINDOW).map(|w| w.iter().sum()).max().unwrap_or(0);
    assert_allowed(most, 1.3);
}

/// An answer that was sent before the limit was named came last, and ended it.
#[test]
fn answers_crossed() {
    let mut rates = RateLimits::default();
    assert!(rates.record_answer(&server(), Some(limit(1.3)), at(0), at(10)));
    assert!(!rates.record_answer(&server(), None, at(5), at(11)));
    assert_eq!(rates.limit(&server()), Some(limit(1.3)));
    assert!(rates.record_answer(&server(), None, at(11), at(12)));
    assert_eq!(rates.limit(&server()), None);
}

/// A peer's older word brought a limit back that was over.
#[test]
fn end_told() {
    let (mut here, mut there) = <(RateLimits, RateLimits)>::default();
    there.record_answer(&server(), Some(limit(1.3)), at(0), at(0));
    let old = there.report(at(0), false);
    assert_eq!(here.merge(&old, at(0)), [server()]);
    there.record_answer(&server(), None, at(5), at(6));
    assert_eq!(here.merge(&there.report(at(7), false), at(7)), [server()]);
    assert_eq!(here.limit(&server()), None);
    let later = old.into_iter().map(|mut note| {
        note.age = STEP * 10;
        note
    });
    assert!(here.merge(&later.collect::<Vec<_>>(), at(10)).is_empty());
    assert_eq!(here.limit(&server()), None);
}

/// What a peer told was told on by a daemon that is no reader, back and forth for ever.
#[test]
fn hearsay_untold() {
    let (mut here, mut there) = <(RateLimits, RateLimits)>::default();
    there.record_answer(&server(), Some(limit(1.3)), at(0), at(0));
    here.merge(&there.report(at(0), false), at(0));
    assert!(here.report(at(1), false).is_empty());
    assert_eq!(here.report(at(1), true).len(), 1);
}

/// A server's next start was held to the limit of the last one.
#[test]
fn start_forgotten() {
    let mut rates = RateLimits::default();
    rates.record_answer(&server(), Some(limit(1.3)), at(0), at(0));
    rates.retain(|_| false);
    assert_eq!(rates.limit(&server()), None);
}
