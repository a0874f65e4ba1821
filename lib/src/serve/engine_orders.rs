//! Orders to one engine, given until they are accepted or known to be in vain.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::ids::Fence;
use crate::ids::ModelName;
use crate::picture::directory::Server;
use crate::picture::health::Evidence;
use crate::picture::server_start::ServerStart;
use crate::picture::starts::StartOrder;
use crate::place::ledger::Engine;
use crate::place::order_effect::is_carried_out;
use crate::place::recent_orders::engine_key;
use crate::protocol::EngineOrder;
use crate::protocol::EngineReport;
use crate::protocol::OrderKind;
use crate::protocol::OrderReply;
use crate::serve::call::CallError;
use crate::serve::change_guard::ChangeGuard;
use crate::serve::engine_calls::EngineCalls;
use crate::serve::entry::Entry;
use crate::serve::observe;

/// Time for an engine's answer to an order or a question: many times what it takes.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// First pause before an engine that is busy with another order is asked again; doubled each time.
const BUSY_PAUSE: Duration = Duration::from_millis(30);
/// Longest such pause: unloading waits for requests that run, which takes seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(480);
/// Tries of an order before the engine's report is read.
const TRIES: usize = 6;
/// Tries without an answer, one after the other, after which an engine counts as out of reach: callers wait for what it
/// was to load, and a cut-off data centre's engines never answer.
const SILENT_TRIES: usize = 3;
/// Times that the report is read before an order is given up.
const REPORTS: usize = 10;
/// Longest time after which an engine carries out an order that it did not answer.
pub const STRAY: Duration = Duration::from_secs(15);
/// An engine's report is some hundred milliseconds old.
pub const REPORT_LAG: Duration = Duration::from_millis(100);

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFailure {
    /// The lease is no longer held.
    LeaseLost,
    /// The engine is not as believed.
    Mismatch,
    /// The engine does not answer.
    Silent,
    /// The engine is gone or has started again: nothing of the order is left.
    Ended,
}

/// Gives orders to engines.
#[derive(Debug)]
pub struct EngineOrders {
    entry: Rc<Entry>,
    calls: Rc<dyn EngineCalls>,
}

impl EngineOrders {
    /// Gives orders for a daemon.
    pub fn new(entry: Rc<Entry>, calls: Rc<dyn EngineCalls>) -> Self {
        Self { entry, calls }
    }

    /// Calls `f` with the ledger's page on one start of an engine, where there is one.
    pub fn with_engine<T>(
        &self,
        start: &ServerStart,
        f: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        self.entry.ledger.borrow_mut().engine_of(start).map(f)
    }

    /// Returns the server where the start that an order is meant for still runs, as far as known.
    ///
    /// An id alone does not tell starts apart: the next one would carry out an order whose number of
    /// accepted orders happens to be its own.
    fn target(&self, start: &ServerStart) -> Result<Rc<Server>, OrderFailure> {
        let directory = self.entry.directory.borrow();
        let server = directory.get(&start.id).filter(|s| s.born == start.born);
        server.cloned().ok_or(OrderFailure::Ended)
    }

    /// Ends what waits for an engine that is gone or has started again.
    ///
    /// # Errors
    ///
    /// The start is over.
    pub fn check_start(&self, start: &ServerStart) -> Result<(), OrderFailure> {
        self.target(start).map(|_server| ())
    }

    /// Gives one order until it is accepted.
    ///
    /// The change that it belongs to must have been announced. Every try expects the same number of accepted
    /// orders, so that only one of them can be carried out, however late an unanswered one arrives.
    ///
    /// # Errors
    ///
    /// The lease is lost, or the engine is silent or not as believed.
    pub async fn order(
        &self,
        server: &ServerStart,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<&SmolStr>,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        let mut unanswered = false;
        let result = self.try_order(server, kind, model, adapter, fence, &mut unanswered).await;
        if unanswered && result.is_err() {
            let until = self.entry.now() + STRAY;
            self.with_engine(server, |engine| engine.stray_until = until);
        }
        result
    }

    async fn try_order(
        &self,
        server: &ServerStart,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<&SmolStr>,
        fence: Fence,
        unanswered: &mut bool,
    ) -> Result<(), OrderFailure> {
        let entry = &self.entry;
        let expect = self.with_engine(server, |e| e.sequence).ok_or(OrderFailure::Ended)?;
        let mut silent = 0;
        let mut pause = BUSY_PAUSE;
        for tries in 0..TRIES * REPORTS {
            self.wait_for_lease(server, fence).await?;
            let target = self.target(server)?;
            let order = EngineOrder {
                kind: kind.clone(),
                model: model.clone(),
                adapter: adapter.cloned(),
                expect,
                holder: entry.settings().id.clone(),
                fence,
            };
            let request = entry.protocol.order(&target, &order);
            let answer = self.calls.call(server, target.addr, request, ANSWER_LIMIT).await;
            let reply = match answer {
                Ok((status, _)) => {
                    silent = 0;
                    let reply = entry.protocol.order_reply(status);
                    self.log_reply(server, &order, tries, reply);
                    reply
                }
                Err(error) if silent + 1 >= SILENT_TRIES => {
                    slog::info!(entry.log, "order-given-up"; "server" => %server,
                        "op" => kind.name(), "model" => model.as_str(),
                        "adapter" => adapter.map_or("-", SmolStr::as_str), "expect" => expect,
                        "error" => %error);
                    entry.note_health(&target.service, server, Evidence::Unreachable);
                    return Err(OrderFailure::Silent);
                }
                Err(error) => {
                    silent += 1;
                    slog::info!(entry.log, "order-unanswered"; "server" => %server,
                        "op" => kind.name(), "model" => model.as_str(),
                        "adapter" => adapter.map_or("-", SmolStr::as_str), "expect" => expect,
                        "error" => %error);
                    *unanswered |= error == CallError::Unanswered;
                    sleep(BUSY_PAUSE).await;
                    continue;
                }
            };
            match reply {
                OrderReply::Accepted => {
                    self.accepted(server, expect + 1);
                    return Ok(());
                }
                OrderReply::Done if kind == OrderKind::Unload => {
                    self.accepted(server, expect + 1);
                    return Ok(());
                }
                OrderReply::Done => return Ok(()),
                OrderReply::Conflict if tries % TRIES != TRIES - 1 => {
                    sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
                OrderReply::Conflict => {
                    self.settle_conflict(server, &order, *unanswered).await?;
                    if self.with_engine(server, |e| e.sequence) != Some(expect) {
                        return Ok(());
                    }
                }
                OrderReply::Fenced => {
                    slog::warn!(entry.log, "order-fenced"; "server" => %server, "fence" => fence);
                    entry.tenure.borrow_mut().lost();
                    return Err(OrderFailure::LeaseLost);
                }
                OrderReply::Misdirected | OrderReply::Refused => {
                    slog::info!(entry.log, "order-refused"; "server" => %server,
                        "model" => model.as_str(), "reply" => ?reply);
                    return Err(OrderFailure::Mismatch);
                }
            }
        }
        Err(OrderFailure::Silent)
    }

    fn log_reply(
        &self,
        server: &ServerStart,
        order: &EngineOrder,
        tries: usize,
        reply: OrderReply,
    ) {
        slog::info!(self.entry.log, "order-answered"; "server" => %server, "op" => order.kind.name(),
            "model" => order.model.as_str(), "adapter" => order.adapter.as_deref().unwrap_or("-"),
            "expect" => order.expect, "fence" => order.fence, "tries" => tries + 1,
            "reply" => ?reply);
    }

    /// Announces a change at an engine: its orders are given while the guard lives.
    pub fn announce(&self, server: &ServerStart, fence: Fence) -> ChangeGuard {
        ChangeGuard::new(&self.entry, engine_key(&server.id), fence)
    }

    /// Waits until an engine may be ordered under `fence`.
    async fn wait_for_lease(&self, server: &ServerStart, fence: Fence) -> Result<(), OrderFailure> {
        let entry = &self.entry;
        let engine = engine_key(&server.id);
        loop {
            let listed = entry.orders_listed.notified();
            if entry.tenure.borrow().fence_for(engine, entry.now()) == Some(fence) {
                return Ok(());
            }
            if entry.standing() != Some(fence) {
                return Err(OrderFailure::LeaseLost);
            }
            let _waited = timeout(BUSY_PAUSE, listed).await;
        }
    }

    fn accepted(&self, server: &ServerStart, sequence: u64) {
        self.with_engine(server, |engine| engine.sequence = engine.sequence.max(sequence));
    }

    /// Finds out whether an order that had no answer was carried out after all.
    async fn settle_conflict(
        &self,
        server: &ServerStart,
        order: &EngineOrder,
        unanswered: bool,
    ) -> Result<(), OrderFailure> {
        let expect = order.expect;
        sleep(REPORT_LAG).await;
        let report = self.report(server).await;
        self.check_start(server)?;
        let report = report.ok_or(OrderFailure::Silent)?;
        slog::info!(self.entry.log, "order-conflict"; "server" => %server, "expect" => expect,
            "sequence" => report.sequence, "busy" => report.busy, "unanswered" => unanswered);
        if report.sequence == expect {
            // Busy with the order before; the next try may find it idle.
            return Ok(());
        }
        let now = self.entry.now();
        let has_strays = self.entry.ledger.borrow().has_strays(&server.id, now);
        let is_shown =
            || is_carried_out(&report, &order.kind, &order.model, order.adapter.as_ref());
        if unanswered && report.sequence == expect + 1 && (!has_strays || is_shown()) {
            self.accepted(server, report.sequence);
            return Ok(());
        }
        Err(OrderFailure::Mismatch)
    }

    /// Reads the report of one start of an engine; none where it cannot be had.
    pub async fn report(&self, start: &ServerStart) -> Option<EngineReport> {
        let entry = &self.entry;
        let server = self.target(start).ok()?;
        let request = entry.protocol.report(&server);
        let answer = self.calls.call(start, server.addr, request, ANSWER_LIMIT).await;
        match answer {
            Ok((status, body)) if status.is_success() => {
                let report = entry.protocol.read_report(&body);
                let report = report.map_err(|error| {
                    slog::warn!(entry.log, "report-unreadable"; "server" => %start,
                        "error" => %error);
                });
                report.ok().filter(|report| self.is_current(start, report))
            }
            Ok((status, _)) => {
                slog::info!(entry.log, "report-refused"; "server" => %start,
                    "status" => status.as_u16());
                None
            }
            Err(error) => {
                slog::info!(entry.log, "report-failed"; "server" => %start, "error" => %error);
                None
            }
        }
    }

    /// Takes in which start an engine reports for, and returns whether that is the one asked.
    fn is_current(&self, start: &ServerStart, report: &EngineReport) -> bool {
        let told = ServerStart { id: start.id.clone(), born: report.born };
        observe::take_start(&self.entry, &told, "report") == StartOrder::Same
    }
}
