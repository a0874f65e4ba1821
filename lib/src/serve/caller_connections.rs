//! The open connections of callers: how many there may be, and which one ends to make room.
//!
//! Callers that never finish a request must not keep others out. A connection that has no whole request ends for a new one, the
//! oldest first: those of callers that finish are young.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::sync::Notify;

use crate::boot_clock::Moment;

/// Least time between two log lines about evicted and refused connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

new_key_type! {
    struct ConnectionKey;
}

/// Most open connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// All of them.
    pub open: usize,
    /// Those without a whole request.
    pub unfinished: usize,
}

/// How far a connection's request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No request, or a part of its head.
    Idle,
    /// Its body is being read.
    Receiving,
    /// It was read whole and its response is not written yet.
    Serving,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    /// When the phase began; that of `Receiving` includes no time without a request.
    since: Moment,
    evicted: Rc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    entries: SlotMap<ConnectionKey, Entry>,
    /// Number of entries that are serving.
    serving: usize,
}

/// The open connections of callers.
#[derive(Debug)]
pub struct CallerConnections {
    limits: ConnectionLimits,
    state: RefCell<State>,
    ended: Cell<EndedConnections>,
    /// Totals at the last log line, and its time.
    logged: Cell<(EndedConnections, Option<Moment>)>,
}

/// Connections that ended to keep the limits, since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndedConnections {
    /// Those that were evicted for another one, or for its memory.
    pub evicted: u64,
    /// Those that were refused, as all others had whole requests.
    pub refused: u64,
}

/// One open connection, which stays listed until this is dropped or it is evicted.
#[derive(Debug)]
pub struct CallerConnection {
    list: Rc<CallerConnections>,
    key: ConnectionKey,
    evicted: Rc<Notify>,
}

impl State {
    fn oldest(&self, is_candidate: impl Fn(&Entry) -> bool) -> Option<ConnectionKey> {
        let candidates = self.entries.iter().filter(|(_, entry)| is_candidate(entry));
        candidates.min_by_key(|(_, entry)| entry.since).map(|(key, _)| key)
    }

    fn remove(&mut self, key: ConnectionKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.serving -= usize::from(entry.phase == Phase::Serving);
        Some(entry)
    }

    fn set_phase(&mut self, key: ConnectionKey, phase: Phase, now: Moment) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.serving += usize::from(phase == Phase::Serving);
        self.serving -= usize::from(entry.phase == Phase::Serving);
        (entry.phase, entry.since) = (phase, now);
    }
}

impl CallerConnections {
    /// Creates an empty list.
    pub fn new(limits: ConnectionLimits) -> Rc<Self> {
        let (state, ended, logged) = <_>::default();
        Rc::new(Self { limits, state, ended, logged })
    }

    /// Adds a connection that was accepted at `now`. Evicts the oldest one without a whole request if there are too many;
    /// returns `None` if all have whole requests.
    pub fn admit(self: &Rc<Self>, now: Moment) -> Option<CallerConnection> {
        if self.is_full() && !self.evict(|entry| entry.phase != Phase::Serving) {
            self.record_ended(EndedConnections { evicted: 0, refused: 1 });
            return None;
        }
        let evicted = Rc::new(Notify::new());
        let entry = Entry { phase: Phase::Idle, since: now, evicted: Rc::clone(&evicted) };
        let key = self.state.borrow_mut().entries.insert(entry);
        Some(CallerConnection { list: Rc::clone(self), key, evicted })
    }

    fn is_full(&self) -> bool {
        let state = self.state.borrow();
        let open = state.entries.len();
        open >= self.limits.open || open - state.serving >= self.limits.unfinished
    }

    /// Evicts the connection whose request body has been read for longest, if it is for longer than `time`; returns whether
    /// there was one.
    pub fn evict_stalled(&self, now: Moment, time: Duration) -> bool {
        self.evict(|entry| entry.phase == Phase::Receiving && now > entry.since + time)
    }

    fn evict(&self, is_candidate: impl Fn(&Entry) -> bool) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.oldest(is_candidate).and_then(|key| state.remove(key)) else {
            return false;
        };
        entry.evicted.notify_one();
        drop(state);
        self.record_ended(EndedConnections { evicted: 1, refused: 0 });
        true
    }

    fn record_ended(&self, more: EndedConnections) {
        let EndedConnections { evicted, refused } = self.ended.get();
        let (evicted, refused) = (evicted + more.evicted, refused + more.refused);
        self.ended.set(EndedConnections { evicted, refused });
    }

    /// Returns the number of open connections, and of those with a whole request.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.borrow();
        (state.entries.len(), state.serving)
    }

    /// Returns the connections that ended to keep the limits.
    pub fn ended(&self) -> EndedConnections {
        self.ended.get()
    }

    /// Returns those that ended since the last log line; `None` if there are none, or the next line is not due yet.
    pub fn take_unlogged(&self, now: Moment) -> Option<EndedConnections> {
        let (told, last) = self.logged.get();
        let all = self.ended.get();
        if all == told || last.is_some_and(|last| now < last + LOG_INTERVAL) {
            return None;
        }
        self.logged.set((all, Some(now)));
        let (evicted, refused) = (all.evicted - told.evicted, all.refused - told.refused);
        Some(EndedConnections { evicted, refused })
    }
}

impl CallerConnection {
    /// Records that the head of a request was read.
    pub fn begin_request(&self, now: Moment) {
        self.list.state.borrow_mut().set_phase(self.key, Phase::Receiving, now);
    }

    /// Records that a request was read whole.
    pub fn begin_serving(&self, now: Moment) {
        self.list.state.borrow_mut().set_phase(self.key, Phase::Serving, now);
    }

    /// Records that all responses are written.
    pub fn end_request(&self, now: Moment) {
        self.list.state.borrow_mut().set_phase(self.key, Phase::Idle, now);
    }

    /// Returns once the connection has to end.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let _evicted = self.list.state.borrow_mut().remove(self.key);
    }
}
