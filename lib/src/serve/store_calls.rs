//! Records calls to the platform's store in the log, the metrics and the daemon's state.

use std::time::Duration;

use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::serve::daemon_state::DaemonState;
use crate::serve::restored_store::note_era;
use crate::store::Feed;
use crate::store::LocalFuture;
use crate::store::StoreError;

/// Waits for the result of a call and records it.
///
/// # Errors
///
/// Returns the error of the call.
pub async fn track_call<T>(
    daemon: &DaemonState,
    feed: Feed,
    call: LocalFuture<'_, Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let sent_at = daemon.now();
    let result = call.await;
    let outcome = result.as_ref().map_or_else(StoreError::name, |_| "done");
    daemon.metrics.record_store_call(feed.name(), outcome);
    if let Some(era) = daemon.store.era() {
        note_era(daemon, era, feed.name());
    }
    match &result {
        Ok(_) => on_answer(daemon, feed, sent_at),
        // These are responses as well, and no sign of a store failure.
        Err(StoreError::Expired | StoreError::EndMismatch) => {}
        Err(error) => on_failure(daemon, feed, sent_at, error),
    }
    result
}

/// Waits for the result of a read, or of a write that may be repeated, and records it; abandons the call once the store has
/// recovered, as shown by a response to a call that was sent later.
///
/// A call sent during an outage is never answered, and would time out only seconds after the store's recovery.
///
/// # Errors
///
/// Returns the error of the call, or `StoreError::UnknownOutcome` if the call was abandoned.
pub async fn track_repeatable<T>(
    daemon: &DaemonState,
    feed: Feed,
    call: LocalFuture<'_, Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let sent_at = daemon.now();
    tokio::select! {
        biased;
        result = track_call(daemon, feed, call) => result,
        () = recovered_after(daemon, sent_at) => {
            Err(abandon_call(daemon, feed, sent_at, "a later call was answered"))
        }
    }
}

/// Waits before a failed call is retried, until `delay` after the call was sent or until the store recovers. Returns
/// whether the store recovered.
pub async fn backoff_after(daemon: &DaemonState, sent_at: Moment, delay: Duration) -> bool {
    let remaining = (sent_at + delay).saturating_sub(daemon.now());
    timeout(remaining, recovered_after(daemon, sent_at)).await.is_ok()
}

/// Waits until the store has recovered, as shown by a response to a call that was sent after `sent_at`.
async fn recovered_after(daemon: &DaemonState, sent_at: Moment) {
    loop {
        let recovered = daemon.store_recovered.notified();
        if sent_at < daemon.store_health.borrow().recovered_at() {
            return;
        }
        recovered.await;
    }
}

/// Records that a call is abandoned, and returns the error for it.
fn abandon_call(
    daemon: &DaemonState,
    feed: Feed,
    sent_at: Moment,
    reason: &'static str,
) -> StoreError {
    daemon.metrics.record_store_call(feed.name(), "given up");
    slog::info!(daemon.log, "store-call-given-up"; "feed" => %feed, "reason" => reason,
        "config" => daemon.config_version(),
        "call_ms" => daemon.now().saturating_sub(sent_at).as_millis());
    StoreError::UnknownOutcome(reason.to_owned())
}

/// Records that a call should have been answered by now. It stays in progress.
pub fn record_overdue(daemon: &DaemonState, feed: Feed, sent_at: Moment) {
    daemon.metrics.record_store_call(feed.name(), "overdue");
    on_failure(daemon, feed, sent_at, &StoreError::UnknownOutcome("no answer yet".to_owned()));
}

fn on_answer(daemon: &DaemonState, feed: Feed, sent_at: Moment) {
    let now = daemon.now();
    daemon.store_answered.set(now);
    if let Some(outage) = daemon.store_health.borrow_mut().record_answer(feed, sent_at, now) {
        daemon.store_recovered.notify_waiters();
        slog::info!(daemon.log, "dependency-regained"; "dependency" => "store", "feed" => %feed,
            "away_ms" => outage.as_millis(), "call_ms" => now.saturating_sub(sent_at).as_millis());
    }
}

fn on_failure(daemon: &DaemonState, feed: Feed, sent_at: Moment, error: &StoreError) {
    let now = daemon.now();
    let mut health = daemon.store_health.borrow_mut();
    if health.record_failure(feed, matches!(error, StoreError::UnknownOutcome(_))) {
        slog::warn!(daemon.log, "dependency-lost"; "dependency" => "store", "feed" => %feed,
            "error" => %error, "call_ms" => now.saturating_sub(sent_at).as_millis(),
            "feed_seen_ms_ago" => health.time_since_answer(feed, now).as_millis(),
            "seen_ms_ago" => now.saturating_sub(daemon.store_answered.get()).as_millis());
    }
}
