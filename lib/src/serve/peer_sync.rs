//! What a daemon fetches from peers: whatever the store or readers' words did not bring.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::digest::PeerRequest;
use crate::cluster::digest::SnapshotReply;
use crate::cluster::directory::Change;
use crate::serve::apply_updates;
use crate::serve::daemon_state::DaemonState;
use crate::serve::peer_transfer::FETCH_TIMEOUT;
use crate::serve::peer_transfer::fetch_from_peer;

/// The store is taken as away when it has not answered for this long: more than a read's pace.
const STORE_SILENT: Duration = Duration::from_millis(1700);
/// Time between looks at whether this daemon is behind its peers or cut off.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// A daemon behind its peers waits this long for the store's own word first.
const BEHIND_FOR: Duration = Duration::from_millis(400);
/// Fetches of the daemons of a data centre from its readers are spread over this time.
const FETCH_SPREAD: u64 = 150;
/// Time between a daemon's fetches of the whole picture from a reader, so that no mistake of a reader lasts longer.
const WHOLE_EVERY: Duration = Duration::from_secs(30);

/// Fetches from a peer what the store does not give, and notices when this daemon is cut off.
pub async fn sync_from_peers(entry: Rc<DaemonState>) {
    let mut behind_since = None;
    // Daemons begin with different peers.
    let mut turn = entry.process as usize;
    loop {
        sleep(LOOK_EVERY).await;
        look_around(&entry);
        let Some(peer) = peer_ahead(&entry, turn) else {
            behind_since = None;
            continue;
        };
        if behind_since.get_or_insert_with(Instant::now).elapsed() < BEHIND_FOR {
            continue;
        }
        behind_since = None;
        turn = turn.wrapping_add(1);
        fetch_from(&entry, peer, PeerRequest::Snapshot).await;
    }
}

/// Fetches from readers what their words tell of: a later configuration, or the picture behind a gap.
pub async fn sync_from_readers(entry: Rc<DaemonState>) {
    let mut turn = entry.process as usize;
    let mut whole = entry.now() + first_whole(&entry);
    loop {
        let _told = timeout(LOOK_EVERY * 5, entry.fetch_due.notified()).await;
        if !entry.relies_on_readers() {
            continue;
        }
        turn = turn.wrapping_add(1);
        let now = entry.now();
        let centre = entry.settings().centre.clone();
        let version = entry.config_version();
        let later = entry.peers.borrow().reader_ahead(&centre, version, turn, now);
        if let Some(reader) = later {
            sleep(Duration::from_millis(entry.process % FETCH_SPREAD)).await;
            fetch_from(&entry, reader, PeerRequest::Configuration).await;
        }
        let has_gap = entry.freshness.has_gap.get();
        if has_gap || now >= whole {
            whole = now + WHOLE_EVERY;
            fetch_whole(&entry, turn).await;
        }
    }
}

fn first_whole(entry: &DaemonState) -> Duration {
    WHOLE_EVERY / 2 + Duration::from_millis(entry.process % WHOLE_EVERY.as_millis() as u64)
}

/// Fetches the whole picture from a reader of the data centre.
async fn fetch_whole(entry: &DaemonState, turn: usize) {
    let now = entry.now();
    let centre = entry.settings().centre.clone();
    let reader = {
        let peers = entry.peers.borrow();
        let list: Vec<_> = peers.readers(&centre, now).collect();
        let chosen = list.get(turn % list.len().max(1));
        chosen.and_then(|(_, p)| Some((p.addr, p.fresh_reader_status(now)?.read)))
    };
    let Some((addr, read)) = reader else { return };
    if fetch_from(entry, addr, PeerRequest::Snapshot).await {
        entry.freshness.has_gap.set(false);
        entry.freshness.advance_servers(read);
    }
}

async fn fetch_from(entry: &DaemonState, peer: SocketAddr, request: PeerRequest) -> bool {
    let result = match timeout(FETCH_TIMEOUT, fetch_from_peer(peer, request)).await {
        Ok(result) => result.map_err(|error| error.to_string()),
        Err(_elapsed) => Err("timeout".to_owned()),
    };
    match result {
        Ok(picture) => {
            adopt(entry, picture);
            true
        }
        Err(error) => {
            slog::warn!(entry.log, "peer-fetch-failed"; "peer" => %peer, "error" => error);
            false
        }
    }
}

fn look_around(entry: &DaemonState) {
    let now = entry.now();
    let centre = entry.settings().centre.clone();
    let silence = entry.store_silence(now);
    // Neither alone is enough: all peers may have stopped, and the store may be away for all.
    let isolated = silence > store_silent(entry) && entry.peers.borrow().is_isolated(&centre, now);
    if entry.isolated.replace(isolated) != isolated {
        slog::warn!(entry.log, "isolation"; "cut_off" => isolated,
            "store_seen_ms_ago" => silence.as_millis());
    }
}

/// Returns after which silence the store is taken as away. In a large fleet this daemon's own reads come rarely, and
/// words a moment late.
fn store_silent(entry: &DaemonState) -> Duration {
    if entry.is_large_fleet() { STORE_SILENT.max(entry.settings().drain) } else { STORE_SILENT }
}

/// Returns a peer that knows more than this daemon, where the store does not help.
fn peer_ahead(entry: &DaemonState, turn: usize) -> Option<SocketAddr> {
    let now = entry.now();
    let config = entry.config_version();
    let servers = entry.directory.borrow().feed_end();
    let is_silent = entry.store_silence(now) > store_silent(entry);
    let servers = is_silent.then_some(servers);
    let centre = &entry.settings().centre;
    entry.peers.borrow().snapshot_source(config, servers, centre, turn, now)
}

fn adopt(entry: &DaemonState, picture: SnapshotReply) {
    if !picture.raw_config.is_empty() {
        apply_updates::apply_config(
            entry,
            &Bytes::from(picture.raw_config),
            apply_updates::FROM_PEER,
        );
    }
    // One of the same age may heal a difference.
    let end = entry.directory.borrow().feed_end();
    if picture.servers_end < end || picture.raw_servers.is_empty() {
        return;
    }
    let mut changed = false;
    // The peer waits for these as this daemon does: they are neither there nor gone.
    let mut listed = picture.awaited;
    for (id, raw) in picture.raw_servers {
        let change = apply_updates::apply_server(
            entry,
            &id,
            Some(&Bytes::from(raw)),
            apply_updates::FROM_PEER,
        );
        changed |= change != Change::None;
        listed.push(id);
    }
    let missing = entry.directory.borrow().missing(&listed);
    for id in missing {
        let change = entry.directory.borrow_mut().forget(&id);
        changed = true;
        slog::info!(entry.log, "server"; "server" => %id, "change" => ?change, "from" => apply_updates::FROM_PEER);
    }
    entry.directory.borrow_mut().advance(picture.servers_end);
    if changed {
        apply_updates::on_servers_changed(entry);
    }
}
