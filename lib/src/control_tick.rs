//! What a daemon does as time passes: leases, hosts, reports, the log's clock and snapshots.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::control::Controller;
use crate::event::DecisionKind;
use crate::event::Effect;
use crate::fleet::HostState;
use crate::host::Host;
use crate::host::HostRole;
use crate::host::OrderAction;
use crate::ids::ModelName;
use crate::ids::Offset;
use crate::ids::SlotId;
use crate::lease::RENEW_INTERVAL;
use crate::record::Bid;
use crate::record::Phase;
use crate::record::Record;
use crate::record::ServerFacts;
use crate::replicated_state::TICK_PERIOD_S;
use crate::slot_tracker::SlotTracker;
use crate::slots::Slot;
use crate::snapshot;

/// Time between reports of a server on which something loads: a finished load is seen soon.
const LOADING_POLL: Duration = Duration::from_millis(100);
/// Time between two full rounds over all hosts, slots and rows of the data centre.
const ROUND: Duration = Duration::from_secs(1);
/// Time after which the log's backend servers are compared with the host list again, though neither
/// the list nor the lease changed: a record may have been rejected.
const RESTATE: Duration = Duration::from_secs(10);
/// How much rarer servers are asked on which nothing is loaded.
const EMPTY_POLL_FACTOR: u32 = 10;
/// Bids of one data centre's daemons are spread over this time.
const BID_SPREAD: Duration = Duration::from_millis(1500);
/// Entries between two snapshots.
pub const SNAPSHOT_EVERY: Offset = 5000;
/// Snapshots of several daemons are spread over this many entries.
const SNAPSHOT_SPREAD: Offset = 2000;

impl Controller {
    pub(crate) fn tick(&mut self, now: Duration) {
        self.demand.expire(now);
        self.refuse_overdue_claims(now);
        self.keep_lease(now);
        if self.held_fence().is_none() {
            return;
        }
        let full = now >= self.last_pass + ROUND;
        if full {
            self.last_pass = now;
            if self.servers_checked.is_none_or(|at| now >= at + RESTATE) {
                self.servers_checked = Some(now);
                self.state_hosts();
            }
            self.keep_log(now);
        }
        self.poll_servers(now);
        self.reconcile_slots(now, full);
        if full || !self.demand.is_empty() {
            self.place_models(now);
        }
    }

    pub(crate) fn stop(&mut self) {
        self.stopping = true;
        self.appender.discard_queued(|r| matches!(r, Record::Bid(_) | Record::Renew));
        if let Some(fence) = self.held_fence() {
            self.appender.push(Record::Release(self.settings.centre.clone(), fence));
        }
    }

    pub(crate) fn replace_hosts(&mut self, now: Duration, hosts: Vec<Host>) {
        self.fleet.replace(hosts);
        self.servers_checked = None;
        self.slot_tracker.retain(|id| self.state.slots.contains(id));
        self.observe_centres(now);
        self.effects.push(Effect::Publish);
    }

    /// Watches the leases of all data centres, so that a lost one is noticed.
    fn observe_centres(&mut self, now: Duration) {
        for (centre, lease) in &self.state.leases {
            self.authority.observe(now, centre, Some(lease));
        }
    }

    fn spread(&self) -> u64 {
        xxh3_64(self.settings.id.as_bytes())
    }

    fn keep_lease(&mut self, now: Duration) {
        if self.stopping {
            return;
        }
        if self.held_fence().is_some() {
            let due = self.authority.renewal_due(now, RENEW_INTERVAL);
            if due && !self.appender.any_pending(|r| *r == Record::Renew) {
                self.appender.push(Record::Renew);
            }
            return;
        }
        let patience = BID_SPREAD.mul_f64((self.spread() % 100) as f64 / 100.0);
        let centre = self.settings.centre.clone();
        let Some(seen) = self.authority.due_bid(now, &centre, patience) else {
            return;
        };
        // A queued bid that names an old renewal can no longer win.
        self.appender.discard_queued(|r| matches!(r, Record::Bid(b) if b.seen != seen));
        if !self.appender.any_pending(|r| matches!(r, Record::Bid(_))) {
            self.appender.push(Record::Bid(Bid { centre: centre.clone(), seen }));
            self.log_decision(DecisionKind::Bid, "", &centre, format!("no renewal since {seen}"));
        }
    }

    /// Notes a lease won or lost.
    ///
    /// What was known of slots under an older fence is forgotten: another holder may have given
    /// orders meanwhile, so an old answer proves nothing.
    pub(crate) fn on_lease_change(&mut self) {
        let fence = self.held_fence();
        if fence == self.logged_fence {
            return;
        }
        let centre = self.settings.centre.clone();
        match fence {
            Some(fence) => {
                self.log_decision(DecisionKind::Lead, "", &centre, format!("fence={fence}"));
            }
            None => self.log_decision(
                DecisionKind::Yield,
                "",
                &centre,
                "the lease went to another daemon",
            ),
        }
        self.logged_fence = fence;
        self.servers_checked = None;
        self.slot_tracker = SlotTracker::default();
    }

    /// Writes to the log which backend servers there are.
    fn state_hosts(&mut self) {
        if !self.fleet.has_host_list() {
            return;
        }
        let mut records = Vec::new();
        for member in self.fleet.with_role(HostRole::Engine) {
            if member.host.centre != self.settings.centre {
                continue;
            }
            let known = self.state.servers.get(&member.host.id);
            if known.is_none_or(|s| s.incarnation < member.host.incarnation) {
                records.push(Record::Server(facts(&member.host)));
            }
        }
        for (id, server) in &self.state.servers {
            if self.fleet.get(id).is_none() && self.answers_for(&server.centre) {
                records.push(Record::Gone(id.clone(), server.incarnation));
            }
        }
        for record in records {
            self.appender.push_unique(record);
        }
    }

    /// Returns whether this daemon states which hosts of `centre` are gone.
    ///
    /// Slots of a lost data centre would stay taken for ever, since its own daemons are gone too.
    /// Holders of other leases free them, on the host list's word, when its lease has lapsed.
    fn answers_for(&self, centre: &str) -> bool {
        centre == self.settings.centre
            || self.state.leases.get(centre).is_none_or(|lease| {
                self.fleet.has_host_list() && self.fleet.get(&lease.daemon).is_none()
            })
    }

    fn poll_servers(&mut self, now: Duration) {
        let members = self.local_servers.iter().filter_map(|id| self.fleet.get(id));
        let due: Vec<_> = members
            .filter(|m| m.polled_at.is_none_or(|at| now >= at + self.poll_period(m)))
            .map(|m| m.host.id.clone())
            .collect();
        for id in due {
            self.fleet.record_poll(now, &id);
            self.effects.push(Effect::Poll(id));
        }
    }

    fn poll_period(&self, member: &HostState) -> Duration {
        let slots = || self.state.slots.on_server(&member.host.id);
        if slots().any(|(id, s)| self.is_loading(id, s)) {
            return LOADING_POLL;
        }
        let empty = slots().all(|(_, s)| s.phase == Phase::Reserved);
        let factor = if empty && member.last_report.is_some() { EMPTY_POLL_FACTOR } else { 1 };
        self.settings.poll_interval * factor
    }

    fn is_loading(&self, id: SlotId, slot: &Slot) -> bool {
        let woken = || {
            self.slot_tracker.get(id).is_some_and(|w| {
                !w.loaded && w.order.is_some_and(|o| o.action == OrderAction::Load)
            })
        };
        slot.phase.is_loading() || (slot.phase == Phase::Reserved && woken())
    }

    /// Advances the log's clock and writes snapshots before older entries expire.
    fn keep_log(&mut self, now: Duration) {
        let period = Duration::from_secs(TICK_PERIOD_S);
        if now >= self.last_tick + period
            && !self.appender.any_pending(|r| matches!(r, Record::Tick(_)))
        {
            self.appender.push(Record::Tick(self.state.tick + 1));
        }
        let due = self.snapshot_offset + SNAPSHOT_EVERY + self.spread() % SNAPSHOT_SPREAD;
        let writing = || self.appender.any_pending(|r| matches!(r, Record::Snapshot(_)));
        if self.state.offset >= due && !writing() {
            for part in snapshot::split(&self.state) {
                self.appender.push(Record::Snapshot(part));
            }
        }
    }

    /// Returns the loaded models of this daemon's data centre that have no request, if it leads.
    pub fn idle_models(&self) -> Vec<ModelName> {
        if self.held_fence().is_none() {
            return Vec::new();
        }
        self.local_slots()
            .into_iter()
            .filter(|id| self.slot_tracker.get(*id).is_some_and(|w| w.active == 0))
            .filter_map(|id| self.state.slots.get(id))
            .filter(|s| matches!(s.phase, Phase::Loaded | Phase::Draining))
            .map(|s| s.model.clone())
            .collect()
    }
}

fn facts(host: &Host) -> ServerFacts {
    ServerFacts {
        id: host.id.clone(),
        incarnation: host.incarnation,
        centre: host.centre.clone(),
        memory_mib: host.memory_mib,
        fencing: host.fencing,
    }
}
