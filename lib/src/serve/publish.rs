//! Sends this daemon's digests, reader reports, demand and engine inventories to its peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::digest::DemandReport;
use crate::cluster::digest::Digest;
use crate::cluster::digest::LeaseReport;
use crate::cluster::digest::Payload;
use crate::cluster::digest::ServerDeparture;
use crate::cluster::digest::WorkloadReport;
use crate::cluster::engine_inventories::EngineInventory;
use crate::cluster::part_report::PartReport;
use crate::cluster::reader_report::ReaderReport;
use crate::cluster::reader_report::WorkloadScope;
use crate::cluster::workloads::Workload;
use crate::cluster::workloads::WorkloadKey;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::serve::gossip::Gossip;
use crate::serve::trials::CLAIM_REPEAT_INTERVAL;

/// Shortest interval between two demand reports.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between demand reports while no request begins to wait.
const DEMAND_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between messages with silent servers; two arrive before one that is not renewed expires.
const SILENCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between messages with rejection limits; several arrive before a limit that is not renewed expires.
const LIMITS_INTERVAL: Duration = Duration::from_secs(3);
/// Most rejection limits in one message, which then fits into an Ethernet frame.
const LIMITS_PER_MESSAGE: usize = 40;
/// Most inventories in one message; further ones are sent in more messages.
const INVENTORIES_PER_MESSAGE: usize = 24;
/// Most bytes of joined servers' entries in one reader report. If more servers joined at once, peers fetch a full
/// snapshot.
const MAX_JOINED_BYTES: usize = 30_000;
/// Maximum number of crashes in one datagram on prompt parts: each may have many prompts with many parts.
const CRASHES_PER_MESSAGE: usize = 4;

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl Gossip {
    /// Returns the interval between digests.
    fn current_digest_interval(&self) -> Duration {
        let peers = self.daemon.peers.borrow();
        let is_holder = self.daemon.held_fence().is_some() && !peers.is_large_fleet();
        if is_holder { peers.holder_interval() } else { peers.digest_interval() }
    }

    fn digest(&self, departures: Vec<ServerDeparture>) -> Digest {
        let daemon = &self.daemon;
        let now = daemon.now();
        let claim = daemon.lease.borrow().claim(now);
        let servers_end = daemon.directory.borrow().feed_end();
        let age = daemon.config_age(now);
        let to_report = |(place, work): (WorkloadKey, Workload)| WorkloadReport {
            server: place.server,
            model: place.model,
            running: work.running,
            prompt_tokens: work.prompt_tokens,
        };
        let settings = daemon.settings();
        Digest {
            centre: settings.centre.clone(),
            config_version: daemon.config_version(),
            config_age: millis(age),
            servers_end,
            departures,
            ready: daemon.is_ready(),
            is_small: settings.host.is_small(),
            workloads: daemon.workloads.snapshot_own().into_iter().map(to_report).collect(),
            limits: daemon.rate_limits.borrow().report(now, daemon.is_reader()),
            quarantine: daemon.quarantine.borrow().report(now, daemon.is_reader()),
            lease: claim.map(LeaseReport::from),
        }
    }

    fn digest_message(&self) -> Vec<u8> {
        let departures = self.daemon.directory.borrow_mut().recent_departures(self.daemon.now());
        self.encode(Payload::Digest(self.digest(departures)))
    }

    fn reader_report_message(&self, scope: WorkloadScope) -> Vec<u8> {
        let daemon = &self.daemon;
        let now = daemon.now();
        let centre = daemon.settings().centre.clone();
        let mut directory = daemon.directory.borrow_mut();
        let departures = directory.all_departures(now);
        let mut changes_from = directory.history_start();
        let mut joined: Vec<_> = match scope {
            WorkloadScope::Fleet => directory.recent_joins(now),
            WorkloadScope::Centre => Vec::new(),
        };
        if joined.iter().map(|(_, raw)| raw.len()).sum::<usize>() > MAX_JOINED_BYTES {
            joined.clear();
            changes_from = directory.feed_end();
        }
        let checksum = directory.checksum();
        drop(directory);
        let workloads = match scope {
            WorkloadScope::Fleet => daemon.workloads.fleet_table(now).summaries(false),
            WorkloadScope::Centre => daemon.workloads.centre_table(now).summaries(true),
        };
        let remote_received = daemon.peers.borrow().remote_heard(&centre, now);
        let report = ReaderReport {
            digest: Digest { workloads: Vec::new(), ..self.digest(departures) },
            changes_from,
            read_age_ms: millis(now.saturating_sub(daemon.freshness.servers_at.get())),
            remote_age_ms: millis(now.saturating_sub(remote_received)),
            joined_servers: joined.into_iter().map(|(id, raw)| (id, raw.to_vec())).collect(),
            checksum,
            scope,
            workloads,
        };
        self.encode(Payload::ReaderReport(report))
    }

    /// Updates whether this daemon reads the store for its data centre.
    fn update_reader_role(&self, now: Moment) {
        let daemon = &self.daemon;
        let centre = daemon.settings().centre.clone();
        let higher = daemon.peers.borrow().higher_ranked(daemon.reader_rank(), &centre, now);
        let is_needed =
            daemon.is_large_fleet() && daemon.peers_known.get() && daemon.stopping.get().is_none();
        let mut role = daemon.reader_role.borrow_mut();
        let was_reader = role.is_reader();
        let reads = if is_needed {
            role.update(higher, now)
        } else {
            role.reset();
            false
        };
        if was_reader != reads {
            slog::info!(daemon.log, "reader"; "reads" => reads, "before" => higher.daemons,
                "readers" => higher.readers, "blind" => higher.without_store);
        }
    }

    /// Sends digests to peers periodically, and urgent changes at once.
    pub async fn publish_digests(self: Rc<Self>) {
        loop {
            let due = self.last_digest.get() + self.current_digest_interval();
            let now = self.daemon.now();
            if now >= due || self.last_digest.get().is_zero() {
                self.send_digest(false);
                continue;
            }
            let remaining = due.saturating_sub(now);
            tokio::select! {
                () = sleep(remaining) => {}
                () = self.daemon.config_changed.notified() => self.send_config_version(),
                () = self.daemon.report_due.notified() => self.send_reader_reports(),
                () = self.daemon.quarantine_changed.notified() => {
                    self.send_crashes();
                    self.send_digest(false);
                }
                () = self.daemon.departure_heard.notified() => self.send_digest(false),
                () = self.daemon.limit_heard.notified() => self.send_limits(),
                () = self.daemon.silence_noticed.notified() => self.send_silence(),
                () = sleep(CLAIM_REPEAT_INTERVAL), if self.daemon.trials.has_claim() => self.send_trials(),
                () = self.daemon.trials.changed.notified() => {
                    self.daemon.model_waits.inventories_changed.notify_waiters();
                    self.send_trials();
                }
            }
        }
    }

    /// Sends a digest to the data centre when a new configuration version is in force, if this daemon polls the
    /// configuration often: the other daemons might otherwise not learn of the version for seconds.
    fn send_config_version(&self) {
        if self.daemon.is_large_fleet() || !self.daemon.polls_config() {
            return;
        }
        let bytes = self.digest_message();
        let centre = self.daemon.settings().centre.clone();
        for peer in self.daemon.peers.borrow().in_centre(&centre) {
            self.send(peer.addr, &bytes, "digest");
        }
    }

    /// Sends a digest at once; the lease holder sends it to all peers.
    pub fn publish_digest(&self) {
        self.send_digest(true);
    }

    /// Sends a digest to the peers that are due, and reader reports if this daemon is a reader. The seeds are included
    /// while no peer is reachable. An urgent digest of the lease holder goes to all peers.
    fn send_digest(&self, is_urgent: bool) {
        let now = self.daemon.now();
        self.last_digest.set(now);
        let digest_round = self.digest_round.replace(self.digest_round.get().wrapping_add(1));
        self.daemon.peers.borrow_mut().sweep(now);
        self.update_reader_role(now);
        let bytes = self.digest_message();
        let addrs = self.digest_recipients(digest_round, is_urgent, now);
        for addr in &addrs {
            self.send(*addr, &bytes, "digest");
        }
        self.send_part_report(&addrs);
        if self.daemon.peers.borrow().reachable(now).next().is_none() {
            for seed in &self.daemon.settings().seeds {
                if !addrs.contains(seed) && *seed != self.daemon.settings().peer {
                    self.send(*seed, &bytes, "digest");
                }
            }
        }
        self.send_reader_reports();
        if now >= self.last_limits.get() + LIMITS_INTERVAL {
            self.send_limits();
        }
        if now >= self.last_silence.get() + SILENCE_INTERVAL {
            self.send_silence();
        }
        if !self.daemon.trials.own().is_empty() {
            self.send_trials();
        }
    }

    /// Sends the rejection limits that servers told this daemon to all daemons: one that has not heard of a limit would
    /// send that server requests without any.
    fn send_limits(&self) {
        let now = self.daemon.now();
        self.last_limits.set(now);
        let limits = self.daemon.brittle_servers.own_limits(now);
        for part in limits.chunks(LIMITS_PER_MESSAGE) {
            let bytes = self.encode(Payload::RejectionLimits(part.to_vec()));
            for (_, peer) in self.daemon.peers.borrow().all() {
                self.send(peer.addr, &bytes, "limits");
            }
        }
    }

    /// Sends the servers that this daemon finds silent to all daemons.
    fn send_silence(&self) {
        let now = self.daemon.now();
        self.last_silence.set(now);
        let silent = self.daemon.silent_servers.borrow().own(now);
        let silent: Vec<_> =
            silent.into_iter().map(|(server, age)| (server, age.as_millis() as u32)).collect();
        for part in silent.chunks(LIMITS_PER_MESSAGE) {
            let bytes = self.encode(Payload::SilentServers(part.to_vec()));
            for (_, peer) in self.daemon.peers.borrow().all() {
                self.send(peer.addr, &bytes, "silence");
            }
        }
    }

    /// Sends the crashes that this daemon has just detected to all daemons. Digests take several rounds to all of a large
    /// fleet, in which copies of a fatal request would be sent as if it were none.
    fn send_crashes(&self) {
        let now = self.daemon.now();
        let since = self.last_crashes.replace(now);
        let report = self.daemon.quarantine.borrow().own_crashes(since, now);
        let peers: Vec<_> = self.daemon.peers.borrow().all().map(|(_, p)| p.addr).collect();
        if !report.crashes.is_empty() {
            let bytes = self.encode(Payload::CrashNews(report));
            for addr in &peers {
                self.send(*addr, &bytes, "crashes");
            }
        }
        let parts = self.daemon.part_quarantine.borrow().own_news(since, now);
        self.send_parts(parts, &peers);
    }

    /// Sends what this daemon knows of fatal prompt parts along with a digest or reader report.
    fn send_part_report(&self, addrs: &[SocketAddr]) {
        let (now, is_reader) = (self.daemon.now(), self.daemon.is_reader());
        let report = self.daemon.part_quarantine.borrow().report(now, is_reader);
        self.send_parts(report, addrs);
    }

    /// Sends a report of prompt parts in datagrams of limited size; nothing if it is empty.
    pub(super) fn send_parts(&self, mut report: PartReport, addrs: &[SocketAddr]) {
        while !report.is_empty() {
            let rest = report.crashes.split_off(report.crashes.len().min(CRASHES_PER_MESSAGE));
            let bytes = self.encode(Payload::PromptParts(report));
            for addr in addrs {
                self.send(*addr, &bytes, "parts");
            }
            report = PartReport { crashes: rest, ..PartReport::default() };
        }
    }

    /// Sends the suspected requests at this daemon to all daemons: each must know them before it sends a copy of one.
    fn send_trials(&self) {
        let bytes = self.encode(Payload::Trials(self.daemon.trials.own()));
        for (_, peer) in self.daemon.peers.borrow().all() {
            self.send(peer.addr, &bytes, "trials");
        }
    }

    fn digest_recipients(
        &self,
        digest_round: u64,
        is_urgent: bool,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let peers = self.daemon.peers.borrow();
        let centre = self.daemon.settings().centre.clone();
        let is_due = is_urgent || now >= self.last_broadcast.get() + peers.holder_interval();
        if self.daemon.held_fence().is_some() && is_due {
            self.last_broadcast.set(now);
            return peers.all().map(|(_, p)| p.addr).collect();
        }
        peers.digest_targets(&centre, digest_round, now)
    }

    /// Sends a reader's reports to its data centre, the readers of the other data centres and the lease holder.
    fn send_reader_reports(&self) {
        let daemon = &self.daemon;
        if !daemon.is_large_fleet() || !daemon.is_reader() {
            return;
        }
        let now = daemon.now();
        let centre = daemon.settings().centre.clone();
        let local_report = self.reader_report_message(WorkloadScope::Fleet);
        let remote_report = self.reader_report_message(WorkloadScope::Centre);
        let peers = daemon.peers.borrow();
        let local: Vec<_> = peers.in_centre(&centre).map(|peer| peer.addr).collect();
        for addr in &local {
            self.send(*addr, &local_report, "word");
        }
        self.send_part_report(&local);
        let mut addrs: Vec<SocketAddr> = peers
            .centres()
            .filter(|other| **other != centre)
            .flat_map(|other| peers.reader_addrs(other, now))
            .collect();
        addrs.extend(peers.holder(now).map(|(_, peer, _)| peer.addr));
        addrs.sort_unstable();
        addrs.dedup();
        for addr in &addrs {
            self.send(*addr, &remote_report, "word");
        }
        self.send_part_report(&addrs);
    }

    /// Sends the demand of waiting requests to the holder of the placement lease: at once when a request begins to
    /// wait, then periodically.
    pub async fn publish_demand(self: Rc<Self>) {
        loop {
            let wait_started = self.daemon.model_waits.wait_started.notified();
            self.send_demand();
            sleep(MIN_DEMAND_INTERVAL).await;
            let _notified = timeout(DEMAND_INTERVAL, wait_started).await;
        }
    }

    fn send_demand(&self) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let report = daemon.model_waits.demand_report(now);
        let versions = daemon.model_waits.version_demand(now);
        let (has_report, has_versions) = (report != DemandReport::default(), !versions.is_empty());
        if daemon.fence().is_some() && (has_report || has_versions) {
            let id = daemon.settings().id.clone();
            let mut demand = daemon.demand.borrow_mut();
            demand.update(&id, report, now);
            demand.update_versions(&id, versions, now);
            daemon.plan_due.notify_one();
            return;
        }
        let holder = daemon.peers.borrow().holder(now).map(|(_, peer, _)| peer.addr);
        let Some(addr) = holder else { return };
        if has_report {
            self.send(addr, &self.encode(Payload::Demand(report)), "demand");
        }
        if has_versions {
            self.send(addr, &self.encode(Payload::VersionDemand(versions)), "demand");
        }
    }

    /// Sends engines' inventories to all peers, in a large fleet through readers.
    pub fn publish_inventories(&self, fence: Fence, inventories: &[EngineInventory]) {
        let addrs = self.inventory_recipients();
        for part in inventories.chunks(INVENTORIES_PER_MESSAGE) {
            let bytes = self.encode(Payload::Inventories(fence, part.to_vec()));
            for addr in &addrs {
                self.send(*addr, &bytes, "holdings");
            }
        }
    }

    fn inventory_recipients(&self) -> Vec<SocketAddr> {
        let peers = self.daemon.peers.borrow();
        if !peers.is_large_fleet() {
            return peers.all().map(|(_, p)| p.addr).collect();
        }
        let now = self.daemon.now();
        let own = self.daemon.settings().centre.clone();
        let to_centre = |centre: &CentreId| -> Vec<SocketAddr> {
            let readers: Vec<_> = peers.readers(centre, now).map(|(_, p)| p.addr).collect();
            let via_readers = *centre != own && !readers.is_empty();
            if via_readers { readers } else { peers.in_centre(centre).map(|p| p.addr).collect() }
        };
        peers.centres().flat_map(to_centre).collect()
    }

    /// Forwards inventories from the lease holder to the data centre.
    pub(super) fn relay_inventories(&self, fence: Fence, list: &[EngineInventory]) {
        let bytes = self.encode(Payload::Inventories(fence, list.to_vec()));
        let centre = self.daemon.settings().centre.clone();
        for peer in self.daemon.peers.borrow().in_centre(&centre) {
            self.send(peer.addr, &bytes, "holdings");
        }
    }

    /// Sends an engine's inventory to the given peers.
    pub fn send_inventory(&self, fence: Fence, inventory: &EngineInventory, daemons: &[DaemonId]) {
        let bytes = self.encode(Payload::Inventories(fence, vec![inventory.clone()]));
        let peers = self.daemon.peers.borrow();
        for (_, peer) in peers.all().filter(|(id, _)| daemons.contains(id)) {
            self.send(peer.addr, &bytes, "holdings");
        }
    }
}
