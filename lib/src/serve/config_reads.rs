//! Reads of the configuration's feed that are in progress beside each other.
//!
//! A read that met an outage of the store is never answered, and a slow store answers late; the two look the same. So
//! an overdue read stays in progress, and another one is sent beside it.

use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::ids::FeedOffset;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::track_repeatable;
use crate::store::Batch;
use crate::store::Feed;
use crate::store::LocalFuture;
use crate::store::StoreError;

/// Most reads in progress; a further one replaces the oldest.
const MAX_READS: usize = 8;

/// The response to a read.
#[derive(Debug)]
pub struct ReadResponse {
    /// The records, or why the read failed.
    pub result: Result<Batch, StoreError>,
    /// When the read was sent.
    pub sent_at: Moment,
    /// Time up to which the response covers all records: it may have been long under way, and the store decided on it
    /// no earlier than this.
    pub covers_until: Moment,
}

struct PendingRead<'a> {
    call: LocalFuture<'a, Result<Batch, StoreError>>,
    sent_at: Moment,
    /// How long the store holds it while there is no record.
    wait: Duration,
}

/// Reads in progress, the oldest first.
#[derive(Default)]
pub struct ConfigReads<'a> {
    pending: Vec<PendingRead<'a>>,
}

impl<'a> ConfigReads<'a> {
    /// Returns whether no read is in progress.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Starts a read from an offset that the store may hold for `wait` while nothing changes.
    pub fn start(&mut self, daemon: &'a DaemonState, from: FeedOffset, wait: Duration) {
        if self.pending.len() >= MAX_READS {
            self.pending.remove(0);
        }
        let call = daemon.store.read(Feed::Configuration, from, wait);
        let call = Box::pin(track_repeatable(daemon, Feed::Configuration, call));
        self.pending.push(PendingRead { call, sent_at: daemon.now(), wait });
    }

    /// Waits for the next response; waits forever if no read is in progress.
    pub async fn next(&mut self, daemon: &DaemonState) -> ReadResponse {
        poll_fn(|context| {
            for index in 0..self.pending.len() {
                if let Poll::Ready(result) = self.pending[index].call.as_mut().poll(context) {
                    return Poll::Ready(self.pending.remove(index).respond(result, daemon.now()));
                }
            }
            Poll::Pending
        })
        .await
    }
}

impl PendingRead<'_> {
    fn respond(self, result: Result<Batch, StoreError>, now: Moment) -> ReadResponse {
        let is_empty = result.as_ref().is_ok_and(Batch::is_empty);
        let held = if is_empty { self.wait } else { Duration::ZERO };
        let covers_until = (self.sent_at + held).min(now);
        ReadResponse { result, sent_at: self.sent_at, covers_until }
    }
}
