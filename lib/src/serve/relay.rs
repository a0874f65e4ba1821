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
use crate::serve::body::BodyAborted;
use crate::serve::body::ChunkSender;
use crate::serve::choose::ChosenServer;
use crate::serve::daemon_state::DaemonState;
use crate::serve::event_stream::EventStream;
use crate::serve::event_stream::StreamItem;
use crate::serve::exchange_stream::OpenOutcome;
use crate::serve::exchange_stream::StartedStream;
use crate::serve::exchange_stream::start_stream;
use crate::serve::failover::SendFuture;
use crate::serve::failover::WaitOutcome;
use crate::serve::failover::await_with_failover;
use crate::serve::failover::try_failover;
use crate::serve::failover::wait_answer;
use crate::serve::find_server::find_replacement;
use crate::serve::handle::STOPPING_REASON;
use crate::serve::handle::log_request;
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
    pub daemon: Rc<DaemonState>,
    /// The request.
    pub attempt: Attempt,
    /// Where its events go.
    pub sender: ChunkSender,
    /// When its last events came.
    pub last_received: Moment,
}

/// Why no more events of a server are passed on.
enum Stop {
    Complete,
    CallerLeft,
    OutOfTime,
    DaemonEnds,
    /// The server broke off, or another one has taken the request after a silence.
    Broken(Option<SendFuture<OpenOutcome>>),
}

impl Relay {
    /// Passes events on until the stream ends, one way or another.
    pub async fn run(&mut self, started: StartedStream) {
        let StartedStream { mut stream, first_events, first_event, head } = started;
        let mut chunk = first_events;
        loop {
            let stop = self.pass(&mut stream, chunk).await;
            self.note(&stop);
            let reason = match stop {
                Stop::Complete => {
                    let run = self.daemon.now().saturating_sub(first_event);
                    self.daemon.run_times.record(&self.attempt.service, run);
                    self.attempt.verdict = Verdict::Ran;
                    self.daemon.record_passed(&self.attempt, RequestProgress::Complete);
                    self.log(head.status, "complete", first_event, stream.last_id());
                    self.daemon
                        .pool
                        .release(stream.answer.connection, stream.answer.terms.keep_alive);
                    return;
                }
                Stop::CallerLeft => CALLER_LEFT,
                Stop::OutOfTime => "out of time",
                Stop::DaemonEnds => STOPPING_REASON,
                Stop::Broken(taken) => {
                    let last = stream.last_id();
                    // The old connection is closed before the stream goes on elsewhere.
                    drop(stream);
                    if let Some((next, events)) = self.resume(last, taken).await {
                        stream = next;
                        chunk = events;
                        continue;
                    }
                    let has_left = self.sender.is_closed();
                    let reason = if has_left { CALLER_LEFT } else { self.attempt.reason };
                    self.break_off(head.status, reason, first_event, last).await;
                    return;
                }
            };
            let last = stream.last_id();
            drop(stream);
            self.break_off(head.status, reason, first_event, last).await;
            return;
        }
    }

    fn note(&self, stop: &Stop) {
        if let (Stop::Complete, Some(server)) = (stop, &self.attempt.last_server) {
            self.daemon.record_health(&self.attempt.service, server, Evidence::Sound);
        }
    }

    /// Ends the answer so that it cannot look complete.
    async fn break_off(&self, status: StatusCode, reason: &str, first: Moment, last: Option<u64>) {
        self.log(status, reason, first, last);
        let _caller_gone =
            timeout(Duration::from_secs(1), self.sender.send(Err(BodyAborted))).await;
    }

    fn log(&self, status: StatusCode, reason: &str, first: Moment, last: Option<u64>) {
        log_request(&self.daemon, &self.attempt, status, reason, Some(first));
        self.daemon.metrics.record_events(last.unwrap_or(0));
    }

    /// Notes the pause before events that have just come.
    fn note_pause(&mut self) {
        let now = self.daemon.now();
        let pause = now.saturating_sub(self.last_received);
        self.attempt.max_pause = self.attempt.max_pause.max(pause);
        self.last_received = now;
    }

    /// Passes events on until the stream stops.
    async fn pass(&mut self, stream: &mut EventStream, mut chunk: Bytes) -> Stop {
        let gap = self.attempt.route.gap_target.unwrap_or(Duration::from_secs(1));
        loop {
            if !chunk.is_empty() && self.sender.send(Ok(chunk)).await.is_err() {
                return Stop::CallerLeft;
            }
            if self.daemon.now() >= self.attempt.deadline {
                return Stop::OutOfTime;
            }
            let heard = tokio::select! {
                biased;
                () = self.sender.closed() => return Stop::CallerLeft,
                () = self.daemon.aborted() => return Stop::DaemonEnds,
                heard = wait_answer(&self.daemon, &self.attempt, gap * SILENT_GAPS, stream.next()) => heard,
            };
            match heard {
                WaitOutcome::Answer(Ok(StreamItem::Events(events))) => {
                    self.note_pause();
                    self.daemon.record_events(&mut self.attempt);
                    chunk = events;
                }
                WaitOutcome::Answer(Ok(StreamItem::End)) => return Stop::Complete,
                WaitOutcome::Answer(Err(failure)) => {
                    self.failed(&failure).await;
                    return Stop::Broken(None);
                }
                WaitOutcome::FailOver(next) => {
                    let last = stream.last_id();
                    let again = |e: &Rc<DaemonState>, a: &mut Attempt, c: &ChosenServer| {
                        start_stream(e, a, c, last)
                    };
                    let offered = tokio::select! {
                        biased;
                        () = self.sender.closed() => return Stop::CallerLeft,
                        () = self.daemon.aborted() => return Stop::DaemonEnds,
                        offered = try_failover(&self.daemon, &mut self.attempt, &next, again) => offered,
                    };
                    match offered {
                        None => chunk = Bytes::new(),
                        Some(taken) => return Stop::Broken(Some(taken)),
                    }
                }
                WaitOutcome::OutOfTime => return Stop::OutOfTime,
            }
        }
    }

    /// Takes in that the server failed.
    async fn failed(&mut self, failure: &SendFailure) {
        self.attempt.record_failure(&self.daemon, failure);
        suspects::check_for_crash(&self.daemon, &self.attempt, failure).await;
    }

    /// Sends the request to another server, where that is allowed.
    async fn send_again(&mut self, last: Option<u64>) -> Option<SendFuture<OpenOutcome>> {
        let now = self.daemon.now();
        if !self.attempt.route.resumable || last.is_none() || !self.attempt.may_retry(now) {
            return None;
        }
        let chosen = tokio::select! {
            biased;
            () = self.sender.closed() => return None,
            () = self.daemon.aborted() => return None,
            chosen = find_replacement(&self.daemon, &mut self.attempt) => chosen?,
        };
        if !self.daemon.take_retry(&self.attempt.service) {
            return None;
        }
        Some(start_stream(&self.daemon, &mut self.attempt, &chosen, last))
    }

    /// Goes on with the stream at another server, one that has taken it or one to be found.
    async fn resume(
        &mut self,
        last: Option<u64>,
        mut taken: Option<SendFuture<OpenOutcome>>,
    ) -> Option<(EventStream, Bytes)> {
        let again =
            |e: &Rc<DaemonState>, a: &mut Attempt, c: &ChosenServer| start_stream(e, a, c, last);
        loop {
            let sent = match taken.take() {
                Some(taken) => taken,
                None => self.send_again(last).await?,
            };
            self.daemon.metrics.record_retry();
            let opened = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                () = self.daemon.aborted() => return None,
                opened = await_with_failover(&self.daemon, &mut self.attempt, sent, again) => opened,
            };
            match opened {
                Ok(OpenOutcome::Stream(started)) => {
                    self.attempt.record_first_event(&self.daemon, started.first_event);
                    slog::info!(self.daemon.log, "stream-resumed"; "attempt" => self.attempt.id(),
                        "server" => self.attempt.last_server.as_ref().map_or("-", |s| s.id.as_str()),
                        "after" => last.unwrap_or(0));
                    return Some((started.stream, started.first_events));
                }
                Ok(OpenOutcome::Whole(..)) => {
                    let failure = SendFailure::may_have_run("the server did not resume the stream");
                    self.attempt.record_failure(&self.daemon, &failure);
                }
                Err(failure) => self.failed(&failure).await,
            }
        }
    }
}
