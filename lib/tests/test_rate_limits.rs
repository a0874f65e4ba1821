//! Tests how many requests daemons send together to a rate-limited server, and how a limit and its end spread
//! among daemons.

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
/// Number of steps over which a server's requests are counted.
const WINDOW: usize = 200;
/// Number of steps of a run.
const STEPS: usize = 1500;

fn limit(rate: f64) -> RateLimit {
    RateLimit::new(rate).expect("a valid limit")
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
            Self::add_peer(&mut peers, peer);
        }
        Self { id: format!("d{n}"), peers, rates: RateLimits::default() }
    }

    fn add_peer(peers: &mut PeerTable, peer: usize) {
        let addr = SocketAddr::from(([127, 0, 0, 1], 7000 + peer as u16));
        let entry = DaemonEntry { addr, process: peer as u64, centre: "".into(), small: false };
        peers.put_listed(&format!("d{peer}").into(), &entry, start());
    }

    fn share(&self, limit: RateLimit) -> Option<RateShare> {
        let share = RateShare::new(limit, self.peers.daemons());
        self.peers.is_sender(&self.id, &server(), share.senders).then_some(share)
    }

    /// Sends a request if the server has no limit or a permit is granted; returns whether it was sent.
    fn try_send(&mut self, now: Moment) -> bool {
        let Some(limit) = self.rates.limit(&server()) else { return true };
        let share = self.share(limit);
        let permits = self.rates.send_permits(now, |_, _| share);
        let is_granted = permits[&server()].is_granted();
        if is_granted {
            self.rates.record_send(
                &server(),
                share.expect("a daemon with a permit has a share"),
                now,
            );
        }
        is_granted
    }
}

/// Returns the most requests in any window; `change` may alter daemons before each step.
fn max_in_window(
    daemons: &mut Vec<Daemon>,
    mut change: impl FnMut(usize, &mut Vec<Daemon>),
) -> usize {
    let mut sent = Vec::new();
    for step in 0..STEPS {
        change(step, daemons);
        sent.push(daemons.iter_mut().map(|d| usize::from(d.try_send(at(step)))).sum::<usize>());
    }
    sent.windows(WINDOW).map(|window| window.iter().sum()).max().unwrap_or(0)
}

fn limited_daemons(count: usize, rate: f64) -> Vec<Daemon> {
    let mut daemons: Vec<_> = (0..count).map(|n| Daemon::new(n, count)).collect();
    for daemon in &mut daemons {
        daemon.rates.record_answer(&server(), Some(limit(rate)), start(), start());
    }
    daemons
}

fn assert_allowed(most: usize, rate: f64) {
    let allowed = 1.5 * rate * 4.0 + 5.0;
    assert!(most as f64 <= allowed, "{most} in 4 s, allowed {allowed}");
    // The daemons must also use most of what the limit allows.
    assert!(most as f64 >= 4.0 * rate * 0.8, "{most} in 4 s");
}

/// Daemons must share a limit. If each daemon kept to it alone, the server would get a request from every
/// daemon at once.
#[rstest]
fn limit_shared(#[values(1, 2, 8, 72)] count: usize, #[values(0.0, 0.3, 1.3, 20.0)] rate: f64) {
    assert_allowed(max_in_window(&mut limited_daemons(count, rate), |_, _| {}), rate);
}

/// The same as `limit_shared` in the largest fleet.
#[test]
fn limit_shared_widely() {
    assert_allowed(max_in_window(&mut limited_daemons(400, 1.3), |_, _| {}), 1.3);
}

/// After an idle time all daemons have a request at once. Together they must still keep to the limit.
#[rstest]
fn burst_after_pause(#[values(2, 72)] count: usize, #[values(0.3, 1.3, 20.0)] rate: f64) {
    let mut daemons = limited_daemons(count, rate);
    let idle = Duration::from_mins(10);
    let mut sent = Vec::new();
    for step in 0..STEPS {
        let now = at(step) + idle;
        sent.push(daemons.iter_mut().map(|d| usize::from(d.try_send(now))).sum::<usize>());
    }
    let most = sent.windows(WINDOW).map(|window| window.iter().sum()).max().unwrap_or(0);
    assert_allowed(most, rate);
}

/// A daemon is replaced by one with another name. While only some daemons know of the change, the limit must
/// still hold.
#[rstest]
fn daemon_replaced(#[values(6, 72)] count: usize, #[values(0.3, 1.3, 20.0)] rate: f64) {
    let mut daemons = limited_daemons(count, rate);
    let most = max_in_window(&mut daemons, |step, daemons| {
        let new = count + step / 300;
        if step % 300 == 100 {
            daemons.remove(0);
            let mut daemon = Daemon::new(new, count);
            daemon.rates.record_answer(&server(), Some(limit(rate)), at(step), at(step));
            daemons.push(daemon);
        }
        // Every second one of the others learns of it a second later.
        if step % 300 == 150 {
            for daemon in daemons.iter_mut().step_by(2).filter(|d| d.id != format!("d{new}")) {
                Daemon::add_peer(&mut daemon.peers, new);
            }
        }
    });
    let allowed = 1.5 * rate * 4.0 + 5.0;
    assert!(most as f64 <= allowed, "{most} in 4 s, allowed {allowed}");
}

/// A limit is lowered while buckets are full for the old one. The new limit must hold at once.
#[test]
fn limit_lowered() {
    let mut daemons = limited_daemons(6, 20.0);
    let mut sent = Vec::new();
    for step in 0..STEPS {
        if step == 600 {
            for daemon in &mut daemons {
                daemon.rates.record_answer(&server(), Some(limit(1.3)), at(step), at(step));
            }
        }
        let is_idle = (300..600).contains(&step);
        let try_send = |d: &mut Daemon| usize::from(!is_idle && d.try_send(at(step)));
        sent.push(daemons.iter_mut().map(try_send).sum::<usize>());
    }
    let most = sent[600..].windows(WINDOW).map(|w| w.iter().sum()).max().unwrap_or(0);
    assert_allowed(most, 1.3);
}

/// A response without a limit arrives last, but its request was sent before the limit was advertised. It must
/// not end the limit.
#[test]
fn answers_crossed() {
    let mut rates = RateLimits::default();
    assert!(rates.record_answer(&server(), Some(limit(1.3)), at(0), at(10)));
    assert!(!rates.record_answer(&server(), None, at(5), at(11)));
    assert_eq!(rates.limit(&server()), Some(limit(1.3)));
    assert!(rates.record_answer(&server(), None, at(11), at(12)));
    assert_eq!(rates.limit(&server()), None);
}

/// A peer's report that is older than the end of a limit must not bring the limit back.
#[test]
fn end_told() {
    let (mut here, mut there) = <(RateLimits, RateLimits)>::default();
    there.record_answer(&server(), Some(limit(1.3)), at(0), at(0));
    let old = there.report(at(0), false);
    assert_eq!(here.merge(&old, at(0)), [server()]);
    there.record_answer(&server(), None, at(5), at(6));
    assert_eq!(here.merge(&there.report(at(7), false), at(7)), [server()]);
    assert_eq!(here.limit(&server()), None);
    let later = old.into_iter().map(|mut report| {
        report.age = STEP * 10;
        report
    });
    assert!(here.merge(&later.collect::<Vec<_>>(), at(10)).is_empty());
    assert_eq!(here.limit(&server()), None);
}

/// Only readers may relay limits that peers reported: otherwise two daemons would report an old limit to each
/// other for ever.
#[test]
fn hearsay_untold() {
    let (mut here, mut there) = <(RateLimits, RateLimits)>::default();
    there.record_answer(&server(), Some(limit(1.3)), at(0), at(0));
    here.merge(&there.report(at(0), false), at(0));
    assert!(here.report(at(1), false).is_empty());
    assert_eq!(here.report(at(1), true).len(), 1);
}

/// A server's next instance must not be subject to the limit of the previous one.
#[test]
fn start_forgotten() {
    let mut rates = RateLimits::default();
    rates.record_answer(&server(), Some(limit(1.3)), at(0), at(0));
    rates.retain(|_| false);
    assert_eq!(rates.limit(&server()), None);
}
