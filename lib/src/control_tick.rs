//! Periodic work of the control state machine: lease renewal and bids, the servers in the log,
//! polls of backend servers, the log's tick count and snapshots.

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

/// Time between polls of a server with a load in progress, so that its end is noticed quickly.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two full passes over all hosts, slots and rows of the data centre.
const FULL_PASS_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which the log's backend servers are compared with the host list again even if neither
/// the list nor the lease changed, because a record may have been rejected.
const SERVER_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Factor by which the poll interval of servers without a loaded model is longer.
const EMPTY_POLL_FACTOR: u32 = 10;
/// Time over which the bids of one data centre's daemons are spread.
const BID_SPREAD: Duration = Duration::from_millis(1500);
/// Log entries between two snapshots.
pub const SNAPSHOT_EVERY: Offset = 5000;
/// Log entries over which the snapshots of different daemons are spread.
const SNAPSHOT_SPREAD: Offset = 2000;

impl Controller {
    pub(crate) fn tick(&mut self, now: Duration) {
        self.demand.expire(now);
        self.refuse_overdue_claims(now);
        self.maintain_lease(now);
        if self.held_fence().is_none() {
            return;
        }
        let full = now >= self.last_pass + FULL_PASS_INTERVAL;
        if full {
            self.last_pass = now;
            if self.servers_checked.is_none_or(|at| now >= at + SERVER_CHECK_INTERVAL) {
                self.servers_checked = Some(now);
                self.append_server_changes();
            }
            self.maintain_log(now);
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
        self.observe_all_leases(now);
        self.effects.push(Effect::Publish);
    }

    /// Observes the leases of all data centres, so that an expired one is noticed.
    fn observe_all_leases(&mut self, now: Duration) {
        for (centre, lease) in &self.state.leases {
            self.authority.observe(now, centre, Some(lease));
        }
    }

    /// Returns a hash of the daemon's id, which spreads bids and snapshots of different daemons.
    fn id_hash(&self) -> u64 {
        xxh3_64(self.settings.id.as_bytes())
    }

    fn maintain_lease(&mut self, now: Duration) {
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
        let bid_delay = BID_SPREAD.mul_f64((self.id_hash() % 100) as f64 / 100.0);
        let centre = self.settings.centre.clone();
        let Some(seen) = self.authority.due_bid(now, &centre, bid_delay) else {
            return;
        };
        // A queued bid that names an older renewal can no longer succeed.
        self.appender.discard_queued(|r| matches!(r, Record::Bid(b) if b.seen != seen));
        if !self.appender.any_pending(|r| matches!(r, Record::Bid(_))) {
            self.appender.push(Record::Bid(Bid { centre: centre.clone(), seen }));
            self.log_decision(DecisionKind::Bid, "", &centre, format!("no renewal since {seen}"));
        }
    }

    /// Logs a gained or lost lease and resets what depends on it.
    ///
    /// The tracked slots are dropped: another holder may have sent orders since, so old answers of
    /// engines are no longer valid.
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

    /// Appends records of new, restarted and removed backend servers to the log.
    fn append_server_changes(&mut self) {
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
                records.push(Record::Server(server_facts(&member.host)));
            }
        }
        for (id, server) in &self.state.servers {
            if self.fleet.get(id).is_none() && self.may_remove_servers(&server.centre) {
                records.push(Record::Gone(id.clone(), server.incarnation));
            }
        }
        for record in records {
            self.appender.push_unique(record);
        }
    }

    /// Returns whether this daemon may record that servers of `centre`, which the host list no
    /// longer contains, were removed.
    ///
    /// Slots of a removed data centre would stay occupied forever, since its own daemons are
    /// removed too. Lease holders of other data centres free them if `centre` has no lease, or if
    /// its holder is no longer in the host list.
    fn may_remove_servers(&self, centre: &str) -> bool {
        centre == self.settings.centre
            || self.state.leases.get(centre).is_none_or(|lease| {
                self.fleet.has_host_list() && self.fleet.get(&lease.daemon).is_none()
            })
    }

    fn poll_servers(&mut self, now: Duration) {
        let members = self.local_servers.iter().filter_map(|id| self.fleet.get(id));
        let due: Vec<_> = members
            .filter(|m| m.polled_at.is_none_or(|at| now >= at + self.report_interval(m)))
            .map(|m| m.host.id.clone())
            .collect();
        for id in due {
            self.fleet.record_poll(now, &id);
            self.effects.push(Effect::Poll(id));
        }
    }

    fn report_interval(&self, member: &HostState) -> Duration {
        let slots = || self.state.slots.on_server(&member.host.id);
        if slots().any(|(id, s)| self.is_loading(id, s)) {
            return LOADING_POLL_INTERVAL;
        }
        let empty = slots().all(|(_, s)| s.phase == Phase::Reserved);
        let factor = if empty && member.last_report.is_some() { EMPTY_POLL_FACTOR } else { 1 };
        self.settings.poll_interval * factor
    }

    fn is_loading(&self, id: SlotId, slot: &Slot) -> bool {
        let load_ordered = || {
            self.slot_tracker.get(id).is_some_and(|t| {
                !t.loaded && t.order.is_some_and(|o| o.action == OrderAction::Load)
            })
        };
        slot.phase.is_loading() || (slot.phase == Phase::Reserved && load_ordered())
    }

    /// Advances the log's tick count, and appends snapshots before older entries expire.
    fn maintain_log(&mut self, now: Duration) {
        let period = Duration::from_secs(TICK_PERIOD_S);
        if now >= self.last_tick + period
            && !self.appender.any_pending(|r| matches!(r, Record::Tick(_)))
        {
            self.appender.push(Record::Tick(self.state.tick + 1));
        }
        let due = self.snapshot_offset + SNAPSHOT_EVERY + self.id_hash() % SNAPSHOT_SPREAD;
        let writing = || self.appender.any_pending(|r| matches!(r, Record::Snapshot(_)));
        if self.state.offset >= due && !writing() {
            for part in snapshot::split(&self.state) {
                self.appender.push(Record::Snapshot(part));
            }
        }
    }

    /// Returns the loaded models of this daemon's data centre that have no request; empty if this
    /// daemon does not hold the lease.
    pub fn idle_models(&self) -> Vec<ModelName> {
        if self.held_fence().is_none() {
            return Vec::new();
        }
        self.local_slots()
            .into_iter()
            .filter(|id| self.slot_tracker.get(*id).is_some_and(|t| t.active == 0))
            .filter_map(|id| self.state.slots.get(id))
            .filter(|s| matches!(s.phase, Phase::Loaded | Phase::Draining))
            .map(|s| s.model.clone())
            .collect()
    }
}

fn server_facts(host: &Host) -> ServerFacts {
    ServerFacts {
        id: host.id.clone(),
        incarnation: host.incarnation,
        centre: host.centre.clone(),
        memory_mib: host.memory_mib,
        fencing: host.fencing,
    }
}
