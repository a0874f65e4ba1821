//! The control thread: the state machine, and the filters that carry out its effects.

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

/// Entries kept for peers that are cut off from the log.
const RECENT: usize = 4096;
/// Most entries in one answer to a peer.
const RELAYED: usize = 512;
/// Time between two datagrams to each peer while requests wait.
const BUSY_DIGEST: Duration = Duration::from_millis(250);
/// Time between two datagrams otherwise.
const QUIET_DIGEST: Duration = Duration::from_secs(1);

/// An order to be carried out, and how late.
pub type OrderTask = (SocketAddr, Order, Option<Duration>);

/// Channels to the filters that do the input and output.
#[derive(Debug)]
pub struct ControlOutputs {
    /// Entries to append.
    pub appends: flume::Sender<Entry>,
    /// Backend servers to ask for a report.
    pub polls: flume::Sender<(SmolStr, SocketAddr)>,
    /// Orders to give.
    pub orders: flume::Sender<OrderTask>,
    /// Datagrams to peers.
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
    recent: VecDeque<(Offset, Entry)>,
    digested: Duration,
    greeted: Duration,
    idled: Duration,
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
            digested: Duration::ZERO,
            greeted: Duration::ZERO,
            idled: Duration::ZERO,
        }
    }

    /// Runs until the daemon ends.
    pub fn run(mut self, inputs: &flume::Receiver<ControlInput>) {
        while let Ok(input) = inputs.recv() {
            if matches!(input, ControlInput::Shutdown) {
                return;
            }
            self.take(input);
        }
    }

    fn take(&mut self, input: ControlInput) {
        let now = self.node.now();
        match input {
            ControlInput::Event(event) => self.handle(now, event),
            ControlInput::InstallState(state) => {
                let effects = self.control.install(now, *state);
                self.recent.clear();
                self.carry_out(now, effects);
            }
            ControlInput::Claim(key, sender) => self.claim(now, key, sender),
            ControlInput::Edit(edit, sender) => {
                self.edits.push((edit.id.clone(), sender));
                self.handle(now, Event::Edit(edit));
            }
            // Whoever asked may have given up meanwhile; so below.
            ControlInput::GetState(sender) => {
                let _gone = sender.send(self.control.state().clone());
            }
            ControlInput::GetEntries(from, sender) => {
                let _gone = sender.send(self.entries(from));
            }
            ControlInput::PeerOffset(peer, offset, hash) => self.note_peer(peer, offset, hash),
            ControlInput::Shutdown => {}
        }
        self.node.applied_offset.store(self.control.state().offset, Ordering::Relaxed);
    }

    /// Notes how far a peer has read, and compares states at the same checkpoint.
    ///
    /// Equal logs give equal states; anything else is a fault of this program, and is told loudly.
    fn note_peer(&mut self, peer: SmolStr, offset: Offset, hash: (Offset, u64)) {
        let own = self.control.checkpoint();
        if own.0 > 0 && own.0 == hash.0 && own.1 != hash.1 {
            slog::crit!(self.node.log, "divergence"; "offset" => own.0, "peer" => peer.as_str());
        }
        let mut ahead = self.node.peer_offsets.lock().unwrap_or_else(PoisonError::into_inner);
        ahead.insert(peer, offset);
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
        self.carry_out(now, effects);
        if is_tick {
            self.on_tick(now);
        }
    }

    fn keep_recent(&mut self, offset: Offset, entry: &Entry) {
        if self.recent.len() >= RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((offset, entry.clone()));
    }

    /// Returns entries that a peer lacks; none where they are not kept any more.
    fn entries(&self, from: Offset) -> Option<Vec<(Offset, Entry)>> {
        let (first, _) = self.recent.front()?;
        let skip = from.checked_sub(*first)? as usize;
        Some(self.recent.iter().skip(skip).take(RELAYED).cloned().collect())
    }

    /// Passes a request's claim on.
    ///
    /// An answer that comes at once is for this request alone: an earlier one of the same key may
    /// still wait for the log.
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
        match answer {
            Some(answer) => {
                let _gone = sender.send(answer);
            }
            None => {
                self.claims.insert(key, sender);
            }
        }
        self.carry_out(now, others);
    }

    fn carry_out(&mut self, now: Duration, effects: Vec<Effect>) {
        let mut publish = false;
        for effect in effects {
            match effect {
                Effect::Append(entry) => {
                    let _ending = self.outputs.appends.send(entry);
                }
                Effect::Poll(server) => self.poll(server),
                Effect::Order(order, until) => self.order(order, until),
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
            let _ending = self.outputs.polls.send((server, member.host.addr));
        }
    }

    fn order(&self, order: Order, until: Option<Duration>) {
        if let Some(member) = self.control.fleet().get(&order.server) {
            let _ending = self.outputs.orders.send((member.host.addr, order, until));
        }
    }

    fn answer_claim(&mut self, key: ClaimKey, answer: ClaimAnswer) {
        if answer == ClaimAnswer::Granted {
            // A repeat may ask for the outcome before the request's own thread goes on.
            self.node.outcomes.begin(key);
        }
        let granted = answer == ClaimAnswer::Granted;
        let heard = self.claims.remove(&key).is_some_and(|sender| sender.send(answer).is_ok());
        if granted && !heard {
            let _full = self.node.send(ControlInput::Event(Event::Unclaim(key)));
        }
    }

    fn answer_edit(&mut self, id: &str, answer: &EditAnswer) {
        self.edits.retain(|(waiting, sender)| {
            let this = waiting == id;
            if this {
                let _gone = sender.send(answer.clone());
            }
            !this
        });
    }

    fn on_tick(&mut self, now: Duration) {
        let logged = self.control.is_log_up(now);
        if self.node.view.load().log_up != logged {
            slog::warn!(self.node.log, "log"; "up" => logged);
            self.publish(now);
        }
        self.send_digests(now);
        self.count_idle(now);
        self.node.wake_waiting();
        self.node.outcomes.expire(now);
        self.node.router().expire(now);
        self.edits.retain(|(_, sender)| !sender.is_disconnected());
    }

    /// Adds up the time that loaded replicas of this data centre have no request.
    fn count_idle(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.idled);
        if passed < Duration::from_secs(1) {
            return;
        }
        self.idled = now;
        for model in self.control.idle_models() {
            self.node.metrics.record_idle(&model, passed);
        }
    }

    fn send_digests(&mut self, now: Duration) {
        let mut demand = self.node.waiting.demand();
        let hints = self.control.own_hints();
        let busy = !demand.is_empty() || !hints.is_empty();
        let period = if busy { BUSY_DIGEST } else { QUIET_DIGEST };
        if now < self.digested + period {
            return;
        }
        self.digested = now;
        // Peers of this data centre need only to be told that this daemon is there.
        let all = now >= self.greeted + QUIET_DIGEST;
        if all {
            self.greeted = now;
        }
        let me = self.node.settings.id.clone();
        self.handle(now, Event::Demand(me.clone(), demand.clone()));
        demand.truncate(MAX_LINES);
        let state = self.control.state();
        let mut digest = Digest {
            daemon: me,
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
        for addr in self.targets(state, busy, all || !digest.hints.is_empty()) {
            // A datagram that is lost is repeated soon by the next one.
            let _lost = self.outputs.socket.send_to(&bytes, addr);
            self.node.metrics.record_control_bytes("peer_udp", bytes.len());
        }
    }

    /// Returns the daemons to tell: `all` of this data centre, and with news the lease holders.
    fn targets(&self, state: &ReplicatedState, busy: bool, all: bool) -> Vec<SocketAddr> {
        let centre: &CentreId = &self.node.settings.centre;
        let holders: Vec<_> = state.leases.values().map(|l| &l.daemon).collect();
        self.control
            .fleet()
            .with_role(crate::host::HostRole::Entry)
            .filter(|m| m.host.id != self.node.settings.id)
            .filter(|m| {
                (all && m.host.centre == *centre) || (busy && holders.contains(&&m.host.id))
            })
            .map(|m| m.host.addr)
            .collect()
    }
}
