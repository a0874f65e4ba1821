//! Follows the platform's feed of servers: all the time, or only where nobody reads it for this daemon.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::boot_clock::Moment;
use crate::serve::apply_updates::apply_server_batch;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::backoff_after;
use crate::serve::store_calls::track_call;
use crate::serve::store_calls::track_read;
use crate::store::Feed;
use crate::store::StoreError;

/// Part of the time within which a leaving server must get nothing more that lies between two reads of the
/// servers' feed. Peers read at other moments and tell who left.
const READ_PART: f64 = 0.55;
/// The same for one who reads for others: its words take the place of their reads, and must come several times
/// before they read for themselves.
const READER_PART: f64 = 0.25;
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after calls that failed one after the other, of a daemon that lives by readers' words: they tell
/// when the store is back.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Time between looks at whether a read is due.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Follows the list of servers.
pub async fn follow_servers(daemon: Rc<DaemonState>) {
    // Whether the list was read once.
    let mut is_listed = false;
    let mut pause = PAUSE;
    loop {
        if is_listed {
            wait_until_due(&daemon).await;
        }
        let is_whole = !is_listed || must_list(&daemon);
        let sent = daemon.now();
        let end = daemon.directory.borrow().feed_end();
        let result = if is_whole {
            track_call(&daemon, Feed::Servers, daemon.store.list_latest(Feed::Servers)).await
        } else {
            let call = daemon.store.read(Feed::Servers, end, Duration::ZERO);
            track_read(&daemon, Feed::Servers, call).await
        };
        match result {
            Ok(batch) => {
                apply_server_batch(&daemon, &batch, is_whole);
                if is_whole {
                    daemon.freshness.is_partial.set(false);
                }
                daemon.freshness.has_gap.set(false);
                daemon.freshness.advance_servers(sent);
                is_listed = true;
                pause = PAUSE;
            }
            Err(StoreError::Expired) => is_listed = false,
            Err(_failed) => {
                // A call that was given up late was pause enough.
                let is_back = backoff_after(&daemon, sent, pause).await;
                let longest = if is_back || daemon.polls_servers() { PAUSE } else { LONGEST_PAUSE };
                pause = (pause * 2).min(longest);
            }
        }
    }
}

/// Returns whether the list must be read anew: who gives orders must know what servers hold, which words leave out.
fn must_list(daemon: &DaemonState) -> bool {
    daemon.held_fence().is_some() && daemon.freshness.is_partial.get()
}

/// Waits until the feed must be read.
async fn wait_until_due(daemon: &DaemonState) {
    loop {
        let left = due(daemon).saturating_sub(daemon.now());
        if left.is_zero() || must_list(daemon) {
            return;
        }
        sleep(left.min(LOOK_EVERY)).await;
    }
}

/// Returns when the feed must be read again.
///
/// A daemon that lives by words reads when they have told it nothing new for as long as its own pause would be, so
/// that its picture is never older than if it read all the time, whatever becomes of readers.
fn due(daemon: &DaemonState) -> Moment {
    let part = if daemon.is_large_fleet() && daemon.is_reader() { READER_PART } else { READ_PART };
    daemon.freshness.servers_at.get() + daemon.settings().drain.mul_f64(part)
}
