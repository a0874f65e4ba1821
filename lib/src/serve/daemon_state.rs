//! The state of one entry daemon, shared by the tasks of its event loop.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::boot_clock::Moment;
use crate::cluster::brittle_servers::BrittleServers;
use crate::cluster::config_history::ConfigHistory;
use crate::cluster::configuration::ConfigVersion;
use crate::cluster::configuration::Configuration;
use crate::cluster::configuration::ServiceName;
use crate::cluster::digest::ProcessId;
use crate::cluster::directory::Directory;
use crate::cluster::engine_inventories::EngineInventories;
use crate::cluster::engine_inventories::EngineInventory;
use crate::cluster::open_send::OpenSend;
use crate::cluster::part_quarantine::PartQuarantine;
use crate::cluster::peer_table::PeerTable;
use crate::cluster::quarantine::Quarantine;
use crate::cluster::rate_limits::RateLimits;
use crate::cluster::reader_rank::ReaderRank;
use crate::cluster::reader_role::ReaderRole;
use crate::cluster::retry_budgets::RetryBudgets;
use crate::cluster::run_times::RunTimes;
use crate::cluster::server_health::Evidence;
use crate::cluster::server_health::ServerHealth;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::server_paths::ServerPaths;
use crate::cluster::server_rests::ServerRests;
use crate::cluster::server_slowdowns::ServerSlowdowns;
use crate::cluster::silent_servers::SilentServers;
use crate::cluster::store_health::StoreHealth;
use crate::cluster::stream_origins::StreamOrigins;
use crate::cluster::unreadable_records::UnreadableRecords;
use crate::cluster::version_history::VersionHistory;
use crate::cluster::workloads::Workloads;
use crate::feed_offset::era_of;
use crate::host_clock::HostClock;
use crate::ids::FeedOffset;
use crate::ids::Fence;
use crate::ids::SoftwareVersion;
use crate::ids::StoreEra;
use crate::metrics::Metrics;
use crate::placement::demand::Demand;
use crate::placement::engine_table::EngineTable;
use crate::placement::lease_state::LeaseState;
use crate::protocol::Protocol;
use crate::serve::abandoned_streams::AbandonedStreams;
use crate::serve::attempt::Attempt;
use crate::serve::byte_budget::ByteBudget;
use crate::serve::caller_connections::CallerConnections;
use crate::serve::choose::Chooser;
use crate::serve::choose::ChosenServer;
use crate::serve::connector::Connector;
use crate::serve::connector::TcpConnector;
use crate::serve::datagram_sender::DatagramSender;
use crate::serve::entry_settings::EntrySettings;
use crate::serve::freshness::Freshness;
use crate::serve::graceful_stop::GracefulStop;
use crate::serve::link_share::LinkShare;
use crate::serve::model_waits::ModelWaits;
use crate::serve::origin_queries::OriginQueries;
use crate::serve::pool::ConnectionPool;
use crate::serve::quotas::Quotas;
use crate::serve::random_source::RandomSource;
use crate::serve::relay_slots::RelaySlots;
use crate::serve::standstill::Standstill;
use crate::serve::stored_crashes::StoredCrashes;
use crate::serve::stored_origins::StoredOrigins;
use crate::serve::stored_quarantine::StoredQuarantine;
use crate::serve::transfer_slots::TransferSlots;
use crate::serve::trials::Trials;
use crate::store::Batch;
use crate::store::Feed;
use crate::store::Store;

/// Resolution of the pseudo-random fraction of the bid delay, which is derived from the process id.
const BID_DELAY_STEPS: u64 = 1000;
/// A daemon that relies on readers polls the store for the configuration itself once their reports have not confirmed
/// it for this long. Calls of two readers may have been lost by then, and callers notice after three seconds.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(2);

/// State of one entry daemon, shared by its tasks.
#[derive(Debug)]
pub struct DaemonState {
    /// Settings as of the last reload.
    pub settings: RefCell<Rc<EntrySettings>>,
    /// Identity of this process; a restarted daemon has a new one.
    pub process: ProcessId,
    clock: Rc<dyn HostClock>,
    /// Formats of messages to and from callers, backend servers, engines and the platform.
    pub protocol: Rc<dyn Protocol>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Connections to backend servers.
    pub pool: ConnectionPool,
    /// Connections to backend servers for health checks before requests.
    pub check_pool: ConnectionPool,
    /// The open connections of callers.
    pub callers: Rc<CallerConnections>,
    /// Memory for responses that are read whole.
    pub response_bytes: ByteBudget,
    /// Memory for the bodies of callers' requests.
    pub request_bytes: ByteBudget,
    /// The configuration in force, replaced as a whole; `None` before the first.
    pub config: RefCell<Option<Rc<Configuration>>>,
    /// The last configurations as the platform stores them, from which peers get updates.
    pub config_history: RefCell<ConfigHistory>,
    /// Known backend servers.
    pub directory: RefCell<Directory>,
    /// What each engine has loaded and is loading, as the lease holder publishes it.
    pub inventories: RefCell<EngineInventories>,
    /// Requests in progress at each server.
    pub workloads: Workloads,
    /// Servers that are avoided after failures.
    pub health: RefCell<ServerHealth>,
    /// Servers of plain services that do not respond.
    pub silent_servers: RefCell<SilentServers>,
    /// Run times of requests at engines.
    pub run_times: RunTimes,
    /// Slowdowns of servers.
    pub slowdowns: ServerSlowdowns,
    /// When this process stood still last.
    pub standstill: Standstill,
    /// Retry budgets by service.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// Rate limits that servers advertise.
    pub rate_limits: RefCell<RateLimits>,
    /// Servers that say that they are brittle.
    pub brittle_servers: BrittleServers,
    /// Paths to servers that this daemon does not reach itself.
    pub server_paths: RefCell<ServerPaths>,
    /// Rest that servers asked this daemon for.
    pub server_rests: RefCell<ServerRests>,
    /// Requests held back because servers crashed under them.
    pub quarantine: RefCell<Quarantine>,
    /// Prompt parts held back because servers crashed under requests with them.
    pub part_quarantine: RefCell<PartQuarantine>,
    /// Whether the stored quarantine was read.
    pub stored_quarantine: StoredQuarantine,
    /// Streams whose callers left when they had just begun.
    pub abandoned_streams: AbandonedStreams,
    /// Which crashes must be stored.
    pub stored_crashes: StoredCrashes,
    /// Trials of suspected requests in progress at engines.
    pub trials: Trials,
    /// Software versions that began recent streams.
    pub stream_origins: RefCell<StreamOrigins>,
    /// Queries to peers for such versions.
    pub origin_queries: OriginQueries,
    /// Which of the stored versions of streams were read.
    pub stored_origins: StoredOrigins,
    /// Software versions of each service's servers.
    pub version_history: RefCell<VersionHistory>,
    /// Quotas of workspaces.
    pub quotas: Quotas,
    /// The other daemons.
    pub peers: RefCell<PeerTable>,
    /// Requests that wait for a model to be loaded.
    pub model_waits: ModelWaits,
    /// Whether the store's list of daemons was read at least once.
    pub peers_known: Cell<bool>,
    /// Whether this daemon polls the store for its data centre, and since when it is due to.
    pub reader_role: RefCell<ReaderRole>,
    /// How recent the directory and the configuration are, by own reads and reader reports.
    pub freshness: Freshness,
    /// Signalled when a reader should send its report at once.
    pub report_due: Notify,
    /// Signalled when a server announced in a response that it is leaving, which must be sent to peers at once.
    pub departure_heard: Notify,
    /// Signalled when a server told this daemon a new rejection limit, which must be sent to peers at once.
    pub limit_heard: Notify,
    /// Signalled when a server has fallen silent, which must be sent to peers at once.
    pub silence_noticed: Notify,
    /// Notified when a server answers a health check.
    pub server_responded: Notify,
    /// Signalled when a crash report or quarantine must be sent to peers at once.
    pub quarantine_changed: Notify,
    /// Signalled when a prompt part is held from now on.
    pub part_held: Notify,
    /// Signalled when a digest or reader report shows that state must be fetched from a peer.
    pub fetch_due: Notify,
    /// The placement lease, as this daemon holds it or bids for it.
    pub lease: RefCell<LeaseState>,
    /// Signalled when an order waits until a lease record that lists its engine is stored.
    pub renewal_due: Notify,
    /// Signalled when such a record has been stored.
    pub lease_renewed: Notify,
    /// Demand reported by all daemons; filled only at the lease holder.
    pub demand: RefCell<Demand>,
    /// State of each engine, kept by the lease holder.
    pub engine_table: RefCell<EngineTable>,
    /// Signalled when the lease holder should plan again.
    pub plan_due: Notify,
    /// Signalled when a new configuration version is in force and must be sent to peers.
    pub config_changed: Notify,
    /// Signalled when a peer has a later configuration version.
    pub newer_config: Notify,
    /// When the store last answered.
    pub store_answered: Cell<Moment>,
    /// The era of the store that this daemon has adapted to; `None` before the first response that names one.
    pub store_era: Cell<Option<StoreEra>>,
    /// Offset of this daemon's own entry; `None` while it is being written.
    pub entry_offset: Cell<Option<FeedOffset>>,
    /// Whether the store answers calls, by feed.
    pub store_health: RefCell<StoreHealth>,
    /// Signalled when the store answers calls for a feed again.
    pub store_recovered: Notify,
    /// The graceful stop that SIGTERM began; `None` if the daemon is not stopping.
    pub stopping: Cell<Option<GracefulStop>>,
    /// Whether the time for a graceful stop is over, so that requests in progress are aborted.
    pub aborting: watch::Sender<bool>,
    /// Records of the store that cannot be parsed.
    pub unreadable: RefCell<UnreadableRecords>,
    /// Number of callers' requests whose responses are not fully written.
    pub active: Cell<u32>,
    /// Whether this daemon is isolated: it reaches neither other data centres nor the store.
    pub isolated: Cell<bool>,
    /// Whether a configuration is being fetched from a peer. A second transfer would only compete for the link.
    pub fetches_config: Cell<bool>,
    /// The connections to servers that this daemon relays for peers.
    pub relay_slots: RelaySlots,
    /// The large transfers to peers in progress.
    pub transfer_slots: TransferSlots,
    /// The share of the host's link that transfers to peers take.
    pub link_share: LinkShare,
    /// Sends datagrams to other daemons, while the task that receives them runs.
    pub datagrams: RefCell<Option<Weak<dyn DatagramSender>>>,
    /// Opens connections to other daemons.
    pub connector: RefCell<Rc<dyn Connector>>,
    /// Random numbers.
    pub random: RefCell<RandomSource>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The daemon's structured log.
    pub log: Logger,
}

impl DaemonState {
    /// Creates the state of a daemon that has read nothing from the store or peers.
    pub fn new(
        settings: EntrySettings,
        process: ProcessId,
        protocol: Rc<dyn Protocol>,
        store: Rc<dyn Store>,
        pool: ConnectionPool,
        log: Logger,
        clock: Rc<dyn HostClock>,
    ) -> Rc<Self> {
        let now = clock.now();
        let peers = PeerTable::new(settings.readers_from);
        // Replaced before each bid.
        let bid_delay = Duration::ZERO;
        let lease = LeaseState::new(
            settings.id.clone(),
            process,
            settings.fenced,
            settings.apart,
            bid_delay,
        );
        let slowdowns = ServerSlowdowns::default();
        slowdowns.set_limit(settings.max_slowdown);
        Rc::new(Self {
            callers: CallerConnections::new(settings.host.caller_connections()),
            response_bytes: ByteBudget::new(settings.host.response_bytes()),
            request_bytes: ByteBudget::new(settings.host.request_bytes()),
            standstill: Standstill::default(),
            retry_budgets: RefCell::new(RetryBudgets::new(settings.budget, now)),
            settings: RefCell::new(Rc::new(settings)),
            process,
            clock,
            protocol,
            store,
            check_pool: pool.separate(),
            pool,
            config: RefCell::default(),
            config_history: RefCell::default(),
            directory: RefCell::default(),
            inventories: RefCell::default(),
            workloads: Workloads::default(),
            health: RefCell::default(),
            silent_servers: RefCell::new(SilentServers::new(now)),
            run_times: RunTimes::default(),
            slowdowns,
            rate_limits: RefCell::default(),
            brittle_servers: BrittleServers::default(),
            server_paths: RefCell::default(),
            server_rests: RefCell::default(),
            quarantine: RefCell::default(),
            part_quarantine: RefCell::default(),
            stored_quarantine: StoredQuarantine::default(),
            abandoned_streams: AbandonedStreams::default(),
            stored_crashes: StoredCrashes::default(),
            trials: Trials::default(),
            stream_origins: RefCell::default(),
            origin_queries: OriginQueries::default(),
            stored_origins: StoredOrigins::default(),
            version_history: RefCell::default(),
            quotas: Quotas::default(),
            peers: RefCell::new(peers),
            model_waits: ModelWaits::default(),
            peers_known: Cell::default(),
            reader_role: RefCell::default(),
            freshness: Freshness::default(),
            report_due: Notify::new(),
            departure_heard: Notify::new(),
            limit_heard: Notify::new(),
            silence_noticed: Notify::new(),
            server_responded: Notify::new(),
            quarantine_changed: Notify::new(),
            part_held: Notify::new(),
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
            store_era: Cell::default(),
            entry_offset: Cell::default(),
            store_health: RefCell::default(),
            store_recovered: Notify::new(),
            stopping: Cell::default(),
            aborting: watch::Sender::default(),
            unreadable: RefCell::default(),
            active: Cell::default(),
            isolated: Cell::default(),
            fetches_config: Cell::default(),
            relay_slots: RelaySlots::default(),
            transfer_slots: TransferSlots::default(),
            link_share: LinkShare::default(),
            datagrams: RefCell::default(),
            connector: RefCell::new(Rc::new(TcpConnector)),
            random: RefCell::default(),
            metrics: Metrics::new(),
            log,
        })
    }

    /// Returns the time since the host's boot.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the settings in force; a later reload does not change them.
    pub fn settings(&self) -> Rc<EntrySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the configuration in force; `None` before the first.
    pub fn config(&self) -> Option<Rc<Configuration>> {
        self.config.borrow().clone()
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.borrow().as_ref().map_or(0, |c| c.version)
    }

    /// Returns whether the store was restored from an older copy since it gave out an offset, according to its responses to
    /// this daemon. Peers may report an era before the store responds here.
    pub fn is_restored_since(&self, offset: FeedOffset) -> bool {
        self.store.era().is_some_and(|era| era_of(offset) < era)
    }

    /// Returns whether a peer has reported a later version of the configuration.
    pub fn is_behind(&self) -> bool {
        self.peers.borrow().latest_config() > self.config_version()
    }

    /// Returns whether this daemon polls the store for the configuration at short intervals: on behalf of its data
    /// centre, or in a large fleet because reader reports have not confirmed it recently.
    pub fn polls_config(&self) -> bool {
        let settings = self.settings.borrow();
        let peers = self.peers.borrow();
        if peers.is_large_fleet() {
            return self.is_reader() || self.config_age(self.now()) > MAX_CONFIG_AGE;
        }
        peers.polls_config(&settings.id, &settings.centre, self.now())
    }

    /// Returns whether the fleet has enough daemons that they get each other's state through readers.
    pub fn is_large_fleet(&self) -> bool {
        self.peers.borrow().is_large_fleet()
    }

    /// Returns whether this daemon polls the store for its data centre.
    pub fn is_reader(&self) -> bool {
        self.reader_role.borrow().is_reader()
    }

    /// Returns whether this daemon gets the store's state through reader reports.
    pub fn relies_on_readers(&self) -> bool {
        self.is_large_fleet() && !self.is_reader()
    }

    /// Returns whether this daemon polls the servers' feed itself: as a reader, as the lease holder for its orders, or
    /// because the fleet is small.
    pub fn polls_servers(&self) -> bool {
        !self.relies_on_readers() || self.held_fence().is_some()
    }

    /// Returns this daemon's rank among candidates for the reader role.
    pub fn reader_rank(&self) -> ReaderRank {
        let is_small = self.settings.borrow().host.is_small();
        ReaderRank { is_small, process: self.process }
    }

    /// Returns whether the load balancer should send new callers here.
    ///
    /// A daemon that lacks either the configuration or the list of servers serves nobody. No other feed is awaited: callers
    /// are served without it.
    pub fn is_ready(&self) -> bool {
        self.stopping.get().is_none() && self.awaited_state().is_none() && !self.isolated.get()
    }

    /// Returns the name of the state that this daemon lacks and without which it serves nobody; `None` if it has all of it.
    pub fn awaited_state(&self) -> Option<&'static str> {
        if self.config.borrow().is_none() {
            return Some("configuration");
        }
        (!self.freshness.is_listed.get()).then_some("servers")
    }

    /// Returns the latest time at which a request with this deadline may be started.
    pub fn latest_start(&self, deadline: Moment) -> Moment {
        self.stopping.get().map_or(Moment::MAX, |stop| stop.latest_start(deadline))
    }

    /// Waits until the time for a graceful stop is over, when requests in progress are aborted.
    pub async fn aborted(&self) {
        let mut aborting = self.aborting.subscribe();
        let result = aborting.wait_for(|is_over| *is_over).await;
        debug_assert!(result.is_ok(), "the sender lives as long as this");
    }

    /// Returns whether a caller's connection is closed after its response.
    pub fn closes_connections(&self) -> bool {
        self.stopping.get().is_some() || self.isolated.get()
    }

    /// Returns the time since the store last confirmed the configuration to this daemon, or to a reader that reported
    /// it.
    pub fn config_age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.freshness.config_at.get())
    }

    /// Returns the time since the store last answered this daemon, or a reader that reported it.
    pub fn time_since_store(&self, now: Moment) -> Duration {
        now.saturating_sub(self.store_answered.get().max(self.freshness.servers_at.get()))
    }

    /// Returns whether operators may have written a later configuration version: a peer has reported one, or nobody has
    /// confirmed the current one for `stale_after`.
    pub fn is_config_stale(&self, now: Moment) -> bool {
        let peers_age =
            now.saturating_sub(self.peers.borrow().config_checked(self.config_version()));
        let age = self.config_age(now).min(peers_age);
        age > self.settings.borrow().stale_after || self.is_behind()
    }

    /// Returns the fencing number if this daemon may send orders now.
    pub fn fence(&self) -> Option<Fence> {
        self.lease.borrow().fence(self.now())
    }

    /// Returns the fencing number if this daemon holds the lease, even while it may not send orders.
    pub fn held_fence(&self) -> Option<Fence> {
        self.lease.borrow().held_fence()
    }

    /// Returns how long this daemon waits before it bids for a free lease.
    pub fn bid_delay(&self) -> Duration {
        let rank = self.reader_rank();
        let bidders = self.peers.borrow().bidders(rank.is_small);
        let fraction = (self.process % BID_DELAY_STEPS) as f64 / BID_DELAY_STEPS as f64;
        bidders.bid_delay(rank.is_small, fraction)
    }

    /// Returns the number of daemons that share retry budgets; `None` until the list of daemons was read once.
    fn budget_sharers(&self) -> Option<usize> {
        self.peers_known.get().then(|| self.peers.borrow().daemons())
    }

    /// Returns whether the retry budget of a service has a retry left.
    pub fn has_retry(&self, service: &ServiceName) -> bool {
        let daemons = self.budget_sharers();
        self.retry_budgets.borrow_mut().has_retry(service, self.now(), daemons)
    }

    /// Takes one retry, to a chosen server, from the budget of the attempt's service; returns `false` if none is left.
    pub fn take_retry(&self, attempt: &Attempt, chosen: &mut ChosenServer) -> bool {
        let daemons = self.budget_sharers();
        let mut budgets = self.retry_budgets.borrow_mut();
        let retry = OpenSend::begin(chosen.server.instance(), self.now(), true);
        let unanswered = attempt.unanswered_send();
        let is_granted = budgets.take_retry(&attempt.service, &retry, unanswered, daemons);
        chosen.retry = is_granted.then_some(retry);
        let usage = budgets.usage(&attempt.service, self.now());
        slog::info!(self.log, "retry-budget"; "attempt" => attempt.id(),
            "service" => attempt.service.as_str(), "granted" => is_granted,
            "first_sends" => usage.first_sends, "retries" => usage.retries, "open" => usage.open,
            "oldest_ms" => usage.oldest.as_millis(), "daemons" => daemons.unwrap_or(0),
            "reason" => attempt.reason);
        is_granted
    }

    /// Records evidence about the health of a server instance, unless it is no longer the current one.
    pub fn record_health(
        &self,
        service: &ServiceName,
        server: &ServerInstance,
        evidence: Evidence,
    ) {
        // Requests to an ended instance still fail long after the next one serves. Counting these failures would
        // keep callers from a healthy server.
        if !self.directory.borrow().is_current(server) {
            return;
        }
        let pause = self.health.borrow_mut().record(service, server, self.now(), evidence);
        if let Some(pause) = pause {
            slog::info!(self.log, "server-avoided"; "server" => %server,
                "evidence" => ?evidence, "for_ms" => pause.as_millis());
        }
    }

    /// Logs the callers' connections that ended to keep the limits, in a line a second at most.
    pub fn log_ended_callers(&self) {
        let Some(ended) = self.callers.take_unlogged(self.now()) else { return };
        let (open, serving) = self.callers.counts();
        slog::warn!(self.log, "callers-ended"; "evicted" => ended.evicted, "refused" => ended.refused,
            "open" => open, "serving" => serving, "request_bytes" => self.request_bytes.used());
    }

    /// Counts an unreadable record, and logs it if its reason is new and the log's rate limit allows.
    pub fn log_unreadable(&self, feed: Feed, key: &str, reason: &str) {
        self.metrics.record_unreadable(feed.name());
        let report = self.unreadable.borrow_mut().record(feed, key, reason, self.now());
        if let Some(report) = report {
            slog::warn!(self.log, "record-unreadable"; "feed" => %feed, "key" => report.key.as_str(),
                "reason" => report.reason, "unlogged" => report.unlogged);
        }
    }

    /// Counts and logs the unreadable records of a batch.
    pub fn log_unreadable_records(&self, feed: Feed, batch: &Batch) {
        for record in &batch.unreadable {
            let key = record.key.as_ref().map_or(record.shown.as_str(), |key| key.as_str());
            self.log_unreadable(feed, key, &record.reason);
        }
    }

    /// Applies engine inventories that the lease holder published, and wakes requests that wait for a model.
    pub fn update_inventory(&self, fence: Fence, list: Vec<EngineInventory>) {
        let now = self.now();
        for inventory in list {
            self.inventories.borrow_mut().put(fence, inventory, now);
        }
        self.model_waits.inventories_changed.notify_waiters();
    }

    /// Calls `f` with a [`Chooser`] that borrows the current state and chooses among servers of a software version, or
    /// all with `None`.
    pub fn with_chooser<T>(
        &self,
        version: Option<&SoftwareVersion>,
        f: impl FnOnce(&Chooser<'_>) -> T,
    ) -> T {
        let send_permits = self.send_permits();
        let directory = self.directory.borrow();
        let inventories = self.inventories.borrow();
        let health = self.health.borrow();
        let silent = self.silent_servers.borrow();
        let settings = self.settings.borrow();
        f(&Chooser {
            directory: &directory,
            version,
            inventories: &inventories,
            workloads: &self.workloads,
            health: &health,
            silent: &silent,
            run_times: &self.run_times,
            slowdowns: &self.slowdowns,
            send_permits: &send_permits,
            centre: &settings.centre,
            now: self.now(),
            load_uncertainty: self.peers.borrow().unseen_requests(),
            random: self.random.borrow().sample(),
        })
    }
}
