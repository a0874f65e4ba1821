//! The control state machine of one daemon.
//!
//! It applies the log's entries, bids for and holds the lease, places models on backend servers,
//! and answers claims and edits. It has no clock, socket or thread: `handle` takes an event with
//! its time and returns effects.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::appender::Appender;
use crate::demand::Demand;
use crate::event::Decision;
use crate::event::DecisionKind;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Hint;
use crate::fleet::Fleet;
use crate::fold;
use crate::fold::Outcome;
use crate::hints::HintTable;
use crate::host::Order;
use crate::host::OrderAnswer;
use crate::host::ServerReport;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::ModelName;
use crate::ids::Offset;
use crate::ids::ServerId;
use crate::ids::SlotId;
use crate::keep_warm::KeepWarm;
use crate::keep_warm::KeepWarmPolicy;
use crate::lease::LeaseAuthority;
use crate::load_rates::LoadRates;
use crate::pending_claims::PendingClaims;
use crate::pending_edits::PendingEdits;
use crate::record::Entry;
use crate::record::Phase;
use crate::record::Record;
use crate::replicated_state::ReplicatedState;
use crate::slot_tracker::SlotTracker;
use crate::slot_tracker::TrackedSlot;
use crate::table::Edit;

/// Time without a successful read after which the log counts as down.
const LOG_READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without an event after which this process has stood still: many times the interval of ticks.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Log entries between two checkpoints, at which daemons compare hashes of their states.
const CHECKPOINT_INTERVAL: Offset = 1024;

/// Settings of a control state machine.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// This daemon's id.
    pub id: DaemonId,
    /// Incarnation of this process; larger than that of any earlier one.
    pub incarnation: Incarnation,
    /// This daemon's data centre.
    pub centre: CentreId,
    /// Least time between two appended entries.
    pub append_gap: Duration,
    /// Policy for how long idle models stay loaded.
    pub keep_warm: KeepWarmPolicy,
    /// Time between polls of one backend server for its report.
    pub poll_interval: Duration,
}

/// The control state machine.
#[derive(Debug)]
pub struct Controller {
    pub(crate) settings: ControlSettings,
    pub(crate) state: ReplicatedState,
    pub(crate) appender: Appender,
    pub(crate) authority: LeaseAuthority,
    pub(crate) demand: Demand,
    pub(crate) fleet: Fleet,
    pub(crate) rates: LoadRates,
    pub(crate) keep_warm: KeepWarm,
    pub(crate) slot_tracker: SlotTracker,
    pub(crate) effects: Vec<Effect>,
    /// When the latest change of the log's tick count was read.
    pub(crate) last_tick: Duration,
    /// Offset of the last snapshot in the log.
    pub(crate) snapshot_offset: Offset,
    /// Backend servers of this daemon's data centre that the log lists.
    pub(crate) local_servers: Vec<ServerId>,
    /// When the log's backend servers were last compared with the host list; `None` if that must be
    /// done in the next full pass.
    pub(crate) servers_checked: Option<Duration>,
    /// When the last full pass over all hosts, slots and rows began.
    pub(crate) last_pass: Duration,
    /// Whether the daemon is stopping and no longer bids for the lease or renews it.
    pub(crate) stopping: bool,
    pub(crate) claims: PendingClaims,
    edits: PendingEdits,
    hints: HintTable,
    /// Orders sent since the process started.
    pub(crate) orders_given: u64,
    /// When the log last answered a read; `None` before the first one.
    log_read_at: Option<Duration>,
    /// When the last event was handled.
    handled_at: Duration,
    /// When this process last ran again after it had stood still.
    resumed_at: Duration,
    /// Offset of the last checkpoint, and the state's hash there.
    checkpoint: (Offset, u64),
    /// The last logged reason why each model waits for a load.
    pub(crate) logged_holds: BTreeMap<ModelName, &'static str>,
    /// Fencing number of the lease when it was last logged; `None` if it was not held then.
    pub(crate) logged_fence: Option<Fence>,
}

impl Controller {
    /// Creates a state machine that has read no log entry.
    pub fn new(settings: ControlSettings) -> Self {
        let id = settings.id.clone();
        let incarnation = settings.incarnation;
        Self {
            state: ReplicatedState::default(),
            appender: Appender::new(id.clone(), incarnation, settings.append_gap),
            authority: LeaseAuthority::default(),
            demand: Demand::default(),
            fleet: Fleet::default(),
            rates: LoadRates::default(),
            keep_warm: KeepWarm::new(settings.keep_warm),
            slot_tracker: SlotTracker::default(),
            effects: Vec::new(),
            last_tick: Duration::ZERO,
            snapshot_offset: 0,
            local_servers: Vec::new(),
            servers_checked: None,
            last_pass: Duration::ZERO,
            stopping: false,
            claims: PendingClaims::new(id, incarnation),
            edits: PendingEdits::default(),
            hints: HintTable::default(),
            orders_given: 0,
            log_read_at: None,
            handled_at: Duration::ZERO,
            resumed_at: Duration::ZERO,
            checkpoint: (0, 0),
            logged_holds: BTreeMap::new(),
            logged_fence: None,
            settings,
        }
    }

    /// Returns the state after all log entries read so far.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the hosts known to this daemon.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the load rates measured so far.
    pub fn rates(&self) -> &LoadRates {
        &self.rates
    }

    /// Returns the last checkpoint's offset and the state's hash there.
    pub fn checkpoint(&self) -> (Offset, u64) {
        self.checkpoint
    }

    /// Returns the unexpired hints of all lease holders.
    pub fn hints(&self, now: Duration) -> Vec<Hint> {
        self.hints.fresh(now)
    }

    /// Returns loaded replicas of this daemon's data centre whose load is not in the log yet; empty
    /// if this daemon does not hold the lease.
    pub fn own_hints(&self) -> Vec<Hint> {
        if self.held_fence().is_none() {
            return Vec::new();
        }
        self.local_slots()
            .into_iter()
            .filter(|id| self.slot_tracker.get(*id).is_some_and(TrackedSlot::is_unlogged_load))
            .filter_map(|id| self.state.slots.get(id))
            .filter(|s| s.phase != Phase::Loaded && s.phase != Phase::Draining)
            .map(|s| Hint { model: s.model.clone(), server: s.server.clone() })
            .collect()
    }

    /// Returns whether the log answers reads and appends. Time in which this process stood still does not count against
    /// the log.
    pub fn is_log_up(&self, now: Duration) -> bool {
        let running = now.saturating_sub(self.resumed_at);
        let read = self
            .log_read_at
            .is_some_and(|at| now.saturating_sub(at).min(running) < LOG_READ_TIMEOUT);
        let timeout = crate::pending_claims::CLAIM_TIMEOUT;
        let pending = self.appender.pending_for(now);
        let append = pending.is_none_or(|waited| waited.min(running) < timeout);
        read && append
    }

    /// Notices that this process has stood still; claims then have their whole time again, since the log could not be read
    /// meanwhile.
    fn observe_time(&mut self, now: Duration) {
        if now >= self.handled_at + STALL_TIME {
            self.resumed_at = now;
            self.claims.restart_timeouts(now);
        }
        self.handled_at = now;
    }

    /// Returns the fencing number of this daemon's lease, as read from the log; `None` if it holds
    /// none.
    pub fn held_fence(&self) -> Option<Fence> {
        let lease = self.state.leases.get(&self.settings.centre)?;
        let own =
            lease.daemon == self.settings.id && lease.incarnation == self.settings.incarnation;
        own.then_some(lease.fence)
    }

    /// Processes an event and returns the effects to carry out.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.observe_time(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Entry(offset, entry) => self.apply_entry(now, offset, &entry),
            Event::LogRead => self.on_log_read(now),
            Event::LogFailed => {}
            Event::Appended { sequence, done } => {
                self.appender.on_append_result(now, sequence, done);
            }
            Event::Hosts(hosts) => self.replace_hosts(now, hosts),
            Event::Report(server, report) => self.on_report(now, &server, report),
            Event::Ordered(order, answer) => self.on_order_answer(now, &order, answer),
            Event::Demand(daemon, waiting) => self.demand.update(now, &daemon, &waiting),
            Event::Hints(daemon, hints) => self.update_hints(now, daemon, hints),
            Event::Edit(edit) => self.add_edit(edit),
            Event::Claim(key) => self.request_claim(now, key),
            Event::Unclaim(key) => self.cancel_claim(key),
            Event::Settle(settlement) => {
                self.appender.push(Record::Settle(settlement));
            }
            Event::Stop => self.stop(),
        }
        self.send_next_entry(now);
        std::mem::take(&mut self.effects)
    }

    /// Replaces the state with one from a snapshot or a peer.
    ///
    /// Does nothing unless that state is ahead of the current one.
    pub fn install(&mut self, now: Duration, state: ReplicatedState) -> Vec<Effect> {
        if state.offset <= self.state.offset {
            return Vec::new();
        }
        self.state = state;
        let writer = self.state.writers.get(&self.settings.id);
        let own = writer.filter(|w| w.incarnation == self.settings.incarnation);
        if let Some(sequence) = own.map(|w| w.sequence) {
            self.appender.drop_through(sequence);
        }
        self.authority.restart_bid_timers(now);
        self.refresh_local_servers();
        self.observe_lease(now);
        let (answers, records) = self.claims.resync(&self.state);
        for (key, answer) in answers {
            self.effects.push(Effect::Claimed(key, answer));
        }
        for record in records {
            self.appender.push(record);
        }
        self.answer_edits();
        self.effects.push(Effect::Publish);
        self.send_next_entry(now);
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn log_decision(
        &mut self,
        action: DecisionKind,
        model: &str,
        place: &str,
        reason: impl Into<String>,
    ) {
        self.effects.push(Effect::Decide(Decision {
            action,
            model: model.into(),
            place: place.into(),
            reason: reason.into(),
        }));
    }

    /// Returns whether a record adds, updates or removes a backend server of this data centre.
    fn is_local(&self, record: &Record) -> bool {
        match record {
            Record::Server(facts) => {
                facts.centre == self.settings.centre || self.local_servers.contains(&facts.id)
            }
            Record::Gone(server, _) => self.local_servers.contains(server),
            _ => false,
        }
    }

    /// Rebuilds the list of this data centre's backend servers. It is cached because the state
    /// holds many servers of other data centres.
    fn refresh_local_servers(&mut self) {
        let local = self.state.servers.values().filter(|s| s.centre == self.settings.centre);
        self.local_servers = local.map(|s| s.id.clone()).collect();
    }

    pub(crate) fn local_slots(&self) -> Vec<SlotId> {
        let slots = self.local_servers.iter().flat_map(|s| self.state.slots.on_server(s));
        slots.map(|(id, _)| id).collect()
    }

    fn send_next_entry(&mut self, now: Duration) {
        if let Some(entry) = self.appender.poll(now) {
            self.effects.push(Effect::Append(entry));
        }
    }

    fn on_log_read(&mut self, now: Duration) {
        if self.log_read_at.is_some_and(|at| now >= at + LOG_READ_TIMEOUT) {
            // While the log was unresponsive, no renewal could be read.
            self.authority.restart_bid_timers(now);
        }
        let is_first = self.log_read_at.replace(now).is_none();
        if is_first {
            // In an empty log no record triggers the observation of the lease, so no daemon would
            // ever bid for it.
            self.observe_lease(now);
            self.effects.push(Effect::Publish);
        }
    }

    /// Returns whether the log has been read, or a state installed.
    pub fn is_ready(&self) -> bool {
        self.log_read_at.is_some() || self.state.offset > 0
    }

    fn apply_entry(&mut self, now: Duration, offset: Offset, entry: &Entry) {
        if offset != self.state.offset {
            // Already applied, or not the next entry since a state was installed.
            return;
        }
        let tick = self.state.tick;
        let outcomes = fold::apply(&mut self.state, offset, entry);
        if self.state.offset.is_multiple_of(CHECKPOINT_INTERVAL) {
            self.checkpoint = (self.state.offset, self.state.hash());
        }
        if self.state.tick != tick {
            self.last_tick = now;
        }
        let confirmed = self.appender.on_read(entry);
        let own =
            entry.writer == self.settings.id && entry.incarnation == self.settings.incarnation;
        let (mut routing_changed, mut servers_changed) = (false, false);
        for (record, outcome) in entry.records.iter().zip(outcomes) {
            routing_changed |= outcome.is_ok() && affects_routing(record);
            servers_changed |= self.is_local(record);
            self.on_record(record, outcome);
            if own {
                self.on_own_record(record, outcome, confirmed.map(|c| c.sent_at));
            }
        }
        if servers_changed {
            self.refresh_local_servers();
        }
        self.observe_lease(now);
        if routing_changed {
            self.effects.push(Effect::Publish);
        }
    }

    fn observe_lease(&mut self, now: Duration) {
        let centre = self.settings.centre.clone();
        self.authority.observe(now, &centre, self.state.leases.get(&centre));
        self.on_lease_change();
    }

    fn on_record(&mut self, record: &Record, outcome: Outcome) {
        match record {
            Record::Snapshot(part) if part.part + 1 == part.parts => {
                self.snapshot_offset = self.snapshot_offset.max(part.at);
            }
            Record::Edit(edit) if outcome.is_ok() => {
                let reason = format!("id={} rows={}", edit.id, edit.changes.len());
                self.log_decision(DecisionKind::Accept, "", "", reason);
            }
            _ => {}
        }
    }

    fn on_own_record(&mut self, record: &Record, outcome: Outcome, sent: Option<Duration>) {
        match record {
            Record::Bid(_) | Record::Renew if outcome.is_ok() => {
                if let Some(sent) = sent {
                    self.authority.record_renewal(sent);
                }
            }
            Record::Claim(key) => self.on_claim_decided(*key, outcome),
            Record::Edit(_) => self.answer_edits(),
            Record::Intent(intent) => {
                if let Err(rejection) = outcome {
                    let (model, server) = (intent.model.clone(), intent.server.clone());
                    self.log_decision(DecisionKind::Reject, &model, &server, rejection.to_string());
                }
            }
            _ => {}
        }
    }

    fn add_edit(&mut self, edit: Edit) {
        let record = Record::Edit(edit.clone());
        if self.edits.add(edit, &self.state) {
            self.appender.push_unique(record);
        }
        self.answer_edits();
    }

    /// Answers the pending edits that the log has accepted or rejected.
    fn answer_edits(&mut self) {
        for (edit, answer) in self.edits.take_decided(&self.state) {
            self.effects.push(Effect::Edited(edit, answer));
        }
    }

    fn update_hints(&mut self, now: Duration, daemon: DaemonId, hints: Vec<Hint>) {
        if self.hints.update(now, daemon, hints) {
            self.effects.push(Effect::Publish);
        }
    }

    fn on_report(&mut self, now: Duration, server: &str, report: Option<ServerReport>) {
        let Some(report) = report else {
            self.fleet.record_failure(now, server);
            self.effects.push(Effect::Publish);
            return;
        };
        let known = self.state.servers.get(server);
        if known.is_some_and(|s| s.incarnation != report.incarnation) {
            // The report is from another incarnation of the server than the one in the log.
            return;
        }
        let was_leaving = self.fleet.get(server).is_some_and(|m| m.leaving);
        self.record_usage(now, server, &report);
        let leaving = report.leaving;
        self.fleet.record_report(now, server, report);
        if leaving && !was_leaving {
            self.effects.push(Effect::Publish);
        }
    }

    fn record_usage(&mut self, now: Duration, server: &str, report: &ServerReport) {
        let slots: Vec<(SlotId, ModelName)> =
            self.state.slots.on_server(server).map(|(id, s)| (id, s.model.clone())).collect();
        for (id, model) in slots {
            let Some(model_report) = report.model(&model) else {
                continue;
            };
            let tracked = self.slot_tracker.get_or_insert(now, id);
            let has_new_requests = model_report.served != tracked.served;
            tracked.served = model_report.served;
            tracked.active = model_report.active;
            if has_new_requests || model_report.active > 0 {
                tracked.last_used = now;
                if let Some(gap) = self.slot_tracker.record_use(now, &model) {
                    self.keep_warm.record_gap(&model, gap);
                }
            }
        }
    }

    fn on_order_answer(&mut self, now: Duration, order: &Order, answer: OrderAnswer) {
        if answer == OrderAnswer::Unknown {
            self.fleet.record_failure(now, &order.server);
        }
        self.slot_tracker.record_answer(now, order, answer);
        if answer == OrderAnswer::Stale {
            self.log_decision(
                DecisionKind::Reject,
                &order.model,
                &order.server,
                "the engine knows a newer fence",
            );
        }
    }
}

/// Returns whether a record can change routing. The frequent kinds cannot, so that most entries
/// publish no new view.
fn affects_routing(record: &Record) -> bool {
    !matches!(
        record,
        Record::Claim(_)
            | Record::Settle(_)
            | Record::Renew
            | Record::Tick(_)
            | Record::Snapshot(_)
            | Record::Bid(_)
            | Record::Release(..)
    )
}
