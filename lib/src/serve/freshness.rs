//! How up to date a daemon's list of servers and its configuration are, and whether its directory matches the readers'.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use crate::boot_clock::Moment;

/// How up to date the list of servers and the configuration are, and where the list came from.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Time up to which the list of servers, apart from the models that they hold, is complete, according to this
    /// daemon's own reads of the store or to reader reports.
    pub servers_at: Cell<Moment>,
    /// Time up to which the configuration in force is known to be the newest, according to this daemon's own reads of
    /// the store or to reader reports.
    pub config_at: Cell<Moment>,
    /// Whether the whole list was received once, from the store or from a peer.
    pub is_listed: Cell<bool>,
    /// Whether a part of the list came from reader reports, which omit the models that servers hold.
    pub is_partial: Cell<bool>,
    /// Whether changes before those in a reader report were missed, or the directory has differed from a reader's for
    /// `REFETCH_AFTER`.
    pub has_gap: Cell<bool>,
    /// Time since which the directory has differed from a reader's, or of the last fetch that was due for that reason.
    differs_since: Cell<Option<Moment>>,
    /// Latest time up to which a request needs the list of servers to be complete.
    needed_at: Cell<Moment>,
    /// Signalled when `servers_at` advances.
    advanced: Notify,
}

/// A directory that differs from a reader's for this long is fetched again. Short differences are normal: one of the
/// two daemons may have learned from another source that a server is leaving.
const REFETCH_AFTER: Duration = Duration::from_secs(1);

impl Freshness {
    /// Records whether the directory is the same as a reader's; returns whether it must be fetched again.
    pub fn record_comparison(&self, is_same: bool, now: Moment) -> bool {
        if is_same {
            self.differs_since.set(None);
            return false;
        }
        let since = self.differs_since.get().unwrap_or(now);
        let is_due = now >= since + REFETCH_AFTER;
        self.differs_since.set(Some(if is_due { now } else { since }));
        self.has_gap.set(self.has_gap.get() || is_due);
        is_due
    }

    /// Records that the configuration in force was the newest at `at`.
    pub fn confirm_config(&self, at: Moment) {
        self.config_at.set(self.config_at.get().max(at));
    }

    /// Records that the list of servers is complete up to `at`.
    pub fn advance_servers(&self, at: Moment) {
        self.servers_at.set(self.servers_at.get().max(at));
        self.advanced.notify_waiters();
    }

    /// Waits until the list of servers is complete up to `at`; the store is read for that.
    pub async fn wait_for_servers(&self, at: Moment) {
        loop {
            let advanced = self.advanced.notified();
            if self.servers_at.get() >= at {
                return;
            }
            self.needed_at.set(self.needed_at.get().max(at));
            advanced.await;
        }
    }

    /// Returns whether a request waits for a later list of servers.
    pub fn is_awaited(&self) -> bool {
        self.needed_at.get() > self.servers_at.get()
    }
}
