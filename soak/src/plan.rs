//! A seeded sequence of injected faults.

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use comfreymux_platform_testutils::foreign;
use comfreymux_platform_testutils::large_table::large_configuration;
use comfreymux_platform_testutils::rig::configuration;
use comfreymux_platform_testutils::server_standin::Behaviour;
use comfreymux_platform_testutils::store_standin::Mood;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::callers::CallerRecord;
use crate::proxy::Cut;
use crate::proxy::NetworkFault;
use crate::world::World;

/// Number of fault kinds, all equally likely.
const FAULT_KINDS: u32 = 14;

const BAD_BEHAVIOURS: [Behaviour; 9] = [
    Behaviour::RefuseUnrun,
    Behaviour::Fail,
    Behaviour::LoseAnswer,
    Behaviour::WrongId,
    Behaviour::Unsigned,
    Behaviour::BreakOff,
    Behaviour::Extra,
    Behaviour::SkipEvent,
    Behaviour::RepeatEvent,
];

/// Bad responses scripted on one server with each injected fault.
const BAD_RESPONSES: usize = 8;

/// Makes one server misbehave in some of its next responses, in addition to other faults.
///
/// Uses a random generator of its own, so that a seed's sequence of faults does not change.
pub fn inject_bad_responses(world: &World, rng: &mut ChaCha8Rng) {
    let servers = world.servers.borrow();
    let server = &servers[rng.random_range(0..servers.len())];
    let broken =
        (0..BAD_RESPONSES).map(|_| BAD_BEHAVIOURS[rng.random_range(0..BAD_BEHAVIOURS.len())]);
    server.script.borrow_mut().extend(broken);
}

/// Topic of the configuration.
const CONFIG_TOPIC: &str = "keyed.op";

/// Writes a record of a foreign writer to one of the store's topics, over a valid record or beside it.
/// The configuration is never overwritten: if all daemons restart, the store is its only source.
///
/// Uses a random generator of its own, as [`inject_bad_responses`] does.
pub fn inject_foreign_record(world: &World, rng: &mut ChaCha8Rng) {
    let server = {
        let servers = world.servers.borrow();
        servers[rng.random_range(0..servers.len())].id.clone()
    };
    let places = foreign::places(&server);
    let (topic, taken) = places[rng.random_range(0..places.len())];
    let is_taken = rng.random_bool(0.3) && topic != CONFIG_TOPIC;
    let key = if is_taken { taken.as_bytes() } else { foreign::ODD_KEY };
    let value = foreign::VALUES[rng.random_range(0..foreign::VALUES.len())];
    world.note(&format!("foreign topic={topic} key={}", key.escape_ascii()));
    world.store.put_raw(topic, key, value);
}

/// Probability that a server restarts under its id with an injected fault.
const RESTART_PROBABILITY: f64 = 0.3;

/// Restarts a server under its id with probability [`RESTART_PROBABILITY`].
///
/// Uses a random generator of its own, as [`inject_bad_responses`] does.
pub async fn restart(world: &World, rng: &mut ChaCha8Rng) {
    let server = rng.random_range(0..world.servers.borrow().len());
    if rng.random_bool(RESTART_PROBABILITY) {
        world.note(&format!("restart server={server}"));
        world.restart(server).await;
    }
}

/// Probability that a server asks for rest, and that a large configuration is written, with an injected fault.
const NOTICE_PROBABILITY: f64 = 0.25;
/// Largest number of routes that a large configuration adds.
const MAX_ROUTES: usize = 4_000;

/// Makes a server refuse all requests and ask for rest, and writes a large configuration, each with probability
/// [`NOTICE_PROBABILITY`].
///
/// Uses a random generator of its own, as [`inject_bad_responses`] does.
pub fn inject_notices(world: &World, rng: &mut ChaCha8Rng) {
    let (server, time) = {
        let servers = world.servers.borrow();
        let server = Rc::clone(&servers[rng.random_range(0..servers.len())]);
        (server, Duration::from_millis(rng.random_range(300..3000)))
    };
    if rng.random_bool(NOTICE_PROBABILITY) {
        world.note(&format!("rest server={} for={time:?}", server.id));
        *server.rest.borrow_mut() = Some(time.as_secs_f64().to_string());
        later(time, move || *server.rest.borrow_mut() = None);
    }
    let (routes, seed) = (rng.random_range(0..MAX_ROUTES), rng.random());
    if rng.random_bool(NOTICE_PROBABILITY) {
        let version = world.next_version();
        world.note(&format!("version={version} routes={routes}"));
        world.store.put_config(&large_configuration(version, routes, seed));
    }
}

/// Probability that a daemon is cut off from all servers with an injected fault.
const CUT_PROBABILITY: f64 = 0.25;

/// Cuts a daemon off from all servers with probability [`CUT_PROBABILITY`], unless the last cut goes on.
///
/// Uses a random generator of its own, as [`inject_bad_responses`] does.
pub fn inject_cut(world: &Rc<World>, rng: &mut ChaCha8Rng) {
    let daemon = rng.random_range(0..world.daemons.len());
    let time = Duration::from_millis(rng.random_range(500..6000));
    let (is_drawn, hangs) = (rng.random_bool(CUT_PROBABILITY), rng.random_bool(0.5));
    if !is_drawn || world.is_cut.replace(true) {
        return;
    }
    let process = world.daemons[daemon].borrow().process().unwrap_or(0);
    world.note(&format!("cut daemon={daemon} hangs={hangs} for={time:?}"));
    world.set_cut(Some(if hangs { Cut::Hang(process) } else { Cut::Refuse(process) }));
    let world = Rc::clone(world);
    later(time, move || {
        world.set_cut(None);
        world.is_cut.set(false);
    });
}

/// Probability that all daemons are killed at once with an injected fault.
const HERD_PROBABILITY: f64 = 0.08;

/// Kills all daemons with probability [`HERD_PROBABILITY`].
///
/// Uses a random generator of its own, as [`inject_bad_responses`] does.
pub fn kill_herd(world: &World, rng: &mut ChaCha8Rng) {
    if !rng.random_bool(HERD_PROBABILITY) {
        return;
    }
    kill_all(world);
}

/// Kills all daemons.
pub fn kill_all(world: &World) {
    world.note("kill all daemons");
    for daemon in 0..world.daemons.len() {
        world.signal(daemon, Signal::KILL);
    }
}

/// Probability that a rolling release of all engines begins with an injected fault.
const RELEASE_PROBABILITY: f64 = 0.4;

/// Begins a rolling release with probability [`RELEASE_PROBABILITY`], unless one is in progress: engines of the next
/// software version replace all others, one after the other.
///
/// Uses a random generator of its own, as [`inject_bad_responses`] does.
pub fn roll_release(world: &Rc<World>, rng: &mut ChaCha8Rng) {
    let pause = Duration::from_millis(rng.random_range(100..1500));
    if !rng.random_bool(RELEASE_PROBABILITY) || world.is_releasing.replace(true) {
        return;
    }
    world.release.set(world.release.get() + 1);
    world.note(&format!("release version={} pause={pause:?}", world.release.get()));
    let world = Rc::clone(world);
    spawn_local(async move {
        while let Some(index) = world.outdated_engine() {
            world.leave(index).await;
            sleep(pause).await;
        }
        world.is_releasing.set(false);
    });
}

/// Time between two stops of servers.
const STALL_PERIOD: Range<u64> = 8000..17_000;
/// Time for which they stand still.
const STALL_TIME: Range<u64> = 1000..8000;
/// Fraction of the servers that stand still, of each service.
const STALLED_FRACTION: f64 = 0.67;
/// Responses of each server that are scripted at a time: more than it gives until the next stop.
const FAILING_RESPONSES: usize = 10_000;
/// Fraction of these that fail.
const FAILED_FRACTION: f64 = 0.7;

/// Makes servers fail most requests, and a part of each service's servers stand still for some seconds, once.
pub async fn stall_servers(world: &World, rng: &mut ChaCha8Rng) {
    let behaviour = [Behaviour::Fail, Behaviour::LoseAnswer][rng.random_range(0..2)];
    let (time, pause) = (rng.random_range(STALL_TIME), rng.random_range(STALL_PERIOD));
    let (time, pause) = (Duration::from_millis(time), Duration::from_millis(pause));
    let servers = world.servers.borrow().clone();
    for server in &servers {
        let mut script = server.script.borrow_mut();
        while script.len() < FAILING_RESPONSES {
            let fails = rng.random_bool(FAILED_FRACTION);
            script.push_back(if fails { behaviour } else { Behaviour::Answer });
        }
    }
    let stalled: Vec<_> =
        servers.iter().filter(|_| rng.random_bool(STALLED_FRACTION)).cloned().collect();
    let ids: Vec<&str> = stalled.iter().map(|s| s.id.as_str()).collect();
    world.note(&format!("stall servers={} fail={behaviour:?} for={time:?}", ids.join(",")));
    for server in &stalled {
        server.freezer.freeze();
    }
    sleep(time).await;
    for server in &stalled {
        server.freezer.thaw();
    }
    sleep(pause.saturating_sub(time)).await;
}

/// Does so again and again until the troubles end.
pub async fn stall_repeatedly(world: Rc<World>, seen: Rc<CallerRecord>, mut rng: ChaCha8Rng) {
    while !seen.faults_over.get() {
        stall_servers(&world, &mut rng).await;
    }
}

fn later(time: Duration, action: impl FnOnce() + 'static) {
    spawn_local(async move {
        sleep(time).await;
        action();
    });
}

/// Probability that the store is restored from a copy with an injected fault.
const RESTORE_PROBABILITY: f64 = 0.15;

/// Copies the store and restores it from the copy some seconds later, with probability [`RESTORE_PROBABILITY`]. What the
/// operator and the servers wrote in between is written again a moment later, and nothing else.
///
/// Uses a random generator of its own, as [`inject_bad_responses`] does.
pub fn inject_restore(world: &World, rng: &mut ChaCha8Rng) {
    if !rng.random_bool(RESTORE_PROBABILITY) {
        return;
    }
    let mut time = |from, to| Duration::from_millis(rng.random_range(from..to));
    let (age, away, rewritten) = (time(300, 6000), time(0, 1200), time(0, 1000));
    world.note(&format!("restore age={age:?} away={away:?} rewritten={rewritten:?}"));
    let store = Rc::clone(&world.store);
    let copy = store.copy();
    spawn_local(async move {
        sleep(age).await;
        store.roll_back(&copy, away, rewritten).await;
    });
}

/// Fleet size from which readers poll the store for the others, as in the daemon's settings.
const LARGE_FLEET: usize = 37;

/// Returns the daemon that a random draw selects. In a large fleet every second draw selects a reader, so that
/// readers are often killed, paused and cut off, at times all at once.
fn target(world: &World, draw: usize) -> usize {
    if world.daemons.len() < LARGE_FLEET || !draw.is_multiple_of(2) {
        return draw;
    }
    let readers: Vec<usize> =
        (0..world.daemons.len()).filter(|n| world.daemons[*n].borrow().is_reader()).collect();
    if readers.is_empty() { draw } else { readers[draw / 2 % readers.len()] }
}

/// Injects one fault; a lasting one ends by itself.
pub async fn inject_fault(world: &Rc<World>, rng: &mut ChaCha8Rng) {
    let time = Duration::from_millis(rng.random_range(300..4000));
    let daemon = target(world, rng.random_range(0..world.daemons.len()));
    let server = rng.random_range(0..world.servers.borrow().len());
    let kind = rng.random_range(0..FAULT_KINDS);
    world.note(&format!("kind={kind} daemon={daemon} server={server} for={time:?}"));
    match kind {
        0 => world.signal(daemon, Signal::KILL),
        1 => world.signal(daemon, Signal::TERM),
        2 => {
            world.signal(daemon, Signal::STOP);
            let world = Rc::clone(world);
            later(time, move || world.signal(daemon, Signal::CONT));
        }
        3 => {
            let is_good = rng.random_bool(0.5);
            world.rewrite_settings(daemon, is_good);
            world.signal(daemon, Signal::HUP);
        }
        4 => {
            let moods = [Mood::Refusing, Mood::Silent, Mood::Losing];
            world.store.mood.set(moods[rng.random_range(0..moods.len())]);
            let store = Rc::clone(&world.store);
            later(time, move || store.mood.set(Mood::Well));
        }
        5 => {
            world.store.delay.set(Duration::from_millis(rng.random_range(50..400)));
            let store = Rc::clone(&world.store);
            later(time, move || store.delay.set(Duration::ZERO));
        }
        6 => {
            world.store.forget_history();
        }
        7 | 8 => {
            let proxies = if kind == 7 { &world.store_proxies } else { &world.front_proxies };
            inject_network_fault(&proxies[daemon], time, rng);
        }
        9 => {
            let proxies = world.server_proxies.borrow();
            inject_network_fault(&proxies[server], time, rng);
        }
        10 => world.crash(server).await,
        11 => world.leave(server).await,
        12 => {
            let behaviour = BAD_BEHAVIOURS[rng.random_range(0..BAD_BEHAVIOURS.len())];
            let servers = world.servers.borrow();
            servers[server].script.borrow_mut().extend([behaviour; 20]);
        }
        _ => {
            let version = world.next_version();
            world.store.put_config(&configuration(version));
        }
    }
}

fn inject_network_fault(proxy: &Rc<crate::proxy::Proxy>, time: Duration, rng: &mut ChaCha8Rng) {
    let kinds = [
        NetworkFault::Delay,
        NetworkFault::OneWay,
        NetworkFault::Stall,
        NetworkFault::Refuse,
        NetworkFault::None,
    ];
    let fault = kinds[rng.random_range(0..kinds.len())];
    if fault == NetworkFault::None {
        proxy.reset();
        return;
    }
    proxy.fault.set(fault);
    let proxy = Rc::clone(proxy);
    later(time, move || proxy.fault.set(NetworkFault::None));
}
