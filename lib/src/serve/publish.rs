//! What this daemon tells its peers, to whom, and when.

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
use crate::cluster::reader_report::ReaderReport;
use crate::cluster::reader_report::WorkloadScope;
use crate::cluster::workloads::Workload;
use crate::cluster::workloads::WorkloadKey;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::serve::gossip::Gossip;

/// Least time between two tellings of demand.
const DEMAND_GAP: Duration = Duration::from_millis(10);
/// Time between tellings of demand while it does not change.
const DEMAND_EVERY: Duration = Duration::from_millis(250);
/// Servers in one message; more go into further ones.
const HOLDINGS_EACH: usize = 24;
/// Bytes of servers' entries in one word; where more came at once, peers fetch the whole picture.
const JOINED_BYTES: usize = 30_000;

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl Gossip {
    fn digest_gap(&self) -> Duration {
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
        let note = |(place, work): (WorkloadKey, Workload)| WorkloadReport {
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
            workloads: daemon.workloads.snapshot_own().into_iter().map(note).collect(),
            limits: daemon.rate_limits.borrow().report(now, daemon.is_reader()),
            quarantine: daemon.quarantine.borrow().report(now, daemon.is_reader()),
            lease: claim.map(LeaseReport::from),
        }
    }

    fn digest_message(&self) -> Vec<u8> {
        let left = self.daemon.directory.borrow_mut().recent_departures(self.daemon.now());
        self.encode(Payload::Digest(self.digest(left)))
    }

    fn word_message(&self, scope: WorkloadScope) -> Vec<u8> {
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
        if joined.iter().map(|(_, raw)| raw.len()).sum::<usize>() > JOINED_BYTES {
            joined.clear();
            changes_from = directory.feed_end();
        }
        let checksum = directory.checksum();
        drop(directory);
        let workloads = match scope {
            WorkloadScope::Fleet => daemon.workloads.fleet_table(now).summaries(false),
            WorkloadScope::Centre => daemon.workloads.centre_table(now).summaries(true),
        };
        let remote_heard = daemon.peers.borrow().remote_heard(&centre, now);
        let told = ReaderReport {
            digest: Digest { workloads: Vec::new(), ..self.digest(departures) },
            changes_from,
            read_age: millis(now.saturating_sub(daemon.freshness.servers_at.get())),
            remote_age: millis(now.saturating_sub(remote_heard)),
            joined: joined.into_iter().map(|(id, raw)| (id, raw.to_vec())).collect(),
            checksum,
            scope,
            workloads,
        };
        self.encode(Payload::ReaderReport(told))
    }

    /// Looks whether this daemon should read the store for its data centre.
    fn look_at_duty(&self, now: Moment) {
        let daemon = &self.daemon;
        let centre = daemon.settings().centre.clone();
        let before = daemon.peers.borrow().higher_ranked(daemon.reader_rank(), &centre, now);
        let is_needed =
            daemon.is_large_fleet() && daemon.peers_known.get() && daemon.stopping.get().is_none();
        let mut role = daemon.reader_role.borrow_mut();
        let did = role.is_reader();
        let does = if is_needed {
            role.update(before, now)
        } else {
            role.reset();
            false
        };
        if did != does {
            slog::info!(daemon.log, "reader"; "reads" => does, "before" => before.daemons,
                "readers" => before.readers, "blind" => before.blind);
        }
    }

    /// Tells peers this daemon's state, now and then, and at once what they should know.
    pub async fn publish_digests(self: Rc<Self>) {
        loop {
            let due = self.last_digest.get() + self.digest_gap();
            let now = self.daemon.now();
            if now >= due || self.last_digest.get().is_zero() {
                self.tell_turn(false);
                continue;
            }
            let left = due.saturating_sub(now);
            tokio::select! {
                () = sleep(left) => {}
                () = self.daemon.config_changed.notified() => self.tell_version(),
                () = self.daemon.report_due.notified() => self.tell_words(),
                () = self.daemon.quarantine_changed.notified() => self.tell_turn(false),
                () = self.daemon.trials.changed.notified() => {
                    self.daemon.model_waits.inventories_changed.notify_waiters();
                    self.tell_trials();
                }
            }
        }
    }

    /// Tells the data centre at once that a version has come into force, on the part of those who ask for it
    /// often: the others may not hear of it otherwise for seconds.
    fn tell_version(&self) {
        if self.daemon.is_large_fleet() || !self.daemon.polls_config() {
            return;
        }
        let bytes = self.digest_message();
        let centre = self.daemon.settings().centre.clone();
        for peer in self.daemon.peers.borrow().in_centre(&centre) {
            self.send(peer.addr, &bytes, "digest");
        }
    }

    /// Tells this daemon's state at once; the lease holder tells all.
    pub fn publish_digest(&self) {
        self.tell_turn(true);
    }

    /// Tells this daemon's state to those whose turn it is, and words where it reads for others.
    fn tell_turn(&self, has_news: bool) {
        let now = self.daemon.now();
        self.last_digest.set(now);
        let round = self.round.replace(self.round.get().wrapping_add(1));
        self.daemon.peers.borrow_mut().sweep(now);
        self.look_at_duty(now);
        let bytes = self.digest_message();
        let addrs = self.listeners(round, has_news, now);
        for addr in &addrs {
            self.send(*addr, &bytes, "digest");
        }
        if self.daemon.peers.borrow().reachable(now).next().is_none() {
            for seed in &self.daemon.settings().seeds {
                if !addrs.contains(seed) && *seed != self.daemon.settings().peer {
                    self.send(*seed, &bytes, "digest");
                }
            }
        }
        self.tell_words();
        if !self.daemon.trials.own().is_empty() {
            self.tell_trials();
        }
    }

    /// Tells all daemons which suspected requests are here: each must know before it sends a copy of one.
    fn tell_trials(&self) {
        let bytes = self.encode(Payload::Trials(self.daemon.trials.own()));
        for (_, peer) in self.daemon.peers.borrow().all() {
            self.send(peer.addr, &bytes, "trials");
        }
    }

    fn listeners(&self, round: u64, has_news: bool, now: Moment) -> Vec<SocketAddr> {
        let peers = self.daemon.peers.borrow();
        let centre = self.daemon.settings().centre.clone();
        let is_due = has_news || now >= self.last_broadcast.get() + peers.holder_interval();
        if self.daemon.held_fence().is_some() && is_due {
            self.last_broadcast.set(now);
            return peers.all().map(|(_, p)| p.addr).collect();
        }
        peers.digest_targets(&centre, round, now)
    }

    /// Tells the data centre, the readers of the others and the lease holder what a reader knows.
    fn tell_words(&self) {
        let daemon = &self.daemon;
        if !daemon.is_large_fleet() || !daemon.is_reader() {
            return;
        }
        let now = daemon.now();
        let centre = daemon.settings().centre.clone();
        let near = self.word_message(WorkloadScope::Fleet);
        let far = self.word_message(WorkloadScope::Centre);
        let peers = daemon.peers.borrow();
        for peer in peers.in_centre(&centre) {
            self.send(peer.addr, &near, "word");
        }
        let mut addrs: Vec<SocketAddr> = peers
            .centres()
            .filter(|other| **other != centre)
            .flat_map(|other| peers.reader_addrs(other, now))
            .collect();
        addrs.extend(peers.holder(now).map(|(_, peer, _)| peer.addr));
        addrs.sort_unstable();
        addrs.dedup();
        for addr in addrs {
            self.send(addr, &far, "word");
        }
    }

    /// Tells the holder of the placement lease what callers ask for: at once when something new is
    /// waited for, then in steps.
    pub async fn publish_demand(self: Rc<Self>) {
        loop {
            let begun = self.daemon.model_waits.wait_started.notified();
            self.tell_demand_now();
            sleep(DEMAND_GAP).await;
            let _begun = timeout(DEMAND_EVERY, begun).await;
        }
    }

    fn tell_demand_now(&self) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let note = daemon.model_waits.demand_note(now);
        if note == DemandReport::default() {
            return;
        }
        if daemon.fence().is_some() {
            let id = daemon.settings().id.clone();
            daemon.demand.borrow_mut().update(&id, note, now);
            daemon.plan_due.notify_one();
            return;
        }
        let holder = daemon.peers.borrow().holder(now).map(|(_, peer, _)| peer.addr);
        if let Some(addr) = holder {
            let bytes = self.encode(Payload::Demand(note));
            self.send(addr, &bytes, "demand");
        }
    }

    /// Tells all peers what engines hold, in a large fleet by way of readers.
    pub fn publish_inventories(&self, fence: Fence, inventories: &[EngineInventory]) {
        let addrs = self.holdings_listeners();
        for part in inventories.chunks(HOLDINGS_EACH) {
            let bytes = self.encode(Payload::Inventories(fence, part.to_vec()));
            for addr in &addrs {
                self.send(*addr, &bytes, "holdings");
            }
        }
    }

    fn holdings_listeners(&self) -> Vec<SocketAddr> {
        let peers = self.daemon.peers.borrow();
        if !peers.is_large_fleet() {
            return peers.all().map(|(_, p)| p.addr).collect();
        }
        let now = self.daemon.now();
        let own = self.daemon.settings().centre.clone();
        let to_centre = |centre: &CentreId| -> Vec<SocketAddr> {
            let readers: Vec<_> = peers.readers(centre, now).map(|(_, p)| p.addr).collect();
            let is_told = *centre != own && !readers.is_empty();
            if is_told { readers } else { peers.in_centre(centre).map(|p| p.addr).collect() }
        };
        peers.centres().flat_map(to_centre).collect()
    }

    /// Passes the lease holder's word on to the data centre.
    pub(super) fn relay_holdings(&self, fence: Fence, list: &[EngineInventory]) {
        let bytes = self.encode(Payload::Inventories(fence, list.to_vec()));
        let centre = self.daemon.settings().centre.clone();
        for peer in self.daemon.peers.borrow().in_centre(&centre) {
            self.send(peer.addr, &bytes, "holdings");
        }
    }

    /// Tells some peers what an engine holds.
    pub fn send_inventory(&self, fence: Fence, inventory: &EngineInventory, daemons: &[DaemonId]) {
        let bytes = self.encode(Payload::Inventories(fence, vec![inventory.clone()]));
        let peers = self.daemon.peers.borrow();
        for (_, peer) in peers.all().filter(|(id, _)| daemons.contains(id)) {
            self.send(peer.addr, &bytes, "holdings");
        }
    }
}
