//! The body of an answer to a caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use thiserror::Error;
use tokio::sync::mpsc;

/// Chunks that wait for a caller who reads slowly; a full channel slows the backend server down.
const CHUNKS: usize = 64;

/// The answer ends early: the connection is closed without the end of the body, so that it cannot
/// look complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer broke off")]
pub struct BrokenOff;

/// Where a stream's chunks go.
pub type ChunkSender = mpsc::Sender<Result<Bytes, BrokenOff>>;

/// A body that is known whole, or whose chunks come one by one.
#[derive(Debug)]
pub enum ReplyBody {
    /// A whole body.
    Whole(Full<Bytes>),
    /// Chunks of a stream; ends when its sender is dropped.
    Stream(mpsc::Receiver<Result<Bytes, BrokenOff>>),
}

impl ReplyBody {
    /// Makes a whole body.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }

    /// Makes a stream and where its chunks go.
    pub fn stream() -> (ChunkSender, Self) {
        let (sender, receiver) = mpsc::channel(CHUNKS);
        (sender, Self::Stream(receiver))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(full) => Pin::new(full)
                .poll_frame(cx)
                .map(|f| f.map(|f| f.map_err(|e: Infallible| match e {}))),
            Self::Stream(receiver) => {
                receiver.poll_recv(cx).map(|chunk| chunk.map(|c| c.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
