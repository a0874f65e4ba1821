//! Silence of a server: the request leaves it only for another server that can take it at once.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::picture::health::Evidence;
use crate::serve::attempt::Attempt;
use crate::serve::choose::Choice;
use crate::serve::choose::Chosen;
use crate::serve::entry::Entry;
use crate::serve::find::AGAIN;
use crate::serve::find::unusable;
use crate::serve::waits::WaitGuard;

/// Time between looks for another server, where nothing is told meanwhile: some steps of a batch, after
/// which a full server may have a free place.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// What a wait for a server's answer came to.
#[derive(Debug)]
pub enum Heard<T> {
    /// The server answered, or broke off.
    Answer(T),
    /// The server is silent, and this one can take the request: its repeat is taken out of the budget,
    /// and a connection to it is open.
    Elsewhere(Chosen),
    /// The deadline has passed.
    OutOfTime,
}

/// Waits for `answer` of the server of the last send, which is dropped with its connection on return.
///
/// A server that is silent for `patience` is left when, and only when, the request can go on elsewhere.
/// Given up for nothing, it cut answers that were coming: the caller saw a broken stream or a failure, and
/// the server's log a run that would have ended well. So attempts, budget, place and connection come first.
pub async fn hear<T>(
    entry: &Rc<Entry>,
    attempt: &Attempt,
    patience: Duration,
    answer: impl Future<Output = T>,
) -> Heard<T> {
    let left = attempt.deadline.saturating_sub(entry.now());
    tokio::select! {
        biased;
        answer = answer => Heard::Answer(answer),
        () = sleep(left) => Heard::OutOfTime,
        chosen = elsewhere(entry, attempt, patience) => Heard::Elsewhere(chosen),
    }
}

/// Returns once the request can go on at another server; never, where it may not.
async fn elsewhere(entry: &Rc<Entry>, attempt: &Attempt, patience: Duration) -> Chosen {
    if !attempt.route.is_repeatable() {
        return pending().await;
    }
    sleep(patience).await;
    if !attempt.may_leave() {
        note(entry, attempt);
        return pending().await;
    }
    let mut guard = None;
    let until = entry.now() + AGAIN;
    let mut is_noted = false;
    loop {
        let changed = entry.waits.changed.notified();
        if let Some(chosen) = able(entry, attempt).await {
            return chosen;
        }
        if !is_noted {
            note(entry, attempt);
            is_noted = true;
        }
        if entry.now() < until {
            guard = guard.or_else(|| ask(entry, attempt, until));
        } else {
            guard = None;
        }
        let _notified = timeout(LOOK_EVERY, changed).await;
    }
}

/// Returns another server that can take the request now, its repeat taken out of the budget.
async fn able(entry: &Entry, attempt: &Attempt) -> Option<Chosen> {
    if !entry.has_repeat(&attempt.service) {
        return None;
    }
    let item = attempt.item();
    let tried = attempt.all_tried();
    let chosen = entry.choose(|c| c.spare(&attempt.service, item.as_ref(), &tried))?;
    let server = &chosen.server;
    if entry.pool.prepare(&server.id, server.addr).await.is_err() {
        entry.note_health(&attempt.service, &server.id, Evidence::Unreachable);
        return None;
    }
    // Nothing is awaited from here until the caller of `hear` has the server.
    entry.take_repeat(&attempt.service).then_some(chosen)
}

/// Tells of a silent server that cannot be left yet, and lets other requests avoid it.
fn note(entry: &Entry, attempt: &Attempt) {
    let Some(server) = &attempt.last else { return };
    slog::info!(entry.log, "server-silent"; "attempt" => attempt.id(), "server" => %server,
        "ms" => entry.now().saturating_sub(attempt.arrived).as_millis());
    entry.note_health(&attempt.service, server, Evidence::Failed);
}

/// Asks for the model at another engine, where no other holds it.
fn ask(entry: &Entry, attempt: &Attempt, until: Moment) -> Option<WaitGuard> {
    let item = attempt.item()?;
    let tried = attempt.all_tried();
    if matches!(entry.choose(|c| c.engine(&item, &tried)), Choice::Server(_)) {
        return None;
    }
    Some(entry.waits.begin(item, until, until, unusable(entry, &attempt.service, &tried)))
}
