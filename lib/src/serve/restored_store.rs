//! Adapts a daemon to a store that was restored from an older copy, and writes lost records again.
//!
//! Each daemon writes its own entry, and the holder of the placement lease and two others the records that all daemons have. Records that
//! no running daemon has are lost.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::task::spawn_local;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::feed_offset::era_of;
use crate::ids::StoreEra;
use crate::serve::apply_updates;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::track_call;
use crate::serve::stored_quarantine;
use crate::store::Feed;
use crate::store::StoreError;

/// Interval at which a daemon checks whether records have to be written again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Daemons beside the lease holder that write lost holds again: the lease may be vacant for seconds after a restore.
const HOLD_WRITERS: usize = 2;
/// Time over which the daemons spread their writes. The store takes more writes a second than there are daemons.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// Detects from an era, by an own call or a peer's message, that the store was restored from an older copy.
pub fn note_era(daemon: &DaemonState, era: StoreEra, from: &str) {
    let before = daemon.store_era.get();
    if before.is_some_and(|before| era <= before) {
        return;
    }
    daemon.store_era.set(Some(era));
    let Some(before) = before else { return };
    let now = daemon.now();
    slog::warn!(daemon.log, "store-restored"; "era" => era, "before" => before, "from" => from,
        "seen_ms_ago" => now.saturating_sub(daemon.store_answered.get()).as_millis(),
        "config" => daemon.config_version(), "feed_end" => daemon.directory.borrow().shown_end());
    daemon.metrics.record_store_restore();
    daemon.directory.borrow_mut().record_restore(now);
}

/// Writes records again after each restore, for as long as the daemon runs.
pub async fn rewrite_records(daemon: Rc<DaemonState>) {
    // A process that becomes lease holder may know more than the store has, as it does after a restore.
    let (mut holder_era, mut writer_era) = (None, None);
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(era) = daemon.store_era.get() else { continue };
        if daemon.entry_offset.get().is_some_and(|offset| era_of(offset) < era) {
            daemon.entry_offset.set(None);
            spawn_local(rewrite_entry(Rc::clone(&daemon)));
        }
        let must_write = if daemon.fence().is_some() {
            holder_era != Some(era)
        } else {
            writer_era != Some(era) && is_hold_writer(&daemon, era)
        };
        if must_write && rewrite_quarantine(&daemon).await.is_ok() {
            writer_era = Some(era);
            holder_era = daemon.fence().map(|_| era).or(holder_era);
        }
    }
}

/// Returns whether a daemon is one of the few that write lost holds again, by its rank for this era among those in reach.
fn is_hold_writer(daemon: &DaemonState, era: StoreEra) -> bool {
    let own_rank = xxh3_64_with_seed(daemon.settings().id.as_bytes(), era);
    let peers = daemon.peers.borrow();
    let ranks = peers.reachable(daemon.now()).map(|(id, _)| xxh3_64_with_seed(id.as_bytes(), era));
    ranks.filter(|rank| *rank < own_rank).count() < HOLD_WRITERS
}

/// Writes this daemon's own entry, at another moment than other daemons do.
async fn rewrite_entry(daemon: Rc<DaemonState>) {
    let delay = SPREAD_TIME.mul_f64(daemon.random.borrow().sample());
    sleep(delay).await;
    apply_updates::register_daemon(&daemon).await;
    slog::info!(daemon.log, "record-rewritten"; "feed" => %Feed::Daemons,
        "key" => daemon.settings().id.as_str());
}

/// Writes the quarantined requests and prompt parts that the store lacks.
async fn rewrite_quarantine(daemon: &Rc<DaemonState>) -> Result<(), StoreError> {
    if stored_quarantine::held_records(daemon).is_empty() {
        return Ok(());
    }
    let call = daemon.store.list_latest(Feed::Quarantine);
    let batch = track_call(daemon, Feed::Quarantine, call).await?;
    let listed = batch.records.iter().filter(|record| record.value.is_some());
    let listed: BTreeSet<SmolStr> = listed.map(|record| record.key.clone()).collect();
    for record in
        stored_quarantine::held_records(daemon).into_iter().filter(|r| !listed.contains(&r.key))
    {
        slog::info!(daemon.log, "record-rewritten"; "feed" => %Feed::Quarantine,
            "key" => record.key.as_str());
        stored_quarantine::append(Rc::clone(daemon), record).await;
    }
    Ok(())
}
