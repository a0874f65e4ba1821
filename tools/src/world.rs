//! Simulation of control state machines with a fake log and fake engines, in virtual time.
//!
//! The caller injects the faults: lost and late responses, pauses, crashes, an unavailable log, replaced
//! hosts and clock drift.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymux_lib::control::ControlSettings;
use comfreymux_lib::control::Controller;
use comfreymux_lib::demand::WaitingRequests;
use comfreymux_lib::event::ClaimAnswer;
use comfreymux_lib::event::Decision;
use comfreymux_lib::event::EditAnswer;
use comfreymux_lib::event::Effect;
use comfreymux_lib::event::Event;
use comfreymux_lib::fold;
use comfreymux_lib::host::Host;
use comfreymux_lib::host::HostRole;
use comfreymux_lib::host::Order;
use comfreymux_lib::host::OrderAction;
use comfreymux_lib::host::OrderAnswer;
use comfreymux_lib::host::ServerReport;
use comfreymux_lib::ids::CentreId;
use comfreymux_lib::ids::ClaimKey;
use comfreymux_lib::ids::DaemonId;
use comfreymux_lib::ids::Incarnation;
use comfreymux_lib::ids::ModelName;
use comfreymux_lib::ids::ServerId;
use comfreymux_lib::keep_warm::KeepWarmPolicy;
use comfreymux_lib::load_planner::MAX_STORE_LOADS;
use comfreymux_lib::load_rates::LoadRates;
use comfreymux_lib::record::Entry;
use comfreymux_lib::record::Source;
use comfreymux_lib::replicated_state::ReplicatedState;
use comfreymux_lib::table::Edit;
use comfreymux_testutils::faults::take;

use crate::fake_daemon::FakeDaemon;
use crate::fake_engine::FakeEngine;
use crate::weather::Store;
use crate::weather::Weather;
use comfreymux_testutils::rig::ANY;

#[derive(Clone, Debug)]
enum Message {
    Append(DaemonId, Incarnation, Entry, bool),
    Appended(DaemonId, Incarnation, u64, bool),
    /// An order, and whether its response is lost; `None` if the sender has timed out.
    Order(DaemonId, Incarnation, Order, Option<bool>),
    Ordered(DaemonId, Incarnation, Order, OrderAnswer),
    Report(DaemonId, Incarnation, ServerId, Option<ServerReport>),
    /// A response deferred to the end of the daemon's pause.
    Deferred(DaemonId, Incarnation, Event),
}

/// Time after which the sender of an order stops waiting for the response.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Base delay of every message; the delays of [`Weather`] are added.
const DELAY: Duration = Duration::from_millis(20);

/// A violated invariant, as text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach(pub String);

/// State of the simulation.
#[derive(Debug)]
pub struct World {
    /// Current time of the true clock.
    pub now: Duration,
    /// Whether the log is unavailable.
    pub log_down: bool,
    /// Injected message faults.
    pub weather: Weather,
    /// Daemons by name.
    pub daemons: BTreeMap<DaemonId, FakeDaemon>,
    /// Engines by name, with their data centres.
    pub engines: BTreeMap<ServerId, (CentreId, FakeEngine)>,
    /// State after applying the whole log.
    pub head: ReplicatedState,
    /// Granted claims, each with its daemon.
    pub granted: Vec<(ClaimKey, DaemonId)>,
    /// Results of claims that were not granted.
    pub refused: Vec<(ClaimKey, ClaimAnswer)>,
    /// Results of edits.
    pub edited: Vec<(Edit, EditAnswer)>,
    /// Decisions, newest last.
    pub decisions: Vec<(Duration, DaemonId, Decision)>,
    /// Load rates of the engines.
    pub rates: LoadRates,
    /// The weight store.
    pub store: Store,
    counts: BTreeMap<ModelName, usize>,
    policy: KeepWarmPolicy,
    log: Vec<Entry>,
    hosts: Vec<Host>,
    version: u64,
    messages: BTreeMap<(Duration, u64), Message>,
    message_count: u64,
}

impl Default for World {
    fn default() -> Self {
        Self::new(KeepWarmPolicy::Learned)
    }
}

impl World {
    /// Creates a simulation without daemons and engines.
    pub fn new(policy: KeepWarmPolicy) -> Self {
        Self {
            now: Duration::ZERO,
            log_down: false,
            weather: Weather::default(),
            daemons: BTreeMap::new(),
            engines: BTreeMap::new(),
            head: ReplicatedState::default(),
            granted: Vec::new(),
            refused: Vec::new(),
            edited: Vec::new(),
            decisions: Vec::new(),
            rates: LoadRates::default(),
            store: Store::default(),
            counts: BTreeMap::new(),
            policy,
            log: Vec::new(),
            hosts: Vec::new(),
            version: 0,
            messages: BTreeMap::new(),
            message_count: 0,
        }
    }

    /// Adds an engine.
    pub fn add_engine(&mut self, id: &str, centre: &str, engine: FakeEngine) {
        self.engines.insert(id.into(), (centre.into(), engine));
        self.list_hosts();
    }

    /// Adds a daemon and starts it.
    pub fn add_daemon(&mut self, id: &str, centre: &str) {
        let daemon = FakeDaemon {
            centre: centre.into(),
            incarnation: 0,
            control: None,
            paused: Duration::ZERO,
            cut: false,
            rate: 1.0,
            waiting: Vec::new(),
            started: Duration::ZERO,
            hosts_version: 0,
        };
        self.daemons.insert(id.into(), daemon);
        self.start(id);
        self.list_hosts();
    }

    /// Kills a daemon: its state is lost, messages that it sent stay in transit.
    pub fn kill(&mut self, id: &str) {
        if let Some(daemon) = self.daemons.get_mut(id) {
            daemon.control = None;
        }
    }

    /// Starts a daemon with the next incarnation unless it is running.
    pub fn start(&mut self, id: &str) {
        let Some(daemon) = self.daemons.get_mut(id).filter(|d| d.control.is_none()) else {
            return;
        };
        daemon.incarnation += 1;
        daemon.started = self.now;
        daemon.hosts_version = 0;
        daemon.paused = self.now;
        daemon.control = Some(Controller::new(ControlSettings {
            id: id.into(),
            incarnation: daemon.incarnation,
            centre: daemon.centre.clone(),
            append_gap: Duration::from_millis(20),
            keep_warm: self.policy,
            poll_interval: Duration::from_secs(1),
        }));
    }

    /// Replaces an engine's host, so that its loaded models are lost.
    pub fn replace_engine(&mut self, id: &str) {
        if let Some((_, engine)) = self.engines.get_mut(id) {
            engine.replace();
            self.list_hosts();
        }
    }

    /// Updates the host list to the current daemons and engines.
    pub fn list_hosts(&mut self) {
        self.version += 1;
        let host = |id: &str, role, centre: &CentreId| Host {
            id: id.into(),
            ..comfreymux_testutils::rig::host(role, centre, ANY)
        };
        let daemons = self.daemons.iter().map(|(id, d)| Host {
            incarnation: d.incarnation,
            ..host(id, HostRole::Entry, &d.centre)
        });
        let engines = self.engines.iter().map(|(id, (centre, e))| Host {
            incarnation: e.incarnation,
            leaving: e.leaving,
            memory_mib: e.memory_mib,
            fencing: e.fencing,
            ..host(id, HostRole::Engine, centre)
        });
        self.hosts = daemons.chain(engines).collect();
    }

    /// Removes a host from the host list; the host itself keeps running.
    pub fn unlist(&mut self, id: &str) {
        self.version += 1;
        self.hosts.retain(|h| h.id != id);
    }

    /// Passes an event to a daemon and applies the effects. Ignored if the daemon is paused or killed.
    pub fn give(&mut self, id: &str, event: Event) {
        let Some((now, control)) = self.running_control(id) else {
            return;
        };
        let effects = control.handle(now, event);
        self.apply_effects(id, effects);
    }

    /// Returns whether a message is in transit.
    pub fn is_busy(&self) -> bool {
        !self.messages.is_empty()
    }

    /// Returns a daemon's local time and state machine; `None` if it is paused or killed.
    pub fn running_control(&mut self, id: &str) -> Option<(Duration, &mut Controller)> {
        let now = self.now;
        let daemon = self.daemons.get_mut(id).filter(|d| d.paused <= now)?;
        let local = now.saturating_sub(daemon.started).mul_f64(daemon.rate);
        daemon.control.as_mut().map(|control| (local, control))
    }

    /// Advances virtual time by `time` in steps of `step`.
    ///
    /// # Errors
    ///
    /// An invariant was violated.
    pub fn run(&mut self, time: Duration, step: Duration) -> Result<(), Breach> {
        let end = self.now + time;
        while self.now < end {
            self.step(step)?;
        }
        Ok(())
    }

    /// Advances virtual time by one step, delivers due messages and checks the invariants.
    ///
    /// # Errors
    ///
    /// An invariant was violated.
    pub fn step(&mut self, step: Duration) -> Result<(), Breach> {
        self.now += step;
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let message = entry.remove();
            self.deliver(message);
            self.check()?;
        }
        let ids: Vec<DaemonId> = self.daemons.keys().cloned().collect();
        for id in &ids {
            self.read_log(id);
            self.send_hosts(id);
            self.send_demand(id);
            self.give(id, Event::Tick);
        }
        self.check()
    }

    fn send_hosts(&mut self, id: &str) {
        let version = self.version;
        let is_due = |d: &FakeDaemon| !d.cut && d.hosts_version != version;
        if self.daemons.get(id).is_some_and(is_due) && self.running_control(id).is_some() {
            self.give(id, Event::Hosts(self.hosts.clone()));
            if let Some(daemon) = self.daemons.get_mut(id) {
                daemon.hosts_version = version;
            }
        }
    }

    fn send_demand(&mut self, id: &str) {
        let reports: Vec<(DaemonId, Vec<WaitingRequests>)> =
            self.daemons.iter().map(|(from, d)| (from.clone(), d.waiting.clone())).collect();
        for (from, waiting) in reports {
            self.give(id, Event::Demand(from, waiting));
        }
    }

    fn read_log(&mut self, id: &str) {
        let down = self.log_down || self.daemons.get(id).is_some_and(|d| d.cut);
        let Some((_, control)) = self.running_control(id) else {
            return;
        };
        if down {
            self.give(id, Event::LogFailed);
            return;
        }
        let from = control.state().offset as usize;
        let entries: Vec<Entry> = self.log[from.min(self.log.len())..].to_vec();
        self.give(id, Event::LogRead);
        for (offset, entry) in (from..).zip(entries) {
            self.give(id, Event::Entry(offset as u64, entry));
        }
    }

    fn send(&mut self, delay: Duration, message: Message) {
        self.message_count += 1;
        let at = self.now + DELAY + self.weather.delay + delay;
        self.messages.insert((at, self.message_count), message);
    }

    fn apply_effects(&mut self, id: &str, effects: Vec<Effect>) {
        let Some(daemon) = self.daemons.get(id) else {
            return;
        };
        let incarnation = daemon.incarnation;
        let local = self.now.saturating_sub(daemon.started).mul_f64(daemon.rate);
        for effect in effects {
            match effect {
                Effect::Append(entry) => self.send_append(id, incarnation, entry),
                Effect::Order(order, until) => {
                    if until.is_some_and(|until| local >= until) {
                        let unsent =
                            Message::Ordered(id.into(), incarnation, order, OrderAnswer::Unsent);
                        self.send(Duration::ZERO, unsent);
                        continue;
                    }
                    self.send_order(id, incarnation, order);
                }
                Effect::Poll(server) => {
                    let now = self.now;
                    let report = self.engines.get(&server).map(|(_, e)| e.report(now));
                    let message = Message::Report(id.into(), incarnation, server, report);
                    self.send(self.weather.lag, message);
                }
                Effect::Claimed(key, ClaimAnswer::Granted) => {
                    self.granted.push((key, id.into()));
                }
                Effect::Claimed(key, answer) => self.refused.push((key, answer)),
                Effect::Edited(edit, answer) => self.edited.push((edit, answer)),
                Effect::Decide(decision) => {
                    self.decisions.push((self.now, id.into(), decision));
                }
                Effect::Publish => {}
            }
        }
    }

    fn send_order(&mut self, id: &str, incarnation: Incarnation, order: Order) {
        let mut lost = take(&mut self.weather.lose_orders);
        let late = self.weather.late_order.take();
        if late.is_some() {
            // The sender times out long before the order arrives.
            lost = true;
            let unknown =
                Message::Ordered(id.into(), incarnation, order.clone(), OrderAnswer::Unknown);
            self.send(ORDER_TIMEOUT, unknown);
        }
        let lost = Some(lost).filter(|_| late.is_none());
        let held = self.weather.held_order.take();
        let delay = late.or(held).unwrap_or_default();
        self.send(delay, Message::Order(id.into(), incarnation, order, lost));
    }

    fn send_append(&mut self, id: &str, incarnation: Incarnation, entry: Entry) {
        let cut = self.daemons.get(id).is_some_and(|d| d.cut);
        if self.log_down || cut {
            let sequence = entry.sequence;
            self.send(Duration::ZERO, Message::Appended(id.into(), incarnation, sequence, false));
            return;
        }
        if let Some(later) = self.weather.twice.take() {
            self.send(later, Message::Append(id.into(), incarnation, entry.clone(), true));
        }
        let lost = take(&mut self.weather.lose_appends);
        self.send(Duration::ZERO, Message::Append(id.into(), incarnation, entry, lost));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Append(id, incarnation, entry, lost) => {
                let sequence = entry.sequence;
                fold::apply(&mut self.head, self.log.len() as u64, &entry);
                self.log.push(entry);
                if !lost {
                    self.send(Duration::ZERO, Message::Appended(id, incarnation, sequence, true));
                }
            }
            Message::Appended(id, incarnation, sequence, done) => {
                self.respond(&id, incarnation, Event::Appended { sequence, done });
            }
            Message::Order(id, incarnation, order, lost) => {
                let now = self.now;
                let time = self.load_time(&order);
                // A connection ends with the engine's incarnation that accepted it, so an order in transit
                // never reaches a later one. Only an order that was not sent yet can.
                let engine = self
                    .engines
                    .get_mut(&order.server)
                    .filter(|(_, e)| lost.is_some() || e.incarnation == order.incarnation);
                let answer =
                    engine.map_or(OrderAnswer::Unknown, |(_, e)| e.order(now, &order, time));
                if let Some(lost) = lost {
                    let answer = if lost { OrderAnswer::Unknown } else { answer };
                    self.send(Duration::ZERO, Message::Ordered(id, incarnation, order, answer));
                }
            }
            Message::Ordered(id, incarnation, order, answer) => {
                self.respond(&id, incarnation, Event::Ordered(order, answer));
            }
            Message::Report(id, incarnation, server, report) => {
                self.respond(&id, incarnation, Event::Report(server, report));
            }
            Message::Deferred(id, incarnation, event) => self.respond(&id, incarnation, event),
        }
    }

    /// Delivers a response to the daemon if it still has the incarnation that sent the request. A paused
    /// daemon receives it at the end of the pause.
    fn respond(&mut self, id: &str, incarnation: Incarnation, event: Event) {
        let now = self.now;
        let Some(daemon) = self.daemons.get(id).filter(|d| d.incarnation == incarnation) else {
            return;
        };
        let wait = daemon.paused.saturating_sub(now);
        if wait.is_zero() {
            self.give(id, event);
        } else {
            self.send(wait, Message::Deferred(id.into(), incarnation, event));
        }
    }

    /// Returns the time until a load that is ordered now completes.
    ///
    /// Loads from the weight store start at most once per `spacing`; with more than [`MAX_STORE_LOADS`] in
    /// progress they share its bandwidth.
    fn load_time(&mut self, order: &Order) -> Duration {
        if order.action != OrderAction::Load {
            return Duration::ZERO;
        }
        let engine = self.engines.get(&order.server);
        let source = engine.map_or(Source::Remote, |(_, e)| e.source(&order.model));
        let time = self.rates.expected_time(order.load_mib, source);
        if source != Source::Remote {
            return time;
        }
        let now = self.now;
        let begin = self.store.next.max(now);
        self.store.next = begin + self.store.spacing;
        self.store.ends.retain(|end| *end > now);
        let share =
            (self.store.ends.len() + 1).max(MAX_STORE_LOADS) as f64 / MAX_STORE_LOADS as f64;
        let end = begin + time.mul_f64(share);
        self.store.ends.push(end);
        end.saturating_sub(now)
    }

    /// Checks the invariants against the models that the engines have in memory.
    ///
    /// Every loaded model must have a slot in the log, memory must not be exceeded, and a model's slots must
    /// not grow beyond the table's replica count. After the count was lowered, the slots may stay above it
    /// but must not grow.
    fn check(&mut self) -> Result<(), Breach> {
        let mut counts = BTreeMap::new();
        for slot in self.head.slots.values() {
            *counts.entry(slot.model.clone()).or_default() += 1;
        }
        for (model, count) in &counts {
            let allowed = self.head.table.row(model).map_or(0, |r| r.replicas as usize);
            let before = self.counts.get(model).copied().unwrap_or(0);
            if *count > allowed.max(before) {
                return Err(Breach(format!("{:?}: {model} has {count} of {allowed}", self.now)));
            }
        }
        self.counts = counts;
        for (id, (_, engine)) in &self.engines {
            if engine.used_mib() > engine.memory_mib {
                let held: Vec<_> = engine.held.keys().collect();
                return Err(Breach(format!("{:?}: {id} holds {held:?}", self.now)));
            }
            for model in engine.held.keys() {
                let covers = |s: &comfreymux_lib::slots::Slot| s.server == *id && s.model == *model;
                if !self.head.slots.values().any(covers) {
                    return Err(Breach(format!(
                        "{:?}: {id} holds {model} without a slot",
                        self.now
                    )));
                }
            }
        }
        Ok(())
    }
}
