//! Appends of one daemon: batched, one at a time, repeated until known.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::DaemonId;
use crate::ids::Incarnation;
use crate::record::Entry;
use crate::record::Record;

/// Most records put into one entry.
const BATCH: usize = 256;
/// Most records that wait for an append.
const MAX_QUEUE: usize = 4096;
/// An append without an answer is repeated after this time.
const ANSWER_BOUND: Duration = Duration::from_secs(2);
/// First pause after a failed append; doubled up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed append.
const MAX_PAUSE: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Flight {
    entry: Entry,
    /// Time before the first attempt: whatever the entry does, it does not do it earlier.
    first: Duration,
    retry: Duration,
    failures: u32,
    answered: bool,
}

/// An entry that was read back, with the time before its first append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmedAppend {
    /// Time before the first attempt to append it.
    pub sent_at: Duration,
}

/// Queue of records and the one append under way.
#[derive(Debug)]
pub struct Appender {
    writer: DaemonId,
    incarnation: Incarnation,
    sequence: u64,
    queue: VecDeque<Record>,
    flight: Option<Flight>,
    gap: Duration,
    next: Duration,
}

impl Appender {
    /// Creates an appender that waits at least `gap` between two entries, to group records.
    pub fn new(writer: DaemonId, incarnation: Incarnation, gap: Duration) -> Self {
        Self {
            writer,
            incarnation,
            sequence: 0,
            queue: VecDeque::new(),
            flight: None,
            gap,
            next: Duration::ZERO,
        }
    }

    /// Returns the start count that entries carry.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Queues a record; returns whether there was room.
    pub fn push(&mut self, record: Record) -> bool {
        let fits = self.queue.len() < MAX_QUEUE;
        if fits {
            self.queue.push_back(record);
        }
        fits
    }

    /// Queues a record unless an equal one waits or is under way; returns whether it was queued.
    pub fn push_unique(&mut self, record: Record) -> bool {
        !self.holds(&record) && self.push(record)
    }

    /// Returns whether an equal record waits or is under way.
    pub fn holds(&self, record: &Record) -> bool {
        let flying = self.flight.as_ref().is_some_and(|f| f.entry.records.contains(record));
        flying || self.queue.contains(record)
    }

    /// Returns whether any record that `wanted` selects waits or is under way.
    pub fn any_pending(&self, wanted: impl Fn(&Record) -> bool) -> bool {
        let flying = self.flight.as_ref().is_some_and(|f| f.entry.records.iter().any(&wanted));
        flying || self.queue.iter().any(wanted)
    }

    /// Removes queued records that `stale` selects; what is under way cannot be taken back.
    pub fn discard_queued(&mut self, stale: impl Fn(&Record) -> bool) {
        self.queue.retain(|r| !stale(r));
    }

    /// Returns how long the append under way has been waiting.
    pub fn pending_for(&self, now: Duration) -> Option<Duration> {
        self.flight.as_ref().map(|f| now.saturating_sub(f.first))
    }

    /// Returns the entry to send now, if any.
    pub fn poll(&mut self, now: Duration) -> Option<Entry> {
        if let Some(flight) = &mut self.flight {
            if flight.answered || now < flight.retry {
                return None;
            }
            flight.retry = now + ANSWER_BOUND;
            return Some(flight.entry.clone());
        }
        if self.queue.is_empty() || now < self.next {
            return None;
        }
        self.sequence += 1;
        let count = self.queue.len().min(BATCH);
        let entry = Entry {
            writer: self.writer.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            records: self.queue.drain(..count).collect(),
        };
        self.next = now + self.gap;
        self.flight = Some(Flight {
            entry: entry.clone(),
            first: now,
            retry: now + ANSWER_BOUND,
            failures: 0,
            answered: false,
        });
        Some(entry)
    }

    /// Notes the answer to the attempt for `sequence`.
    ///
    /// A failed or lost answer does not mean that the append had no effect; the same entry is
    /// sent again, and the fold ignores whichever copy comes second.
    pub fn on_append_result(&mut self, now: Duration, sequence: u64, appended: bool) {
        let Some(flight) = self.flight.as_mut().filter(|f| f.entry.sequence == sequence) else {
            return;
        };
        if appended {
            flight.answered = true;
            return;
        }
        let pause = MIN_PAUSE * 2_u32.saturating_pow(flight.failures.min(10));
        flight.failures += 1;
        flight.retry = now + pause.min(MAX_PAUSE);
    }

    /// Notes that an entry of this daemon was read from the log.
    ///
    /// Returns the time before its first append where it is the one under way.
    pub fn on_read(&mut self, entry: &Entry) -> Option<ConfirmedAppend> {
        if entry.writer != self.writer || entry.incarnation != self.incarnation {
            return None;
        }
        let flight = self.flight.take_if(|f| f.entry.sequence == entry.sequence)?;
        Some(ConfirmedAppend { sent_at: flight.first })
    }

    /// Drops the append under way if `sequence`, the last one in a state taken over whole, covers it.
    ///
    /// Returns whether something was dropped; its records must then be looked up in that state.
    pub fn drop_through(&mut self, sequence: u64) -> bool {
        self.flight.take_if(|f| f.entry.sequence <= sequence).is_some()
    }
}
