//! Passes a stream on to its caller, and goes on at another server where that is allowed.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::picture::health::Evidence;
use crate::serve::attempt::Attempt;
use crate::serve::body::BrokenOff;
use crate::serve::body::ChunkSender;
use crate::serve::entry::Entry;
use crate::serve::exchange_stream::Opened;
use crate::serve::exchange_stream::Started;
use crate::serve::exchange_stream::send_first;
use crate::serve::find::find_again;
use crate::serve::flow::Flow;
use crate::serve::flow::Progress;
use crate::serve::handle::STOPS;
use crate::serve::handle::log_answer;
use crate::serve::send::SendFailure;
use crate::verdict::Verdict;

/// A stream that can go on elsewhere is silent for this many punctual pauses before it does.
const SILENT_GAPS: u32 = 5;

/// Passes the events of a stream on to its caller.
#[derive(Debug)]
pub struct Relay {
    /// The daemon.
    pub entry: Rc<Entry>,
    /// The request.
    pub attempt: Attempt,
    /// Where its events go.
    pub sender: ChunkSender,
}

/// Why no more events of a server are passed on.
enum Stop {
    Complete,
    CallerLeft,
    OutOfTime,
    DaemonEnds,
    Broken(SendFailure),
}

impl Relay {
    /// Passes events on until the stream ends, one way or another.
    pub async fn run(&mut self, started: Started) {
        let Started { mut flow, events, first, head } = started;
        let mut chunk = events;
        loop {
            let stop = self.pass(&mut flow, chunk).await;
            self.note(&stop);
            let reason = match stop {
                Stop::Complete => {
                    self.attempt.verdict = Verdict::Ran;
                    self.log(head.status, "complete", first, flow.last());
                    self.entry.pool.give_back(flow.answer.connection, flow.answer.terms.keep);
                    return;
                }
                Stop::CallerLeft => "the caller left",
                Stop::OutOfTime => "out of time",
                Stop::DaemonEnds => STOPS,
                Stop::Broken(failure) => {
                    self.attempt.failed(&self.entry, &failure);
                    let last = flow.last();
                    // The old connection is closed before the stream goes on elsewhere.
                    drop(flow);
                    if let Some((next, events)) = self.resume(last).await {
                        flow = next;
                        chunk = events;
                        continue;
                    }
                    self.break_off(head.status, failure.reason, first, last).await;
                    return;
                }
            };
            let last = flow.last();
            drop(flow);
            self.break_off(head.status, reason, first, last).await;
            return;
        }
    }

    fn note(&self, stop: &Stop) {
        if let (Stop::Complete, Some(server)) = (stop, &self.attempt.last) {
            self.entry.note_health(&self.attempt.service, server, Evidence::Sound);
        }
    }

    /// Ends the answer so that it cannot look complete.
    async fn break_off(&self, status: StatusCode, reason: &str, first: Moment, last: Option<u64>) {
        self.log(status, reason, first, last);
        let _caller_gone = timeout(Duration::from_secs(1), self.sender.send(Err(BrokenOff))).await;
    }

    fn log(&self, status: StatusCode, reason: &str, first: Moment, last: Option<u64>) {
        log_answer(&self.entry, &self.attempt, status, reason, Some(first));
        self.entry.metrics.relayed(last.unwrap_or(0));
    }

    /// Passes events on until the stream stops.
    async fn pass(&self, flow: &mut Flow, mut chunk: Bytes) -> Stop {
        let gap = self.attempt.route.gap.unwrap_or(Duration::from_secs(1));
        loop {
            if !chunk.is_empty() && self.sender.send(Ok(chunk)).await.is_err() {
                return Stop::CallerLeft;
            }
            let left = self.attempt.deadline.saturating_sub(self.entry.now());
            if left.is_zero() {
                return Stop::OutOfTime;
            }
            let can_resume = self.attempt.route.resumable;
            let limit = if can_resume { left.min(gap * SILENT_GAPS) } else { left };
            let next = tokio::select! {
                biased;
                () = self.sender.closed() => return Stop::CallerLeft,
                () = self.entry.ended() => return Stop::DaemonEnds,
                next = timeout(limit, flow.next()) => next,
            };
            match next {
                Ok(Ok(Progress::Events(events))) => chunk = events,
                Ok(Ok(Progress::End)) => return Stop::Complete,
                Ok(Err(failure)) => return Stop::Broken(failure),
                Err(_elapsed) if limit < left => {
                    return Stop::Broken(SendFailure::doubtful("the stream fell silent"));
                }
                Err(_elapsed) => return Stop::OutOfTime,
            }
        }
    }

    /// Goes on with the stream at another server.
    async fn resume(&mut self, last: Option<u64>) -> Option<(Flow, Bytes)> {
        loop {
            let now = self.entry.now();
            if !self.attempt.route.resumable || last.is_none() || !self.attempt.may_repeat(now) {
                return None;
            }
            let chosen = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                () = self.entry.ended() => return None,
                chosen = find_again(&self.entry, &mut self.attempt) => chosen?,
            };
            if !self.entry.take_repeat(&self.attempt.service) {
                return None;
            }
            self.entry.metrics.retried();
            let opened = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                () = self.entry.ended() => return None,
                opened = send_first(&self.entry, &mut self.attempt, &chosen, last) => opened,
            };
            match opened {
                Ok(Opened::Stream(started)) => {
                    slog::info!(self.entry.log, "stream-resumed"; "attempt" => self.attempt.id(),
                        "server" => %chosen.server.id, "after" => last.unwrap_or(0));
                    return Some((started.flow, started.events));
                }
                Ok(Opened::Other(..)) => {
                    let failure = SendFailure::doubtful("the server did not resume the stream");
                    self.attempt.failed(&self.entry, &failure);
                }
                Err(failure) => self.attempt.failed(&self.entry, &failure),
            }
        }
    }
}
