//! Graceful stops of every daemon while servers are slow and no other fault is injected.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use crate::callers::CallerRecord;
use crate::world::World;

/// Time that a plain server takes for a request: shorter than a daemon waits before it fails over, longer
/// than the time left at the end of a graceful stop.
const SERVICE_TIME: Duration = Duration::from_millis(1500);
/// Time with such requests in progress before the first stop and after the last.
const MARGIN_TIME: Duration = Duration::from_millis(2500);
/// Interval between stops of two daemons.
const STOP_INTERVAL: Duration = Duration::from_millis(300);
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
pub async fn stop_each(world: &Rc<World>, seen: &CallerRecord) -> io::Result<()> {
    let set_service_time =
        |work| world.servers.borrow().iter().for_each(|server| server.work.set(work));
    world.note("calm stops");
    set_service_time(SERVICE_TIME);
    sleep(MARGIN_TIME).await;
    seen.only_stops.set(true);
    for daemon in 0..world.daemons.len() {
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
