//! Quarantine of prompt parts: records which prompts servers had when they crashed, and holds a part back once it is
//! found to crash servers whatever else a request contains.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::clearing::Clearing;
use crate::cluster::configuration::ServiceName;
use crate::cluster::part_exposures::is_exposed;
use crate::cluster::part_hold::HoldScope;
use crate::cluster::part_hold::PartHold;
use crate::cluster::part_report::ExposedPrompt;
use crate::cluster::prompt_crash::PromptCrash;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine::CRASH_RETENTION;
use crate::cluster::quarantine::HOLD_TIME;
use crate::cluster::quarantine_report::CrashId;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::remote_contact::RemoteContact;
use crate::cluster::served_part::ServedPart;
use crate::cluster::server_instance::ServerInstance;

/// Number of crashes after which requests with a part are tried one at a time. At one, all callers of a service whose
/// prompts begin alike would wait for each other.
pub(super) const SUSPECT_CRASHES: usize = 2;
/// Time after a request with a part was served during which others are not tried one at a time as soon as the part is
/// suspected.
pub(super) const SERVED_TRUST: Duration = Duration::from_mins(1);
/// Number of crashes from which on they are in any case.
pub(super) const MAX_TRUSTED_CRASHES: usize = 5;
/// Time within which other parts of a crash are cleared by requests with them at any daemon.
pub(super) const CLEAR_TIME: Duration = Duration::from_secs(1);
/// Time that a report takes between daemons. One that was passed on makes the same progress seem younger by as much.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Maximum number of held parts, and of cleared ones, that are remembered.
const MAX_PARTS: usize = 1024;
/// Maximum number of parts that are remembered as served: those of several minutes' requests.
const MAX_SERVED: usize = 4096;

/// What a request's progress changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartChange {
    /// Whether a suspected part was cleared, for which requests may be waiting.
    pub is_urgent: bool,
    /// Suspected parts that were cleared, and of how many crashes.
    pub cleared: Vec<(PromptPart, usize)>,
    /// Parts that are no longer held.
    pub released: Vec<PromptPart>,
}

/// What is known of prompt parts that crash servers.
///
/// A fatal part crashes each server that begins to answer a request with it. So a request that gets further clears all
/// its parts of earlier crashes. Reports can be merged in any order, and a repeated one changes nothing.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    pub(super) crashes: HashMap<CrashId, PromptCrash>,
    /// Parts with which a request reached a stage of progress without a crash.
    pub(super) cleared: HashMap<(PromptPart, RequestProgress), Clearing>,
    pub(super) held: HashMap<PromptPart, PartHold>,
    /// Parts with which requests were served in the last hour.
    pub(super) served: HashMap<PromptPart, ServedPart>,
    /// Parts with which requests were answered whole in the last hour, and when the first event of the last one came.
    pub(super) answered: HashMap<PromptPart, Moment>,
    /// Mean run time of requests.
    pub(super) run_time: Duration,
    /// Whether reports of other data centres are received, which may clear parts.
    pub(super) remote: RemoteContact,
    /// Whether the parts that were held before this process started are not known yet.
    is_unread: bool,
}

impl PartQuarantine {
    /// Records a crash that this daemon detected, under a request with these parts.
    pub fn record_crash(
        &mut self,
        id: &CrashId,
        service: &ServiceName,
        prompt: ExposedPrompt,
        now: Moment,
    ) {
        let crash = self.crash_entry(id, service, now, now);
        crash.add_own_prompt(prompt, now);
    }

    /// Records that a server progressed with a request without a crash. Its first event came at `passed_at`.
    pub fn record_progress(
        &mut self,
        parts: &[PromptPart],
        progress: RequestProgress,
        passed_at: Moment,
        now: Moment,
    ) -> PartChange {
        let mut change = PartChange::default();
        for part in parts {
            self.record_served(part, ServedPart { at: passed_at, own_at: Some(passed_at) });
            if progress == RequestProgress::Complete {
                self.record_answered(part, passed_at);
            }
            let is_passed = |c: &PromptCrash| {
                c.worst_stage_of(part).is_some_and(|stage| progress.clears(stage))
            };
            let is_exposed = |c: &&PromptCrash| is_passed(c) && c.at <= passed_at;
            let exposed = self.uncleared_crashes(part).filter(is_exposed).count();
            let is_released = self.releases(part, progress)
                && self.held.get(part).is_some_and(|hold| hold.since <= passed_at);
            let is_news = self.is_instructive_progress(part, progress, passed_at);
            if exposed == 0 && !is_released && !is_news {
                continue;
            }
            let suspected = exposed.max(self.exposures(part).len());
            if suspected > 0 {
                change.cleared.push((part.clone(), suspected));
            }
            let is_suspect = self.is_suspect(part) || suspected >= SUSPECT_CRASHES;
            change.is_urgent |= is_released || is_suspect;
            let clearing = Clearing { passed_at, learned_at: now, is_own: true };
            if self.clear_at(part, progress, clearing) {
                change.released.push(part.clone());
            }
        }
        change
    }

    pub(super) fn record_answered(&mut self, part: &PromptPart, at: Moment) {
        if let Some(known) = self.answered.get_mut(part) {
            *known = at.max(*known);
            return;
        }
        make_room(&mut self.answered, MAX_SERVED, |known| *known);
        self.answered.insert(part.clone(), at);
    }

    pub(super) fn record_served(&mut self, part: &PromptPart, served: ServedPart) {
        if let Some(known) = self.served.get_mut(part) {
            known.at = known.at.max(served.at);
            known.own_at = known.own_at.max(served.own_at);
            return;
        }
        make_room(&mut self.served, MAX_SERVED, |known| known.at);
        self.served.insert(part.clone(), served);
    }

    /// Returns the most suspected of a request's parts, for which requests are tried one at a time; `None` if none is
    /// suspected of several crashes.
    pub fn main_suspect<'a>(&self, parts: &'a [PromptPart], now: Moment) -> Option<&'a PromptPart> {
        let suspects = parts.iter().filter(|part| self.is_tried(part, now));
        suspects.max_by_key(|part| self.count(part).max(self.exposures(part).len()))
    }

    /// Returns how long to delay a request with these parts, one of which may be held after one more crash: the others
    /// may be cleared until then.
    pub fn decision_delay(&self, parts: &[PromptPart], now: Moment) -> Duration {
        let is_delayed = |part: &&PromptPart| {
            let is_repeated = self.count(part) >= SUSPECT_CRASHES;
            self.is_tried(part, now) && (is_repeated || !self.is_instructive(part, parts))
        };
        // After a start a request has to be tried before any other one can be, or nothing would clear a sound part.
        let crashes = parts.iter().filter(is_delayed).flat_map(|part| self.suspected_crashes(part));
        let newest = crashes.filter(|crash| crash.is_live).map(|crash| crash.at).max();
        let delay = newest.map_or(Duration::ZERO, |at| (at + CLEAR_TIME).saturating_sub(now));
        let exposed = parts.iter().filter(|part| self.is_exposed_suspect(part, now));
        let delays = exposed.map(|part| self.exposure_delay(part, now));
        delays.max().unwrap_or_default().max(delay)
    }

    /// Records when the last message of another data centre was received; `None` if there is no other data centre.
    ///
    /// Requests that clear a part may be served in any data centre, so a hold that binds all daemons is decided only on
    /// crashes after which a message of another one was received. Holds of an isolated data centre bind only itself.
    pub fn set_remote_heard(&mut self, heard: Option<Moment>) {
        self.remote.update(heard);
    }

    /// Records which servers are in this daemon's data centre.
    pub fn set_local(&mut self, is_local: impl Fn(&ServerInstance) -> bool) {
        for (id, crash) in &mut self.crashes {
            crash.is_local |= is_local(&id.server);
        }
    }

    /// Records whether the parts that were held before this process started are not known yet. Until then, earlier
    /// crashes of a part may be missing.
    pub fn set_unread(&mut self, is_unread: bool) {
        self.is_unread = is_unread;
    }

    /// Returns whether no crash is remembered, so that no part can be suspected.
    pub fn has_no_crashes(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns whether requests with a part are tried one at a time. Those with a trusted part are not, unless it may have
    /// caused what another part is held for.
    fn is_tried(&self, part: &PromptPart, now: Moment) -> bool {
        let may_be_cause =
            || self.is_suspect(part) && (!self.is_trusted(part, now) || self.is_alternative(part));
        may_be_cause() || self.is_exposed_suspect(part, now) || self.held.contains_key(part)
    }

    /// Returns whether a part will soon be cleared if it is sound: a whole route may share it, and would go in single file
    /// whenever several servers crash. One that was in use and is not cleared in time may have become fatal.
    fn is_trusted(&self, part: &PromptPart, now: Moment) -> bool {
        let is_in_use = self.served.get(part).is_some_and(|s| now <= s.at + SERVED_TRUST);
        let times: Vec<_> = self.suspected_crashes(part).map(|crash| crash.at).collect();
        let is_recent = times.iter().min().is_none_or(|first| now < *first + CLEAR_TIME);
        is_in_use && is_recent && times.len() < MAX_TRUSTED_CRASHES
    }

    /// Returns whether a part is suspected of several crashes, or of one if it may have been held before.
    fn is_suspect(&self, part: &PromptPart) -> bool {
        let least = if self.may_have_been_held(part) { 1 } else { SUSPECT_CRASHES };
        self.suspected_crashes(part).nth(least - 1).is_some()
    }

    /// Returns whether a part may have been held before this process started: the stored quarantine is not known yet, and no
    /// request with the part was served since.
    fn may_have_been_held(&self, part: &PromptPart) -> bool {
        self.is_unread && !self.served.contains_key(part)
    }

    /// Returns whether a part that may have been held before is suspected of a crash again, and was not cleared in time.
    fn is_suspect_again(&self, part: &PromptPart, now: Moment) -> bool {
        let newest = self.uncleared_crashes(part).map(|crash| crash.at).max();
        self.may_have_been_held(part) && newest.is_some_and(|at| now >= at + CLEAR_TIME)
    }

    pub(super) fn count(&self, part: &PromptPart) -> usize {
        self.suspected_crashes(part).count()
    }

    /// Returns the crashes that a part is suspected of and that no other, held part explains.
    pub(super) fn suspected_crashes<'a>(
        &'a self,
        part: &'a PromptPart,
    ) -> impl Iterator<Item = &'a PromptCrash> {
        self.uncleared_crashes(part).filter(|crash| !self.is_explained(part, crash))
    }

    /// Returns the crashes that a part may have caused, whether or not another part is held for them.
    pub(super) fn uncleared_crashes<'a>(
        &'a self,
        part: &'a PromptPart,
    ) -> impl Iterator<Item = &'a PromptCrash> {
        self.crashes.values().filter(|crash| self.may_have_caused(part, crash))
    }

    /// Returns whether a server had a request with a part when it crashed, and none got further since.
    pub(super) fn may_have_caused(&self, part: &PromptPart, crash: &PromptCrash) -> bool {
        crash.worst_stage_of(part).is_some() && !self.is_cleared(part, crash)
    }

    fn is_cleared(&self, part: &PromptPart, crash: &PromptCrash) -> bool {
        let Some(stage) = crash.worst_stage_of(part) else { return false };
        let clearing = RequestProgress::ALL.into_iter().filter(|p| p.clears(stage));
        let mut clearings = clearing.filter_map(|p| self.cleared.get(&(part.clone(), p)));
        clearings.any(|clearing| clearing.passed_at >= crash.at)
    }

    /// Returns the first of a request's parts that is held, or may have been before this process started, so that the request
    /// must not be sent to any server; the call restarts its [`HOLD_TIME`]. A request that may show that the part is sound is
    /// tried instead.
    pub fn held_part<'a>(
        &mut self,
        parts: &'a [PromptPart],
        now: Moment,
    ) -> Option<&'a PromptPart> {
        let is_refused = |part: &&PromptPart| {
            self.held.contains_key(*part) && !self.is_instructive(part, parts)
                || self.is_suspect_again(part, now) && !self.is_instructive(part, parts)
        };
        let part = parts.iter().find(is_refused)?;
        if let Some(hold) = self.held.get_mut(part) {
            hold.last_attempt = now;
        }
        Some(part)
    }

    /// Returns the ids of the crashes that a part is suspected of.
    pub fn crash_ids(&self, part: &PromptPart) -> Vec<CrashId> {
        let survival = self.survival(part);
        let suspected = self.crashes.iter().filter(|(_, crash)| {
            self.may_have_caused(part, crash) || is_exposed(part, crash, &survival)
        });
        suspected.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of known crashes that a part was cleared of: a server had a request with it, and one got further
    /// since.
    pub fn cleared_count(&self, part: &PromptPart) -> usize {
        self.crashes.values().filter(|crash| self.is_cleared(part, crash)).count()
    }

    /// Returns whether a part is held, at all daemons or at this one.
    pub fn is_held(&self, part: &PromptPart) -> bool {
        self.held.contains_key(part)
    }

    /// Returns whether a part is held at all daemons; `false` also if only this one holds it while it is isolated.
    pub fn is_held_fleetwide(&self, part: &PromptPart) -> bool {
        self.held.get(part).is_some_and(PartHold::is_fleetwide)
    }

    /// Returns the parts that are held at all daemons.
    pub fn held_fleetwide(&self) -> Vec<PromptPart> {
        let held = self.held.iter().filter(|(_, hold)| hold.is_fleetwide());
        held.map(|(part, _)| part.clone()).collect()
    }

    /// Returns the number of held parts.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Holds a part at all daemons; returns whether it was not held so before.
    pub fn hold(&mut self, part: &PromptPart, now: Moment) -> bool {
        let (since, learned_at, last_attempt) = (now, now, now);
        let scope = HoldScope::Fleet;
        self.merge_hold(part, PartHold { since, learned_at, last_attempt, scope })
    }

    pub(super) fn merge_hold(&mut self, part: &PromptPart, hold: PartHold) -> bool {
        let passed_at = |clearing: &Clearing| clearing.passed_at;
        let cleared = |progress| self.cleared.get(&(part.clone(), progress)).map(passed_at);
        let releasing = RequestProgress::ALL.into_iter().filter(|p| self.releases(part, *p));
        let released = releasing.filter_map(cleared);
        if released.max().is_some_and(|at| at >= hold.since) {
            return false;
        }
        if let Some(known) = self.held.get_mut(part) {
            known.since = known.since.max(hold.since);
            known.last_attempt = known.last_attempt.max(hold.last_attempt);
            let was_fleetwide = known.is_fleetwide();
            if hold.is_fleetwide() && !was_fleetwide {
                known.scope = HoldScope::Fleet;
                known.learned_at = hold.learned_at;
            }
            return hold.is_fleetwide() && !was_fleetwide;
        }
        if let Some(at) = self.served.get(part).and_then(|served| served.own_at) {
            self.tell_served(part, at, hold.learned_at);
        }
        if hold.is_fleetwide() && self.refuted_at(part).is_some_and(|at| at >= hold.since) {
            return false;
        }
        make_room(&mut self.held, MAX_PARTS, |hold| hold.last_attempt);
        self.held.insert(part.clone(), hold);
        true
    }

    /// Returns when the last request with a part had its first event that this daemon saw get further than all known crashes
    /// with the part; `None` if there is none, no crash is known, or the part is suspected of one.
    ///
    /// Reports of peers do not count: they are dated by when they are read, which may be long after the event.
    fn refuted_at(&self, part: &PromptPart) -> Option<Moment> {
        let stages = || self.crashes.values().filter_map(|crash| crash.stage_of(part));
        if self.crashes.values().any(|crash| self.may_have_caused(part, crash))
            || !self.exposures(part).is_empty()
            || stages().next().is_none()
        {
            return None;
        }
        let passed = RequestProgress::ALL.into_iter().filter(|p| stages().all(|s| p.clears(s)));
        passed.filter_map(|progress| self.own_progress(part, progress)).max()
    }

    /// Returns when the last request with a part had its first event that this daemon saw get so far.
    fn own_progress(&self, part: &PromptPart, progress: RequestProgress) -> Option<Moment> {
        if progress == RequestProgress::FirstEvent {
            return self.served.get(part)?.own_at;
        }
        let cleared = self.cleared.get(&(part.clone(), progress)).filter(|c| c.is_own);
        cleared.map(|clearing| clearing.passed_at)
    }

    /// Reports to peers that a part which is held was served here before: they may not know, and take it for one that never was.
    fn tell_served(&mut self, part: &PromptPart, at: Moment, now: Moment) {
        let key = (part.clone(), RequestProgress::FirstEvent);
        let known = self.cleared.get(&key).map_or(at, |known| known.passed_at);
        make_room(&mut self.cleared, MAX_PARTS, |known| known.passed_at);
        let passed_at = known.max(at);
        self.cleared.insert(key, Clearing { passed_at, learned_at: now, is_own: true });
    }

    /// Clears a part of crashes; returns whether it was held until now.
    pub(super) fn clear_at(
        &mut self,
        part: &PromptPart,
        progress: RequestProgress,
        clearing: Clearing,
    ) -> bool {
        let key = (part.clone(), progress);
        let is_known = |known: &&Clearing| {
            let delay = if clearing.is_own { Duration::ZERO } else { MAX_REPORT_DELAY };
            clearing.passed_at <= known.passed_at + delay
        };
        let known = self.cleared.get(&key).filter(is_known);
        let clearing = known.copied().unwrap_or(clearing);
        if let Some(known) = self.cleared.get_mut(&key) {
            *known = clearing;
        } else {
            make_room(&mut self.cleared, MAX_PARTS, |known| known.passed_at);
            self.cleared.insert(key, clearing);
        }
        let is_refuted = |hold: &PartHold| hold.since <= clearing.passed_at;
        let is_released =
            self.releases(part, progress) && self.held.get(part).is_some_and(is_refuted);
        is_released && self.held.remove(part).is_some()
    }

    /// Removes expired records; returns the parts that are no longer held.
    pub fn sweep(&mut self, now: Moment) -> Vec<PromptPart> {
        self.crashes.retain(|_, crash| now <= crash.at + CRASH_RETENTION);
        self.cleared.retain(|_, clearing| now <= clearing.passed_at + CRASH_RETENTION);
        self.served.retain(|_, served| now <= served.at + HOLD_TIME);
        self.answered.retain(|_, at| now <= *at + HOLD_TIME);
        let expired = self.held.extract_if(|_, hold| now > hold.last_attempt + HOLD_TIME);
        expired.map(|(part, _)| part).collect()
    }

    /// Returns whether a request that got this far releases its parts: further than any server that crashed under one.
    fn releases(&self, part: &PromptPart, progress: RequestProgress) -> bool {
        let is_passed =
            |crash: &PromptCrash| crash.stage_of(part).is_none_or(|s| progress.clears(s));
        progress != RequestProgress::FirstEvent && self.crashes.values().all(is_passed)
    }

    pub(super) fn crash_entry(
        &mut self,
        id: &CrashId,
        service: &ServiceName,
        at: Moment,
        now: Moment,
    ) -> &mut PromptCrash {
        if !self.crashes.contains_key(id) {
            make_room(&mut self.crashes, MAX_CRASHES, |crash| crash.at);
        }
        let crash = self
            .crashes
            .entry(id.clone())
            .or_insert_with(|| PromptCrash::new(service.clone(), at, now));
        crash.at = crash.at.min(at);
        crash
    }
}

/// Removes the oldest entry of a map that has `max_entries`.
fn make_room<K: Clone + Eq + Hash, V>(
    map: &mut HashMap<K, V>,
    max_entries: usize,
    time: impl Fn(&V) -> Moment,
) {
    if map.len() >= max_entries {
        let oldest = map.iter().min_by_key(|(_, value)| time(value)).map(|(key, _)| key.clone());
        oldest.and_then(|key| map.remove(&key));
    }
}
