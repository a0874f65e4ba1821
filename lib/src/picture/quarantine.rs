//! Requests under which servers crashed. One that crashed several is sent to no server any more.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::picture::fingerprint::Fingerprint;
use crate::picture::quarantine_note::CrashId;
use crate::picture::quarantine_note::CrashNote;
use crate::picture::quarantine_note::QuarantineNote;
use crate::picture::quarantine_note::Stage;
use crate::picture::server_start::ServerStart;

/// Starts of servers that a request may crash before it is held.
const CRASHES: usize = 3;
/// A request is held until nobody has asked for it for this long.
pub const HELD_FOR: Duration = Duration::from_hours(1);
/// What was learned of crashes counts for this long, for callers that come back rarely.
const KEPT_FOR: Duration = Duration::from_mins(10);
/// News is told for this long, in ten digests: loss alone does not explain that a peer in reach missed all.
const TOLD_FOR: Duration = Duration::from_secs(3);
/// Crashes that are remembered.
const CRASHES_KEPT: usize = 256;
/// Requests that are remembered for each, and held or cleared ones.
const REQUESTS_KEPT: usize = 1024;
/// Crashes in a digest, and requests of each of its lists.
const TOLD: usize = 16;

/// A server's crash, and the requests that it had.
#[derive(Debug)]
struct Crash {
    /// When it happened, by the earliest word.
    at: Moment,
    /// When this daemon learned of it or of more of its requests.
    learned: Moment,
    /// Whether this daemon saw it.
    is_own: bool,
    requests: BTreeMap<Fingerprint, Stage>,
    /// The most suspicious stage of all its requests, those cleared since included.
    worst: Stage,
}

impl Crash {
    fn suspects(&self, print: &Fingerprint) -> bool {
        self.requests.get(print) == Some(&self.worst)
    }
}

/// What is known of requests that crash servers. It merges as sets do: in any order, and the same word twice
/// changes nothing, so that two daemons that saw one crash count it once.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<CrashId, Crash>,
    /// Requests that had a whole answer, and when: earlier crashes do not count against them.
    cleared: HashMap<Fingerprint, Moment>,
    /// Held requests, and when they were last asked for.
    held: HashMap<Fingerprint, Moment>,
}

impl Quarantine {
    /// Takes in that a server crashed while it had a request that it was `sent` before. Returns whether the request is
    /// held from now on.
    pub fn crashed(
        &mut self,
        server: &ServerStart,
        sent: Moment,
        print: Fingerprint,
        stage: Stage,
        now: Moment,
    ) -> bool {
        let requests = [(print, stage)];
        let id = self.crash_after(server, sent);
        self.take_crash(&id, now, &requests, true, now);
        self.hold_suspects(requests.map(|(p, _)| p), now).contains(&print)
    }

    /// Returns whether a server is known to have crashed after a request was `sent` to it.
    pub fn has_crashed(&self, server: &ServerStart, sent: Moment) -> bool {
        self.crashes.contains_key(&self.crash_after(server, sent))
    }

    /// Returns the first crash of a server after `sent`, which may not be known yet.
    fn crash_after(&self, server: &ServerStart, sent: Moment) -> CrashId {
        let mut id = CrashId { server: server.clone(), earlier: 0 };
        while self.crashes.get(&id).is_some_and(|crash| crash.at < sent) {
            id.earlier += 1;
        }
        id
    }

    /// Takes in that a request had a whole answer: whatever crashed servers, it was not this one.
    pub fn clear(&mut self, print: Fingerprint, now: Moment) {
        let is_suspected = self.crashes.values().any(|c| c.requests.contains_key(&print));
        if is_suspected || self.held.contains_key(&print) {
            self.clear_at(print, now);
        }
    }

    /// Returns the crashes that a request is believed to have caused.
    pub fn crashed_by(&self, print: &Fingerprint) -> Vec<&CrashId> {
        let crashes = self.crashes.iter().filter(|(_, crash)| crash.suspects(print));
        crashes.map(|(id, _)| id).collect()
    }

    /// Returns whether a request may go to no server; asking for it keeps it held.
    pub fn is_held(&mut self, print: &Fingerprint, now: Moment) -> bool {
        let held = self.held.get_mut(print);
        held.map(|asked| *asked = now).is_some()
    }

    /// Returns the held requests.
    pub fn held(&self) -> impl Iterator<Item = &Fingerprint> {
        self.held.keys()
    }

    /// Holds a request on the word of the store.
    pub fn hold(&mut self, print: Fingerprint, now: Moment) {
        self.hold_since(print, now);
    }

    /// Returns what peers should know; a reader also tells what it heard from others.
    pub fn note(&self, now: Moment, is_reader: bool) -> QuarantineNote {
        let is_fresh = |since: Moment| now <= since + TOLD_FOR;
        let mut crashes: Vec<_> = self
            .crashes
            .iter()
            .filter(|(_, c)| is_fresh(c.learned) && (c.is_own || is_reader))
            .collect();
        crashes.sort_by_key(|(_, c)| std::cmp::Reverse(c.learned));
        let crash = |(id, crash): (&CrashId, &Crash)| {
            // Where too many are known to tell them all, the most suspicious ones are.
            let mut requests: Vec<_> = crash.requests.iter().map(|(p, s)| (*p, *s)).collect();
            requests.sort_by_key(|(_, stage)| *stage);
            requests.truncate(TOLD);
            let age = now.saturating_sub(crash.at);
            CrashNote { id: id.clone(), age, worst: crash.worst, requests }
        };
        QuarantineNote {
            crashes: crashes.into_iter().take(TOLD).map(crash).collect(),
            cleared: newest(&self.cleared, now, TOLD_FOR),
            held: newest(&self.held, now, HELD_FOR),
        }
    }

    /// Takes in what a peer knows; returns the requests that are held from now on.
    pub fn hear(&mut self, note: &QuarantineNote, now: Moment) -> Vec<Fingerprint> {
        for (print, age) in &note.cleared {
            self.clear_at(*print, now.saturating_sub(*age));
        }
        let mut held = Vec::new();
        for crash in &note.crashes {
            let at = now.saturating_sub(crash.age);
            self.take_crash(&crash.id, at, &crash.requests, false, now);
            if let Some(known) = self.crashes.get_mut(&crash.id) {
                known.worst = known.worst.min(crash.worst);
            }
            held.extend(self.hold_suspects(crash.requests.iter().map(|(p, _)| *p), now));
        }
        for (print, age) in &note.held {
            let asked = now.saturating_sub(*age);
            let is_cleared = self.cleared.get(print).is_some_and(|c| *c >= asked);
            if !is_cleared && self.hold_since(*print, asked) {
                held.push(*print);
            }
        }
        held
    }

    /// Forgets what is too old; returns the requests that are no longer held.
    pub fn sweep(&mut self, now: Moment) -> Vec<Fingerprint> {
        self.crashes.retain(|_, crash| now <= crash.at + KEPT_FOR);
        self.cleared.retain(|_, at| now <= *at + KEPT_FOR);
        let over = self.held.extract_if(|_, asked| now > *asked + HELD_FOR);
        over.map(|(print, _)| print).collect()
    }

    fn take_crash(
        &mut self,
        id: &CrashId,
        at: Moment,
        requests: &[(Fingerprint, Stage)],
        is_own: bool,
        now: Moment,
    ) {
        if self.crashes.len() >= CRASHES_KEPT && !self.crashes.contains_key(id) {
            let oldest = self.crashes.iter().min_by_key(|(_, c)| c.at).map(|(id, _)| id.clone());
            oldest.and_then(|id| self.crashes.remove(&id));
        }
        let crash = self.crashes.entry(id.clone()).or_insert_with(|| Crash {
            at,
            learned: now,
            is_own,
            requests: BTreeMap::new(),
            worst: Stage::Other,
        });
        crash.at = crash.at.min(at);
        crash.is_own |= is_own;
        for (print, stage) in requests {
            crash.worst = crash.worst.min(*stage);
            let is_cleared = self.cleared.get(print).is_some_and(|c| *c >= crash.at);
            if is_cleared || crash.requests.len() >= REQUESTS_KEPT {
                continue;
            }
            let known = crash.requests.entry(*print).or_insert_with(|| {
                crash.learned = now;
                *stage
            });
            *known = (*known).min(*stage);
        }
    }

    /// Holds those among `prints` that have crashed too many; returns them.
    fn hold_suspects(
        &mut self,
        prints: impl IntoIterator<Item = Fingerprint>,
        now: Moment,
    ) -> Vec<Fingerprint> {
        let is_fatal = |print: &Fingerprint| self.crashed_by(print).len() >= CRASHES;
        let fatal: Vec<_> = prints.into_iter().filter(is_fatal).collect();
        fatal.into_iter().filter(|print| self.hold_since(*print, now)).collect()
    }

    /// Holds a request; returns whether it was not held before.
    fn hold_since(&mut self, print: Fingerprint, asked: Moment) -> bool {
        if let Some(known) = self.held.get_mut(&print) {
            *known = (*known).max(asked);
            return false;
        }
        if self.held.len() >= REQUESTS_KEPT {
            let oldest = self.held.iter().min_by_key(|(_, asked)| **asked).map(|(p, _)| *p);
            oldest.and_then(|p| self.held.remove(&p));
        }
        self.held.insert(print, asked);
        true
    }

    fn clear_at(&mut self, print: Fingerprint, at: Moment) {
        for crash in self.crashes.values_mut().filter(|c| c.at <= at) {
            crash.requests.remove(&print);
        }
        self.held.remove(&print);
        if self.cleared.len() < REQUESTS_KEPT {
            let known = self.cleared.entry(print).or_insert(at);
            *known = (*known).max(at);
        }
    }
}

/// The newest of some requests, with their ages.
fn newest(
    all: &HashMap<Fingerprint, Moment>,
    now: Moment,
    within: Duration,
) -> Vec<(Fingerprint, Duration)> {
    let ages = all.iter().map(|(print, at)| (*print, now.saturating_sub(*at)));
    let mut fresh: Vec<_> = ages.filter(|(_, age)| *age <= within).collect();
    fresh.sort_by_key(|(_, age)| *age);
    fresh.truncate(TOLD);
    fresh
}
