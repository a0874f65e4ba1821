//! Loads adapters on engines for the lease holder. An adapter takes milliseconds to load, a model seconds.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::cluster::server_instance::ServerInstance;
use crate::ids::Fence;
use crate::placement::engine_table::AdapterJob;
use crate::protocol::OrderKind;
use crate::serve::engine_orders::OrderFailure;
use crate::serve::placement_controller::ADAPTER_LOAD_TIME;
use crate::serve::placement_controller::FAILURE_BACKOFF;
use crate::serve::placement_controller::PlacementController;

impl PlacementController {
    /// Loads an adapter, records the result in the engine table and publishes the engine's inventory.
    pub(super) async fn run_adapter_load(
        self: Rc<Self>,
        server: ServerInstance,
        job: AdapterJob,
        fence: Fence,
    ) {
        let result = self.send_adapter_orders(&server, &job, fence).await;
        let daemon = &self.daemon;
        let now = daemon.now();
        slog::info!(daemon.log, "adapter"; "server" => %server, "model" => job.model.as_str(),
            "adapter" => job.adapter.as_str(), "result" => ?result,
            "victim" => job.victim.as_ref().map_or("-", |(_, a)| a.as_str()));
        self.with_engine(&server, |engine| {
            engine.adapter_jobs.retain(|a| *a != job);
            match result {
                Ok(()) => {
                    let loaded = engine.models.iter_mut().find(|m| m.name == job.model);
                    if let Some(loaded) = loaded
                        && !loaded.adapters.contains(&job.adapter)
                    {
                        loaded.adapters.push(job.adapter.clone());
                        engine.changed_at = now;
                    }
                }
                Err(_failure) => {
                    engine.confirmed = false;
                    engine.backoff_until = now + FAILURE_BACKOFF;
                }
            }
        });
        self.publish_inventory(&server, &job.model, fence);
    }

    /// Sends the orders of a job, and waits for as long as the adapter takes to load.
    ///
    /// # Errors
    ///
    /// An order was not carried out.
    async fn send_adapter_orders(
        &self,
        server: &ServerInstance,
        job: &AdapterJob,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        // Orders to one engine are sent one at a time: each names the number of orders accepted before it.
        while self
            .with_engine(server, |e| e.adapter_jobs.first().is_some_and(|first| first != job))
            .unwrap_or(false)
        {
            sleep(Duration::from_millis(3)).await;
        }
        let orders_guard = self.engine_orders.begin_orders(server, fence);
        if let Some((model, adapter)) = &job.victim {
            self.engine_orders
                .execute(server, OrderKind::Unload, model, Some(adapter), fence)
                .await?;
        }
        self.engine_orders
            .execute(server, OrderKind::Load, &job.model, Some(&job.adapter), fence)
            .await?;
        drop(orders_guard);
        sleep(ADAPTER_LOAD_TIME).await;
        Ok(())
    }
}
