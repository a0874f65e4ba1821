//! Server-sent events: splitting a byte stream into events, and checking their order.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Largest size of an event; a backend server that sends a larger one is faulty.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a stream of events is invalid.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event's id does not follow the previous one.
    #[error("expected event {expected}, found {found}")]
    Order {
        /// The id that follows the previous one.
        expected: u64,
        /// The id of the received event.
        found: u64,
    },
    /// An event has no id.
    #[error("an event has no id")]
    NoId,
    /// An event exceeds `MAX_EVENT_BYTES`.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Value of the `id` field; `None` if it is missing or not a number.
    pub id: Option<u64>,
    /// Bytes of the event, with the empty line that ends it.
    pub bytes: Bytes,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that are known not to contain the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the incomplete event is too large.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = self.find_end() else {
            self.scanned = self.buffer.len().saturating_sub(3);
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventError::TooLarge)
            } else {
                Ok(None)
            };
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Event { id: event_id(&bytes), bytes }))
    }

    fn find_end(&self) -> Option<usize> {
        let from = self.scanned;
        let tail = &self.buffer[from..];
        let short = tail.windows(2).position(|w| w == b"\n\n").map(|at| from + at + 2);
        let long = tail.windows(4).position(|w| w == b"\r\n\r\n").map(|at| from + at + 4);
        match (short, long) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Returns whether the buffer holds anything but whitespace, such as part of an event.
    pub fn has_partial(&self) -> bool {
        self.buffer.iter().any(|b| !b.is_ascii_whitespace())
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let line = bytes.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// Checks that event ids follow each other without gaps or repetitions.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// Makes a check that expects the event after `last`, the last one that the caller has.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the id of the last event.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Checks an event against the previous one, and records it.
    ///
    /// # Errors
    ///
    /// Returns an error if the event has no id or does not follow the previous one.
    pub fn check(&mut self, event: &Event) -> Result<(), EventError> {
        let id = event.id.ok_or(EventError::NoId)?;
        if let Some(last) = self.last
            && id != last + 1
        {
            return Err(EventError::Order { expected: last + 1, found: id });
        }
        self.last = Some(id);
        Ok(())
    }
}
