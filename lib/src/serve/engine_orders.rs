//! Sends orders to engines, and retries each until the engine accepts it or it is known to have failed.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::directory::Server;
use crate::cluster::latest_instances::InstanceOrder;
use crate::cluster::server_health::Evidence;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::Fence;
use crate::ids::ModelName;
use crate::placement::engine_table::Engine;
use crate::placement::order_effect::is_applied;
use crate::placement::recent_orders::engine_key;
use crate::protocol::EngineOrder;
use crate::protocol::EngineReport;
use crate::protocol::OrderKind;
use crate::protocol::OrderReply;
use crate::serve::apply_updates;
use crate::serve::call::CallError;
use crate::serve::daemon_state::DaemonState;
use crate::serve::engine_client::EngineClient;
use crate::serve::orders_guard::OrdersGuard;

/// Timeout of a call to an engine; a response takes a small part of it.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// First delay before an order is sent again to an engine that is busy with another one; doubled each time.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(30);
/// Longest such delay: unloading waits for requests in progress, which takes seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(480);
/// Number of tries that end in a conflict before the engine's report is read.
const TRIES_PER_REPORT: usize = 6;
/// Consecutive tries without a response after which an engine counts as unreachable. The number is low because callers
/// wait for the model to be loaded, and engines of an isolated data centre never respond.
const MAX_UNANSWERED_TRIES: usize = 3;
/// Number of times that the report is read before an order is abandoned.
const MAX_REPORTS: usize = 10;
/// Longest wait until the report of a busy engine shows whether it carried out an order that it did not answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Greatest age of the state in an engine's report.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Usual age of the state in an engine's report.
pub const REPORT_LAG: Duration = Duration::from_millis(100);

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFailure {
    /// This daemon no longer holds the lease.
    LeaseLost,
    /// The engine's state differs from the engine table.
    Mismatch,
    /// The engine's state is unverified, or does not allow the order, because an earlier change failed.
    Doubted,
    /// The engine is unresponsive.
    Silent,
    /// The engine was removed or has restarted; the order has no effect on a new instance.
    Ended,
}

/// Sends orders to engines on behalf of the lease holder.
#[derive(Debug)]
pub struct EngineOrders {
    daemon: Rc<DaemonState>,
    client: Rc<dyn EngineClient>,
}

impl EngineOrders {
    /// Sends orders through `client` on behalf of `daemon`.
    pub fn new(daemon: Rc<DaemonState>, client: Rc<dyn EngineClient>) -> Self {
        Self { daemon, client }
    }

    /// Calls `f` with the engine table's entry for an instance; returns `None` if there is none.
    pub fn with_engine<T>(
        &self,
        instance: &ServerInstance,
        f: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        self.daemon.engine_table.borrow_mut().engine_mut(instance).map(f)
    }

    /// Returns the server of an order if the instance that the order is meant for is still its latest known one.
    ///
    /// The id alone does not distinguish instances: the next one would carry out an order whose expected number of
    /// accepted orders happens to equal its own.
    ///
    /// # Errors
    ///
    /// The server was removed or has restarted.
    fn target(&self, instance: &ServerInstance) -> Result<Rc<Server>, OrderFailure> {
        let directory = self.daemon.directory.borrow();
        let server = directory.get(&instance.id).filter(|s| s.born == instance.born);
        server.cloned().ok_or(OrderFailure::Ended)
    }

    /// Checks that an instance is still the latest known one of its server; callers stop waiting for it otherwise.
    ///
    /// # Errors
    ///
    /// The engine was removed or has restarted.
    pub fn check_instance(&self, instance: &ServerInstance) -> Result<(), OrderFailure> {
        self.target(instance).map(|_server| ())
    }

    /// Sends one order until the engine carries it out or has carried it out, and records that in the engine table.
    ///
    /// The caller must hold the guard of [`Self::begin_orders`]. Every try expects the same number of accepted
    /// orders, so that the engine carries out at most one of them, however late an unanswered one arrives.
    ///
    /// # Errors
    ///
    /// The lease is lost, or the engine has restarted, is unresponsive, or is in another or an unverified state.
    pub async fn execute(
        &self,
        server: &ServerInstance,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<&SmolStr>,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        let order = EngineOrder {
            expected_sequence: self.expected_sequence(server, &kind, model, adapter)?,
            kind,
            model: model.clone(),
            adapter: adapter.cloned(),
            holder: self.daemon.settings().id.clone(),
            fence,
        };
        let had_inflight = self.with_engine(server, |e| e.orders_inflight).unwrap_or(true);
        let mut unanswered_tries = 0;
        let mut may_have_run = false;
        let mut delay = BUSY_RETRY_DELAY;
        for tries in 1..=TRIES_PER_REPORT * MAX_REPORTS {
            self.wait_for_lease(server, fence).await?;
            match self.send_once(server, &order, tries).await? {
                Ok(OrderReply::Accepted) => {
                    self.record_accepted(server, &order);
                    return Ok(());
                }
                // An adapter without requests in progress is unloaded at once. The engine table had it loaded, and
                // no other order can have unloaded it.
                Ok(OrderReply::Done) if order.kind == OrderKind::Unload && !had_inflight => {
                    self.record_accepted(server, &order);
                    return Ok(());
                }
                Ok(OrderReply::Conflict) if !may_have_run && tries % TRIES_PER_REPORT != 0 => {
                    unanswered_tries = 0;
                    sleep(delay).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
                Ok(reply @ (OrderReply::Conflict | OrderReply::Done)) => {
                    unanswered_tries = 0;
                    if self.resolve_outcome(server, &order, reply).await? {
                        return Ok(());
                    }
                }
                Ok(OrderReply::Fenced) => {
                    slog::warn!(self.daemon.log, "order-fenced"; "server" => %server, "fence" => fence);
                    self.daemon.lease.borrow_mut().step_down();
                    return Err(OrderFailure::LeaseLost);
                }
                Ok(OrderReply::Misdirected | OrderReply::Refused) => {
                    return Err(OrderFailure::Mismatch);
                }
                Err(error) => {
                    unanswered_tries += 1;
                    if error != CallError::Unsent {
                        may_have_run = true;
                        self.with_engine(server, |engine| engine.orders_inflight = true);
                    }
                    if unanswered_tries < MAX_UNANSWERED_TRIES {
                        sleep(BUSY_RETRY_DELAY).await;
                        continue;
                    }
                    slog::info!(self.daemon.log, "order-given-up"; "server" => %server,
                        "expect" => order.expected_sequence, "tries" => tries);
                    let target = self.target(server)?;
                    // Orders are never relayed, so a cut link of this daemon says nothing about the engine.
                    if !self.daemon.server_paths.borrow().has_relayed(self.daemon.now()) {
                        self.daemon.record_health(&target.service, server, Evidence::Unreachable);
                    }
                    return Err(OrderFailure::Silent);
                }
            }
        }
        Err(OrderFailure::Silent)
    }

    /// Returns the number of accepted orders that an order must expect.
    ///
    /// The number protects only if the engine's state is verified: an engine with the same number but another state
    /// would carry the order out all the same. An unload of something that is not loaded does not count as an order.
    ///
    /// # Errors
    ///
    /// The engine table has no such instance, its state is unverified, or it does not allow the order.
    fn expected_sequence(
        &self,
        server: &ServerInstance,
        kind: &OrderKind,
        model: &ModelName,
        adapter: Option<&SmolStr>,
    ) -> Result<u64, OrderFailure> {
        let config = self.daemon.config().ok_or(OrderFailure::Doubted)?;
        let expected = self.with_engine(server, |engine| {
            let service = config.services.get(&engine.server.service);
            let spec = service.and_then(|service| service.engine.as_ref())?;
            let is_allowed = match kind {
                OrderKind::Load => engine.has_room(spec, model, adapter),
                OrderKind::Unload => engine.has_target(model, adapter),
            };
            (engine.confirmed && is_allowed).then_some(engine.sequence)
        });
        expected.ok_or(OrderFailure::Ended)?.ok_or(OrderFailure::Doubted)
    }

    /// Sends an order once. The outer error means that the engine was removed or has restarted, the inner one that the
    /// call failed.
    async fn send_once(
        &self,
        server: &ServerInstance,
        order: &EngineOrder,
        tries: usize,
    ) -> Result<Result<OrderReply, CallError>, OrderFailure> {
        let daemon = &self.daemon;
        let target = self.target(server)?;
        let request = daemon.protocol.order_request(&target, order);
        let result = self.client.call(server, target.addr, request, CALL_TIMEOUT).await;
        let reply = result.map(|response| daemon.protocol.order_reply(response.status()));
        let shown = match &reply {
            Ok(reply) => format!("{reply:?}"),
            Err(error) => error.to_string(),
        };
        slog::info!(daemon.log, "order"; "server" => %server, "op" => order.kind.name(),
            "model" => order.model.as_str(), "adapter" => order.adapter.as_deref().unwrap_or("-"),
            "expect" => order.expected_sequence, "fence" => order.fence, "tries" => tries, "reply" => shown);
        Ok(reply)
    }

    /// Announces a change at an engine. Its orders may be sent until the returned guard is dropped.
    pub fn begin_orders(&self, server: &ServerInstance, fence: Fence) -> OrdersGuard {
        OrdersGuard::new(&self.daemon, engine_key(&server.id), fence)
    }

    /// Waits until orders may be sent to an engine under `fence`.
    ///
    /// # Errors
    ///
    /// This daemon no longer holds the lease with that fencing number.
    async fn wait_for_lease(
        &self,
        server: &ServerInstance,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        let daemon = &self.daemon;
        let engine = engine_key(&server.id);
        loop {
            let renewed = daemon.lease_renewed.notified();
            if daemon.lease.borrow().fence_for(engine, daemon.now()) == Some(fence) {
                return Ok(());
            }
            if daemon.held_fence() != Some(fence) {
                return Err(OrderFailure::LeaseLost);
            }
            let _waited = timeout(BUSY_RETRY_DELAY, renewed).await;
        }
    }

    /// Records an accepted order in the engine table.
    fn record_accepted(&self, server: &ServerInstance, order: &EngineOrder) {
        let now = self.daemon.now();
        self.with_engine(server, |engine| {
            engine.sequence = order.expected_sequence + 1;
            engine.orders_inflight = false;
            engine.changed_at = now;
            if order.kind == OrderKind::Unload {
                engine.remove_target(&order.model, order.adapter.as_ref());
            }
        });
    }

    /// Determines from the engine's report whether an order with unknown outcome was carried out. If it was, the report
    /// is applied to the engine table and `true` is returned; otherwise the order may be sent again.
    ///
    /// The number of accepted orders alone does not show this: another order that expected the same number may have
    /// been carried out instead, from an abandoned change or from an earlier lease holder, however long ago.
    ///
    /// # Errors
    ///
    /// The lease is lost, or the engine has restarted, gives no report, or is in another state than the order leads to.
    async fn resolve_outcome(
        &self,
        server: &ServerInstance,
        order: &EngineOrder,
        reply: OrderReply,
    ) -> Result<bool, OrderFailure> {
        let began = self.daemon.now();
        loop {
            sleep(REPORT_LAG).await;
            let report = self.fetch_report(server).await;
            self.check_instance(server)?;
            if self.daemon.held_fence() != Some(order.fence) {
                return Err(OrderFailure::LeaseLost);
            }
            let report = report.ok_or(OrderFailure::Silent)?;
            let is_shown = is_applied(&report, &order.kind, &order.model, order.adapter.as_ref());
            slog::info!(self.daemon.log, "order-conflict"; "server" => %server,
                "expect" => order.expected_sequence, "sequence" => report.sequence, "busy" => report.busy,
                "shown" => is_shown);
            let waited = self.daemon.now().saturating_sub(began);
            if report.sequence == order.expected_sequence {
                if reply == OrderReply::Done && waited < MAX_REPORT_AGE {
                    continue;
                }
                // The engine is still busy with the previous order; the next try may find it idle.
                return Ok(false);
            }
            let is_next = report.sequence == order.expected_sequence + 1;
            if is_next && report.busy && waited < SETTLE_TIMEOUT {
                continue;
            }
            if !is_next || report.busy || !is_shown {
                return Err(OrderFailure::Mismatch);
            }
            let now = self.daemon.now();
            self.with_engine(server, |engine| engine.apply_report(&report, now));
            return Ok(true);
        }
    }

    /// Fetches the report of an engine instance; `None` if it is unavailable, unreadable or of another instance.
    pub async fn fetch_report(&self, instance: &ServerInstance) -> Option<EngineReport> {
        let daemon = &self.daemon;
        let server = self.target(instance).ok()?;
        let request = daemon.protocol.report_request(&server);
        let result = self.client.call(instance, server.addr, request, CALL_TIMEOUT).await;
        match result {
            Ok(response) if response.status().is_success() => {
                let report = daemon.protocol.parse_report(response.body());
                let report = report.map_err(|error| {
                    slog::warn!(daemon.log, "report-unreadable"; "server" => %instance,
                        "error" => %error);
                });
                report.ok().filter(|report| self.is_current(instance, report))
            }
            Ok(response) => {
                slog::info!(daemon.log, "report-refused"; "server" => %instance,
                    "status" => response.status().as_u16());
                None
            }
            Err(error) => {
                slog::info!(daemon.log, "report-failed"; "server" => %instance, "error" => %error);
                None
            }
        }
    }

    /// Records the instance that a report names, and returns whether it is `instance`.
    fn is_current(&self, instance: &ServerInstance, report: &EngineReport) -> bool {
        let reported = ServerInstance { id: instance.id.clone(), born: report.born };
        apply_updates::apply_instance(&self.daemon, &reported, "report") == InstanceOrder::Same
    }
}
