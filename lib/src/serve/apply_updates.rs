//! Follows the platform's feed of daemons, and takes in what the store and peers tell.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::cluster::directory::Change;
use crate::cluster::directory::Server;
use crate::cluster::latest_instances::InstanceOrder;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::Offset;
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

/// The source of what a peer relays, in the log.
pub const FROM_PEER: &str = "peer";
/// Key of the configuration's record.
pub const CONFIG_KEY: &str = "config";
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);
/// Times of the looks at the list of daemons after this one is listed. Of two daemons that start together at
/// least one finds the other in its first look, and tells it its state; the second look is for datagrams that
/// were lost.
const DAEMON_LOOKS: [Duration; 2] = [Duration::ZERO, Duration::from_secs(3)];

/// Takes in a configuration; an older one than that in force changes nothing, nor does one that cannot
/// be read. Returns whether it can be read.
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
        "from" => from, "routes" => config.route_count(), "services" => config.services.len());
    *daemon.config.borrow_mut() = Some(Rc::new(config));
    *daemon.raw_config.borrow_mut() = raw.clone();
    daemon.config_changed.notify_one();
    daemon.report_due.notify_one();
    daemon.plan_due.notify_one();
    true
}

/// Reads a server's entry.
fn read_server(daemon: &DaemonState, key: &ServerId, raw: &[u8]) -> Result<Server, FormatError> {
    let server = daemon.protocol.parse_server(key, raw)?;
    // A server stays in its service. Another writer's entry under its id, with a greater heartbeat,
    // would hide all that the server itself says.
    let directory = daemon.directory.borrow();
    match directory.get(key).filter(|known| known.service != server.service) {
        Some(known) => Err(FormatError(format!("its service was {} before", known.service))),
        None => Ok(server),
    }
}

/// Takes in one server's entry, or its removal.
pub fn apply_server(
    daemon: &DaemonState,
    key: &ServerId,
    value: Option<&Bytes>,
    from: &str,
) -> Change {
    let now = daemon.now();
    let read = value.map(|raw| (raw, read_server(daemon, key, raw)));
    if let Some((_, Err(error))) = &read {
        daemon.log_unreadable(Feed::Servers, key, &error.0);
    } else {
        daemon.unreadable.borrow_mut().clear(Feed::Servers, key);
    }
    let mut directory = daemon.directory.borrow_mut();
    let change = match read {
        None => directory.remove(key, now),
        Some((raw, Ok(server))) if from == FROM_PEER => {
            directory.put_relayed(server, raw.clone(), now)
        }
        Some((raw, Ok(server))) => directory.put(server, raw.clone(), now),
        Some((_, Err(_unread))) => directory.suspend(key, now),
    };
    drop(directory);
    if change != Change::None {
        log_change(daemon, key, change, from);
    }
    change
}

/// Takes in that the record under a key names no server.
fn take_unread(daemon: &DaemonState, key: &ServerId) -> Change {
    let change = daemon.directory.borrow_mut().suspend(key, daemon.now());
    if change != Change::None {
        log_change(daemon, key, change, "store");
    }
    change
}

/// Takes in that somebody named a start of a server, and returns how it stands to the newest one.
pub fn apply_start(daemon: &DaemonState, start: &ServerInstance, from: &str) -> InstanceOrder {
    let order = daemon.directory.borrow_mut().observe_instance(start, daemon.now());
    if order == InstanceOrder::Newer && daemon.directory.borrow().is_current(start) {
        log_change(daemon, &start.id, Change::Restarted, from);
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
        "centre" => server.map_or("-", |s| s.centre.as_str()), "models" => models,
        "beat" => server.map_or(0, |s| s.heartbeat),
        "born" => server.and_then(|s| s.born).unwrap_or(0), "feed_end" => directory.feed_end());
}

/// Takes in records of the servers' feed; the whole list, or what came after what was read before.
pub fn apply_server_batch(daemon: &DaemonState, batch: &Batch, is_whole: bool) {
    let mut changed = false;
    daemon.directory.borrow_mut().record_read(daemon.now());
    daemon.log_unreadable_records(Feed::Servers, batch);
    for record in &batch.records {
        changed |=
            apply_server(daemon, &record.key, record.value.as_ref(), "store") != Change::None;
    }
    let unread: Vec<&SmolStr> = batch.unreadable.iter().filter_map(|r| r.key.as_ref()).collect();
    for key in &unread {
        changed |= take_unread(daemon, key) != Change::None;
    }
    if is_whole {
        // A record that cannot be read is there all the same.
        let read = batch.records.iter().map(|r| &r.key);
        let listed: Vec<SmolStr> = read.chain(unread).cloned().collect();
        let missing = daemon.directory.borrow().missing(&listed);
        for id in missing {
            changed |= apply_server(daemon, &id, None, "store") != Change::None;
        }
    }
    let mut directory = daemon.directory.borrow_mut();
    directory.advance(batch.end);
    if is_whole {
        directory.clear_history();
    }
    drop(directory);
    if changed {
        on_servers_changed(daemon);
        daemon.report_due.notify_one();
    }
}

/// Drops servers whose entries did not come back in time, and takes up those that have.
pub fn sweep_servers(daemon: &DaemonState) {
    let gone = daemon.directory.borrow_mut().sweep(daemon.now());
    for id in &gone {
        slog::info!(daemon.log, "server"; "server" => %id, "change" => "Gone", "from" => "store");
    }
    let back = daemon.directory.borrow_mut().confirm_returns(daemon.now());
    for id in &back {
        log_change(daemon, id, Change::Joined, "store");
    }
    if !gone.is_empty() || !back.is_empty() {
        on_servers_changed(daemon);
        daemon.report_due.notify_one();
    }
}

/// Tells the parts that depend on the list of servers.
pub fn on_servers_changed(daemon: &DaemonState) {
    let directory = daemon.directory.borrow();
    let is_known = |start: &ServerInstance| directory.is_current(start);
    daemon.health.borrow_mut().retain(is_known);
    daemon.inventories.borrow_mut().retain(is_known);
    daemon.workloads.retain(daemon.now(), is_known);
    daemon.rate_limits.borrow_mut().retain(is_known);
    daemon.pool.evict_idle(is_known);
    daemon.model_waits.inventories_changed.notify_waiters();
    daemon.plan_due.notify_one();
}

/// Lists this daemon in the store, and learns of the others.
pub async fn follow_daemons(daemon: Rc<DaemonState>) {
    let settings = daemon.settings();
    let me = DaemonEntry {
        addr: settings.peer,
        process: daemon.process,
        centre: settings.centre.clone(),
        small: settings.host.is_small(),
    };
    let record = || FeedRecord { key: settings.id.clone(), value: Some(entries::encode(&me)) };
    loop {
        let call = daemon.store.append(Feed::Daemons, record(), None);
        if track_call(&daemon, Feed::Daemons, call).await.is_ok() {
            break;
        }
        sleep(PAUSE * 2).await;
    }
    let mut before = Duration::ZERO;
    let mut from = None;
    for look in DAEMON_LOOKS {
        sleep(look.saturating_sub(before)).await;
        // In a large fleet the second one would cost hundreds of calls, and newcomers tell all their state thrice.
        if from.is_some() && daemon.is_large_fleet() {
            return;
        }
        before = look;
        from = Some(look_at_daemons(&daemon, from).await);
        daemon.peers_known.set(true);
    }
}

/// Reads the list of daemons, from an offset on where one is known; returns where to read on.
async fn look_at_daemons(daemon: &DaemonState, mut from: Option<Offset>) -> Offset {
    loop {
        let call = match from {
            None => daemon.store.list_latest(Feed::Daemons),
            Some(offset) => daemon.store.read(Feed::Daemons, offset, Duration::ZERO),
        };
        match track_call(daemon, Feed::Daemons, call).await {
            Ok(batch) => {
                take_daemons(daemon, &batch);
                return batch.end;
            }
            Err(StoreError::Expired) => from = None,
            Err(_failed) => sleep(PAUSE * 4).await,
        }
    }
}

fn take_daemons(daemon: &DaemonState, batch: &Batch) {
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
