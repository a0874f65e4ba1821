//! `comfreymux-soak`: runs real daemons under random faults and checks their guarantees from outside.

mod flags;

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use comfreymux_platform_testutils::crash_moment::CrashMoment;
use comfreymux_platform_testutils::rig;
use comfreymux_soak::callers;
use comfreymux_soak::callers::CallerRecord;
use comfreymux_soak::callers::DEADLINE;
use comfreymux_soak::calm_stop;
use comfreymux_soak::crashed_port::CrashedPort;
use comfreymux_soak::failure::Failure;
use comfreymux_soak::fatal_parts;
use comfreymux_soak::fatal_tally;
use comfreymux_soak::fatal_tally::FatalTally;
use comfreymux_soak::plan;
use comfreymux_soak::process::BUDGET_LIMITS;
use comfreymux_soak::retry_check;
use comfreymux_soak::send_check;
use comfreymux_soak::world::Size;
use comfreymux_soak::world::World;
use comfreymux_testutils::retry_windows::RetryWindow;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::flags::ComfreymuxSoak;

/// Callers per daemon.
const CALLERS_PER_DAEMON: usize = 4;
/// Longest pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(60);
/// Callers per daemon with `--stalls`: enough for retries beyond the slack.
const MANY_CALLERS: usize = 40;
/// Engines per daemon with `--stalls`, which have slots for the streams of these callers.
const MANY_ENGINES: usize = 3;
/// Time without faults within which service must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Number of distinct requests that crash servers.
const FATAL_REQUESTS: usize = 3;
/// Servers that such a request may crash before daemons that receive each other's reports quarantine it.
const CRASHES_PER_DAEMON: usize = 3;
/// Fraction of responses that must be good after the recovery.
const MIN_GOOD_RATIO: f64 = 0.9;

fn main() -> ExitCode {
    let flags = ComfreymuxSoak::from_env_or_exit();
    let folder = flags.folder.unwrap_or_else(|| std::env::temp_dir().join("comfreymux-soak"));
    let first = flags.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let time = Duration::from_secs(flags.seconds.unwrap_or(15));
    let daemons = flags.daemons.unwrap_or(4);
    let usual = if flags.stalls { MANY_CALLERS } else { CALLERS_PER_DAEMON };
    let course = Course {
        is_fatal: flags.fatal,
        has_parts: flags.parts,
        moment: flags.moment.unwrap_or_default(),
        port: flags.port.unwrap_or_default(),
        faults: match (flags.mixed, flags.stalls) {
            (true, _) => Faults::Mixed,
            (false, true) => Faults::Stalls,
            (false, false) => Faults::Usual,
        },
        callers: Callers {
            per_daemon: flags.callers.unwrap_or(usual),
            pause: flags.pause.map_or(CALLER_PAUSE, Duration::from_millis),
            deadline: flags.deadline.map_or(DEADLINE, Duration::from_millis),
            resends: flags.resend,
        },
        ends_herd: flags.herd,
        failure: flags.failure,
        slack: flags.slack.map_or(BUDGET_LIMITS.slack, f64::from),
    };
    let mut failed = 0;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let folder = folder.join(format!("seed-{seed}"));
        let engines = if flags.stalls { MANY_ENGINES } else { 1 } * daemons;
        let size = Size { daemons, plain: 3, engines: engines.max(4), slack: course.slack };
        match rig::run(soak(size, seed, time, course, &flags.program, &folder)) {
            Ok((faults, summary)) if faults.is_empty() => {
                println!("seed {seed}: kept; {summary}");
                if !flags.keep {
                    let _removed = fs::remove_dir_all(&folder);
                }
            }
            Ok((faults, summary)) => {
                failed += 1;
                println!("seed {seed}: BROKEN; {summary}; logs in {}", folder.display());
                for fault in faults.iter().take(20) {
                    println!("  {fault}");
                }
            }
            Err(error) => {
                failed += 1;
                println!("seed {seed}: not run: {error}");
            }
        }
    }
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Which faults a soak injects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Faults {
    /// All but stalls of servers.
    Usual,
    /// Servers that fail requests and stand still.
    Stalls,
    /// All of them, and kills of all daemons.
    Mixed,
}

/// How callers behave.
#[derive(Clone, Copy, Debug)]
struct Callers {
    /// Their number per daemon.
    per_daemon: usize,
    /// Longest pause between two requests of one.
    pause: Duration,
    /// For how long they wait.
    deadline: Duration,
    /// Whether they send an attempt again when a kept connection ends without a response.
    resends: bool,
}

/// What a soak plays.
#[derive(Clone, Copy, Debug)]
struct Course {
    /// Requests that crash servers.
    is_fatal: bool,
    /// Requests with prompt parts that crash engines.
    has_parts: bool,
    /// When engines crash under them.
    moment: CrashMoment,
    /// What becomes of the ports of servers that crashed.
    port: CrashedPort,
    faults: Faults,
    callers: Callers,
    /// Whether all daemons are killed at the end of the faults.
    ends_herd: bool,
    /// How servers treat most requests.
    failure: Option<Failure>,
    /// Retries of all daemons in a window regardless of the number of requests.
    slack: f64,
}

async fn soak(
    size: Size,
    seed: u64,
    time: Duration,
    course: Course,
    program: &Path,
    folder: &Path,
) -> io::Result<(Vec<String>, String)> {
    fs::create_dir_all(folder)?;
    let world = World::start(size, seed, (course.moment, course.port), program, folder).await?;
    let outcome = Rc::new(CallerRecord::default());
    sleep(Duration::from_millis(1500)).await;
    start_callers(&world, &outcome, course, seed);
    let stalls = ChaCha8Rng::seed_from_u64(seed.rotate_left(24));
    if course.faults == Faults::Mixed {
        spawn_local(plan::stall_repeatedly(Rc::clone(&world), Rc::clone(&outcome), stalls));
    }
    if let Some(failure) = course.failure {
        let rng = ChaCha8Rng::seed_from_u64(!seed.rotate_left(8));
        spawn_local(failure.inject(Rc::clone(&world), Rc::clone(&outcome), rng));
    }
    let mut herds = ChaCha8Rng::seed_from_u64(!seed.rotate_left(24));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut broken = ChaCha8Rng::seed_from_u64(!seed);
    let mut foreign = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut again = ChaCha8Rng::seed_from_u64(!seed.rotate_left(32));
    let mut notices = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let mut cuts = ChaCha8Rng::seed_from_u64(seed.rotate_left(48));
    let mut releases = ChaCha8Rng::seed_from_u64(!seed.rotate_left(16));
    let mut restores = ChaCha8Rng::seed_from_u64(!seed.rotate_left(48));
    let began = Instant::now();
    while began.elapsed() < time {
        if course.faults == Faults::Stalls {
            plan::stall_servers(&world, &mut rng).await;
            continue;
        }
        plan::inject_fault(&world, &mut rng).await;
        plan::inject_bad_responses(&world, &mut broken);
        plan::inject_foreign_record(&world, &mut foreign);
        plan::restart(&world, &mut again).await;
        plan::inject_notices(&world, &mut notices);
        plan::inject_cut(&world, &mut cuts);
        plan::roll_release(&world, &mut releases);
        plan::inject_restore(&world, &mut restores);
        if course.faults == Faults::Mixed {
            plan::kill_herd(&world, &mut herds);
        }
        let pause = Duration::from_millis(rng.random_range(50..1200));
        let next = Instant::now() + pause;
        while Instant::now() < next {
            world.restart_exited()?;
            world.restart_crashed().await;
            sleep(Duration::from_millis(50)).await;
        }
    }
    if course.ends_herd {
        plan::kill_all(&world);
    }
    recover(&world, &outcome).await?;
    let (good, all) = outcome.responses.get();
    calm_stop::stop_each(&world, &outcome).await?;
    outcome.stopped.set(true);
    sleep(Duration::from_millis(200)).await;
    let mut faults = check(&world, &outcome);
    let windows = retry_check::worst_windows(&world, &outcome);
    retry_check::note_repeats(&world);
    faults.extend(retry_check::faults(windows));
    let handed = send_check::tallies(&world, &outcome);
    // Runs of engines are reported, but are no fault: a stream ends with its events, not at its deadline.
    faults.extend(handed[0].fault());
    let parts = fatal_parts::tallies(&world);
    let fatal = fatal_tally::of_requests(&world);
    faults.extend(parts.iter().chain(&fatal).filter_map(FatalTally::fault));
    if (good as f64) < MIN_GOOD_RATIO * all as f64 || all == 0 {
        faults.push(format!("after the recovery {good} of {all} answers are good"));
    }
    let attempts = outcome.attempts.borrow().len();
    let (resumed, tries) = outcome.resumed.get();
    let resent = outcome.resent.get();
    let excess = |w: RetryWindow| format!("{:.0}", w.excess());
    let repeats = windows.map(|w| w.map_or_else(|| "-".to_owned(), excess)).join(" and ");
    let handed = handed.map(|tally| tally.to_string()).join(" and ");
    let fatal: Vec<_> = parts.iter().chain(&fatal).map(FatalTally::to_string).collect();
    let fatal = fatal.join(", ");
    let summary = format!(
        "{attempts} requests, {good} of {all} good after recovery, streams taken up {resumed} of {tries} times, {resent} sent again, \
         repeats beyond the budget {repeats}; {handed}; {fatal}"
    );
    Ok((faults, summary))
}

/// Starts the callers, and those of requests that crash servers.
fn start_callers(world: &Rc<World>, outcome: &Rc<CallerRecord>, course: Course, seed: u64) {
    let fronts: Vec<_> = world.front_proxies.iter().map(|p| p.addr).collect();
    outcome.pause.set(course.callers.pause);
    outcome.deadline.set(course.callers.deadline);
    outcome.resends.set(course.callers.resends);
    for number in 0..fronts.len() * course.callers.per_daemon {
        spawn_local(callers::send_requests(Rc::clone(outcome), fronts.clone(), seed, number));
    }
    if course.is_fatal {
        let bodies = (0..FATAL_REQUESTS).map(|n| format!("fatal {n}").into_bytes());
        world.fatal.borrow_mut().extend(bodies);
        let bodies = world.fatal.borrow().clone();
        spawn_local(callers::send_fatal_requests(Rc::clone(outcome), fronts.clone(), bodies, seed));
    }
    if course.has_parts {
        fatal_parts::make_fatal(world);
        spawn_local(fatal_parts::send_requests(Rc::clone(outcome), fronts.clone(), seed));
    }
}

/// Ends all faults, waits for service to recover and then counts responses for as long again.
async fn recover(world: &Rc<World>, seen: &CallerRecord) -> io::Result<()> {
    world.note("troubles end");
    seen.faults_over.set(true);
    for daemon in 0..world.daemons.len() {
        world.rewrite_settings(daemon, true);
        world.signal(daemon, Signal::CONT);
    }
    for server in world.servers.borrow().iter() {
        server.script.borrow_mut().clear();
        server.freezer.thaw();
    }
    let began = Instant::now();
    while began.elapsed() < RECOVERY_TIME * 2 {
        world.restart_exited()?;
        world.restart_crashed().await;
        if began.elapsed() < RECOVERY_TIME {
            seen.responses.set((0, 0));
        }
        sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Returns the violated guarantees, from the records of callers, servers, engines and daemons.
fn check(world: &World, seen: &CallerRecord) -> Vec<String> {
    let mut faults = seen.faults.borrow().clone();
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in world.runs.borrow().iter() {
        *runs.entry(run.attempt.clone()).or_default() += 1;
    }
    let sent = seen.attempts.borrow();
    let kinds: BTreeMap<&str, callers::Kind> =
        sent.iter().map(|s| (s.id.as_str(), s.kind)).collect();
    for (attempt, count) in &runs {
        match kinds.get(attempt.as_str()) {
            None => faults.push(format!("{attempt} ran, but no caller sent it")),
            Some(kind) if kind.is_single() && *count > 1 => {
                faults.push(format!("{attempt} {kind:?} ran {count} times"));
            }
            Some(_) => {}
        }
    }
    for attempt in seen.not_run.borrow().iter() {
        let is_single = kinds.get(attempt.as_str()).is_some_and(|k| k.is_single());
        if is_single && runs.contains_key(attempt) {
            faults.push(format!("{attempt} was told that it did not run, but it did"));
        }
    }
    for attempt in seen.unanswered.borrow().iter().filter(|a| runs.contains_key(*a)) {
        let kind = kinds.get(attempt.as_str());
        faults
            .push(format!("{attempt} {kind:?} ran, and a planned stop left it without an answer"));
    }
    // Daemons that are cut off from each other and the store each detect the crashes alone.
    let most = CRASHES_PER_DAEMON * world.daemons.len();
    let fatal = fatal_tally::of_requests(world).into_iter().filter(|tally| tally.ended > most);
    faults.extend(fatal.map(|tally| format!("a request crashed too many servers: {tally}")));
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    let servers = world.servers.borrow();
    let removed = world.removed.borrow();
    for server in servers.iter().chain(removed.iter()) {
        let Some(engine) = &server.engine else { continue };
        let engine = engine.borrow();
        faults.extend(engine.faults.iter().map(|f| format!("{}: {f}", server.id)));
        for (holder, fence, _) in &engine.orders {
            let first = holders.entry(*fence).or_insert_with(|| holder.clone());
            if first != holder {
                faults.push(format!("fence {fence} used by {first} and {holder}"));
            }
        }
    }
    for daemon in &world.daemons {
        faults.extend(daemon.borrow().faults.iter().cloned());
    }
    faults
}
