//! Quarantine of prompt parts under which servers crash: records what requests show of them, refuses requests with
//! quarantined ones, reports and stores these.

use std::collections::BTreeSet;
use std::rc::Rc;

use tokio::task::spawn_local;

use crate::cluster::part_evidence::PartEvidence;
use crate::cluster::part_report::PartReport;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine_report::RequestProgress;
use crate::placement::entries;
use crate::serve::attempt::Attempt;
use crate::serve::attempt::MAX_LOGGED_PARTS;
use crate::serve::daemon_state::DaemonState;
use crate::serve::stored_quarantine::QuarantineRecord;
use crate::serve::stored_quarantine::append;
use crate::store::Feed;
use crate::store::FeedRecord;

/// Records in the quarantine when the last message of another data centre was received, and which servers are in this one.
fn update_surroundings(daemon: &DaemonState) {
    let centre = daemon.settings().centre.clone();
    let peers = daemon.peers.borrow();
    let has_remote = peers.centres().any(|other| *other != centre && !other.is_empty());
    let heard = has_remote.then(|| peers.remote_heard(&centre, daemon.now()));
    let directory = daemon.directory.borrow();
    let mut parts = daemon.part_quarantine.borrow_mut();
    parts.set_remote_heard(heard);
    parts.set_run_time(daemon.run_times.longest_mean());
    parts.set_local(|server| directory.get(&server.id).is_some_and(|s| s.centre == centre));
}

/// Records how far a server progressed with a request, which clears its prompt parts of earlier crashes.
pub(super) fn record_progress(
    daemon: &Rc<DaemonState>,
    attempt: &Attempt,
    progress: RequestProgress,
) {
    let now = daemon.now();
    let passed_at = attempt.first_event.unwrap_or(now);
    let mut parts = daemon.part_quarantine.borrow_mut();
    let change = parts.record_progress(&attempt.prompt_parts, progress, passed_at, now);
    drop(parts);
    for (part, crashes) in &change.cleared {
        slog::info!(daemon.log, "part-cleared"; "part" => %part, "attempt" => attempt.id(),
            "progress" => progress.name(), "crashes" => crashes,
            "first_event_ms_ago" => now.saturating_sub(passed_at).as_millis());
    }
    for part in &change.released {
        release(daemon, part, "served");
        spawn_local(append(Rc::clone(daemon), FeedRecord { key: part.key(), value: None }));
    }
    if change.is_urgent {
        daemon.quarantine_changed.notify_one();
        daemon.model_waits.inventories_changed.notify_waiters();
    }
}

/// Returns whether a request has a quarantined prompt part; each call extends the quarantine. Evaluates the parts first:
/// peers may have reported more since the last check.
pub(super) fn is_held(daemon: &Rc<DaemonState>, attempt: &Attempt) -> bool {
    let parts = &attempt.prompt_parts;
    if !daemon.part_quarantine.borrow().has_no_crashes() {
        update_surroundings(daemon);
    }
    let held = daemon.part_quarantine.borrow_mut().evaluate(parts, daemon.now());
    for part in held {
        log_held(daemon, &part, "own");
        if daemon.part_quarantine.borrow().is_held_fleetwide(&part) {
            daemon.quarantine_changed.notify_one();
            spawn_local(store(Rc::clone(daemon), part));
        }
    }
    for part in release_explained(daemon) {
        spawn_local(append(Rc::clone(daemon), FeedRecord { key: part.key(), value: None }));
    }
    daemon.part_quarantine.borrow_mut().held_part(parts, daemon.now()).is_some()
}

/// Releases prompt parts of whose crashes another one is the cause; returns them.
fn release_explained(daemon: &DaemonState) -> Vec<PromptPart> {
    let released = daemon.part_quarantine.borrow_mut().release_explained(daemon.now());
    for part in &released {
        release(daemon, part, "explained");
    }
    if !released.is_empty() {
        daemon.quarantine_changed.notify_one();
    }
    released
}

/// Waits until a part of a request's prompt is quarantined.
pub(super) async fn wait_until_held(daemon: &Rc<DaemonState>, attempt: &Attempt) {
    loop {
        let changed = daemon.part_held.notified();
        if is_held(daemon, attempt) {
            return;
        }
        changed.await;
    }
}

/// Merges a peer's report on prompt parts.
pub fn merge_report(daemon: &Rc<DaemonState>, report: &PartReport, from: &str) {
    update_surroundings(daemon);
    let held = daemon.part_quarantine.borrow_mut().merge(report, daemon.now());
    for part in held {
        log_held(daemon, &part, from);
        // If every daemon learned of the part only from reports, none has stored it.
        let is_fleetwide = daemon.part_quarantine.borrow().is_held_fleetwide(&part);
        if is_fleetwide && daemon.fence().is_some() {
            spawn_local(store(Rc::clone(daemon), part));
        }
    }
    for part in release_explained(daemon) {
        if daemon.fence().is_some() {
            spawn_local(append(Rc::clone(daemon), FeedRecord { key: part.key(), value: None }));
        }
    }
    if !report.cleared.is_empty() {
        daemon.model_waits.inventories_changed.notify_waiters();
    }
}

/// Loads a prompt part that was quarantined before this daemon started, by its key in the store.
pub(super) fn load(daemon: &DaemonState, key: &str) {
    match PromptPart::try_from(key) {
        Ok(part) => {
            daemon.part_quarantine.borrow_mut().hold(&part, daemon.now());
            log_held(daemon, &part, "store");
        }
        Err(error) => daemon.log_unreadable(Feed::Quarantine, key, &error.0),
    }
}

/// Releases prompt parts that no caller has sent again for long, or that were held only while this data centre was
/// isolated.
pub(super) fn release_expired(daemon: &Rc<DaemonState>) {
    update_surroundings(daemon);
    let refuted = daemon.part_quarantine.borrow_mut().release_refuted(daemon.now());
    for part in refuted {
        release(daemon, &part, "refuted");
    }
    let released = daemon.part_quarantine.borrow_mut().sweep(daemon.now());
    for part in released {
        release(daemon, &part, "unused");
        if daemon.fence().is_some() {
            spawn_local(append(Rc::clone(daemon), FeedRecord { key: part.key(), value: None }));
        }
    }
}

fn release(daemon: &DaemonState, part: &PromptPart, reason: &str) {
    slog::info!(daemon.log, "part-released"; "part" => %part, "reason" => reason);
    daemon.metrics.set_quarantined_parts(daemon.part_quarantine.borrow().held_count());
}

fn log_held(daemon: &DaemonState, part: &PromptPart, from: &str) {
    let parts = daemon.part_quarantine.borrow();
    let crashes = parts.crash_ids(part);
    let servers: Vec<_> = crashes.iter().map(|c| c.server.id.as_str()).collect();
    let directory = daemon.directory.borrow();
    let listed = servers.iter().filter_map(|id| directory.get(id));
    let centres: BTreeSet<_> = listed.map(|server| server.centre.as_str()).collect();
    let centres: Vec<_> = centres.into_iter().collect();
    let scope = if parts.is_held_fleetwide(part) { "fleet" } else { "isolated" };
    slog::warn!(daemon.log, "part-held"; "part" => %part, "from" => from, "scope" => scope,
        "servers" => servers.join(","), "centres" => centres.join(","),
        "cleared" => parts.cleared_count(part), "rivals" => shown_evidence(&parts.rivals(part)),
        "held" => parts.held_count());
    daemon.metrics.set_quarantined_parts(parts.held_count());
    daemon.part_held.notify_waiters();
}

/// Returns what is known for and against the first few of some parts, for the log.
pub(super) fn shown_evidence(evidence: &[PartEvidence]) -> String {
    let shown: Vec<_> =
        evidence.iter().take(MAX_LOGGED_PARTS).map(PartEvidence::to_string).collect();
    if shown.is_empty() { "-".to_owned() } else { shown.join(",") }
}

/// Writes a quarantined prompt part to the store, since all daemons may be replaced at once.
async fn store(daemon: Rc<DaemonState>, part: PromptPart) {
    let record = held_record(&daemon, &part);
    append(daemon, record).await;
}

fn held_record(daemon: &DaemonState, part: &PromptPart) -> FeedRecord {
    let crashes = daemon.part_quarantine.borrow().crash_ids(part);
    FeedRecord { key: part.key(), value: Some(entries::encode(&QuarantineRecord { crashes })) }
}

/// Returns the records of the prompt parts that are quarantined at all daemons.
pub(super) fn held_records(daemon: &DaemonState) -> Vec<FeedRecord> {
    let held = daemon.part_quarantine.borrow().held_fleetwide();
    held.iter().map(|part| held_record(daemon, part)).collect()
}
