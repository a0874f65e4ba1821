//! A service with engines, models and demand, for tests of the planner.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::configuration::CallerLimits;
use comfreymux_lib::cluster::configuration::Configuration;
use comfreymux_lib::cluster::configuration::EngineSpec;
use comfreymux_lib::cluster::configuration::ModelSpec;
use comfreymux_lib::cluster::configuration::Service;
use comfreymux_lib::cluster::digest::ArrivalCount;
use comfreymux_lib::cluster::digest::DemandReport;
use comfreymux_lib::cluster::digest::QueuedDemand;
use comfreymux_lib::cluster::digest::VersionDemand;
use comfreymux_lib::cluster::directory::LoadedModel;
use comfreymux_lib::cluster::directory::Server;
use comfreymux_lib::cluster::directory::WeightCopies;
use comfreymux_lib::cluster::run_times::RunTimes;
use comfreymux_lib::cluster::server_slowdowns::ServerSlowdowns;
use comfreymux_lib::cluster::workloads::Workloads;
use comfreymux_lib::cluster::workspaces::Workspaces;
use comfreymux_lib::placement::demand::Demand;
use comfreymux_lib::placement::engine_table::Engine;
use comfreymux_lib::placement::engine_table::EngineTable;
use comfreymux_lib::placement::engine_table::Source;
use comfreymux_lib::placement::fetch_limiter::StoreShare;
use comfreymux_lib::placement::planner::Action;
use comfreymux_lib::placement::planner::PlanInput;
use smol_str::SmolStr;

/// Current time of each plan.
pub const NOW: Moment = Duration::from_secs(100);
/// Name of the service that all engines run.
pub const SERVICE: &str = "draft";

/// Input of a plan for one service, whose engines have memory for two models of 70 GB and one of
/// 40 GB, or for three of 60 GB.
#[derive(Debug)]
pub struct Site {
    /// Configuration with the one service.
    pub config: Configuration,
    /// Models that the engines hold and load.
    pub engine_table: EngineTable,
    /// Queued requests and arrival counts that daemons reported.
    pub demand: Demand,
    /// Requests in progress at the engines.
    pub loads: Workloads,
    /// Number of fetches from the weight store that may start now.
    pub fetches_left: usize,
    /// Slowdowns of engines.
    pub slowdowns: ServerSlowdowns,
    /// Numbers of concurrent fetches at full speed: proven so far, and the limit.
    pub share: StoreShare,
}

fn spec(size: u64, adapters: usize) -> ModelSpec {
    ModelSpec {
        size,
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(1600),
        memory_load: Duration::from_millis(1200),
        adapters: (1..=adapters).map(|n| format!("a{n}").into()).collect(),
        adapter_size: 50,
    }
}

impl Site {
    /// Creates a site without engines; `models` have a name, a size in MB and a number of adapters.
    pub fn new(models: &[(&str, u64, usize)]) -> Self {
        let models = models.iter().map(|(n, size, a)| ((*n).into(), spec(*size, *a))).collect();
        let engine =
            EngineSpec { models, slots: 64, memory: 200_000, adapter_slots: 8, load_rate: 2.2 };
        let service = Service { name: SERVICE.into(), engine: Some(engine), health_path: None };
        let limits = CallerLimits {
            max_head: 8192,
            max_body: 8192,
            head_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        };
        Self {
            config: Configuration::new(1, Vec::new(), vec![service], limits, Workspaces::default()),
            engine_table: EngineTable::default(),
            demand: Demand::default(),
            loads: Workloads::default(),
            fetches_left: 8,
            slowdowns: ServerSlowdowns::default(),
            share: StoreShare { proven: 4, limit: 4 },
        }
    }

    /// Adds an engine that holds the models `held` and has local copies of these and of `disk`.
    ///
    /// Engines whose ids have the same length are in the same data centre.
    ///
    /// # Panics
    ///
    /// Never panics: the address is valid.
    pub fn engine(&mut self, id: &str, held: &[&str], disk: &[&str]) -> &mut Engine {
        let held_model = |name: &&str| LoadedModel { name: (*name).into(), adapters: Vec::new() };
        let server = Server {
            id: id.into(),
            service: SERVICE.into(),
            addr: "127.0.0.1:9000".parse().expect("valid address"),
            centre: format!("c{}", id.len()).into(),
            slots: 64,
            leaving: false,
            models: held.iter().map(held_model).collect(),
            copies: WeightCopies::default(),
            version: "v1".into(),
            heartbeat: 1,
            born: None,
        };
        let engine = Engine {
            models: server.models.clone(),
            server: Rc::new(server),
            sequence: 0,
            memory_copies: Vec::new(),
            disk_copies: disk.iter().chain(held).map(|m| (*m).into()).collect(),
            confirmed: true,
            orders_inflight: false,
            stale_reports: 0,
            changed_at: NOW,
            compared_heartbeat: 0,
            load_job: None,
            reported_busy: false,
            adapter_jobs: Vec::new(),
            last_used: BTreeMap::new(),
            backoff_until: Moment::ZERO,
        };
        self.engine_table.engines.entry(id.into()).or_insert(engine)
    }

    /// Adds one queued request for a model or adapter.
    pub fn add_queued(&mut self, model: &str, adapter: Option<&str>) {
        let queued_demand = QueuedDemand {
            service: SERVICE.into(),
            model: model.into(),
            adapter: adapter.map(Into::into),
            waiting: 1,
            remaining_ms: 10_000,
            due_ms: 4_000,
            avoid: Vec::new(),
        };
        let report = DemandReport { queued: vec![queued_demand], arrivals: Vec::new() };
        self.demand.update(&format!("d-{model}").into(), report, NOW);
    }

    /// Adds one queued stream that only servers of a software version can continue.
    pub fn add_stream(&mut self, model: &str, version: &str) {
        let queued = QueuedDemand {
            service: SERVICE.into(),
            model: model.into(),
            adapter: None,
            waiting: 1,
            remaining_ms: 10_000,
            due_ms: 4_000,
            avoid: Vec::new(),
        };
        let demand = VersionDemand { version: version.into(), queued };
        self.demand.update_versions(&format!("d-{model}").into(), vec![demand], NOW);
    }

    /// Sets the arrival rate of a model's requests, per second.
    pub fn busy(&mut self, model: &str, rate: u32) {
        self.add_arrivals(model, rate * 6);
    }

    /// Adds `times` recent arrivals of requests for a model.
    pub fn add_arrivals(&mut self, model: &str, times: u32) {
        for count in [0, times] {
            let count =
                ArrivalCount { service: SERVICE.into(), model: model.into(), adapter: None, count };
            let report = DemandReport { queued: Vec::new(), arrivals: vec![count] };
            self.demand.update(&format!("busy-{model}").into(), report, NOW);
        }
    }

    /// Returns the planner's next actions.
    pub fn plan(&self) -> Vec<Action> {
        let workloads = self.loads.fleet_table(NOW);
        let input = PlanInput {
            now: NOW,
            config: &self.config,
            engine_table: &self.engine_table,
            demand: &self.demand,
            workloads: &workloads,
            slowdowns: &self.slowdowns,
            run_times: &RunTimes::default(),
            excluded: Vec::new(),
            share: self.share,
            fetches_left: self.fetches_left,
        };
        input.plan()
    }
}

/// Returns the engine, the evicted models and the weight source of a model's load in a plan, or
/// `None` if the plan does not load it.
pub fn load_of<'a>(plan: &'a [Action], model: &str) -> Option<(&'a str, Vec<&'a str>, Source)> {
    plan.iter().find_map(|action| match action {
        Action::LoadModel { server, model: m, victims, source, .. } if m == model => {
            Some((server.as_str(), victims.iter().map(SmolStr::as_str).collect(), *source))
        }
        _ => None,
    })
}
