//! All crashes of servers that had a request, however far they had come with it.
//!
//! A request that crashes servers before the head of the response, or late in a stream, is less suspicious than others at each
//! crash, but it is at all of them and never answered whole.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::quarantine::Crash;
use crate::cluster::quarantine::EXPOSED_CRASHES;
use crate::cluster::quarantine::JOINT_SUSPECT_CRASHES;
use crate::cluster::quarantine::Quarantine;
use crate::cluster::quarantine::SOLE_SUSPECT_CRASHES;
use crate::cluster::quarantine::SUSPECT_CLEAR_TIME;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::survival::Survival;

/// Mean run times within which most copies that are sent after a crash are answered whole.
const CLEAR_RUNS: u32 = 2;
/// Limit on that time.
const MAX_CLEAR_TIME: Duration = Duration::from_secs(4);
/// Time after a whole answer during which a request counts as one in use.
const ANSWERED_TRUST: Duration = Duration::from_mins(1);

impl Quarantine {
    /// Returns the crashes of servers that had a request, which did not survive since, unless another held request explains
    /// them.
    pub(super) fn exposures(&self, fingerprint: &Fingerprint) -> Vec<&Crash> {
        let survival = self.survival(fingerprint);
        let exposed = self.crashes.values().filter(|c| is_exposed(fingerprint, c, &survival));
        exposed.filter(|crash| !self.is_explained(fingerprint, crash)).collect()
    }

    /// Returns how far a request got.
    pub(super) fn survival(&self, fingerprint: &Fingerprint) -> Survival {
        let passed_at = |progress| self.cleared.get(&(*fingerprint, progress)).copied();
        let exposed = |c: &Crash| Some((c.at, *c.requests.get(fingerprint)?));
        Survival::new(passed_at, self.crashes.values().filter_map(exposed))
    }

    /// Returns whether another request is held, and a server had it when it crashed, that was not at all crashes with this one.
    fn is_explained(&self, fingerprint: &Fingerprint, crash: &Crash) -> bool {
        let has = |crash: &Crash, print| crash.requests.contains_key(print);
        let others = crash.requests.keys().filter(|other| *other != fingerprint);
        let mut held = others.filter(|other| self.held.contains_key(*other));
        held.any(|other| {
            self.crashes.values().any(|crash| has(crash, other) && !has(crash, fingerprint))
        })
    }

    /// Records the mean run time of requests, within which a response becomes whole.
    pub fn set_run_time(&mut self, mean: Duration) {
        self.run_time = mean;
    }

    /// Returns the time within which a request is cleared of a crash at a stage, unless it crashes servers.
    fn clear_time(&self, stage: Option<&CrashStage>) -> Duration {
        if stage == Some(&CrashStage::Streaming) {
            (self.run_time * CLEAR_RUNS).clamp(SUSPECT_CLEAR_TIME, MAX_CLEAR_TIME)
        } else {
            SUSPECT_CLEAR_TIME
        }
    }

    /// Returns how long to delay a request that was at a server during several crashes: until it is decided, if these may
    /// suffice.
    pub(super) fn exposure_delay(&self, fingerprint: &Fingerprint, now: Moment) -> Duration {
        let crashes = self.exposures(fingerprint);
        if crashes.len() < EXPOSED_CRASHES {
            return Duration::ZERO;
        }
        let may_suffice = crashes.len() >= SOLE_SUSPECT_CRASHES;
        let delay = |crash: &&Crash| {
            let stage = crash.requests.get(fingerprint).filter(|_| may_suffice);
            (crash.at + self.clear_time(stage)).saturating_sub(now)
        };
        crashes.iter().map(delay).max().unwrap_or_default()
    }

    /// Returns whether a request was at a server during so many crashes, and not answered since, that it must have caused them:
    /// each other request of one of them was at fewer, or is less suspicious, and a more suspicious one explains not all.
    pub(super) fn is_outlived(&self, fingerprint: &Fingerprint, now: Moment) -> bool {
        let crashes = self.exposures(fingerprint);
        let is_due =
            |crash: &&Crash| now >= crash.at + self.clear_time(crash.requests.get(fingerprint));
        let is_in_use = self.is_in_use(fingerprint, now);
        let least = if is_in_use { JOINT_SUSPECT_CRASHES } else { SOLE_SUSPECT_CRASHES };
        crashes.len() >= least
            && crashes.iter().any(|crash| crash.is_live)
            && crashes.iter().all(is_due)
            && crashes.iter().any(|crash| self.is_most_exposed(fingerprint, crash, crashes.len()))
            && (crashes.len() >= JOINT_SUSPECT_CRASHES
                || !crashes.iter().all(|crash| self.is_overshadowed(fingerprint, crash)))
    }

    /// Returns the requests of some crashes that were answered whole shortly before, and how long ago: other daemons may not have
    /// answered them.
    pub(super) fn in_use(
        &self,
        is_reported: impl Fn(&Crash) -> bool,
        now: Moment,
    ) -> Vec<((Fingerprint, RequestProgress), Duration)> {
        let crashes = self.crashes.values().filter(|crash| crash.is_live && is_reported(crash));
        let requests: BTreeSet<_> = crashes.flat_map(|crash| crash.requests.keys()).collect();
        let age = |print: &Fingerprint| Some(now.saturating_sub(self.answered_at(print)?));
        let ages = requests.into_iter().filter_map(|print| Some((*print, age(print)?)));
        let recent = ages.filter(|(_, age)| *age <= ANSWERED_TRUST);
        recent.map(|(print, age)| ((print, RequestProgress::Complete), age)).collect()
    }

    /// Returns whether a request was just answered: it is sent often, and so is at many servers that crash.
    pub(super) fn is_in_use(&self, fingerprint: &Fingerprint, now: Moment) -> bool {
        self.answered_at(fingerprint).is_some_and(|at| now <= at + ANSWERED_TRUST)
    }

    /// Returns whether a more suspicious request is not cleared of a crash, and of others.
    fn is_overshadowed(&self, fingerprint: &Fingerprint, crash: &Crash) -> bool {
        let rank = |stage: &CrashStage| stage.rank();
        let own_rank = crash.requests.get(fingerprint).map_or(u8::MAX, rank);
        let mut others = crash.requests.iter();
        others.any(|(other, stage)| {
            stage.rank() < own_rank
                && self.is_suspect(other, crash)
                && self.suspected_crashes(other).len() >= EXPOSED_CRASHES
        })
    }

    fn is_most_exposed(&self, fingerprint: &Fingerprint, crash: &Crash, count: usize) -> bool {
        let rank = |stage: Option<&CrashStage>| stage.map_or(u8::MAX, |stage| stage.rank());
        let own_rank = rank(crash.requests.get(fingerprint));
        let mut others = crash.requests.iter().filter(|(other, _)| *other != fingerprint);
        others.all(|(other, stage)| {
            let other_count = self.exposures(other).len();
            other_count < count || other_count == count && own_rank < rank(Some(stage))
        })
    }
}

/// Returns whether a server had a request when it crashed, and none survived since.
pub(super) fn is_exposed(fingerprint: &Fingerprint, crash: &Crash, survival: &Survival) -> bool {
    let stage = crash.requests.get(fingerprint);
    stage.is_some_and(|stage| !survival.covers(crash.at, *stage))
}
