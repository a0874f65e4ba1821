//! One request in progress.

use std::rc::Rc;

use crate::serve::active_requests::ActiveRequests;

/// A request in progress; its answer's body holds it until the HTTP library has taken the last of it.
#[derive(Debug)]
pub struct ActiveRequest(Rc<ActiveRequests>);

impl ActiveRequest {
    /// A request of a connection.
    pub fn new(connection: Rc<ActiveRequests>) -> Self {
        Self(connection)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.mark_buffered();
    }
}
