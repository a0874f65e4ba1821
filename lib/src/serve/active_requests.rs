//! The requests in progress on one caller's connection.

use std::cell::Cell;
use std::rc::Rc;

use crate::serve::active_request::ActiveRequest;
use crate::serve::daemon_state::DaemonState;

/// Counts a connection's requests from their heads to the last bytes of their answers.
///
/// A daemon that stops waits for all of them. One that counted an answer as given while most of it
/// waited for a slow caller ended, and the caller got a part of it.
#[derive(Debug)]
pub struct ActiveRequests {
    daemon: Rc<DaemonState>,
    /// Requests that the HTTP library has whole answers to, which may not have been written; the
    /// daemon's count still holds them.
    unwritten: Cell<u32>,
}

impl ActiveRequests {
    /// Counts for a connection without requests.
    pub fn new(daemon: Rc<DaemonState>) -> Rc<Self> {
        Rc::new(Self { daemon, unwritten: Cell::default() })
    }

    /// Counts a request until its answer is written.
    pub fn begin(self: &Rc<Self>) -> ActiveRequest {
        self.daemon.active.set(self.daemon.active.get() + 1);
        ActiveRequest::new(Rc::clone(self))
    }

    /// Takes in that a request's answer lies whole with the HTTP library.
    pub fn mark_buffered(&self) {
        self.unwritten.set(self.unwritten.get() + 1);
    }

    /// Takes in that nothing is left to write.
    pub fn mark_flushed(&self) {
        let active = self.daemon.active.get();
        self.daemon.active.set(active.saturating_sub(self.unwritten.take()));
    }
}

impl Drop for ActiveRequests {
    /// The connection has ended.
    fn drop(&mut self) {
        self.mark_flushed();
    }
}
