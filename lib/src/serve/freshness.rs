//! How recent a daemon's picture of the platform is, and whose word it stands on.

use std::cell::Cell;
use std::time::Duration;

use crate::boot_clock::Moment;

/// What the picture of the platform stands on.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The moment up to which the list of servers is complete but for what they hold, by this daemon's own reads or
    /// by readers' words.
    pub servers_at: Cell<Moment>,
    /// The moment up to which the configuration in force is the newest, as readers tell.
    pub config_at: Cell<Moment>,
    /// Whether a part of the list came by words, which leave out what servers hold.
    pub is_partial: Cell<bool>,
    /// Whether a reader told of changes behind some that were missed, or has another picture.
    pub has_gap: Cell<bool>,
    /// Since when the picture differs from readers', and since its last fetch for that.
    differs: Cell<Option<Moment>>,
}

/// A picture that differs from a reader's for this long is fetched anew. For a moment it may differ well: one of
/// the two has heard of a server's notice elsewhere.
const DIFFER_FOR: Duration = Duration::from_secs(1);

impl Freshness {
    /// Notes whether the picture is the same as a reader's; returns whether it must be fetched anew.
    pub fn record_comparison(&self, is_same: bool, now: Moment) -> bool {
        if is_same {
            self.differs.set(None);
            return false;
        }
        let since = self.differs.get().unwrap_or(now);
        let is_due = now >= since + DIFFER_FOR;
        self.differs.set(Some(if is_due { now } else { since }));
        self.has_gap.set(self.has_gap.get() || is_due);
        is_due
    }

    /// Notes that the list of servers is complete up to a moment.
    pub fn advance_servers(&self, at: Moment) {
        self.servers_at.set(self.servers_at.get().max(at));
    }
}
