//! Requests whose prompts have a part that crashes every engine that begins to run them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use comfreymux_platform_testutils::caller::Ask;
use comfreymux_platform_testutils::rig::MODELS;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::callers::CallerRecord;
use crate::callers::Kind;
use crate::fatal_tally::FatalTally;
use crate::world::World;

/// Ids of the fatal parts, each with the time at which requests with it begin.
const PARTS: [(&str, Duration); 2] =
    [("dead01", Duration::from_secs(2)), ("dead02", Duration::from_secs(10))];
/// Longest pause between two requests, in milliseconds.
const MAX_PAUSE: u64 = 500;
/// Fraction of the requests that have a fatal part.
const FATAL_FRACTION: f64 = 0.4;

/// Makes the parts fatal.
pub fn make_fatal(world: &World) {
    world.fatal.borrow_mut().extend(PARTS.iter().map(|(part, _)| part.as_bytes().to_vec()));
}

/// Sends requests with and without fatal parts to random daemons until the troubles end.
pub async fn send_requests(seen: Rc<CallerRecord>, fronts: Vec<SocketAddr>, course: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(!course.rotate_left(8));
    let (began, mut count) = (Instant::now(), 0);
    let deadline = seen.deadline.get();
    while !seen.faults_over.get() {
        count += 1;
        let kind = [Kind::Draft, Kind::Note][rng.random_range(0..2)];
        let model = MODELS[rng.random_range(0..MODELS.len())];
        let path = if kind == Kind::Draft { "/draft/7" } else { "/note/7" };
        let mut ask = Ask::model(&format!("p{count}"), path, model);
        ask.deadline = seen.deadline_ms();
        ask.body = format!("draft {count}").into_bytes();
        let own = rng.random_range(0..8);
        let (part, from) = PARTS[rng.random_range(0..PARTS.len())];
        let is_fatal = rng.random_bool(FATAL_FRACTION) && began.elapsed() > from;
        let part = if is_fatal { format!("{part}:50,") } else { String::new() };
        ask.headers = format!("X-Comfreymux-Prompt-Prefix: a1:90,{part}c{own}:40\r\n");
        seen.record_sent(&ask, kind);
        let front = fronts[rng.random_range(0..fronts.len())];
        spawn_local(async move { timeout(deadline, ask.get(front)).await.is_ok() });
        sleep(Duration::from_millis(rng.random_range(50..MAX_PAUSE))).await;
    }
}

/// Returns what each part did.
pub fn tallies(world: &World) -> [FatalTally; 2] {
    PARTS.map(|(part, _)| {
        let has_part = |prefix: &String| prefix.split([',', ':']).any(|id| id == part);
        FatalTally::count(world, part, |run| {
            run.headers.get("x-comfreymux-prompt-prefix").is_some_and(has_part)
        })
    })
}
