//! Loads of models by the lease holder: evicts models, orders the load and waits until it has ended.

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

/// Interval between fetches of an engine's report while a load should have ended.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(70);
/// Interval between checks whether the engine instance of a load still runs.
const INSTANCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A load that is late by this much is treated as failed, and its engine's report is fetched again.
const OVERDUE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which an engine unloads a model without running requests: some steps of its batch. The engine refuses an
/// order that arrives sooner.
const UNLOAD_TIME: Duration = Duration::from_millis(70);
/// Longest wait for the requests that daemons report as running on a model that is evicted. These reports may be old or
/// wrong, so the load is ordered after this time in any case, and the engine refuses it if requests still run.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks of the reported workload of evicted models.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(30);

fn reports_model(report: &EngineReport, model: &ModelName) -> bool {
    report.models.iter().any(|loaded| loaded.name == *model)
}

impl PlacementController {
    /// Loads a model and records the result.
    pub(super) async fn run_load(
        self: Rc<Self>,
        server: ServerInstance,
        job: LoadJob,
        fence: Fence,
    ) {
        let result = self.execute_load(&server, &job, fence).await;
        let daemon = &self.daemon;
        let now = daemon.now();
        slog::info!(daemon.log, "load-ended"; "server" => %server, "model" => job.model.as_str(),
            "source" => ?job.source, "result" => ?result,
            "ms" => now.saturating_sub(job.started_at).as_millis());
        let outcome = if result.is_ok() { "done" } else { "failed" };
        daemon.metrics.record_load(job.source.name(), outcome, now.saturating_sub(job.started_at));
        self.state.borrow_mut().fetch_limiter.record_end(&server, result.is_ok(), now);
        self.with_engine(&server, |engine| {
            engine.load_job = None;
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

    /// Unloads the victims, loads the model and waits until the load has ended.
    async fn execute_load(
        self: &Rc<Self>,
        server: &ServerInstance,
        job: &LoadJob,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        let guard = self.engine_orders.begin_orders(server, fence);
        // Peers are notified of the eviction before the engine receives the order.
        self.publish_inventory(server, &job.model, fence);
        for victim in &job.victims {
            self.engine_orders.execute(server, OrderKind::Unload, victim, None, fence).await?;
        }
        self.wait_for_drain(server, &job.victims).await;
        self.engine_orders.execute(server, OrderKind::Load, &job.model, None, fence).await?;
        drop(guard);
        if self.with_engine(server, |e| e.holds(&job.model)).unwrap_or(false) {
            // The order got no response, and waiting for the end of the load showed that it was carried out.
            return Ok(());
        }
        let time = self.shared_load_time(server, job);
        let accepted_at = self.daemon.now();
        let eta = accepted_at + time;
        self.with_engine(server, |engine| {
            if let Some(job) = &mut engine.load_job {
                job.eta = eta;
            }
        });
        self.publish_inventory(server, &job.model, fence);
        self.sleep_until(server, accepted_at + time.saturating_sub(REPORT_LAG)).await?;
        let expected_end = self.local_load_time(server, job).map(|time| accepted_at + time);
        self.await_load(server, job, expected_end, fence).await
    }

    /// Waits until a load has ended, according to the engine's report or, if loads have proved to end on time, at
    /// `expected_end`.
    async fn await_load(
        self: &Rc<Self>,
        server: &ServerInstance,
        job: &LoadJob,
        expected_end: Option<Moment>,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        let eta = self.with_engine(server, |e| e.load_job.as_ref().map(|job| job.eta)).flatten();
        let eta = eta.unwrap_or(job.eta);
        loop {
            if self.daemon.held_fence() != Some(fence) {
                return Err(OrderFailure::LeaseLost);
            }
            if let Some(expected_end) = expected_end
                && self.state.borrow().eta_accuracy.is_reliable(self.daemon.now())
            {
                if self.daemon.now() >= expected_end {
                    self.verify_load(server, &job.model, expected_end, fence);
                    return Ok(());
                }
                if job.source == Source::Disk {
                    // A report fetched earlier could only describe the state before the end of the load.
                    self.sleep_until(server, expected_end).await?;
                    continue;
                }
            }
            if let Some(report) = self.engine_orders.fetch_report(server).await
                && !report.busy
                && reports_model(&report, &job.model)
            {
                if job.source == Source::Disk {
                    let now = self.daemon.now();
                    self.state.borrow_mut().eta_accuracy.record(now.saturating_sub(eta), now);
                }
                return Ok(());
            }
            if self.daemon.now() > eta + OVERDUE_TIMEOUT {
                return Err(OrderFailure::Silent);
            }
            self.engine_orders.check_instance(server)?;
            sleep(REPORT_POLL_INTERVAL).await;
        }
    }

    /// Checks the engine's reports for a load that was assumed to have ended. If the model is not loaded in
    /// time, removes it from the engine table and marks the engine as unconfirmed.
    fn verify_load(
        self: &Rc<Self>,
        server: &ServerInstance,
        model: &ModelName,
        expected_end: Moment,
        fence: Fence,
    ) {
        let (controller, server, model) = (Rc::clone(self), server.clone(), model.clone());
        spawn_local(async move {
            let until = expected_end + EtaAccuracy::tolerance();
            sleep(REPORT_LAG).await;
            while controller.daemon.held_fence() == Some(fence) {
                let report = controller.engine_orders.fetch_report(&server).await;
                let now = controller.daemon.now();
                let is_loaded = report.as_ref().is_some_and(|r| reports_model(r, &model));
                let is_recorded =
                    controller.with_engine(&server, |e| e.holds(&model)).unwrap_or(false);
                if is_loaded {
                    controller.state.borrow_mut().eta_accuracy.record(Duration::ZERO, now);
                }
                if is_loaded || !is_recorded {
                    return;
                }
                if now > until && report.is_some() {
                    slog::info!(controller.daemon.log, "load-late"; "server" => %server,
                        "model" => model.as_str(),
                        "ms" => now.saturating_sub(expected_end).as_millis());
                    controller
                        .state
                        .borrow_mut()
                        .eta_accuracy
                        .record(now.saturating_sub(expected_end), now);
                    controller.with_engine(&server, |engine| {
                        engine.remove_model(&model);
                        engine.confirmed = false;
                    });
                    controller.publish_inventory(&server, &model, fence);
                    return;
                }
                if now > until + OVERDUE_TIMEOUT {
                    return;
                }
                sleep(REPORT_POLL_INTERVAL).await;
            }
        });
    }

    /// Waits until an engine can be expected to have unloaded the victims. It unloads them when their last request has
    /// ended, and refuses the next order until then.
    async fn wait_for_drain(&self, server: &ServerInstance, victims: &[ModelName]) {
        if victims.is_empty() {
            return;
        }
        sleep(UNLOAD_TIME).await;
        let until = self.daemon.now() + DRAIN_TIMEOUT;
        let key = server_key(server);
        let is_used = |now: Moment| {
            victims.iter().any(|v| self.daemon.workloads.running(key, model_key(Some(v)), now) > 0)
        };
        while self.daemon.now() < until && is_used(self.daemon.now()) {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Waits until the given time.
    ///
    /// # Errors
    ///
    /// Fails early if the engine was removed or has restarted.
    async fn sleep_until(
        &self,
        server: &ServerInstance,
        until: Moment,
    ) -> Result<(), OrderFailure> {
        loop {
            self.engine_orders.check_instance(server)?;
            let remaining = until.saturating_sub(self.daemon.now());
            if remaining.is_zero() {
                return Ok(());
            }
            sleep(remaining.min(INSTANCE_CHECK_INTERVAL)).await;
        }
    }

    /// Returns a model's specification in the current configuration.
    fn model_spec(&self, service: &str, model: &str) -> Option<ModelSpec> {
        let config = self.daemon.config()?;
        let engine = config.services.get(service)?.engine.as_ref()?;
        engine.models.get(model).cloned()
    }

    /// Returns the time of a fetch from the weight store while no other fetch uses it.
    pub(super) fn solo_fetch_time(&self, service: &str, model: &str) -> Duration {
        self.model_spec(service, model).map_or(Duration::ZERO, |spec| spec.store_load)
    }

    /// Returns the time of a load from a local copy, which no other load slows down, or `None` for a fetch from the
    /// weight store. For a copy in memory it is the time from disk too: that copy may have been evicted by now, while
    /// the one on disk remains.
    fn local_load_time(&self, server: &ServerInstance, job: &LoadJob) -> Option<Duration> {
        if job.source == Source::Store {
            return None;
        }
        let service = self.with_engine(server, |e| e.server.service.clone())?;
        self.model_spec(&service, &job.model).map(|spec| spec.disk_load)
    }

    /// Returns how many engines fetch from the weight store; a reported load of unknown source counts as well.
    fn fetches(&self) -> usize {
        let is_fetch = |e: &&Engine| {
            e.load_job.as_ref().map_or(e.reported_busy, |j| j.source == Source::Store)
        };
        self.daemon.engine_table.borrow().engines.values().filter(is_fetch).count()
    }

    /// Returns the time of a load; a fetch shares the weight store with the fetches in progress.
    fn shared_load_time(&self, server: &ServerInstance, job: &LoadJob) -> Duration {
        let service = self.with_engine(server, |e| e.server.service.clone());
        let Some(spec) = service.and_then(|service| self.model_spec(&service, &job.model)) else {
            return job.eta.saturating_sub(job.started_at);
        };
        match job.source {
            Source::Memory => spec.memory_load,
            Source::Disk => spec.disk_load,
            Source::Store => {
                self.state.borrow().fetch_limiter.share().time(spec.store_load, self.fetches())
            }
        }
    }
}
