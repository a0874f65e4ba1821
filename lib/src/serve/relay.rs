//! Passes a stream on to its caller, and goes on at another server where that is allowed.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::server_health::Evidence;
use crate::serve::attempt::Attempt;
use crate::serve::body::BrokenOff;
use crate::serve::body::ChunkSender;
use crate::serve::choose::Chosen;
use crate::serve::daemon_state::DaemonState;
use crate::serve::event_stream::Flow;
use crate::serve::event_stream::Progress;
use crate::serve::exchange_stream::Opened;
use crate::serve::exchange_stream::Started;
use crate::serve::exchange_stream::begin;
use crate::serve::failover::Exchange;
use crate::serve::failover::Heard;
use crate::serve::failover::ask;
use crate::serve::failover::hear;
use crate::serve::failover::offer;
use crate::serve::find_server::find_again;
use crate::serve::handle::STOPS;
use crate::serve::handle::log_answer;
use crate::serve::send::SendFailure;
use crate::serve::suspects;
use crate::verdict::Verdict;

/// A server is silent after this many punctual pauses without an event.
const SILENT_GAPS: u32 = 5;

/// The reason in the log where nobody waits for the answer any more.
const CALLER_LEFT: &str = "the caller left";

/// Passes the events of a stream on to its caller.
#[derive(Debug)]
pub struct Relay {
    /// The daemon.
    pub entry: Rc<DaemonState>,
    /// The request.
    pub attempt: Attempt,
    /// Where its events go.
    pub sender: ChunkSender,
    /// When its last events came.
    pub heard: Moment,
}

/// Why no more events of a server are passed on.
enum Stop {
    Complete,
    CallerLeft,
    OutOfTime,
    DaemonEnds,
    /// The server broke off, or another one has taken the request after a silence.
    Broken(Option<Exchange<Opened>>),
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
                    let run = self.entry.now().saturating_sub(first);
                    self.entry.run_times.record(&self.attempt.service, run);
                    self.attempt.verdict = Verdict::Ran;
                    self.entry.note_passed(&self.attempt, RequestProgress::Complete);
                    self.log(head.status, "complete", first, flow.last());
                    self.entry.pool.give_back(flow.answer.connection, flow.answer.terms.keep);
                    return;
                }
                Stop::CallerLeft => CALLER_LEFT,
                Stop::OutOfTime => "out of time",
                Stop::DaemonEnds => STOPS,
                Stop::Broken(taken) => {
                    let last = flow.last();
                    // The old connection is closed before the stream goes on elsewhere.
                    drop(flow);
                    if let Some((next, events)) = self.resume(last, taken).await {
                        flow = next;
                        chunk = events;
                        continue;
                    }
                    let has_left = self.sender.is_closed();
                    let reason = if has_left { CALLER_LEFT } else { self.attempt.reason };
                    self.break_off(head.status, reason, first, last).await;
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
            self.entry.record_health(&self.attempt.service, server, Evidence::Sound);
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

    /// Notes the pause before events that have just come.
    fn note_pause(&mut self) {
        let now = self.entry.now();
        let pause = now.saturating_sub(self.heard);
        self.attempt.pause = self.attempt.pause.max(pause);
        self.heard = now;
    }

    /// Passes events on until the stream stops.
    async fn pass(&mut self, flow: &mut Flow, mut chunk: Bytes) -> Stop {
        let gap = self.attempt.route.gap_target.unwrap_or(Duration::from_secs(1));
        loop {
            if !chunk.is_empty() && self.sender.send(Ok(chunk)).await.is_err() {
                return Stop::CallerLeft;
            }
            if self.entry.now() >= self.attempt.deadline {
                return Stop::OutOfTime;
            }
            let heard = tokio::select! {
                biased;
                () = self.sender.closed() => return Stop::CallerLeft,
                () = self.entry.aborted() => return Stop::DaemonEnds,
                heard = hear(&self.entry, &self.attempt, gap * SILENT_GAPS, flow.next()) => heard,
            };
            match heard {
                Heard::Answer(Ok(Progress::Events(events))) => {
                    self.note_pause();
                    self.entry.note_events(&mut self.attempt);
                    chunk = events;
                }
                Heard::Answer(Ok(Progress::End)) => return Stop::Complete,
                Heard::Answer(Err(failure)) => {
                    self.failed(&failure).await;
                    return Stop::Broken(None);
                }
                Heard::Elsewhere(next) => {
                    let last = flow.last();
                    let again =
                        |e: &Rc<DaemonState>, a: &mut Attempt, c: &Chosen| begin(e, a, c, last);
                    let offered = tokio::select! {
                        biased;
                        () = self.sender.closed() => return Stop::CallerLeft,
                        () = self.entry.aborted() => return Stop::DaemonEnds,
                        offered = offer(&self.entry, &mut self.attempt, &next, again) => offered,
                    };
                    match offered {
                        None => chunk = Bytes::new(),
                        Some(taken) => return Stop::Broken(Some(taken)),
                    }
                }
                Heard::OutOfTime => return Stop::OutOfTime,
            }
        }
    }

    /// Takes in that the server failed.
    async fn failed(&mut self, failure: &SendFailure) {
        self.attempt.failed(&self.entry, failure);
        suspects::note_failure(&self.entry, &self.attempt, failure).await;
    }

    /// Sends the request to another server, where that is allowed.
    async fn send_again(&mut self, last: Option<u64>) -> Option<Exchange<Opened>> {
        let now = self.entry.now();
        if !self.attempt.route.resumable || last.is_none() || !self.attempt.may_repeat(now) {
            return None;
        }
        let chosen = tokio::select! {
            biased;
            () = self.sender.closed() => return None,
            () = self.entry.aborted() => return None,
            chosen = find_again(&self.entry, &mut self.attempt) => chosen?,
        };
        if !self.entry.take_retry(&self.attempt.service) {
            return None;
        }
        Some(begin(&self.entry, &mut self.attempt, &chosen, last))
    }

    /// Goes on with the stream at another server, one that has taken it or one to be found.
    async fn resume(
        &mut self,
        last: Option<u64>,
        mut taken: Option<Exchange<Opened>>,
    ) -> Option<(Flow, Bytes)> {
        let again = |e: &Rc<DaemonState>, a: &mut Attempt, c: &Chosen| begin(e, a, c, last);
        loop {
            let sent = match taken.take() {
                Some(taken) => taken,
                None => self.send_again(last).await?,
            };
            self.entry.metrics.retried();
            let opened = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                () = self.entry.aborted() => return None,
                opened = ask(&self.entry, &mut self.attempt, sent, again) => opened,
            };
            match opened {
                Ok(Opened::Stream(started)) => {
                    self.attempt.began(&self.entry, started.first);
                    slog::info!(self.entry.log, "stream-resumed"; "attempt" => self.attempt.id(),
                        "server" => self.attempt.last.as_ref().map_or("-", |s| s.id.as_str()),
                        "after" => last.unwrap_or(0));
                    return Some((started.flow, started.events));
                }
                Ok(Opened::Other(..)) => {
                    let failure = SendFailure::doubtful("the server did not resume the stream");
                    self.attempt.failed(&self.entry, &failure);
                }
                Err(failure) => self.failed(&failure).await,
            }
        }
    }
}
