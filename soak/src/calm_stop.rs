//! Planned stops without other troubles, beside slow servers.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use crate::callers::Seen;
use crate::world::World;

/// Time of a plain server for a request: less than a daemon waits before it asks another, more than a
/// stop has left at its end.
const WORK: Duration = Duration::from_millis(1500);
/// Time in which callers have such requests under way, before and after the stops.
const AROUND: Duration = Duration::from_millis(2500);
/// Time between two stops.
const GAP: Duration = Duration::from_millis(300);
/// Time between looks at the daemons.
const LOOK: Duration = Duration::from_millis(50);

/// Stops each daemon while its callers go on, and waits until others run in their place.
///
/// Nothing else happens meanwhile, so that no request which a server ran may go without an answer, and
/// no caller may be left in doubt.
///
/// # Errors
///
/// A program cannot be started.
pub async fn stop_each(world: &Rc<World>, seen: &Seen) -> io::Result<()> {
    let slow = |work| world.servers.borrow().iter().for_each(|server| server.work.set(work));
    world.note("calm stops");
    slow(WORK);
    sleep(AROUND).await;
    seen.calm.set(true);
    for daemon in 0..world.daemons.len() {
        world.signal(daemon, Signal::TERM);
        sleep(GAP).await;
    }
    while world.daemons.iter().any(|d| d.borrow().is_stopping()) {
        world.tend()?;
        sleep(LOOK).await;
    }
    sleep(AROUND).await;
    seen.calm.set(false);
    slow(Duration::ZERO);
    Ok(())
}
