//! Connections to backend servers and to the store, reused while they are sound.

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
use crate::serve::socket;

/// Time for a connection: some round trips between data centres, and less than a goal.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Idle time of a connection whose server does not say how long it keeps it.
const DEFAULT_KEEP: Duration = Duration::from_millis(700);
/// Part of the time that a server keeps a connection for which it is reused: a request that
/// crosses the server's close may or may not have run.
const KEEP_PART: f64 = 0.7;
/// An idle connection is used again for this long at most.
///
/// Where a partition began meanwhile, the kernel ends it three seconds after its last sign of life. What was
/// sent on it just before is then not taken back, as a reset of our own would, and reached its server
/// three seconds after the partition had healed, when that had given notice. Within this time a request has left
/// a silent server by itself before, and its connection is reset. Long enough for reads of the servers' feed.
const REUSE_WITHIN: Duration = Duration::from_millis(1200);
/// Most idle connections kept to one server.
const MAX_IDLE: usize = 32;

/// A connection that can take one request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    server: ServerInstance,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    until: Instant,
}

/// Idle connections by start of a server: what was opened to the last start is never used for the next.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<HashMap<ServerInstance, Vec<Idle>>>>,
}

impl Connection {
    /// Returns the sender for one request.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }
}

impl ConnectionPool {
    /// Returns an idle connection that is still sound.
    fn take_idle(&self, server: &ServerInstance) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(server)?;
        let now = Instant::now();
        while let Some(Idle { sender, until }) = list.pop() {
            if now < until && sender.is_ready() {
                return Some(Connection { sender, server: server.clone() });
            }
        }
        None
    }

    /// Returns a connection to a server: an idle one, else a new one.
    ///
    /// # Errors
    ///
    /// The server cannot be reached; nothing was sent.
    pub async fn acquire(
        &self,
        server: &ServerInstance,
        addr: SocketAddr,
    ) -> std::io::Result<Connection> {
        if let Some(connection) = self.take_idle(server) {
            return Ok(connection);
        }
        self.connect(server, addr).await
    }

    /// Returns a new connection to a server.
    ///
    /// # Errors
    ///
    /// The server cannot be reached; nothing was sent.
    pub async fn connect(
        &self,
        server: &ServerInstance,
        addr: SocketAddr,
    ) -> std::io::Result<Connection> {
        let stream = socket::connect(addr, CONNECT_LIMIT).await?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(std::io::Error::other)?;
        spawn_local(async move {
            // Its end shows at the sender; the reason is logged where a request met it.
            let _ended = driver.await;
        });
        Ok(Connection { sender, server: server.clone() })
    }

    /// Makes sure that a sound connection to a server lies ready.
    ///
    /// # Errors
    ///
    /// The server cannot be reached.
    pub async fn ensure_idle(
        &self,
        server: &ServerInstance,
        addr: SocketAddr,
    ) -> std::io::Result<()> {
        if self.has_idle(server) {
            return Ok(());
        }
        self.open_idle(server, addr).await
    }

    /// Opens another connection to a server, which then lies ready.
    ///
    /// # Errors
    ///
    /// The server cannot be reached.
    pub async fn open_idle(
        &self,
        server: &ServerInstance,
        addr: SocketAddr,
    ) -> std::io::Result<()> {
        let Connection { mut sender, server } = self.connect(server, addr).await?;
        sender.ready().await.map_err(std::io::Error::other)?;
        let until = Instant::now() + DEFAULT_KEEP.mul_f64(KEEP_PART);
        self.idle.borrow_mut().entry(server).or_default().push(Idle { sender, until });
        Ok(())
    }

    fn has_idle(&self, server: &ServerInstance) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        idle.get(server).is_some_and(|l| l.iter().any(|i| now < i.until && i.sender.is_ready()))
    }

    /// Takes a connection back after a complete answer to its request.
    ///
    /// It is offered again only when its request, too, is written whole and nothing followed the
    /// answer: a server may answer early and read on.
    pub fn release(&self, connection: Connection, keep: Option<Duration>) {
        let Connection { mut sender, server, .. } = connection;
        if sender.is_closed() {
            return;
        }
        let keep = keep.unwrap_or(DEFAULT_KEEP).mul_f64(KEEP_PART).min(REUSE_WITHIN);
        let until = Instant::now() + keep;
        let idle = Rc::clone(&self.idle);
        spawn_local(async move {
            if sender.ready().await.is_err() {
                return;
            }
            let mut idle = idle.borrow_mut();
            let list = idle.entry(server).or_default();
            if list.len() < MAX_IDLE {
                list.push(Idle { sender, until });
            }
        });
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &ServerInstance) {
        self.idle.borrow_mut().remove(server);
    }

    /// Closes idle connections that are too old, and all to servers other than `known`.
    pub fn evict_idle(&self, known: impl Fn(&ServerInstance) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|i| now < i.until && !i.sender.is_closed());
        }
        idle.retain(|start, list| known(start) && !list.is_empty());
    }
}
