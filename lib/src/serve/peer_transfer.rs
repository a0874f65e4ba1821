//! Transfers the configuration and server entries between peers over TCP, for daemons that do not get them from the
//! platform's store, for instance because it refuses their calls.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::digest::PeerRequest;
use crate::cluster::digest::SnapshotReply;
use crate::serve::daemon_state::DaemonState;
use crate::serve::peer_connector::PeerStream;

/// Time limit for fetching a snapshot from a peer, and for serving one.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest accepted snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: u32 = 16 * 1024 * 1024;
/// Largest accepted request of a peer, in bytes.
const MAX_REQUEST_BYTES: u32 = 1024;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Fetches a snapshot or only the configuration from a peer.
///
/// # Errors
///
/// Fails if the peer is unreachable or its response is malformed or larger than `MAX_SNAPSHOT_BYTES`.
pub async fn fetch_from_peer(
    daemon: &DaemonState,
    peer: SocketAddr,
    request: PeerRequest,
) -> io::Result<SnapshotReply> {
    let connector = Rc::clone(&daemon.connector.borrow());
    let mut stream = connector.connect(peer, FETCH_TIMEOUT).await?;
    let request = postcard::to_stdvec(&request).map_err(io::Error::other)?;
    stream.write_u32(request.len() as u32).await?;
    stream.write_all(&request).await?;
    let bytes = read_frame(&mut *stream, MAX_SNAPSHOT_BYTES).await?;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}

async fn read_frame(stream: &mut dyn PeerStream, limit: u32) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > limit {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

/// Serves peers that request a snapshot.
pub async fn serve_peers(daemon: Rc<DaemonState>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let daemon = Rc::clone(&daemon);
        spawn_local(async move { serve_peer(&daemon, Box::new(stream), from).await });
    }
}

/// Serves one request of a peer on a connection from `from`.
pub async fn serve_peer(daemon: &DaemonState, stream: Box<dyn PeerStream>, from: SocketAddr) {
    if let Ok(Err(error)) = timeout(FETCH_TIMEOUT, serve_request(daemon, stream)).await {
        slog::warn!(daemon.log, "peer-call-failed"; "from" => %from, "error" => %error);
    }
}

async fn serve_request(daemon: &DaemonState, mut stream: Box<dyn PeerStream>) -> io::Result<()> {
    let request = read_frame(&mut *stream, MAX_REQUEST_BYTES).await?;
    let mut reply = SnapshotReply {
        config_version: daemon.config_version(),
        raw_config: daemon.raw_config.borrow().to_vec(),
        ..SnapshotReply::default()
    };
    match postcard::from_bytes(&request).map_err(io::Error::other)? {
        PeerRequest::Configuration => {}
        PeerRequest::Snapshot => {
            let directory = daemon.directory.borrow();
            reply.servers_end = directory.feed_end();
            reply.raw_servers =
                directory.raw_entries().map(|(id, raw)| (id.clone(), raw.to_vec())).collect();
            reply.awaited = directory.awaited().cloned().collect();
        }
    }
    let bytes = postcard::to_stdvec(&reply).map_err(io::Error::other)?;
    daemon.metrics.record_control_bytes("picture", bytes.len());
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(&bytes).await?;
    stream.flush().await
}
