//! Queue of the records that one daemon appends to the log.
//!
//! Records are batched into entries. One entry is in flight at a time, and it is retried until it
//! is read back from the log.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::DaemonId;
use crate::ids::Incarnation;
use crate::record::Entry;
use crate::record::Record;

/// Most records in one entry.
const MAX_BATCH: usize = 256;
/// Most queued records, without the entry in flight.
const MAX_QUEUE: usize = 4096;
/// Time after which an append without a response is retried.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after the first failed append; each further failure doubles it, up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed append.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// The entry in flight.
#[derive(Debug)]
struct PendingAppend {
    entry: Entry,
    /// Taken before the first attempt, so the entry cannot take effect earlier.
    first_sent: Duration,
    retry_at: Duration,
    failures: u32,
    /// Whether the log acknowledged the append; the entry still has to be read back.
    acknowledged: bool,
}

/// An entry of this daemon that was read back from the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmedAppend {
    /// Time just before the first attempt to append it.
    pub sent_at: Duration,
}

/// Queue of records, and the entry in flight.
#[derive(Debug)]
pub struct Appender {
    writer: DaemonId,
    incarnation: Incarnation,
    sequence: u64,
    queue: VecDeque<Record>,
    pending: Option<PendingAppend>,
    append_gap: Duration,
    next_append: Duration,
}

impl Appender {
    /// Creates an appender that waits at least `append_gap` between two entries, so that records
    /// are batched.
    pub fn new(writer: DaemonId, incarnation: Incarnation, append_gap: Duration) -> Self {
        Self {
            writer,
            incarnation,
            sequence: 0,
            queue: VecDeque::new(),
            pending: None,
            append_gap,
            next_append: Duration::ZERO,
        }
    }

    /// Returns the incarnation that entries carry.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Queues a record; returns false if the queue is full.
    pub fn push(&mut self, record: Record) -> bool {
        let has_room = self.queue.len() < MAX_QUEUE;
        if has_room {
            self.queue.push_back(record);
        }
        has_room
    }

    /// Queues a record unless an equal one is queued or in flight; returns whether it was queued.
    pub fn push_unique(&mut self, record: Record) -> bool {
        !self.is_pending(&record) && self.push(record)
    }

    /// Returns whether an equal record is queued or in flight.
    pub fn is_pending(&self, record: &Record) -> bool {
        let in_flight = self.pending.as_ref().is_some_and(|p| p.entry.records.contains(record));
        in_flight || self.queue.contains(record)
    }

    /// Returns whether any record that `matches` selects is queued or in flight.
    pub fn any_pending(&self, matches: impl Fn(&Record) -> bool) -> bool {
        let in_flight = self.pending.as_ref().is_some_and(|p| p.entry.records.iter().any(&matches));
        in_flight || self.queue.iter().any(matches)
    }

    /// Removes queued records that `stale` selects; the entry in flight cannot be withdrawn.
    pub fn discard_queued(&mut self, stale: impl Fn(&Record) -> bool) {
        self.queue.retain(|r| !stale(r));
    }

    /// Returns the time since the first attempt of the entry in flight; `None` if there is none.
    pub fn pending_for(&self, now: Duration) -> Option<Duration> {
        self.pending.as_ref().map(|p| now.saturating_sub(p.first_sent))
    }

    /// Returns the entry to send now, if any: a retry of the one in flight, or a new one.
    pub fn poll(&mut self, now: Duration) -> Option<Entry> {
        if let Some(pending) = &mut self.pending {
            if pending.acknowledged || now < pending.retry_at {
                return None;
            }
            pending.retry_at = now + RESPONSE_TIMEOUT;
            return Some(pending.entry.clone());
        }
        if self.queue.is_empty() || now < self.next_append {
            return None;
        }
        self.sequence += 1;
        let count = self.queue.len().min(MAX_BATCH);
        let entry = Entry {
            writer: self.writer.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            records: self.queue.drain(..count).collect(),
        };
        self.next_append = now + self.append_gap;
        self.pending = Some(PendingAppend {
            entry: entry.clone(),
            first_sent: now,
            retry_at: now + RESPONSE_TIMEOUT,
            failures: 0,
            acknowledged: false,
        });
        Some(entry)
    }

    /// Records the result of an attempt to append entry `sequence`.
    ///
    /// The append may have taken effect although it failed or its response was lost. The same entry
    /// is sent again, and the fold ignores the second copy.
    pub fn on_append_result(&mut self, now: Duration, sequence: u64, appended: bool) {
        let Some(pending) = self.pending.as_mut().filter(|p| p.entry.sequence == sequence) else {
            return;
        };
        if appended {
            pending.acknowledged = true;
            return;
        }
        let pause = MIN_PAUSE * 2_u32.saturating_pow(pending.failures.min(10));
        pending.failures += 1;
        pending.retry_at = now + pause.min(MAX_PAUSE);
    }

    /// Processes an entry that was read from the log.
    ///
    /// Returns `None` unless it is this daemon's entry in flight, which is then complete.
    pub fn on_read(&mut self, entry: &Entry) -> Option<ConfirmedAppend> {
        if entry.writer != self.writer || entry.incarnation != self.incarnation {
            return None;
        }
        let pending = self.pending.take_if(|p| p.entry.sequence == entry.sequence)?;
        Some(ConfirmedAppend { sent_at: pending.first_sent })
    }

    /// Drops the entry in flight if its sequence number is at most `sequence`, the last one of this
    /// daemon that an installed state includes.
    ///
    /// Returns whether it was dropped; the outcome of its records must then be read from that
    /// state.
    pub fn drop_through(&mut self, sequence: u64) -> bool {
        self.pending.take_if(|p| p.entry.sequence <= sequence).is_some()
    }
}
