//! A caller's socket that reports when all responses have been written.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::serve::active_requests::ActiveRequests;

/// Time after the last response in which a caller that still sends can read it before the connection is reset.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Most bytes that are discarded in that time.
const MAX_DRAINED: usize = 8 * 1024 * 1024;
/// Bytes that are discarded at a time.
const DRAIN_BYTES: usize = 4096;

/// A caller's socket.
///
/// The HTTP library flushes it only after writing everything that it had buffered. The kernel delivers
/// what was written even after this process has exited.
///
/// A connection that is closed while the caller still sends is reset, which discards a refusal that the caller has not read
/// yet. What a caller sends after the last response is therefore read and discarded for a short time.
#[derive(Debug)]
pub struct CallerSocket {
    stream: TcpStream,
    requests: Rc<ActiveRequests>,
    /// Set from the end of the last response on.
    drain: Option<Drain>,
}

/// The end of a connection whose caller may still send.
#[derive(Debug)]
struct Drain {
    until: Pin<Box<Sleep>>,
    drained: usize,
}

impl Drain {
    fn new() -> Self {
        Self { until: Box::pin(sleep(DRAIN_TIME)), drained: 0 }
    }

    /// Discards what the caller sends until it closes the connection, or for long enough.
    fn poll(&mut self, cx: &mut Context<'_>, stream: &mut TcpStream) -> Poll<()> {
        let mut bytes = [0; DRAIN_BYTES];
        while self.drained < MAX_DRAINED && self.until.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => self.drained += buffer.filled().len(),
                _ => break,
            }
        }
        Poll::Ready(())
    }
}

impl CallerSocket {
    /// Wraps `stream`; each completed flush marks the buffered responses of `requests` as written.
    pub fn new(stream: TcpStream, requests: Rc<ActiveRequests>) -> Self {
        Self { stream, requests, drain: None }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        this.requests.mark_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        let drain = this.drain.get_or_insert_with(Drain::new);
        drain.poll(cx, &mut this.stream).map(Ok)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
