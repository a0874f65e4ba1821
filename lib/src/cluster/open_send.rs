//! A request on its way to a backend server.

use std::cell::Cell;
use std::rc::Rc;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;

/// A send whose request may still reach its server later. Clones share their state.
///
/// A suspended server receives what its kernel holds once it continues, also on connections that were closed before then.
/// So the end of a wait for a response does not end the send.
#[derive(Clone, Debug)]
pub struct OpenSend {
    /// The server.
    pub server: ServerInstance,
    /// When it was sent.
    pub sent_at: Moment,
    /// Whether it took from the retry budget.
    pub is_retry: bool,
    ended_at: Rc<Cell<Option<Moment>>>,
}

impl OpenSend {
    /// Returns a send that begins now.
    pub fn begin(server: ServerInstance, now: Moment, is_retry: bool) -> Self {
        Self { server, sent_at: now, is_retry, ended_at: Rc::default() }
    }

    /// Records that the request has arrived, or never will. Only the first end counts.
    pub fn end(&self, now: Moment) {
        self.ended_at.set(self.ended_at.get().or(Some(now)));
    }

    /// Returns when it ended; `None` while the request may still arrive.
    pub fn ended_at(&self) -> Option<Moment> {
        self.ended_at.get()
    }
}
