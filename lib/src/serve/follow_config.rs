//! Polls the store for the operators' configuration.
//!
//! Each call costs money, so only some daemons of a data centre poll at short intervals. The others use long polls,
//! and poll again at once when a peer has a later version.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::ids::Offset;
use crate::serve::apply_updates::CONFIG_KEY;
use crate::serve::apply_updates::apply_config;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::abandon_call;
use crate::serve::store_calls::backoff_after;
use crate::serve::store_calls::track_call;
use crate::serve::store_calls::track_read;
use crate::store::Batch;
use crate::store::Feed;
use crate::store::StoreError;

/// How long the store may hold one call of a daemon that polls at short intervals while nothing changes.
///
/// A call that reached an unresponsive store, or whose connection was lost without a reset, is never answered.
/// Versions written after the store has recovered are not seen until that call times out, one second after this
/// wait. Users allow three seconds, of which one is left for the retry. With a wait of five seconds all daemons of a
/// fleet used an old version for up to six seconds after an outage.
const SHORT_POLL: Duration = Duration::from_secs(1);
/// The same for other daemons. One call a second from each of 72 daemons cost 0.02 of a day's worth.
const LONG_POLL: Duration = Duration::from_secs(5);
/// Timeout of a call of a daemon that polls at short intervals, even if it began to do so only during the call.
const SHORT_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a daemon checks whether it should poll at short intervals.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a daemon still waits for the answer of its own call when a peer has a later version: the store usually
/// answers both at the same time.
const PEER_VERSION_DELAY: Duration = Duration::from_millis(100);
/// A call is not abandoned for a peer's later version before this age.
const MIN_CALL_AGE: Duration = Duration::from_millis(500);
/// Shortest delay before a failed call is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest delay after repeated failures, of a daemon that relies on readers, whose reports show when the store has
/// recovered: in eight seconds without the store 290 daemons made 9,000 failed calls. It is half of the time within
/// which a version must be in force, in case no reader is left by then.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Polls for the configuration and applies it, for as long as the daemon runs.
pub async fn follow_config(daemon: Rc<DaemonState>) {
    let mut from = None;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let mut sent_at = daemon.now();
        let result = match from {
            None => {
                track_call(
                    &daemon,
                    Feed::Configuration,
                    daemon.store.list_latest(Feed::Configuration),
                )
                .await
            }
            Some(offset) => {
                wait_until_needed(&daemon).await;
                sent_at = daemon.now();
                read_changes(&daemon, offset).await
            }
        };
        match result {
            Ok(batch) => {
                apply_batch(&daemon, &batch);
                from = Some(batch.end);
                retry_delay = MIN_RETRY_DELAY;
            }
            Err(StoreError::Expired) => from = None,
            // The delay counts from the start of the call, so a call that timed out late is retried at once.
            Err(_failed) => {
                let has_recovered = backoff_after(&daemon, sent_at, retry_delay).await;
                let has_readers = from.is_some() && daemon.relies_on_readers();
                retry_delay = if has_readers && !has_recovered {
                    (retry_delay * 2).min(MAX_RETRY_DELAY)
                } else {
                    MIN_RETRY_DELAY
                };
            }
        }
    }
}

/// Waits while reader reports confirm the configuration for this daemon.
async fn wait_until_needed(daemon: &DaemonState) {
    while daemon.relies_on_readers() && !daemon.polls_config() {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Applies the latest readable configuration of a batch.
fn apply_batch(daemon: &DaemonState, batch: &Batch) {
    daemon.log_unreadable_records(Feed::Configuration, batch);
    let records = batch.records.iter().rev().filter(|r| r.key == CONFIG_KEY);
    // An unreadable record of another writer must not hide the operators' version before it.
    for raw in records.filter_map(|r| r.value.as_ref()) {
        if apply_config(daemon, raw, "store") {
            break;
        }
    }
}

/// Reads the feed from an offset, waiting for a change; abandons a call that has become useless or too old.
async fn read_changes(daemon: &DaemonState, from: Offset) -> Result<Batch, StoreError> {
    let sent_at = daemon.now();
    let was_behind = daemon.is_behind();
    let call = daemon.store.read(Feed::Configuration, from, poll_wait(daemon, was_behind));
    tokio::select! {
        biased;
        result = track_read(daemon, Feed::Configuration, call) => result,
        reason = abandon_reason(daemon, was_behind) => {
            Err(abandon_call(daemon, Feed::Configuration, sent_at, reason))
        }
    }
}

/// Returns how long the store may hold the call while nothing changes.
fn poll_wait(daemon: &DaemonState, is_behind: bool) -> Duration {
    if daemon.config_age(daemon.now()) > SHORT_POLL {
        // An answer is overdue, so the call must show at once whether the store has recovered.
        Duration::ZERO
    } else if is_behind || daemon.polls_config() {
        SHORT_POLL
    } else {
        LONG_POLL
    }
}

/// Waits until a call that has just begun should be abandoned, and returns the reason.
///
/// A call that began while this daemon was behind will return the version that peers have, however slow the store or
/// the link is. If it were abandoned because a peer has a later version, every retry would be too, and none would be
/// answered. [`SHORT_POLL_TIMEOUT`] applies to it instead.
async fn abandon_reason(daemon: &DaemonState, was_behind: bool) -> &'static str {
    let started = Instant::now();
    loop {
        if timeout(CHECK_INTERVAL, daemon.newer_config.notified()).await.is_ok() {
            sleep(PEER_VERSION_DELAY).await;
        }
        let elapsed = started.elapsed();
        if elapsed >= MIN_CALL_AGE && !was_behind && daemon.is_behind() {
            return "a peer has a later version";
        }
        if elapsed >= SHORT_POLL_TIMEOUT && (was_behind || daemon.polls_config()) {
            return "no answer in time";
        }
    }
}
