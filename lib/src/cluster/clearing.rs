//! What clears a prompt part of earlier crashes.

use crate::boot_clock::Moment;

/// A request with a part that got further than servers that crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clearing {
    /// When the request's first event came. Servers crash near it, so the part is cleared of crashes before then, however
    /// long the request went on.
    pub passed_at: Moment,
    /// When this daemon learned of it.
    pub learned_at: Moment,
    /// Whether this daemon relayed the request.
    pub is_own: bool,
}
