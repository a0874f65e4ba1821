//! Tests that the retries of all daemons together stay within the limit of the fleet, in any window, while daemons
//! start, end, and lose or gain callers. Every daemon takes each retry that its budget has.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::open_send::OpenSend;
use comfreymux_lib::cluster::retry_budgets::BudgetLimits;
use comfreymux_lib::cluster::retry_budgets::RetryBudgets;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use smol_str::SmolStr;

const LIMITS: BudgetLimits =
    BudgetLimits { window: Duration::from_secs(10), ratio: 0.2, slack: 60.0 };
const STEP: Duration = Duration::from_millis(100);
/// Number of steps in a window.
const WINDOW: usize = 100;
/// Number of steps of a run.
const STEPS: usize = 500;
/// Number of steps until a daemon knows its peers after its start, and they know it.
const DISCOVERY: usize = 10;

fn at(step: usize) -> Moment {
    Moment::ZERO + Duration::from_secs(1000) + STEP * step as u32
}

struct Daemon {
    budgets: RetryBudgets,
    /// Step in which its process started, and so knew no peer.
    started: usize,
    /// Step in which it was added to the fleet; a restart does not change it.
    joined: usize,
    /// Requests a step.
    rate: usize,
}

/// Daemons that share a limit, and what they sent together in each step.
struct Fleet {
    service: SmolStr,
    daemons: Vec<Daemon>,
    first_sends: Vec<usize>,
    retries: Vec<usize>,
}

impl Daemon {
    fn start(step: usize, rate: usize) -> Self {
        Self { budgets: RetryBudgets::new(LIMITS, at(step)), started: step, joined: step, rate }
    }

    /// Takes a retry that arrives at once.
    fn take_retry(&mut self, service: &SmolStr, now: Moment, daemons: usize) -> bool {
        let retry = OpenSend::begin("s1".into(), now, true);
        let is_granted = self.budgets.take_retry(service, &retry, None, Some(daemons));
        retry.end(now);
        is_granted
    }
}

impl Fleet {
    /// Daemons that have run for a long time, each with `rate` requests a step.
    fn new(count: usize, rate: usize) -> Self {
        let daemons = (0..count).map(|_| Daemon::start(0, rate)).collect();
        Self {
            service: SmolStr::new("draft"),
            daemons,
            first_sends: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Lets all daemons serve one step, in which the daemons for which `fails` holds take all the retries they can.
    fn step(&mut self, fails: impl Fn(usize) -> bool) {
        let step = self.first_sends.len();
        let now = at(step);
        let known = self.daemons.iter().filter(|d| step >= d.joined + DISCOVERY).count();
        let (mut first_sends, mut retries) = (0, 0);
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let is_new = step > 0 && step < daemon.started + DISCOVERY;
            let size = if is_new { 1 } else { known.max(1) };
            for _ in 0..daemon.rate {
                daemon.budgets.record_first(&self.service, now);
                first_sends += 1;
            }
            while fails(index) && daemon.take_retry(&self.service, now, size) {
                retries += 1;
            }
        }
        self.first_sends.push(first_sends);
        self.retries.push(retries);
    }

    fn restart(&mut self, index: usize) {
        let Daemon { rate, joined, .. } = self.daemons[index];
        self.daemons[index] = Daemon { joined, ..Daemon::start(self.first_sends.len(), rate) };
    }

    /// Returns the most retries in a window relative to the limit: the ratio of the requests in it, in the one before
    /// or in the one that begins half a window before, and the slack.
    fn most_used(&self) -> f64 {
        let sum = |list: &[usize], start: usize, earlier: usize| -> usize {
            let from = start.saturating_sub(earlier);
            let until = (start + WINDOW).saturating_sub(earlier).min(list.len());
            list[from..until].iter().sum()
        };
        let used = |start: usize| {
            let shifts = [0, WINDOW / 2, WINDOW];
            let most = shifts.map(|shift| sum(&self.first_sends, start, shift)).into_iter().max();
            let allowed = LIMITS.ratio * most.unwrap_or(0) as f64 + LIMITS.slack;
            sum(&self.retries, start, 0) as f64 / allowed
        };
        (0..self.retries.len()).map(used).fold(0.0, f64::max)
    }
}

proptest! {
    #![proptest_config(Config { cases: 24, rng_seed: RngSeed::Fixed(43), ..Config::default() })]

    /// Guards against daemons that are killed again and again, or added, and begin with the whole slack each time,
    /// though it has been used in the same window.
    #[test]
    fn restarts_bounded(
        count in prop::sample::select(vec![1_usize, 2, 6, 25, 83, 400]),
        rate in 0..4_usize,
        seed in any::<u64>(),
    ) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(count, rate);
        for step in 0..STEPS {
            if step > 2 * WINDOW && random.random_bool(0.04) {
                let share = random.random_range(0.0..=1.0);
                for index in 0..fleet.daemons.len() {
                    if random.random_bool(share) {
                        fleet.restart(index);
                    }
                }
            }
            if step > 2 * WINDOW && random.random_bool(0.01) {
                let rate = fleet.daemons[0].rate;
                fleet.daemons.push(Daemon::start(step, rate));
            }
            fleet.step(|_| step > 2 * WINDOW);
        }
        let used = fleet.most_used();
        prop_assert!(used <= 1.0, "{used:.2} of the limit");
    }

    /// Guards against daemons that each stay within the limit of their own last window, while these windows together
    /// hold more requests than any window of the fleet: traffic that rises and falls, and callers that move.
    #[test]
    fn windows_add_up(
        count in prop::sample::select(vec![1_usize, 2, 6, 25, 83, 400]),
        seed in any::<u64>(),
    ) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(count, 1);
        let mut failing = vec![false; count];
        for step in 0..STEPS {
            if random.random_bool(0.05) {
                let (share, rate) = (random.random_range(0.0..=1.0), random.random_range(0..8));
                for daemon in &mut fleet.daemons {
                    if random.random_bool(share) {
                        daemon.rate = rate;
                    }
                }
            }
            if random.random_bool(0.05) {
                let share = random.random_range(0.0..=1.0);
                failing.fill_with(|| random.random_bool(share));
            }
            fleet.step(|index| step > WINDOW && failing[index]);
        }
        let used = fleet.most_used();
        prop_assert!(used <= 1.0, "{used:.2} of the limit");
    }
}
