//! Questions to peers before a prompt part is held at all daemons, what peers answer, and objections to holds.
//!
//! A part is suspected for want of evidence, which may be on its way: a peer that served requests with it says so.

use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::clearing::Clearing;
use crate::cluster::part_hold::PartHold;
use crate::cluster::part_quarantine::PartQuarantine;
use crate::cluster::part_report::HeldPart;
use crate::cluster::part_report::PartReport;
use crate::cluster::prompt_crash::PromptCrash;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::quarantine_report::RequestProgress;

/// Time within which reachable peers answer: several round trips between data centres.
pub const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time after which peers are asked again, as they may have served requests since.
const ANSWER_MAX_AGE: Duration = Duration::from_secs(1);
/// Maximum number of crashes in a question, so that it fits a datagram.
const MAX_ASKED_CRASHES: usize = 4;

impl PartQuarantine {
    /// Records whether there are peers, which are asked before a part is held at all daemons.
    pub fn set_has_peers(&mut self, has_peers: bool) {
        self.has_peers = has_peers;
    }

    /// Returns whether peers had time to answer for a part; notes the question if they were not asked yet.
    pub(super) fn is_answered(&mut self, part: &PromptPart, now: Moment) -> bool {
        if !self.has_peers {
            return true;
        }
        let asked_at = self.questions.get(part).copied();
        if let Some(at) = asked_at.filter(|at| now < *at + ANSWER_MAX_AGE) {
            return now >= at + ANSWER_TIME;
        }
        self.questions.insert(part.clone(), now);
        self.unsent.push(part.clone());
        false
    }

    /// Returns how long peers may still answer for one of some parts.
    pub(super) fn answer_delay(&self, parts: &[PromptPart], now: Moment) -> Duration {
        let asked = parts.iter().filter_map(|part| self.questions.get(part));
        let newest = asked.max();
        newest.map_or(Duration::ZERO, |at| (*at + ANSWER_TIME).saturating_sub(now))
    }

    /// Returns the questions that peers have not been sent yet: for each part a report that lists it as held, and the newest
    /// of the crashes that it is suspected of.
    pub fn take_questions(&mut self, now: Moment) -> Vec<(PromptPart, PartReport)> {
        let parts = std::mem::take(&mut self.unsent);
        parts.into_iter().map(|part| (part.clone(), self.question(&part, now))).collect()
    }

    fn question(&self, part: &PromptPart, now: Moment) -> PartReport {
        let mut crashes: Vec<_> =
            self.crashes.iter().filter(|(_, crash)| self.may_have_caused(part, crash)).collect();
        crashes.sort_by_key(|(id, crash)| (std::cmp::Reverse(crash.at), *id));
        let age = crashes.first().map_or(Duration::ZERO, |(_, c)| now.saturating_sub(c.at));
        let held = HeldPart { part: part.clone(), age, idle: Duration::ZERO };
        let crashes = crashes.into_iter().take(MAX_ASKED_CRASHES);
        let crashes = crashes.map(|(id, crash)| crash.report(id, MAX_ASKED_CRASHES, now)).collect();
        PartReport { crashes, cleared: Vec::new(), held: vec![held] }
    }

    /// Returns what this daemon saw itself that clears the held parts of a peer's report, after the last of the crashes on which
    /// each hold rests.
    pub fn answer(&self, report: &PartReport, now: Moment) -> PartReport {
        let cleared = report.held.iter().flat_map(|held| {
            let since = now.saturating_sub(held.age);
            let seen = RequestProgress::ALL.into_iter().filter_map(move |progress| {
                let at = self.own_progress(&held.part, progress).filter(|at| *at >= since)?;
                Some(((held.part.clone(), progress), now.saturating_sub(at)))
            });
            seen.filter(|_| !self.held.contains_key(&held.part))
        });
        PartReport { cleared: cleared.collect(), ..PartReport::default() }
    }

    /// Returns when the last request with a part had its first event that this daemon saw get so far.
    fn own_progress(&self, part: &PromptPart, progress: RequestProgress) -> Option<Moment> {
        let cleared = self.cleared.get(&(part.clone(), progress)).filter(|c| c.is_own);
        let served = self.served.get(part).and_then(|served| served.own_at);
        let served = served.filter(|_| progress == RequestProgress::FirstEvent);
        cleared.map(|clearing| clearing.passed_at).max(served)
    }

    /// Clears parts of crashes that were reported only after this daemon had served requests with them.
    pub(super) fn clear_served(&mut self, parts: &[PromptPart], now: Moment) {
        for part in parts {
            let served = self.served.get(part).and_then(|served| served.own_at);
            let Some(passed_at) = served else { continue };
            let is_passed = |crash: &PromptCrash| {
                crash.worst_stage() == CrashStage::BeforeEvents && crash.at <= passed_at
            };
            if self.uncleared_crashes(part).any(is_passed) {
                let clearing = Clearing { passed_at, learned_at: now, is_own: true };
                self.clear_at(part, RequestProgress::FirstEvent, clearing);
            }
        }
    }

    /// Returns when a request with a part had its first event that clears the part of all known crashes; `None` if there is
    /// none, or no crash is known.
    fn refuted_at(&self, part: &PromptPart) -> Option<Moment> {
        let mut crashes = self.crashes.values().filter(|crash| crash.has_part(part)).peekable();
        crashes.peek()?;
        if crashes.any(|crash| self.may_have_caused(part, crash)) {
            return None;
        }
        let clearings = RequestProgress::ALL.map(|p| self.cleared.get(&(part.clone(), p)));
        clearings.into_iter().flatten().map(|clearing| clearing.passed_at).max()
    }

    /// Returns whether a request with a part was served after the last of the crashes on which a hold rests, before the hold
    /// was known here.
    pub(super) fn is_unfounded(&self, part: &PromptPart, hold: &PartHold) -> bool {
        self.refuted_at(part).is_some_and(|at| hold.since <= at && at <= hold.learned_at)
    }

    /// Releases parts that were held although requests with them had been served; returns them, and whether this daemon had
    /// decided on the hold. If so, peers that took it over are told.
    pub fn release_unfounded(&mut self, now: Moment) -> Vec<(PromptPart, bool)> {
        let unfounded = self.held.iter().filter(|(part, hold)| self.is_unfounded(part, hold));
        let unfounded: Vec<_> = unfounded.map(|(part, hold)| (part.clone(), *hold)).collect();
        for (part, hold) in &unfounded {
            self.held.remove(part);
            if hold.is_own {
                self.vouch(part, now);
            }
        }
        unfounded.into_iter().map(|(part, hold)| (part, hold.is_own)).collect()
    }

    /// Reports to peers what clears a part as if this daemon had seen it.
    fn vouch(&mut self, part: &PromptPart, now: Moment) {
        for progress in RequestProgress::ALL {
            if let Some(clearing) = self.cleared.get_mut(&(part.clone(), progress)) {
                (clearing.is_own, clearing.learned_at) = (true, now);
            }
        }
    }
}
