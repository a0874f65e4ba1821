//! Which daemons read the platform's store for their data centre.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::reader_role::HigherRanked;
use comfreymux_lib::cluster::reader_role::ReaderRole;

/// Time between looks of a daemon.
const TICK: Duration = Duration::from_millis(300);
/// A reader that was not heard for this long is gone.
const SILENT: Duration = Duration::from_millis(1200);

/// How a daemon of the data centre is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Health {
    Well,
    /// The store tells it nothing.
    Blind,
    Dead,
}

/// Daemons of one data centre in the order of their ranks.
struct Centre {
    duties: Vec<ReaderRole>,
    health: Vec<Health>,
    /// When each was last heard as a reader.
    heard: Vec<Option<Moment>>,
    now: Moment,
}

impl Centre {
    fn new(count: usize) -> Self {
        Self {
            duties: (0..count).map(|_| ReaderRole::default()).collect(),
            health: vec![Health::Well; count],
            heard: vec![None; count],
            now: Duration::from_secs(100),
        }
    }

    fn is_heard(&self, n: usize) -> bool {
        self.heard[n].is_some_and(|at| self.now <= at + SILENT)
    }

    fn before(&self, n: usize) -> HigherRanked {
        let heard: Vec<usize> = (0..n).filter(|m| self.is_heard(*m)).collect();
        let blind = heard.iter().filter(|m| self.health[**m] == Health::Blind).count();
        HigherRanked { daemons: n, readers: heard.len() - blind, blind }
    }

    /// All daemons look once.
    fn tick(&mut self) {
        self.now += TICK;
        for n in 0..self.duties.len() {
            if self.health[n] == Health::Dead {
                continue;
            }
            let before = self.before(n);
            if self.duties[n].update(before, self.now) {
                self.heard[n] = Some(self.now);
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
        (0..self.duties.len()).filter(|n| self.is_heard(*n)).collect()
    }
}

/// Forty daemons each ask the store for the same records; two are enough, whoever starts first.
#[test]
fn two_read() {
    let mut centre = Centre::new(40);
    centre.run(Duration::from_secs(3));
    assert_eq!(centre.readers(), [0, 1]);
}

/// Both readers are killed at the same moment. The next two take over within two seconds, and not all that
/// notice it.
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

/// The first readers come back. Those that took over cease, but not in the same instant.
#[test]
fn place_given_back() {
    let mut centre = Centre::new(10);
    centre.health[0] = Health::Dead;
    centre.health[1] = Health::Dead;
    centre.run(Duration::from_secs(4));
    assert_eq!(centre.readers(), [2, 3]);
    centre.health[0] = Health::Well;
    centre.health[1] = Health::Well;
    centre.run(TICK * 2);
    assert_eq!(centre.readers(), [0, 1, 2, 3], "they overlap");
    centre.run(Duration::from_secs(4));
    assert_eq!(centre.readers(), [0, 1]);
}

/// The store turns both readers away and serves the others; these take over though the readers are heard.
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

/// The store is away for all for nine seconds. Each reader that hears nothing looked like one to be replaced, and
/// all forty daemons asked a store that could not answer.
#[test]
fn outage_bounded() {
    let mut centre = Centre::new(40);
    centre.run(Duration::from_secs(3));
    centre.health.fill(Health::Blind);
    centre.run(Duration::from_secs(9));
    let readers = centre.readers();
    assert!(readers.len() <= 16, "{readers:?}");
    centre.health.fill(Health::Well);
    centre.run(Duration::from_secs(5));
    assert_eq!(centre.readers(), [0, 1]);
}
