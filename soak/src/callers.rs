//! Callers that send requests over persistent connections, check the responses and record the results.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::resumed_streams;
use comfreymux_platform_testutils::caller::Ask;
use comfreymux_platform_testutils::caller::event_ids;
use comfreymux_platform_testutils::http::Message;
use comfreymux_platform_testutils::http::Wire;
use comfreymux_platform_testutils::rig::MODELS;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Number of events in a complete stream of a stand-in server.
pub const EVENTS: u64 = 10;
/// Default deadline of callers' requests.
pub const DEADLINE: Duration = Duration::from_secs(4);
/// After the deadline, a daemon must send its own response within this time.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);
/// Statuses that guarantee that a request has not run and will not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Status of a request that may have run and for which no server's response is available.
const UNKNOWN_OUTCOME: u16 = 502;

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Must not run twice.
    Book,
    /// May run again.
    Look,
    /// A stream that another server may resume.
    Draft,
    /// A stream that must not run twice.
    Note,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Book => "/book/7",
            Self::Look => "/look/7",
            Self::Draft => "/draft/7",
            Self::Note => "/note/7",
        }
    }

    /// Returns whether engines serve requests of this kind.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Draft | Self::Note)
    }

    /// Returns whether a request of this kind must run at most once.
    pub fn is_single(self) -> bool {
        matches!(self, Self::Book | Self::Note)
    }
}

/// An attempt that a caller sent.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// When it was sent.
    pub at: Instant,
    /// For how long its caller waits.
    pub deadline: Duration,
}

/// Results that all callers of a soak record.
#[derive(Debug, Default)]
pub struct CallerRecord {
    /// All attempts, in the order sent.
    pub attempts: RefCell<Vec<SentAttempt>>,
    /// Attempts whose response status guarantees that they did not run.
    pub not_run: RefCell<Vec<String>>,
    /// Violated guarantees.
    pub faults: RefCell<Vec<String>>,
    /// Good responses and all responses since the counts were reset; a missing response counts as not good.
    pub responses: Cell<(u64, u64)>,
    /// Tries for interrupted streams that were answered with events, and all such tries.
    pub resumed: Cell<(u32, u32)>,
    /// Whether graceful stops are the only fault injected now.
    pub only_stops: Cell<bool>,
    /// Attempts during `only_stops` whose connection closed without a response.
    pub unanswered: RefCell<Vec<String>>,
    /// Whether fault injection has ended.
    pub faults_over: Cell<bool>,
    /// Whether callers must stop sending.
    pub stopped: Cell<bool>,
    /// Longest pause between two requests of a caller.
    pub pause: Cell<Duration>,
    /// Deadline of callers' requests.
    pub deadline: Cell<Duration>,
    /// Whether an attempt that may run again is sent once more, at another daemon, when a kept connection ends without a
    /// response, as HTTP libraries do.
    pub resends: Cell<bool>,
    /// Number of attempts that were.
    pub resent: Cell<u32>,
}

impl CallerRecord {
    /// Returns the deadline of callers in milliseconds.
    pub fn deadline_ms(&self) -> u64 {
        self.deadline.get().as_millis() as u64
    }

    /// Records an attempt that is sent now, with its deadline in milliseconds.
    pub fn record_sent(&self, ask: &Ask, kind: Kind) {
        self.attempts.borrow_mut().push(SentAttempt {
            id: ask.attempt.clone(),
            kind,
            at: Instant::now(),
            deadline: Duration::from_millis(ask.deadline),
        });
    }
}

/// Sends requests one after another until the soak ends. `number` identifies the caller.
pub async fn send_requests(
    seen: Rc<CallerRecord>,
    fronts: Vec<SocketAddr>,
    course: u64,
    number: usize,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(course ^ ((number as u64) << 32));
    let deadline = seen.deadline.get();
    let mut open: Option<Wire> = None;
    let mut count = 0;
    let mut front = fronts[number % fronts.len()];
    while !seen.stopped.get() {
        count += 1;
        let kind = [Kind::Book, Kind::Look, Kind::Draft, Kind::Note][rng.random_range(0..4)];
        let attempt = format!("c{number}-{count}");
        let mut ask = Ask::new(&attempt, kind.path());
        ask.deadline = seen.deadline_ms();
        if kind.is_stream() {
            ask.model = Some(MODELS[rng.random_range(0..MODELS.len())].to_owned());
        }
        seen.record_sent(&ask, kind);
        let began = Instant::now();
        let had_only_stops = seen.only_stops.get();
        let leaves = rng.random_bool(0.05);
        let limit = if leaves { Duration::from_millis(30) } else { deadline + RESPONSE_MARGIN };
        let other = fronts[(number + count) % fronts.len()];
        let exchange = async {
            let Some(kept) = open.take() else { return exchange_new(&ask, front).await };
            match exchange_kept(&ask, kept).await {
                None if seen.resends.get() && !kind.is_single() => {
                    seen.resent.set(seen.resent.get() + 1);
                    exchange_new(&ask, other).await
                }
                answered => answered,
            }
        };
        match timeout(limit, exchange).await {
            Ok(Some((wire, answer))) => {
                check_response(&seen, &attempt, kind, &answer);
                if kind == Kind::Draft && answer.status() == 200 {
                    resumed_streams::check_stream(&seen, &fronts, &ask, &answer).await;
                }
                if had_only_stops && seen.only_stops.get() && answer.status() == UNKNOWN_OUTCOME {
                    let fault = format!("{attempt} {kind:?} was left in doubt by a planned stop");
                    seen.faults.borrow_mut().push(fault);
                }
                if answer.whole && answer.header("connection") != "close" {
                    open = Some(wire);
                }
            }
            // Closed without a response: the daemon was killed, or it stopped and closed the connection just as the
            // request was sent.
            Ok(None) => {
                if had_only_stops && seen.only_stops.get() {
                    seen.unanswered.borrow_mut().push(attempt);
                }
                count_response(&seen, false);
                front = fronts[rng.random_range(0..fronts.len())];
                sleep(Duration::from_millis(50)).await;
            }
            Err(_elapsed) if leaves => {}
            Err(_elapsed) => {
                // A paused or unresponsive host sends no response. This is no fault here; the success ratio after
                // the recovery shows it.
                count_response(&seen, false);
                front = fronts[rng.random_range(0..fronts.len())];
                let waited = began.elapsed();
                if waited > deadline + RESPONSE_MARGIN * 2 {
                    seen.faults.borrow_mut().push(format!("{attempt} waited {waited:?}"));
                }
            }
        }
        let pause = seen.pause.get().as_millis() as u64;
        sleep(Duration::from_millis(rng.random_range(5..pause))).await;
    }
}

async fn exchange_kept(ask: &Ask, mut wire: Wire) -> Option<(Wire, Message)> {
    ask.send_on(&mut wire).await.ok()?;
    let answer = wire.message().await.ok()?;
    Some((wire, answer))
}

async fn exchange_new(ask: &Ask, front: SocketAddr) -> Option<(Wire, Message)> {
    let mut wire = ask.send(front).await.ok()?;
    let answer = wire.message().await.ok()?;
    Some((wire, answer))
}

/// Sends the requests that crash servers repeatedly to random daemons until fault injection ends.
pub async fn send_fatal_requests(
    seen: Rc<CallerRecord>,
    fronts: Vec<SocketAddr>,
    bodies: Vec<Vec<u8>>,
    course: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(course.rotate_left(16));
    let deadline = seen.deadline.get();
    let mut count = 0;
    while !seen.faults_over.get() {
        count += 1;
        let which = rng.random_range(0..bodies.len());
        let kind = [Kind::Draft, Kind::Note, Kind::Look][which % 3];
        let attempt = format!("f{count}");
        let mut ask = Ask::model(&attempt, kind.path(), MODELS[0]);
        ask.deadline = seen.deadline_ms();
        ask.body.clone_from(&bodies[which]);
        seen.record_sent(&ask, kind);
        let front = fronts[rng.random_range(0..fronts.len())];
        let seen = Rc::clone(&seen);
        spawn_local(async move {
            if let Ok(Ok(answer)) = timeout(deadline + RESPONSE_MARGIN, ask.get(front)).await
                && NOT_RUN.contains(&answer.status())
            {
                seen.not_run.borrow_mut().push(attempt);
            }
        });
        sleep(Duration::from_millis(rng.random_range(100..700))).await;
    }
}

fn count_response(seen: &CallerRecord, good: bool) {
    let (had, all) = seen.responses.get();
    seen.responses.set((had + u64::from(good), all + 1));
}

fn check_response(seen: &CallerRecord, attempt: &str, kind: Kind, answer: &Message) {
    let fault = |text: &str| {
        let line = &answer.line;
        seen.faults.borrow_mut().push(format!("{attempt} {kind:?} {line}: {text}"));
    };
    let status = answer.status();
    if NOT_RUN.contains(&status) {
        seen.not_run.borrow_mut().push(attempt.to_owned());
        if status == 503 && answer.header("retry-after").is_empty() {
            fault("a refusal without a time to come back");
        }
    }
    count_response(seen, status == 200 && answer.whole);
    if status == 404 {
        fault("a route that every version has");
    }
    if status != 200 {
        return;
    }
    if answer.attempt() != attempt {
        fault("another request's answer");
    }
    if !answer.is_signed() {
        fault("a success without a server's signature");
    }
    let text = String::from_utf8_lossy(&answer.body);
    if matches!(kind, Kind::Book | Kind::Look) {
        if answer.whole && !text.contains(&format!("ran {attempt}: fitting 7")) {
            fault("not the server's whole answer");
        }
        return;
    }
    let ids = event_ids(answer);
    let is_prefix = ids.iter().zip(1..).all(|(id, due)| *id == due);
    if !is_prefix {
        fault(&format!("events {ids:?}"));
    }
    if answer.whole && ids.len() as u64 != EVENTS {
        fault(&format!("complete with {} events", ids.len()));
    }
    let foreign = text
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .any(|d| d.split(' ').next() != Some(attempt));
    if foreign {
        fault("another stream's events");
    }
}
