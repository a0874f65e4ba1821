//! The holder of the placement lease at work: plans, and brings models and adapters to engines.

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

/// Time between plans while nothing happens.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// Rest of an engine after a change that failed.
pub(super) const FAILURE_BACKOFF: Duration = Duration::from_millis(400);
/// Time of an adapter's load, from the order to its first use.
pub(super) const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(30);
/// What is told about an engine is repeated this often, for datagrams that are lost.
const TELLINGS: u8 = 3;
/// Daemons up to which every change is told to all at once. In a larger fleet those that wait are
/// told at once and all others in batches: a change told to 70 daemons costs a small host 1.5 ms.
const SMALL_FLEET: usize = 12;
/// Time between batches, for each daemon.
const BATCH_GAP: Duration = Duration::from_millis(8);
/// Part of the time that plans may take.
const PLAN_PART: u32 = 4;

/// Writes models and their adapters for the log.
fn held_names(models: &[LoadedModel]) -> String {
    let name = |m: &LoadedModel| format!("{}[{}]", m.name, m.adapters.join(","));
    models.iter().map(name).collect::<Vec<_>>().join(",")
}

/// The holder's own state.
#[derive(Debug)]
pub(super) struct ControllerState {
    /// The fence under which the engine table is kept.
    fence: Option<Fence>,
    /// Loads from the weight store.
    pub(super) fetch_limiter: FetchLimiter,
    /// Whether loads from hosts' copies end on time.
    pub(super) eta_accuracy: EtaAccuracy,
    /// How often each engine's holding is still to be told.
    untold: BTreeMap<ServerId, u8>,
    /// When holdings were last told to all.
    told: Moment,
    /// Engines whose report is being read.
    reading: Vec<ServerInstance>,
}

/// Plans and carries plans out.
#[derive(Debug)]
pub struct PlacementController {
    pub(super) daemon: Rc<DaemonState>,
    gossip: Rc<Gossip>,
    pub(super) engine_orders: EngineOrders,
    pub(super) state: RefCell<ControllerState>,
}

impl PlacementController {
    /// Starts without the lease.
    pub fn new(
        daemon: Rc<DaemonState>,
        gossip: Rc<Gossip>,
        calls: Rc<dyn EngineClient>,
    ) -> Rc<Self> {
        let state = ControllerState {
            fence: None,
            fetch_limiter: FetchLimiter::new(Moment::ZERO),
            eta_accuracy: EtaAccuracy::default(),
            untold: BTreeMap::new(),
            told: Moment::ZERO,
            reading: Vec::new(),
        };
        let engines = EngineOrders::new(Rc::clone(&daemon), calls);
        Rc::new(Self { daemon, gossip, engine_orders: engines, state: RefCell::new(state) })
    }

    /// Plans and begins steps while the lease is held.
    pub async fn run(self: Rc<Self>) {
        loop {
            let _woken = timeout(PLAN_EVERY, self.daemon.plan_due.notified()).await;
            let began = self.daemon.now();
            self.turn();
            // On a slow host plans must not crowd out requests.
            sleep(self.daemon.now().saturating_sub(began) * PLAN_PART).await;
        }
    }

    fn turn(self: &Rc<Self>) {
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
        self.follow(&config);
        self.read_unconfirmed();
        self.look_at_store();
        for action in self.plan(&config) {
            self.begin(action, fence);
        }
        self.tell(fence);
    }

    /// Brings the engine table up to the directory. A load at an engine that is gone or has started again is
    /// over: it must not count among those that share the weight store.
    fn follow(&self, config: &Configuration) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let ended =
            daemon.engine_table.borrow_mut().follow(&daemon.directory.borrow(), config, now);
        let mut state = self.state.borrow_mut();
        for start in &ended {
            state.fetch_limiter.end(start, false, now);
        }
        drop(state);
        // Engines that the holder before ordered just now are left alone for a while.
        let lease = daemon.lease.borrow();
        for engine in daemon.engine_table.borrow_mut().engines.values_mut() {
            let free = lease.orderable_from(engine_key(&engine.server.id));
            engine.backoff_until = engine.backoff_until.max(free);
        }
    }

    /// Learns how many loads the weight store serves at full speed, and hands that on.
    fn look_at_store(&self) {
        let daemon = &self.daemon;
        let mut state = self.state.borrow_mut();
        let is_fewer = state.fetch_limiter.update_limit(daemon.now());
        let share = state.fetch_limiter.share();
        if is_fewer {
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
        let avoided = engine_table.engines.values().map(|e| &e.server);
        let avoided =
            avoided.filter(|s| health.is_avoided(&s.instance(), now)).map(|s| s.id.clone());
        let window = daemon.settings().load_window;
        let mut state = self.state.borrow_mut();
        let share = state.fetch_limiter.share();
        let store_room =
            if rate.is_finite() { state.fetch_limiter.fetches_left(rate, window, now) } else { 0 };
        drop(state);
        let work = daemon.workloads.fleet_table(now);
        let input = PlanInput {
            now,
            config,
            engine_table: &engine_table,
            demand: &demand,
            work: &work,
            run_times: &daemon.run_times,
            unreachable: avoided.chain(directory.suspended().cloned()).collect(),
            share,
            fetches_left: store_room,
        };
        input.plan()
    }

    /// Reads the reports of engines whose state is in doubt, before any order to them.
    fn read_unconfirmed(self: &Rc<Self>) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let engine_table = daemon.engine_table.borrow();
        let mut state = self.state.borrow_mut();
        for engine in engine_table.engines.values() {
            let start = engine.server.instance();
            let is_idle = engine.job.is_none() && engine.adapter_jobs.is_empty();
            let is_due = is_idle && !engine.confirmed && now >= engine.backoff_until;
            if !is_due || state.reading.contains(&start) {
                continue;
            }
            state.reading.push(start.clone());
            let orders = Rc::clone(self);
            spawn_local(async move {
                let result = orders.engine_orders.fetch_report(&start).await;
                orders.state.borrow_mut().reading.retain(|r| *r != start);
                orders.take_report(&start, result.as_ref());
            });
        }
    }

    fn take_report(&self, start: &ServerInstance, report: Option<&EngineReport>) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let mut engine_table = daemon.engine_table.borrow_mut();
        let Some(engine) = engine_table.engine_mut(start) else { return };
        if engine.job.is_some() || !engine.adapter_jobs.is_empty() {
            return;
        }
        if let Some(report) = report {
            slog::info!(daemon.log, "engine-read"; "server" => %start, "sequence" => report.sequence,
                "believed" => engine.sequence, "busy" => report.busy,
                "holds" => held_names(&report.models));
        }
        match report {
            Some(report) if !report.busy && engine.accepts_report(report) => {
                engine.apply_report(report, now);
                self.state.borrow_mut().untold.insert(start.id.clone(), TELLINGS);
                drop(engine_table);
                daemon.plan_due.notify_one();
            }
            _ => {
                engine.backoff_until = now + FAILURE_BACKOFF;
                engine.reported_busy = report.is_some_and(|report| report.busy);
            }
        }
    }

    fn begin(self: &Rc<Self>, action: Action, fence: Fence) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let mut engine_table = daemon.engine_table.borrow_mut();
        match action {
            Action::LoadModel { server, model, victims, source, time, reason } => {
                let occupied = engine_table.engines.values().filter(|e| e.reported_busy).count();
                let Some(engine) = engine_table.engines.get_mut(&server) else { return };
                slog::info!(daemon.log, "load"; "server" => %server, "model" => model.as_str(),
                    "victims" => victims.join(","), "source" => ?source, "reason" => reason,
                    "expected_ms" => time.as_millis(), "fence" => fence,
                    "sequence" => engine.sequence,
                    "waiting" => daemon.demand.borrow().backlogs(now).values().map(|w| w.waiting).sum::<u32>());
                let job = LoadJob { model, victims, source, since: now, eta: now + time };
                engine.job = Some(job.clone());
                let start = engine.server.instance();
                let service = engine.server.service.clone();
                let alone = self.load_time(&service, &job.model);
                if source == Source::Store {
                    self.state.borrow_mut().fetch_limiter.begin(&start, alone, occupied, now);
                }
                self.state.borrow_mut().untold.insert(server, TELLINGS);
                let orders = Rc::clone(self);
                spawn_local(async move { orders.run_load(start, job, fence).await });
            }
            Action::LoadAdapter { server, model, adapter, victim } => {
                let Some(engine) = engine_table.engines.get_mut(&server) else { return };
                let eta = now + ADAPTER_LOAD_TIME;
                let job = AdapterJob { model, adapter, victim, eta };
                engine.adapter_jobs.push(job.clone());
                let start = engine.server.instance();
                self.state.borrow_mut().untold.insert(server, TELLINGS);
                let orders = Rc::clone(self);
                spawn_local(async move { orders.run_adapter_load(start, job, fence).await });
            }
        }
    }

    pub(super) fn with_engine<T>(
        &self,
        start: &ServerInstance,
        f: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        self.engine_orders.with_engine(start, f)
    }

    /// Tells this daemon and those that wait for `model` what an engine holds; the others follow.
    pub(super) fn publish_inventory(
        &self,
        server: &ServerInstance,
        model: &ModelName,
        fence: Fence,
    ) {
        let daemon = &self.daemon;
        let now = daemon.now();
        self.state.borrow_mut().untold.insert(server.id.clone(), TELLINGS);
        let told = self.with_engine(server, |e| (e.server.service.clone(), e.inventory(now)));
        if let Some((service, inventory)) = told {
            let demand = daemon.demand.borrow();
            let waiting = demand.waiting_daemons(&service, &[model.as_str()]);
            let waiting: Vec<_> = waiting.into_iter().cloned().collect();
            drop(demand);
            self.gossip.send_inventory(fence, &inventory, &waiting);
            daemon.update_inventory(fence, vec![inventory]);
        }
        daemon.plan_due.notify_one();
    }

    /// Tells all daemons what changed, in a large fleet in batches.
    fn tell(&self, fence: Fence) {
        let daemon = &self.daemon;
        let now = daemon.now();
        let daemons = daemon.peers.borrow().daemons();
        let gap = if daemons <= SMALL_FLEET { Duration::ZERO } else { BATCH_GAP * daemons as u32 };
        let mut state = self.state.borrow_mut();
        if state.untold.is_empty() || now < state.told + gap {
            return;
        }
        state.told = now;
        let engine_table = daemon.engine_table.borrow();
        let mut list = Vec::new();
        state.untold.retain(|id, left| {
            list.extend(engine_table.engines.get(id).map(|e| e.inventory(now)));
            *left -= 1;
            *left > 0
        });
        drop(engine_table);
        drop(state);
        self.gossip.publish_inventories(fence, &list);
        daemon.update_inventory(fence, list);
    }
}
