//! Response bodies for callers.

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

use crate::serve::active_request::ActiveRequest;

/// Capacity of a stream's channel. A slow caller fills it, which applies backpressure to the backend server.
const CHANNEL_CHUNKS: usize = 64;

/// A response was aborted: the connection is closed without the end of the body, so that the caller
/// cannot take the response as complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer broke off")]
pub struct BodyAborted;

/// Sends the chunks of a streamed body.
pub type ChunkSender = mpsc::Sender<Result<Bytes, BodyAborted>>;

#[derive(Debug)]
enum Content {
    Whole(Full<Bytes>),
    /// The body ends when the sender is dropped.
    Stream(mpsc::Receiver<Result<Bytes, BodyAborted>>),
}

/// A response body, either whole or streamed in chunks.
#[derive(Debug)]
pub struct ReplyBody {
    content: Content,
    /// The request that it answers; `None` for responses that a stopping daemon does not wait for.
    active: Option<ActiveRequest>,
}

impl ReplyBody {
    /// Makes a body whose bytes are all known.
    pub fn whole(bytes: Bytes) -> Self {
        Self { content: Content::Whole(Full::new(bytes)), active: None }
    }

    /// Makes a streamed body and the sender of its chunks.
    pub fn stream() -> (ChunkSender, Self) {
        let (sender, receiver) = mpsc::channel(CHANNEL_CHUNKS);
        (sender, Self { content: Content::Stream(receiver), active: None })
    }

    /// Counts the request as in progress until this body is dropped.
    pub fn attach_request(&mut self, active: ActiveRequest) {
        self.active = Some(active);
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match &mut self.get_mut().content {
            Content::Whole(full) => Pin::new(full)
                .poll_frame(cx)
                .map(|f| f.map(|f| f.map_err(|e: Infallible| match e {}))),
            Content::Stream(receiver) => {
                receiver.poll_recv(cx).map(|chunk| chunk.map(|c| c.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(full) => full.is_end_stream(),
            Content::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(full) => full.size_hint(),
            Content::Stream(_) => SizeHint::default(),
        }
    }
}
