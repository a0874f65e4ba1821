//! A socket to a backend server that ends if the server sends bytes without end that are no part of a response.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::serve::connector::ByteStream;

/// Most bytes that are read ahead of what the reader of a response takes, and the largest head of a response.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Most bytes that may arrive without the head or a part of the body: the HTTP library skips informational responses and
/// leading zeros of lengths, however many there are.
const MAX_FUTILE_BYTES: usize = 2 * READ_BUFFER_BYTES;

/// Bytes that were read since the last part of a response.
#[derive(Clone, Debug, Default)]
pub struct ReadMeter {
    /// `None` while no response is due.
    futile: Rc<Cell<Option<usize>>>,
}

impl ReadMeter {
    /// Begins to count, or counts anew after a part of a response.
    pub fn restart(&self) {
        self.futile.set(Some(0));
    }

    /// Counts no more, after a whole response.
    pub fn stop(&self) {
        self.futile.set(None);
    }

    fn record(&self, bytes: usize) -> io::Result<()> {
        let Some(futile) = self.futile.get() else { return Ok(()) };
        self.futile.set(Some(futile + bytes));
        if futile + bytes > MAX_FUTILE_BYTES {
            let reason = "the server sends bytes that are no response";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }
}

/// A socket to a backend server.
pub struct ServerSocket {
    stream: Box<dyn ByteStream>,
    meter: ReadMeter,
}

impl fmt::Debug for ServerSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerSocket").field("meter", &self.meter).finish_non_exhaustive()
    }
}

impl ServerSocket {
    /// Wraps `stream`, whose bytes `meter` counts.
    pub fn new(stream: Box<dyn ByteStream>, meter: ReadMeter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for ServerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        Poll::Ready(this.meter.record(buf.filled().len() - before))
    }
}

impl AsyncWrite for ServerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
