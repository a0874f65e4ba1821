//! Connections to backend servers and to the store, reused while they are open and were idle only briefly.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::cluster::server_instance::ServerInstance;
use crate::serve::connector::ByteStream;
use crate::serve::connector::Connector;
use crate::serve::connector::TcpConnector;
use crate::serve::server_socket::READ_BUFFER_BYTES;
use crate::serve::server_socket::ReadMeter;
use crate::serve::server_socket::ServerSocket;

/// Time limit to connect: some round trips between data centres, and less than a latency goal.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Keep-alive time that is assumed if the server does not state one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(700);
/// Fraction of the server's keep-alive time for which an idle connection is reused: a request that is sent
/// while the server closes the connection may or may not have run.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// Longest idle time after which a connection is reused. Periodic reads of the servers' feed fit within it.
///
/// If a partition began while a connection was idle, the kernel ends the connection three seconds after the last
/// packet from the server. Unlike a reset of our own, this does not discard a request that was sent just before:
/// such a request reached its server three seconds after the partition had healed, when the server had already
/// announced that it was leaving. Within this limit, the request fails over from the unresponsive server before
/// the kernel ends the connection, and the connection is reset.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1200);
/// Largest number of idle connections that are kept to one server.
const MAX_IDLE_PER_SERVER: usize = 32;

/// A connection to a server instance, ready for one request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Counts what the server sends without a response.
    meter: ReadMeter,
    server: ServerInstance,
    /// Whether a peer relays it. It carries one request only: the peer may stop at any time between two.
    is_relayed: bool,
    /// Whether it has carried no request yet.
    is_new: bool,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    meter: ReadMeter,
    is_relayed: bool,
    expires_at: Instant,
}

/// Idle connections by server instance: a connection to one instance is never used for the next instance.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    idle: Rc<RefCell<HashMap<ServerInstance, Vec<IdleConnection>>>>,
    connector: Rc<dyn Connector>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new(Rc::new(TcpConnector))
    }
}

impl Connection {
    /// Returns an HTTP connection over `stream`, which leads to `server`.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream has already ended.
    async fn open(server: &ServerInstance, stream: Box<dyn ByteStream>) -> std::io::Result<Self> {
        let meter = ReadMeter::default();
        let socket = ServerSocket::new(stream, meter.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(socket));
        let (sender, driver) = handshake.await.map_err(std::io::Error::other)?;
        spawn_local(async move {
            // The sender reports the end of the connection; a request that fails because of it logs the reason.
            let _result = driver.await;
        });
        Ok(Self { sender, meter, server: server.clone(), is_relayed: false, is_new: true })
    }

    /// Returns an HTTP connection over `stream`, which a peer relays to `server`.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream has already ended.
    pub async fn open_relayed(
        server: &ServerInstance,
        stream: Box<dyn ByteStream>,
    ) -> std::io::Result<Self> {
        Ok(Self { is_relayed: true, ..Self::open(server, stream).await? })
    }

    /// Returns whether a peer relays it.
    pub fn is_relayed(&self) -> bool {
        self.is_relayed
    }

    /// Returns whether it was opened for the request that it carries.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns the meter of what the server sends.
    pub fn meter(&self) -> &ReadMeter {
        &self.meter
    }

    /// Returns the sender for one request.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }
}

impl ConnectionPool {
    /// Returns an empty pool whose connections are opened by `connector`.
    pub fn new(connector: Rc<dyn Connector>) -> Self {
        Self { idle: Rc::default(), connector }
    }

    /// Returns an empty pool whose connections are opened in the same way.
    #[must_use]
    pub fn separate(&self) -> Self {
        Self::new(Rc::clone(&self.connector))
    }

    /// Returns an idle connection that is open and has not expired; one that a peer relays only with `relayed`.
    pub fn take_idle(&self, server: &ServerInstance, relayed: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        let now = Instant::now();
        while let Some(index) = connections.iter().rposition(|c| relayed || !c.is_relayed) {
            let IdleConnection { sender, meter, is_relayed, expires_at } =
                connections.remove(index);
            if now < expires_at && sender.is_ready() {
                return Some(Connection {
                    sender,
                    meter,
                    server: server.clone(),
                    is_relayed,
                    is_new: false,
                });
            }
        }
        None
    }

    /// Returns a connection to a server: an idle one if there is one, otherwise a new one. No peer relays it: an engine
    /// tells the lease holder's orders from others by where they come from.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot be reached; nothing was sent.
    pub async fn acquire(
        &self,
        server: &ServerInstance,
        addr: SocketAddr,
    ) -> std::io::Result<Connection> {
        if let Some(connection) = self.take_idle(server, false) {
            return Ok(connection);
        }
        self.connect(server, addr).await
    }

    /// Returns a new connection to a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot be reached; nothing was sent.
    pub async fn connect(
        &self,
        server: &ServerInstance,
        addr: SocketAddr,
    ) -> std::io::Result<Connection> {
        let stream = self.open_stream(addr, CONNECT_TIMEOUT).await?;
        Connection::open(server, stream).await
    }

    /// Returns a new connection to `addr`, for any protocol.
    ///
    /// # Errors
    ///
    /// Returns an error if the other end refuses the connection or cannot be reached within `limit`.
    pub async fn open_stream(
        &self,
        addr: SocketAddr,
        limit: Duration,
    ) -> std::io::Result<Box<dyn ByteStream>> {
        self.connector.connect(addr, limit).await
    }

    /// Opens a new connection to a server and adds it to the pool.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot be reached.
    pub async fn open_idle(
        &self,
        server: &ServerInstance,
        addr: SocketAddr,
    ) -> std::io::Result<()> {
        let connection = self.connect(server, addr).await?;
        self.add_idle(connection).await
    }

    /// Adds a new connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has already ended.
    pub async fn add_idle(&self, connection: Connection) -> std::io::Result<()> {
        let Connection { mut sender, meter, server, is_relayed, .. } = connection;
        sender.ready().await.map_err(std::io::Error::other)?;
        let expires_at = Instant::now() + DEFAULT_KEEP_ALIVE.mul_f64(KEEP_ALIVE_FRACTION);
        let idle = IdleConnection { sender, meter, is_relayed, expires_at };
        self.idle.borrow_mut().entry(server).or_default().push(idle);
        Ok(())
    }

    /// Returns whether the pool holds an open connection to a server.
    pub fn has_idle(&self, server: &ServerInstance) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        idle.get(server)
            .is_some_and(|c| c.iter().any(|i| now < i.expires_at && i.sender.is_ready()))
    }

    /// Returns a connection to the pool after a complete response.
    ///
    /// The connection is reused only after its request has been written completely too, and if nothing followed
    /// the response: a server may respond before it has read the whole request.
    pub fn release(&self, connection: Connection, keep_alive: Option<Duration>) {
        let Connection { mut sender, meter, server, is_relayed, .. } = connection;
        meter.stop();
        if is_relayed || sender.is_closed() {
            return;
        }
        let keep_alive = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .mul_f64(KEEP_ALIVE_FRACTION)
            .min(MAX_IDLE_TIME);
        let expires_at = Instant::now() + keep_alive;
        let idle = Rc::clone(&self.idle);
        spawn_local(async move {
            if sender.ready().await.is_err() {
                return;
            }
            let mut idle = idle.borrow_mut();
            let connections = idle.entry(server).or_default();
            if connections.len() < MAX_IDLE_PER_SERVER {
                connections.push(IdleConnection { sender, meter, is_relayed, expires_at });
            }
        });
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &ServerInstance) {
        self.idle.borrow_mut().remove(server);
    }

    /// Closes idle connections that have expired, and all those to server instances that are not `known`.
    pub fn evict_idle(&self, known: impl Fn(&ServerInstance) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|i| now < i.expires_at && !i.sender.is_closed());
        }
        idle.retain(|instance, connections| known(instance) && !connections.is_empty());
    }
}
