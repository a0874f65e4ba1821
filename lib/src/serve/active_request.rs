//! A guard that counts one caller's request as in progress.

use std::rc::Rc;

use crate::boot_clock::Moment;
use crate::serve::active_requests::ActiveRequests;

/// A request in progress.
///
/// The response body owns it, so it is dropped when the HTTP library has read the whole body. The
/// request then counts as buffered, until the connection is flushed.
#[derive(Debug)]
pub struct ActiveRequest(Rc<ActiveRequests>);

impl ActiveRequest {
    /// Makes the guard of a request on `connection`, which has already counted it.
    pub fn new(connection: Rc<ActiveRequests>) -> Self {
        Self(connection)
    }

    /// Records that the request was read whole.
    pub fn begin_serving(&self, now: Moment) {
        self.0.connection().begin_serving(now);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.mark_buffered();
    }
}
