//! Callers that use their connections for as long as these live, and what they saw.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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

/// Events of a whole stream of the stand-ins.
pub const EVENTS: u64 = 10;
/// Time that callers wait.
const DEADLINE: Duration = Duration::from_secs(4);
/// After the deadline an answer of the daemon's own is due within this time.
const LATE: Duration = Duration::from_secs(2);
/// Statuses that promise that a request has not run and will not.
const UNRUN: [u16; 4] = [408, 421, 429, 503];

/// The status of a request that may have run and has no answer.
const IN_DOUBT: u16 = 502;

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Must not run twice.
    Book,
    /// May run again.
    Look,
    /// A stream that may go on elsewhere.
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

    /// Returns whether it may run once at most.
    pub fn is_single(self) -> bool {
        matches!(self, Self::Book | Self::Note)
    }
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Attempts by kind, in order.
    pub asked: RefCell<Vec<(String, Kind)>>,
    /// Attempts that were told they did not run.
    pub unrun: RefCell<Vec<String>>,
    /// Broken promises.
    pub faults: RefCell<Vec<String>>,
    /// Good answers and all answers since the counts were reset.
    pub good: Cell<(u64, u64)>,
    /// Whether nothing but planned stops happens.
    pub calm: Cell<bool>,
    /// Attempts that ended meanwhile with a closed connection and no answer.
    pub cut: RefCell<Vec<String>>,
    /// Whether troubles are over.
    pub troubles_over: Cell<bool>,
    /// Whether callers stop.
    pub over: Cell<bool>,
}

/// Asks on and on; `number` tells callers apart.
pub async fn ask_on(seen: Rc<Seen>, fronts: Vec<SocketAddr>, course: u64, number: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(course ^ ((number as u64) << 32));
    let mut open: Option<Wire> = None;
    let mut count = 0;
    let mut front = fronts[number % fronts.len()];
    while !seen.over.get() {
        count += 1;
        let kind = [Kind::Book, Kind::Look, Kind::Draft, Kind::Note][rng.random_range(0..4)];
        let attempt = format!("c{number}-{count}");
        let mut ask = Ask::new(&attempt, kind.path());
        ask.deadline = DEADLINE.as_millis() as u64;
        if matches!(kind, Kind::Draft | Kind::Note) {
            ask.model = Some(MODELS[rng.random_range(0..MODELS.len())].to_owned());
        }
        seen.asked.borrow_mut().push((attempt.clone(), kind));
        let began = Instant::now();
        let was_calm = seen.calm.get();
        let leaves = rng.random_bool(0.05);
        let limit = if leaves { Duration::from_millis(30) } else { DEADLINE + LATE };
        let exchange = async {
            let mut wire = match open.take() {
                Some(mut wire) => {
                    if ask.send_on(&mut wire).await.is_err() {
                        return None;
                    }
                    wire
                }
                None => ask.send(front).await.ok()?,
            };
            let answer = wire.message().await.ok()?;
            Some((wire, answer))
        };
        match timeout(limit, exchange).await {
            Ok(Some((wire, answer))) => {
                judge(&seen, &attempt, kind, &answer);
                if was_calm && seen.calm.get() && answer.status() == IN_DOUBT {
                    let fault = format!("{attempt} {kind:?} was left in doubt by a planned stop");
                    seen.faults.borrow_mut().push(fault);
                }
                if answer.whole && answer.header("connection") != "close" {
                    open = Some(wire);
                }
            }
            // Closed without an answer: the daemon was killed, or the request crossed its stop.
            Ok(None) => {
                if was_calm && seen.calm.get() {
                    seen.cut.borrow_mut().push(attempt);
                }
                count_answer(&seen, false);
                front = fronts[rng.random_range(0..fronts.len())];
                sleep(Duration::from_millis(50)).await;
            }
            Err(_elapsed) if leaves => {}
            Err(_elapsed) => {
                // A paused or silent host answers nobody; it shows in the recovery, not here.
                count_answer(&seen, false);
                front = fronts[rng.random_range(0..fronts.len())];
                let waited = began.elapsed();
                if waited > DEADLINE + LATE * 2 {
                    seen.faults.borrow_mut().push(format!("{attempt} waited {waited:?}"));
                }
            }
        }
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// Sends requests that crash servers, each again and again at any daemon, until troubles are over.
pub async fn ask_fatal(seen: Rc<Seen>, fronts: Vec<SocketAddr>, bodies: Vec<Vec<u8>>, course: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(course.rotate_left(16));
    let mut count = 0;
    while !seen.troubles_over.get() {
        count += 1;
        let which = rng.random_range(0..bodies.len());
        let kind = [Kind::Draft, Kind::Note, Kind::Look][which % 3];
        let attempt = format!("f{count}");
        let mut ask = Ask::model(&attempt, kind.path(), MODELS[0]);
        ask.body.clone_from(&bodies[which]);
        seen.asked.borrow_mut().push((attempt.clone(), kind));
        let front = fronts[rng.random_range(0..fronts.len())];
        let seen = Rc::clone(&seen);
        spawn_local(async move {
            if let Ok(Ok(answer)) = timeout(DEADLINE + LATE, ask.get(front)).await
                && UNRUN.contains(&answer.status())
            {
                seen.unrun.borrow_mut().push(attempt);
            }
        });
        sleep(Duration::from_millis(rng.random_range(100..700))).await;
    }
}

fn count_answer(seen: &Seen, good: bool) {
    let (had, all) = seen.good.get();
    seen.good.set((had + u64::from(good), all + 1));
}

fn judge(seen: &Seen, attempt: &str, kind: Kind, answer: &Message) {
    let fault = |text: &str| {
        let line = &answer.line;
        seen.faults.borrow_mut().push(format!("{attempt} {kind:?} {line}: {text}"));
    };
    let status = answer.status();
    if UNRUN.contains(&status) {
        seen.unrun.borrow_mut().push(attempt.to_owned());
        if status == 503 && answer.header("retry-after").is_empty() {
            fault("a refusal without a time to come back");
        }
    }
    count_answer(seen, status == 200 && answer.whole);
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
