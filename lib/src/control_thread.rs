//! The control thread: feeds events to the control state machine and carries out its effects
//! through the worker threads.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol_str::SmolStr;

use crate::control::Controller;
use crate::event::ClaimAnswer;
use crate::event::EditAnswer;
use crate::event::Effect;
use crate::event::Event;
use crate::host::Order;
use crate::ids::CentreId;
use crate::ids::ClaimKey;
use crate::ids::Offset;
use crate::node::ControlInput;
use crate::node::Node;
use crate::peer_message::Digest;
use crate::peer_message::MAX_DATAGRAM;
use crate::peer_message::MAX_LINES;
use crate::record::Entry;
use crate::replicated_state::ReplicatedState;
use crate::routing_view::RoutingView;
use crate::trace::TraceWriter;
use crate::wire;

/// Most recent log entries kept for peers that cannot read the log.
const MAX_RECENT_ENTRIES: usize = 4096;
/// Most entries in one reply to a peer.
const MAX_REPLY_ENTRIES: usize = 512;
/// Time between two rounds of digests while requests wait or there are hints.
const BUSY_DIGEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two rounds of digests otherwise. Without hints, peers of the same data centre are
/// always sent digests at this interval.
const IDLE_DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// An order, the address of its engine, and the time until which it may be sent; `None` if there is
/// no limit.
pub type OrderTask = (SocketAddr, Order, Option<Duration>);

/// Channels to the worker threads, and the socket for digests.
#[derive(Debug)]
pub struct ControlOutputs {
    /// Entries to append to the log.
    pub appends: flume::Sender<Entry>,
    /// Backend servers to poll for a report.
    pub polls: flume::Sender<(SmolStr, SocketAddr)>,
    /// Orders to send to engines.
    pub orders: flume::Sender<OrderTask>,
    /// UDP socket for digests to peers.
    pub socket: UdpSocket,
}

/// The control thread's state.
#[derive(Debug)]
pub struct ControlThread {
    node: Arc<Node>,
    control: Controller,
    outputs: ControlOutputs,
    trace: Option<TraceWriter>,
    claims: BTreeMap<ClaimKey, flume::Sender<ClaimAnswer>>,
    edits: Vec<(SmolStr, flume::Sender<EditAnswer>)>,
    /// The latest log entries, in order of their offsets.
    recent: VecDeque<(Offset, Entry)>,
    /// When digests were last sent.
    last_digest: Duration,
    /// When digests were last sent to all daemons of the data centre.
    last_broadcast: Duration,
    /// Up to when idle time was counted.
    idle_counted: Duration,
}

impl ControlThread {
    /// Creates the control thread's state.
    pub fn new(
        node: Arc<Node>,
        control: Controller,
        outputs: ControlOutputs,
        trace: Option<TraceWriter>,
    ) -> Self {
        Self {
            node,
            control,
            outputs,
            trace,
            claims: BTreeMap::new(),
            edits: Vec::new(),
            recent: VecDeque::new(),
            last_digest: Duration::ZERO,
            last_broadcast: Duration::ZERO,
            idle_counted: Duration::ZERO,
        }
    }

    /// Runs until [`ControlInput::Shutdown`], or until all senders are dropped.
    pub fn run(mut self, inputs: &flume::Receiver<ControlInput>) {
        while let Ok(input) = inputs.recv() {
            if matches!(input, ControlInput::Shutdown) {
                return;
            }
            self.handle_input(input);
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        let now = self.node.now();
        match input {
            ControlInput::Event(event) => self.handle(now, event),
            ControlInput::InstallState(state) => {
                let effects = self.control.install(now, *state);
                self.recent.clear();
                self.apply_effects(now, effects);
            }
            ControlInput::Claim(key, sender) => self.claim(now, key, sender),
            ControlInput::Edit(edit, sender) => {
                self.edits.push((edit.id.clone(), sender));
                self.handle(now, Event::Edit(edit));
            }
            // The requester may have timed out and dropped its receiver; the same applies below.
            ControlInput::GetState(sender) => {
                let _disconnected = sender.send(self.control.state().clone());
            }
            ControlInput::GetEntries(from, sender) => {
                let _disconnected = sender.send(self.entries(from));
            }
            ControlInput::PeerOffset(peer, offset, hash) => self.on_peer_offset(peer, offset, hash),
            ControlInput::Shutdown => {}
        }
        self.node.applied_offset.store(self.control.state().offset, Ordering::Relaxed);
    }

    /// Records a peer's log offset, and compares its state hash if both are at the same checkpoint.
    ///
    /// The same log must give the same state; a difference is a bug of this program and is logged
    /// as critical.
    fn on_peer_offset(&mut self, peer: SmolStr, offset: Offset, hash: (Offset, u64)) {
        let own = self.control.checkpoint();
        if own.0 > 0 && own.0 == hash.0 && own.1 != hash.1 {
            slog::crit!(self.node.log, "divergence"; "offset" => own.0, "peer" => peer.as_str());
        }
        let mut peer_offsets =
            self.node.peer_offsets.lock().unwrap_or_else(PoisonError::into_inner);
        peer_offsets.insert(peer, offset);
    }

    fn handle(&mut self, now: Duration, event: Event) {
        if let Some(trace) = &mut self.trace {
            trace.write_event(now, &event);
        }
        if let Event::Entry(offset, entry) = &event
            && *offset == self.control.state().offset
        {
            self.keep_recent(*offset, entry);
        }
        let is_tick = event == Event::Tick;
        let effects = self.control.handle(now, event);
        self.apply_effects(now, effects);
        if is_tick {
            self.on_tick(now);
        }
    }

    fn keep_recent(&mut self, offset: Offset, entry: &Entry) {
        if self.recent.len() >= MAX_RECENT_ENTRIES {
            self.recent.pop_front();
        }
        self.recent.push_back((offset, entry.clone()));
    }

    /// Returns the entries from `from` on; `None` if the first of them is no longer kept.
    fn entries(&self, from: Offset) -> Option<Vec<(Offset, Entry)>> {
        let (first, _) = self.recent.front()?;
        let skip = from.checked_sub(*first)? as usize;
        Some(self.recent.iter().skip(skip).take(MAX_REPLY_ENTRIES).cloned().collect())
    }

    /// Passes the claim of a request to the state machine.
    ///
    /// An immediate answer goes to this request only: an earlier request with the same key may
    /// still be waiting for the log.
    fn claim(&mut self, now: Duration, key: ClaimKey, sender: flume::Sender<ClaimAnswer>) {
        let event = Event::Claim(key);
        if let Some(trace) = &mut self.trace {
            trace.write_event(now, &event);
        }
        let effects = self.control.handle(now, event);
        let mut answer = None;
        let mut others = Vec::new();
        for effect in effects {
            match effect {
                Effect::Claimed(k, a) if k == key => answer = Some(a),
                other => others.push(other),
            }
        }
        if let Some(answer) = answer {
            let _disconnected = sender.send(answer);
        } else {
            self.claims.insert(key, sender);
            self.node.outcomes.expect(key);
        }
        self.apply_effects(now, others);
    }

    fn apply_effects(&mut self, now: Duration, effects: Vec<Effect>) {
        let mut publish = false;
        for effect in effects {
            match effect {
                Effect::Append(entry) => {
                    let _stopping = self.outputs.appends.send(entry);
                }
                Effect::Poll(server) => self.poll(server),
                Effect::Order(order, expires) => self.order(order, expires),
                Effect::Claimed(key, answer) => self.answer_claim(key, answer),
                Effect::Edited(edit, answer) => self.answer_edit(&edit.id, &answer),
                Effect::Publish => publish = true,
                Effect::Decide(decision) => self.node.log_decision(&decision),
            }
        }
        if publish {
            self.publish(now);
        }
    }

    fn publish(&self, now: Duration) {
        let mut rates = self.node.load_rates.lock().unwrap_or_else(PoisonError::into_inner);
        *rates = *self.control.rates();
        drop(rates);
        self.node.publish(RoutingView::new(&self.control, now));
    }

    fn poll(&self, server: SmolStr) {
        if let Some(member) = self.control.fleet().get(&server) {
            let _stopping = self.outputs.polls.send((server, member.host.addr));
        }
    }

    fn order(&self, order: Order, expires: Option<Duration>) {
        if let Some(member) = self.control.fleet().get(&order.server) {
            let _stopping = self.outputs.orders.send((member.host.addr, order, expires));
        }
    }

    fn answer_claim(&mut self, key: ClaimKey, answer: ClaimAnswer) {
        if answer == ClaimAnswer::Granted {
            // A retry may ask for the outcome before the thread of the request itself runs again.
            self.node.outcomes.begin(key);
        } else {
            self.node.outcomes.cancel_expected(key);
        }
        let granted = answer == ClaimAnswer::Granted;
        let delivered = self.claims.remove(&key).is_some_and(|sender| sender.send(answer).is_ok());
        if granted && !delivered {
            let _full = self.node.send(ControlInput::Event(Event::Unclaim(key)));
        }
    }

    fn answer_edit(&mut self, id: &str, answer: &EditAnswer) {
        self.edits.retain(|(waiting, sender)| {
            let matches_id = waiting == id;
            if matches_id {
                let _disconnected = sender.send(answer.clone());
            }
            !matches_id
        });
    }

    fn on_tick(&mut self, now: Duration) {
        let log_up = self.control.is_log_up(now);
        if self.node.view.load().log_up != log_up {
            slog::warn!(self.node.log, "log"; "up" => log_up);
            self.publish(now);
        }
        self.send_digests(now);
        self.count_idle(now);
        self.node.wake_waiting();
        self.node.outcomes.expire(now);
        self.node.router().expire(now);
        self.edits.retain(|(_, sender)| !sender.is_disconnected());
    }

    /// Adds the time since the last call to the idle time of loaded replicas without a request; at
    /// most once a second.
    fn count_idle(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.idle_counted);
        if elapsed < Duration::from_secs(1) {
            return;
        }
        self.idle_counted = now;
        for model in self.control.idle_models() {
            self.node.metrics.record_idle(&model, elapsed);
        }
    }

    fn send_digests(&mut self, now: Duration) {
        let mut demand = self.node.waiting.demand();
        let hints = self.control.own_hints();
        let busy = !demand.is_empty() || !hints.is_empty();
        let period = if busy { BUSY_DIGEST_INTERVAL } else { IDLE_DIGEST_INTERVAL };
        if now < self.last_digest + period {
            return;
        }
        self.last_digest = now;
        // Without hints, peers of this data centre only need to know that this daemon is alive.
        let to_all = now >= self.last_broadcast + IDLE_DIGEST_INTERVAL;
        if to_all {
            self.last_broadcast = now;
        }
        let own_id = self.node.settings.id.clone();
        self.handle(now, Event::Demand(own_id.clone(), demand.clone()));
        demand.truncate(MAX_LINES);
        let state = self.control.state();
        let mut digest = Digest {
            daemon: own_id,
            offset: state.offset,
            hash: self.control.checkpoint(),
            demand,
            hints: hints.into_iter().take(MAX_LINES).collect(),
        };
        let mut bytes = wire::encode(&digest);
        while bytes.len() > MAX_DATAGRAM && !digest.demand.is_empty() {
            digest.demand.truncate(digest.demand.len() / 2);
            digest.hints.truncate(digest.hints.len() / 2);
            bytes = wire::encode(&digest);
        }
        for addr in self.digest_targets(state, busy, to_all || !digest.hints.is_empty()) {
            // The next digest makes up for a lost datagram.
            let _lost = self.outputs.socket.send_to(&bytes, addr);
            self.node.metrics.record_control_bytes("peer_udp", bytes.len());
        }
    }

    /// Returns the addresses to send digests to: all daemons of this data centre if `to_all`, and
    /// the lease holders of all data centres if `busy`.
    fn digest_targets(&self, state: &ReplicatedState, busy: bool, to_all: bool) -> Vec<SocketAddr> {
        let centre: &CentreId = &self.node.settings.centre;
        let holders: Vec<_> = state.leases.values().map(|l| &l.daemon).collect();
        self.control
            .fleet()
            .with_role(crate::host::HostRole::Entry)
            .filter(|m| m.host.id != self.node.settings.id)
            .filter(|m| {
                (to_all && m.host.centre == *centre) || (busy && holders.contains(&&m.host.id))
            })
            .map(|m| m.host.addr)
            .collect()
    }
}
