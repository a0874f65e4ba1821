//! Planning by the holder of the placement lease: starts loads of models and adapters and publishes engines'
//! inventories.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::configuration::Configuration;
use crate::cluster::directory::LoadedModel;
use crate::cluster::directory::Server;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::Fence;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::placement::demand::Demand;
use crate::placement::engine_table::AdapterJob;
use crate::placement::engine_table::Engine;
use crate::placement::engine_table::LoadJob;
use crate::placement::engine_table::Source;
use crate::placement::eta_accuracy::EtaAccuracy;
use crate::placement::fetch_limiter::FetchLimiter;
use crate::placement::planner::Action;
use crate::placement::planner::PlanInput;
use crate::placement::recent_orders::engine_key;
use crate::protocol::EngineReport;
use crate::serve::daemon_state::DaemonState;
use crate::serve::engine_client::EngineClient;
use crate::serve::engine_orders::EngineOrders;
use crate::serve::gossip::Gossip;

/// Interval between planning passes while nothing changes.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time without orders to an engine after a failed change or report.
pub(super) const FAILURE_BACKOFF: Duration = Duration::from_millis(400);
/// Expected time of an adapter's load, from the order to its first use.
pub(super) const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(30);
/// Number of times that an engine's inventory is sent to all daemons after a change, since datagrams may be lost.
const INVENTORY_SENDS: u8 = 3;
/// Largest number of daemons to which every change is sent at once. In a larger fleet only daemons with waiting
/// requests get it at once, and all others in batches: sending a change to 70 daemons takes 1.5 ms on a small host.
const SMALL_FLEET_DAEMONS: usize = 12;
/// Interval between batches, per daemon of the fleet.
const BATCH_GAP_PER_DAEMON: Duration = Duration::from_millis(8);
/// Pause after a planning pass, as a multiple of the pass's duration: planning takes at most a fifth of the time.
const PLAN_PAUSE_FACTOR: u32 = 4;

/// Formats models and their adapters for the log.
fn format_models(models: &[LoadedModel]) -> String {
    let name = |m: &LoadedModel| format!("{}[{}]", m.name, m.adapters.join(","));
    models.iter().map(name).collect::<Vec<_>>().join(",")
}

/// State that only the lease holder uses.
#[derive(Debug)]
pub(super) struct ControllerState {
    /// The fencing number under which the engine table was built.
    fence: Option<Fence>,
    /// Bounds concurrent fetches from the weight store.
    pub(super) fetch_limiter: FetchLimiter,
    /// Tracks whether loads from local copies end on time.
    pub(super) eta_accuracy: EtaAccuracy,
    /// How many more times each engine's inventory has to be sent.
    unsent: BTreeMap<ServerId, u8>,
    /// When inventories were last sent to all daemons.
    last_batch: Moment,
    /// Engines whose report is being fetched.
    fetching: Vec<ServerInstance>,
}

/// Plans loads and executes the plan while this daemon holds the placement lease.
#[derive(Debug)]
pub struct PlacementController {
    pub(super) daemon: Rc<DaemonState>,
    gossip: Rc<Gossip>,
    pub(super) engine_orders: EngineOrders,
    pub(super) state: RefCell<ControllerState>,
}

impl PlacementController {
    /// Creates a controller, which stays idle until this daemon holds the lease.
    pub fn new(
        daemon: Rc<DaemonState>,
        gossip: Rc<Gossip>,
        calls: Rc<dyn EngineClient>,
    ) -> Rc<Self> {
        let state = ControllerState {
            fence: None,
            fetch_limiter: FetchLimiter::new(Moment::ZERO),
            eta_accuracy: EtaAccuracy::default(),
            unsent: BTreeMap::new(),
            last_batch: Moment::ZERO,
            fetching: Vec::new(),
        };
        let engines = EngineOrders::new(Rc::clone(&daemon), calls);
        Rc::new(Self { daemon, gossip, engine_orders: engines, state: RefCell::new(state) })
    }

    /// Plans and starts the planned actions while the lease is held.
    pub async fn run(self: Rc<Self>) {
        loop {
            let _woken = timeout(PLAN_INTERVAL, self.daemon.plan_due.notified()).await;
            let began = self.daemon.now();
            self.run_pass();
            // On a slow host planning must not take the processor from requests.
            sleep(self.daemon.now().saturating_sub(began) * PLAN_PAUSE_FACTOR).await;
        }
    }

    /// Runs one planning pass.
    fn run_pass(self: &Rc<Self>) {
        let daemon = &self.daemon;
        let Some(config) = daemon.config() else { return };
        {
            let mut state = self.state.borrow_mut();
            let fence = daemon.held_fence();
            if state.fence != fence {
                state.fence = fence;
                state.fetch_limiter.restart(daemon.now(), daemon.lease.borrow().share());
                daemon.engine_table.borrow_mut().invalidate_all();
                *daemon.demand.borrow_mut() = Demand::default();
            }
        }
        let Some(fence) = daemon.fence() else { return };
        self.sync_engine_table(&config);
        self.fetch_unconfirmed();
        self.update_store_share();
        for action in self.plan(&config) {
            self.start_action(action, fence);
        }
        self.publish_batch(fence);
    }

    /// Updates the engine table from the directory. A load at an engine that was removed or has restarted has ended and
    /// must not count among the fetches that share the weight store.
    fn sync_engine_table(&self, config: &Configuration) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let ended = daemon.engine_table.borrow_mut().update_from_directory(
            &daemon.directory.borrow(),
            config,
            now,
        );
        let mut state = self.state.borrow_mut();
        for instance in &ended {
            state.fetch_limiter.record_end(instance, false, now);
        }
        drop(state);
        // Engines that the previous lease holder ordered recently get no orders for a while.
        let lease = daemon.lease.borrow();
        for engine in daemon.engine_table.borrow_mut().engines.values_mut() {
            let allowed_from = lease.orderable_from(engine_key(&engine.server.id));
            engine.backoff_until = engine.backoff_until.max(allowed_from);
        }
    }

    /// Updates the number of fetches that the weight store serves at full speed, and stores it with the lease for later
    /// holders.
    fn update_store_share(&self) {
        let daemon = &self.daemon;
        let mut state = self.state.borrow_mut();
        let is_reduced = state.fetch_limiter.update_limit(daemon.now());
        let share = state.fetch_limiter.share();
        if is_reduced {
            slog::info!(daemon.log, "weight-store-shared"; "full_speed" => share.limit,
                "proven" => share.proven);
        }
        daemon.lease.borrow_mut().set_share(share);
    }

    fn plan(&self, config: &Configuration) -> Vec<Action> {
        let daemon = &self.daemon;
        let now = daemon.now();
        let engine_table = daemon.engine_table.borrow();
        let demand = daemon.demand.borrow();
        let health = daemon.health.borrow();
        let directory = daemon.directory.borrow();
        let rates = config.services.values().filter_map(|s| s.engine.as_ref()).map(|e| e.load_rate);
        let rate = rates.fold(f64::INFINITY, f64::min);
        let history = daemon.version_history.borrow();
        let is_excluded = |s: &&Rc<Server>| {
            health.is_avoided(&s.instance(), now) || !history.is_stored(&s.service, &s.version)
        };
        let excluded = engine_table.engines.values().map(|e| &e.server).filter(is_excluded);
        let excluded = excluded.map(|s| s.id.clone());
        let window = daemon.settings().load_window;
        let mut state = self.state.borrow_mut();
        let share = state.fetch_limiter.share();
        let fetch_quota =
            if rate.is_finite() { state.fetch_limiter.fetches_left(rate, window, now) } else { 0 };
        drop(state);
        let workloads = daemon.workloads.fleet_table(now);
        let input = PlanInput {
            now,
            config,
            engine_table: &engine_table,
            demand: &demand,
            workloads: &workloads,
            run_times: &daemon.run_times,
            slowdowns: &daemon.slowdowns,
            excluded: excluded.chain(directory.suspended().cloned()).collect(),
            share,
            fetches_left: fetch_quota,
        };
        input.plan()
    }

    /// Fetches the reports of engines whose state is unconfirmed, which precedes any order to them.
    fn fetch_unconfirmed(self: &Rc<Self>) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let engine_table = daemon.engine_table.borrow();
        let mut state = self.state.borrow_mut();
        for engine in engine_table.engines.values() {
            let instance = engine.server.instance();
            let is_idle = engine.load_job.is_none() && engine.adapter_jobs.is_empty();
            let is_due = is_idle && !engine.confirmed && now >= engine.backoff_until;
            if !is_due || state.fetching.contains(&instance) {
                continue;
            }
            state.fetching.push(instance.clone());
            let controller = Rc::clone(self);
            spawn_local(async move {
                let result = controller.engine_orders.fetch_report(&instance).await;
                controller.state.borrow_mut().fetching.retain(|r| *r != instance);
                controller.on_report(&instance, result.as_ref());
            });
        }
    }

    /// Applies a fetched report; if there is none or the report does not fit, backs off from the engine.
    fn on_report(&self, instance: &ServerInstance, report: Option<&EngineReport>) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let mut engine_table = daemon.engine_table.borrow_mut();
        let Some(engine) = engine_table.engine_mut(instance) else { return };
        if engine.load_job.is_some() || !engine.adapter_jobs.is_empty() {
            return;
        }
        if let Some(report) = report {
            slog::info!(daemon.log, "engine-read"; "server" => %instance,
                "sequence" => report.sequence,
                "believed" => engine.sequence, "busy" => report.busy,
                "holds" => format_models(&report.models));
        }
        match report {
            Some(report) if !report.busy && engine.accepts_report(report) => {
                engine.apply_report(report, now);
                self.state.borrow_mut().unsent.insert(instance.id.clone(), INVENTORY_SENDS);
                drop(engine_table);
                daemon.plan_due.notify_one();
            }
            _ => {
                engine.backoff_until = now + FAILURE_BACKOFF;
                engine.reported_busy = report.is_some_and(|report| report.busy);
            }
        }
    }

    /// Starts a planned load.
    fn start_action(self: &Rc<Self>, action: Action, fence: Fence) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let mut engine_table = daemon.engine_table.borrow_mut();
        match action {
            Action::LoadModel { server, model, victims, source, expected_time, reason } => {
                let occupied = engine_table.engines.values().filter(|e| e.reported_busy).count();
                let Some(engine) = engine_table.engines.get_mut(&server) else { return };
                slog::info!(daemon.log, "load"; "server" => %server, "model" => model.as_str(),
                    "victims" => victims.join(","), "source" => ?source, "reason" => reason,
                    "expected_ms" => expected_time.as_millis(), "fence" => fence,
                    "sequence" => engine.sequence,
                    "waiting" => daemon.demand.borrow().backlogs(now).values().map(|w| w.waiting).sum::<u32>());
                let job =
                    LoadJob { model, victims, source, started_at: now, eta: now + expected_time };
                engine.load_job = Some(job.clone());
                let instance = engine.server.instance();
                let service = engine.server.service.clone();
                let fetch_time = self.solo_fetch_time(&service, &job.model);
                if source == Source::Store {
                    self.state
                        .borrow_mut()
                        .fetch_limiter
                        .record_start(&instance, fetch_time, occupied, now);
                }
                self.state.borrow_mut().unsent.insert(server, INVENTORY_SENDS);
                let controller = Rc::clone(self);
                spawn_local(async move { controller.run_load(instance, job, fence).await });
            }
            Action::LoadAdapter { server, model, adapter, victim } => {
                let Some(engine) = engine_table.engines.get_mut(&server) else { return };
                let eta = now + ADAPTER_LOAD_TIME;
                let job = AdapterJob { model, adapter, victim, eta };
                engine.adapter_jobs.push(job.clone());
                let instance = engine.server.instance();
                self.state.borrow_mut().unsent.insert(server, INVENTORY_SENDS);
                let controller = Rc::clone(self);
                spawn_local(async move { controller.run_adapter_load(instance, job, fence).await });
            }
        }
    }

    /// Calls `f` with an engine, or returns `None` if this instance is not in the engine table.
    pub(super) fn with_engine<T>(
        &self,
        instance: &ServerInstance,
        f: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        self.engine_orders.with_engine(instance, f)
    }

    /// Publishes an engine's inventory to this daemon and the daemons with requests that wait for `model`; the other
    /// daemons get it with the next batch.
    pub(super) fn publish_inventory(
        &self,
        server: &ServerInstance,
        model: &ModelName,
        fence: Fence,
    ) {
        let daemon = &self.daemon;
        let now = daemon.now();
        self.state.borrow_mut().unsent.insert(server.id.clone(), INVENTORY_SENDS);
        let current = self.with_engine(server, |e| (e.server.service.clone(), e.inventory(now)));
        if let Some((service, inventory)) = current {
            let demand = daemon.demand.borrow();
            let waiting = demand.waiting_daemons(&service, &[model.as_str()]);
            let waiting: Vec<_> = waiting.into_iter().cloned().collect();
            drop(demand);
            self.gossip.send_inventory(fence, &inventory, &waiting);
            daemon.update_inventory(fence, vec![inventory]);
        }
        daemon.plan_due.notify_one();
    }

    /// Sends changed inventories to all daemons, in a large fleet in batches.
    fn publish_batch(&self, fence: Fence) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let daemons = daemon.peers.borrow().daemons();
        let gap = if daemons <= SMALL_FLEET_DAEMONS {
            Duration::ZERO
        } else {
            BATCH_GAP_PER_DAEMON * daemons as u32
        };
        let mut state = self.state.borrow_mut();
        if state.unsent.is_empty() || now < state.last_batch + gap {
            return;
        }
        state.last_batch = now;
        let engine_table = daemon.engine_table.borrow();
        let mut inventories = Vec::new();
        state.unsent.retain(|id, remaining| {
            inventories.extend(engine_table.engines.get(id).map(|e| e.inventory(now)));
            *remaining -= 1;
            *remaining > 0
        });
        drop(engine_table);
        drop(state);
        self.gossip.publish_inventories(fence, &inventories);
        daemon.update_inventory(fence, inventories);
    }
}
