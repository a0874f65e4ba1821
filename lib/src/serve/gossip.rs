//! What daemons tell each other in datagrams: loads, demand, what engines hold, and readers' words.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::boot_clock::Moment;
use crate::cluster::digest::Digest;
use crate::cluster::digest::Payload;
use crate::cluster::digest::PeerMessage;
use crate::cluster::digest::ProcessId;
use crate::cluster::digest::ServerDeparture;
use crate::cluster::digest::WorkloadReport;
use crate::cluster::directory::Change;
use crate::cluster::engine_inventories::EngineInventory;
use crate::cluster::latest_instances::InstanceOrder;
use crate::cluster::reader_report::ReaderReport;
use crate::cluster::reader_report::WorkloadScope;
use crate::cluster::readers::ReaderStatus;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::workloads::Workload;
use crate::cluster::workloads::WorkloadKey;
use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::ids::Offset;
use crate::ids::ServerId;
use crate::serve::apply_updates;
use crate::serve::daemon_state::DaemonState;
use crate::serve::suspects;

/// Pause after a datagram could not be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(10);
/// Largest datagram.
const DATAGRAM: usize = 60_000;

/// Sends and receives datagrams.
#[derive(Debug)]
pub struct Gossip {
    pub(super) daemon: Rc<DaemonState>,
    socket: UdpSocket,
    malformed: Cell<u64>,
    /// When the last digest was told.
    pub(super) last_digest: Cell<Moment>,
    /// When the lease holder last told all daemons of a large fleet.
    pub(super) last_broadcast: Cell<Moment>,
    /// Number of digests told.
    pub(super) round: Cell<u64>,
}

impl Gossip {
    /// Uses a socket.
    pub fn new(daemon: Rc<DaemonState>, socket: UdpSocket) -> Rc<Self> {
        let (malformed, last_digest, last_broadcast, round) = <_>::default();
        Rc::new(Self { daemon, socket, malformed, last_digest, last_broadcast, round })
    }

    pub(super) fn encode(&self, content: Payload) -> Vec<u8> {
        let settings = self.daemon.settings();
        let message = PeerMessage {
            from: settings.id.clone(),
            process: self.daemon.process,
            port: settings.peer.port(),
            payload: content,
        };
        message.encode()
    }

    pub(super) fn send(&self, to: SocketAddr, bytes: &[u8], kind: &'static str) {
        // A datagram that cannot be sent now is repeated with newer content.
        if self.socket.try_send_to(bytes, to).is_ok() {
            self.daemon.metrics.record_control_bytes(kind, bytes.len());
        }
    }

    /// Takes in datagrams.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                sleep(RECEIVE_PAUSE).await;
                continue;
            };
            match PeerMessage::decode(&buffer[..length]) {
                Ok(message) => self.take(message, from),
                Err(error) => {
                    let count = self.malformed.get() + 1;
                    self.malformed.set(count);
                    // The first and then every thousandth: a flood must not fill the log.
                    if count % 1000 == 1 {
                        slog::warn!(self.daemon.log, "datagram-malformed"; "from" => %from,
                            "error" => %error, "count" => count);
                    }
                }
            }
        }
    }

    fn take(&self, message: PeerMessage, from: SocketAddr) {
        let daemon = &self.daemon;
        if message.process == daemon.process {
            return;
        }
        let now = daemon.now();
        let addr = SocketAddr::new(from.ip(), message.port);
        match message.payload {
            Payload::Digest(digest) => {
                self.take_state(&message.from, addr, message.process, &digest);
                self.take_loads(&message.from, digest.workloads);
            }
            Payload::Demand(note) => {
                if daemon.fence().is_some() {
                    daemon.demand.borrow_mut().update(&message.from, note, now);
                    daemon.plan_due.notify_one();
                }
            }
            Payload::Inventories(fence, list) => self.take_holdings(&message.from, fence, list),
            Payload::ReaderReport(report) => {
                self.take_word(&message.from, addr, message.process, report);
            }
            Payload::Trials(notes) => {
                if daemon.trials.update_peer(&message.from, notes, now) {
                    daemon.model_waits.inventories_changed.notify_waiters();
                }
            }
        }
    }

    /// Takes in that a peer named a start of a server; returns whether its word on it counts.
    fn is_heard(&self, start: &ServerInstance, from: &DaemonId) -> bool {
        apply_updates::apply_start(&self.daemon, start, from) != InstanceOrder::Older
    }

    /// Takes in what engines hold; a reader passes the lease holder's word on to its data centre.
    fn take_holdings(&self, from: &DaemonId, fence: Fence, mut list: Vec<EngineInventory>) {
        let daemon = &self.daemon;
        let is_holder =
            daemon.peers.borrow().holder(daemon.now()).is_some_and(|(id, ..)| id == from);
        if is_holder && daemon.is_large_fleet() && daemon.is_reader() {
            self.relay_holdings(fence, &list);
        }
        list.retain(|inventory| self.is_heard(&inventory.server, from));
        daemon.update_inventory(fence, list);
    }

    /// Takes in a peer's state but for its requests.
    fn take_state(&self, from: &DaemonId, addr: SocketAddr, process: ProcessId, digest: &Digest) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let had_holder = daemon.peers.borrow().holder(now).is_some();
        let was_silent = daemon.peers.borrow_mut().record_digest(from, addr, process, digest, now);
        if was_silent {
            slog::info!(daemon.log, "dependency-regained"; "dependency" => "peer", "peer" => %from,
                "addr" => %addr, "config" => digest.config_version);
        }
        if digest.config_version > daemon.config_version() {
            daemon.newer_config.notify_one();
            daemon.fetch_due.notify_one();
        }
        if !had_holder && digest.lease.is_some() {
            // Demand that nobody heard is told to the new holder at once.
            daemon.model_waits.wait_started.notify_one();
        }
        self.take_left(from, &digest.departures);
        daemon.apply_peer_limits(&digest.limits, from);
        suspects::receive_note(daemon, &digest.quarantine, from);
    }

    fn take_left(&self, from: &DaemonId, left: &[ServerDeparture]) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let mut changed = false;
        for note in left {
            if daemon.directory.borrow_mut().apply_departure(note, now) != Change::None {
                changed = true;
                slog::info!(daemon.log, "server"; "server" => %note.server, "change" => "Leaving",
                    "from" => %from, "beat" => note.heartbeat,
                    "born" => note.server.born.unwrap_or(0));
            }
        }
        if changed {
            apply_updates::on_servers_changed(daemon);
        }
    }

    fn take_loads(&self, from: &DaemonId, loads: Vec<WorkloadReport>) {
        let loads = loads.into_iter().filter(|note| self.is_heard(&note.server, from));
        let work = |note: WorkloadReport| {
            (
                WorkloadKey { server: note.server, model: note.model },
                Workload { running: note.running, prompt_tokens: note.prompt_tokens },
            )
        };
        self.daemon.workloads.set_peer(from, self.daemon.now(), loads.map(work).collect());
    }

    /// Takes in a reader's word.
    fn take_word(
        &self,
        from: &DaemonId,
        addr: SocketAddr,
        process: ProcessId,
        report: ReaderReport,
    ) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let heard = ReaderStatus::new(&report, now);
        let ReaderReport { digest, changes_from, joined, checksum, scope, workloads, .. } = report;
        self.take_state(from, addr, process, &digest);
        daemon.peers.borrow_mut().set_reader_status(from, heard);
        let is_near = digest.centre == daemon.settings().centre;
        match (scope, is_near) {
            (WorkloadScope::Centre, false) => {
                daemon.workloads.set_centre(&digest.centre, now, workloads);
            }
            (WorkloadScope::Centre, true) => daemon.workloads.set_own_centre(now, workloads),
            (WorkloadScope::Fleet, true) if !daemon.is_reader() => {
                daemon.workloads.set_fleet(now, workloads);
            }
            (WorkloadScope::Fleet, _) => {}
        }
        if !is_near || daemon.polls_servers() {
            return;
        }
        if digest.config_version <= daemon.config_version() {
            let age = Duration::from_millis(digest.config_age.into());
            let told = &daemon.freshness.config_at;
            told.set(told.get().max(now.saturating_sub(age)));
        }
        if self.take_changes(&heard, changes_from, digest.servers_end, joined) {
            self.compare(from, digest.servers_end, checksum);
        }
    }

    /// Compares the picture with that of a reader after its word. Where they differ something was told wrong or not at
    /// all: it shows here long before requests go to a server that is gone.
    fn compare(&self, from: &DaemonId, end: Offset, checksum: u64) {
        let daemon = &self.daemon;
        let directory = daemon.directory.borrow();
        if directory.feed_end() != end {
            return;
        }
        if daemon.freshness.record_comparison(directory.checksum() == checksum, daemon.now()) {
            daemon.metrics.record_reader_report("differs");
            slog::warn!(daemon.log, "picture-differs"; "reader" => %from, "feed_end" => end,
                "servers" => directory.servers().count());
            daemon.fetch_due.notify_one();
        }
    }

    /// Takes in the changes of the servers' feed that a reader of the own data centre tells of; returns whether they
    /// follow on what is known.
    fn take_changes(
        &self,
        heard: &ReaderStatus,
        from: Offset,
        end: Offset,
        joined: Vec<(ServerId, Vec<u8>)>,
    ) -> bool {
        let daemon = &self.daemon;
        let mut changed = false;
        for (id, raw) in joined {
            let change = apply_updates::apply_server(
                daemon,
                &id,
                Some(&Bytes::from(raw)),
                apply_updates::FROM_PEER,
            );
            changed |= change != Change::None;
        }
        if changed {
            apply_updates::on_servers_changed(daemon);
        }
        if from > daemon.directory.borrow().feed_end() {
            // Some changes were told while this daemon did not hear: the whole picture is fetched.
            daemon.metrics.record_reader_report("gap");
            daemon.freshness.has_gap.set(true);
            daemon.fetch_due.notify_one();
            return false;
        }
        daemon.metrics.record_reader_report("taken");
        daemon.directory.borrow_mut().record_relayed_read(heard.read, end);
        daemon.freshness.advance_servers(heard.read);
        daemon.freshness.is_partial.set(true);
        true
    }
}
