//! Tests that the retries of all daemons stay within the limit of the fleet when requests reach servers late: servers stand
//! still and then receive what has queued, and so do daemons. Every daemon takes each retry that its budget has.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::open_send::OpenSend;
use comfreymux_lib::cluster::retry_budgets::BudgetLimits;
use comfreymux_lib::cluster::retry_budgets::RetryBudgets;
use comfreymux_lib::serve::standstill::Standstill;
use comfreymux_testutils::retry_windows::worst_window;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rstest::rstest;
use smol_str::SmolStr;

const LIMITS: BudgetLimits =
    BudgetLimits { window: Duration::from_secs(10), ratio: 0.2, slack: 60.0 };
const STEP: Duration = Duration::from_millis(100);
/// Number of steps in a window.
const WINDOW: usize = 100;
/// Number of steps of a run.
const STEPS: usize = 600;
/// Most steps until the response to a request that has arrived.
const MAX_RESPONSE: usize = 8;

fn at(step: usize) -> Moment {
    Moment::ZERO + Duration::from_secs(1000) + STEP * step as u32
}

struct Daemon {
    budgets: RetryBudgets,
    standstill: Standstill,
    /// Requests a step.
    rate: usize,
    /// Step until which it is suspended.
    stopped_until: usize,
    /// Requests that were sent to it during that time.
    queued: usize,
}

/// A retry under way, and the first send of its request if that has not arrived either.
struct Flight {
    /// Sends with the step in which the daemon receives a response.
    sends: Vec<(usize, OpenSend)>,
}

/// Daemons that share a limit, servers of which some stand still, and what callers sent and servers received.
struct Fleet {
    service: SmolStr,
    daemons: Vec<Daemon>,
    /// Step until which each server is suspended.
    servers: Vec<usize>,
    flights: Vec<Flight>,
    sent: Vec<Duration>,
    repeats: Vec<Duration>,
    step: usize,
    random: StdRng,
}

impl Fleet {
    fn new(count: usize, rate: usize, seed: u64) -> Self {
        let daemon = |_| Daemon {
            budgets: RetryBudgets::new(LIMITS, at(0)),
            standstill: Standstill::default(),
            rate,
            stopped_until: 0,
            queued: 0,
        };
        Self {
            service: SmolStr::new("draft"),
            daemons: (0..count).map(daemon).collect(),
            servers: vec![0; 12],
            flights: Vec::new(),
            sent: Vec::new(),
            repeats: Vec::new(),
            step: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Lets a random part of the servers stand still for up to `longest` steps from now on.
    fn stop_servers(&mut self, longest: usize) {
        let (share, until) = (
            self.random.random_range(0.0..=1.0),
            self.step + self.random.random_range(1..=longest),
        );
        for server in &mut self.servers {
            if self.random.random_bool(share) {
                *server = (*server).max(until.min(self.step + longest));
            }
        }
    }

    /// Lets all daemons serve one step, in which those for which `fails` holds take all the retries they can.
    fn run_step(&mut self, fails: impl Fn(usize) -> bool) {
        let (step, now) = (self.step, at(self.step));
        for flight in &self.flights {
            for (_, send) in flight.sends.iter().filter(|(answered, _)| *answered <= step) {
                send.end(now);
            }
        }
        self.flights.retain(|flight| flight.sends.iter().any(|(answered, _)| *answered > step));
        let size = self.daemons.len();
        for index in 0..size {
            let rate = self.daemons[index].rate;
            self.sent.extend(vec![now; rate]);
            self.daemons[index].queued += rate;
            if step < self.daemons[index].stopped_until {
                continue;
            }
            let daemon = &mut self.daemons[index];
            daemon.standstill.record_turn(now);
            for _ in 0..std::mem::take(&mut daemon.queued) {
                let sent_at = daemon.standstill.earliest_send(now);
                daemon.budgets.record_first(&self.service, sent_at);
            }
            while fails(index) && self.take_retry(index, now) {}
        }
        self.step += 1;
    }

    /// Takes a retry at a random server, for a request whose first send has failed or is held up at a server that stands
    /// still; returns whether there was one.
    fn take_retry(&mut self, index: usize, now: Moment) -> bool {
        let size = self.daemons.len();
        let server = self.random.random_range(0..self.servers.len());
        let retry = OpenSend::begin(format!("s{server}").as_str().into(), now, true);
        let slow = self.random.random_range(0..self.servers.len());
        let is_held_up = self.servers[slow] > self.step && self.random.random_bool(0.5);
        let first =
            is_held_up.then(|| OpenSend::begin(format!("s{slow}").as_str().into(), now, false));
        let budgets = &mut self.daemons[index].budgets;
        if !budgets.take_retry(&self.service, &retry, first.clone(), Some(size)) {
            return false;
        }
        let sends = [(server, Some(retry)), (slow, first)];
        let sends = sends.into_iter().filter_map(|(server, send)| Some((server, send?)));
        let arrivals: Vec<(usize, OpenSend)> =
            sends.map(|(server, send)| (self.servers[server].max(self.step), send)).collect();
        let repeated = arrivals.iter().map(|(arrival, _)| *arrival).max().unwrap_or(self.step);
        self.repeats.push(at(repeated));
        let mut response = || self.random.random_range(0..=MAX_RESPONSE);
        let sends =
            arrivals.into_iter().map(|(arrival, send)| (arrival + response(), send)).collect();
        self.flights.push(Flight { sends });
        true
    }

    /// Returns the most repeats in a window relative to what is allowed.
    fn most_used(&mut self) -> f64 {
        self.repeats.sort_unstable();
        let worst = worst_window(&LIMITS, &self.sent, &self.repeats);
        worst.map_or(0.0, |window| window.repeats as f64 / window.allowed)
    }
}

/// Changes the rate of a random part of the daemons now and then, to `lowest` requests a step or more.
fn change_traffic(fleet: &mut Fleet, lowest: usize) {
    if !fleet.random.random_bool(0.05) {
        return;
    }
    let share = fleet.random.random_range(0.0..=1.0);
    let rate = fleet.random.random_range(lowest..=8);
    for index in 0..fleet.daemons.len() {
        if fleet.random.random_bool(share) {
            fleet.daemons[index].rate = rate;
        }
    }
}

/// Now and then draws the daemons whose requests fail.
fn fails_at_random(fleet: &mut Fleet, failing: &mut [bool]) {
    if fleet.random.random_bool(0.05) {
        let share = fleet.random.random_range(0.0..=1.0);
        failing.fill_with(|| fleet.random.random_bool(share));
    }
}

proptest! {
    #![proptest_config(Config { cases: 24, rng_seed: RngSeed::Fixed(70), ..Config::default() })]

    /// Guards against retries that are paid by one window of requests and arrive in a later one with few, since servers
    /// stood still for up to half a window while callers came and went.
    #[test]
    fn stops_bounded(
        count in prop::sample::select(vec![1_usize, 2, 6, 25, 83, 400]),
        seed in any::<u64>(),
    ) {
        let used = run_course(count, seed, 0, WINDOW / 2);
        prop_assert!(used <= 1.0, "{used:.2} of the limit");
    }

    /// The same for stops of up to a whole window, while traffic changes by up to half.
    #[test]
    fn long_stops_bounded(
        count in prop::sample::select(vec![1_usize, 2, 6, 25, 83, 400]),
        seed in any::<u64>(),
    ) {
        let used = run_course(count, seed, 4, WINDOW);
        prop_assert!(used <= 1.0, "{used:.2} of the limit");
    }

    /// The same for stops of up to two windows, while traffic may cease: a retry counts as ended after a window without a
    /// sign of its server, though it may arrive after that.
    #[test]
    fn longer_stops_bounded(
        count in prop::sample::select(vec![1_usize, 2, 6, 25, 83, 400]),
        seed in any::<u64>(),
    ) {
        let used = run_course(count, seed, 0, 2 * WINDOW);
        prop_assert!(used <= 1.0, "{used:.2} of the limit");
    }

    /// Guards against daemons that stand still and count requests when they handle them, later than callers sent them, so
    /// that the requests of one window pay for retries of a later one.
    #[test]
    fn daemons_stopped(
        count in prop::sample::select(vec![1_usize, 2, 6, 25, 83, 400]),
        seed in any::<u64>(),
    ) {
        let used = stop_daemons(count, seed);
        prop_assert!(used <= 1.0, "{used:.2} of the limit");
    }
}

/// The same with a course that once exceeded the limit.
#[test]
fn daemon_stopped() {
    let used = stop_daemons(1, 6_608_134_899_282_603_049);
    assert!(used <= 1.0, "{used:.2} of the limit");
}

/// Plays daemons that stand still for up to half a window.
fn stop_daemons(count: usize, seed: u64) -> f64 {
    let mut fleet = Fleet::new(count, 4, seed);
    let mut failing = vec![false; count];
    for step in 0..STEPS {
        change_traffic(&mut fleet, 0);
        fails_at_random(&mut fleet, &mut failing);
        if fleet.random.random_bool(0.02) {
            let share = fleet.random.random_range(0.0..=1.0);
            let until = step + fleet.random.random_range(1..WINDOW / 2);
            for index in 0..count {
                if fleet.random.random_bool(share) {
                    fleet.daemons[index].stopped_until = until;
                }
            }
        }
        fleet.run_step(|index| step > WINDOW && failing[index]);
    }
    fleet.most_used()
}

/// Plays servers that stand still for up to `longest` steps, with at least `lowest` requests a step at each daemon.
fn run_course(count: usize, seed: u64, lowest: usize, longest: usize) -> f64 {
    let mut fleet = Fleet::new(count, lowest.max(1), seed);
    let mut failing = vec![false; count];
    for step in 0..STEPS {
        change_traffic(&mut fleet, lowest);
        fails_at_random(&mut fleet, &mut failing);
        if fleet.random.random_bool(0.03) {
            fleet.stop_servers(longest);
        }
        fleet.run_step(|index| step > WINDOW && failing[index]);
    }
    // Callers go on until all retries have arrived.
    for _ in 0..longest {
        fleet.run_step(|_| false);
    }
    fleet.most_used()
}

/// Guards against bounds on late arrivals that cost retries when nothing arrives late: nine tenths of the limit are used.
#[rstest]
#[case::one(1, 8)]
#[case::six(6, 2)]
#[case::many(83, 2)]
fn calm_served(#[case] count: usize, #[case] rate: usize) {
    let mut fleet = Fleet::new(count, rate, 7);
    for step in 0..STEPS {
        fleet.run_step(|_| step > 2 * WINDOW);
    }
    let share = LIMITS.ratio * (rate * WINDOW) as f64 + LIMITS.slack / count as f64;
    // A window holds the steps at both its ends.
    let closed = WINDOW as f64 / (WINDOW + 1) as f64;
    let bound = (0.9 * closed * share).floor() * count as f64;
    let (from, until) = (at(3 * WINDOW), at(5 * WINDOW));
    let granted = fleet.repeats.iter().filter(|at| (from..until).contains(at)).count();
    assert!(
        granted as f64 >= 2.0 * bound,
        "{granted} retries in two windows, {bound} in each expected"
    );
}
