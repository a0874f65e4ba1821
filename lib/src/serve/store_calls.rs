//! Calls to the platform's store, noted in the log, the metrics and the daemon's state.

use std::time::Duration;

use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::serve::daemon_state::DaemonState;
use crate::store::Feed;
use crate::store::LocalFuture;
use crate::store::StoreError;

/// Waits for what a call comes to, and notes it.
///
/// # Errors
///
/// As the call.
pub async fn track_call<T>(
    daemon: &DaemonState,
    feed: Feed,
    call: LocalFuture<'_, Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let sent = daemon.now();
    let result = call.await;
    let outcome = result.as_ref().map_or_else(StoreError::name, |_| "done");
    daemon.metrics.record_store_call(feed.name(), outcome);
    match &result {
        Ok(_) => answered(daemon, feed, sent),
        // An answer as well, and no sign of trouble.
        Err(StoreError::Expired | StoreError::EndMismatch) => {}
        Err(error) => failed(daemon, feed, sent, error),
    }
    result
}

/// Waits for what a read comes to, and notes it; gives it up once a later call has ended a silence of the store.
///
/// What was sent into a silence is never answered, and the time limit of a call shows that only seconds after the
/// store's return.
///
/// # Errors
///
/// As the call, and where it was given up.
pub async fn track_read<T>(
    daemon: &DaemonState,
    feed: Feed,
    call: LocalFuture<'_, Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let sent = daemon.now();
    tokio::select! {
        biased;
        result = track_call(daemon, feed, call) => result,
        () = silence_ended(daemon, sent) => {
            Err(abandon_call(daemon, feed, sent, "a later call was answered"))
        }
    }
}

/// Waits before a call that failed is made again, until the time is over or a silence of the store ends; returns whether
/// it was the latter.
pub async fn backoff_after(daemon: &DaemonState, sent: Moment, pause: Duration) -> bool {
    let left = (sent + pause).saturating_sub(daemon.now());
    timeout(left, silence_ended(daemon, sent)).await.is_ok()
}

/// Waits until the answer to a call that was sent later ends a silence of the store.
async fn silence_ended(daemon: &DaemonState, sent: Moment) {
    loop {
        let back = daemon.store_recovered.notified();
        if sent < daemon.store_health.borrow().recovered_at() {
            return;
        }
        back.await;
    }
}

/// Notes that a call is given up.
pub fn abandon_call(
    daemon: &DaemonState,
    feed: Feed,
    sent: Moment,
    reason: &'static str,
) -> StoreError {
    daemon.metrics.record_store_call(feed.name(), "given up");
    slog::info!(daemon.log, "store-call-given-up"; "feed" => %feed, "reason" => reason,
        "config" => daemon.config_version(),
        "call_ms" => daemon.now().saturating_sub(sent).as_millis());
    StoreError::UnknownOutcome(reason.to_owned())
}

fn answered(daemon: &DaemonState, feed: Feed, sent: Moment) {
    let now = daemon.now();
    daemon.store_answered.set(now);
    if let Some(away) = daemon.store_health.borrow_mut().record_answer(feed, sent, now) {
        daemon.store_recovered.notify_waiters();
        slog::info!(daemon.log, "dependency-regained"; "dependency" => "store", "feed" => %feed,
            "away_ms" => away.as_millis(), "call_ms" => now.saturating_sub(sent).as_millis());
    }
}

fn failed(daemon: &DaemonState, feed: Feed, sent: Moment, error: &StoreError) {
    let now = daemon.now();
    let mut contact = daemon.store_health.borrow_mut();
    if contact.record_failure(feed, matches!(error, StoreError::UnknownOutcome(_))) {
        slog::warn!(daemon.log, "dependency-lost"; "dependency" => "store", "feed" => %feed,
            "error" => %error, "call_ms" => now.saturating_sub(sent).as_millis(),
            "feed_seen_ms_ago" => contact.silence(feed, now).as_millis(),
            "seen_ms_ago" => now.saturating_sub(daemon.store_answered.get()).as_millis());
    }
}
