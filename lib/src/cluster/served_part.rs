//! When requests with a prompt part were served.

use crate::boot_clock::Moment;

/// When a request with a part last got an event from a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServedPart {
    /// At any daemon, as far as this one knows.
    pub at: Moment,
    /// At this daemon.
    pub own_at: Option<Moment>,
}
