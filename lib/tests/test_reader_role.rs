//! Tests which daemons read the platform's store for their data centre.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::reader_role::HigherRanked;
use comfreymux_lib::cluster::reader_role::ReaderRole;

/// Time between role updates of a daemon.
const TICK: Duration = Duration::from_millis(300);
/// A reader without a report for this long counts as unavailable.
const READER_TIMEOUT: Duration = Duration::from_millis(1200);

/// State of a daemon of the data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Health {
    Healthy,
    /// It runs, but gets no answers from the store.
    Blind,
    Dead,
}

/// Daemons of one data centre in the order of their ranks.
struct Centre {
    roles: Vec<ReaderRole>,
    health: Vec<Health>,
    /// When each daemon last reported as a reader.
    reported_at: Vec<Option<Moment>>,
    now: Moment,
}

impl Centre {
    fn new(count: usize) -> Self {
        Self {
            roles: (0..count).map(|_| ReaderRole::default()).collect(),
            health: vec![Health::Healthy; count],
            reported_at: vec![None; count],
            now: Duration::from_secs(100),
        }
    }

    fn is_reporting(&self, n: usize) -> bool {
        self.reported_at[n].is_some_and(|at| self.now <= at + READER_TIMEOUT)
    }

    fn higher_ranked(&self, n: usize) -> HigherRanked {
        let readers: Vec<usize> = (0..n).filter(|m| self.is_reporting(*m)).collect();
        let blind = readers.iter().filter(|m| self.health[**m] == Health::Blind).count();
        HigherRanked { daemons: n, readers: readers.len() - blind, without_store: blind }
    }

    /// Updates the role of every daemon that runs.
    fn tick(&mut self) {
        self.now += TICK;
        for n in 0..self.roles.len() {
            if self.health[n] == Health::Dead {
                continue;
            }
            let higher_ranked = self.higher_ranked(n);
            if self.roles[n].update(higher_ranked, self.now) {
                self.reported_at[n] = Some(self.now);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    fn readers(&self) -> Vec<usize> {
        (0..self.roles.len()).filter(|n| self.is_reporting(*n)).collect()
    }
}

/// Forty daemons start and none reads yet. Only the first two by rank may end up as readers; otherwise each
/// would poll the store for the same records.
#[test]
fn two_read() {
    let mut centre = Centre::new(40);
    centre.run(Duration::from_secs(3));
    assert_eq!(centre.readers(), [0, 1]);
}

/// Both readers are killed at the same moment. The next two daemons, and only these, must take over within
/// two seconds.
#[test]
fn both_lost() {
    let mut centre = Centre::new(40);
    centre.run(Duration::from_secs(3));
    centre.health[0] = Health::Dead;
    centre.health[1] = Health::Dead;
    centre.run(Duration::from_millis(2400));
    assert_eq!(centre.readers(), [2, 3]);
    centre.run(Duration::from_secs(5));
    assert_eq!(centre.readers(), [2, 3]);
}

/// The first readers recover. Those that replaced them must stop reading, but only after an overlap.
#[test]
fn place_given_back() {
    let mut centre = Centre::new(10);
    centre.health[0] = Health::Dead;
    centre.health[1] = Health::Dead;
    centre.run(Duration::from_secs(4));
    assert_eq!(centre.readers(), [2, 3]);
    centre.health[0] = Health::Healthy;
    centre.health[1] = Health::Healthy;
    centre.run(TICK * 2);
    assert_eq!(centre.readers(), [0, 1, 2, 3], "old and new readers must overlap");
    centre.run(Duration::from_secs(4));
    assert_eq!(centre.readers(), [0, 1]);
}

/// The store refuses both readers and answers the others. The next two must take over although the readers
/// still report.
#[test]
fn blind_replaced() {
    let mut centre = Centre::new(10);
    centre.run(Duration::from_secs(3));
    centre.health[0] = Health::Blind;
    centre.health[1] = Health::Blind;
    centre.run(Duration::from_millis(2100));
    let readers = centre.readers();
    assert!(readers.contains(&2) && readers.contains(&3), "{readers:?}");
}

/// The store is unavailable to all daemons for nine seconds. Blind readers look as if they had to be
/// replaced, which must not lead all forty daemons to call a store that cannot answer.
#[test]
fn outage_bounded() {
    let mut centre = Centre::new(40);
    centre.run(Duration::from_secs(3));
    centre.health.fill(Health::Blind);
    centre.run(Duration::from_secs(9));
    let readers = centre.readers();
    assert!(readers.len() <= 16, "{readers:?}");
    centre.health.fill(Health::Healthy);
    centre.run(Duration::from_secs(5));
    assert_eq!(centre.readers(), [0, 1]);
}
