//! Connections to backend servers for callers' requests: over the daemon's own link, or relayed by a peer if the own
//! link fails.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;
use thiserror::Error;
use tokio::time::timeout;

use crate::cluster::peer_update::PeerReply;
use crate::cluster::peer_update::PeerRequest;
use crate::cluster::peer_update::RelayOutcome;
use crate::cluster::server_instance::ServerInstance;
use crate::serve::connector::ByteStream;
use crate::serve::daemon_state::DaemonState;
use crate::serve::peer_transfer;
use crate::serve::peer_transfer::FetchError;
use crate::serve::pool::Connection;

/// Time without a connection after which a relay is tried beside the own link: longer than a round trip to a server.
const RELAY_DELAY: Duration = Duration::from_millis(100);
/// Time limit for a peer to connect to a server and report the outcome.
const RELAY_TIMEOUT: Duration = Duration::from_millis(250);
/// Most peers that are asked for one connection.
const MAX_ASKED: usize = 3;

/// Why no peer relays a connection.
#[derive(Debug, Error)]
enum RelayError {
    /// No peer can be asked.
    #[error("no peer can relay")]
    NoPeer,
    /// The server refused a peer, and no other peer was connected.
    #[error("the server refuses connections of a peer too")]
    Refused,
    /// The peers that were asked do not reach the server.
    #[error("no peer reaches the server")]
    Unreachable,
    /// A peer's reply cannot be used.
    #[error("{0}")]
    Failed(#[from] FetchError),
}

impl DaemonState {
    /// Returns a connection to a server: an idle one if there is one, otherwise a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if neither this daemon nor a peer reaches the server; nothing was sent.
    pub async fn acquire_connection(
        &self,
        server: &ServerInstance,
        addr: SocketAddr,
    ) -> io::Result<Connection> {
        if let Some(connection) = self.pool.take_idle(server, true) {
            return Ok(connection);
        }
        self.connect_server(server, addr).await
    }

    /// Ensures that the pool holds an open connection to a server.
    ///
    /// # Errors
    ///
    /// Returns an error if neither this daemon nor a peer reaches the server.
    pub async fn ensure_idle(&self, server: &ServerInstance, addr: SocketAddr) -> io::Result<()> {
        if self.pool.has_idle(server) {
            return Ok(());
        }
        self.open_idle(server, addr).await
    }

    /// Opens a new connection to a server and adds it to the pool.
    ///
    /// # Errors
    ///
    /// Returns an error if neither this daemon nor a peer reaches the server.
    pub async fn open_idle(&self, server: &ServerInstance, addr: SocketAddr) -> io::Result<()> {
        let connection = self.connect_server(server, addr).await?;
        self.pool.add_idle(connection).await
    }

    /// Returns whether a server that refuses connections of this daemon may be running all the same: a peer reaches it, or
    /// no peer can tell while this daemon's own links are in doubt.
    pub async fn may_be_running(&self, server: &ServerInstance) -> bool {
        match timeout(RELAY_TIMEOUT, self.relay_connection(server)).await {
            Ok(Ok(_connection)) => true,
            Ok(Err(RelayError::NoPeer | RelayError::Refused)) => false,
            Ok(Err(RelayError::Unreachable | RelayError::Failed(_))) | Err(_) => {
                self.server_paths.borrow().is_any_relayed(self.now())
            }
        }
    }

    /// Returns a new connection to a server.
    ///
    /// # Errors
    ///
    /// Returns an error if neither this daemon nor a peer reaches the server; nothing was sent. The error is that the
    /// server refuses connections only if a peer was refused too, or no peer can be asked.
    pub async fn connect_server(
        &self,
        server: &ServerInstance,
        addr: SocketAddr,
    ) -> io::Result<Connection> {
        let is_relayed = self.server_paths.borrow().is_relayed(server, self.now());
        if is_relayed && let Ok(connection) = self.relay_connection(server).await {
            return Ok(connection);
        }
        let may_relay = self.server_paths.borrow().may_relay(server, self.now());
        if !may_relay {
            return self.connect_directly(server, addr).await;
        }
        let mut direct = pin!(self.connect_directly(server, addr));
        match timeout(RELAY_DELAY, &mut direct).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => self.relay_after(server, error).await,
            Err(_elapsed) => {
                let mut relay = pin!(self.relay_connection(server));
                tokio::select! {
                    biased;
                    result = &mut direct => match result {
                        Ok(connection) => Ok(connection),
                        Err(error) => relay.await.map_err(|relay| combine_errors(error, &relay)),
                    },
                    result = &mut relay => match result {
                        Ok(connection) => Ok(connection),
                        Err(_not_relayed) => direct.await,
                    },
                }
            }
        }
    }

    async fn connect_directly(
        &self,
        server: &ServerInstance,
        addr: SocketAddr,
    ) -> io::Result<Connection> {
        let connection = self.pool.connect(server, addr).await?;
        if self.server_paths.borrow_mut().record_direct(server) {
            slog::info!(self.log, "server-path"; "server" => %server, "relayed" => false);
        }
        Ok(connection)
    }

    async fn relay_after(
        &self,
        server: &ServerInstance,
        error: io::Error,
    ) -> io::Result<Connection> {
        let relayed = self.relay_connection(server).await;
        relayed.map_err(|relay| combine_errors(error, &relay))
    }

    /// Returns a connection to a server that a peer relays.
    async fn relay_connection(&self, server: &ServerInstance) -> Result<Connection, RelayError> {
        match self.ask_peers(server).await {
            Ok((peer, stream)) => {
                if self.server_paths.borrow_mut().record_relayed(server, self.now()) {
                    slog::info!(self.log, "server-path"; "server" => %server, "relayed" => true,
                        "peer" => %peer);
                }
                let connection = Connection::open_relayed(server, stream).await;
                connection.map_err(|error| FetchError::from(error).into())
            }
            Err(error) => {
                if !matches!(error, RelayError::NoPeer) {
                    self.server_paths.borrow_mut().record_unreachable(server, self.now());
                }
                Err(error)
            }
        }
    }

    /// Asks peers one after the other until one is connected to the server.
    ///
    /// One peer's word that the server refuses connections is not enough: the link of that peer may be cut too.
    async fn ask_peers(
        &self,
        server: &ServerInstance,
    ) -> Result<(SocketAddr, Box<dyn ByteStream>), RelayError> {
        let mut failure = RelayError::NoPeer;
        let mut refused = Vec::new();
        for peer in self.relay_peers() {
            let asked = timeout(RELAY_TIMEOUT, self.ask_peer(peer, server)).await;
            let error = match asked {
                Ok(Ok((RelayOutcome::Connected, stream))) => {
                    for other in refused {
                        self.ask_last(other);
                    }
                    return Ok((peer, stream));
                }
                Ok(Ok((RelayOutcome::Refused, _))) => RelayError::Refused,
                Ok(Err(error)) => RelayError::Failed(error),
                Ok(Ok((RelayOutcome::Unreachable, _))) | Err(_) => RelayError::Unreachable,
            };
            slog::debug!(self.log, "relay-failed"; "server" => %server, "peer" => %peer,
                "error" => %error);
            if matches!(error, RelayError::Refused) {
                refused.push(peer);
            } else {
                self.ask_last(peer);
            }
            if !matches!(failure, RelayError::Refused) {
                failure = error;
            }
        }
        Err(failure)
    }

    /// Lets a peer be asked after the others for a while, since its own link seems to be cut.
    fn ask_last(&self, peer: SocketAddr) {
        self.server_paths.borrow_mut().pause_peer(peer, self.now());
    }

    async fn ask_peer(
        &self,
        peer: SocketAddr,
        server: &ServerInstance,
    ) -> Result<(RelayOutcome, Box<dyn ByteStream>), FetchError> {
        let connector = Rc::clone(&self.connector.borrow());
        let mut stream = connector.connect(peer, RELAY_TIMEOUT).await?;
        let request = PeerRequest::Relay { server: server.clone() };
        match peer_transfer::exchange(&mut *stream, &request).await? {
            PeerReply::Relay(outcome) => Ok((outcome, stream)),
            _ => Err(FetchError::Malformed("not the outcome of a relay".into())),
        }
    }

    /// Returns the peers to ask for a relay: one of the own data centre, then some of others, in random order. The
    /// links of a whole data centre may be cut.
    fn relay_peers(&self) -> Vec<SocketAddr> {
        let (now, settings) = (self.now(), self.settings());
        let paths = self.server_paths.borrow();
        let peers = self.peers.borrow();
        let mut near = Vec::new();
        let mut far = Vec::new();
        for (_, peer) in peers.reachable(now) {
            let list = if peer.centre == settings.centre { &mut near } else { &mut far };
            list.push((paths.is_paused(&peer.addr, now), rand::rng().random::<u32>(), peer.addr));
        }
        near.sort_unstable();
        far.sort_unstable();
        let rest = near.split_off(near.len().min(1));
        let mut list: Vec<_> = near.into_iter().chain(far).chain(rest).collect();
        list.sort_by_key(|(is_paused, ..)| *is_paused);
        list.into_iter().map(|(_, _, addr)| addr).take(MAX_ASKED).collect()
    }
}

/// Returns the error of a connection that failed over the own link and by a relay. A link of this daemon that is cut
/// is no evidence of what the server does; the peer's link is.
fn combine_errors(direct: io::Error, relay: &RelayError) -> io::Error {
    match relay {
        RelayError::NoPeer => direct,
        RelayError::Refused => io::ErrorKind::ConnectionRefused.into(),
        RelayError::Unreachable | RelayError::Failed(_) => io::ErrorKind::HostUnreachable.into(),
    }
}
