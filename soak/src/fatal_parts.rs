//! Requests whose prompts have a part that crashes every engine that begins to run them.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use comfreymux_platform_testutils::caller::Ask;
use comfreymux_platform_testutils::part_course::MAX_CRASHES;
use comfreymux_platform_testutils::part_course::MAX_LATE;
use comfreymux_platform_testutils::rig::MODELS;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::callers::CallerRecord;
use crate::callers::DEADLINE;
use crate::callers::Kind;
use crate::world::World;

/// Ids of the fatal parts, each with the time at which requests with it begin.
const PARTS: [(&str, Duration); 2] =
    [("dead01", Duration::from_secs(2)), ("dead02", Duration::from_secs(10))];
/// Time within which daemons learn of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Longest pause between two requests, in milliseconds.
const MAX_PAUSE: u64 = 500;
/// Fraction of the requests that have a fatal part.
const FATAL_FRACTION: f64 = 0.4;

/// What a fatal part did.
#[derive(Clone, Copy, Debug)]
pub struct PartTally {
    part: &'static str,
    /// Engine instances that it crashed.
    ended: usize,
    /// Requests with it that began at engines later than [`CONTACT_TIME`] after the crash that is one too many.
    late: usize,
}

impl PartTally {
    /// Returns what exceeds the limit.
    pub fn fault(&self) -> Option<String> {
        (self.late > MAX_LATE).then(|| format!("a fatal part went on: {self}"))
    }
}

impl fmt::Display for PartTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ended {} engines, {} late", self.part, self.ended, self.late)
    }
}

/// Makes the parts fatal.
pub fn make_fatal(world: &World) {
    world.fatal.borrow_mut().extend(PARTS.iter().map(|(part, _)| part.as_bytes().to_vec()));
}

/// Sends requests with and without fatal parts to random daemons until the troubles end.
pub async fn send_requests(seen: Rc<CallerRecord>, fronts: Vec<SocketAddr>, course: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(!course.rotate_left(8));
    let (began, mut count) = (Instant::now(), 0);
    while !seen.faults_over.get() {
        count += 1;
        let kind = [Kind::Draft, Kind::Note][rng.random_range(0..2)];
        let model = MODELS[rng.random_range(0..MODELS.len())];
        let path = if kind == Kind::Draft { "/draft/7" } else { "/note/7" };
        let mut ask = Ask::model(&format!("p{count}"), path, model);
        ask.deadline = DEADLINE.as_millis() as u64;
        ask.body = format!("draft {count}").into_bytes();
        let own = rng.random_range(0..8);
        let (part, from) = PARTS[rng.random_range(0..PARTS.len())];
        let is_fatal = rng.random_bool(FATAL_FRACTION) && began.elapsed() > from;
        let part = if is_fatal { format!("{part}:50,") } else { String::new() };
        ask.headers = format!("X-Comfreymux-Prompt-Prefix: a1:90,{part}c{own}:40\r\n");
        seen.record_sent(&ask.attempt, kind);
        let front = fronts[rng.random_range(0..fronts.len())];
        spawn_local(async move { timeout(DEADLINE, ask.get(front)).await.is_ok() });
        sleep(Duration::from_millis(rng.random_range(50..MAX_PAUSE))).await;
    }
}

/// Returns what each part did.
pub fn tallies(world: &World) -> [PartTally; 2] {
    PARTS.map(|(part, _)| {
        let runs = world.runs.borrow();
        let has_part = |prefix: &String| prefix.split([',', ':']).any(|id| id == part);
        let runs: Vec<_> = runs
            .iter()
            .filter(|run| run.headers.get("x-comfreymux-prompt-prefix").is_some_and(has_part))
            .collect();
        let mut engines = BTreeSet::new();
        let first = runs.iter().filter(|run| engines.insert((&run.server, run.born)));
        let crashes: Vec<_> = first.map(|run| run.at).collect();
        let last = crashes.get(MAX_CRASHES - 1).map(|at| *at + CONTACT_TIME);
        let late = runs.iter().filter(|run| last.is_some_and(|last| run.at > last)).count();
        PartTally { part, ended: crashes.len(), late }
    })
}
