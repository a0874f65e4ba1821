//! TCP and UDP sockets; TCP connections end within three seconds if the other end is unresponsive.

use std::io;
use std::mem::MaybeUninit;
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

/// Time without traffic after which the kernel sends keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection ends.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which sent bytes that are still unacknowledged end the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Bytes that the kernel keeps of each caller's connection until they are read: the window of a long body over a round trip of
/// some milliseconds.
const CALLER_BUFFER_BYTES: usize = 32 * 1024;
/// Connections that may wait to be accepted: enough for a burst of callers at one daemon.
const LISTEN_BACKLOG: i32 = 1024;

/// Sets the options of every connection, so that a partition, or a middlebox that has dropped its state of the
/// connection, ends it within three seconds even if no reset arrives.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Connects to another process within `limit`.
///
/// Dropping the connection resets it, which discards bytes that were sent but not yet received: the kernel would
/// otherwise retransmit an order that was abandoned during a partition, and the order would reach its engine
/// seconds after another daemon's orders. Whole responses are read before a connection is dropped.
///
/// # Errors
///
/// Returns an error if the other end refused the connection or could not be reached in time; nothing was sent.
pub async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let stream = timeout(limit, socket.connect(addr))
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Sets the options of an accepted connection.
///
/// # Errors
///
/// Returns an error if the connection has already ended.
pub fn configure_accepted(stream: &TcpStream) -> io::Result<()> {
    set_options(stream)
}

/// Listens for TCP connections.
///
/// # Errors
///
/// Returns an error if the address cannot be used.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    listen_on(Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?, addr)
}

/// Listens for callers' TCP connections. What they send beyond a small buffer stays with them until it is read: what the kernel
/// holds takes the host's memory, too.
///
/// # Errors
///
/// Returns an error if the address cannot be used.
pub fn listen_callers(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    // Accepted connections inherit it.
    socket.set_recv_buffer_size(CALLER_BUFFER_BYTES)?;
    listen_on(socket, addr)
}

fn listen_on(socket: Socket, addr: SocketAddr) -> io::Result<TcpListener> {
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Binds a UDP socket.
///
/// # Errors
///
/// Returns an error if the address cannot be used.
pub fn bind_udp(addr: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(addr)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Returns whether no datagram waits to be read, by asking the kernel: what the event loop knows may be out of date.
pub fn is_empty(socket: &UdpSocket) -> bool {
    let peeked = SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
