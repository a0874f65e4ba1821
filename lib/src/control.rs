//! The control state machine of one daemon.
//!
//! It folds the log, holds leases, places models on backend servers and answers claims and edits.
//! It has no clock, socket or thread: `handle` takes an event with its time and returns effects.

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

/// The log counts as down after this time without an answer to a read.
const LOG_SILENCE: Duration = Duration::from_secs(4);
/// Entries between two checkpoints, at which daemons compare the hashes of their states.
const CHECKPOINT_EVERY: Offset = 1024;

/// What a control state machine is told at its start.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// This daemon.
    pub id: DaemonId,
    /// Its start count; larger than any before.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub centre: CentreId,
    /// Least time between two entries.
    pub append_gap: Duration,
    /// How keep-warm times are chosen.
    pub keep_warm: KeepWarmPolicy,
    /// Time between reports of one backend server.
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
    /// When the log's current tick was read.
    pub(crate) last_tick: Duration,
    /// Offset of the last snapshot in the log.
    pub(crate) snapshot_offset: Offset,
    /// Backend servers of this daemon's data centre, as the log names them.
    pub(crate) local_servers: Vec<ServerId>,
    /// When the log's backend servers were last compared with the host list; none when they must be.
    pub(crate) servers_checked: Option<Duration>,
    /// When the last full round over everything was.
    pub(crate) last_pass: Duration,
    /// Whether the daemon is stopping and takes no lease.
    pub(crate) stopping: bool,
    pub(crate) claims: PendingClaims,
    edits: PendingEdits,
    hints: HintTable,
    /// Orders given since the start.
    pub(crate) orders_given: u64,
    heard: Option<Duration>,
    checkpoint: (Offset, u64),
    /// Why models wait for a load, as last logged.
    pub(crate) logged_holds: BTreeMap<ModelName, &'static str>,
    /// Fence of the lease as last logged.
    pub(crate) logged_fence: Option<Fence>,
}

impl Controller {
    /// Creates a state machine that has read nothing.
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
            heard: None,
            checkpoint: (0, 0),
            logged_holds: BTreeMap::new(),
            logged_fence: None,
            settings,
        }
    }

    /// Returns the log's state as far as it was read.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the hosts as this daemon sees them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the loading speeds learned so far.
    pub fn rates(&self) -> &LoadRates {
        &self.rates
    }

    /// Returns the last checkpoint's offset and the state's hash there.
    pub fn checkpoint(&self) -> (Offset, u64) {
        self.checkpoint
    }

    /// Returns the fresh hints of all lease holders.
    pub fn hints(&self, now: Duration) -> Vec<Hint> {
        self.hints.fresh(now)
    }

    /// Returns replicas of this daemon's data centre that serve though the log does not show it.
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

    /// Returns whether the log answers reads and appends.
    pub fn is_log_up(&self, now: Duration) -> bool {
        let read = self.heard.is_some_and(|at| now < at + LOG_SILENCE);
        let bound = crate::pending_claims::CLAIM_TIMEOUT;
        let append = self.appender.pending_for(now).is_none_or(|waited| waited < bound);
        read && append
    }

    /// Returns the fencing number of the lease that the log says this daemon holds.
    pub fn held_fence(&self) -> Option<Fence> {
        let lease = self.state.leases.get(&self.settings.centre)?;
        let own =
            lease.daemon == self.settings.id && lease.incarnation == self.settings.incarnation;
        own.then_some(lease.fence)
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Entry(offset, entry) => self.take_entry(now, offset, &entry),
            Event::LogRead => self.log_read(now),
            Event::LogFailed => {}
            Event::Appended { sequence, done } => {
                self.appender.on_append_result(now, sequence, done);
            }
            Event::Hosts(hosts) => self.replace_hosts(now, hosts),
            Event::Report(server, report) => self.take_report(now, &server, report),
            Event::Ordered(order, answer) => self.take_answer(now, &order, answer),
            Event::Demand(daemon, waiting) => self.demand.update(now, &daemon, &waiting),
            Event::Hints(daemon, hints) => self.take_hints(now, daemon, hints),
            Event::Edit(edit) => self.take_edit(edit),
            Event::Claim(key) => self.request_claim(now, key),
            Event::Unclaim(key) => self.cancel_claim(key),
            Event::Settle(settlement) => {
                self.appender.push(Record::Settle(settlement));
            }
            Event::Stop => self.stop(),
        }
        self.send(now);
        std::mem::take(&mut self.effects)
    }

    /// Takes over a whole state, read from a snapshot or a peer.
    ///
    /// Ignored unless it is ahead of what was read.
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
        self.find_local();
        self.observe(now);
        let (answers, records) = self.claims.resync(&self.state);
        for (key, answer) in answers {
            self.effects.push(Effect::Claimed(key, answer));
        }
        for record in records {
            self.appender.push(record);
        }
        self.answer_edits();
        self.effects.push(Effect::Publish);
        self.send(now);
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

    /// Returns whether a record is about a backend server of this data centre.
    fn is_local(&self, record: &Record) -> bool {
        match record {
            Record::Server(facts) => {
                facts.centre == self.settings.centre || self.local_servers.contains(&facts.id)
            }
            Record::Gone(server, _) => self.local_servers.contains(server),
            _ => false,
        }
    }

    /// Looks up the backend servers of this data centre anew; there are many of other ones.
    fn find_local(&mut self) {
        let local = self.state.servers.values().filter(|s| s.centre == self.settings.centre);
        self.local_servers = local.map(|s| s.id.clone()).collect();
    }

    pub(crate) fn local_slots(&self) -> Vec<SlotId> {
        let slots = self.local_servers.iter().flat_map(|s| self.state.slots.on_server(s));
        slots.map(|(id, _)| id).collect()
    }

    fn send(&mut self, now: Duration) {
        if let Some(entry) = self.appender.poll(now) {
            self.effects.push(Effect::Append(entry));
        }
    }

    fn log_read(&mut self, now: Duration) {
        if self.heard.is_some_and(|at| now >= at + LOG_SILENCE) {
            // While the log was silent nobody's renewal could be read.
            self.authority.restart_bid_timers(now);
        }
        let is_first = self.heard.replace(now).is_none();
        if is_first {
            // An empty log has no record to observe a lease by, and nobody would ever lead.
            self.observe(now);
            self.effects.push(Effect::Publish);
        }
    }

    /// Returns whether the log, or a state read from it, was seen at all.
    pub fn is_ready(&self) -> bool {
        self.heard.is_some() || self.state.offset > 0
    }

    fn take_entry(&mut self, now: Duration, offset: Offset, entry: &Entry) {
        if offset != self.state.offset {
            // Read before, or read past what was taken over meanwhile.
            return;
        }
        let tick = self.state.tick;
        let outcomes = fold::apply(&mut self.state, offset, entry);
        if self.state.offset.is_multiple_of(CHECKPOINT_EVERY) {
            self.checkpoint = (self.state.offset, self.state.hash());
        }
        if self.state.tick != tick {
            self.last_tick = now;
        }
        let back = self.appender.on_read(entry);
        let own =
            entry.writer == self.settings.id && entry.incarnation == self.settings.incarnation;
        let (mut changed, mut moved) = (false, false);
        for (record, outcome) in entry.records.iter().zip(outcomes) {
            changed |= outcome.is_ok() && is_seen(record);
            moved |= self.is_local(record);
            self.note(record, outcome);
            if own {
                self.note_own(record, outcome, back.map(|b| b.sent_at));
            }
        }
        if moved {
            self.find_local();
        }
        self.observe(now);
        if changed {
            self.effects.push(Effect::Publish);
        }
    }

    fn observe(&mut self, now: Duration) {
        let centre = self.settings.centre.clone();
        self.authority.observe(now, &centre, self.state.leases.get(&centre));
        self.on_lease_change();
    }

    fn note(&mut self, record: &Record, outcome: Outcome) {
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

    fn note_own(&mut self, record: &Record, outcome: Outcome, sent: Option<Duration>) {
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

    fn take_edit(&mut self, edit: Edit) {
        let record = Record::Edit(edit.clone());
        if self.edits.add(edit, &self.state) {
            self.appender.push_unique(record);
        }
        self.answer_edits();
    }

    /// Answers the edits that the log has decided.
    fn answer_edits(&mut self) {
        for (edit, answer) in self.edits.take_decided(&self.state) {
            self.effects.push(Effect::Edited(edit, answer));
        }
    }

    fn take_hints(&mut self, now: Duration, daemon: DaemonId, hints: Vec<Hint>) {
        if self.hints.update(now, daemon, hints) {
            self.effects.push(Effect::Publish);
        }
    }

    fn take_report(&mut self, now: Duration, server: &str, report: Option<ServerReport>) {
        let Some(report) = report else {
            self.fleet.record_failure(now, server);
            self.effects.push(Effect::Publish);
            return;
        };
        let known = self.state.servers.get(server);
        if known.is_some_and(|s| s.incarnation != report.incarnation) {
            // The report is of another start than the one the log knows.
            return;
        }
        let was = self.fleet.get(server).is_some_and(|m| m.leaving);
        self.note_use(now, server, &report);
        let leaving = report.leaving;
        self.fleet.record_report(now, server, report);
        if leaving && !was {
            self.effects.push(Effect::Publish);
        }
    }

    fn note_use(&mut self, now: Duration, server: &str, report: &ServerReport) {
        let slots: Vec<(SlotId, ModelName)> =
            self.state.slots.on_server(server).map(|(id, s)| (id, s.model.clone())).collect();
        for (id, model) in slots {
            let Some(line) = report.model(&model) else {
                continue;
            };
            let tracked = self.slot_tracker.get_or_insert(now, id);
            let begun = line.served != tracked.served;
            tracked.served = line.served;
            tracked.active = line.active;
            if begun || line.active > 0 {
                tracked.last_used = now;
                if let Some(gap) = self.slot_tracker.record_use(now, &model) {
                    self.keep_warm.record_gap(&model, gap);
                }
            }
        }
    }

    fn take_answer(&mut self, now: Duration, order: &Order, answer: OrderAnswer) {
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

/// Returns whether routers see what a record changes; the others are many.
fn is_seen(record: &Record) -> bool {
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
