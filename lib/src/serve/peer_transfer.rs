//! Transfers the configuration and server entries between peers over connections, for daemons that do not get them
//! from the platform's store.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::cluster::peer_update::Compressed;
use crate::cluster::peer_update::ConfigUpdate;
use crate::cluster::peer_update::MAX_UPDATE_BYTES;
use crate::cluster::peer_update::PeerReply;
use crate::cluster::peer_update::PeerRequest;
use crate::cluster::peer_update::ServerSnapshot;
use crate::serve::connector::ByteStream;
use crate::serve::daemon_state::DaemonState;
use crate::serve::progress::PROGRESS_BYTES;
use crate::serve::progress::with_progress;
use crate::serve::server_relay;

/// Time limit to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest accepted request of a peer, in bytes.
const MAX_REQUEST_BYTES: usize = 1024;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a peer's update cannot be used.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The connection failed, or the transfer made no progress.
    #[error("{0}")]
    Transfer(#[from] io::Error),
    /// The reply is malformed, or does not belong to the request.
    #[error("malformed reply: {0}")]
    Malformed(String),
    /// The update is larger than a daemon accepts.
    #[error("the update of {0} bytes is larger than {MAX_UPDATE_BYTES}")]
    TooLarge(usize),
}

impl From<postcard::Error> for FetchError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

/// What a peer replied to a request.
#[derive(Debug)]
pub enum Fetched<T> {
    /// What was asked for.
    Update(T),
    /// It serves as many transfers as it may; these daemons may have what was asked for.
    Busy(Vec<SocketAddr>),
}

/// Fetches a later configuration from a peer; `None` if it has none.
///
/// # Errors
///
/// Fails if the peer is unreachable, makes no progress, or its reply is malformed.
pub async fn fetch_config(
    daemon: &DaemonState,
    peer: SocketAddr,
) -> Result<Fetched<Option<ConfigUpdate>>, FetchError> {
    let known = daemon.config_history.borrow().newest();
    let port = daemon.settings().peer.port();
    match fetch(daemon, peer, PeerRequest::Configuration { known, port }).await? {
        PeerReply::Configuration(update) => Ok(Fetched::Update(update)),
        PeerReply::Busy(others) => Ok(Fetched::Busy(others)),
        PeerReply::Servers(_) | PeerReply::Relay(_) => {
            Err(FetchError::Malformed("no configuration".into()))
        }
    }
}

/// Fetches the entries of all servers from a peer.
///
/// # Errors
///
/// Fails if the peer is unreachable, makes no progress, or its reply is malformed.
pub async fn fetch_servers(
    daemon: &DaemonState,
    peer: SocketAddr,
) -> Result<Fetched<ServerSnapshot>, FetchError> {
    match fetch(daemon, peer, PeerRequest::Servers).await? {
        PeerReply::Servers(compressed) => {
            let bytes = compressed.restore(&[])?;
            Ok(Fetched::Update(postcard::from_bytes(&bytes)?))
        }
        PeerReply::Busy(others) => Ok(Fetched::Busy(others)),
        PeerReply::Configuration(_) | PeerReply::Relay(_) => {
            Err(FetchError::Malformed("no servers".into()))
        }
    }
}

async fn fetch(
    daemon: &DaemonState,
    peer: SocketAddr,
    request: PeerRequest,
) -> Result<PeerReply, FetchError> {
    let began = daemon.now();
    let connector = Rc::clone(&daemon.connector.borrow());
    let mut stream = connector.connect(peer, CONNECT_TIMEOUT).await?;
    write_frame(&mut *stream, &postcard::to_stdvec(&request)?).await?;
    let bytes = read_frame(&mut *stream, MAX_UPDATE_BYTES).await?;
    slog::info!(daemon.log, "peer-fetch"; "peer" => %peer, "request" => request.name(),
        "bytes" => bytes.len(), "ms" => daemon.now().saturating_sub(began).as_millis());
    Ok(postcard::from_bytes(&bytes)?)
}

/// Sends a request to a peer and returns its reply, which is short.
///
/// # Errors
///
/// Fails if the connection ends or makes no progress, or the reply is malformed.
pub async fn exchange(
    stream: &mut dyn ByteStream,
    request: &PeerRequest,
) -> Result<PeerReply, FetchError> {
    write_frame(stream, &postcard::to_stdvec(request)?).await?;
    let bytes = read_frame(stream, MAX_REQUEST_BYTES).await?;
    Ok(postcard::from_bytes(&bytes)?)
}

async fn read_frame(stream: &mut dyn ByteStream, limit: usize) -> Result<Vec<u8>, FetchError> {
    let length = with_progress(stream.read_u32()).await? as usize;
    if length > limit {
        return Err(FetchError::TooLarge(length));
    }
    let mut bytes = vec![0; length];
    for chunk in bytes.chunks_mut(PROGRESS_BYTES) {
        with_progress(stream.read_exact(chunk)).await?;
    }
    Ok(bytes)
}

/// Writes the length of `bytes` and the bytes.
///
/// # Errors
///
/// Fails if the connection ends or makes no progress.
pub async fn write_frame(stream: &mut dyn ByteStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    with_progress(stream.write_u32(length)).await?;
    with_progress(stream.write_all(bytes)).await?;
    with_progress(stream.flush()).await
}

/// Writes a reply in chunks that take turns with those of other transfers on the host's link.
async fn write_reply(
    daemon: &DaemonState,
    stream: &mut dyn ByteStream,
    bytes: &[u8],
) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    daemon.metrics.record_control_bytes("picture", bytes.len());
    with_progress(stream.write_u32(length)).await?;
    for chunk in bytes.chunks(PROGRESS_BYTES) {
        let link = daemon.settings().host.link;
        let wait = daemon.link_share.reserve(chunk.len(), link, daemon.now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
        with_progress(stream.write_all(chunk)).await?;
    }
    with_progress(stream.flush()).await
}

/// Serves peers that request updates.
pub async fn serve_peers(daemon: Rc<DaemonState>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let daemon = Rc::clone(&daemon);
        spawn_local(async move {
            if let Err(error) = serve_connection(&daemon, stream, from).await {
                slog::warn!(daemon.log, "peer-call-failed"; "from" => %from, "error" => %error);
            }
        });
    }
}

async fn serve_connection(
    daemon: &DaemonState,
    mut stream: TcpStream,
    from: SocketAddr,
) -> Result<(), FetchError> {
    match read_request(&mut stream).await? {
        PeerRequest::Relay { server } => {
            server_relay::serve_relay(daemon, stream, &server, from).await?;
            Ok(())
        }
        request => serve_update(daemon, Box::new(stream), request, from).await,
    }
}

async fn read_request(stream: &mut dyn ByteStream) -> Result<PeerRequest, FetchError> {
    let bytes = read_frame(stream, MAX_REQUEST_BYTES).await?;
    Ok(postcard::from_bytes(&bytes)?)
}

/// Serves a peer's request for an update on a connection from `from`.
pub async fn serve_peer(daemon: &DaemonState, mut stream: Box<dyn ByteStream>, from: SocketAddr) {
    let result = match read_request(&mut *stream).await {
        Ok(request) => serve_update(daemon, stream, request, from).await,
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        slog::warn!(daemon.log, "peer-call-failed"; "from" => %from, "error" => %error);
    }
}

async fn serve_update(
    daemon: &DaemonState,
    mut stream: Box<dyn ByteStream>,
    request: PeerRequest,
    from: SocketAddr,
) -> Result<(), FetchError> {
    match request {
        PeerRequest::Configuration { known, port } => {
            let update = daemon.config_history.borrow_mut().update_from(known)?;
            let version = update.as_ref().map(|update| update.id.version);
            let others = version.map(|version| daemon.transfer_slots.served(version));
            let reply = PeerReply::Configuration(update.map(|update| (*update).clone()));
            let is_served =
                serve_reply(daemon, &mut *stream, &reply, others.unwrap_or_default()).await?;
            if let Some(version) = version.filter(|_| is_served) {
                let asker = SocketAddr::new(from.ip(), port);
                daemon.transfer_slots.record_served(asker, version);
            }
        }
        PeerRequest::Servers => {
            let reply = PeerReply::Servers(server_snapshot(daemon)?);
            serve_reply(daemon, &mut *stream, &reply, Vec::new()).await?;
        }
        PeerRequest::Relay { .. } => return Err(FetchError::Malformed("a relay".into())),
    }
    Ok(())
}

/// Writes a reply, or names `others` to ask if it is large and no more large transfers may be served; returns whether
/// the reply was written.
async fn serve_reply(
    daemon: &DaemonState,
    stream: &mut dyn ByteStream,
    reply: &PeerReply,
    others: Vec<SocketAddr>,
) -> Result<bool, FetchError> {
    let bytes = postcard::to_stdvec(reply)?;
    if bytes.len() <= PROGRESS_BYTES {
        write_reply(daemon, stream, &bytes).await?;
        return Ok(true);
    }
    let Some(_slot) = daemon.transfer_slots.take() else {
        let busy = postcard::to_stdvec(&PeerReply::Busy(others))?;
        write_reply(daemon, stream, &busy).await?;
        return Ok(false);
    };
    write_reply(daemon, stream, &bytes).await?;
    Ok(true)
}

fn server_snapshot(daemon: &DaemonState) -> Result<Compressed, FetchError> {
    let directory = daemon.directory.borrow();
    let snapshot = ServerSnapshot {
        servers_end: directory.feed_end(),
        raw_servers: directory.raw_entries().map(|(id, raw)| (id.clone(), raw.to_vec())).collect(),
        awaited: directory.awaited().cloned().collect(),
    };
    Ok(Compressed::new(&postcard::to_stdvec(&snapshot)?, &[])?)
}
