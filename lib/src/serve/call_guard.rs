//! A call that is out.

use crate::cluster::server_instance::ServerInstance;
use crate::serve::pool::ConnectionPool;

/// A call that is out. It closes the idle connections to the same address when it ends without an answer,
/// be it that its time is over or that its caller drops it.
///
/// What lost track of one connection has often lost them all, and each would cost another time limit.
#[derive(Debug)]
pub struct CallGuard<'a> {
    pool: &'a ConnectionPool,
    peer: &'a ServerInstance,
    answered: bool,
}

impl<'a> CallGuard<'a> {
    /// Begins a call.
    pub fn new(pool: &'a ConnectionPool, peer: &'a ServerInstance) -> Self {
        Self { pool, peer, answered: false }
    }

    /// Takes in an answer, or a failure that showed at once.
    pub fn mark_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.pool.close_idle(self.peer);
        }
    }
}
