//! Fetches configurations and servers' entries from peers when the store and the readers' reports do not deliver them,
//! and detects that this daemon is isolated.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt as _;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::directory::Change;
use crate::cluster::peer_table::Peer;
use crate::cluster::peer_update::ConfigUpdate;
use crate::cluster::peer_update::MAX_UPDATE_BYTES;
use crate::cluster::peer_update::ServerSnapshot;
use crate::serve::apply_updates;
use crate::serve::daemon_state::DaemonState;
use crate::serve::peer_transfer;
use crate::serve::peer_transfer::FetchError;
use crate::serve::peer_transfer::Fetched;
use crate::store::Feed;

/// The store counts as unavailable when it has not responded for this long, which is more than the interval of reads.
const STORE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1700);
/// Interval between checks whether this daemon is behind its peers or isolated.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A daemon behind its peers waits this long for an update from the store before it fetches from a peer.
const BEHIND_DELAY: Duration = Duration::from_millis(400);
/// Period in milliseconds over which the daemons of a data centre spread their fetches from its readers.
const FETCH_SPREAD_MS: u64 = 150;
/// Interval between a daemon's fetches of a full snapshot from a reader; it bounds how long a reader's error can last.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(30);

/// Longest delay before a busy peer, or another one in its place, is asked.
const BUSY_DELAY: Duration = Duration::from_millis(100);
/// Most peers that are asked one after the other while each is busy.
const MAX_REDIRECTS: usize = 16;

/// Fetches snapshots from peers that are ahead while the store does not deliver them, and tracks isolation.
pub async fn sync_from_peers(daemon: Rc<DaemonState>) {
    let mut behind_since = None;
    // Starts daemons at different peers.
    let mut rotation = daemon.process as usize;
    let mut awaited = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        update_isolation(&daemon);
        log_start_progress(&daemon, &mut awaited);
        let config_source = config_source(&daemon, rotation);
        let servers_source = servers_source(&daemon, rotation);
        if config_source.is_none() && servers_source.is_none() {
            behind_since = None;
            continue;
        }
        if behind_since.get_or_insert_with(Instant::now).elapsed() < BEHIND_DELAY {
            continue;
        }
        behind_since = None;
        rotation = rotation.wrapping_add(1);
        if let Some(peer) = config_source {
            sync_config(&daemon, peer).await;
        }
        if let Some(peer) = servers_source {
            sync_servers(&daemon, peer).await;
        }
    }
}

/// Fetches from readers a newer configuration that they advertise, and a full snapshot periodically or after a gap in
/// their reports.
pub async fn sync_from_readers(daemon: Rc<DaemonState>) {
    let mut rotation = daemon.process as usize;
    let mut next_snapshot = daemon.now() + first_snapshot_delay(&daemon);
    loop {
        let _notified = timeout(CHECK_INTERVAL * 5, daemon.fetch_due.notified()).await;
        if !daemon.relies_on_readers() {
            continue;
        }
        rotation = rotation.wrapping_add(1);
        let now = daemon.now();
        let centre = daemon.settings().centre.clone();
        let version = daemon.config_version();
        let ahead = daemon.peers.borrow().reader_ahead(&centre, version, rotation, now);
        if let Some(reader) = ahead {
            sleep(Duration::from_millis(daemon.process % FETCH_SPREAD_MS)).await;
            sync_config(&daemon, reader).await;
        }
        let has_gap = daemon.freshness.has_gap.get();
        if has_gap || now >= next_snapshot {
            next_snapshot = now + SNAPSHOT_INTERVAL;
            fetch_reader_snapshot(&daemon, rotation).await;
        }
    }
}

/// Returns the delay of the first full snapshot, which differs between daemons to spread the load.
fn first_snapshot_delay(daemon: &DaemonState) -> Duration {
    SNAPSHOT_INTERVAL / 2
        + Duration::from_millis(daemon.process % SNAPSHOT_INTERVAL.as_millis() as u64)
}

/// Fetches a full snapshot from a reader of this data centre.
async fn fetch_reader_snapshot(daemon: &DaemonState, rotation: usize) {
    let now = daemon.now();
    let centre = daemon.settings().centre.clone();
    let reader = {
        let peers = daemon.peers.borrow();
        let readers: Vec<_> = peers.readers(&centre, now).collect();
        let chosen = readers.get(rotation % readers.len().max(1));
        chosen.and_then(|(_, p)| Some((p.addr, p.fresh_reader_status(now)?.last_read)))
    };
    let Some((addr, read_at)) = reader else { return };
    if sync_servers(daemon, addr).await {
        if daemon.freshness.has_gap.replace(false) {
            daemon.version_history.borrow_mut().record_gap();
        }
        daemon.freshness.advance_servers(read_at);
    }
}

/// Fetches a later configuration from a peer, unless another fetch is in progress.
async fn sync_config(daemon: &DaemonState, peer: SocketAddr) {
    if daemon.fetches_config.replace(true) {
        return;
    }
    let result = fetch_config(daemon, peer).await;
    daemon.fetches_config.set(false);
    let restored = result.and_then(|update| {
        let restore = |update| restore_config(daemon, &update);
        update.map(restore).transpose()
    });
    match restored {
        Ok(Some(raw)) => {
            apply_updates::apply_config(daemon, &raw, apply_updates::FROM_PEER);
        }
        Ok(None) => {}
        Err(error) => {
            if matches!(error, FetchError::TooLarge(_)) {
                let reason = error.to_string();
                daemon.log_unreadable(Feed::Configuration, apply_updates::CONFIG_KEY, &reason);
            }
            log_failure(daemon, peer, &error);
        }
    }
}

/// Fetches a later configuration from a peer, or from those that it names while it is busy.
async fn fetch_config(
    daemon: &DaemonState,
    mut peer: SocketAddr,
) -> Result<Option<ConfigUpdate>, FetchError> {
    for _ in 0..MAX_REDIRECTS {
        match peer_transfer::fetch_config(daemon, peer).await? {
            Fetched::Update(update) => return Ok(update),
            Fetched::Busy(others) => peer = next_source(daemon, &others).await.unwrap_or(peer),
        }
    }
    Ok(None)
}

/// Returns another peer to ask after a delay, of those that a busy one named or that are ahead: they may be busy too.
async fn next_source(daemon: &DaemonState, named: &[SocketAddr]) -> Option<SocketAddr> {
    let own = daemon.settings().peer;
    let named: Vec<SocketAddr> = named.iter().copied().filter(|addr| *addr != own).collect();
    let draw = rand::rng().random::<u32>() as usize;
    sleep(BUSY_DELAY.mul_f64(rand::rng().random_range(0.5..1.0))).await;
    if let Some(addr) = named.get(draw % named.len().max(1)) {
        return Some(*addr);
    }
    config_source(daemon, draw)
}

fn restore_config(daemon: &DaemonState, update: &ConfigUpdate) -> Result<Bytes, FetchError> {
    let length = update.content.length as usize;
    if length > MAX_UPDATE_BYTES {
        return Err(FetchError::TooLarge(length));
    }
    Ok(daemon.config_history.borrow().restore(update)?)
}

/// Fetches the entries of all servers from a peer; returns whether they were received.
async fn sync_servers(daemon: &DaemonState, peer: SocketAddr) -> bool {
    let mut result = peer_transfer::fetch_servers(daemon, peer).await;
    for _ in 0..MAX_REDIRECTS {
        if !matches!(result, Ok(Fetched::Busy(_))) {
            break;
        }
        sleep(BUSY_DELAY).await;
        result = peer_transfer::fetch_servers(daemon, peer).await;
    }
    match result {
        Ok(Fetched::Update(snapshot)) => {
            apply_snapshot(daemon, snapshot);
            true
        }
        Ok(Fetched::Busy(_)) => false,
        Err(error) => {
            log_failure(daemon, peer, &error);
            false
        }
    }
}

fn log_failure(daemon: &DaemonState, peer: SocketAddr, error: &FetchError) {
    slog::warn!(daemon.log, "peer-fetch-failed"; "peer" => %peer, "error" => %error,
        "config" => daemon.config_version());
}

/// Logs what a starting daemon still waits for, whenever that changes.
fn log_start_progress(daemon: &DaemonState, awaited: &mut Option<&'static str>) {
    let awaits = daemon.awaited_state().unwrap_or("-");
    if awaited.replace(awaits) != Some(awaits) {
        slog::info!(daemon.log, "start-awaits"; "awaits" => awaits, "ready" => daemon.is_ready());
    }
}

fn update_isolation(daemon: &DaemonState) {
    let now = daemon.now();
    let centre = daemon.settings().centre.clone();
    let since_response = daemon.time_since_store(now);
    // Both conditions are needed: all peers may have stopped, and the store may be unavailable to all daemons.
    let isolated = since_response > store_response_timeout(daemon)
        && daemon.peers.borrow().is_isolated(&centre, now);
    if daemon.isolated.replace(isolated) != isolated {
        slog::warn!(daemon.log, "isolation"; "cut_off" => isolated,
            "store_seen_ms_ago" => since_response.as_millis());
    }
}

/// Returns after how long without a response the store counts as unavailable. In a large fleet this daemon reads the
/// store rarely, and readers' reports arrive with a delay.
fn store_response_timeout(daemon: &DaemonState) -> Duration {
    if daemon.is_large_fleet() {
        STORE_RESPONSE_TIMEOUT.max(daemon.settings().drain)
    } else {
        STORE_RESPONSE_TIMEOUT
    }
}

/// Returns a peer with a later configuration; `rotation` varies the choice between several.
fn config_source(daemon: &DaemonState, rotation: usize) -> Option<SocketAddr> {
    let version = daemon.config_version();
    let is_ahead = |peer: &Peer| peer.config_version > version;
    let centre = &daemon.settings().centre;
    daemon.peers.borrow().update_source(is_ahead, centre, rotation, daemon.now())
}

/// Returns a peer with a later server feed if the store does not respond, or has not told this daemon the list of servers
/// yet, though it may answer calls for other feeds; `rotation` varies the choice between several.
fn servers_source(daemon: &DaemonState, rotation: usize) -> Option<SocketAddr> {
    let now = daemon.now();
    let is_answered = daemon.time_since_store(now) <= store_response_timeout(daemon);
    if is_answered && daemon.freshness.is_listed.get() {
        return None;
    }
    let end = daemon.directory.borrow().feed_end();
    let is_ahead = |peer: &Peer| peer.servers_end > end;
    let centre = &daemon.settings().centre;
    daemon.peers.borrow().update_source(is_ahead, centre, rotation, now)
}

fn apply_snapshot(daemon: &DaemonState, snapshot: ServerSnapshot) {
    // A snapshot with the same feed end is applied too, as it may repair a difference.
    let end = daemon.directory.borrow().feed_end();
    if snapshot.servers_end < end || snapshot.raw_servers.is_empty() {
        return;
    }
    let mut changed = false;
    // Entries that the peer still waits for count as neither present nor removed.
    let mut listed = snapshot.awaited;
    for (id, raw) in snapshot.raw_servers {
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
    daemon.directory.borrow_mut().advance(snapshot.servers_end);
    daemon.freshness.is_listed.set(true);
    if changed {
        apply_updates::on_servers_changed(daemon);
    }
}
