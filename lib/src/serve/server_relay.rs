//! Relays connections to backend servers for peers whose own links to them are cut.
//!
//! Only bytes are relayed: the peer that has the caller's request chooses the server, and everything that the request is
//! promised holds as on a connection of its own. A relayed connection carries one request, and is never relayed again.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt as _;
use tokio::io::copy;
use tokio::io::sink;
use tokio::io::split;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::cluster::peer_update::PeerReply;
use crate::cluster::peer_update::RelayOutcome;
use crate::cluster::server_instance::ServerInstance;
use crate::serve::connector::ByteStream;
use crate::serve::daemon_state::DaemonState;
use crate::serve::peer_transfer::write_frame;

/// Time limit to connect to the server: less than the peer waits for the outcome.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for a peer to close a connection whose server has closed it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Relays a peer's connection to a server until either end closes it.
///
/// # Errors
///
/// Returns an error if a connection broke. The peer's connection is then reset, so that a response whose end is the
/// end of the connection does not look complete.
pub async fn serve_relay(
    daemon: &DaemonState,
    mut stream: TcpStream,
    server: &ServerInstance,
    from: SocketAddr,
) -> io::Result<()> {
    let slot = daemon.relay_slots.take().filter(|_| daemon.stopping.get().is_none());
    let opened = match &slot {
        Some(_) => connect(daemon, server).await,
        None => Err(RelayOutcome::Unreachable),
    };
    let outcome = opened.as_ref().map_or_else(|outcome| *outcome, |_| RelayOutcome::Connected);
    slog::info!(daemon.log, "relay"; "from" => %from, "server" => %server,
        "outcome" => outcome.name(), "relays" => daemon.relay_slots.in_progress());
    daemon.metrics.record_relay(outcome.name());
    let reply = postcard::to_stdvec(&PeerReply::Relay(outcome)).map_err(io::Error::other)?;
    write_frame(&mut stream, &reply).await?;
    let Ok(server_stream) = opened else { return Ok(()) };
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    carry(stream, server_stream).await
}

/// Connects to a server that this daemon knows and reaches over its own link.
async fn connect(
    daemon: &DaemonState,
    server: &ServerInstance,
) -> Result<Box<dyn ByteStream>, RelayOutcome> {
    let addr = {
        let directory = daemon.directory.borrow();
        let known = directory.get(&server.id).filter(|s| s.born == server.born);
        known.map(|s| s.addr)
    };
    let is_cut = daemon.server_paths.borrow().is_relayed(server, daemon.now());
    let addr = addr.filter(|_| !is_cut).ok_or(RelayOutcome::Unreachable)?;
    daemon.pool.open_stream(addr, CONNECT_TIMEOUT).await.map_err(|error| match error.kind() {
        io::ErrorKind::ConnectionRefused => RelayOutcome::Refused,
        _ => RelayOutcome::Unreachable,
    })
}

/// Carries bytes both ways until an end closes its connection. Neither end closes one direction alone.
async fn carry(mut peer: TcpStream, server: Box<dyn ByteStream>) -> io::Result<()> {
    let (mut from_server, mut to_server) = split(server);
    let (mut from_peer, mut to_peer) = peer.split();
    tokio::select! {
        sent = copy(&mut from_peer, &mut to_server) => return sent.map(drop),
        received = copy(&mut from_server, &mut to_peer) => received?,
    };
    to_peer.shutdown().await?;
    // Dropping the connection resets it, which would discard what the peer has not read yet.
    let closed = timeout(CLOSE_TIMEOUT, copy(&mut from_peer, &mut sink())).await;
    closed.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?.map(drop)
}
