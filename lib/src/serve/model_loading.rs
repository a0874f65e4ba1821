//! The lease holder's loads of models: what makes way is unloaded, then the model is loaded and awaited.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ModelSpec;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::workload_table::model_key;
use crate::cluster::workload_table::server_key;
use crate::ids::Fence;
use crate::ids::ModelName;
use crate::placement::engine_table::Engine;
use crate::placement::engine_table::LoadJob;
use crate::placement::engine_table::Source;
use crate::placement::eta_accuracy::EtaAccuracy;
use crate::protocol::EngineReport;
use crate::protocol::OrderKind;
use crate::serve::engine_orders::OrderFailure;
use crate::serve::engine_orders::REPORT_LAG;
use crate::serve::placement_controller::FAILURE_BACKOFF;
use crate::serve::placement_controller::PlacementController;

/// Time between looks at a load that should be done.
const LOOK_EVERY: Duration = Duration::from_millis(70);
/// Time between looks at whether the engine of a load still runs.
const LIFE_EVERY: Duration = Duration::from_millis(500);
/// A load that is late by this much is given up; its engine's report is read anew.
const OVERDUE: Duration = Duration::from_secs(20);
/// Time in which an engine drops a model that nothing runs on: some steps of its batch. An order that comes sooner is
/// refused.
const UNLOAD_TIME: Duration = Duration::from_millis(70);
/// Longest wait for the requests that run on a model that makes way, as far as daemons tell of them. What they tell may
/// be old or wrong, so the engine is asked after that in any case.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time between looks at what daemons tell of them.
const DRAIN_LOOK: Duration = Duration::from_millis(30);

fn holds(report: &EngineReport, model: &ModelName) -> bool {
    report.models.iter().any(|held| held.name == *model)
}

impl PlacementController {
    /// Loads a model, and notes what came of it.
    pub(super) async fn run_load(
        self: Rc<Self>,
        server: ServerInstance,
        job: LoadJob,
        fence: Fence,
    ) {
        let result = self.carry_out(&server, &job, fence).await;
        let daemon = &self.daemon;
        let now = daemon.now();
        slog::info!(daemon.log, "load-ended"; "server" => %server, "model" => job.model.as_str(),
            "source" => ?job.source, "result" => ?result,
            "ms" => now.saturating_sub(job.since).as_millis());
        let outcome = if result.is_ok() { "done" } else { "failed" };
        daemon.metrics.record_load(job.source.name(), outcome, now.saturating_sub(job.since));
        self.state.borrow_mut().fetch_limiter.end(&server, result.is_ok(), now);
        self.with_engine(&server, |engine| {
            engine.job = None;
            match result {
                Ok(()) => engine.add_model(&job.model, now),
                Err(_failure) => {
                    engine.confirmed = false;
                    engine.backoff_until = now + FAILURE_BACKOFF;
                }
            }
        });
        self.publish_inventory(&server, &job.model, fence);
    }

    /// Unloads the victims, loads the model, and waits until it is there.
    async fn carry_out(
        self: &Rc<Self>,
        server: &ServerInstance,
        job: &LoadJob,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        let change = self.engine_orders.begin_orders(server, fence);
        // Peers hear that the victims leave before the engine does.
        self.publish_inventory(server, &job.model, fence);
        for victim in &job.victims {
            self.engine_orders.execute(server, OrderKind::Unload, victim, None, fence).await?;
        }
        self.drained(server, &job.victims).await;
        self.engine_orders.execute(server, OrderKind::Load, &job.model, None, fence).await?;
        drop(change);
        if self.with_engine(server, |e| e.holds(&job.model)).unwrap_or(false) {
            // The load had no answer, and its end was awaited to tell that it was carried out.
            return Ok(());
        }
        let time = self.plain_time(server, job);
        let accepted = self.daemon.now();
        let eta = accepted + time;
        self.with_engine(server, |engine| {
            if let Some(job) = &mut engine.job {
                job.eta = eta;
            }
        });
        self.publish_inventory(server, &job.model, fence);
        self.doze(server, accepted + time.saturating_sub(REPORT_LAG)).await?;
        let known = self.copy_time(server, job).map(|time| accepted + time);
        self.await_end(server, job, known, fence).await
    }

    /// Waits until a load has ended: as a report tells, or at the moment that is known where loads end on time.
    async fn await_end(
        self: &Rc<Self>,
        server: &ServerInstance,
        job: &LoadJob,
        known: Option<Moment>,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        let eta = self.with_engine(server, |e| e.job.as_ref().map(|job| job.eta)).flatten();
        let eta = eta.unwrap_or(job.eta);
        loop {
            if self.daemon.held_fence() != Some(fence) {
                return Err(OrderFailure::LeaseLost);
            }
            if let Some(known) = known
                && self.state.borrow().eta_accuracy.is_reliable(self.daemon.now())
            {
                if self.daemon.now() >= known {
                    self.verify(server, &job.model, known, fence);
                    return Ok(());
                }
                if job.source == Source::Disk {
                    // Until then a report could only tell of the time before.
                    self.doze(server, known).await?;
                    continue;
                }
            }
            if let Some(report) = self.engine_orders.fetch_report(server).await
                && !report.busy
                && holds(&report, &job.model)
            {
                if job.source == Source::Disk {
                    let now = self.daemon.now();
                    self.state.borrow_mut().eta_accuracy.record(now.saturating_sub(eta), now);
                }
                return Ok(());
            }
            if self.daemon.now() > eta + OVERDUE {
                return Err(OrderFailure::Silent);
            }
            self.engine_orders.check_instance(server)?;
            sleep(LOOK_EVERY).await;
        }
    }

    /// Looks in reports whether a load that was taken to have ended has done so; the engine is doubted where not.
    fn verify(
        self: &Rc<Self>,
        server: &ServerInstance,
        model: &ModelName,
        due: Moment,
        fence: Fence,
    ) {
        let (orders, server, model) = (Rc::clone(self), server.clone(), model.clone());
        spawn_local(async move {
            let until = due + EtaAccuracy::tolerance();
            sleep(REPORT_LAG).await;
            while orders.daemon.held_fence() == Some(fence) {
                let report = orders.engine_orders.fetch_report(&server).await;
                let now = orders.daemon.now();
                let is_there = report.as_ref().is_some_and(|r| holds(r, &model));
                let is_wanted = orders.with_engine(&server, |e| e.holds(&model)).unwrap_or(false);
                if is_there {
                    orders.state.borrow_mut().eta_accuracy.record(Duration::ZERO, now);
                }
                if is_there || !is_wanted {
                    return;
                }
                if now > until && report.is_some() {
                    slog::info!(orders.daemon.log, "load-late"; "server" => %server,
                        "model" => model.as_str(), "ms" => now.saturating_sub(due).as_millis());
                    orders.state.borrow_mut().eta_accuracy.record(now.saturating_sub(due), now);
                    orders.with_engine(&server, |engine| {
                        engine.remove_model(&model);
                        engine.confirmed = false;
                    });
                    orders.publish_inventory(&server, &model, fence);
                    return;
                }
                if now > until + OVERDUE {
                    return;
                }
                sleep(LOOK_EVERY).await;
            }
        });
    }

    /// Waits until an engine can be expected to have dropped the models that make way: it does so when their last
    /// request has ended, and refuses the next order until then.
    async fn drained(&self, server: &ServerInstance, victims: &[ModelName]) {
        if victims.is_empty() {
            return;
        }
        sleep(UNLOAD_TIME).await;
        let until = self.daemon.now() + DRAIN_LIMIT;
        let key = server_key(server);
        let is_used = |now: Moment| {
            victims.iter().any(|v| self.daemon.workloads.running(key, model_key(Some(v)), now) > 0)
        };
        while self.daemon.now() < until && is_used(self.daemon.now()) {
            sleep(DRAIN_LOOK).await;
        }
    }

    /// Waits until a moment, or until an engine is gone or has started again.
    async fn doze(&self, server: &ServerInstance, until: Moment) -> Result<(), OrderFailure> {
        loop {
            self.engine_orders.check_instance(server)?;
            let left = until.saturating_sub(self.daemon.now());
            if left.is_zero() {
                return Ok(());
            }
            sleep(left.min(LIFE_EVERY)).await;
        }
    }

    /// A model as the configuration describes it.
    fn model_spec(&self, service: &str, model: &str) -> Option<ModelSpec> {
        let config = self.daemon.config()?;
        let engine = config.services.get(service)?.engine.as_ref()?;
        engine.models.get(model).cloned()
    }

    /// The time of a load from the weight store that has it for itself.
    pub(super) fn load_time(&self, service: &str, model: &str) -> Duration {
        self.model_spec(service, model).map_or(Duration::ZERO, |spec| spec.store_load)
    }

    /// The time of a load from a copy on the host, of which nothing else takes a part; none where there is no copy. A
    /// copy in the host's memory may have made way by now, while that on its disk is still there.
    fn copy_time(&self, server: &ServerInstance, job: &LoadJob) -> Option<Duration> {
        if job.source == Source::Store {
            return None;
        }
        let service = self.with_engine(server, |e| e.server.service.clone())?;
        self.model_spec(&service, &job.model).map(|spec| spec.disk_load)
    }

    fn fetching(&self) -> usize {
        let is_fetch =
            |e: &&Engine| e.job.as_ref().map_or(e.reported_busy, |j| j.source == Source::Store);
        self.daemon.engine_table.borrow().engines.values().filter(is_fetch).count()
    }

    /// The time of a load that shares the weight store with those under way.
    fn plain_time(&self, server: &ServerInstance, job: &LoadJob) -> Duration {
        let service = self.with_engine(server, |e| e.server.service.clone());
        let Some(spec) = service.and_then(|service| self.model_spec(&service, &job.model)) else {
            return job.eta.saturating_sub(job.since);
        };
        match job.source {
            Source::Memory => spec.memory_load,
            Source::Disk => spec.disk_load,
            Source::Store => {
                self.state.borrow().fetch_limiter.share().time(spec.store_load, self.fetching())
            }
        }
    }
}
