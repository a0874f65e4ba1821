//! Events of one server's answer, as they come.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;

use crate::cluster::workloads::WorkloadGuard;
use crate::serve::events::EventOrder;
use crate::serve::events::EventSplitter;
use crate::serve::send::Disconnect;
use crate::serve::send::SendFailure;
use crate::serve::send::ServerResponse;

/// Events of one server's answer.
#[derive(Debug)]
pub struct EventStream {
    /// The answer that they come in.
    pub answer: ServerResponse,
    splitter: EventSplitter,
    order: EventOrder,
    /// The request's work at the server.
    pub work: WorkloadGuard,
}

/// What came next in a stream.
#[derive(Clone, Debug)]
pub enum StreamItem {
    /// Whole events.
    Events(Bytes),
    /// The end of a whole stream.
    End,
}

impl EventStream {
    /// Reads events after the last one that the caller has.
    pub fn new(answer: ServerResponse, last: Option<u64>, work: WorkloadGuard) -> Self {
        let splitter = EventSplitter::default();
        Self { answer, splitter, order: EventOrder::after(last), work }
    }

    /// Returns the id of the last event.
    pub fn last_id(&self) -> Option<u64> {
        self.order.last()
    }

    /// Returns the next whole events, or the end. It may be dropped and called again.
    ///
    /// # Errors
    ///
    /// The stream broke off, or its events are not those that are due.
    pub async fn next(&mut self) -> Result<StreamItem, SendFailure> {
        loop {
            let mut out = BytesMut::new();
            loop {
                let event = self.splitter.next_event();
                match event.map_err(|_error| SendFailure::may_have_run("an event is too large"))? {
                    None => break,
                    Some(event) => {
                        let in_order = self.order.check(&event);
                        if in_order.is_err() {
                            if out.is_empty() {
                                return Err(SendFailure::may_have_run("an event is out of order"));
                            }
                            break;
                        }
                        out.extend_from_slice(&event.bytes);
                    }
                }
            }
            if !out.is_empty() {
                return Ok(StreamItem::Events(out.freeze()));
            }
            match self.answer.body.frame().await {
                None if self.splitter.has_partial() => {
                    let reason = "the stream ended within an event";
                    return Err(SendFailure::disconnected(reason, Disconnect::AfterHead));
                }
                None => return Ok(StreamItem::End),
                Some(Err(_broken)) => {
                    return Err(SendFailure::disconnected(
                        "the stream broke off",
                        Disconnect::AfterHead,
                    ));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
            }
        }
    }
}
