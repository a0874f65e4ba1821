//! Decides which prompt parts crash servers, on the crashes that they are suspected of.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::clearing::Clearing;
use crate::cluster::part_evidence::PartEvidence;
use crate::cluster::part_hold::HoldScope;
use crate::cluster::part_hold::PartHold;
use crate::cluster::part_quarantine::CLEAR_TIME;
use crate::cluster::part_quarantine::PartQuarantine;
use crate::cluster::prompt_crash::PromptCrash;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine_report::RequestProgress;

/// Number of crashes after which a part is held, if every other part of one of them is suspected of fewer. Of those
/// with equally many the likeliest is held; the hold is replaced once further crashes distinguish them.
pub(super) const SOLE_SUSPECT_CRASHES: usize = 3;
/// Different requests under which servers crashed before their common part is held; one alone may itself be the cause.
pub(super) const MIN_REQUESTS: usize = 2;
/// Least time from the first to the last crash before a part is held: the loss of many hosts at one instant exposes
/// every common part to several crashes.
pub(super) const MIN_SPREAD: Duration = Duration::from_millis(150);

impl PartQuarantine {
    /// Holds those of some parts that are suspected of enough crashes; returns which are held from now on, or bind all
    /// daemons from now on.
    pub fn evaluate(&mut self, parts: &[PromptPart], now: Moment) -> Vec<PromptPart> {
        let is_open = |part: &&PromptPart| !self.held.get(part).is_some_and(PartHold::is_fleetwide);
        let found = |part: &PromptPart| Some((part.clone(), self.find_fatal(part, now)?));
        let fatal: Vec<_> = parts.iter().filter(is_open).filter_map(found).collect();
        let mut new_parts = Vec::new();
        for (part, scope) in fatal {
            let exposed = self.exposures(&part);
            let crashes = self.suspected_crashes(&part).chain(exposed);
            let since = crashes.map(|crash| crash.at).max().unwrap_or(now);
            let hold = PartHold { since, learned_at: now, last_attempt: now, scope };
            if self.merge_hold(&part, hold) {
                new_parts.push(part);
            }
        }
        new_parts
    }

    /// Returns whether a part is found to crash servers, and which daemons this binds.
    ///
    /// An isolated data centre counts crashes of its own servers only: links to others that are cut off may end as those of
    /// a crashed server do.
    fn find_fatal(&self, part: &PromptPart, now: Moment) -> Option<HoldScope> {
        let (crashes, exposures): (Vec<_>, _) =
            (self.suspected_crashes(part).collect(), self.exposures(part));
        let heard_until = self.remote.heard_until(now);
        let has_reported = |crash: &PromptCrash| self.remote.has_reported(crash.at, now);
        if self.is_proven(part, &filtered(&crashes, has_reported), heard_until)
            || self.is_outlived(part, &filtered(&exposures, has_reported), heard_until)
        {
            return Some(HoldScope::Fleet);
        }
        if !self.remote.is_isolated(now) {
            return None;
        }
        let is_local = |crash: &PromptCrash| crash.is_local;
        let (crashes, exposures) = (filtered(&crashes, is_local), filtered(&exposures, is_local));
        let since = crashes.iter().chain(&exposures).map(|crash| crash.at).min()?;
        let is_found = self.is_contrasted(part, since) && self.is_proven(part, &crashes, now)
            || self.is_unanswered(part, since) && self.is_outlived(part, &exposures, now);
        is_found.then_some(HoldScope::Isolated)
    }

    /// Returns whether crashes that a part is suspected of show that it crashes servers. Reports that clear other parts have
    /// been received up to `heard_until`. One of the crashes has to be live: what cleared the part of the others may have ended
    /// with the processes that saw it.
    fn is_proven(&self, part: &PromptPart, crashes: &[&PromptCrash], heard_until: Moment) -> bool {
        if crashes.len() < SOLE_SUSPECT_CRASHES {
            return false;
        }
        let requests: BTreeSet<_> = crashes.iter().flat_map(|c| c.requests_with(part)).collect();
        let first = crashes.iter().map(|crash| crash.at).min().unwrap_or_default();
        let last = crashes.iter().map(|crash| crash.at).max().unwrap_or_default();
        let count = self.count(part);
        requests.len() >= MIN_REQUESTS
            && last.saturating_sub(first) >= MIN_SPREAD
            && crashes.iter().any(|crash| {
                crash.is_live
                    && heard_until >= crash.at + self.clear_time(crash.worst_stage_of(part))
                    && self.is_most_suspected(part, crash, count)
                    && !self.is_outweighed(part, crash)
            })
    }

    /// Returns whether servers of a part's service answered other requests after `since`, and never one with the part.
    ///
    /// While isolated, the absence of reports that clear the part is no evidence by itself: the servers that would serve
    /// requests with it may be unreachable.
    fn is_contrasted(&self, part: &PromptPart, since: Moment) -> bool {
        let mut served = self.served.iter().filter(|(other, _)| other.service == part.service);
        !self.served.contains_key(part)
            && served.any(|(_, served)| served.own_at.is_some_and(|at| at > since))
    }

    /// Returns whether a part is suspected of more crashes, `count`, than all others that a server had when it crashed,
    /// or is preferred to those that are suspected of as many: it was never served before, or comes last in the prompt, so
    /// that the fewest requests share it.
    fn is_most_suspected(&self, part: &PromptPart, crash: &PromptCrash, count: usize) -> bool {
        let is_preferred = |other: &PromptPart| {
            let (is_served, other_served) =
                (self.served.contains_key(part), self.served.contains_key(other));
            !is_served && other_served
                || is_served == other_served && !crash.is_behind(other.id, part.id)
        };
        let mut others = crash.parts().filter(|other| other != part);
        others.all(|other| {
            let other_count = self.count(&other);
            other_count < count || other_count == count && is_preferred(&other)
        })
    }

    /// Returns whether another part is held that caused a crash, so that it does not count against `part`.
    ///
    /// A held part explains only what `part` cannot explain as well: if it was in all crashes for which the other one is
    /// held, the wrong one may be held.
    pub(super) fn is_explained(&self, part: &PromptPart, crash: &PromptCrash) -> bool {
        let mut others = crash.parts().filter(|other| other != part);
        others.any(|other| {
            self.held.contains_key(&other)
                && self.may_have_caused(&other, crash)
                && !self.covers(part, &other)
        })
    }

    /// Returns whether a part may have caused all crashes that another one may have caused.
    fn covers(&self, part: &PromptPart, other: &PromptPart) -> bool {
        self.uncleared_crashes(other).all(|crash| self.may_have_caused(part, crash))
    }

    /// Returns whether a part may have caused all crashes for which another one is held.
    pub(super) fn is_alternative(&self, part: &PromptPart) -> bool {
        let others = self.uncleared_crashes(part).flat_map(PromptCrash::parts);
        let held = others.filter(|other| other != part && self.held.contains_key(other));
        held.collect::<BTreeSet<_>>().iter().any(|other| self.covers(part, other))
    }

    /// Returns whether a request with a held part may show whether the part is sound, so that it is tried.
    ///
    /// That is so if its prompt lacks a part that may have caused all the same crashes. A part that was served before may also be
    /// sound if two others that never were may have caused them, one some and one the rest, and is tried without any of their
    /// parts.
    pub(super) fn is_instructive(&self, part: &PromptPart, prompt: &[PromptPart]) -> bool {
        let crashes: Vec<_> = self.uncleared_crashes(part).collect();
        let Some(first) = crashes.first() else { return false };
        let is_other = |other: &PromptPart| other != part && !prompt.contains(other);
        let mut alternatives = first.parts().filter(is_other);
        if alternatives.any(|other| crashes.iter().all(|c| self.may_have_caused(&other, c))) {
            return true;
        }
        let mut rest = prompt.iter().filter(|other| *other != part);
        let has_suspect = rest.any(|other| crashes.iter().any(|c| self.may_have_caused(other, c)));
        self.served.contains_key(part) && !has_suspect && self.has_pair(&crashes, is_other)
    }

    /// Returns whether two parts that were never served may have caused all of some crashes, one some and the other the rest.
    fn has_pair(&self, crashes: &[&PromptCrash], is_allowed: impl Fn(&PromptPart) -> bool) -> bool {
        let is_candidate = |part: &PromptPart, crash: &PromptCrash| {
            is_allowed(part) && !self.served.contains_key(part) && self.may_have_caused(part, crash)
        };
        let Some(first) = crashes.first() else { return false };
        first.parts().filter(|part| is_candidate(part, first)).any(|part| {
            let mut rest = crashes.iter().filter(|crash| !self.may_have_caused(&part, crash));
            let Some(next) = rest.next() else { return true };
            let rest: Vec<_> = rest.collect();
            let mut others = next.parts().filter(|other| is_candidate(other, next));
            others.any(|other| rest.iter().all(|crash| self.may_have_caused(&other, crash)))
        })
    }

    /// Releases parts of whose crashes another part, held since, is the cause; returns them.
    pub fn release_explained(&mut self, now: Moment) -> Vec<PromptPart> {
        let fleetwide = self.held.iter().filter(|(_, hold)| hold.is_fleetwide());
        let explained = fleetwide.filter(|(part, _)| self.is_wholly_explained(part, now));
        let explained: Vec<_> = explained.map(|(part, _)| part.clone()).collect();
        let clearing = Clearing { passed_at: now, learned_at: now, is_own: true };
        for part in &explained {
            self.clear_at(part, RequestProgress::Complete, clearing);
        }
        explained
    }

    fn is_wholly_explained(&self, part: &PromptPart, now: Moment) -> bool {
        let mut crashes = self.uncleared_crashes(part).peekable();
        crashes.peek().is_some()
            && crashes.all(|crash| {
                let mut others = crash.parts().filter(|other| other != part);
                others.any(|other| {
                    self.is_settled(&other, now)
                        && self.may_have_caused(&other, crash)
                        && !self.covers(part, &other)
                })
            })
    }

    /// Returns whether a part is held at all daemons, peers had time to report that it was served before, and no two others may
    /// have caused its crashes if it was.
    fn is_settled(&self, part: &PromptPart, now: Moment) -> bool {
        let is_old = |hold: &PartHold| now >= hold.learned_at + CLEAR_TIME;
        let is_fleetwide =
            self.held.get(part).is_some_and(|hold| hold.is_fleetwide() && is_old(hold));
        let crashes = || self.uncleared_crashes(part).collect::<Vec<_>>();
        let is_open =
            || self.served.contains_key(part) && self.has_pair(&crashes(), |other| other != part);
        is_fleetwide && !is_open()
    }

    /// Releases parts that were held while this data centre was isolated and that others have refuted since; returns
    /// them.
    pub fn release_refuted(&mut self, now: Moment) -> Vec<PromptPart> {
        let is_refuted =
            |part: &PromptPart, hold: &PartHold| !hold.is_fleetwide() && self.is_refuted(part, now);
        let refuted = self.held.iter().filter(|(part, hold)| is_refuted(part, hold));
        let refuted: Vec<_> = refuted.map(|(part, _)| part.clone()).collect();
        self.held.retain(|part, _| !refuted.contains(part));
        refuted
    }

    /// Returns whether a part is not found to crash servers, though the data centre is in touch with others.
    fn is_refuted(&self, part: &PromptPart, now: Moment) -> bool {
        let newest = self.suspected_crashes(part).map(|crash| crash.at).max();
        let heard_until = self.remote.heard_until(now);
        let is_heard = newest.is_none_or(|at| heard_until >= at + CLEAR_TIME);
        is_heard && self.remote.is_settled(now) && self.find_fatal(part, now).is_none()
    }

    /// Returns what is known for and against parts of prompts.
    pub fn evidence<'a>(
        &self,
        parts: impl IntoIterator<Item = &'a PromptPart>,
    ) -> Vec<PartEvidence> {
        let evidence = |part: &PromptPart| PartEvidence {
            id: part.id,
            crashes: self.count(part).max(self.exposures(part).len()),
            is_served: self.served.contains_key(part),
            is_held: self.held.contains_key(part),
        };
        parts.into_iter().map(evidence).collect()
    }

    /// Returns what is known for and against the other parts that servers had when they crashed under requests with a part, the
    /// most suspected first.
    pub fn rivals(&self, part: &PromptPart) -> Vec<PartEvidence> {
        let crashes = self.crashes.values().filter(|crash| crash.stage_of(part).is_some());
        let others: BTreeSet<_> = crashes.flat_map(PromptCrash::all_parts).collect();
        let mut rivals = self.evidence(others.iter().filter(|other| *other != part));
        rivals.sort_by_key(|rival| std::cmp::Reverse(rival.crashes));
        rivals
    }
}

fn filtered<'a>(
    crashes: &[&'a PromptCrash],
    is_chosen: impl Fn(&PromptCrash) -> bool,
) -> Vec<&'a PromptCrash> {
    crashes.iter().copied().filter(|crash| is_chosen(crash)).collect()
}
