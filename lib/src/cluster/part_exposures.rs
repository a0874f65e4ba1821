//! All crashes of servers that had a request with a prompt part, however far they had come with it.
//!
//! The most suspicious stage of a crash is that of the requests that had just begun, but a part may crash servers before the
//! head of the response or late in a stream. What shows it then is the count: a fatal part is never answered whole.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::part_quarantine::CLEAR_TIME;
use crate::cluster::part_quarantine::MAX_TRUSTED_CRASHES;
use crate::cluster::part_quarantine::PartQuarantine;
use crate::cluster::part_quarantine::SERVED_TRUST;
use crate::cluster::part_quarantine::SUSPECT_CRASHES;
use crate::cluster::part_verdicts::MIN_REQUESTS;
use crate::cluster::part_verdicts::MIN_SPREAD;
use crate::cluster::part_verdicts::SOLE_SUSPECT_CRASHES;
use crate::cluster::prompt_crash::PromptCrash;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::survival::Survival;

/// Number of crashes after which a part is held though others, of other prompts, were at as many.
const JOINT_CRASHES: usize = 5;
/// Mean run times within which most streams that begin after a crash are whole.
const CLEAR_RUNS: u32 = 2;
/// Limit on that time: a fatal part may crash further servers until it is held.
const MAX_CLEAR_TIME: Duration = Duration::from_secs(4);

impl PartQuarantine {
    /// Returns the crashes of servers that had a request with a part that did not survive since, unless another held part
    /// explains them.
    pub(super) fn exposures(&self, part: &PromptPart) -> Vec<&PromptCrash> {
        let survival = self.survival(part);
        let exposed = self.crashes.values().filter(|crash| is_exposed(part, crash, &survival));
        exposed.filter(|crash| !self.is_explained_by_hold(part, crash)).collect()
    }

    /// Returns how far requests with a part got.
    pub(super) fn survival(&self, part: &PromptPart) -> Survival {
        let passed_at = |progress| Some(self.cleared.get(&(part.clone(), progress))?.passed_at);
        let crashes = self.crashes.values();
        Survival::new(passed_at, crashes.filter_map(|c| Some((c.at, c.stage_of(part)?))))
    }

    /// Returns whether no request with any of a crash's parts survived it; each part's survival is computed once.
    pub(super) fn has_open_exposure(
        &self,
        crash: &PromptCrash,
        survivals: &mut HashMap<PromptPart, Survival>,
    ) -> bool {
        let mut parts = crash.all_parts();
        parts.any(|part| {
            let survival = *survivals.entry(part.clone()).or_insert_with(|| self.survival(&part));
            is_exposed(&part, crash, &survival)
        })
    }

    /// Returns whether another part is held, and a server had it when it crashed, that was not in all crashes with `part`.
    fn is_explained_by_hold(&self, part: &PromptPart, crash: &PromptCrash) -> bool {
        let mut held = self.held.keys().filter(|other| *other != part);
        held.any(|other| {
            let mut crashes = self.crashes.values().filter(|c| c.stage_of(other).is_some());
            crash.stage_of(other).is_some() && crashes.any(|c| c.stage_of(part).is_none())
        })
    }

    /// Returns whether progress shows more of a part than is recorded: that it survived a crash, or wholly.
    pub(super) fn is_instructive_progress(
        &self,
        part: &PromptPart,
        progress: RequestProgress,
        passed_at: Moment,
    ) -> bool {
        let exposed = self.crashes.values().filter(|crash| crash.at <= passed_at);
        let newest = exposed
            .filter(|crash| crash.stage_of(part).is_some_and(|stage| progress.clears(stage)))
            .map(|crash| crash.at)
            .max();
        let known = self.cleared.get(&(part.clone(), progress)).map(|known| known.passed_at);
        newest.is_some_and(|newest| known.is_none_or(|known| known < newest))
    }

    /// Returns whether a request with a part whose first event came after `since` was answered whole.
    pub fn is_answered_since(&self, part: &PromptPart, since: Moment) -> bool {
        self.answered.get(part).is_some_and(|at| *at > since)
    }

    /// Records the mean run time of requests, within which a response becomes whole.
    pub fn set_run_time(&mut self, mean: Duration) {
        self.run_time = mean;
    }

    /// Returns the time within which a sound part is cleared of a crash at a stage.
    pub(super) fn clear_time(&self, stage: Option<CrashStage>) -> Duration {
        if stage == Some(CrashStage::Streaming) {
            (self.run_time * CLEAR_RUNS).clamp(CLEAR_TIME, MAX_CLEAR_TIME)
        } else {
            CLEAR_TIME
        }
    }

    /// Returns how long to delay requests with a suspected part: until it is decided, if its crashes may suffice.
    pub(super) fn exposure_delay(&self, part: &PromptPart, now: Moment) -> Duration {
        let crashes = self.exposures(part);
        let may_suffice = crashes.len() >= SOLE_SUSPECT_CRASHES;
        let delay = |crash: &PromptCrash| {
            let stage = crash.stage_of(part).filter(|_| may_suffice);
            (crash.at + self.clear_time(stage)).saturating_sub(now)
        };
        let live = crashes.iter().filter(|crash| crash.is_live);
        live.map(|crash| delay(crash)).max().unwrap_or_default()
    }

    /// Returns whether servers of a part's service answered other requests after `since`, and never one with the part.
    pub(super) fn is_unanswered(&self, part: &PromptPart, since: Moment) -> bool {
        let mut others = self.answered.iter().filter(|(other, _)| other.service == part.service);
        !self.answered.contains_key(part) && others.any(|(_, at)| *at > since)
    }

    /// Returns whether a part is suspected of several crashes, at any stage, and is not likely to be cleared soon.
    pub(super) fn is_exposed_suspect(&self, part: &PromptPart, now: Moment) -> bool {
        let crashes = self.exposures(part);
        let Some(first) = crashes.iter().map(|crash| crash.at).min() else { return false };
        let is_fresh = |at: Moment| now <= at + SERVED_TRUST;
        let is_answered = self.answered.get(part).is_some_and(|at| is_fresh(*at));
        let is_early = |crash: &&PromptCrash| {
            crash.stage_of(part).is_some_and(|stage| RequestProgress::FirstEvent.clears(stage))
        };
        let is_served = self.served.get(part).is_some_and(|served| is_fresh(served.at));
        let is_in_use = is_answered || is_served && crashes.iter().all(is_early);
        let is_recent = now < first + self.clear_time(Some(CrashStage::Streaming));
        let is_trusted = is_in_use && is_recent && crashes.len() < MAX_TRUSTED_CRASHES;
        crashes.len() >= SUSPECT_CRASHES && !is_trusted
    }

    /// Returns whether the crashes of servers that had requests with a part, at any stage, show that it crashes them.
    pub(super) fn is_outlived(
        &self,
        part: &PromptPart,
        crashes: &[&PromptCrash],
        heard_until: Moment,
    ) -> bool {
        let times = || crashes.iter().map(|crash| crash.at);
        let spread =
            times().max().unwrap_or_default().saturating_sub(times().min().unwrap_or_default());
        if crashes.len() < SOLE_SUSPECT_CRASHES || spread < MIN_SPREAD {
            return false;
        }
        let requests: BTreeSet<_> =
            crashes.iter().flat_map(|crash| crash.all_requests_with(part)).collect();
        let is_due =
            |crash: &&PromptCrash| heard_until >= crash.at + self.clear_time(crash.stage_of(part));
        requests.len() >= MIN_REQUESTS
            && crashes.iter().all(is_due)
            && (crashes.len() >= JOINT_CRASHES
                || !crashes.iter().all(|crash| self.is_overshadowed(part, crash)))
            && crashes.iter().any(|crash| {
                let mut others = crash.all_parts().filter(|other| other != part);
                crash.is_live
                    && others.all(|other| self.is_less_exposed(&other, part, crash, crashes.len()))
            })
    }

    /// Returns whether a more suspicious part, of other prompts, is not cleared of a crash, and of others.
    fn is_overshadowed(&self, part: &PromptPart, crash: &PromptCrash) -> bool {
        let is_apart = |other: &PromptPart| {
            !crash.is_behind(part.id, other.id) && !crash.is_behind(other.id, part.id)
        };
        let mut others = crash.parts().filter(|other| other != part && is_apart(other));
        crash.worst_stage_of(part).is_none()
            && others.any(|other| {
                self.may_have_caused(&other, crash) && self.count(&other) >= SUSPECT_CRASHES
            })
    }

    /// Returns whether another part of a crash is less likely its cause than `part`, which was in `count` crashes.
    fn is_less_exposed(
        &self,
        other: &PromptPart,
        part: &PromptPart,
        crash: &PromptCrash,
        count: usize,
    ) -> bool {
        let other_count = self.exposures(other).len();
        if other_count != count {
            return other_count < count;
        }
        let service = |part| (self.answered.contains_key(part), self.served.contains_key(part));
        let (own_service, other_service) = (service(part), service(other));
        if own_service != other_service {
            return own_service < other_service;
        }
        if crash.is_behind(part.id, other.id) || crash.is_behind(other.id, part.id) {
            return !crash.is_behind(other.id, part.id);
        }
        let rank = |part| crash.worst_stage_of(part).map_or(u8::MAX, CrashStage::rank);
        rank(part) < rank(other) || rank(part) == rank(other) && count >= JOINT_CRASHES
    }

    /// Returns whether another part that a server had when it crashed, at a less suspicious stage, was in more crashes than
    /// `part` and is unseen since.
    pub(super) fn is_outweighed(&self, part: &PromptPart, crash: &PromptCrash) -> bool {
        let count = self.exposures(part).len();
        let is_unseen = |other: &PromptPart| {
            let seen = RequestProgress::ALL.into_iter();
            let mut seen = seen.filter_map(|progress| self.cleared.get(&(other.clone(), progress)));
            !seen.any(|clearing| clearing.passed_at >= crash.at)
        };
        let mut others = crash.all_parts().filter(|other| {
            other != part && crash.worst_stage_of(other).is_none() && is_unseen(other)
        });
        others.any(|other| !self.is_less_exposed(&other, part, crash, count))
    }
}

/// Returns whether a server had a request with a part when it crashed, and none survived since.
pub(super) fn is_exposed(part: &PromptPart, crash: &PromptCrash, survival: &Survival) -> bool {
    crash.stage_of(part).is_some_and(|stage| !survival.covers(crash.at, stage))
}
