//! Quarantine: records which requests servers had when they crashed, and holds a request back once it is
//! suspected of several crashes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::quarantine_report::CrashId;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::request_exposures::is_exposed;
use crate::cluster::server_instance::ServerInstance;

/// Number of suspected crashes after which a request is held, if it is the only suspect of at least one, or the others
/// of one are suspected of fewer.
pub(super) const SOLE_SUSPECT_CRASHES: usize = 3;
/// Number of suspected crashes after which a request is held that was just answered, if it is the only or the most suspected
/// one: one less than there may be, as another copy may be under way.
const IN_USE_CRASHES: usize = 4;
/// Number of suspected crashes after which a request is held, if each has other suspects of as many as well.
pub(super) const JOINT_SUSPECT_CRASHES: usize = 5;
/// Number of crashes at any stage after which a request is tried.
pub(super) const EXPOSED_CRASHES: usize = 2;
/// Time within which all reachable daemons have reported which requests a server had when it crashed.
const CRASH_REPORT_TIME: Duration = Duration::from_millis(100);
/// Other suspects of a crash that did not cause it get an event from another server within this time of
/// the crash.
pub(super) const SUSPECT_CLEAR_TIME: Duration = Duration::from_millis(500);
/// A request is held until callers have made no attempt at it for this long.
pub const HOLD_TIME: Duration = Duration::from_hours(1);
/// How long crashes and cleared suspects are remembered; long enough for callers that retry rarely.
pub const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// How long a new fact is reported to peers. This takes ten digests: packet loss alone does not explain that a
/// reachable peer misses all of them.
pub(super) const REPORT_TIME: Duration = Duration::from_secs(3);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Maximum number of requests that are remembered for each crash, and of held and of cleared ones.
const MAX_REQUESTS: usize = 1024;
/// Maximum number of requests that are remembered as answered: those of a minute.
const MAX_ANSWERED: usize = 4096;

/// A server's crash, and the requests that it had.
#[derive(Debug)]
pub(super) struct Crash {
    /// When it happened, by the earliest report.
    pub at: Moment,
    /// Whether a running process detected it; `false` if it is known from the store only.
    pub is_live: bool,
    /// When this daemon last learned of the crash or of another of its requests.
    pub updated_at: Moment,
    /// The most suspicious stage of this daemon's own requests; `None` if it did not detect the crash.
    pub own_stage: Option<CrashStage>,
    pub requests: BTreeMap<Fingerprint, CrashStage>,
    /// The most suspicious stage of all its requests, including those cleared since.
    pub worst_stage: CrashStage,
}

impl Crash {
    /// Returns whether this daemon detected it.
    pub fn is_own(&self) -> bool {
        self.own_stage.is_some()
    }

    /// Returns whether it had the request and none of its other requests was at a more suspicious stage.
    fn has_worst(&self, fingerprint: &Fingerprint) -> bool {
        let stage = self.requests.get(fingerprint);
        stage.is_some_and(|stage| stage.rank() == self.worst_stage.rank())
    }
}

/// What is known of requests that crash servers.
///
/// Reports can be merged in any order, and a repeated one changes nothing, so that a crash detected by two daemons
/// counts once.
#[derive(Debug, Default)]
pub struct Quarantine {
    pub(super) crashes: HashMap<CrashId, Crash>,
    /// Requests that reached a stage of progress without a crash, and when.
    pub(super) cleared: HashMap<(Fingerprint, RequestProgress), Moment>,
    /// Requests that were answered whole, and when: crashes of before may be reported, or read from the store, later.
    answered: HashMap<Fingerprint, Moment>,
    /// Held requests, and the time of each one's last attempt by a caller.
    pub(super) held: HashMap<Fingerprint, Moment>,
    /// Mean run time of requests.
    pub(super) run_time: Duration,
}

impl Quarantine {
    /// Records that a server crashed with a request that was sent to it at `sent`. Returns whether the request is held
    /// from now on.
    pub fn record_crash(
        &mut self,
        server: &ServerInstance,
        sent: Moment,
        fingerprint: Fingerprint,
        stage: CrashStage,
        now: Moment,
    ) -> bool {
        let id = self.crash_after(server, sent);
        self.merge_crash(&id, now, &[(fingerprint, stage)], now);
        if let Some(crash) = self.crashes.get_mut(&id) {
            crash.own_stage = Some(crash.own_stage.map_or(stage, |known| known.min(stage)));
            crash.is_live = true;
        }
        self.evaluate(fingerprint, now)
    }

    /// Returns whether a server is known to have crashed after `sent`, when a request was sent to it.
    pub fn has_crashed(&self, server: &ServerInstance, sent: Moment) -> bool {
        self.crashes.contains_key(&self.crash_after(server, sent))
    }

    /// Returns the id of a server's first crash after `sent`, whether or not that crash is known.
    pub fn crash_after(&self, server: &ServerInstance, sent: Moment) -> CrashId {
        let mut id = CrashId { server: server.clone(), earlier: 0 };
        while self.crashes.get(&id).is_some_and(|crash| crash.at < sent) {
            id.earlier += 1;
        }
        id
    }

    /// Records that a server progressed with a request without a crash, which clears the request of crashes at earlier
    /// stages. Returns whether that changed anything.
    pub fn record_progress(
        &mut self,
        fingerprint: Fingerprint,
        progress: RequestProgress,
        now: Moment,
    ) -> bool {
        if progress == RequestProgress::Complete {
            self.record_answered(fingerprint, now);
        }
        let is_released =
            progress == RequestProgress::Complete && self.held.contains_key(&fingerprint);
        // A later crash voids what an event cleared, but not what a whole answer did.
        let survival = self.survival(&fingerprint);
        let is_beyond = |c: &Crash| {
            let stage = c.requests.get(&fingerprint);
            stage.is_some_and(|stage| progress.clears(*stage))
                && (self.is_suspect(&fingerprint, c) || is_exposed(&fingerprint, c, &survival))
        };
        let is_cleared = |c: &Crash| {
            let is_whole = progress == RequestProgress::Complete;
            is_whole && c.requests.contains_key(&fingerprint) || is_beyond(c)
        };
        let is_change = is_released || self.crashes.values().any(is_cleared);
        if is_change {
            self.clear_at(fingerprint, progress, now);
        }
        is_change
    }

    /// Returns when a request was last answered whole, here or at a daemon that knows of a crash with it.
    pub fn answered_at(&self, fingerprint: &Fingerprint) -> Option<Moment> {
        let whole = self.cleared.get(&(*fingerprint, RequestProgress::Complete));
        self.answered.get(fingerprint).max(whole).copied()
    }

    pub(super) fn record_answered(&mut self, fingerprint: Fingerprint, at: Moment) {
        let is_full = self.answered.len() >= MAX_ANSWERED;
        if is_full && !self.answered.contains_key(&fingerprint) {
            let oldest = self.answered.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|fingerprint| self.answered.remove(&fingerprint));
        }
        let known = self.answered.entry(fingerprint).or_insert(at);
        *known = (*known).max(at);
    }

    /// Returns the crashes that a request is suspected of.
    pub fn suspected_crashes(&self, fingerprint: &Fingerprint) -> Vec<&CrashId> {
        let crashes = self.crashes.iter().filter(|(_, crash)| self.is_suspect(fingerprint, crash));
        crashes.map(|(id, _)| id).collect()
    }

    pub(super) fn is_suspect(&self, fingerprint: &Fingerprint, crash: &Crash) -> bool {
        crash.has_worst(fingerprint) && !self.is_cleared(fingerprint, crash)
    }

    /// Returns whether a request has progressed beyond the stage of a crash since, and is no suspect of a later crash.
    /// The latter matters for requests whose servers crash near the first event: these progress further now and then.
    fn is_cleared(&self, fingerprint: &Fingerprint, crash: &Crash) -> bool {
        let Some(stage) = crash.requests.get(fingerprint) else { return true };
        let clearing = RequestProgress::ALL.iter().filter(|progress| progress.clears(*stage));
        let newest =
            clearing.filter_map(|progress| self.cleared.get(&(*fingerprint, *progress))).max();
        let crashed_again = |since: &Moment| {
            self.crashes.values().any(|c| c.at > *since && c.has_worst(fingerprint))
        };
        newest.is_some_and(|at| *at >= crash.at && !crashed_again(at))
    }

    /// Returns whether a crash has only one suspect: all other requests progressed further since, or there were none.
    /// `false` until `CRASH_REPORT_TIME` has passed and all reachable daemons have reported.
    fn has_sole_suspect(&self, crash: &Crash, now: Moment) -> bool {
        let suspects =
            crash.requests.keys().filter(|fingerprint| self.is_suspect(fingerprint, crash));
        now >= crash.at + CRASH_REPORT_TIME && suspects.take(2).count() == 1
    }

    /// Returns whether a request is suspected of more crashes than every other suspect of one of them, which its other
    /// suspects had time to be cleared of. Some never are, because their callers do not send them again.
    ///
    /// `false` until all reachable daemons have reported the last of its crashes, which others may share.
    fn is_most_suspected(
        &self,
        fingerprint: &Fingerprint,
        crashes: &[&Crash],
        now: Moment,
    ) -> bool {
        let is_reported = |crash: &&Crash| now >= crash.at + CRASH_REPORT_TIME;
        let count = |fingerprint: &Fingerprint| self.suspected_crashes(fingerprint).len();
        let is_most = |crash: &&Crash| {
            let mut others = crash.requests.keys().filter(|other| *other != fingerprint);
            now >= crash.at + SUSPECT_CLEAR_TIME
                && others
                    .all(|other| !self.is_suspect(other, crash) || count(other) < crashes.len())
        };
        crashes.iter().all(is_reported) && crashes.iter().any(is_most)
    }

    /// Holds a request if it is suspected of enough crashes; returns whether it is held from now on.
    pub fn evaluate(&mut self, fingerprint: Fingerprint, now: Moment) -> bool {
        let suspected = self.crashes.values().filter(|crash| self.is_suspect(&fingerprint, crash));
        let crashes: Vec<&Crash> = suspected.collect();
        let is_sole = || crashes.iter().any(|crash| self.has_sole_suspect(crash, now));
        let is_in_use = self.is_in_use(&fingerprint, now);
        let least = if is_in_use { IN_USE_CRASHES } else { SOLE_SUSPECT_CRASHES };
        let is_proven = || {
            crashes.len() >= JOINT_SUSPECT_CRASHES
                || crashes.len() >= least
                    && (is_sole() || self.is_most_suspected(&fingerprint, &crashes, now))
        };
        // What cleared the request of stored crashes may have ended with the processes that saw it.
        let has_live = crashes.iter().any(|crash| crash.is_live);
        let must_hold = has_live && is_proven() || self.is_outlived(&fingerprint, now);
        must_hold && self.hold(fingerprint, now)
    }

    /// Returns how long to delay a request that may be held after one more crash: other suspects of its last crash may
    /// be cleared meanwhile.
    pub fn decision_delay(&self, fingerprint: &Fingerprint, now: Moment) -> Duration {
        let suspected = self.crashes.values().filter(|crash| self.is_suspect(fingerprint, crash));
        let delay = |crashes: Vec<&Crash>| {
            let newest = crashes.iter().map(|crash| crash.at).max();
            let newest = newest.filter(|_| crashes.len() + 1 >= SOLE_SUSPECT_CRASHES);
            newest.map_or(Duration::ZERO, |at| (at + SUSPECT_CLEAR_TIME).saturating_sub(now))
        };
        let of_exposures = self.exposure_delay(fingerprint, now);
        delay(suspected.collect()).max(of_exposures)
    }

    /// Returns the crashes that a request is suspected of, or that it has not survived.
    pub fn open_crash_ids(&self, fingerprint: &Fingerprint) -> Vec<&CrashId> {
        let survival = self.survival(fingerprint);
        let is_counted = |crash: &Crash| {
            self.is_suspect(fingerprint, crash) || is_exposed(fingerprint, crash, &survival)
        };
        let counted = self.crashes.iter().filter(|(_, crash)| is_counted(crash));
        counted.map(|(id, _)| id).collect()
    }

    /// Returns whether a request is tried, one copy at a time: it is among the most suspicious of a crash, or was at a server
    /// during several.
    pub fn is_tried(&self, fingerprint: &Fingerprint) -> bool {
        !self.suspected_crashes(fingerprint).is_empty()
            || self.exposures(fingerprint).len() >= EXPOSED_CRASHES
    }

    /// Returns whether a request is held and must not be sent to any server; the call restarts its [`HOLD_TIME`].
    pub fn is_held(&mut self, fingerprint: &Fingerprint, now: Moment) -> bool {
        let held = self.held.get_mut(fingerprint);
        held.map(|last_attempt| *last_attempt = now).is_some()
    }

    /// Returns the held requests.
    pub fn held(&self) -> impl Iterator<Item = &Fingerprint> {
        self.held.keys()
    }

    /// Removes expired records; returns the requests that are no longer held.
    pub fn sweep(&mut self, now: Moment) -> Vec<Fingerprint> {
        self.crashes.retain(|_, crash| now <= crash.at + CRASH_RETENTION);
        self.cleared.retain(|_, at| now <= *at + CRASH_RETENTION);
        self.answered.retain(|_, at| now <= *at + CRASH_RETENTION);
        let expired = self.held.extract_if(|_, last_attempt| now > *last_attempt + HOLD_TIME);
        expired.map(|(fingerprint, _)| fingerprint).collect()
    }

    pub(super) fn merge_crash(
        &mut self,
        id: &CrashId,
        at: Moment,
        requests: &[(Fingerprint, CrashStage)],
        now: Moment,
    ) {
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(id) {
            let oldest = self.crashes.iter().min_by_key(|(_, c)| c.at).map(|(id, _)| id.clone());
            oldest.and_then(|id| self.crashes.remove(&id));
        }
        let (answered, cleared) = (&self.answered, &self.cleared);
        let crash = self.crashes.entry(id.clone()).or_insert_with(|| Crash {
            at,
            is_live: false,
            updated_at: now,
            own_stage: None,
            requests: BTreeMap::new(),
            worst_stage: CrashStage::Unanswered,
        });
        crash.at = crash.at.min(at);
        for (fingerprint, stage) in requests {
            crash.worst_stage = crash.worst_stage.min(*stage);
            let answered = answered.get(fingerprint).copied();
            let whole = cleared.get(&(*fingerprint, RequestProgress::Complete)).copied();
            let is_cleared = answered.max(whole).is_some_and(|at| at >= crash.at);
            if is_cleared || crash.requests.len() >= MAX_REQUESTS {
                continue;
            }
            let known = crash.requests.entry(*fingerprint).or_insert_with(|| {
                crash.updated_at = now;
                *stage
            });
            *known = (*known).min(*stage);
        }
    }

    /// Holds a request whose last attempt by a caller was at `last_attempt`; returns whether it was not held before.
    pub fn hold(&mut self, fingerprint: Fingerprint, last_attempt: Moment) -> bool {
        if let Some(known) = self.held.get_mut(&fingerprint) {
            *known = (*known).max(last_attempt);
            return false;
        }
        if self.held.len() >= MAX_REQUESTS {
            let oldest =
                self.held.iter().min_by_key(|(_, at)| **at).map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|fingerprint| self.held.remove(&fingerprint));
        }
        self.held.insert(fingerprint, last_attempt);
        true
    }

    pub(super) fn clear_at(
        &mut self,
        fingerprint: Fingerprint,
        progress: RequestProgress,
        at: Moment,
    ) {
        if progress == RequestProgress::Complete {
            for crash in self.crashes.values_mut().filter(|c| c.at <= at) {
                crash.requests.remove(&fingerprint);
            }
            let later = self.crashes.values().filter(|c| c.requests.contains_key(&fingerprint));
            if later.count() < SOLE_SUSPECT_CRASHES {
                self.held.remove(&fingerprint);
            }
        }
        if self.cleared.len() < MAX_REQUESTS {
            let known = self.cleared.entry((fingerprint, progress)).or_insert(at);
            *known = (*known).max(at);
        }
    }
}
