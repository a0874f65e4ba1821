//! Sockets that notice a peer that fell silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::Domain;
use socket2::Protocol;
use socket2::SockRef;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Time without traffic after which the kernel asks whether the other end is there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between such questions, and their number.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);
const KEEPALIVE_TRIES: u32 = 2;
/// Sent bytes that stay unacknowledged for this long end the connection.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);
/// Connections that wait to be accepted: a burst of callers at one daemon.
const BACKLOG: i32 = 1024;

/// Sets what every connection has: a partition or a forgetful middlebox shows within three seconds,
/// though no reset ever comes.
fn watch(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_EVERY)
        .with_retries(KEEPALIVE_TRIES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Connects to another process within `limit`.
///
/// When such a connection is dropped it is reset, so that what was sent and not yet taken is lost: an
/// order that was given up during a partition would otherwise be sent again by the kernel and reach its
/// engine seconds after another daemon's orders. Whole answers are read before a connection is dropped.
///
/// # Errors
///
/// The other end refused, or could not be reached in time; nothing was sent.
pub async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let stream = timeout(limit, socket.connect(addr))
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    watch(&stream)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Sets up a connection that was accepted.
///
/// # Errors
///
/// The connection has ended already.
pub fn configure_accepted(stream: &TcpStream) -> io::Result<()> {
    watch(stream)
}

/// Listens for connections.
///
/// # Errors
///
/// The address cannot be used.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Opens a socket for datagrams.
///
/// # Errors
///
/// The address cannot be used.
pub fn bind_udp(addr: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(addr)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
