//! A guard that closes idle connections when a call ends without a response.

use crate::cluster::server_instance::ServerInstance;
use crate::serve::pool::ConnectionPool;

/// A call in progress. If it times out or is dropped, the idle connections to the same address are closed.
///
/// A peer that lost the state of one connection has often lost all of them, and each would cost another
/// timeout.
#[derive(Debug)]
pub struct CallGuard<'a> {
    pool: &'a ConnectionPool,
    peer: &'a ServerInstance,
    answered: bool,
}

impl<'a> CallGuard<'a> {
    /// Makes the guard of a call to `peer`.
    pub fn new(pool: &'a ConnectionPool, peer: &'a ServerInstance) -> Self {
        Self { pool, peer, answered: false }
    }

    /// Records a response, or an error that was returned before the timeout.
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
