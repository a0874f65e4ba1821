//! Opens connections to other daemons and to backend servers.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

use crate::serve::socket;
use crate::store::LocalFuture;

/// A connection to another process.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> ByteStream for T {}

/// Opens connections to other processes.
pub trait Connector: fmt::Debug {
    /// Connects within `limit`.
    ///
    /// The future fails if the other process refuses the connection or cannot be reached in time.
    fn connect(
        &self,
        addr: SocketAddr,
        limit: Duration,
    ) -> LocalFuture<'_, io::Result<Box<dyn ByteStream>>>;
}

/// Connects over TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(
        &self,
        addr: SocketAddr,
        limit: Duration,
    ) -> LocalFuture<'_, io::Result<Box<dyn ByteStream>>> {
        Box::pin(async move {
            let stream: Box<dyn ByteStream> = Box::new(socket::connect(addr, limit).await?);
            Ok(stream)
        })
    }
}
