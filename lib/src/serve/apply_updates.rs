//! Applies configurations and server entries from the store and from peers to the daemon's state, and reads the
//! platform's list of daemons.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::cluster::directory::Change;
use crate::cluster::directory::Server;
use crate::cluster::latest_instances::InstanceOrder;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::FeedOffset;
use crate::ids::ServerId;
use crate::placement::entries;
use crate::placement::entries::DaemonEntry;
use crate::protocol::FormatError;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::track_call;
use crate::store::Batch;
use crate::store::Feed;
use crate::store::FeedRecord;
use crate::store::StoreError;

/// Source of an update that a peer relayed, as logged under `from`.
pub const FROM_PEER: &str = "peer";
/// Key of the configuration's record in its feed.
pub const CONFIG_KEY: &str = "config";
/// Unit of the delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Times at which the list of daemons is read, counted from this daemon's own entry. Of two daemons that start
/// together at least one finds the other in its first read and sends it its state; the second read covers lost
/// datagrams.
const DAEMON_READS: [Duration; 2] = [Duration::ZERO, Duration::from_secs(3)];

/// Puts a configuration into force if it is newer than the current one. Returns whether it could be parsed; one
/// that could not changes nothing.
pub fn apply_config(daemon: &DaemonState, raw: &Bytes, from: &str) -> bool {
    let config = match daemon.protocol.parse_configuration(raw) {
        Ok(config) => config,
        Err(error) => {
            daemon.log_unreadable(Feed::Configuration, CONFIG_KEY, &error.0);
            return false;
        }
    };
    daemon.unreadable.borrow_mut().clear(Feed::Configuration, CONFIG_KEY);
    let old = daemon.config_version();
    if config.version <= old {
        return true;
    }
    slog::info!(daemon.log, "configuration"; "version" => config.version, "before" => old,
        "from" => from, "routes" => config.route_count(), "services" => config.services.len(),
        "workspaces" => config.workspaces.len(), "api_keys" => config.workspaces.key_count());
    daemon.config_history.borrow_mut().push(config.version, raw.clone());
    *daemon.config.borrow_mut() = Some(Rc::new(config));
    daemon.config_changed.notify_one();
    daemon.report_due.notify_one();
    daemon.plan_due.notify_one();
    true
}

/// Parses a server's entry.
///
/// # Errors
///
/// The entry is malformed, or names another service than the known entry.
fn parse_server_entry(
    daemon: &DaemonState,
    key: &ServerId,
    raw: &[u8],
) -> Result<Server, FormatError> {
    let server = daemon.protocol.parse_server(key, raw)?;
    // A server never changes its service. An entry that another writer put under its id, with a greater
    // heartbeat, would hide all later entries of the server itself.
    let directory = daemon.directory.borrow();
    let Some(known) = directory.get(key) else { return Ok(server) };
    if known.service != server.service {
        return Err(FormatError(format!("its service was {} before", known.service)));
    }
    // Nor does one instance change its software version, which is unknown before the instance's first entry.
    let is_same = known.born.is_some() && known.born == server.born;
    if is_same && !known.version.is_empty() && known.version != server.version {
        return Err(FormatError(format!("its software version was {} before", known.version)));
    }
    Ok(server)
}

/// Applies one server's entry, or its removal if `value` is `None`.
pub fn apply_server(
    daemon: &DaemonState,
    key: &ServerId,
    value: Option<&Bytes>,
    from: &str,
) -> Change {
    let now = daemon.now();
    let parsed = value.map(|raw| (raw, parse_server_entry(daemon, key, raw)));
    if let Some((_, Err(error))) = &parsed {
        daemon.log_unreadable(Feed::Servers, key, &error.0);
    } else {
        daemon.unreadable.borrow_mut().clear(Feed::Servers, key);
    }
    if let Some((_, Ok(server))) = &parsed
        && !server.version.is_empty()
    {
        let mut history = daemon.version_history.borrow_mut();
        history.observe(&server.service, &server.version, now);
    }
    let mut directory = daemon.directory.borrow_mut();
    let change = match parsed {
        None => directory.remove(key, now),
        Some((raw, Ok(server))) if from == FROM_PEER => {
            directory.put_relayed(server, raw.clone(), now)
        }
        Some((raw, Ok(server))) => directory.put(server, raw.clone(), now),
        Some((_, Err(_unreadable))) => directory.suspend(key, now),
    };
    drop(directory);
    if change != Change::None {
        log_change(daemon, key, change, from);
    }
    change
}

/// Suspends the server under a key whose record cannot be parsed.
fn suspend_unreadable(daemon: &DaemonState, key: &ServerId) -> Change {
    let change = daemon.directory.borrow_mut().suspend(key, daemon.now());
    if change != Change::None {
        log_change(daemon, key, change, "store");
    }
    change
}

/// Records an instance that a peer, a server or a report named. Returns how it compares with the newest known one.
pub fn apply_instance(
    daemon: &DaemonState,
    instance: &ServerInstance,
    from: &str,
) -> InstanceOrder {
    let order = daemon.directory.borrow_mut().observe_instance(instance, daemon.now());
    if order == InstanceOrder::Newer && daemon.directory.borrow().is_current(instance) {
        log_change(daemon, &instance.id, Change::Restarted, from);
        on_servers_changed(daemon);
    }
    order
}

fn log_change(daemon: &DaemonState, id: &ServerId, change: Change, from: &str) {
    let directory = daemon.directory.borrow();
    let server = directory.get(id);
    let models = server.map_or(0, |s| s.models.len());
    slog::info!(daemon.log, "server"; "server" => %id, "change" => ?change, "from" => from,
        "service" => server.map_or("-", |s| s.service.as_str()),
        "centre" => server.map_or("-", |s| s.centre.as_str()),
        "version" => server.map_or("-", |s| s.version.as_str()), "models" => models,
        "beat" => server.map_or(0, |s| s.heartbeat),
        "born" => server.and_then(|s| s.born).unwrap_or(0), "feed_end" => directory.shown_end());
}

/// Applies records of the servers' feed: the whole list if `is_whole`, otherwise those after the last read.
pub fn apply_server_batch(daemon: &DaemonState, batch: &Batch, is_whole: bool) {
    let mut changed = false;
    daemon.directory.borrow_mut().record_read(daemon.now());
    daemon.log_unreadable_records(Feed::Servers, batch);
    for record in &batch.records {
        changed |=
            apply_server(daemon, &record.key, record.value.as_ref(), "store") != Change::None;
    }
    let unreadable_keys: Vec<&SmolStr> =
        batch.unreadable.iter().filter_map(|r| r.key.as_ref()).collect();
    for key in &unreadable_keys {
        changed |= suspend_unreadable(daemon, key) != Change::None;
    }
    if is_whole {
        // An unreadable record still counts as listed.
        let parsed_keys = batch.records.iter().map(|r| &r.key);
        let listed: Vec<SmolStr> = parsed_keys.chain(unreadable_keys).cloned().collect();
        let missing = daemon.directory.borrow().missing(&listed);
        for id in missing {
            changed |= apply_server(daemon, &id, None, "store") != Change::None;
        }
    }
    let mut directory = daemon.directory.borrow_mut();
    if is_whole {
        directory.restart_feed(batch.end);
        directory.clear_history();
        daemon.freshness.is_listed.set(true);
    } else {
        directory.advance(batch.end);
    }
    drop(directory);
    if changed {
        on_servers_changed(daemon);
        daemon.report_due.notify_one();
    }
}

/// Drops servers whose entries did not return in time, and accepts those whose entries have returned.
pub fn sweep_servers(daemon: &DaemonState) {
    let expired = daemon.directory.borrow_mut().sweep(daemon.now());
    for id in &expired {
        slog::info!(daemon.log, "server"; "server" => %id, "change" => "Gone", "from" => "store");
    }
    let returned = daemon.directory.borrow_mut().confirm_returns(daemon.now());
    for id in &returned {
        log_change(daemon, id, Change::Joined, "store");
    }
    if !expired.is_empty() || !returned.is_empty() {
        on_servers_changed(daemon);
        daemon.report_due.notify_one();
    }
}

/// Discards state of instances that are no longer current, and wakes tasks that depend on the list of servers.
pub fn on_servers_changed(daemon: &DaemonState) {
    let directory = daemon.directory.borrow();
    let is_known = |instance: &ServerInstance| directory.is_current(instance);
    daemon.health.borrow_mut().retain(is_known);
    daemon.inventories.borrow_mut().retain(is_known);
    daemon.workloads.retain(daemon.now(), is_known);
    let instances: Vec<_> = directory.all_servers().map(|server| server.instance()).collect();
    daemon.slowdowns.retain(daemon.now(), instances.iter());
    daemon.rate_limits.borrow_mut().retain(is_known);
    daemon.server_rests.borrow_mut().retain(is_known);
    daemon.server_paths.borrow_mut().retain(is_known);
    daemon.brittle_servers.retain(is_known);
    daemon.silent_servers.borrow_mut().retain(is_known);
    daemon.pool.evict_idle(is_known);
    daemon.check_pool.evict_idle(is_known);
    daemon.model_waits.inventories_changed.notify_waiters();
    daemon.plan_due.notify_one();
}

/// Writes this daemon's entry to the store, once it takes it.
pub(super) async fn register_daemon(daemon: &DaemonState) {
    let settings = daemon.settings();
    let entry = DaemonEntry {
        addr: settings.peer,
        process: daemon.process,
        centre: settings.centre.clone(),
        small: settings.host.is_small(),
    };
    let record = || FeedRecord { key: settings.id.clone(), value: Some(entries::encode(&entry)) };
    loop {
        let call = daemon.store.append(Feed::Daemons, record(), None);
        if let Ok(offset) = track_call(daemon, Feed::Daemons, call).await {
            daemon.entry_offset.set(Some(offset));
            return;
        }
        sleep(RETRY_DELAY * 2).await;
    }
}

/// Registers this daemon in the store, and reads the list of the others.
pub async fn follow_daemons(daemon: Rc<DaemonState>) {
    register_daemon(&daemon).await;
    let mut last_read = Duration::ZERO;
    let mut from = None;
    for read_at in DAEMON_READS {
        sleep(read_at.saturating_sub(last_read)).await;
        // In a large fleet a second read by every daemon would cost hundreds of calls, and new daemons send all
        // their state three times anyway.
        if from.is_some() && daemon.is_large_fleet() {
            return;
        }
        last_read = read_at;
        from = Some(read_daemons(&daemon, from).await);
        daemon.peers_known.set(true);
    }
}

/// Reads the list of daemons, or only its changes if `from` is set. Returns the offset of the next read.
async fn read_daemons(daemon: &DaemonState, mut from: Option<FeedOffset>) -> FeedOffset {
    loop {
        let call = match from {
            None => daemon.store.list_latest(Feed::Daemons),
            Some(offset) => daemon.store.read(Feed::Daemons, offset, Duration::ZERO),
        };
        match track_call(daemon, Feed::Daemons, call).await {
            Ok(batch) => {
                apply_daemons(daemon, &batch);
                return batch.end;
            }
            Err(StoreError::Expired) => from = None,
            Err(_failed) => sleep(RETRY_DELAY * 4).await,
        }
    }
}

fn apply_daemons(daemon: &DaemonState, batch: &Batch) {
    let id = &daemon.settings().id;
    let now = daemon.now();
    daemon.log_unreadable_records(Feed::Daemons, batch);
    for record in batch.records.iter().filter(|r| r.key != *id) {
        let Some(raw) = &record.value else { continue };
        match entries::decode::<DaemonEntry>(raw) {
            Ok(peer) => {
                daemon.unreadable.borrow_mut().clear(Feed::Daemons, &record.key);
                daemon.peers.borrow_mut().put_listed(&record.key, &peer, now);
            }
            Err(error) => daemon.log_unreadable(Feed::Daemons, &record.key, &error.0),
        }
    }
}
