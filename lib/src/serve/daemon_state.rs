//! The state of one entry daemon, shared by the tasks of its event loop.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ConfigVersion;
use crate::cluster::configuration::Configuration;
use crate::cluster::configuration::ServiceName;
use crate::cluster::digest::ProcessId;
use crate::cluster::directory::Directory;
use crate::cluster::engine_inventories::EngineInventories;
use crate::cluster::engine_inventories::EngineInventory;
use crate::cluster::peer_table::PeerTable;
use crate::cluster::quarantine::Quarantine;
use crate::cluster::rate_limits::RateLimits;
use crate::cluster::reader_rank::ReaderRank;
use crate::cluster::reader_role::ReaderRole;
use crate::cluster::retry_budgets::BudgetLimits;
use crate::cluster::retry_budgets::RetryBudgets;
use crate::cluster::run_times::RunTimes;
use crate::cluster::server_health::Evidence;
use crate::cluster::server_health::ServerHealth;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::store_health::StoreHealth;
use crate::cluster::unreadable_records::UnreadableRecords;
use crate::cluster::workloads::Workloads;
use crate::host_clock::HostClock;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::metrics::Metrics;
use crate::placement::demand::Demand;
use crate::placement::engine_table::EngineTable;
use crate::placement::lease_state::LeaseState;
use crate::protocol::Protocol;
use crate::serve::choose::Chooser;
use crate::serve::freshness::Freshness;
use crate::serve::graceful_stop::GracefulStop;
use crate::serve::model_waits::ModelWaits;
use crate::serve::pool::ConnectionPool;
use crate::serve::random_source::RandomSource;
use crate::serve::trials::Trials;
use crate::store::Batch;
use crate::store::Feed;
use crate::store::Store;

/// Megabits a second from which a host's link carries the lease holder's word to a fleet of many daemons, which comes
/// in bursts, beside engines' reports and callers' streams.
const HOLDER_LINK: f64 = 50.0;
/// Part of a core from which a host can hold the lease of such a fleet: its plans come beside callers' requests.
const HOLDER_CORE: f64 = 0.2;
/// Numbers that a process's identity is drawn from, where it stands for chance.
const DRAWS: u64 = 1000;
/// A daemon that lives by readers' words asks the store for the configuration itself when they have told nothing of
/// it for this long: two readers' calls may have been lost by then, and callers notice after three seconds.
const WORD_BLIND: Duration = Duration::from_secs(2);

/// Checked settings of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Its name.
    pub id: DaemonId,
    /// Its data centre.
    pub centre: CentreId,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready: SocketAddr,
    /// Where operators ask for metrics.
    pub metrics: SocketAddr,
    /// Where other daemons connect and send datagrams.
    pub peer: SocketAddr,
    /// Other daemons that may help while the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Repeated sends of all daemons together.
    pub budget: BudgetLimits,
    /// Time between SIGTERM and the kill that follows it.
    pub grace: Duration,
    /// Time within which a server that leaves must get nothing more.
    pub drain: Duration,
    /// Whether engines refuse orders with an old fencing number.
    pub fenced: bool,
    /// How long orders of two holders must lie apart where engines do not check.
    pub apart: Duration,
    /// Length of the window in which loads from the weight store are counted.
    pub load_window: Duration,
    /// A configuration of which nobody has said for longer that it is the newest may lack a route that operators have
    /// added since.
    pub stale_after: Duration,
    /// What the host gives.
    pub host: HostSize,
    /// Daemons from which on they hear of each other through readers. A change counts from the next start on.
    pub readers_from: usize,
}

/// The size of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostSize {
    /// Part of a core, over all cores.
    pub core: f64,
    /// Megabits a second of its link.
    pub link: f64,
}

impl HostSize {
    /// Returns whether it is better not to lay the work for many daemons on it.
    pub fn is_small(self) -> bool {
        self.link < HOLDER_LINK || self.core < HOLDER_CORE
    }
}

/// The shared state.
#[derive(Debug)]
pub struct DaemonState {
    /// Settings as of the last reload.
    pub settings: RefCell<Rc<EntrySettings>>,
    /// This process.
    pub process: ProcessId,
    /// The clock.
    clock: Rc<dyn HostClock>,
    /// What callers, servers and the platform speak.
    pub protocol: Rc<dyn Protocol>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Connections.
    pub pool: ConnectionPool,
    /// The configuration, swapped whole; none before the first.
    pub config: RefCell<Option<Rc<Configuration>>>,
    /// The configuration as the platform wrote it.
    pub raw_config: RefCell<Bytes>,
    /// The servers.
    pub directory: RefCell<Directory>,
    /// What engines hold.
    pub inventories: RefCell<EngineInventories>,
    /// Work at servers.
    pub workloads: Workloads,
    /// Servers to avoid.
    pub health: RefCell<ServerHealth>,
    /// How long requests run at engines.
    pub run_times: RunTimes,
    /// Repeated sends.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// Limits that servers name.
    pub rate_limits: RefCell<RateLimits>,
    /// Requests under which servers crashed.
    pub quarantine: RefCell<Quarantine>,
    /// Suspects at engines.
    pub trials: Trials,
    /// The other daemons.
    pub peers: RefCell<PeerTable>,
    /// Waiting requests.
    pub model_waits: ModelWaits,
    /// Whether the store's list of daemons was read.
    pub peers_known: Cell<bool>,
    /// Whether this daemon reads the store for its data centre, and since when it should.
    pub reader_role: RefCell<ReaderRole>,
    /// What the list of servers stands on.
    pub freshness: Freshness,
    /// Signalled when readers should tell their words at once.
    pub report_due: Notify,
    /// Signalled when peers should hear at once of a request that crashes servers.
    pub quarantine_changed: Notify,
    /// Signalled when a reader tells of something that has to be fetched from it.
    pub fetch_due: Notify,
    /// The placement lease.
    pub lease: RefCell<LeaseState>,
    /// Signalled when orders wait for a record of the lease that lists their engine.
    pub renewal_due: Notify,
    /// Signalled when such a record is in the store.
    pub lease_renewed: Notify,
    /// Demand of all daemons, filled at the holder of the lease.
    pub demand: RefCell<Demand>,
    /// Engines as the holder knows them.
    pub engine_table: RefCell<EngineTable>,
    /// Wakes the holder.
    pub plan_due: Notify,
    /// Wakes those who tell peers of a version that has come into force.
    pub config_changed: Notify,
    /// Tells that a peer has a later version of the configuration.
    pub newer_config: Notify,
    /// When the store last answered.
    pub store_answered: Cell<Moment>,
    /// Whether the store answers, by feed.
    pub store_health: RefCell<StoreHealth>,
    /// Signalled when a feed is answered again.
    pub store_recovered: Notify,
    /// The stop that SIGTERM began.
    pub stopping: Cell<Option<GracefulStop>>,
    /// Whether a stop is over, so that what is in progress is given up.
    pub aborting: watch::Sender<bool>,
    /// Records of the store that cannot be read.
    pub unreadable: RefCell<UnreadableRecords>,
    /// Requests of callers whose answers are not all written.
    pub active: Cell<u32>,
    /// Whether this daemon is cut off from other data centres and the store.
    pub isolated: Cell<bool>,
    /// Chance.
    pub random: RefCell<RandomSource>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The log.
    pub log: Logger,
}

impl DaemonState {
    /// Joins the parts of a daemon that knows nothing yet.
    pub fn new(
        settings: EntrySettings,
        process: ProcessId,
        protocol: Rc<dyn Protocol>,
        store: Rc<dyn Store>,
        pool: ConnectionPool,
        log: Logger,
        clock: Rc<dyn HostClock>,
    ) -> Rc<Self> {
        let peers = PeerTable::new(settings.readers_from);
        // Set anew before each bid.
        let patience = Duration::ZERO;
        let lease = LeaseState::new(
            settings.id.clone(),
            process,
            settings.fenced,
            settings.apart,
            patience,
        );
        Rc::new(Self {
            retry_budgets: RefCell::new(RetryBudgets::new(settings.budget)),
            settings: RefCell::new(Rc::new(settings)),
            process,
            clock,
            protocol,
            store,
            pool,
            config: RefCell::default(),
            raw_config: RefCell::default(),
            directory: RefCell::default(),
            inventories: RefCell::default(),
            workloads: Workloads::default(),
            health: RefCell::default(),
            run_times: RunTimes::default(),
            rate_limits: RefCell::default(),
            quarantine: RefCell::default(),
            trials: Trials::default(),
            peers: RefCell::new(peers),
            model_waits: ModelWaits::default(),
            peers_known: Cell::default(),
            reader_role: RefCell::default(),
            freshness: Freshness::default(),
            report_due: Notify::new(),
            quarantine_changed: Notify::new(),
            fetch_due: Notify::new(),
            lease: RefCell::new(lease),
            renewal_due: Notify::new(),
            lease_renewed: Notify::new(),
            demand: RefCell::default(),
            engine_table: RefCell::default(),
            plan_due: Notify::new(),
            config_changed: Notify::new(),
            newer_config: Notify::new(),
            store_answered: Cell::default(),
            store_health: RefCell::default(),
            store_recovered: Notify::new(),
            stopping: Cell::default(),
            aborting: watch::Sender::default(),
            unreadable: RefCell::default(),
            active: Cell::default(),
            isolated: Cell::default(),
            random: RefCell::default(),
            metrics: Metrics::new(),
            log,
        })
    }

    /// Returns the time since this host's start.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the settings of this moment.
    pub fn settings(&self) -> Rc<EntrySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the configuration of this moment.
    pub fn config(&self) -> Option<Rc<Configuration>> {
        self.config.borrow().clone()
    }

    /// Returns the version of the configuration; 0 before the first.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.borrow().as_ref().map_or(0, |c| c.version)
    }

    /// Returns whether a peer that is in reach has a later version of the configuration.
    pub fn is_behind(&self) -> bool {
        let version = self.config_version();
        self.peers.borrow().reachable(self.now()).any(|(_, peer)| peer.config_version > version)
    }

    /// Returns whether this daemon asks the store for the configuration often, on behalf of its data centre.
    pub fn polls_config(&self) -> bool {
        let settings = self.settings.borrow();
        let peers = self.peers.borrow();
        if peers.is_large_fleet() {
            return self.is_reader() || self.config_age(self.now()) > WORD_BLIND;
        }
        peers.polls_config(&settings.id, &settings.centre, self.now())
    }

    /// Returns whether the fleet is so large that daemons hear of each other through readers.
    pub fn is_large_fleet(&self) -> bool {
        self.peers.borrow().is_large_fleet()
    }

    /// Returns whether this daemon reads the store for its data centre.
    pub fn is_reader(&self) -> bool {
        self.reader_role.borrow().is_reader()
    }

    /// Returns whether this daemon knows the platform by the words of readers.
    pub fn relies_on_readers(&self) -> bool {
        self.is_large_fleet() && !self.is_reader()
    }

    /// Returns whether this daemon reads the servers' feed all the time: for others, for its orders, or since the
    /// fleet is small.
    pub fn polls_servers(&self) -> bool {
        !self.relies_on_readers() || self.held_fence().is_some()
    }

    /// Returns this daemon's place in the order of readers.
    pub fn reader_rank(&self) -> ReaderRank {
        let is_small = self.settings.borrow().host.is_small();
        ReaderRank { is_small, process: self.process }
    }

    /// Returns whether new callers are welcome.
    pub fn is_ready(&self) -> bool {
        self.stopping.get().is_none() && self.config.borrow().is_some() && !self.isolated.get()
    }

    /// Returns until when a request may begin here that must be answered by `deadline`.
    pub fn latest_start(&self, deadline: Moment) -> Moment {
        self.stopping.get().map_or(Moment::MAX, |stop| stop.latest_start(deadline))
    }

    /// Waits until what is in progress is given up, because a stop is over.
    pub async fn aborted(&self) {
        let mut ending = self.aborting.subscribe();
        let told = ending.wait_for(|is_over| *is_over).await;
        debug_assert!(told.is_ok(), "the sender lives as long as this");
    }

    /// Returns whether callers should leave this daemon after their answer.
    pub fn closes_connections(&self) -> bool {
        self.stopping.get().is_some() || self.isolated.get()
    }

    /// Returns for how long the store has not said whether the configuration changed, to this daemon or to a
    /// reader that told so.
    pub fn config_age(&self, now: Moment) -> Duration {
        let told = now.saturating_sub(self.freshness.config_at.get());
        self.store_health.borrow().silence(Feed::Configuration, now).min(told)
    }

    /// Returns for how long the store has answered neither this daemon nor a reader that told so.
    pub fn store_silence(&self, now: Moment) -> Duration {
        now.saturating_sub(self.store_answered.get().max(self.freshness.servers_at.get()))
    }

    /// Returns whether operators may have written a version that this daemon does not follow: it has heard of one, or
    /// nobody has told for too long that there is none.
    pub fn is_config_stale(&self, now: Moment) -> bool {
        let told = now.saturating_sub(self.peers.borrow().config_checked(self.config_version()));
        let age = self.config_age(now).min(told);
        age > self.settings.borrow().stale_after || self.is_behind()
    }

    /// Returns the fencing number while this daemon may give orders.
    pub fn fence(&self) -> Option<Fence> {
        self.lease.borrow().fence(self.now())
    }

    /// Returns the fencing number of this daemon's tenure, though orders may be paused.
    pub fn held_fence(&self) -> Option<Fence> {
        self.lease.borrow().held_fence()
    }

    /// Returns how long this daemon waits before it bids for a lease that nobody holds.
    pub fn bid_delay(&self) -> Duration {
        let rank = self.reader_rank();
        let bidders = self.peers.borrow().bidders(rank.is_small);
        let draw = (self.process % DRAWS) as f64 / DRAWS as f64;
        bidders.bid_delay(rank.is_small, draw)
    }

    /// Returns whether the budget has a repeated send left.
    pub fn has_retry(&self, service: &ServiceName) -> bool {
        let daemons = self.peers.borrow().daemons();
        self.retry_budgets.borrow_mut().has_retry(service, self.now(), daemons)
    }

    /// Takes one repeated send out of the budget.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let daemons = self.peers.borrow().daemons();
        self.retry_budgets.borrow_mut().take_retry(service, self.now(), daemons)
    }

    /// Takes in evidence about a start of a server.
    pub fn record_health(
        &self,
        service: &ServiceName,
        server: &ServerInstance,
        evidence: Evidence,
    ) {
        // Requests fail at a start that is over long after the next one serves: a pause would keep
        // callers from a sound server.
        if !self.directory.borrow().is_current(server) {
            return;
        }
        let pause = self.health.borrow_mut().record(service, server, self.now(), evidence);
        if let Some(pause) = pause {
            slog::info!(self.log, "server-avoided"; "server" => %server,
                "evidence" => ?evidence, "for_ms" => pause.as_millis());
        }
    }

    /// Counts a record of the store that cannot be read, and logs it where that is news.
    pub fn log_unreadable(&self, feed: Feed, key: &str, reason: &str) {
        self.metrics.unread(feed.name());
        let note = self.unreadable.borrow_mut().record(feed, key, reason, self.now());
        if let Some(note) = note {
            slog::warn!(self.log, "record-unreadable"; "feed" => %feed, "key" => note.key.as_str(),
                "reason" => note.reason, "unlogged" => note.unlogged);
        }
    }

    /// Takes in which records of a batch could not be read.
    pub fn log_unreadable_records(&self, feed: Feed, batch: &Batch) {
        for record in &batch.unreadable {
            let key = record.key.as_ref().map_or(record.shown.as_str(), |key| key.as_str());
            self.log_unreadable(feed, key, &record.reason);
        }
    }

    /// Takes in the lease holder's word on what engines hold, and wakes those that wait for it.
    pub fn update_inventory(&self, fence: Fence, list: Vec<EngineInventory>) {
        let now = self.now();
        for inventory in list {
            self.inventories.borrow_mut().put(fence, inventory, now);
        }
        self.model_waits.inventories_changed.notify_waiters();
    }

    /// Calls `f` with what a choice of servers looks at.
    pub fn with_chooser<T>(&self, f: impl FnOnce(&Chooser<'_>) -> T) -> T {
        let turns = self.send_permits();
        let directory = self.directory.borrow();
        let inventories = self.inventories.borrow();
        let health = self.health.borrow();
        let settings = self.settings.borrow();
        f(&Chooser {
            directory: &directory,
            inventories: &inventories,
            workloads: &self.workloads,
            health: &health,
            run_times: &self.run_times,
            turns: &turns,
            centre: &settings.centre,
            now: self.now(),
            load_uncertainty: self.peers.borrow().unseen_requests(),
            random: self.random.borrow().sample(),
        })
    }
}
