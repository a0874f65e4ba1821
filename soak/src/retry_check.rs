//! Checks that repeated arrivals of requests at servers stay within the retry budget of all daemons, in any window.

use std::collections::BTreeSet;
use std::time::Duration;

use comfreymux_testutils::retry_windows::RetryWindow;
use comfreymux_testutils::retry_windows::worst_window;
use tokio::time::Instant;

use crate::callers::CallerRecord;
use crate::world::World;

/// Returns the worst window of the plain service, and that of the engines.
pub fn worst_windows(world: &World, seen: &CallerRecord) -> [Option<RetryWindow>; 2] {
    [false, true].map(|is_engine| {
        let sent = seen.attempts.borrow();
        let sent = sent.iter().filter(|s| s.kind.is_stream() == is_engine);
        let sent: Vec<Duration> = sent.map(|s| world.time_of(s.at)).collect();
        worst_window(&world.limits, &sent, &repeats(world, is_engine))
    })
}

/// Returns the faults of windows in which more than is allowed arrived again.
pub fn faults(windows: [Option<RetryWindow>; 2]) -> Vec<String> {
    let beyond = windows.into_iter().flatten().filter(|window| window.excess() > 0.0);
    beyond.map(|window| format!("retries beyond the budget: {window:?}")).collect()
}

/// Returns when each request arrived again at any server of a service, in order.
fn repeats(world: &World, is_engine: bool) -> Vec<Duration> {
    let again = repeated_arrivals(world, is_engine);
    again.into_iter().map(|arrival| world.time_of(arrival.at)).collect()
}

/// Returns the number of arrivals after the first of each request, at all servers of a service.
pub fn repeat_count(world: &World, is_engine: bool) -> usize {
    repeated_arrivals(world, is_engine).len()
}

/// Notes each repeated arrival with its server, to be compared with the sends in the daemons' logs.
pub fn note_repeats(world: &World) {
    for arrival in
        [false, true].into_iter().flat_map(|is_engine| repeated_arrivals(world, is_engine))
    {
        let SeenArrival { at, attempt, server } = arrival;
        world.note(&format!("repeat {attempt} server={server} {:.3?}", world.time_of(at)));
    }
}

/// An arrival at a server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SeenArrival {
    at: Instant,
    attempt: String,
    /// The server instance: id and start time.
    server: String,
}

/// Returns the arrivals of each request after the first, in order.
fn repeated_arrivals(world: &World, is_engine: bool) -> Vec<SeenArrival> {
    let (servers, removed) = (world.servers.borrow(), world.removed.borrow());
    let servers = servers.iter().chain(removed.iter()).filter(|s| s.engine.is_some() == is_engine);
    let mut arrivals: Vec<SeenArrival> = Vec::new();
    for server in servers {
        let name = format!("{}@{}", server.id, server.born);
        arrivals.extend(server.arrivals.borrow().iter().map(|a| SeenArrival {
            at: a.at,
            attempt: a.attempt.clone(),
            server: name.clone(),
        }));
    }
    arrivals.sort();
    let mut known = BTreeSet::new();
    arrivals.retain(|arrival| !known.insert(arrival.attempt.clone()));
    arrivals
}
