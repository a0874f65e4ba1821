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
pub async fn sync_from_peers(daemon: Rc<DaemonState>) {
    let mut behind_since = None;
    // Daemons begin with different peers.
    let mut turn = daemon.process as usize;
    loop {
        sleep(LOOK_EVERY).await;
        look_around(&daemon);
        let Some(peer) = peer_ahead(&daemon, turn) else {
            behind_since = None;
            continue;
        };
        if behind_since.get_or_insert_with(Instant::now).elapsed() < BEHIND_FOR {
            continue;
        }
        behind_since = None;
        turn = turn.wrapping_add(1);
        fetch_from(&daemon, peer, PeerRequest::Snapshot).await;
    }
}

/// Fetches from readers what their words tell of: a later configuration, or the picture behind a gap.
pub async fn sync_from_readers(daemon: Rc<DaemonState>) {
    let mut turn = daemon.process as usize;
    let mut whole = daemon.now() + first_whole(&daemon);
    loop {
        let _told = timeout(LOOK_EVERY * 5, daemon.fetch_due.notified()).await;
        if !daemon.relies_on_readers() {
            continue;
        }
        turn = turn.wrapping_add(1);
        let now = daemon.now();
        let centre = daemon.settings().centre.clone();
        let version = daemon.config_version();
        let later = daemon.peers.borrow().reader_ahead(&centre, version, turn, now);
        if let Some(reader) = later {
            sleep(Duration::from_millis(daemon.process % FETCH_SPREAD)).await;
            fetch_from(&daemon, reader, PeerRequest::Configuration).await;
        }
        let has_gap = daemon.freshness.has_gap.get();
        if has_gap || now >= whole {
            whole = now + WHOLE_EVERY;
            fetch_whole(&daemon, turn).await;
        }
    }
}

fn first_whole(daemon: &DaemonState) -> Duration {
    WHOLE_EVERY / 2 + Duration::from_millis(daemon.process % WHOLE_EVERY.as_millis() as u64)
}

/// Fetches the whole picture from a reader of the data centre.
async fn fetch_whole(daemon: &DaemonState, turn: usize) {
    let now = daemon.now();
    let centre = daemon.settings().centre.clone();
    let reader = {
        let peers = daemon.peers.borrow();
        let list: Vec<_> = peers.readers(&centre, now).collect();
        let chosen = list.get(turn % list.len().max(1));
        chosen.and_then(|(_, p)| Some((p.addr, p.fresh_reader_status(now)?.read)))
    };
    let Some((addr, read)) = reader else { return };
    if fetch_from(daemon, addr, PeerRequest::Snapshot).await {
        daemon.freshness.has_gap.set(false);
        daemon.freshness.advance_servers(read);
    }
}

async fn fetch_from(daemon: &DaemonState, peer: SocketAddr, request: PeerRequest) -> bool {
    let result = match timeout(FETCH_TIMEOUT, fetch_from_peer(peer, request)).await {
        Ok(result) => result.map_err(|error| error.to_string()),
        Err(_elapsed) => Err("timeout".to_owned()),
    };
    match result {
        Ok(picture) => {
            adopt(daemon, picture);
            true
        }
        Err(error) => {
            slog::warn!(daemon.log, "peer-fetch-failed"; "peer" => %peer, "error" => error);
            false
        }
    }
}

fn look_around(daemon: &DaemonState) {
    let now = daemon.now();
    let centre = daemon.settings().centre.clone();
    let silence = daemon.store_silence(now);
    // Neither alone is enough: all peers may have stopped, and the store may be away for all.
    let isolated =
        silence > store_silent(daemon) && daemon.peers.borrow().is_isolated(&centre, now);
    if daemon.isolated.replace(isolated) != isolated {
        slog::warn!(daemon.log, "isolation"; "cut_off" => isolated,
            "store_seen_ms_ago" => silence.as_millis());
    }
}

/// Returns after which silence the store is taken as away. In a large fleet this daemon's own reads come rarely, and
/// words a moment late.
fn store_silent(daemon: &DaemonState) -> Duration {
    if daemon.is_large_fleet() { STORE_SILENT.max(daemon.settings().drain) } else { STORE_SILENT }
}

/// Returns a peer that knows more than this daemon, where the store does not help.
fn peer_ahead(daemon: &DaemonState, turn: usize) -> Option<SocketAddr> {
    let now = daemon.now();
    let config = daemon.config_version();
    let servers = daemon.directory.borrow().feed_end();
    let is_silent = daemon.store_silence(now) > store_silent(daemon);
    let servers = is_silent.then_some(servers);
    let centre = &daemon.settings().centre;
    daemon.peers.borrow().snapshot_source(config, servers, centre, turn, now)
}

fn adopt(daemon: &DaemonState, picture: SnapshotReply) {
    if !picture.raw_config.is_empty() {
        apply_updates::apply_config(
            daemon,
            &Bytes::from(picture.raw_config),
            apply_updates::FROM_PEER,
        );
    }
    // One of the same age may heal a difference.
    let end = daemon.directory.borrow().feed_end();
    if picture.servers_end < end || picture.raw_servers.is_empty() {
        return;
    }
    let mut changed = false;
    // The peer waits for these as this daemon does: they are neither there nor gone.
    let mut listed = picture.awaited;
    for (id, raw) in picture.raw_servers {
        let change = apply_updates::apply_server(
            daemon,
            &id,
            Some(&Bytes::from(raw)),
            apply_updates::FROM_PEER,
        );
        changed |= change != Change::None;
        listed.push(id);
    }
    let missing = daemon.directory.borrow().missing(&listed);
    for id in missing {
        let change = daemon.directory.borrow_mut().forget(&id);
        changed = true;
        slog::info!(daemon.log, "server"; "server" => %id, "change" => ?change, "from" => apply_updates::FROM_PEER);
    }
    daemon.directory.borrow_mut().advance(picture.servers_end);
    if changed {
        apply_updates::on_servers_changed(daemon);
    }
}
