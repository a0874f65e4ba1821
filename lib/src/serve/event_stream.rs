//! Reading of the events in one server's response.

use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;

use crate::cluster::brittle_servers::BrittleSend;
use crate::cluster::directory::Server;
use crate::cluster::workloads::WorkloadGuard;
use crate::serve::daemon_state::DaemonState;
use crate::serve::events::EventOrder;
use crate::serve::events::EventSplitter;
use crate::serve::send::Disconnect;
use crate::serve::send::SendFailure;
use crate::serve::send::ServerResponse;
use crate::serve::stream_exposure::StreamExposure;
use crate::serve::suspects;

/// The event stream of one server's response.
#[derive(Debug)]
pub struct EventStream {
    /// The response whose body holds the events.
    pub response: ServerResponse,
    splitter: EventSplitter,
    order: EventOrder,
    event_count: u32,
    /// Counts the request towards the server's workload until dropped.
    pub workload_guard: WorkloadGuard,
    _brittle_send: Option<BrittleSend>,
    exposure: StreamExposure,
    daemon: Rc<DaemonState>,
    server: Rc<Server>,
    /// Whether the end of the connection is that of the stream.
    is_unframed: bool,
}

/// The next item of a stream.
#[derive(Clone, Debug)]
pub enum StreamItem {
    /// One or more complete events.
    Events(Bytes),
    /// The end of a complete stream.
    End,
}

impl EventStream {
    /// Makes a reader of `response` from a server, whose first event must follow `last`, the last one that the caller
    /// has.
    pub(super) fn new(
        (daemon, server): (Rc<DaemonState>, Rc<Server>),
        response: ServerResponse,
        last: Option<u64>,
        workload_guard: WorkloadGuard,
        brittle_send: Option<BrittleSend>,
        exposure: StreamExposure,
    ) -> Self {
        let splitter = EventSplitter::default();
        let is_unframed = response.ends_with_connection();
        Self {
            response,
            splitter,
            order: EventOrder::after(last),
            event_count: 0,
            workload_guard,
            _brittle_send: brittle_send,
            exposure,
            daemon,
            server,
            is_unframed,
        }
    }

    /// Returns the id of the last event, or the one that reading began after; `None` before the first event.
    pub fn last_id(&self) -> Option<u64> {
        self.order.last()
    }

    /// Returns the number of events read.
    pub fn event_count(&self) -> u32 {
        self.event_count
    }

    /// Returns the next complete events, or the end. Cancel-safe: no event is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is cut off, or if an event is out of order or too large.
    pub async fn next(&mut self) -> Result<StreamItem, SendFailure> {
        let item = self.read_item().await;
        match &item {
            Ok(StreamItem::Events(_)) => self.exposure.record_events(),
            Ok(StreamItem::End) | Err(_) => self.exposure.end(),
        }
        item
    }

    async fn read_item(&mut self) -> Result<StreamItem, SendFailure> {
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
                        self.event_count += 1;
                        out.extend_from_slice(&event.bytes);
                    }
                }
            }
            if !out.is_empty() {
                return Ok(StreamItem::Events(out.freeze()));
            }
            match self.response.body.frame().await {
                None if self.splitter.has_partial() => {
                    let reason = "the stream ended within an event";
                    return Err(SendFailure::disconnected(reason, Disconnect::AfterHead));
                }
                // Without a length, a server that ends between two events looks like the end of the stream.
                None if self.is_unframed
                    && suspects::has_ended(&self.daemon, &self.server).await =>
                {
                    let reason = "the stream ended with its server";
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
                    self.response.connection.meter().restart();
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
            }
        }
    }
}
