//! Servers that are replaced in several ways at a time.

use std::io;
use std::path::Path;
use std::rc::Rc;

use comfreymux_platform_testutils::caller::Ask;
use comfreymux_platform_testutils::rig::MODELS;
use comfreymux_platform_testutils::rig::run;
use comfreymux_soak::retry_check::repeat_count;
use comfreymux_soak::world::Size;
use comfreymux_soak::world::World;
use tokio::task::yield_now;

/// Place of the first engine.
const ENGINE: usize = 1;
/// Requests that it gets before it is replaced.
const REQUESTS: usize = 5;

/// Guards against counting the arrivals of a server twice if it leaves while it restarts.
#[test]
fn left_restarting() -> io::Result<()> {
    run(async {
        let folder = std::env::temp_dir().join(format!("left-restarting-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let size = Size { daemons: 0, plain: 1, engines: 3, slack: 0.0 };
        let world = World::start(size, 1, <_>::default(), Path::new("no-daemon"), &folder).await?;
        let server = Rc::clone(&world.servers.borrow()[ENGINE]);
        for n in 0..REQUESTS {
            let mut ask = Ask::model(&format!("a{n}"), "/draft/7", MODELS[0]);
            ask.headers = format!("X-Comfreymux-Expect-Instance: {}\r\n", server.id);
            ask.get(server.addr).await?;
        }
        assert_eq!(server.arrivals.borrow().len(), REQUESTS);
        assert_eq!(repeat_count(&world, true), 0);
        let leave = async {
            // The restart waits for the port by now.
            yield_now().await;
            world.leave(ENGINE).await;
        };
        tokio::join!(world.restart(ENGINE), leave);
        let removed = world.removed.borrow();
        let times = removed.iter().filter(|s| Rc::ptr_eq(s, &server)).count();
        assert_eq!(times, 1, "times that the server was removed");
        assert_eq!(repeat_count(&world, true), 0);
        std::fs::remove_dir_all(&folder)
    })
}
