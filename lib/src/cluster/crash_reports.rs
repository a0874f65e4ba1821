//! Reports of crashes, and of the requests that servers had then, for peers and for the store.

use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::quarantine::Crash;
use crate::cluster::quarantine::HOLD_TIME;
use crate::cluster::quarantine::Quarantine;
use crate::cluster::quarantine::REPORT_TIME;
use crate::cluster::quarantine_report::CrashId;
use crate::cluster::quarantine_report::CrashReport;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::quarantine_report::QuarantineReport;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::request_exposures::is_exposed;
use crate::cluster::survival::Survival;

/// Maximum number of crashes in a digest, and of requests in each of its lists.
const MAX_REPORTED: usize = 16;
/// Maximum number of open crashes in the record of a process.
const MAX_OPEN: usize = 8;

impl Quarantine {
    /// Returns the report for peers; that of a reader also contains the crashes that other daemons reported.
    pub fn report(&self, now: Moment, is_reader: bool) -> QuarantineReport {
        let is_fresh = |crash: &Crash| now <= crash.updated_at + REPORT_TIME;
        let mut cleared = newest_entries(&self.cleared, now, REPORT_TIME);
        let in_use = self.in_use(is_fresh, now).into_iter();
        let is_new = |(key, _): &(_, Duration)| !cleared.iter().any(|(known, _)| known == key);
        let in_use: Vec<_> = in_use.filter(is_new).take(MAX_REPORTED).collect();
        cleared.extend(in_use);
        QuarantineReport {
            cleared,
            held: newest_entries(&self.held, now, HOLD_TIME),
            ..self.crash_report(
                |_, crash| is_fresh(crash) && crash.is_live && (crash.is_own() || is_reader),
                now,
            )
        }
    }

    /// Returns the newest crashes that requests may have caused, for processes that start after all others ended; empty if
    /// requests of other daemons are more suspicious at each of them.
    pub fn open_crashes(&self, now: Moment) -> QuarantineReport {
        let survivals = self.survivals();
        let has_own = |c: &Crash| c.own_stage.map(CrashStage::rank) == Some(c.worst_stage.rank());
        let mut own = self.crashes.values().filter(|crash| has_own(crash));
        if !own.any(|crash| !self.open_requests(crash, &survivals).is_empty()) {
            return QuarantineReport::default();
        }
        self.open_among(|_| true, now)
    }

    /// Returns the newest of some crashes that requests may have caused, with these requests.
    pub fn open_among(
        &self,
        is_chosen: impl Fn(&CrashId) -> bool,
        now: Moment,
    ) -> QuarantineReport {
        let survivals = self.survivals();
        let open = |crash: &Crash| self.open_requests(crash, &survivals);
        let mut report = self.crash_report(|id, c| is_chosen(id) && !open(c).is_empty(), now);
        report.crashes.sort_by(|a, b| (a.age, &a.id).cmp(&(b.age, &b.id)));
        report.crashes.truncate(MAX_OPEN);
        for reported in &mut report.crashes {
            let open = self.crashes.get(&reported.id).map(open).unwrap_or_default();
            reported.requests.retain(|(print, _)| open.contains(print));
        }
        report
    }

    /// Returns how far each request got that a server had when it crashed.
    fn survivals(&self) -> HashMap<Fingerprint, Survival> {
        let mut survivals = HashMap::new();
        for fingerprint in self.crashes.values().flat_map(|crash| crash.requests.keys()) {
            let survival = survivals.entry(*fingerprint);
            survival.or_insert_with(|| self.survival(fingerprint));
        }
        survivals
    }

    /// Returns the requests that may have caused a crash.
    fn open_requests(
        &self,
        crash: &Crash,
        survivals: &HashMap<Fingerprint, Survival>,
    ) -> Vec<Fingerprint> {
        let is_open = |print: &Fingerprint| {
            let survival = survivals.get(print);
            survival.is_some_and(|survival| is_exposed(print, crash, survival))
        };
        let all = crash.requests.keys();
        all.filter(|print| self.is_suspect(print, crash) || is_open(print)).copied().collect()
    }

    /// Returns the crashes that this daemon detected, or learned more of, at or after `since`.
    pub fn own_crashes(&self, since: Moment, now: Moment) -> QuarantineReport {
        let is_news = |crash: &Crash| crash.is_own() && crash.updated_at >= since;
        self.crash_report(|_, crash| is_news(crash), now)
    }

    /// Returns what is known of a request that a peer is about to send: the crashes that it is suspected of, and whether it
    /// is held. With `only_own`, only if this daemon detected one of the crashes. `None` if nothing is known.
    pub fn known_of(
        &self,
        fingerprint: &Fingerprint,
        only_own: bool,
        now: Moment,
    ) -> Option<QuarantineReport> {
        let survival = self.survival(fingerprint);
        let is_known = |crash: &Crash| {
            let is_open =
                self.is_suspect(fingerprint, crash) || is_exposed(fingerprint, crash, &survival);
            crash.is_live && is_open
        };
        let is_own = |crash: &Crash| crash.is_own() && is_known(crash);
        if only_own && !self.crashes.values().any(is_own) {
            return None;
        }
        let mut report = self.crash_report(|_, crash| is_known(crash), now);
        let held = self.held.get(fingerprint);
        report.held.extend(held.map(|at| (*fingerprint, now.saturating_sub(*at))));
        (!report.crashes.is_empty() || !report.held.is_empty()).then_some(report)
    }

    /// Returns a report of the newest of some crashes.
    fn crash_report(
        &self,
        is_reported: impl Fn(&CrashId, &Crash) -> bool,
        now: Moment,
    ) -> QuarantineReport {
        let crashes = self.crashes.iter().filter(|(id, crash)| is_reported(id, crash));
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_by_key(|(_, c)| std::cmp::Reverse(c.updated_at));
        let crash = |(id, crash): (&CrashId, &Crash)| {
            // If there are too many requests for a report, the most suspicious ones are reported.
            let mut requests: Vec<_> =
                crash.requests.iter().map(|(fingerprint, stage)| (*fingerprint, *stage)).collect();
            requests.sort_by_key(|(_, stage)| (stage.rank(), stage.progress()));
            requests.truncate(MAX_REPORTED);
            let age = now.saturating_sub(crash.at);
            CrashReport { id: id.clone(), age, worst_stage: crash.worst_stage, requests }
        };
        let crashes = crashes.into_iter().take(MAX_REPORTED).map(crash).collect();
        QuarantineReport { crashes, ..QuarantineReport::default() }
    }

    /// Merges a peer's report; returns the requests that are held from now on.
    pub fn merge(&mut self, report: &QuarantineReport, now: Moment) -> Vec<Fingerprint> {
        self.merge_all(report, true, now);
        let mut held = Vec::new();
        for crash in &report.crashes {
            let fingerprints = crash.requests.iter().map(|(fingerprint, _)| *fingerprint);
            held.extend(fingerprints.filter(|fingerprint| self.evaluate(*fingerprint, now)));
        }
        for (fingerprint, age) in &report.held {
            let last_attempt = now.saturating_sub(*age);
            let is_cleared = self.answered_at(fingerprint).is_some_and(|at| at >= last_attempt);
            if !is_cleared && self.hold(*fingerprint, last_attempt) {
                held.push(*fingerprint);
            }
        }
        held
    }

    /// Merges what a process that may have ended stored of crashes.
    pub fn merge_stored(&mut self, report: &QuarantineReport, now: Moment) {
        self.merge_all(report, false, now);
    }

    fn merge_all(&mut self, report: &QuarantineReport, is_live: bool, now: Moment) {
        for ((fingerprint, progress), age) in &report.cleared {
            let at = now.saturating_sub(*age);
            if *age > REPORT_TIME && *progress == RequestProgress::Complete {
                self.record_answered(*fingerprint, at);
            } else {
                self.clear_at(*fingerprint, *progress, at);
            }
        }
        for crash in &report.crashes {
            let at = now.saturating_sub(crash.age);
            self.merge_crash(&crash.id, at, &crash.requests, now);
            if let Some(known) = self.crashes.get_mut(&crash.id) {
                known.worst_stage = known.worst_stage.min(crash.worst_stage);
                known.is_live |= is_live;
            }
        }
    }
}

/// Returns the newest entries that are at most `within` old, with their ages.
fn newest_entries<K: Copy>(
    all: &HashMap<K, Moment>,
    now: Moment,
    within: Duration,
) -> Vec<(K, Duration)> {
    let ages = all.iter().map(|(key, at)| (*key, now.saturating_sub(*at)));
    let mut fresh: Vec<_> = ages.filter(|(_, age)| *age <= within).collect();
    fresh.sort_by_key(|(_, age)| *age);
    fresh.truncate(MAX_REPORTED);
    fresh
}
