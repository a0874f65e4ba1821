//! Graceful stops of every daemon while servers are slow, some of its requests are never answered, and no other fault is injected.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use comfreymux_platform_testutils::caller::Ask;
use comfreymux_platform_testutils::server_standin::HANGING_BODY;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::callers::CallerRecord;
use crate::callers::Kind;
use crate::world::World;

/// Time that a plain server takes for a request: shorter than a daemon waits before it fails over, longer
/// than the time left at the end of a graceful stop.
const SERVICE_TIME: Duration = Duration::from_millis(1500);
/// Time with such requests in progress before the first stop and after the last.
const MARGIN_TIME: Duration = Duration::from_millis(2500);
/// Interval between stops of two daemons.
const STOP_INTERVAL: Duration = Duration::from_millis(300);
/// Number of requests that keep a daemon running until the end of its grace period, and the time between two.
const HANGING_REQUESTS: usize = 12;
const HANGING_INTERVAL: Duration = Duration::from_millis(500);
/// Deadline of these requests.
const HANGING_DEADLINE: Duration = Duration::from_secs(4);
/// Interval between checks of the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Stops each daemon while callers keep sending, and waits until all have been restarted.
///
/// No other fault is active, so every request that a server ran must get a response, and no caller may
/// get the status for an unknown outcome.
///
/// # Errors
///
/// A daemon's program cannot be started.
pub async fn stop_each(world: &Rc<World>, seen: &Rc<CallerRecord>) -> io::Result<()> {
    let set_service_time =
        |work| world.servers.borrow().iter().for_each(|server| server.work.set(work));
    world.note("calm stops");
    set_service_time(SERVICE_TIME.min(seen.deadline.get() / 2));
    sleep(MARGIN_TIME).await;
    seen.only_stops.set(true);
    for daemon in 0..world.daemons.len() {
        send_hanging(world, seen, daemon);
        sleep(POLL_INTERVAL).await;
        world.signal(daemon, Signal::TERM);
        sleep(STOP_INTERVAL).await;
    }
    while world.daemons.iter().any(|d| d.borrow().is_stopping()) {
        world.restart_exited()?;
        sleep(POLL_INTERVAL).await;
    }
    sleep(MARGIN_TIME).await;
    seen.only_stops.set(false);
    set_service_time(Duration::ZERO);
    Ok(())
}

/// Sends a daemon requests that are never answered, one after the other.
fn send_hanging(world: &World, seen: &Rc<CallerRecord>, daemon: usize) {
    let (front, seen) = (world.front_proxies[daemon].addr, Rc::clone(seen));
    spawn_local(async move {
        for n in 0..HANGING_REQUESTS {
            let mut ask = Ask::new(&format!("h{daemon}-{n}"), "/book/7");
            ask.body = HANGING_BODY.to_vec();
            ask.deadline = HANGING_DEADLINE.as_millis() as u64;
            seen.record_sent(&ask, Kind::Book);
            spawn_local(async move { ask.get(front).await.is_ok() });
            sleep(HANGING_INTERVAL).await;
        }
    });
}
