//! Calls to the platform's store, noted in the log, the metrics and the daemon's state.

use crate::boot_clock::Moment;
use crate::serve::entry::Entry;
use crate::store::Feed;
use crate::store::LocalFuture;
use crate::store::StoreError;

/// Waits for what a call comes to, and notes it.
///
/// # Errors
///
/// As the call.
pub async fn noted<T>(
    entry: &Entry,
    feed: Feed,
    call: LocalFuture<'_, Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let sent = entry.now();
    let result = call.await;
    let outcome = result.as_ref().map_or_else(StoreError::name, |_| "done");
    entry.metrics.called_store(feed.name(), outcome);
    match &result {
        Ok(_) => answered(entry, feed, sent),
        // An answer as well, and no sign of trouble.
        Err(StoreError::Expired | StoreError::Moved) => {}
        Err(error) => failed(entry, feed, sent, error),
    }
    result
}

fn answered(entry: &Entry, feed: Feed, sent: Moment) {
    let now = entry.now();
    entry.store_seen.set(now);
    if let Some(away) = entry.contact.borrow_mut().answered(feed, now) {
        slog::info!(entry.log, "dependency-regained"; "dependency" => "store", "feed" => %feed,
            "away_ms" => away.as_millis(), "call_ms" => now.saturating_sub(sent).as_millis());
    }
}

fn failed(entry: &Entry, feed: Feed, sent: Moment, error: &StoreError) {
    let now = entry.now();
    let mut contact = entry.contact.borrow_mut();
    if contact.failed(feed) {
        slog::warn!(entry.log, "dependency-lost"; "dependency" => "store", "feed" => %feed,
            "error" => %error, "call_ms" => now.saturating_sub(sent).as_millis(),
            "feed_seen_ms_ago" => contact.silence(feed, now).as_millis(),
            "seen_ms_ago" => now.saturating_sub(entry.store_seen.get()).as_millis());
    }
}
