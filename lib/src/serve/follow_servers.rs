//! Polls the store's feed of servers: at regular intervals, or only if reader reports do not cover it for this daemon.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::boot_clock::Moment;
use crate::serve::apply_updates::apply_server_batch;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::backoff_after;
use crate::serve::store_calls::track_call;
use crate::serve::store_calls::track_repeatable;
use crate::store::Feed;
use crate::store::StoreError;

/// Interval between two reads of the servers' feed, as a fraction of the time within which a leaving server must stop
/// receiving requests. Peers read at other times and report servers that leave.
const POLL_FRACTION: f64 = 0.55;
/// The same for a reader: its reports replace the reads of other daemons, and several must arrive before those read
/// the feed themselves.
const READER_POLL_FRACTION: f64 = 0.25;
/// First delay before a failed call is retried; doubled after each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest such delay, for a daemon that relies on readers: their reports show when the store has recovered.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Interval at which a daemon checks whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the feed of servers and applies its records, for as long as the daemon runs.
pub async fn follow_servers(daemon: Rc<DaemonState>) {
    // Whether the whole list was read, and changes since then are still in the feed.
    let mut is_listed = false;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        if is_listed {
            wait_until_due(&daemon).await;
        }
        let is_whole = !is_listed || must_relist(&daemon);
        let sent_at = daemon.now();
        let end = daemon.directory.borrow().feed_end();
        let result = if is_whole {
            track_call(&daemon, Feed::Servers, daemon.store.list_latest(Feed::Servers)).await
        } else {
            let call = daemon.store.read(Feed::Servers, end, Duration::ZERO);
            track_repeatable(&daemon, Feed::Servers, call).await
        };
        match result {
            Ok(batch) => {
                apply_server_batch(&daemon, &batch, is_whole);
                if is_whole {
                    daemon.freshness.is_partial.set(false);
                }
                daemon.freshness.has_gap.set(false);
                daemon.freshness.advance_servers(sent_at);
                is_listed = true;
                retry_delay = MIN_RETRY_DELAY;
            }
            Err(StoreError::Expired) => {
                daemon.version_history.borrow_mut().record_gap();
                is_listed = false;
            }
            Err(_failed) => {
                // The delay counts from the start of the call, so a call that timed out late is retried at once.
                let has_recovered = backoff_after(&daemon, sent_at, retry_delay).await;
                let max_delay = if has_recovered || daemon.polls_servers() {
                    MIN_RETRY_DELAY
                } else {
                    MAX_RETRY_DELAY
                };
                retry_delay = (retry_delay * 2).min(max_delay);
            }
        }
    }
}

/// Returns whether the whole list must be read again: the lease holder must know what servers have loaded, which reader
/// reports omit.
fn must_relist(daemon: &DaemonState) -> bool {
    daemon.held_fence().is_some() && daemon.freshness.is_partial.get()
}

/// Returns whether the store was restored from an older copy since it was read; `false` for a daemon that relies on
/// readers, whose reports cover the changes.
fn is_outdated(daemon: &DaemonState) -> bool {
    daemon.polls_servers() && daemon.is_restored_since(daemon.directory.borrow().feed_end())
}

/// Waits until the feed is due to be read.
async fn wait_until_due(daemon: &DaemonState) {
    loop {
        let remaining = due_at(daemon).saturating_sub(daemon.now());
        let is_due = remaining.is_zero() || daemon.freshness.is_awaited();
        if is_due || must_relist(daemon) || is_outdated(daemon) {
            return;
        }
        sleep(remaining.min(CHECK_INTERVAL)).await;
    }
}

/// Returns when the feed is due to be read again.
///
/// A daemon that relies on readers reads the feed itself when their reports have not updated it for one poll interval.
/// Its directory is therefore never older than if it always polled, even if all readers fail.
fn due_at(daemon: &DaemonState) -> Moment {
    let fraction = if daemon.is_large_fleet() && daemon.is_reader() {
        READER_POLL_FRACTION
    } else {
        POLL_FRACTION
    };
    let read_at = daemon.freshness.servers_at.get();
    let usual = read_at + daemon.settings().drain.mul_f64(fraction);
    // A usual poll would read entries that return late only after they were removed.
    let returns_due = daemon.directory.borrow().returns_due();
    returns_due.filter(|due| read_at < *due).map_or(usual, |due| usual.min(due))
}
