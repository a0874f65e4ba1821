//! Engines, their models and demand, for tests of plans.

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
use comfreymux_lib::cluster::directory::LoadedModel;
use comfreymux_lib::cluster::directory::Server;
use comfreymux_lib::cluster::directory::WeightCopies;
use comfreymux_lib::cluster::run_times::RunTimes;
use comfreymux_lib::cluster::workloads::Workloads;
use comfreymux_lib::placement::demand::Demand;
use comfreymux_lib::placement::engine_table::Engine;
use comfreymux_lib::placement::engine_table::EngineTable;
use comfreymux_lib::placement::engine_table::Source;
use comfreymux_lib::placement::fetch_limiter::StoreShare;
use comfreymux_lib::placement::planner::Action;
use comfreymux_lib::placement::planner::PlanInput;
use smol_str::SmolStr;

/// The moment of the plan.
pub const NOW: Moment = Duration::from_secs(100);
/// The engines' service.
pub const SERVICE: &str = "draft";

/// A service of engines with room for two models of 70 GB and one of 40 GB, or three of 60.
#[derive(Debug)]
pub struct Site {
    /// The configuration.
    pub config: Configuration,
    /// What the engines hold.
    pub engine_table: EngineTable,
    /// What callers ask for.
    pub demand: Demand,
    /// Requests in progress.
    pub loads: Workloads,
    /// Loads from the weight store that may begin.
    pub fetches_left: usize,
    /// What is known of the weight store.
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
    /// Starts without engines, with models by name, size and number of adapters.
    pub fn new(models: &[(&str, u64, usize)]) -> Self {
        let models = models.iter().map(|(n, size, a)| ((*n).into(), spec(*size, *a))).collect();
        let engine =
            EngineSpec { models, slots: 64, memory: 200_000, adapter_slots: 8, load_rate: 2.2 };
        let service = Service { name: SERVICE.into(), engine: Some(engine) };
        let limits = CallerLimits {
            max_head: 8192,
            max_body: 8192,
            head_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        };
        Self {
            config: Configuration::new(1, Vec::new(), vec![service], limits),
            engine_table: EngineTable::default(),
            demand: Demand::default(),
            loads: Workloads::default(),
            fetches_left: 8,
            share: StoreShare { proven: 4, limit: 4 },
        }
    }

    /// Adds an engine; the length of its id gives its data centre.
    ///
    /// # Panics
    ///
    /// Never: the address is well formed.
    pub fn engine(&mut self, id: &str, held: &[&str], disk: &[&str]) -> &mut Engine {
        let held_model = |name: &&str| LoadedModel { name: (*name).into(), adapters: Vec::new() };
        let server = Server {
            id: id.into(),
            service: SERVICE.into(),
            addr: "127.0.0.1:9000".parse().expect("an address"),
            centre: format!("c{}", id.len()).into(),
            slots: 64,
            leaving: false,
            models: held.iter().map(held_model).collect(),
            copies: WeightCopies::default(),
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

    /// Makes one request wait for a model or adapter.
    pub fn add_queued(&mut self, model: &str, adapter: Option<&str>) {
        let want = QueuedDemand {
            service: SERVICE.into(),
            model: model.into(),
            adapter: adapter.map(Into::into),
            waiting: 1,
            remaining_ms: 10_000,
            due_ms: 4_000,
            avoid: Vec::new(),
        };
        let note = DemandReport { queued: vec![want], arrivals: Vec::new() };
        self.demand.update(&format!("d-{model}").into(), note, NOW);
    }

    /// Makes a model asked for `rate` times a second.
    pub fn busy(&mut self, model: &str, rate: u32) {
        self.set_rate(model, rate * 6);
    }

    /// Makes a model asked for some times in the last seconds.
    pub fn set_rate(&mut self, model: &str, times: u32) {
        for count in [0, times] {
            let count =
                ArrivalCount { service: SERVICE.into(), model: model.into(), adapter: None, count };
            let note = DemandReport { queued: Vec::new(), arrivals: vec![count] };
            self.demand.update(&format!("busy-{model}").into(), note, NOW);
        }
    }

    /// Returns the next steps.
    pub fn plan(&self) -> Vec<Action> {
        let workloads = self.loads.fleet_table(NOW);
        let input = PlanInput {
            now: NOW,
            config: &self.config,
            engine_table: &self.engine_table,
            demand: &self.demand,
            workloads: &workloads,
            run_times: &RunTimes::default(),
            unreachable: Vec::new(),
            share: self.share,
            fetches_left: self.fetches_left,
        };
        input.plan()
    }
}

/// Returns engine, victims and source of a model's load in a plan.
pub fn load_of<'a>(plan: &'a [Action], model: &str) -> Option<(&'a str, Vec<&'a str>, Source)> {
    plan.iter().find_map(|action| match action {
        Action::LoadModel { server, model: m, victims, source, .. } if m == model => {
            Some((server.as_str(), victims.iter().map(SmolStr::as_str).collect(), *source))
        }
        _ => None,
    })
}
