//! Sends and receives the daemons' UDP datagrams, and applies what peers publish: digests with workloads, demand,
//! engine inventories, trials and reader reports.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::task::coop::consume_budget;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::digest::Digest;
use crate::cluster::digest::MessageError;
use crate::cluster::digest::Payload;
use crate::cluster::digest::PeerMessage;
use crate::cluster::digest::ProcessId;
use crate::cluster::digest::ServerDeparture;
use crate::cluster::digest::WorkloadReport;
use crate::cluster::directory::Change;
use crate::cluster::engine_inventories::EngineInventory;
use crate::cluster::latest_instances::InstanceOrder;
use crate::cluster::origin_message::OriginMessage;
use crate::cluster::reader_report::ReaderReport;
use crate::cluster::reader_report::WorkloadScope;
use crate::cluster::readers::ReaderStatus;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::trial_report::TrialReport;
use crate::cluster::trial_report::TrialStage;
use crate::cluster::workloads::Workload;
use crate::cluster::workloads::WorkloadKey;
use crate::feed_offset;
use crate::feed_offset::era_of;
use crate::ids::DaemonId;
use crate::ids::FeedOffset;
use crate::ids::Fence;
use crate::ids::ServerId;
use crate::serve::apply_updates;
use crate::serve::daemon_state::DaemonState;
use crate::serve::datagram_sender::DatagramSender;
use crate::serve::origin_exchange;
use crate::serve::part_suspects;
use crate::serve::quotas;
use crate::serve::restored_store::note_era;
use crate::serve::share_slowdowns;
use crate::serve::socket;
use crate::serve::suspects;

/// Delay after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(10);
/// Largest datagram in bytes.
const MAX_DATAGRAM: usize = 60_000;
/// Interval at which an idle socket is checked; ages in datagrams are overestimated by this much at most.
const EMPTY_INTERVAL: Duration = Duration::from_millis(20);

/// The exchange of datagrams between daemons, and when digests were last sent.
#[derive(Debug)]
pub struct Gossip {
    pub(super) daemon: Rc<DaemonState>,
    /// Kept because the daemon does not own it.
    _sender: Rc<dyn DatagramSender>,
    malformed: Cell<u64>,
    /// When this daemon last published a digest.
    pub(super) last_digest: Cell<Moment>,
    /// When this daemon, as lease holder, last sent its digest to all daemons of a large fleet.
    pub(super) last_broadcast: Cell<Moment>,
    /// When this daemon last told its peers the rejection limits of servers.
    pub(super) last_limits: Cell<Moment>,
    /// When silent servers were last sent to peers.
    pub(super) last_silence: Cell<Moment>,
    /// When this daemon last told all its peers of crashes.
    pub(super) last_crashes: Cell<Moment>,
    /// Number of digests published; wraps around.
    pub(super) digest_round: Cell<u64>,
}

impl Gossip {
    /// Exchanges datagrams, which the daemon sends with `sender` while this lives.
    pub fn new(daemon: Rc<DaemonState>, sender: Rc<dyn DatagramSender>) -> Rc<Self> {
        *daemon.datagrams.borrow_mut() = Some(Rc::downgrade(&sender));
        Rc::new(Self {
            daemon,
            _sender: sender,
            malformed: Cell::default(),
            last_digest: Cell::default(),
            last_broadcast: Cell::default(),
            last_limits: Cell::default(),
            last_silence: Cell::default(),
            last_crashes: Cell::default(),
            digest_round: Cell::default(),
        })
    }

    pub(super) fn encode(&self, content: Payload) -> Vec<u8> {
        self.daemon.encode_message(content)
    }

    pub(super) fn send(&self, to: SocketAddr, bytes: &[u8], kind: &'static str) {
        self.daemon.send_datagram(to, bytes, kind);
    }

    /// Receives datagrams on `socket` and applies their messages, for as long as the daemon runs.
    ///
    /// Datagrams are buffered in the socket while the event loop is stopped. One that is read may therefore have arrived at any
    /// time since the socket was last empty.
    pub async fn receive(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        let mut empty_at = self.daemon.now();
        loop {
            match socket.try_recv_from(&mut buffer) {
                Ok((length, from)) => {
                    self.apply_received(&buffer[..length], from, empty_at);
                    consume_budget().await;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    let now = self.daemon.now();
                    empty_at = if socket::is_empty(&socket) { now } else { empty_at };
                    let _checked = timeout(EMPTY_INTERVAL, socket.readable()).await;
                }
                Err(_) => sleep(RECEIVE_PAUSE).await,
            }
        }
    }

    /// Applies the message of a datagram from `from` that has just arrived; one that is malformed is logged.
    pub fn apply_datagram(&self, bytes: &[u8], from: SocketAddr) {
        self.apply_received(bytes, from, self.daemon.now());
    }

    /// Applies the message of a datagram from `from` that arrived at `since` or later.
    fn apply_received(&self, bytes: &[u8], from: SocketAddr, since: Moment) {
        if let Err(error) = self.try_apply(bytes, from, since) {
            self.log_malformed(&error, from);
        }
    }

    fn try_apply(&self, bytes: &[u8], from: SocketAddr, since: Moment) -> Result<(), MessageError> {
        if OriginMessage::matches(bytes) {
            origin_exchange::apply_message(&self.daemon, OriginMessage::decode(bytes)?, from);
        } else {
            self.apply_message(PeerMessage::decode(bytes)?, from, since);
        }
        Ok(())
    }

    fn log_malformed(&self, error: &MessageError, from: SocketAddr) {
        let count = self.malformed.get() + 1;
        self.malformed.set(count);
        // Logs the first and then every thousandth, so that a flood does not fill the log.
        if count % 1000 == 1 {
            slog::warn!(self.daemon.log, "datagram-malformed"; "from" => %from,
                "error" => %error, "count" => count);
        }
    }

    /// Applies a message, unless it is this daemon's own.
    fn apply_message(&self, message: PeerMessage, from: SocketAddr, since: Moment) {
        let daemon = &self.daemon;
        if message.process == daemon.process {
            return;
        }
        let now = daemon.now();
        let addr = SocketAddr::new(from.ip(), message.port);
        match message.payload {
            Payload::Digest(digest) => {
                self.apply_digest(&message.from, addr, message.process, &digest);
                self.apply_workloads(&message.from, digest.workloads);
            }
            Payload::Demand(report) => {
                if daemon.fence().is_some() {
                    daemon.demand.borrow_mut().update(&message.from, report, now);
                    daemon.plan_due.notify_one();
                }
            }
            Payload::Inventories(fence, list) => self.apply_inventories(&message.from, fence, list),
            Payload::ReaderReport(report) => {
                self.apply_reader_report(&message.from, addr, message.process, report, since);
            }
            Payload::RejectionLimits(limits) => {
                let known = daemon.directory.borrow();
                for (server, limit) in limits.iter().filter(|(s, _)| known.is_current(s)) {
                    daemon.brittle_servers.record_peer(server, *limit, now);
                }
            }
            Payload::SilentServers(servers) => daemon.apply_silence(&servers),
            Payload::VersionDemand(reports) => {
                if daemon.fence().is_some() {
                    daemon.demand.borrow_mut().update_versions(&message.from, reports, now);
                    daemon.plan_due.notify_one();
                }
            }
            Payload::CrashNews(report) => suspects::merge_report(daemon, &report, &message.from),
            Payload::PromptParts(report) => {
                part_suspects::merge_report(daemon, &report, &message.from);
            }
            Payload::Slowdowns(report) => {
                share_slowdowns::apply_report(daemon, &message.from, &report);
            }
            Payload::Quota(content) => {
                quotas::apply_message(daemon, &message.from, message.process, addr, content);
            }
            Payload::Trials(reports) => {
                self.answer_claims(&message.from, addr, &reports);
                if daemon.trials.update_peer(&message.from, reports, now) {
                    daemon.model_waits.inventories_changed.notify_waiters();
                }
            }
        }
    }

    /// Tells a peer what this daemon knows of the requests that it has claimed engines for: news of crashes may have been
    /// lost on their way, and the claim leaves time for the answer.
    ///
    /// Besides daemons that detected a crash, a few others answer, since those may be gone.
    fn answer_claims(&self, from: &DaemonId, addr: SocketAddr, reports: &[TrialReport]) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let claimed = reports.iter().filter(|r| matches!(r.stage, TrialStage::Claimed(_)));
        for fingerprint in claimed.map(|report| report.fingerprint) {
            let only_own = !daemon.answers_for(&fingerprint, from);
            let known = daemon.quarantine.borrow().known_of(&fingerprint, only_own, now);
            if let Some(report) = known {
                self.send(addr, &self.encode(Payload::CrashNews(report)), "crashes");
            }
            let known = daemon.part_quarantine.borrow().known_of(&fingerprint, only_own, now);
            self.send_parts(known, &[addr]);
        }
    }

    /// Records an instance that a peer named; returns whether it is not older than the newest known one, so that the
    /// peer's report on it counts.
    fn accepts_instance(&self, instance: &ServerInstance, from: &DaemonId) -> bool {
        apply_updates::apply_instance(&self.daemon, instance, from) != InstanceOrder::Older
    }

    /// Applies engine inventories. A reader relays those of the lease holder to its data centre.
    fn apply_inventories(&self, from: &DaemonId, fence: Fence, mut list: Vec<EngineInventory>) {
        let daemon = &self.daemon;
        let is_holder =
            daemon.peers.borrow().holder(daemon.now()).is_some_and(|(id, ..)| id == from);
        if is_holder && daemon.is_large_fleet() && daemon.is_reader() {
            self.relay_inventories(fence, &list);
        }
        list.retain(|inventory| self.accepts_instance(&inventory.server, from));
        daemon.update_inventory(fence, list);
    }

    /// Applies a peer's digest except for its workloads.
    fn apply_digest(&self, from: &DaemonId, addr: SocketAddr, process: ProcessId, digest: &Digest) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let had_holder = daemon.peers.borrow().holder(now).is_some();
        let was_unreachable =
            daemon.peers.borrow_mut().record_digest(from, addr, process, digest, now);
        if was_unreachable {
            slog::info!(daemon.log, "dependency-regained"; "dependency" => "peer", "peer" => %from,
                "addr" => %addr, "config" => digest.config_version);
        }
        if daemon.store_era.get().is_some() {
            note_era(daemon, era_of(digest.servers_end), from);
        }
        if digest.config_version > daemon.config_version() {
            daemon.newer_config.notify_one();
            daemon.fetch_due.notify_one();
        }
        if !had_holder && digest.lease.is_some() {
            // Without a lease holder, demand was sent to nobody; the new one must get it at once.
            daemon.model_waits.wait_started.notify_one();
        }
        self.apply_departures(from, &digest.departures);
        daemon.apply_peer_limits(&digest.limits, from);
        suspects::merge_report(daemon, &digest.quarantine, from);
    }

    /// Applies a peer's reports of servers that leave.
    fn apply_departures(&self, from: &DaemonId, departures: &[ServerDeparture]) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let mut changed = false;
        for departure in departures {
            if daemon.directory.borrow_mut().apply_departure(departure, now) != Change::None {
                changed = true;
                slog::info!(daemon.log, "server"; "server" => %departure.server, "change" => "Leaving",
                    "from" => %from, "beat" => departure.heartbeat,
                    "born" => departure.server.born.unwrap_or(0));
            }
        }
        if changed {
            apply_updates::on_servers_changed(daemon);
        }
    }

    /// Replaces a peer's workloads; skips those at outdated instances.
    fn apply_workloads(&self, from: &DaemonId, reports: Vec<WorkloadReport>) {
        let reports =
            reports.into_iter().filter(|report| self.accepts_instance(&report.server, from));
        let to_entry = |report: WorkloadReport| {
            (
                WorkloadKey { server: report.server, model: report.model },
                Workload { running: report.running, prompt_tokens: report.prompt_tokens },
            )
        };
        self.daemon.workloads.set_peer(from, self.daemon.now(), reports.map(to_entry).collect());
    }

    /// Applies a reader report that arrived at `since` or later: its ages count from then.
    fn apply_reader_report(
        &self,
        from: &DaemonId,
        addr: SocketAddr,
        process: ProcessId,
        report: ReaderReport,
        since: Moment,
    ) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let status = ReaderStatus::new(&report, since, now);
        let ReaderReport {
            digest, changes_from, joined_servers, checksum, scope, workloads, ..
        } = report;
        self.apply_digest(from, addr, process, &digest);
        daemon.peers.borrow_mut().set_reader_status(from, status);
        let is_own_centre = digest.centre == daemon.settings().centre;
        match (scope, is_own_centre) {
            (WorkloadScope::Centre, false) => {
                daemon.workloads.set_centre(&digest.centre, now, workloads);
            }
            (WorkloadScope::Centre, true) => daemon.workloads.set_own_centre(now, workloads),
            (WorkloadScope::Fleet, true) if !daemon.is_reader() => {
                daemon.workloads.set_fleet(now, workloads);
            }
            (WorkloadScope::Fleet, _) => {}
        }
        if !is_own_centre || daemon.polls_servers() {
            return;
        }
        if digest.config_version <= daemon.config_version() {
            let age = Duration::from_millis(digest.config_age.into());
            daemon.freshness.confirm_config(since.saturating_sub(age));
        }
        if self.apply_changes(&status, changes_from, digest.servers_end, joined_servers) {
            self.check_divergence(from, digest.servers_end, checksum);
        }
    }

    /// Compares the directory with that of a reader after its report was applied. A difference means that a change was
    /// reported wrongly or not at all, and is found here long before requests go to a removed server.
    fn check_divergence(&self, from: &DaemonId, end: FeedOffset, checksum: u64) {
        let daemon = &self.daemon;
        let directory = daemon.directory.borrow();
        if directory.feed_end() != end {
            return;
        }
        if daemon.freshness.record_comparison(directory.checksum() == checksum, daemon.now()) {
            daemon.metrics.record_reader_report("differs");
            slog::warn!(daemon.log, "picture-differs"; "reader" => %from, "feed_end" => feed_offset::show(end),
                "servers" => directory.servers().count());
            daemon.fetch_due.notify_one();
        }
    }

    /// Applies changes of the servers' feed that a reader of this data centre reports. Returns `false` if this daemon
    /// lacks changes before them.
    fn apply_changes(
        &self,
        status: &ReaderStatus,
        from: FeedOffset,
        end: FeedOffset,
        joined_servers: Vec<(ServerId, Vec<u8>)>,
    ) -> bool {
        let daemon = &self.daemon;
        let mut changed = false;
        for (id, raw) in joined_servers {
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
            // This daemon missed reports with earlier changes, so it fetches a snapshot.
            daemon.metrics.record_reader_report("gap");
            daemon.freshness.has_gap.set(true);
            daemon.fetch_due.notify_one();
            return false;
        }
        if era_of(end) < era_of(daemon.directory.borrow().feed_end()) {
            // The reader has not noticed yet that the store was restored.
            daemon.metrics.record_reader_report("outdated");
            return false;
        }
        daemon.metrics.record_reader_report("taken");
        daemon.directory.borrow_mut().record_relayed_read(status.last_read, end);
        daemon.freshness.advance_servers(status.last_read);
        daemon.freshness.is_partial.set(true);
        true
    }
}
