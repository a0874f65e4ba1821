//! Events of one server's answer, as they come.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;

use crate::cluster::workloads::WorkloadGuard;
use crate::serve::events::EventOrder;
use crate::serve::events::EventSplitter;
use crate::serve::send::Answer;
use crate::serve::send::Break;
use crate::serve::send::SendFailure;

/// Events of one server's answer.
#[derive(Debug)]
pub struct Flow {
    /// The answer that they come in.
    pub answer: Answer,
    splitter: EventSplitter,
    order: EventOrder,
    /// The request's work at the server.
    pub work: WorkloadGuard,
}

/// What came next in a stream.
#[derive(Clone, Debug)]
pub enum Progress {
    /// Whole events.
    Events(Bytes),
    /// The end of a whole stream.
    End,
}

impl Flow {
    /// Reads events after the last one that the caller has.
    pub fn new(answer: Answer, last: Option<u64>, work: WorkloadGuard) -> Self {
        let splitter = EventSplitter::default();
        Self { answer, splitter, order: EventOrder::after(last), work }
    }

    /// Returns the id of the last event.
    pub fn last(&self) -> Option<u64> {
        self.order.last()
    }

    /// Returns the next whole events, or the end. It may be dropped and called again.
    ///
    /// # Errors
    ///
    /// The stream broke off, or its events are not those that are due.
    pub async fn next(&mut self) -> Result<Progress, SendFailure> {
        loop {
            let mut out = BytesMut::new();
            loop {
                let event = self.splitter.next_event();
                match event.map_err(|_error| SendFailure::doubtful("an event is too large"))? {
                    None => break,
                    Some(event) => {
                        let in_order = self.order.take(&event);
                        if in_order.is_err() {
                            if out.is_empty() {
                                return Err(SendFailure::doubtful("an event is out of order"));
                            }
                            break;
                        }
                        out.extend_from_slice(&event.bytes);
                    }
                }
            }
            if !out.is_empty() {
                return Ok(Progress::Events(out.freeze()));
            }
            match self.answer.body.frame().await {
                None if self.splitter.has_rest() => {
                    let reason = "the stream ended within an event";
                    return Err(SendFailure::broken(reason, Break::Answering));
                }
                None => return Ok(Progress::End),
                Some(Err(_broken)) => {
                    return Err(SendFailure::broken("the stream broke off", Break::Answering));
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
