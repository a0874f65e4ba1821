//! Guard that keeps an engine listed in the lease record while orders are sent to it.

use std::rc::Rc;

use crate::ids::Fence;
use crate::placement::recent_orders::EngineKey;
use crate::serve::daemon_state::DaemonState;

/// Keeps an engine listed in the lease record while orders may be sent to it; dropping the guard ends the orders.
#[derive(Debug)]
pub struct OrdersGuard {
    daemon: Rc<DaemonState>,
    engine: EngineKey,
    fence: Fence,
}

impl OrdersGuard {
    /// Announces orders to an engine; requests an immediate renewal if the lease record has to list the engine first.
    pub fn new(daemon: &Rc<DaemonState>, engine: EngineKey, fence: Fence) -> Self {
        if daemon.lease.borrow_mut().begin_orders(fence, engine, daemon.now()) {
            daemon.renewal_due.notify_one();
        }
        Self { daemon: Rc::clone(daemon), engine, fence }
    }
}

impl Drop for OrdersGuard {
    fn drop(&mut self) {
        let now = self.daemon.now();
        self.daemon.lease.borrow_mut().end_orders(self.fence, self.engine, now);
    }
}
