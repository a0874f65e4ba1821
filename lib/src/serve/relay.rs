//! Relays a stream to its caller, and resumes it at another server if the route allows that.

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
use crate::serve::failover::wait_response;
use crate::serve::find_server::find_replacement;
use crate::serve::handle::CALLER_LEFT;
use crate::serve::handle::STOPPING_REASON;
use crate::serve::handle::log_request;
use crate::serve::origin_exchange::complete_origin;
use crate::serve::send::SendFailure;
use crate::serve::suspects;
use crate::verdict::Verdict;

/// A server is unresponsive if it sends no event for this many times the route's target pause between events.
const UNRESPONSIVE_GAPS: u32 = 5;

/// Relays the events of one stream to its caller.
#[derive(Debug)]
pub struct Relay {
    /// The daemon that relays the stream.
    pub daemon: Rc<DaemonState>,
    /// The caller's request and the state of its sends.
    pub attempt: Attempt,
    /// Sends events into the body of the caller's response.
    pub sender: ChunkSender,
    /// Time at which the last events were received.
    pub last_received: Moment,
}

/// Why no more events of a server are relayed.
enum RelayEnd {
    Complete,
    CallerLeft,
    DeadlinePassed,
    DaemonAborted,
    /// The server failed (`None`), or it was unresponsive and another one has accepted the request.
    Interrupted(Option<SendFuture<OpenOutcome>>),
}

impl Relay {
    /// Relays events, from several servers if necessary, until the caller's response ends.
    pub async fn run(&mut self, started: StartedStream) {
        let StartedStream { mut stream, first_events, first_event, head } = started;
        let mut chunk = first_events;
        loop {
            let end = self.relay_events(&mut stream, chunk).await;
            self.record_success(&end);
            let reason = match end {
                RelayEnd::Complete => {
                    let run = self.daemon.now().saturating_sub(first_event);
                    self.daemon.run_times.record(&self.attempt.service, run);
                    self.attempt.verdict = Verdict::Ran;
                    self.daemon.record_progress(&self.attempt, RequestProgress::Complete);
                    complete_origin(&self.daemon, &self.attempt);
                    self.log(head.status, "complete", first_event, stream.last_id());
                    self.daemon
                        .pool
                        .release(stream.response.connection, stream.response.headers.keep_alive);
                    return;
                }
                RelayEnd::CallerLeft => CALLER_LEFT,
                RelayEnd::DeadlinePassed => "out of time",
                RelayEnd::DaemonAborted => STOPPING_REASON,
                RelayEnd::Interrupted(accepted) => {
                    let last_id = stream.last_id();
                    // The old connection is closed before the stream is resumed at another server.
                    drop(stream);
                    if let Some((next, events)) = self.resume(last_id, accepted).await {
                        stream = next;
                        chunk = events;
                        continue;
                    }
                    let caller_left = self.sender.is_closed();
                    let reason = if caller_left { CALLER_LEFT } else { self.attempt.reason };
                    self.abort_body(head.status, reason, first_event, last_id).await;
                    return;
                }
            };
            let last_id = stream.last_id();
            drop(stream);
            self.abort_body(head.status, reason, first_event, last_id).await;
            return;
        }
    }

    fn record_success(&self, end: &RelayEnd) {
        if let (RelayEnd::Complete, Some(server)) = (end, &self.attempt.last_server) {
            self.daemon.record_health(&self.attempt.service, server, Evidence::Sound);
        }
    }

    /// Ends the response with an error, so that it cannot look complete.
    async fn abort_body(
        &self,
        status: StatusCode,
        reason: &str,
        first_event: Moment,
        last_id: Option<u64>,
    ) {
        self.log(status, reason, first_event, last_id);
        let _sent = timeout(Duration::from_secs(1), self.sender.send(Err(BodyAborted))).await;
    }

    fn log(&self, status: StatusCode, reason: &str, first_event: Moment, last_id: Option<u64>) {
        log_request(&self.daemon, &self.attempt, status, reason, Some(first_event));
        self.daemon.metrics.record_events(last_id.unwrap_or(0));
    }

    /// Records the pause before the events that were just received.
    fn record_pause(&mut self) {
        let now = self.daemon.now();
        let pause = now.saturating_sub(self.last_received);
        self.attempt.max_pause = self.attempt.max_pause.max(pause);
        self.last_received = now;
    }

    /// Relays the events of one server until its stream ends or must be abandoned.
    async fn relay_events(&mut self, stream: &mut EventStream, mut chunk: Bytes) -> RelayEnd {
        let gap_target = self.attempt.route.gap_target.unwrap_or(Duration::from_secs(1));
        loop {
            self.attempt.events = stream.event_count();
            if !chunk.is_empty() && self.sender.send(Ok(chunk)).await.is_err() {
                return RelayEnd::CallerLeft;
            }
            if self.daemon.now() >= self.attempt.deadline {
                return RelayEnd::DeadlinePassed;
            }
            let outcome = tokio::select! {
                biased;
                () = self.sender.closed() => return RelayEnd::CallerLeft,
                () = self.daemon.aborted() => return RelayEnd::DaemonAborted,
                outcome = wait_response(
                    &self.daemon,
                    &self.attempt,
                    gap_target * UNRESPONSIVE_GAPS,
                    stream.next(),
                ) => outcome,
            };
            match outcome {
                WaitOutcome::Response(Ok(StreamItem::Events(events))) => {
                    self.record_pause();
                    self.daemon.record_events(&mut self.attempt);
                    chunk = events;
                }
                WaitOutcome::Response(Ok(StreamItem::End)) => return RelayEnd::Complete,
                WaitOutcome::Response(Err(failure)) => {
                    self.record_failure(&failure).await;
                    return RelayEnd::Interrupted(None);
                }
                WaitOutcome::FailOver(next) => {
                    let last_id = stream.last_id();
                    let resend = |d: &Rc<DaemonState>, a: &mut Attempt, c: &ChosenServer| {
                        start_stream(d, a, c, last_id)
                    };
                    let failover = tokio::select! {
                        biased;
                        () = self.sender.closed() => return RelayEnd::CallerLeft,
                        () = self.daemon.aborted() => return RelayEnd::DaemonAborted,
                        failover = try_failover(&self.daemon, &mut self.attempt, &next, resend) => failover,
                    };
                    match failover {
                        None => chunk = Bytes::new(),
                        Some(accepted) => return RelayEnd::Interrupted(Some(accepted)),
                    }
                }
                WaitOutcome::DeadlinePassed => return RelayEnd::DeadlinePassed,
            }
        }
    }

    /// Records that the server failed, and checks whether it crashed.
    async fn record_failure(&mut self, failure: &SendFailure) {
        self.attempt.record_failure(&self.daemon, failure);
        suspects::check_for_crash(&self.daemon, &mut self.attempt, failure).await;
    }

    /// Sends the request to another server, to resume after the event `after`, if the route, the attempt and the retry
    /// budget allow it.
    async fn send_retry(&mut self, after: Option<u64>) -> Option<SendFuture<OpenOutcome>> {
        let now = self.daemon.now();
        if !self.attempt.route.resumable || after.is_none() || !self.attempt.may_retry(now) {
            return None;
        }
        let mut chosen = tokio::select! {
            biased;
            () = self.sender.closed() => return None,
            () = self.daemon.aborted() => return None,
            chosen = find_replacement(&self.daemon, &mut self.attempt) => chosen?,
        };
        if !self.daemon.take_retry(&self.attempt, &mut chosen) {
            return None;
        }
        Some(start_stream(&self.daemon, &mut self.attempt, &chosen, after))
    }

    /// Resumes the stream after the event `after` at another server: the one that has accepted it, or else one that is
    /// chosen here.
    async fn resume(
        &mut self,
        after: Option<u64>,
        mut accepted: Option<SendFuture<OpenOutcome>>,
    ) -> Option<(EventStream, Bytes)> {
        let resend =
            |d: &Rc<DaemonState>, a: &mut Attempt, c: &ChosenServer| start_stream(d, a, c, after);
        loop {
            let sent = match accepted.take() {
                Some(accepted) => accepted,
                None => self.send_retry(after).await?,
            };
            self.daemon.metrics.record_retry();
            let opened = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                () = self.daemon.aborted() => return None,
                opened = await_with_failover(&self.daemon, &mut self.attempt, sent, resend) => opened,
            };
            match opened {
                Ok(OpenOutcome::Stream(started)) => {
                    self.attempt.record_first_event(&self.daemon, started.first_event);
                    slog::info!(self.daemon.log, "stream-resumed"; "attempt" => self.attempt.id(),
                        "server" => self.attempt.last_server.as_ref().map_or("-", |s| s.id.as_str()),
                        "version" => self.attempt.last_version.as_str(),
                        "after" => after.unwrap_or(0));
                    return Some((started.stream, started.first_events));
                }
                Ok(OpenOutcome::Whole(..)) => {
                    let failure = SendFailure::may_have_run("the server did not resume the stream");
                    self.attempt.record_failure(&self.daemon, &failure);
                    self.attempt.end_trial();
                }
                Err(failure) => self.record_failure(&failure).await,
            }
        }
    }
}
