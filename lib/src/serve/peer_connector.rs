//! Opens connections to other daemons.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

use crate::serve::socket;
use crate::store::LocalFuture;

/// A connection to another daemon.
pub trait PeerStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> PeerStream for T {}

/// Opens connections to other daemons' peer addresses.
pub trait PeerConnector: fmt::Debug {
    /// Connects within `limit`.
    ///
    /// The future fails if the peer refuses the connection or cannot be reached in time.
    fn connect(
        &self,
        peer: SocketAddr,
        limit: Duration,
    ) -> LocalFuture<'_, io::Result<Box<dyn PeerStream>>>;
}

/// Connects over TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl PeerConnector for TcpConnector {
    fn connect(
        &self,
        peer: SocketAddr,
        limit: Duration,
    ) -> LocalFuture<'_, io::Result<Box<dyn PeerStream>>> {
        Box::pin(async move {
            let stream: Box<dyn PeerStream> = Box::new(socket::connect(peer, limit).await?);
            Ok(stream)
        })
    }
}
