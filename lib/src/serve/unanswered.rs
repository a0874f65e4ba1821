//! An attempt that has no response yet, and the log line for callers that leave before there is one.

use http::StatusCode;

use crate::serve::attempt::Attempt;
use crate::serve::daemon_state::DaemonState;
use crate::serve::handle::CALLER_LEFT;
use crate::serve::handle::log_request;
use crate::serve::quotas;
use crate::verdict::Verdict;

/// Status in the log of requests whose callers closed the connection before the response; it is sent to nobody.
const CLIENT_CLOSED_REQUEST: u16 = 499;

/// An attempt that is being handled. Dropping it before `mark_answered` logs that the caller left: the HTTP library
/// drops the handler of a request when the caller's connection ends.
#[derive(Debug)]
pub struct UnansweredAttempt<'a> {
    daemon: &'a DaemonState,
    /// The attempt.
    pub attempt: &'a mut Attempt,
    is_answered: bool,
}

impl<'a> UnansweredAttempt<'a> {
    /// Begins to handle an attempt.
    pub fn new(daemon: &'a DaemonState, attempt: &'a mut Attempt) -> Self {
        Self { daemon, attempt, is_answered: false }
    }

    /// Records that the attempt has a response.
    pub fn mark_answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredAttempt<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        if self.attempt.sending {
            self.attempt.verdict = self.attempt.verdict.combine(Verdict::MayHaveRun);
        }
        quotas::give_back(self.daemon, self.attempt);
        let status = StatusCode::from_u16(CLIENT_CLOSED_REQUEST).unwrap_or(StatusCode::BAD_REQUEST);
        log_request(self.daemon, self.attempt, status, CALLER_LEFT, None);
    }
}
