//! Checks what servers are handed: no attempt runs on more servers than its route allows, and repeated runs end in time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use comfreymux_platform_testutils::server_standin::Run;
use tokio::time::Instant;

use crate::callers::CallerRecord;
use crate::world::World;

/// Servers on which a request that may be repeated may run.
const MAX_SERVERS: usize = 2;
/// Attempts that may run on more.
const MAX_ATTEMPTS: usize = 3;
/// Time after the first run from which a run counts as late, and by which it may end after the first one and the
/// caller's deadline.
const TOLERANCE: Duration = Duration::from_millis(500);
/// Runs that may end too late, whatever their share.
const MAX_OVERLONG: usize = 20;
/// Share of the late runs that may end too late.
const MAX_SHARE: f64 = 0.2;

/// Header with the time that is left, in milliseconds.
const DEADLINE_HEADER: &str = "x-comfreymux-deadline-ms";

/// A run that began late and may end too late.
#[derive(Debug)]
struct Overlong {
    attempt: String,
    server: String,
    /// When the attempt first ran.
    first: Instant,
    /// When this run began.
    at: Instant,
}

/// Runs of a service's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendTally {
    /// Attempts that ran on more servers than their route allows.
    spread: usize,
    /// Runs that began late after the first one.
    late: usize,
    /// Runs that may end too late by the deadline header that their server received.
    overlong: usize,
    /// By how much the worst of them may end too late.
    worst: Duration,
}

impl SendTally {
    /// Returns what exceeds the limits.
    pub fn fault(&self) -> Option<String> {
        let is_shared = self.overlong as f64 <= MAX_SHARE * self.late as f64;
        let is_kept = self.spread <= MAX_ATTEMPTS && (self.overlong <= MAX_OVERLONG || is_shared);
        (!is_kept).then(|| format!("servers were handed too much: {self}"))
    }

    fn count(&mut self, runs: &[&Run], sent_at: Instant, deadline: Duration) -> Vec<Overlong> {
        let servers: BTreeSet<_> = runs.iter().map(|run| (&run.server, run.born)).collect();
        self.spread += usize::from(servers.len() > MAX_SERVERS);
        let Some(first) = runs.first() else { return Vec::new() };
        let end = |run: &Run| run.at + Duration::from_millis(run.deadline);
        let latest = end(first).max(sent_at + deadline) + TOLERANCE;
        let mut list = Vec::new();
        for run in runs.iter().filter(|run| run.at > first.at + TOLERANCE) {
            self.late += 1;
            let excess = end(run).saturating_duration_since(latest);
            self.worst = self.worst.max(excess);
            if !excess.is_zero() {
                self.overlong += 1;
                let (attempt, server) = (run.attempt.clone(), run.server.clone());
                list.push(Overlong { attempt, server, first: first.at, at: run.at });
            }
        }
        // Without a deadline header the time is unbounded.
        let is_unbounded = |run: &&&Run| !run.headers.contains_key(DEADLINE_HEADER);
        self.overlong += runs.iter().filter(is_unbounded).count();
        let longest = Duration::from_millis(first.deadline);
        self.overlong += usize::from(longest > deadline + TOLERANCE);
        list
    }
}

impl fmt::Display for SendTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { spread, late, overlong, worst } = self;
        write!(
            f,
            "{overlong} of {late} late runs too long, worst {worst:.1?}, {spread} attempts at more servers"
        )
    }
}

/// Returns what the servers of the plain service were handed, and the engines. Notes the plain runs that may end too late.
pub fn tallies(world: &World, seen: &CallerRecord) -> [SendTally; 2] {
    let runs = world.runs.borrow();
    let mut by_attempt: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs.iter() {
        by_attempt.entry(&run.attempt).or_default().push(run);
    }
    let mut tallies = [SendTally::default(); 2];
    for sent in seen.attempts.borrow().iter() {
        if let Some(runs) = by_attempt.get(sent.id.as_str()) {
            let is_stream = sent.kind.is_stream();
            let list = tallies[usize::from(is_stream)].count(runs, sent.at, sent.deadline);
            for run in list.iter().filter(|_| !is_stream) {
                let (first, at) = (world.time_of(run.first), world.time_of(run.at));
                let Overlong { attempt, server, .. } = run;
                world.note(&format!("overlong {attempt} server={server} {first:.3?} {at:.3?}"));
            }
        }
    }
    tallies
}
