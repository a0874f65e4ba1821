//! Polls the store for the operators' configuration.
//!
//! Each call costs money, so only some daemons of a data centre poll at short intervals. The others use long polls,
//! and poll again at once when a peer has a later version.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::ids::FeedOffset;
use crate::serve::apply_updates::CONFIG_KEY;
use crate::serve::apply_updates::apply_config;
use crate::serve::config_reads::ConfigReads;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::backoff_after;
use crate::serve::store_calls::record_overdue;
use crate::serve::store_calls::track_call;
use crate::store::Batch;
use crate::store::Feed;
use crate::store::StoreError;

/// How long the store may hold one call of a daemon that polls at short intervals while nothing changes.
const SHORT_POLL: Duration = Duration::from_secs(1);
/// The same for other daemons. One call a second from each of 72 daemons cost 0.02 of a day's worth.
const LONG_POLL: Duration = Duration::from_secs(5);
/// A read is overdue this long after the store should have responded, and another one is sent.
const OVERDUE_AFTER: Duration = Duration::from_secs(1);
/// A read of a daemon that polls at short intervals is overdue at this age, even if it was sent as a long poll.
///
/// A call that reached an unresponsive store, or whose connection was lost without a reset, is never answered, and
/// versions written after the store has recovered are seen by the next call only. Users allow three seconds.
const SHORT_POLL_OVERDUE: Duration = Duration::from_secs(2);
/// Interval at which a daemon checks whether it should poll at short intervals.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a daemon still waits for the answer of its own call when a peer has a later version: the store usually
/// answers both at the same time.
const PEER_VERSION_DELAY: Duration = Duration::from_millis(100);
/// No other call is sent for a peer's later version before a call has this age.
const MIN_CALL_AGE: Duration = Duration::from_millis(500);
/// Shortest delay before a failed or overdue call is repeated.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest delay after repeated failures, of a daemon that relies on readers, whose reports show when the store has
/// recovered: in eight seconds without the store 290 daemons made 9,000 failed calls. It is half of the time within
/// which a version must be in force, in case no reader is left by then.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Polls for the configuration and applies it, for as long as the daemon runs.
pub async fn follow_config(daemon: Rc<DaemonState>) {
    loop {
        let end = list_config(&daemon).await;
        follow_changes(&daemon, end).await;
    }
}

/// Reads and applies the newest version; returns the offset at which its changes begin.
async fn list_config(daemon: &DaemonState) -> FeedOffset {
    loop {
        let sent_at = daemon.now();
        let call = daemon.store.list_latest(Feed::Configuration);
        match track_call(daemon, Feed::Configuration, call).await {
            Ok(batch) => {
                apply_batch(daemon, &batch);
                daemon.freshness.confirm_config(sent_at);
                return batch.end;
            }
            Err(StoreError::Expired) => {}
            Err(_failed) => {
                backoff_after(daemon, sent_at, MIN_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads and applies changes from an offset on, until the store has deleted the records there.
async fn follow_changes(daemon: &DaemonState, mut from: FeedOffset) {
    let mut reads = ConfigReads::default();
    let mut last = LastRead::default();
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        if reads.is_empty() {
            wait_until_needed(daemon).await;
            last = start_read(daemon, &mut reads, from);
        }
        let response = tokio::select! {
            biased;
            response = reads.next(daemon) => response,
            reason = repeat_reason(daemon, &last, retry_delay, from) => {
                log_repeat(daemon, &last, reason);
                if reason == Repeat::Restored {
                    return;
                }
                if reason == Repeat::Overdue {
                    record_overdue(daemon, Feed::Configuration, last.sent_at);
                    retry_delay = next_delay(daemon, retry_delay);
                }
                last = start_read(daemon, &mut reads, from);
                continue;
            }
        };
        match response.result {
            Ok(batch) => {
                apply_batch(daemon, &batch);
                daemon.freshness.confirm_config(response.covers_until);
                from = from.max(batch.end);
                retry_delay = MIN_RETRY_DELAY;
            }
            Err(StoreError::Expired) => return,
            Err(_failed) if !reads.is_empty() => {}
            // The delay counts from the start of the call, so a call that timed out late is retried at once.
            Err(_failed) => {
                let has_recovered = backoff_after(daemon, response.sent_at, retry_delay).await;
                retry_delay =
                    if has_recovered { MIN_RETRY_DELAY } else { next_delay(daemon, retry_delay) };
            }
        }
    }
}

/// Returns the delay after one more failure.
fn next_delay(daemon: &DaemonState, delay: Duration) -> Duration {
    if daemon.relies_on_readers() { (delay * 2).min(MAX_RETRY_DELAY) } else { MIN_RETRY_DELAY }
}

/// The read that was sent last.
#[derive(Clone, Copy, Debug, Default)]
struct LastRead {
    sent_at: Moment,
    /// How long the store may hold it.
    wait: Duration,
    /// Whether a peer had a later version when it was sent.
    was_behind: bool,
}

/// Why another read is sent beside the one in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Repeat {
    /// A peer has a later version.
    PeerAhead,
    /// The store should have responded.
    Overdue,
    /// The store was restored from an older copy.
    Restored,
}

impl Repeat {
    fn reason(self) -> &'static str {
        match self {
            Self::PeerAhead => "a peer has a later version",
            Self::Overdue => "no answer in time",
            Self::Restored => "the store was restored",
        }
    }
}

fn start_read<'a>(
    daemon: &'a DaemonState,
    reads: &mut ConfigReads<'a>,
    from: FeedOffset,
) -> LastRead {
    let was_behind = daemon.is_behind();
    let wait = poll_wait(daemon, was_behind);
    reads.start(daemon, from, wait);
    LastRead { sent_at: daemon.now(), wait, was_behind }
}

fn log_repeat(daemon: &DaemonState, last: &LastRead, reason: Repeat) {
    slog::info!(daemon.log, "store-call-repeated"; "feed" => %Feed::Configuration,
        "reason" => reason.reason(), "config" => daemon.config_version(),
        "call_ms" => daemon.now().saturating_sub(last.sent_at).as_millis());
}

/// Returns whether reader reports confirm the configuration for this daemon.
fn is_confirmed(daemon: &DaemonState) -> bool {
    daemon.relies_on_readers() && !daemon.polls_config()
}

/// Waits while reader reports confirm the configuration for this daemon.
async fn wait_until_needed(daemon: &DaemonState) {
    while is_confirmed(daemon) {
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

/// Waits until another read should be sent beside the last one, and returns the reason.
///
/// A read that was sent while this daemon was behind will return the version that peers have, so a peer's later version
/// is no reason to repeat it.
async fn repeat_reason(
    daemon: &DaemonState,
    last: &LastRead,
    retry_delay: Duration,
    from: FeedOffset,
) -> Repeat {
    let overdue_after = (last.wait + OVERDUE_AFTER).max(retry_delay);
    loop {
        // An overdue read that is not needed is still awaited.
        let left = overdue_after.checked_sub(age(daemon, last)).filter(|left| !left.is_zero());
        let check = left.map_or(CHECK_INTERVAL, |left| left.min(CHECK_INTERVAL));
        if timeout(check, daemon.newer_config.notified()).await.is_ok() {
            sleep(PEER_VERSION_DELAY).await;
        }
        let age = age(daemon, last);
        if age >= MIN_CALL_AGE && !last.was_behind && daemon.is_behind() {
            return Repeat::PeerAhead;
        }
        let is_short = last.was_behind || daemon.polls_config();
        let is_overdue = age >= overdue_after || age >= SHORT_POLL_OVERDUE && is_short;
        if is_overdue && !is_confirmed(daemon) {
            return Repeat::Overdue;
        }
        if daemon.is_restored_since(from) && !is_confirmed(daemon) {
            return Repeat::Restored;
        }
    }
}

fn age(daemon: &DaemonState, last: &LastRead) -> Duration {
    daemon.now().saturating_sub(last.sent_at)
}
