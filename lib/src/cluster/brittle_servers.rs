//! Servers that fail if they have to turn away too many requests in a second.
//!
//! A daemon has a share of the requests that such a server may turn away. Its requests without a response and those that
//! were turned away in the last second are no more than its share together, so that all daemons stay within the limit
//! without knowing how much room the server has. An estimate of the room keeps most requests from being turned away.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;

/// Time for which a refusal counts: the second over which servers count, and some time on the way.
const REFUSAL_TIME: Duration = Duration::from_millis(1200);
/// Time without a refusal after which the estimate of a server's room grows by one request.
const GROWTH_INTERVAL: Duration = Duration::from_secs(2);
/// A server that has not said so for this long is asked anew. Daemons without a share hear nothing from it.
const EXPIRY: Duration = Duration::from_secs(10);
/// Time between checks whether an unanswered request got its response.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct Entry {
    /// Requests that the server may turn away in a second.
    limit: u32,
    said_at: Moment,
    /// When the server last said so to this daemon itself.
    heard_at: Option<Moment>,
    /// When it turned requests of this daemon away, within `REFUSAL_TIME`.
    refusals: VecDeque<Moment>,
    /// Requests of this daemon that the server has, as far as known.
    running: u32,
    /// Those of them without a response, which it may still turn away.
    unanswered: u32,
    /// Requests of this daemon that the server has had room for; `None` before the first refusal.
    room: Option<u32>,
    /// When the estimate of the room last changed.
    room_at: Moment,
}

impl Entry {
    /// Returns the time until one more request may be sent, of a `share` of the refusals.
    fn wait(&mut self, share: u32, now: Moment) -> Duration {
        while self.refusals.front().is_some_and(|at| now >= *at + REFUSAL_TIME) {
            self.refusals.pop_front();
        }
        if let Some(room) = self.room.filter(|_| now >= self.room_at + GROWTH_INTERVAL) {
            self.room = Some(room.saturating_add(1));
            self.room_at = now;
        }
        if self.running >= self.room.unwrap_or(u32::MAX).max(1) {
            return CHECK_INTERVAL;
        }
        let used = self.unanswered + self.refusals.len() as u32;
        match self.refusals.front() {
            _ if used < share => Duration::ZERO,
            Some(oldest) if self.unanswered == 0 => (*oldest + REFUSAL_TIME).saturating_sub(now),
            _ => CHECK_INTERVAL,
        }
    }
}

/// The servers that say that they are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleServers {
    entries: Rc<RefCell<HashMap<ServerInstance, Entry>>>,
}

/// A request at a brittle server; it counts until this is dropped.
#[derive(Debug)]
pub struct BrittleSend {
    servers: BrittleServers,
    server: ServerInstance,
    is_answered: bool,
}

impl BrittleSend {
    /// Records the head of the response.
    pub fn mark_answered(&mut self) {
        if !self.is_answered {
            self.is_answered = true;
            self.update(|entry| entry.unanswered = entry.unanswered.saturating_sub(1));
        }
    }

    fn update(&self, f: impl FnOnce(&mut Entry)) {
        self.servers.entries.borrow_mut().get_mut(&self.server).map(f);
    }
}

impl BrittleServers {
    /// Records what a response says: the limit of a brittle server, or that it is not brittle.
    pub fn record_response(&self, server: &ServerInstance, limit: Option<u32>, now: Moment) {
        let mut entries = self.entries.borrow_mut();
        let Some(limit) = limit else {
            entries.remove(server);
            return;
        };
        let entry = entries.entry(server.clone()).or_default();
        entry.limit = limit;
        entry.said_at = now;
        entry.heard_at = Some(now);
    }

    /// Records a limit that a server told a peer, unless it told this daemon lately.
    pub fn record_peer(&self, server: &ServerInstance, limit: u32, now: Moment) {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(server.clone()).or_default();
        entry.said_at = now;
        if entry.heard_at.is_none_or(|heard| now > heard + EXPIRY) {
            entry.limit = limit;
        }
    }

    /// Returns the limits that servers told this daemon lately, for its peers.
    pub fn own_limits(&self, now: Moment) -> Vec<(ServerInstance, u32)> {
        let entries = self.entries.borrow();
        let is_own = |entry: &Entry| entry.heard_at.is_some_and(|heard| now <= heard + EXPIRY);
        let own = entries.iter().filter(|(_, entry)| is_own(entry));
        own.map(|(server, entry)| (server.clone(), entry.limit)).collect()
    }

    /// Records that a server turned a request away.
    pub fn record_refusal(&self, server: &ServerInstance, now: Moment) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(server) {
            entry.refusals.push_back(now);
            // The request that was turned away still counts.
            let accepted = entry.running.saturating_sub(1);
            entry.room = Some(entry.room.map_or(accepted, |room| room.min(accepted)).max(1));
            entry.room_at = now;
        }
    }

    /// Counts a request that is sent now; returns `None` if the server is not brittle.
    pub fn begin_send(&self, server: &ServerInstance) -> Option<BrittleSend> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(server)?;
        entry.running += 1;
        entry.unanswered += 1;
        Some(BrittleSend { servers: self.clone(), server: server.clone(), is_answered: false })
    }

    /// Returns the number of requests that the server may turn away in a second; `None` if it is not brittle.
    pub fn limit(&self, server: &ServerInstance) -> Option<u32> {
        self.entries.borrow().get(server).map(|entry| entry.limit)
    }

    /// Calls `set_wait` with each brittle server and the time until it may get a request of this daemon, which is one of
    /// `daemons`. The time is `None` if only other daemons send to it; `is_sender` tells whether this one is among a
    /// number of daemons that do. Servers that may get one now are left out.
    pub fn visit_waits(
        &self,
        now: Moment,
        daemons: usize,
        is_sender: impl Fn(&ServerInstance, usize) -> bool,
        mut set_wait: impl FnMut(&ServerInstance, Option<Duration>),
    ) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, entry| now <= entry.said_at + EXPIRY);
        for (server, entry) in entries.iter_mut() {
            let limit = entry.limit.max(1) as usize;
            if limit < daemons && !is_sender(server, limit) {
                set_wait(server, None);
                continue;
            }
            let wait = entry.wait((limit / daemons.max(1)).max(1) as u32, now);
            if !wait.is_zero() {
                set_wait(server, Some(wait));
            }
        }
    }

    /// Forgets instances that are not `known`.
    pub fn retain(&self, known: impl Fn(&ServerInstance) -> bool) {
        self.entries.borrow_mut().retain(|server, _| known(server));
    }
}

impl Drop for BrittleSend {
    fn drop(&mut self) {
        self.mark_answered();
        self.update(|entry| entry.running = entry.running.saturating_sub(1));
    }
}
