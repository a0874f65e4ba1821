//! Orders to one engine, given until they are accepted or known to be in vain.

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

/// Time for an engine's answer to an order or a question: many times what it takes.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// First pause before an engine that is busy with another order is asked again; doubled each time.
const BUSY_PAUSE: Duration = Duration::from_millis(30);
/// Longest such pause: unloading waits for requests that run, which takes seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(480);
/// Tries of an order that the engine refuses before its report is read.
const TRIES: usize = 6;
/// Tries without an answer, one after the other, after which an engine counts as out of reach: callers wait for what it
/// was to load, and a cut-off data centre's engines never answer.
const SILENT_TRIES: usize = 3;
/// Times that the report is read before an order is given up.
const REPORTS: usize = 10;
/// Longest wait for an engine at work to show whether it carries out an order that it did not answer.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);
/// Age of the oldest report that an engine gives.
const REPORT_AGE: Duration = Duration::from_secs(1);
/// An engine's report is some hundred milliseconds old.
pub const REPORT_LAG: Duration = Duration::from_millis(100);

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFailure {
    /// The lease is no longer held.
    LeaseLost,
    /// The engine is not as believed.
    Mismatch,
    /// What the engine holds is not known, or the order does not fit it: a change before this one failed.
    Doubted,
    /// The engine does not answer.
    Silent,
    /// The engine is gone or has started again: nothing of the order is left.
    Ended,
}

/// Gives orders to engines.
#[derive(Debug)]
pub struct EngineOrders {
    daemon: Rc<DaemonState>,
    calls: Rc<dyn EngineClient>,
}

impl EngineOrders {
    /// Gives orders for a daemon.
    pub fn new(daemon: Rc<DaemonState>, calls: Rc<dyn EngineClient>) -> Self {
        Self { daemon, calls }
    }

    /// Calls `f` with the engine table's page on one start of an engine, where there is one.
    pub fn with_engine<T>(
        &self,
        start: &ServerInstance,
        f: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        self.daemon.engine_table.borrow_mut().engine_mut(start).map(f)
    }

    /// Returns the server where the start that an order is meant for still runs, as far as known.
    ///
    /// An id alone does not tell starts apart: the next one would carry out an order whose number of
    /// accepted orders happens to be its own.
    fn target(&self, start: &ServerInstance) -> Result<Rc<Server>, OrderFailure> {
        let directory = self.daemon.directory.borrow();
        let server = directory.get(&start.id).filter(|s| s.born == start.born);
        server.cloned().ok_or(OrderFailure::Ended)
    }

    /// Ends what waits for an engine that is gone or has started again.
    ///
    /// # Errors
    ///
    /// The start is over.
    pub fn check_instance(&self, start: &ServerInstance) -> Result<(), OrderFailure> {
        self.target(start).map(|_server| ())
    }

    /// Gives one order until it is carried out or being carried out, and notes that in the engine table.
    ///
    /// The change that it belongs to must have been announced. Every try expects the same number of accepted
    /// orders, so that only one of them can be carried out, however late an unanswered one arrives.
    ///
    /// # Errors
    ///
    /// The lease is lost, the engine is silent or not as believed, or what it holds is not known.
    pub async fn execute(
        &self,
        server: &ServerInstance,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<&SmolStr>,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        let order = EngineOrder {
            expected_sequence: self.expected(server, &kind, model, adapter)?,
            kind,
            model: model.clone(),
            adapter: adapter.cloned(),
            holder: self.daemon.settings().id.clone(),
            fence,
        };
        let has_strays = self.with_engine(server, |e| e.orders_inflight).unwrap_or(true);
        let mut silent = 0;
        let mut unanswered = false;
        let mut pause = BUSY_PAUSE;
        for tries in 1..=TRIES * REPORTS {
            self.wait_for_lease(server, fence).await?;
            match self.try_order(server, &order, tries).await? {
                Ok(OrderReply::Accepted) => {
                    self.accepted(server, &order);
                    return Ok(());
                }
                // An adapter that nothing runs on is unloaded at once. It was there, by the engine table, and no other order can
                // have taken it.
                Ok(OrderReply::Done) if order.kind == OrderKind::Unload && !has_strays => {
                    self.accepted(server, &order);
                    return Ok(());
                }
                Ok(OrderReply::Conflict) if !unanswered && tries % TRIES != 0 => {
                    silent = 0;
                    sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
                Ok(reply @ (OrderReply::Conflict | OrderReply::Done)) => {
                    silent = 0;
                    if self.settle(server, &order, reply).await? {
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
                    silent += 1;
                    if error == CallError::Unanswered {
                        unanswered = true;
                        self.with_engine(server, |engine| engine.orders_inflight = true);
                    }
                    if silent < SILENT_TRIES {
                        sleep(BUSY_PAUSE).await;
                        continue;
                    }
                    slog::info!(self.daemon.log, "order-given-up"; "server" => %server,
                        "expect" => order.expected_sequence, "tries" => tries);
                    let target = self.target(server)?;
                    self.daemon.record_health(&target.service, server, Evidence::Unreachable);
                    return Err(OrderFailure::Silent);
                }
            }
        }
        Err(OrderFailure::Silent)
    }

    /// Returns the number of accepted orders that an order must expect.
    ///
    /// Only what the engine is known to hold makes that number a guard: with another state behind it, the order would
    /// be carried out all the same. And only what is there counts as an order when it is unloaded.
    fn expected(
        &self,
        server: &ServerInstance,
        kind: &OrderKind,
        model: &ModelName,
        adapter: Option<&SmolStr>,
    ) -> Result<u64, OrderFailure> {
        let config = self.daemon.config().ok_or(OrderFailure::Doubted)?;
        let expect = self.with_engine(server, |engine| {
            let service = config.services.get(&engine.server.service);
            let spec = service.and_then(|service| service.engine.as_ref())?;
            let is_fit = match kind {
                OrderKind::Load => engine.has_room(spec, model, adapter),
                OrderKind::Unload => engine.has(model, adapter),
            };
            (engine.confirmed && is_fit).then_some(engine.sequence)
        });
        expect.ok_or(OrderFailure::Ended)?.ok_or(OrderFailure::Doubted)
    }

    /// Sends an order once; the inner error says why it has no answer.
    async fn try_order(
        &self,
        server: &ServerInstance,
        order: &EngineOrder,
        tries: usize,
    ) -> Result<Result<OrderReply, CallError>, OrderFailure> {
        let daemon = &self.daemon;
        let target = self.target(server)?;
        let request = daemon.protocol.order_request(&target, order);
        let answer = self.calls.call(server, target.addr, request, ANSWER_LIMIT).await;
        let reply = answer.map(|(status, _)| daemon.protocol.order_reply(status));
        let shown = match &reply {
            Ok(reply) => format!("{reply:?}"),
            Err(error) => error.to_string(),
        };
        slog::info!(daemon.log, "order"; "server" => %server, "op" => order.kind.name(),
            "model" => order.model.as_str(), "adapter" => order.adapter.as_deref().unwrap_or("-"),
            "expect" => order.expected_sequence, "fence" => order.fence, "tries" => tries, "reply" => shown);
        Ok(reply)
    }

    /// Announces a change at an engine: its orders are given while the guard lives.
    pub fn begin_orders(&self, server: &ServerInstance, fence: Fence) -> OrdersGuard {
        OrdersGuard::new(&self.daemon, engine_key(&server.id), fence)
    }

    /// Waits until an engine may be ordered under `fence`.
    async fn wait_for_lease(
        &self,
        server: &ServerInstance,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        let daemon = &self.daemon;
        let engine = engine_key(&server.id);
        loop {
            let listed = daemon.lease_renewed.notified();
            if daemon.lease.borrow().fence_for(engine, daemon.now()) == Some(fence) {
                return Ok(());
            }
            if daemon.held_fence() != Some(fence) {
                return Err(OrderFailure::LeaseLost);
            }
            let _waited = timeout(BUSY_PAUSE, listed).await;
        }
    }

    fn accepted(&self, server: &ServerInstance, order: &EngineOrder) {
        let now = self.daemon.now();
        self.with_engine(server, |engine| {
            engine.sequence = order.expected_sequence + 1;
            engine.orders_inflight = false;
            engine.changed = now;
            if order.kind == OrderKind::Unload {
                engine.remove_target(&order.model, order.adapter.as_ref());
            }
        });
    }

    /// Finds out from the engine's report whether an order was carried out, which no clear answer told; the engine table
    /// then has what the report says.
    ///
    /// The number of accepted orders alone does not tell: another order that expected the same one may have been carried
    /// out in its place, by a change that was given up or by an earlier lease holder, however long ago.
    async fn settle(
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
                if reply == OrderReply::Done && waited < REPORT_AGE {
                    continue;
                }
                // At work on the order before; the next try may find it idle.
                return Ok(false);
            }
            let is_next = report.sequence == order.expected_sequence + 1;
            if is_next && report.busy && waited < SETTLE_LIMIT {
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

    /// Reads the report of one start of an engine; none where it cannot be had.
    pub async fn fetch_report(&self, start: &ServerInstance) -> Option<EngineReport> {
        let daemon = &self.daemon;
        let server = self.target(start).ok()?;
        let request = daemon.protocol.report_request(&server);
        let answer = self.calls.call(start, server.addr, request, ANSWER_LIMIT).await;
        match answer {
            Ok((status, body)) if status.is_success() => {
                let report = daemon.protocol.parse_report(&body);
                let report = report.map_err(|error| {
                    slog::warn!(daemon.log, "report-unreadable"; "server" => %start,
                        "error" => %error);
                });
                report.ok().filter(|report| self.is_current(start, report))
            }
            Ok((status, _)) => {
                slog::info!(daemon.log, "report-refused"; "server" => %start,
                    "status" => status.as_u16());
                None
            }
            Err(error) => {
                slog::info!(daemon.log, "report-failed"; "server" => %start, "error" => %error);
                None
            }
        }
    }

    /// Takes in which start an engine reports for, and returns whether that is the one asked.
    fn is_current(&self, start: &ServerInstance, report: &EngineReport) -> bool {
        let told = ServerInstance { id: start.id.clone(), born: report.born };
        apply_updates::apply_start(&self.daemon, &told, "report") == InstanceOrder::Same
    }
}
