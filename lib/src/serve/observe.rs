//! Follows the platform's feeds of servers and daemons, and takes in what the store and peers tell.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::ids::ServerId;
use crate::picture::directory::Change;
use crate::place::entries;
use crate::place::entries::DaemonEntry;
use crate::serve::entry::Entry;
use crate::serve::store_calls::noted;
use crate::store::Batch;
use crate::store::Feed;
use crate::store::FeedRecord;
use crate::store::StoreError;

/// Part of the time within which a leaving server must get nothing more that lies between two reads
/// of the servers' feed. Peers read at other moments and tell who left.
const READ_PART: f64 = 0.55;
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);
/// Times of the looks at the list of daemons after the start; later ones hear of new daemons from
/// these themselves.
const DAEMON_LOOKS: [Duration; 4] =
    [Duration::ZERO, Duration::from_millis(700), Duration::from_secs(2), Duration::from_secs(10)];

/// Takes in a configuration; an older one than that in force changes nothing.
pub fn adopt_config(entry: &Entry, raw: &Bytes, from: &str) {
    let config = match entry.protocol.configuration(raw) {
        Ok(config) => config,
        Err(error) => {
            slog::error!(entry.log, "configuration-unreadable"; "from" => from, "error" => %error);
            return;
        }
    };
    let old = entry.config_version();
    if config.version <= old {
        return;
    }
    slog::info!(entry.log, "configuration"; "version" => config.version, "before" => old,
        "from" => from, "routes" => config.route_count(), "services" => config.services.len());
    *entry.config.borrow_mut() = Some(Rc::new(config));
    *entry.raw_config.borrow_mut() = raw.clone();
    entry.config_changed.notify_one();
    entry.plan.notify_one();
}

/// Takes in one server's entry, or its removal.
pub fn take_server(entry: &Entry, key: &ServerId, value: Option<&Bytes>, from: &str) -> Change {
    let now = entry.now();
    let change = match value {
        None => entry.directory.borrow_mut().remove(key, now),
        Some(raw) => match entry.protocol.server(key, raw) {
            Ok(server) => entry.directory.borrow_mut().put(server, raw.clone(), now),
            Err(error) => {
                slog::error!(entry.log, "server-unreadable"; "server" => %key, "error" => %error);
                Change::None
            }
        },
    };
    if change != Change::None {
        log_change(entry, key, change, from);
    }
    change
}

fn log_change(entry: &Entry, id: &ServerId, change: Change, from: &str) {
    let directory = entry.directory.borrow();
    let server = directory.get(id);
    let models = server.map_or(0, |s| s.models.len());
    slog::info!(entry.log, "server"; "server" => %id, "change" => ?change, "from" => from,
        "service" => server.map_or("-", |s| s.service.as_str()),
        "centre" => server.map_or("-", |s| s.centre.as_str()), "models" => models,
        "beat" => server.map_or(0, |s| s.beat), "feed_end" => directory.end());
}

fn take_servers(entry: &Entry, batch: &Batch, is_whole: bool) {
    let mut changed = false;
    entry.directory.borrow_mut().read(entry.now());
    for record in &batch.records {
        changed |= take_server(entry, &record.key, record.value.as_ref(), "store") != Change::None;
    }
    if is_whole {
        let listed: Vec<SmolStr> = batch.records.iter().map(|r| r.key.clone()).collect();
        let missing = entry.directory.borrow().missing(&listed);
        for id in missing {
            changed |= take_server(entry, &id, None, "store") != Change::None;
        }
    }
    entry.directory.borrow_mut().advance(batch.end);
    if changed {
        servers_changed(entry);
    }
}

/// Drops servers whose entries did not come back in time.
pub fn sweep_servers(entry: &Entry) {
    let gone = entry.directory.borrow_mut().sweep(entry.now());
    for id in &gone {
        slog::info!(entry.log, "server"; "server" => %id, "change" => "Gone", "from" => "store");
    }
    if !gone.is_empty() {
        servers_changed(entry);
    }
}

/// Tells the parts that depend on the list of servers.
pub fn servers_changed(entry: &Entry) {
    let directory = entry.directory.borrow();
    let is_known = |id: &str| directory.get(id).is_some();
    entry.health.borrow_mut().retain(is_known);
    entry.holdings.borrow_mut().retain(is_known);
    entry.loads.retain(entry.now(), is_known);
    entry.waits.changed.notify_waiters();
    entry.plan.notify_one();
}

/// Follows the list of servers.
pub async fn follow_servers(entry: Rc<Entry>) {
    let mut from = None;
    loop {
        let call = match from {
            None => entry.store.newest(Feed::Servers),
            Some(offset) => entry.store.read(Feed::Servers, offset, Duration::ZERO),
        };
        match noted(&entry, Feed::Servers, call).await {
            Ok(batch) => {
                take_servers(&entry, &batch, from.is_none());
                from = Some(batch.end);
                let drain = entry.settings().drain;
                sleep(drain.mul_f64(READ_PART)).await;
            }
            Err(StoreError::Expired) => from = None,
            Err(_failed) => sleep(PAUSE).await,
        }
    }
}

/// Lists this daemon in the store, and learns of the others.
pub async fn follow_daemons(entry: Rc<Entry>) {
    let settings = entry.settings();
    let me = DaemonEntry { addr: settings.peer, process: entry.process };
    let record = || FeedRecord { key: settings.id.clone(), value: Some(entries::write(&me)) };
    loop {
        let call = entry.store.append(Feed::Daemons, record(), None);
        if noted(&entry, Feed::Daemons, call).await.is_ok() {
            break;
        }
        sleep(PAUSE * 2).await;
    }
    let mut before = Duration::ZERO;
    for look in DAEMON_LOOKS {
        sleep(look.saturating_sub(before)).await;
        before = look;
        loop {
            let call = entry.store.newest(Feed::Daemons);
            if let Ok(batch) = noted(&entry, Feed::Daemons, call).await {
                take_daemons(&entry, &batch);
                break;
            }
            sleep(PAUSE * 4).await;
        }
    }
}

fn take_daemons(entry: &Entry, batch: &Batch) {
    let id = &entry.settings().id;
    let now = entry.now();
    for record in batch.records.iter().filter(|r| r.key != *id) {
        let Some(raw) = &record.value else { continue };
        match entries::read::<DaemonEntry>(raw) {
            Ok(peer) => {
                entry.peers.borrow_mut().list(&record.key, peer.addr, peer.process, now);
            }
            Err(error) => {
                slog::error!(entry.log, "daemon-unreadable"; "daemon" => %record.key,
                    "error" => %error);
            }
        }
    }
}
