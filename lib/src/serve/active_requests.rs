//! The requests in progress on one caller's connection.

use std::cell::Cell;
use std::rc::Rc;

use crate::serve::active_request::ActiveRequest;
use crate::serve::caller_connections::CallerConnection;
use crate::serve::daemon_state::DaemonState;

/// Counts a connection's requests from their heads until the last byte of their responses is written.
///
/// A stopping daemon waits for all of them. When a response counted as finished while most of it was
/// still buffered for a slow caller, the daemon exited and the caller received a truncated response.
#[derive(Debug)]
pub struct ActiveRequests {
    daemon: Rc<DaemonState>,
    /// Requests whose whole response the HTTP library has, but may not have written yet. They are
    /// still included in the daemon's count.
    buffered: Cell<u32>,
    connection: CallerConnection,
}

impl ActiveRequests {
    /// Makes the counter of a new connection.
    pub fn new(daemon: Rc<DaemonState>, connection: CallerConnection) -> Rc<Self> {
        Rc::new(Self { daemon, buffered: Cell::default(), connection })
    }

    /// Returns the connection.
    pub fn connection(&self) -> &CallerConnection {
        &self.connection
    }

    /// Counts a request as in progress until its response is written.
    pub fn begin(self: &Rc<Self>) -> ActiveRequest {
        self.daemon.active.set(self.daemon.active.get() + 1);
        self.connection.begin_request(self.daemon.now());
        ActiveRequest::new(Rc::clone(self))
    }

    /// Records that the HTTP library has a request's whole response.
    pub fn mark_buffered(&self) {
        self.buffered.set(self.buffered.get() + 1);
    }

    /// Records that all buffered responses are written, which ends their requests.
    pub fn mark_flushed(&self) {
        let written = self.buffered.take();
        if written > 0 {
            self.connection.end_request(self.daemon.now());
        }
        let active = self.daemon.active.get();
        self.daemon.active.set(active.saturating_sub(written));
    }
}

impl Drop for ActiveRequests {
    /// Ends the buffered requests, since nothing more can be written to a closed connection.
    fn drop(&mut self) {
        self.mark_flushed();
    }
}
