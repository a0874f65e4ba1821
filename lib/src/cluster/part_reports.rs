//! Reports of a daemon's quarantine of prompt parts to its peers, and of theirs.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::clearing::Clearing;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::part_exposures::is_exposed;
use crate::cluster::part_hold::HoldScope;
use crate::cluster::part_hold::PartHold;
use crate::cluster::part_quarantine::PartQuarantine;
use crate::cluster::part_report::HeldPart;
use crate::cluster::part_report::PartReport;
use crate::cluster::part_report::PromptCrashReport;
use crate::cluster::prompt_crash::PromptCrash;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine::REPORT_TIME;
use crate::cluster::quarantine_report::CrashId;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::served_part::ServedPart;
use crate::cluster::survival::Survival;

/// Maximum number of crashes in a report, of prompts in each, and of parts in each other list.
const MAX_REPORTED: usize = 16;
/// Maximum number of open crashes, and of prompts in each: with parts of callers' making, a record that the store takes.
const MAX_OPEN: usize = 8;

impl PartQuarantine {
    /// Returns the report for peers; that of a reader also contains the crashes that other daemons reported.
    pub fn report(&self, now: Moment, is_reader: bool) -> PartReport {
        let is_fresh = |crash: &PromptCrash| now <= crash.updated_at + REPORT_TIME;
        let cleared = self.cleared_since(now.saturating_sub(REPORT_TIME), is_reader, now);
        let fleetwide = self.held.iter().filter(|(_, hold)| hold.is_fleetwide());
        let mut held: Vec<_> = fleetwide.map(|(part, h)| held_report(part, h, now)).collect();
        held.sort_by_key(|held| held.idle);
        held.truncate(MAX_REPORTED);
        let crashes =
            self.crash_reports(|c| is_fresh(c) && c.is_live && (c.is_own() || is_reader), now);
        PartReport { crashes, cleared, held }
    }

    /// Returns the newest crashes that are not put down to one part yet, and which parts are cleared of them, for processes
    /// that start after all others ended; empty if requests of other daemons are more suspicious at each of them.
    pub fn open_crashes(&self, now: Moment) -> PartReport {
        let mut survivals = HashMap::new();
        let mut own = self.crashes.values().filter(|crash| crash.has_own_suspect());
        if !own.any(|crash| self.is_open(crash, &mut survivals)) {
            return PartReport::default();
        }
        self.open_among(|_| true, now)
    }

    /// Returns whether a part may have caused a crash.
    fn is_open(&self, crash: &PromptCrash, survivals: &mut HashMap<PromptPart, Survival>) -> bool {
        crash.parts().any(|part| self.may_have_caused(&part, crash))
            || self.has_open_exposure(crash, survivals)
    }

    /// Returns the newest of some crashes that are not put down to one part yet, and which parts are cleared of them.
    pub fn open_among(&self, is_chosen: impl Fn(&CrashId) -> bool, now: Moment) -> PartReport {
        let mut survivals = HashMap::new();
        let chosen = self.crashes.iter().filter(|(id, _)| is_chosen(id));
        let mut open: Vec<_> =
            chosen.filter(|(_, crash)| self.is_open(crash, &mut survivals)).collect();
        open.sort_by_key(|(id, crash)| (std::cmp::Reverse(crash.at), *id));
        open.truncate(MAX_OPEN);
        let parts: BTreeSet<_> = open.iter().flat_map(|(_, crash)| crash.all_parts()).collect();
        let is_listed = |key: &(PromptPart, RequestProgress)| parts.contains(&key.0);
        let cleared = self.cleared.iter().filter(|(key, _)| is_listed(key));
        let mut cleared: Vec<_> = cleared
            .map(|(key, clearing)| (key.clone(), now.saturating_sub(clearing.passed_at)))
            .collect();
        cleared.sort_by(|(a, _), (b, _)| (&a.0, a.1.name()).cmp(&(&b.0, b.1.name())));
        let crashes = open.into_iter().map(|(id, crash)| crash.report(id, MAX_OPEN, now));
        PartReport { crashes: crashes.collect(), cleared, held: Vec::new() }
    }

    /// Returns what this daemon detected, or learned more of, at or after `since`. Progress that clears
    /// suspects is sent as early as crashes are: with only the latter, a sound part would be held.
    pub fn own_news(&self, since: Moment, now: Moment) -> PartReport {
        let crashes = self.crash_reports(|crash| crash.is_own() && crash.updated_at >= since, now);
        let cleared = self.cleared_since(since, false, now);
        let news = self.held.iter().filter(|(_, h)| h.is_fleetwide() && h.learned_at >= since);
        let held = news.map(|(part, hold)| held_report(part, hold, now)).collect();
        PartReport { crashes, cleared, held }
    }

    /// Returns the last of what this daemon saw since `since` that clears parts; that of a reader also contains what other
    /// daemons reported.
    fn cleared_since(
        &self,
        since: Moment,
        is_reader: bool,
        now: Moment,
    ) -> Vec<((PromptPart, RequestProgress), Duration)> {
        let is_reported =
            |clearing: &Clearing| clearing.learned_at >= since && (clearing.is_own || is_reader);
        // A whole response of the same request clears more than half a second of its events.
        let is_surpassed = |part: &PromptPart, clearing: &Clearing| {
            let whole = self.cleared.get(&(part.clone(), RequestProgress::Complete));
            whole.is_some_and(|w| is_reported(w) && w.passed_at >= clearing.passed_at)
        };
        let mut cleared: Vec<_> = self.cleared.iter().collect();
        cleared.retain(|((part, progress), clearing)| {
            let is_streaming = *progress == RequestProgress::Streaming;
            is_reported(clearing) && !(is_streaming && is_surpassed(part, clearing))
        });
        cleared.sort_by_key(|(_, clearing)| std::cmp::Reverse(clearing.learned_at));
        let age = |clearing: &Clearing| now.saturating_sub(clearing.passed_at);
        let aged = cleared.into_iter().map(|(key, clearing)| (key.clone(), age(clearing)));
        aged.take(MAX_REPORTED).collect()
    }

    /// Returns what is known of a part that a peer is about to send a request with: the crashes that it is suspected
    /// of, and whether it is held. With `only_own`, only if this daemon detected one of the crashes.
    pub fn known_of(&self, fingerprint: &Fingerprint, only_own: bool, now: Moment) -> PartReport {
        let Some(part) = self.part_of(fingerprint) else { return PartReport::default() };
        // A stored crash in a report would count as live at its receiver.
        let survival = self.survival(&part);
        let is_known = |crash: &PromptCrash| {
            let is_open = self.may_have_caused(&part, crash) || is_exposed(&part, crash, &survival);
            crash.is_live && is_open
        };
        if only_own && !self.crashes.values().any(|crash| is_known(crash) && crash.is_own()) {
            return PartReport::default();
        }
        let held = self.held.get(&part).filter(|hold| hold.is_fleetwide());
        let held = held.map(|hold| held_report(&part, hold, now));
        let crashes = self.crash_reports(is_known, now);
        PartReport { crashes, cleared: Vec::new(), held: held.into_iter().collect() }
    }

    /// Returns the part, held or of a crash, that has a fingerprint.
    fn part_of(&self, fingerprint: &Fingerprint) -> Option<PromptPart> {
        let exposed = self.crashes.values().flat_map(PromptCrash::all_parts);
        let all: BTreeSet<_> = self.held.keys().cloned().chain(exposed).collect();
        all.into_iter().find(|part| part.fingerprint() == *fingerprint)
    }

    /// Returns reports of the newest of some crashes.
    fn crash_reports(
        &self,
        is_reported: impl Fn(&PromptCrash) -> bool,
        now: Moment,
    ) -> Vec<PromptCrashReport> {
        let mut crashes: Vec<_> = self.crashes.iter().filter(|(_, c)| is_reported(c)).collect();
        crashes.sort_by_key(|(_, c)| std::cmp::Reverse(c.updated_at));
        let report = |(id, crash): (&CrashId, &PromptCrash)| crash.report(id, MAX_REPORTED, now);
        crashes.into_iter().take(MAX_REPORTED).map(report).collect()
    }

    /// Merges what a process that may have ended stored of crashes.
    pub fn merge_stored(&mut self, report: &PartReport, now: Moment) {
        self.merge_clearings(report, now);
        for reported in &report.crashes {
            self.merge_crash(reported, now);
        }
    }

    fn merge_crash(&mut self, reported: &PromptCrashReport, now: Moment) -> &mut PromptCrash {
        let at = now.saturating_sub(reported.age);
        let crash = self.crash_entry(&reported.id, &reported.service, at, now);
        crash.add_stage(reported.worst_stage);
        for prompt in &reported.prompts {
            crash.add_prompt(prompt.clone(), now);
        }
        crash
    }

    fn merge_clearings(&mut self, report: &PartReport, now: Moment) {
        for ((part, progress), age) in &report.cleared {
            let passed_at = now.saturating_sub(*age);
            let clearing = Clearing { passed_at, learned_at: now, is_own: false };
            self.clear_at(part, *progress, clearing);
            match progress {
                RequestProgress::FirstEvent => {
                    self.record_served(part, ServedPart { at: passed_at, own_at: None });
                }
                RequestProgress::Streaming => {}
                RequestProgress::Complete => self.record_answered(part, passed_at),
            }
        }
    }

    /// Merges a peer's report; returns the parts that are held from now on.
    pub fn merge(&mut self, report: &PartReport, now: Moment) -> Vec<PromptPart> {
        self.merge_clearings(report, now);
        for reported in &report.crashes {
            self.merge_crash(reported, now).is_live = true;
        }
        let exposed = report.crashes.iter().flat_map(|crash| {
            let ids = crash.prompts.iter().flat_map(|prompt| &prompt.parts);
            ids.map(|id| PromptPart { service: crash.service.clone(), id: *id })
        });
        let exposed: BTreeSet<_> = exposed.collect();
        let mut held = self.evaluate(&exposed.into_iter().collect::<Vec<_>>(), now);
        for HeldPart { part, age, idle } in &report.held {
            let (since, last_attempt) = (now.saturating_sub(*age), now.saturating_sub(*idle));
            let scope = HoldScope::Fleet;
            let reported = PartHold { since, learned_at: now, last_attempt, scope };
            if self.merge_hold(part, reported) {
                held.push(part.clone());
            }
        }
        held
    }
}

fn held_report(part: &PromptPart, hold: &PartHold, now: Moment) -> HeldPart {
    HeldPart {
        part: part.clone(),
        age: now.saturating_sub(hold.since),
        idle: now.saturating_sub(hold.last_attempt),
    }
}
