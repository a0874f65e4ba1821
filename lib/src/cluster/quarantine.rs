//! Requests under which servers crashed. One that crashed several is sent to no server any more.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::quarantine_report::CrashId;
use crate::cluster::quarantine_report::CrashReport;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::quarantine_report::QuarantineReport;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::server_instance::ServerInstance;

/// Crashes that a request may cause before it is held, where it was the only suspect of one at least.
const CRASHES: usize = 3;
/// The same where others were as suspicious each time.
const CRASHES_AMONG: usize = 5;
/// Time in which all daemons in reach have told which requests a server had when it crashed.
const SETTLED: Duration = Duration::from_millis(100);
/// Others that began beside a request have an event elsewhere within this time of the crash, if they did not do it.
const DECIDED: Duration = Duration::from_millis(500);
/// A request is held until nobody has asked for it for this long.
pub const HOLD_TIME: Duration = Duration::from_hours(1);
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
    requests: BTreeMap<Fingerprint, CrashStage>,
    /// The most suspicious stage of all its requests, those cleared since included.
    worst: CrashStage,
}

impl Crash {
    /// Returns whether none of its requests was more suspicious.
    fn has_worst(&self, fingerprint: &Fingerprint) -> bool {
        self.requests.get(fingerprint) == Some(&self.worst)
    }
}

/// What is known of requests that crash servers. It merges as sets do: in any order, and the same word twice
/// changes nothing, so that two daemons that saw one crash count it once.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<CrashId, Crash>,
    /// Suspects that came further, and when.
    cleared: HashMap<(Fingerprint, RequestProgress), Moment>,
    /// Held requests, and when they were last asked for.
    held: HashMap<Fingerprint, Moment>,
}

impl Quarantine {
    /// Takes in that a server crashed while it had a request that it was `sent` before. Returns whether the request is
    /// held from now on.
    pub fn record_crash(
        &mut self,
        server: &ServerInstance,
        sent: Moment,
        fingerprint: Fingerprint,
        stage: CrashStage,
        now: Moment,
    ) -> bool {
        let requests = [(fingerprint, stage)];
        let id = self.crash_after(server, sent);
        self.take_crash(&id, now, &requests, true, now);
        self.evaluate(fingerprint, now)
    }

    /// Returns whether a server is known to have crashed after a request was `sent` to it.
    pub fn has_crashed(&self, server: &ServerInstance, sent: Moment) -> bool {
        self.crashes.contains_key(&self.crash_after(server, sent))
    }

    /// Returns the first crash of a server after `sent`, which may not be known yet.
    fn crash_after(&self, server: &ServerInstance, sent: Moment) -> CrashId {
        let mut id = CrashId { server: server.clone(), earlier: 0 };
        while self.crashes.get(&id).is_some_and(|crash| crash.at < sent) {
            id.earlier += 1;
        }
        id
    }

    /// Takes in that a server came further with a request: it did not crash those that came less far. Returns whether
    /// that is news.
    pub fn record_progress(
        &mut self,
        fingerprint: Fingerprint,
        passed: RequestProgress,
        now: Moment,
    ) -> bool {
        let is_released =
            passed == RequestProgress::Complete && self.held.contains_key(&fingerprint);
        let is_cleared = |c: &Crash| passed.clears(c.worst) && self.is_suspect(&fingerprint, c);
        let is_news = is_released || self.crashes.values().any(is_cleared);
        if is_news {
            self.clear_at(fingerprint, passed, now);
        }
        is_news
    }

    /// Returns the crashes that a request is believed to have caused.
    pub fn suspected_crashes(&self, fingerprint: &Fingerprint) -> Vec<&CrashId> {
        let crashes = self.crashes.iter().filter(|(_, crash)| self.is_suspect(fingerprint, crash));
        crashes.map(|(id, _)| id).collect()
    }

    fn is_suspect(&self, fingerprint: &Fingerprint, crash: &Crash) -> bool {
        crash.has_worst(fingerprint) && !self.has_passed(fingerprint, crash)
    }

    /// Returns whether a request came further than it had at a crash, and has crashed no server since. One whose servers
    /// crash about when its first event is due comes further now and then.
    fn has_passed(&self, fingerprint: &Fingerprint, crash: &Crash) -> bool {
        let passed = RequestProgress::ALL.iter().filter(|passed| passed.clears(crash.worst));
        let newest = passed.filter_map(|passed| self.cleared.get(&(*fingerprint, *passed))).max();
        let relapsed = |since: &Moment| {
            self.crashes.values().any(|c| c.at > *since && c.has_worst(fingerprint))
        };
        newest.is_some_and(|at| *at >= crash.at && !relapsed(at))
    }

    /// Returns whether a crash has one suspect only: all others came further, or there were none.
    fn is_solved(&self, crash: &Crash, now: Moment) -> bool {
        let suspects =
            crash.requests.keys().filter(|fingerprint| self.is_suspect(fingerprint, crash));
        now >= crash.at + SETTLED && suspects.take(2).count() == 1
    }

    /// Holds a request if what is known by now is enough; returns whether it is held from now on.
    pub fn evaluate(&mut self, fingerprint: Fingerprint, now: Moment) -> bool {
        let suspected = self.crashes.values().filter(|crash| self.is_suspect(&fingerprint, crash));
        let crashes: Vec<&Crash> = suspected.collect();
        let is_solved = || crashes.iter().any(|crash| self.is_solved(crash, now));
        let is_fatal = crashes.len() >= CRASHES_AMONG || crashes.len() >= CRASHES && is_solved();
        is_fatal && self.hold(fingerprint, now)
    }

    /// Returns how long to wait before a request that may crash one too many is sent.
    pub fn decision_delay(&self, fingerprint: &Fingerprint, now: Moment) -> Duration {
        let suspected = self.crashes.values().filter(|crash| self.is_suspect(fingerprint, crash));
        let times: Vec<Moment> = suspected.map(|crash| crash.at).collect();
        let newest = times.iter().max().filter(|_| times.len() + 1 >= CRASHES);
        newest.map_or(Duration::ZERO, |at| (*at + DECIDED).saturating_sub(now))
    }

    /// Returns whether a request may go to no server; asking for it keeps it held.
    pub fn is_held(&mut self, fingerprint: &Fingerprint, now: Moment) -> bool {
        let held = self.held.get_mut(fingerprint);
        held.map(|asked| *asked = now).is_some()
    }

    /// Returns the held requests.
    pub fn held(&self) -> impl Iterator<Item = &Fingerprint> {
        self.held.keys()
    }

    /// Returns what peers should know; a reader also tells what it heard from others.
    pub fn report(&self, now: Moment, is_reader: bool) -> QuarantineReport {
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
            CrashReport { id: id.clone(), age, worst: crash.worst, requests }
        };
        QuarantineReport {
            crashes: crashes.into_iter().take(TOLD).map(crash).collect(),
            cleared: newest(&self.cleared, now, TOLD_FOR),
            held: newest(&self.held, now, HOLD_TIME),
        }
    }

    /// Takes in what a peer knows; returns the requests that are held from now on.
    pub fn merge(&mut self, note: &QuarantineReport, now: Moment) -> Vec<Fingerprint> {
        for ((fingerprint, passed), age) in &note.cleared {
            self.clear_at(*fingerprint, *passed, now.saturating_sub(*age));
        }
        let mut held = Vec::new();
        for crash in &note.crashes {
            let at = now.saturating_sub(crash.age);
            self.take_crash(&crash.id, at, &crash.requests, false, now);
            if let Some(known) = self.crashes.get_mut(&crash.id) {
                known.worst = known.worst.min(crash.worst);
            }
            let fingerprints = crash.requests.iter().map(|(fingerprint, _)| *fingerprint);
            held.extend(fingerprints.filter(|fingerprint| self.evaluate(*fingerprint, now)));
        }
        for (fingerprint, age) in &note.held {
            let asked = now.saturating_sub(*age);
            let cleared = self.cleared.get(&(*fingerprint, RequestProgress::Complete));
            let is_cleared = cleared.is_some_and(|at| *at >= asked);
            if !is_cleared && self.hold(*fingerprint, asked) {
                held.push(*fingerprint);
            }
        }
        held
    }

    /// Forgets what is too old; returns the requests that are no longer held.
    pub fn sweep(&mut self, now: Moment) -> Vec<Fingerprint> {
        self.crashes.retain(|_, crash| now <= crash.at + KEPT_FOR);
        self.cleared.retain(|_, at| now <= *at + KEPT_FOR);
        let over = self.held.extract_if(|_, asked| now > *asked + HOLD_TIME);
        over.map(|(fingerprint, _)| fingerprint).collect()
    }

    fn take_crash(
        &mut self,
        id: &CrashId,
        at: Moment,
        requests: &[(Fingerprint, CrashStage)],
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
            worst: CrashStage::Other,
        });
        crash.at = crash.at.min(at);
        crash.is_own |= is_own;
        for (fingerprint, stage) in requests {
            crash.worst = crash.worst.min(*stage);
            let cleared = self.cleared.get(&(*fingerprint, RequestProgress::Complete));
            let is_cleared = cleared.is_some_and(|at| *at >= crash.at);
            if is_cleared || crash.requests.len() >= REQUESTS_KEPT {
                continue;
            }
            let known = crash.requests.entry(*fingerprint).or_insert_with(|| {
                crash.learned = now;
                *stage
            });
            *known = (*known).min(*stage);
        }
    }

    /// Holds a request that was last asked for then; returns whether it was not held before.
    pub fn hold(&mut self, fingerprint: Fingerprint, asked: Moment) -> bool {
        if let Some(known) = self.held.get_mut(&fingerprint) {
            *known = (*known).max(asked);
            return false;
        }
        if self.held.len() >= REQUESTS_KEPT {
            let oldest = self.held.iter().min_by_key(|(_, asked)| **asked).map(|(p, _)| *p);
            oldest.and_then(|p| self.held.remove(&p));
        }
        self.held.insert(fingerprint, asked);
        true
    }

    fn clear_at(&mut self, fingerprint: Fingerprint, passed: RequestProgress, at: Moment) {
        if passed == RequestProgress::Complete {
            self.held.remove(&fingerprint);
            for crash in self.crashes.values_mut().filter(|c| c.at <= at) {
                crash.requests.remove(&fingerprint);
            }
        }
        if self.cleared.len() < REQUESTS_KEPT {
            let known = self.cleared.entry((fingerprint, passed)).or_insert(at);
            *known = (*known).max(at);
        }
    }
}

/// The newest entries, with their ages.
fn newest<K: Copy>(all: &HashMap<K, Moment>, now: Moment, within: Duration) -> Vec<(K, Duration)> {
    let ages = all.iter().map(|(key, at)| (*key, now.saturating_sub(*at)));
    let mut fresh: Vec<_> = ages.filter(|(_, age)| *age <= within).collect();
    fresh.sort_by_key(|(_, age)| *age);
    fresh.truncate(TOLD);
    fresh
}
