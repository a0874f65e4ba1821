//! Quarantine of prompt parts: records which prompts servers had when they crashed, and holds a part back once it is
//! found to crash servers whatever else a request contains.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::clearing::Clearing;
use crate::cluster::configuration::ServiceName;
use crate::cluster::part_evidence::PartEvidence;
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
use crate::cluster::server_instance::ServerInstance;

/// Number of crashes after which requests with a part are tried one at a time. At one, all callers of a service whose
/// prompts begin alike would wait for each other.
const SUSPECT_CRASHES: usize = 2;
/// Time after a request with a part was served during which others are not tried one at a time.
const SERVED_TRUST: Duration = Duration::from_mins(1);
/// Number of crashes after which a part is held, if every other part of one of them is suspected of fewer, or of as many
/// but was served before as this part was not.
const SOLE_SUSPECT_CRASHES: usize = 3;
/// Number of crashes after which a part is held that has equals at each. Of parts of one prompt, the last one is held:
/// it is shared by fewer requests.
const JOINT_SUSPECT_CRASHES: usize = 5;
/// Different requests under which servers crashed before their common part is held; one alone may itself be the cause.
const MIN_REQUESTS: usize = 2;
/// Least time from the first to the last crash before a part is held: the loss of many hosts at one instant exposes
/// every common part to several crashes.
const MIN_SPREAD: Duration = Duration::from_millis(150);
/// Time within which other parts of a crash are cleared by requests with them at any daemon.
const CLEAR_TIME: Duration = Duration::from_secs(1);
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
    /// When a request with a part last got an event from a server, by what this daemon saw.
    pub(super) served: HashMap<PromptPart, Moment>,
    /// Whether reports of other data centres are received, which may clear parts.
    pub(super) remote: RemoteContact,
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
        let stage = prompt.stage;
        let crash = self.crash_entry(id, service, now, now);
        crash.is_own = true;
        crash.worst_stage = crash.worst_stage.min(stage);
        crash.add_prompt(prompt, now);
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
            self.record_served(part, now);
            let is_exposed = |c: &&PromptCrash| progress.clears(c.worst_stage) && c.at <= passed_at;
            let exposed = self.suspected_crashes(part).filter(is_exposed).count();
            let is_released = releases(progress)
                && self.held.get(part).is_some_and(|hold| hold.since <= passed_at);
            if exposed == 0 && !is_released {
                continue;
            }
            change.cleared.push((part.clone(), exposed));
            change.is_urgent |= is_released || self.is_suspect(part);
            if self.clear_at(part, progress, Clearing { passed_at, learned_at: now }) {
                change.released.push(part.clone());
            }
        }
        change
    }

    fn record_served(&mut self, part: &PromptPart, now: Moment) {
        if let Some(known) = self.served.get_mut(part) {
            *known = now;
            return;
        }
        make_room(&mut self.served, MAX_SERVED, |at| *at);
        self.served.insert(part.clone(), now);
    }

    /// Returns the most suspected of a request's parts, for which requests are tried one at a time; `None` if none is
    /// suspected of several crashes.
    pub fn main_suspect<'a>(&self, parts: &'a [PromptPart], now: Moment) -> Option<&'a PromptPart> {
        let suspects = parts.iter().filter(|part| self.is_tried(part, now));
        suspects.max_by_key(|part| self.count(part))
    }

    /// Returns how long to delay a request with these parts, one of which may be held after one more crash: the others
    /// may be cleared until then.
    pub fn decision_delay(&self, parts: &[PromptPart], now: Moment) -> Duration {
        let suspects = parts.iter().filter(|part| self.is_tried(part, now));
        let newest = suspects.flat_map(|part| self.suspected_crashes(part)).map(|c| c.at).max();
        newest.map_or(Duration::ZERO, |at| (at + CLEAR_TIME).saturating_sub(now))
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

    /// Returns whether no crash is remembered, so that no part can be suspected.
    pub fn has_no_crashes(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Holds those of some parts that are suspected of enough crashes; returns which are held from now on, or bind all
    /// daemons from now on.
    pub fn evaluate(&mut self, parts: &[PromptPart], now: Moment) -> Vec<PromptPart> {
        let is_open = |part: &&PromptPart| !self.held.get(part).is_some_and(PartHold::is_fleetwide);
        let found = |part: &PromptPart| Some((part.clone(), self.find_fatal(part, now)?));
        let fatal: Vec<_> = parts.iter().filter(is_open).filter_map(found).collect();
        let mut new_parts = Vec::new();
        for (part, scope) in fatal {
            let newest = self.suspected_crashes(&part).map(|crash| crash.at).max();
            let since = newest.unwrap_or(now);
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
        let crashes: Vec<_> = self.suspected_crashes(part).collect();
        let has_reported = |crash: &&PromptCrash| self.remote.has_reported(crash.at, now);
        let reported: Vec<_> = crashes.iter().copied().filter(has_reported).collect();
        if self.is_proven(part, &reported, self.remote.heard_until(now)) {
            return Some(HoldScope::Fleet);
        }
        let local: Vec<_> = crashes.into_iter().filter(|crash| crash.is_local).collect();
        let since = local.iter().map(|crash| crash.at).min()?;
        let is_found = self.remote.is_isolated(now)
            && self.is_contrasted(part, since)
            && self.is_proven(part, &local, now);
        is_found.then_some(HoldScope::Isolated)
    }

    /// Returns whether crashes that a part is suspected of show that it crashes servers. Reports that clear other parts have
    /// been received up to `heard_until`.
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
                heard_until >= crash.at + CLEAR_TIME && self.is_most_suspected(part, crash, count)
            })
    }

    /// Returns whether servers of a part's service answered other requests after `since`, and never one with the part.
    ///
    /// While isolated, the absence of reports that clear the part is no evidence by itself: the servers that would serve
    /// requests with it may be unreachable.
    fn is_contrasted(&self, part: &PromptPart, since: Moment) -> bool {
        let mut served = self.served.iter().filter(|(other, _)| other.service == part.service);
        !self.served.contains_key(part) && served.any(|(_, at)| *at > since)
    }

    /// Returns whether a part is suspected of more crashes, `count`, than all others that a server had when it crashed,
    /// or is preferred to those that are suspected of as many.
    fn is_most_suspected(&self, part: &PromptPart, crash: &PromptCrash, count: usize) -> bool {
        let is_preferred = |other: &PromptPart| {
            let (is_served, other_served) =
                (self.served.contains_key(part), self.served.contains_key(other));
            let is_joint = count >= JOINT_SUSPECT_CRASHES && is_served == other_served;
            !is_served && other_served || is_joint && !crash.is_behind(other.id, part.id)
        };
        let mut others = crash.parts().into_iter().filter(|id| *id != part.id);
        others.all(|id| {
            let other = PromptPart { service: part.service.clone(), id };
            let other_count = self.count(&other);
            other_count < count || other_count == count && is_preferred(&other)
        })
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

    /// Returns whether requests with a part are tried one at a time. Those with a part that was just served are not: a
    /// whole route may share it, and would go in single file whenever several servers crash.
    fn is_tried(&self, part: &PromptPart, now: Moment) -> bool {
        let is_sound = self.served.get(part).is_some_and(|at| now <= *at + SERVED_TRUST);
        !is_sound && self.is_suspect(part)
    }

    /// Returns whether a part is suspected of several crashes.
    fn is_suspect(&self, part: &PromptPart) -> bool {
        self.suspected_crashes(part).nth(SUSPECT_CRASHES - 1).is_some()
    }

    fn count(&self, part: &PromptPart) -> usize {
        self.suspected_crashes(part).count()
    }

    /// Returns the crashes that a part is suspected of and that no other, held part explains.
    pub(super) fn suspected_crashes<'a>(
        &'a self,
        part: &'a PromptPart,
    ) -> impl Iterator<Item = &'a PromptCrash> {
        self.crashes.values().filter(move |crash| {
            crash.requests_with(part).next().is_some()
                && !self.is_cleared(part, crash)
                && !self.is_explained(part, crash)
        })
    }

    pub(super) fn is_cleared(&self, part: &PromptPart, crash: &PromptCrash) -> bool {
        let clearing = RequestProgress::ALL.into_iter().filter(|p| p.clears(crash.worst_stage));
        let mut clearings = clearing.filter_map(|p| self.cleared.get(&(part.clone(), p)));
        clearings.any(|clearing| clearing.passed_at >= crash.at)
    }

    fn is_explained(&self, part: &PromptPart, crash: &PromptCrash) -> bool {
        let mut others = self.held.keys().filter(|held| *held != part);
        others.any(|held| crash.requests_with(held).next().is_some())
    }

    /// Returns the first of a request's parts that is held, and must not be sent to any server; the call restarts its
    /// [`HOLD_TIME`].
    pub fn held_part<'a>(
        &mut self,
        parts: &'a [PromptPart],
        now: Moment,
    ) -> Option<&'a PromptPart> {
        let part = parts.iter().find(|part| self.held.contains_key(part))?;
        if let Some(hold) = self.held.get_mut(part) {
            hold.last_attempt = now;
        }
        Some(part)
    }

    /// Returns the ids of the crashes that a part is suspected of.
    pub fn crash_ids(&self, part: &PromptPart) -> Vec<CrashId> {
        let suspected = self.crashes.iter().filter(|(_, crash)| {
            crash.requests_with(part).next().is_some() && !self.is_cleared(part, crash)
        });
        suspected.map(|(id, _)| id.clone()).collect()
    }

    /// Returns what is known for and against parts of prompts.
    pub fn evidence<'a>(
        &self,
        parts: impl IntoIterator<Item = &'a PromptPart>,
    ) -> Vec<PartEvidence> {
        let evidence = |part: &PromptPart| PartEvidence {
            id: part.id,
            crashes: self.count(part),
            is_served: self.served.contains_key(part),
            is_held: self.held.contains_key(part),
        };
        parts.into_iter().map(evidence).collect()
    }

    /// Returns what is known for and against the other parts that servers had when they crashed under requests with a part, the
    /// most suspected first.
    pub fn rivals(&self, part: &PromptPart) -> Vec<PartEvidence> {
        let crashes = self.crashes.values().filter(|c| c.requests_with(part).next().is_some());
        let ids: BTreeSet<_> = crashes.flat_map(PromptCrash::parts).collect();
        let others = ids.into_iter().filter(|id| *id != part.id);
        let others: Vec<_> =
            others.map(|id| PromptPart { service: part.service.clone(), id }).collect();
        let mut rivals = self.evidence(&others);
        rivals.sort_by_key(|rival| std::cmp::Reverse(rival.crashes));
        rivals
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
        let scope = HoldScope::Fleet;
        self.merge_hold(part, PartHold { since: now, learned_at: now, last_attempt: now, scope })
    }

    pub(super) fn merge_hold(&mut self, part: &PromptPart, hold: PartHold) -> bool {
        let passed_at = |clearing: &Clearing| clearing.passed_at;
        let cleared = |progress| self.cleared.get(&(part.clone(), progress)).map(passed_at);
        let released =
            RequestProgress::ALL.into_iter().filter(|p| releases(*p)).filter_map(cleared);
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
        make_room(&mut self.held, MAX_PARTS, |hold| hold.last_attempt);
        self.held.insert(part.clone(), hold);
        true
    }

    /// Clears a part of crashes; returns whether it was held until now.
    pub(super) fn clear_at(
        &mut self,
        part: &PromptPart,
        progress: RequestProgress,
        clearing: Clearing,
    ) -> bool {
        let key = (part.clone(), progress);
        if let Some(known) = self.cleared.get_mut(&key) {
            if clearing.passed_at > known.passed_at {
                *known = clearing;
            }
        } else {
            make_room(&mut self.cleared, MAX_PARTS, |known| known.passed_at);
            self.cleared.insert(key, clearing);
        }
        let is_refuted = |hold: &PartHold| hold.since <= clearing.passed_at;
        let is_released = releases(progress) && self.held.get(part).is_some_and(is_refuted);
        is_released && self.held.remove(part).is_some()
    }

    /// Removes expired records; returns the parts that are no longer held.
    pub fn sweep(&mut self, now: Moment) -> Vec<PromptPart> {
        self.crashes.retain(|_, crash| now <= crash.at + CRASH_RETENTION);
        self.cleared.retain(|_, clearing| now <= clearing.passed_at + CRASH_RETENTION);
        self.served.retain(|_, at| now <= *at + HOLD_TIME);
        let expired = self.held.extract_if(|_, hold| now > hold.last_attempt + HOLD_TIME);
        expired.map(|(part, _)| part).collect()
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

/// Returns whether a request that got this far releases its parts: a fatal part crashes a server soon after the beginning
/// of the response.
fn releases(progress: RequestProgress) -> bool {
    progress != RequestProgress::FirstEvent
}
