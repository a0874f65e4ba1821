//! Runs a workload through the decision code in virtual time and measures waits, idle hours and loads.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymux_lib::event::DecisionKind;
use comfreymux_lib::event::Event;
use comfreymux_lib::ids::ModelName;
use comfreymux_lib::ids::ServerId;
use comfreymux_lib::keep_warm::KeepWarmPolicy;
use comfreymux_lib::queue::EnqueueResult;
use comfreymux_lib::queue::Queue;
use comfreymux_lib::queue::Waiter;
use comfreymux_lib::queue::WaiterKey;
use comfreymux_lib::router::RouteRequest;
use comfreymux_lib::router::Router;
use comfreymux_lib::routing_view::RoutingView;
use comfreymux_lib::table::Edit;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::fake_engine::FakeEngine;
use crate::workload::ACCELERATOR_MIB;
use crate::workload::Arrival;
use crate::workload::Deployment;
use crate::workload::deadline;
use crate::world::Breach;
use crate::world::World;

/// Step of virtual time while requests wait or messages are in transit.
const BUSY_STEP: Duration = Duration::from_millis(100);
/// Step of virtual time otherwise.
const IDLE_STEP: Duration = Duration::from_secs(1);
/// Time for daemons to start and read the table before the first request.
const WARM_UP: Duration = Duration::from_secs(20);
/// Maximum number of queued requests per model and daemon.
const QUEUE_LIMIT: usize = 256;
/// Age at which a routing view is rebuilt although the log has no new entries.
const MAX_VIEW_AGE: Duration = Duration::from_secs(1);

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Name of the policy.
    pub name: String,
    /// Number of requests.
    pub requests: u64,
    /// Requests that found no loaded replica.
    pub cold: u64,
    /// Median wait of the cold requests, in seconds.
    pub cold_p50: f64,
    /// 95th percentile of the waits of the cold requests, in seconds.
    pub cold_p95: f64,
    /// 99th percentile of the waits of the cold requests, in seconds.
    pub cold_p99: f64,
    /// Longest wait of a cold request, in seconds.
    pub cold_worst: f64,
    /// 99th percentile of the waits of all requests, in seconds.
    pub all_p99: f64,
    /// Sum of all waits, in hours.
    pub wait_hours: f64,
    /// Accelerator hours in which a model was loaded or loading and served no request.
    pub idle_hours: f64,
    /// Number of loads.
    pub loads: u64,
    /// Loads that served no request.
    pub wasted: u64,
    /// Requests refused on arrival or displaced from a queue.
    pub refused: u64,
    /// Requests that were still queued at their deadline.
    pub expired: u64,
}

struct Running {
    end: Duration,
    daemon: usize,
    server: ServerId,
    model: ModelName,
}

struct EntryDaemon {
    name: String,
    queue: Queue,
    router: Router,
    view: RoutingView,
    view_built: (u64, Duration),
    waiting: BTreeMap<WaiterKey, Arrival>,
}

/// A run in progress.
struct Run {
    world: World,
    entry_daemons: Vec<EntryDaemon>,
    running: Vec<Running>,
    waits: Histogram<u64>,
    cold: Histogram<u64>,
    idle: f64,
    wait_sum: f64,
    refused: u64,
    expired: u64,
}

/// Runs a workload under a keep-warm policy.
///
/// # Errors
///
/// An invariant was violated.
pub fn run(
    name: &str,
    deployment: &Deployment,
    policy: KeepWarmPolicy,
    seed: u64,
    arrivals: &[Arrival],
) -> Result<Outcome, Breach> {
    let mut run = Run::new(deployment, policy, seed)?;
    let mut next = 0;
    let last = arrivals.last().map_or(0, |a| a.at_ms);
    let end = WARM_UP + Duration::from_millis(last) + Duration::from_mins(5);
    while run.world.now < end {
        let due = |a: &&Arrival| WARM_UP + Duration::from_millis(a.at_ms) <= run.world.now;
        let count = arrivals[next..].iter().take_while(due).count();
        for arrival in &arrivals[next..next + count] {
            run.arrive(arrival);
        }
        next += count;
        let until = arrivals.get(next).map(|a| WARM_UP + Duration::from_millis(a.at_ms));
        run.step(until)?;
    }
    Ok(run.outcome(name, arrivals.len() as u64))
}

impl Run {
    fn new(deployment: &Deployment, policy: KeepWarmPolicy, seed: u64) -> Result<Self, Breach> {
        let mut world = World::new(policy);
        world.store.spacing = Duration::from_secs_f64(1.0 / deployment.starts);
        let cached = deployment.cached(seed);
        for i in 0..deployment.engines {
            let mut engine = FakeEngine::new(ACCELERATOR_MIB * deployment.accelerators, true);
            let here = cached.iter().filter(|p| p.engine == i);
            engine.cached = here.map(|p| (p.model.clone(), p.source)).collect();
            world.add_engine(&format!("engine-{i}"), &deployment.centre(i), engine);
        }
        let mut entry_daemons = Vec::new();
        for i in 0..deployment.daemons() {
            let name = format!("daemon-{i}");
            let centre = deployment.centre(i);
            world.add_daemon(&name, &centre);
            entry_daemons.push(EntryDaemon {
                name,
                queue: Queue::new(QUEUE_LIMIT),
                router: Router::new(centre, seed + i as u64),
                view: RoutingView::default(),
                view_built: (0, Duration::ZERO),
                waiting: BTreeMap::new(),
            });
        }
        world.run(Duration::from_secs(5), BUSY_STEP)?;
        let changes = world.head.table.diff(&deployment.table());
        let edit = Edit { id: "table".into(), author: "experiment".into(), changes };
        world.give("daemon-0", Event::Edit(edit));
        world.run(WARM_UP.saturating_sub(world.now), BUSY_STEP)?;
        let histogram = || {
            Histogram::new_with_bounds(1, 3_600_000, 3)
                .expect("an hour in milliseconds is a valid bound")
        };
        Ok(Self {
            world,
            entry_daemons,
            running: Vec::new(),
            waits: histogram(),
            cold: histogram(),
            idle: 0.0,
            wait_sum: 0.0,
            refused: 0,
            expired: 0,
        })
    }

    fn arrive(&mut self, arrival: &Arrival) {
        let daemon = arrival.daemon % self.entry_daemons.len();
        self.refresh(daemon);
        if self.try_start(daemon, arrival) {
            self.waits.saturating_record(0);
            return;
        }
        let entry_daemon = &mut self.entry_daemons[daemon];
        let waiter = Waiter {
            model: arrival.model.clone(),
            priority: arrival.priority,
            deadline: WARM_UP + deadline(arrival),
        };
        match entry_daemon.queue.enqueue(self.world.now, waiter, Duration::ZERO) {
            EnqueueResult::Queued(key, displaced) => {
                entry_daemon.waiting.insert(key, arrival.clone());
                if displaced.and_then(|key| entry_daemon.waiting.remove(&key)).is_some() {
                    self.refused += 1;
                }
            }
            EnqueueResult::Refused(_) => self.refused += 1,
        }
    }

    /// Rebuilds a daemon's routing view if it may have changed.
    fn refresh(&mut self, daemon: usize) {
        let entry_daemon = &mut self.entry_daemons[daemon];
        let world_now = self.world.now;
        let Some((now, control)) = self.world.running_control(&entry_daemon.name) else {
            return;
        };
        let view_built = (control.state().offset, world_now);
        if entry_daemon.view_built.0 != view_built.0
            || world_now >= entry_daemon.view_built.1 + MAX_VIEW_AGE
        {
            entry_daemon.view = RoutingView::new(control, now);
            entry_daemon.view_built = view_built;
        }
    }

    /// Starts a request if a replica has capacity; returns whether it started.
    fn try_start(&mut self, daemon: usize, arrival: &Arrival) -> bool {
        let now = self.world.now;
        let entry_daemon = &mut self.entry_daemons[daemon];
        let route_request = RouteRequest { model: &arrival.model, prefix: None, tried: &[] };
        let Some(route) = entry_daemon.router.choose(now, &entry_daemon.view, route_request) else {
            return false;
        };
        let engine = self.world.engines.get_mut(&route.server).map(|(_, e)| e);
        let held = engine.and_then(|e| e.held.get_mut(&arrival.model)).filter(|h| h.ready <= now);
        let Some(held) = held else {
            // The engine refuses the request because the model is no longer loaded.
            entry_daemon.router.record_end(&route.server, &arrival.model);
            return false;
        };
        held.active += 1;
        held.served += 1;
        self.running.push(Running {
            end: now + Duration::from_millis(arrival.run_ms),
            daemon,
            server: route.server,
            model: arrival.model.clone(),
        });
        true
    }

    fn step(&mut self, until: Option<Duration>) -> Result<(), Breach> {
        let now = self.world.now;
        let waiting = self.entry_daemons.iter().any(|f| !f.waiting.is_empty());
        let step = if waiting || self.world.is_busy() { BUSY_STEP } else { IDLE_STEP };
        let ends = self.running.iter().map(|r| r.end);
        let next = ends.chain(until).min().unwrap_or(now + step);
        let step = step.min(next.saturating_sub(now)).max(Duration::from_millis(10));
        self.add_idle(step);
        self.world.step(step)?;
        self.finish();
        for daemon in 0..self.entry_daemons.len() {
            self.serve_waiting(daemon);
        }
        Ok(())
    }

    fn add_idle(&mut self, step: Duration) {
        for (_, engine) in self.world.engines.values() {
            let idle = engine.held.values().filter(|h| h.active == 0);
            let share: u64 = idle.map(|h| h.memory_mib).sum();
            self.idle += share as f64 / ACCELERATOR_MIB as f64 * step.as_secs_f64();
        }
    }

    fn finish(&mut self) {
        let now = self.world.now;
        let (done, running) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.end <= now);
        self.running = running;
        let done: Vec<Running> = done;
        for r in done {
            self.entry_daemons[r.daemon].router.record_end(&r.server, &r.model);
            let engine = self.world.engines.get_mut(&r.server);
            if let Some(held) = engine.and_then(|(_, e)| e.held.get_mut(&r.model)) {
                held.active = held.active.saturating_sub(1);
            }
        }
    }

    fn serve_waiting(&mut self, daemon: usize) {
        let now = self.world.now;
        for key in self.entry_daemons[daemon].queue.expire(now) {
            self.entry_daemons[daemon].waiting.remove(&key);
            self.expired += 1;
        }
        if !self.entry_daemons[daemon].waiting.is_empty() {
            self.refresh(daemon);
        }
        for model in self.entry_daemons[daemon].queue.models() {
            while let Some(key) = self.entry_daemons[daemon].queue.first(&model) {
                let Some(arrival) = self.entry_daemons[daemon].waiting.get(&key).cloned() else {
                    break;
                };
                if !self.try_start(daemon, &arrival) {
                    break;
                }
                self.entry_daemons[daemon].queue.remove(key);
                self.entry_daemons[daemon].waiting.remove(&key);
                let arrived_at = WARM_UP + Duration::from_millis(arrival.at_ms);
                let wait = now.saturating_sub(arrived_at);
                self.waits.saturating_record(wait.as_millis() as u64);
                self.cold.saturating_record(wait.as_millis() as u64);
                self.wait_sum += wait.as_secs_f64();
            }
        }
        let entry_daemon = &self.entry_daemons[daemon];
        if let Some(d) = self.world.daemons.get_mut(entry_daemon.name.as_str()) {
            d.waiting = entry_daemon.queue.demand();
        }
    }

    fn outcome(&self, name: &str, requests: u64) -> Outcome {
        let seconds = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1000.0;
        let count = |c: DecisionKind| {
            self.world.decisions.iter().filter(|(_, _, d)| d.action == c).count() as u64
        };
        let loads = self.world.engines.values().map(|(_, e)| e.loads).sum();
        Outcome {
            name: name.to_owned(),
            requests,
            cold: self.cold.len(),
            cold_p50: seconds(&self.cold, 0.5),
            cold_p95: seconds(&self.cold, 0.95),
            cold_p99: seconds(&self.cold, 0.99),
            cold_worst: self.cold.max() as f64 / 1000.0,
            all_p99: seconds(&self.waits, 0.99),
            wait_hours: self.wait_sum / 3600.0,
            idle_hours: self.idle / 3600.0,
            loads,
            wasted: loads.saturating_sub(count(DecisionKind::Ready)),
            refused: self.refused,
            expired: self.expired,
        }
    }
}
