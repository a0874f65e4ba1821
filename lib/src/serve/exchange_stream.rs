//! Requests answered by a stream of events, which may go on at another server.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Response;
use http::StatusCode;
use http::response;
use http_body_util::BodyExt as _;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::ids::ServerId;
use crate::picture::health::Evidence;
use crate::picture::loads::InProgress;
use crate::place::demand::Item;
use crate::serve::attempt::Attempt;
use crate::serve::body::BrokenOff;
use crate::serve::body::ChunkSender;
use crate::serve::body::ReplyBody;
use crate::serve::choose::Choice;
use crate::serve::choose::Chosen;
use crate::serve::entry::Entry;
use crate::serve::events::EventOrder;
use crate::serve::events::EventSplitter;
use crate::serve::handle::log_answer;
use crate::serve::headers::strip_connection;
use crate::serve::reply::Refusal;
use crate::serve::send;
use crate::serve::send::Answer;
use crate::serve::send::SendFailure;
use crate::verdict::Verdict;

/// Largest answer other than a stream.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// When a caller should come back where nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);
/// Left of a caller's patience for the engine's first event, after a wait for a model.
const FIRST_EVENT: Duration = Duration::from_millis(200);
/// Time in which the holder of the placement lease says what it does about a wait.
const WORD_TIME: Duration = Duration::from_millis(700);
/// A stream that can go on elsewhere is silent for this many punctual pauses before it does.
const SILENT_GAPS: u32 = 5;
/// Pause before engines that all refused a request are asked again.
const FULL_PAUSE: Duration = Duration::from_millis(80);

/// A stream whose first events have come.
struct Started {
    head: response::Parts,
    flow: Flow,
    events: Bytes,
    first: Moment,
}

/// Events of one server's answer.
struct Flow {
    answer: Answer,
    splitter: EventSplitter,
    order: EventOrder,
    work: InProgress,
}

/// What came next in a stream.
enum Progress {
    /// Whole events.
    Events(Bytes),
    /// The end of a whole stream.
    End,
}

impl Flow {
    /// Returns the next whole events, or the end.
    async fn next(&mut self) -> Result<Progress, SendFailure> {
        loop {
            let mut out = BytesMut::new();
            loop {
                let event = self.splitter.next_event();
                match event.map_err(|_error| SendFailure::doubtful("an event is too large"))? {
                    None => break,
                    Some(event) => {
                        let in_order = self.order.take(&event);
                        if in_order.is_err() {
                            if out.is_empty() {
                                return Err(SendFailure::doubtful("an event is out of order"));
                            }
                            break;
                        }
                        out.extend_from_slice(&event.bytes);
                    }
                }
            }
            if !out.is_empty() {
                return Ok(Progress::Events(out.freeze()));
            }
            match self.answer.body.frame().await {
                None if self.splitter.has_rest() => {
                    return Err(SendFailure::doubtful("the stream ended within an event"));
                }
                None => return Ok(Progress::End),
                Some(Err(_broken)) => return Err(SendFailure::doubtful("the stream broke off")),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
            }
        }
    }
}

/// What a send to an engine came to.
enum Opened {
    Stream(Box<Started>),
    Other(response::Parts, Bytes),
}

/// Finds a server that begins to answer, and passes its events on.
///
/// # Errors
///
/// Returns the answer of our own that the caller gets.
pub async fn run(
    entry: &Rc<Entry>,
    mut attempt: Attempt,
) -> Result<Response<ReplyBody>, (Refusal, Attempt)> {
    match open(entry, &mut attempt).await {
        Ok(Opened::Other(head, body)) => {
            attempt.verdict = Verdict::Ran;
            log_answer(entry, &attempt, head.status, "answered", None);
            let mut response = Response::new(ReplyBody::whole(body));
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            strip_connection(response.headers_mut());
            Ok(response)
        }
        Ok(Opened::Stream(started)) => Ok(relay(entry, attempt, *started)),
        Err(refusal) => Err((refusal, attempt)),
    }
}

async fn open(entry: &Rc<Entry>, attempt: &mut Attempt) -> Result<Opened, Refusal> {
    let resume = attempt.terms.last_event;
    loop {
        let chosen = find_server(entry, attempt).await?;
        if attempt.arrivals > 0 && !entry.take_repeat(&attempt.service) {
            return Err(Refusal::failed(attempt.verdict, "the retry budget is spent", COME_BACK));
        }
        match send_first(entry, attempt, &chosen, resume).await {
            Ok(Opened::Other(head, body)) => {
                if !head.status.is_server_error() || !attempt.route.resumable {
                    return Ok(Opened::Other(head, body));
                }
                attempt.failed(entry, &SendFailure::doubtful("the server failed"));
                if !attempt.may_repeat(entry.now()) {
                    return Ok(Opened::Other(head, body));
                }
            }
            Ok(opened) => return Ok(opened),
            Err(failure) => {
                attempt.failed(entry, &failure);
                let now = entry.now();
                if now >= attempt.deadline {
                    return Err(Refusal::timeout(attempt.verdict, attempt.reason, COME_BACK));
                }
                if !attempt.may_repeat(now) {
                    return Err(Refusal::failed(attempt.verdict, attempt.reason, COME_BACK));
                }
            }
        }
    }
}

/// Chooses a server, waiting for a model or adapter to be loaded where none has it.
async fn find_server(entry: &Rc<Entry>, attempt: &mut Attempt) -> Result<Chosen, Refusal> {
    let Some(item) = attempt.item() else {
        let chosen = entry.choose(|c| c.plain(&attempt.service, &attempt.tried));
        return chosen.ok_or_else(|| Refusal::failed(attempt.verdict, "no server", COME_BACK));
    };
    let began = entry.now();
    let mut guard = None;
    loop {
        let changed = entry.waits.changed.notified();
        match entry.choose(|c| c.engine(&item, &attempt.tried)) {
            Choice::Server(chosen) => {
                attempt.waited += entry.now().saturating_sub(began);
                return Ok(chosen);
            }
            Choice::NoServer => {
                return Err(Refusal::failed(attempt.verdict, "no server", COME_BACK));
            }
            Choice::Missing => {}
        }
        let now = entry.now();
        let patience = attempt.deadline.min(attempt.arrived + attempt.route.patience());
        let give_up = patience.min(entry.last_start());
        if let Some(refusal) = hopeless(entry, attempt, &item, began, give_up) {
            attempt.waited += now.saturating_sub(began);
            return Err(refusal);
        }
        if guard.is_none() {
            slog::info!(entry.log, "request-waits"; "attempt" => attempt.id(),
                "model" => item.model.as_str(), "adapter" => item.adapter.as_deref().unwrap_or("-"),
                "ahead" => entry.waits.waiting(&item),
                "give_up_ms" => give_up.saturating_sub(now).as_millis());
            guard = Some(entry.waits.begin(item.clone(), give_up, unusable(entry, attempt)));
        }
        // Engines that refused it may have room again.
        let _notified = timeout(FULL_PAUSE * 2, changed).await;
        if entry.now() > began + FULL_PAUSE && attempt.verdict == Verdict::DidNotRun {
            attempt.tried.clear();
        }
    }
}

/// Engines that this request cannot use: those that failed it, and those out of reach.
fn unusable(entry: &Entry, attempt: &Attempt) -> Vec<ServerId> {
    let mut list = entry.choose(|c| c.dark(&attempt.service));
    list.extend(attempt.tried.iter().cloned());
    list
}

/// Refuses a wait that cannot end in time, as soon as that is known.
fn hopeless(
    entry: &Entry,
    attempt: &Attempt,
    item: &Item,
    began: Moment,
    give_up: Moment,
) -> Option<Refusal> {
    let now = entry.now();
    let expected = entry.choose(|c| {
        let servers = c.directory.servers().filter(|s| s.service == item.service && !s.leaving);
        let times = servers
            .filter_map(|s| c.holdings.expected(&s.id, &item.model, item.adapter.as_deref(), now));
        times.min()
    });
    let verdict = attempt.verdict;
    match expected {
        Some(at) if at + FIRST_EVENT > give_up && now < give_up => {
            let retry = at.saturating_sub(now).max(FIRST_EVENT);
            Some(Refusal::failed(verdict, "the model will be loaded too late", retry))
        }
        _ if now + FIRST_EVENT > give_up => {
            Some(Refusal::failed(verdict, "the model was not loaded in time", COME_BACK))
        }
        None if give_up < now + WORD_TIME && now > began + WORD_TIME => {
            Some(Refusal::failed(verdict, "no engine can load the model in time", COME_BACK))
        }
        _ => None,
    }
}

/// Sends the request and waits for the first event.
async fn send_first(
    entry: &Rc<Entry>,
    attempt: &mut Attempt,
    chosen: &Chosen,
    resume: Option<u64>,
) -> Result<Opened, SendFailure> {
    let server = &chosen.server;
    attempt.sent(&server.id);
    let request = attempt.request(entry, server, resume);
    let work = entry.loads.begin(attempt.place(&server.id), attempt.terms.prompt);
    let id = attempt.terms.attempt.as_ref();
    let limit = attempt.send_limit(entry.now());
    let exchange = async {
        let answer = send::send(&entry.pool, &*entry.protocol, server, id, request).await?;
        if let Some(word) = answer.terms.load {
            entry.loads.told(&server.id, entry.now(), word);
        }
        if answer.head.status != StatusCode::OK {
            let (head, body) = send::read_whole(&entry.pool, answer, ANSWER_LIMIT).await?;
            return Ok(Opened::Other(head, body));
        }
        let head = answer.head.clone();
        let splitter = EventSplitter::default();
        let order = EventOrder::after(resume);
        let mut flow = Flow { answer, splitter, order, work };
        let events = match flow.next().await? {
            Progress::Events(events) => events,
            Progress::End => Bytes::new(),
        };
        flow.work.first_event();
        Ok(Opened::Stream(Box::new(Started { head, flow, events, first: entry.now() })))
    };
    let opened = timeout(limit, exchange).await;
    opened.unwrap_or_else(|_elapsed| Err(SendFailure::doubtful("no event in time")))
}

/// Begins the answer to the caller and leaves the rest to a task.
fn relay(entry: &Rc<Entry>, attempt: Attempt, started: Started) -> Response<ReplyBody> {
    let (sender, body) = ReplyBody::stream();
    let mut response = Response::new(body);
    *response.status_mut() = started.head.status;
    *response.headers_mut() = started.head.headers.clone();
    strip_connection(response.headers_mut());
    entry.metrics.first_byte(started.first.saturating_sub(attempt.arrived));
    entry.metrics.waited(&attempt.route.name, attempt.waited);
    let entry = Rc::clone(entry);
    entry.active.set(entry.active.get() + 1);
    spawn_local(async move {
        let mut relay = Relay { entry: Rc::clone(&entry), attempt, sender };
        relay.run(started).await;
        entry.active.set(entry.active.get().saturating_sub(1));
    });
    response
}

/// Passes the events of a stream on to its caller.
struct Relay {
    entry: Rc<Entry>,
    attempt: Attempt,
    sender: ChunkSender,
}

/// Why no more events of a server are passed on.
enum Stop {
    Complete,
    CallerLeft,
    OutOfTime,
    Broken(SendFailure),
}

impl Relay {
    async fn run(&mut self, started: Started) {
        let Started { mut flow, events, first, head } = started;
        let mut chunk = events;
        let mut resumes = 0;
        loop {
            let stop = self.pass(&mut flow, chunk).await;
            self.note(&stop);
            let reason = match stop {
                Stop::Complete => {
                    self.entry.pool.give_back(flow.answer.connection, flow.answer.terms.keep);
                    self.attempt.verdict = Verdict::Ran;
                    self.log(head.status, "complete", first, flow.order.last());
                    return;
                }
                Stop::CallerLeft => "the caller left",
                Stop::OutOfTime => "out of time",
                Stop::Broken(failure) => {
                    self.attempt.failed(&self.entry, &failure);
                    let last = flow.order.last();
                    // The old connection is closed before the stream goes on elsewhere.
                    drop(flow);
                    if let Some((next, events)) = self.resume(last).await {
                        flow = next;
                        chunk = events;
                        resumes += 1;
                        continue;
                    }
                    self.break_off(head.status, failure.reason, first, last).await;
                    return;
                }
            };
            let last = flow.order.last();
            drop(flow);
            let _ = resumes;
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
                chosen = find_again(&self.entry, &mut self.attempt) => chosen?,
            };
            if !self.entry.take_repeat(&self.attempt.service) {
                return None;
            }
            self.entry.metrics.retried();
            let opened = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
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

/// Time in which another engine must be found for a stream that broke off.
const AGAIN: Duration = Duration::from_millis(1200);

/// Chooses another server for a stream that broke off; callers wait for events, so not for long.
async fn find_again(entry: &Rc<Entry>, attempt: &mut Attempt) -> Option<Chosen> {
    let item = attempt.item()?;
    let until = entry.now() + AGAIN;
    let mut guard = None;
    loop {
        let changed = entry.waits.changed.notified();
        if let Choice::Server(chosen) = entry.choose(|c| c.engine(&item, &attempt.tried)) {
            return Some(chosen);
        }
        let left = until.saturating_sub(entry.now());
        if left.is_zero() {
            return None;
        }
        guard.get_or_insert_with(|| {
            entry.waits.begin(item.clone(), until, unusable(entry, attempt))
        });
        let _notified = timeout(left.min(FULL_PAUSE * 2), changed).await;
    }
}
