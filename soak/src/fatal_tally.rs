//! What requests that crash servers did, by what they have in common: their body or a prompt part.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use comfreymux_platform_testutils::part_course::MAX_CRASHES;
use comfreymux_platform_testutils::part_course::MAX_LATE;
use comfreymux_platform_testutils::server_standin::Run;

use crate::world::World;

/// Time within which daemons learn of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// What the requests with a fatal body or part did.
#[derive(Clone, Debug)]
pub struct FatalTally {
    name: String,
    /// Server instances that they crashed.
    pub ended: usize,
    /// Those that began at servers later than [`CONTACT_TIME`] after the crash that is one too many.
    late: usize,
}

impl FatalTally {
    /// Counts the runs for which `is_fatal` holds, and notes the late ones.
    pub fn count(world: &World, name: &str, is_fatal: impl Fn(&Run) -> bool) -> Self {
        let runs = world.runs.borrow();
        let runs: Vec<_> = runs.iter().filter(|run| is_fatal(run)).collect();
        let mut servers = BTreeSet::new();
        let first = runs.iter().filter(|run| servers.insert((&run.server, run.born)));
        let crash = |run: &&Run| run.at + run.crash_after.unwrap_or_default();
        let crashes: Vec<_> = first.map(crash).collect();
        let last = crashes.get(MAX_CRASHES - 1).map(|at| *at + CONTACT_TIME);
        let late: Vec<_> =
            runs.iter().filter(|run| last.is_some_and(|last| run.at > last)).collect();
        for run in &late {
            let at = world.time_of(run.at);
            world.note(&format!("late {name} {} server={} {at:.3?}", run.attempt, run.server));
        }
        let late = late.len();
        Self { name: name.to_owned(), ended: crashes.len(), late }
    }

    /// Returns what exceeds the limit.
    pub fn fault(&self) -> Option<String> {
        (self.late > MAX_LATE).then(|| format!("fatal requests went on: {self}"))
    }
}

impl fmt::Display for FatalTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ended {} servers, {} late", self.name, self.ended, self.late)
    }
}

/// Returns what each fatal request did.
pub fn of_requests(world: &World) -> Vec<FatalTally> {
    let bodies = world.fatal.borrow();
    let named = |body: &Vec<u8>| {
        let name = String::from_utf8_lossy(body);
        FatalTally::count(world, &name, |run| run.body == *body)
    };
    bodies.iter().map(named).collect()
}
