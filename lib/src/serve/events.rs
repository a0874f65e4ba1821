//! Server-sent events, split out of a stream's bytes and checked for order.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Largest event; a backend server that sends more without an end is faulty.
const MAX_EVENT: usize = 1024 * 1024;

/// Why bytes are not the stream that they should be.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event's id does not follow the one before.
    #[error("event {found} came where {expected} was due")]
    Order {
        /// The id that was due.
        expected: u64,
        /// The id that came.
        found: u64,
    },
    /// An event has no id.
    #[error("an event has no id")]
    NoId,
    /// An event is too large.
    #[error("an event is larger than {MAX_EVENT} bytes")]
    TooLarge,
}

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// Its bytes with the empty line that ends it.
    pub bytes: Bytes,
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no event's end.
    scanned: usize,
}

impl EventSplitter {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    ///
    /// # Errors
    ///
    /// The event is too large.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = self.find_end() else {
            self.scanned = self.buffer.len().saturating_sub(3);
            return if self.buffer.len() > MAX_EVENT {
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

    /// Returns whether bytes are left that are no whole event.
    pub fn has_partial(&self) -> bool {
        self.buffer.iter().any(|b| !b.is_ascii_whitespace())
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let line = bytes.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// Checks that events follow each other without a gap or a repeat.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// Starts after the last event that the caller has.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the last event's id.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Takes in an event.
    ///
    /// # Errors
    ///
    /// The event is not the one that is due.
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
