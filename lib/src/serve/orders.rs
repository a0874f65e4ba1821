//! The holder of the placement lease at work: renews the lease, plans, and gives orders to engines.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::ids::Fence;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::picture::configuration::Configuration;
use crate::picture::holdings::Holding;
use crate::place::demand::Demand;
use crate::place::entries;
use crate::place::entries::LeaseEntry;
use crate::place::entries::PLACEMENT;
use crate::place::ledger::AdapterJob;
use crate::place::ledger::Engine;
use crate::place::ledger::Job;
use crate::place::ledger::Source;
use crate::place::planner::Action;
use crate::place::planner::Scene;
use crate::place::tenure::Step;
use crate::protocol::EngineOrder;
use crate::protocol::EngineReport;
use crate::protocol::OrderKind;
use crate::protocol::OrderReply;
use crate::serve::call::CallError;
use crate::serve::call::call;
use crate::serve::entry::Entry;
use crate::serve::gossip::Gossip;
use crate::serve::observe::note_store;
use crate::store::Feed;
use crate::store::FeedRecord;
use crate::store::StoreError;

/// Time between plans while nothing happens.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// Time for an engine's answer to an order or a question: many times what it takes.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Pause before an engine that is busy with another order is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Tries of an order before the engine's report is read.
const TRIES: usize = 6;
/// An engine's report is some hundred milliseconds old.
const REPORT_LAG: Duration = Duration::from_millis(100);
/// Time between looks at a load that should be done.
const LOOK_EVERY: Duration = Duration::from_millis(70);
/// A load that is late by this much is given up; its engine's report is read anew.
const OVERDUE: Duration = Duration::from_secs(20);
/// Rest of an engine after a change that failed.
const REST: Duration = Duration::from_millis(400);
/// Time of an adapter's load, from the order to its first use.
const ADAPTER_TIME: Duration = Duration::from_millis(30);
/// What is told about an engine is repeated this often, for datagrams that are lost.
const TELLINGS: u8 = 3;
/// Daemons up to which every change is told to all at once. In a larger fleet those that wait are
/// told at once and all others in batches: a change told to 70 daemons costs a small host 1.5 ms.
const SMALL_FLEET: usize = 12;
/// Time between batches, for each daemon.
const BATCH_GAP: Duration = Duration::from_millis(8);
/// Part of the time that plans may take.
const PLAN_PART: u32 = 4;
/// Loads from the weight store that run at full speed at once, until measured otherwise.
const PARALLEL: usize = 4;
/// A load that takes this much longer than it should alone shows that the store is shared.
const SLOWED: f64 = 1.3;

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderFailure {
    /// The lease is no longer held.
    LeaseLost,
    /// The engine is not as believed.
    Mismatch,
    /// The engine does not answer.
    Silent,
}

/// The holder's own state.
#[derive(Debug)]
struct Desk {
    /// The fence under which the ledger is kept.
    fence: Option<Fence>,
    /// When the lease was first seen as held.
    since: Moment,
    /// When loads from the weight store began.
    loads: VecDeque<Moment>,
    /// How often each engine's holding is still to be told.
    untold: BTreeMap<ServerId, u8>,
    /// When holdings were last told to all.
    told: Moment,
    /// Engines whose report is being read.
    reading: Vec<ServerId>,
    /// Loads at once at full speed, as measured.
    parallel: usize,
}

/// Keeps the lease and gives orders.
#[derive(Debug)]
pub struct Orders {
    entry: Rc<Entry>,
    gossip: Rc<Gossip>,
    desk: std::cell::RefCell<Desk>,
}

impl Orders {
    /// Starts without the lease.
    pub fn new(entry: Rc<Entry>, gossip: Rc<Gossip>) -> Rc<Self> {
        let desk = Desk {
            fence: None,
            since: Moment::ZERO,
            loads: VecDeque::new(),
            untold: BTreeMap::new(),
            told: Moment::ZERO,
            reading: Vec::new(),
            parallel: PARALLEL,
        };
        Rc::new(Self { entry, gossip, desk: std::cell::RefCell::new(desk) })
    }

    /// Takes and renews the lease.
    pub async fn keep_lease(self: Rc<Self>) {
        let entry = &self.entry;
        loop {
            // A daemon that stops takes no new lease; one that it could not give up it keeps.
            if entry.stopping.get().is_some() && !entry.tenure.borrow().is_involved() {
                return;
            }
            if entry.config().is_none() || entry.isolated.get() {
                sleep(PLAN_EVERY).await;
                continue;
            }
            let now = entry.now();
            let heard = entry.peers.borrow().holder(now).map(|(_, _, tenure)| tenure);
            let step = entry.tenure.borrow_mut().next(now, heard);
            match step {
                Step::Sleep(until) => sleep(until.saturating_sub(now)).await,
                Step::Read => self.read_lease().await,
                Step::Append(at, record) => self.append_lease(at, &record).await,
            }
        }
    }

    async fn read_lease(&self) {
        let entry = &self.entry;
        let result = entry.store.newest(Feed::Leases).await;
        note_store(entry, Feed::Leases, result.as_ref().err());
        let now = entry.now();
        match result {
            Ok(batch) => {
                let newest = batch.records.iter().rev().find(|r| r.key == PLACEMENT);
                let raw = newest.and_then(|r| r.value.as_ref());
                let record = raw.and_then(|raw| entries::read::<LeaseEntry>(raw).ok());
                let was_held = entry.fence().is_some();
                entry.tenure.borrow_mut().read(now, record.clone(), batch.end);
                if was_held != entry.fence().is_some() {
                    slog::info!(entry.log, "lease"; "held" => !was_held,
                        "record" => ?record, "end" => batch.end);
                }
            }
            Err(_failed) => entry.tenure.borrow_mut().refused(now),
        }
    }

    async fn append_lease(&self, at: u64, record: &LeaseEntry) {
        let entry = &self.entry;
        let sent = entry.now();
        let value = entries::write(record);
        let feed_record = FeedRecord { key: SmolStr::new(PLACEMENT), value: Some(value) };
        let result = entry.store.append(Feed::Leases, feed_record, Some(at)).await;
        note_store(entry, Feed::Leases, result.as_ref().err());
        let now = entry.now();
        let mut tenure = entry.tenure.borrow_mut();
        match result {
            Ok(offset) => {
                tenure.appended(sent, now, offset);
                drop(tenure);
                if record.fence.is_none() {
                    slog::info!(entry.log, "lease"; "held" => true, "fence" => offset + 1,
                        "sent_ms_ago" => now.saturating_sub(sent).as_millis());
                    self.gossip.tell_digest();
                    entry.plan.notify_one();
                }
            }
            Err(StoreError::Moved | StoreError::Expired) => {
                slog::info!(entry.log, "lease-append-refused"; "at" => at);
                tenure.moved();
            }
            Err(StoreError::Refused(_)) => tenure.refused(now),
            Err(StoreError::Doubtful(error)) => {
                slog::info!(entry.log, "lease-append-doubtful"; "at" => at, "error" => error);
                tenure.doubtful(sent, now);
            }
        }
    }

    /// Gives the lease up, so that another daemon can take it at once; does nothing where it is not
    /// held or the store does not answer.
    pub async fn release(&self) {
        let entry = &self.entry;
        let Some((at, record)) = entry.tenure.borrow().release(entry.now()) else { return };
        let value = Some(entries::write(&record));
        let feed_record = FeedRecord { key: SmolStr::new(PLACEMENT), value };
        let result = entry.store.append(Feed::Leases, feed_record, Some(at)).await;
        slog::info!(entry.log, "lease-release"; "done" => result.is_ok(), "at" => at);
        // An append without an answer may have given it up: only proof of the contrary keeps it.
        if matches!(result, Ok(_) | Err(StoreError::Doubtful(_))) {
            entry.tenure.borrow_mut().released();
        }
        self.gossip.tell_digest();
    }

    /// Plans and begins steps while the lease is held.
    pub async fn place(self: Rc<Self>) {
        loop {
            let _woken = timeout(PLAN_EVERY, self.entry.plan.notified()).await;
            let began = self.entry.now();
            self.turn();
            // On a slow host plans must not crowd out requests.
            sleep(self.entry.now().saturating_sub(began) * PLAN_PART).await;
        }
    }

    fn turn(self: &Rc<Self>) {
        let entry = &self.entry;
        let fence = entry.fence();
        let Some(config) = entry.config() else { return };
        {
            let mut desk = self.desk.borrow_mut();
            if desk.fence != fence {
                desk.fence = fence;
                desk.since = entry.now();
                entry.ledger.borrow_mut().doubt_all();
                *entry.demand.borrow_mut() = Demand::default();
            }
        }
        let Some(fence) = fence else { return };
        entry.ledger.borrow_mut().follow(&entry.directory.borrow(), &config);
        self.read_unconfirmed();
        for action in self.plan(&config) {
            self.begin(action, fence);
        }
        self.tell(fence);
    }

    /// Returns how many loads from the weight store may begin.
    ///
    /// The ceiling is kept with room to spare, as loads begin some time after their orders; and a new
    /// holder does not know what the old one ordered, so it begins with half of it.
    fn store_room(&self, rate: f64, now: Moment) -> usize {
        let window = self.entry.settings().load_window;
        let mut desk = self.desk.borrow_mut();
        while desk.loads.front().is_some_and(|t| now > *t + window) {
            desk.loads.pop_front();
        }
        let part = if now < desk.since + window { 0.5 } else { 1.0 };
        let most = (rate * window.as_secs_f64() * part).floor().max(1.0) as usize;
        most.saturating_sub(desk.loads.len())
    }

    fn plan(&self, config: &Configuration) -> Vec<Action> {
        let entry = &self.entry;
        let now = entry.now();
        let ledger = entry.ledger.borrow();
        let demand = entry.demand.borrow();
        let health = entry.health.borrow();
        let rates = config.services.values().filter_map(|s| s.engine.as_ref()).map(|e| e.load_rate);
        let rate = rates.fold(f64::INFINITY, f64::min);
        let avoided = ledger.engines.keys().filter(|id| health.is_avoided(id, now)).cloned();
        let parallel = self.desk.borrow().parallel;
        let store_room = if rate.is_finite() { self.store_room(rate, now) } else { 0 };
        let scene = Scene {
            now,
            config,
            ledger: &ledger,
            demand: &demand,
            loads: &entry.loads,
            unreachable: avoided.collect(),
            parallel,
            store_room,
        };
        scene.plan()
    }

    /// Reads the reports of engines whose state is in doubt, before any order to them.
    fn read_unconfirmed(self: &Rc<Self>) {
        let entry = &self.entry;
        let now = entry.now();
        let ledger = entry.ledger.borrow();
        let mut desk = self.desk.borrow_mut();
        for (id, engine) in &ledger.engines {
            let is_idle = engine.job.is_none() && engine.adapters.is_empty();
            if engine.confirmed || !is_idle || now < engine.rest_until || desk.reading.contains(id)
            {
                continue;
            }
            desk.reading.push(id.clone());
            let orders = Rc::clone(self);
            let id = id.clone();
            spawn_local(async move {
                let result = orders.report(&id).await;
                orders.desk.borrow_mut().reading.retain(|r| *r != id);
                orders.take_report(&id, result.as_ref());
            });
        }
    }

    fn take_report(&self, id: &ServerId, report: Option<&EngineReport>) {
        let entry = &self.entry;
        let now = entry.now();
        let mut ledger = entry.ledger.borrow_mut();
        let Some(engine) = ledger.engines.get_mut(id) else { return };
        if engine.job.is_some() || !engine.adapters.is_empty() {
            return;
        }
        match report {
            Some(report) if !report.busy && report.sequence >= engine.sequence => {
                engine.confirm(report);
                self.desk.borrow_mut().untold.insert(id.clone(), TELLINGS);
                drop(ledger);
                entry.plan.notify_one();
            }
            _ => engine.rest_until = now + REST,
        }
    }

    async fn report(&self, id: &ServerId) -> Option<EngineReport> {
        let entry = &self.entry;
        let server = Rc::clone(entry.directory.borrow().get(id)?);
        let request = entry.protocol.report(&server);
        let answer = call(&entry.pool, &server.id, server.addr, request, ANSWER_LIMIT).await;
        match answer {
            Ok((status, body)) if status.is_success() => {
                let report = entry.protocol.read_report(&body);
                report
                    .map_err(|error| {
                        slog::warn!(entry.log, "report-unreadable"; "server" => %id,
                            "error" => %error);
                    })
                    .ok()
            }
            Ok((status, _)) => {
                slog::info!(entry.log, "report-refused"; "server" => %id,
                    "status" => status.as_u16());
                None
            }
            Err(error) => {
                slog::info!(entry.log, "report-failed"; "server" => %id, "error" => %error);
                None
            }
        }
    }

    fn begin(self: &Rc<Self>, action: Action, fence: Fence) {
        let entry = &self.entry;
        let now = entry.now();
        let mut ledger = entry.ledger.borrow_mut();
        match action {
            Action::Load { server, model, victims, source, time, reason } => {
                let Some(engine) = ledger.engines.get_mut(&server) else { return };
                slog::info!(entry.log, "load"; "server" => %server, "model" => model.as_str(),
                    "victims" => victims.join(","), "source" => ?source, "reason" => reason,
                    "expected_ms" => time.as_millis(), "fence" => fence,
                    "sequence" => engine.sequence,
                    "waiting" => entry.demand.borrow().waits(now).values().map(|w| w.waiting).sum::<u32>());
                let job = Job { model, victims, source, since: now, eta: now + time };
                engine.job = Some(job.clone());
                if source == Source::Store {
                    self.desk.borrow_mut().loads.push_back(now);
                }
                self.desk.borrow_mut().untold.insert(server.clone(), TELLINGS);
                let orders = Rc::clone(self);
                spawn_local(async move { orders.run_load(server, job, fence).await });
            }
            Action::Adapter { server, model, adapter, victim } => {
                let Some(engine) = ledger.engines.get_mut(&server) else { return };
                let eta = now + ADAPTER_TIME;
                let job = AdapterJob { model, adapter, eta };
                engine.adapters.push(job.clone());
                self.desk.borrow_mut().untold.insert(server.clone(), TELLINGS);
                let orders = Rc::clone(self);
                spawn_local(async move { orders.run_adapter(server, job, victim, fence).await });
            }
        }
    }

    fn with_engine<T>(&self, id: &ServerId, f: impl FnOnce(&mut Engine) -> T) -> Option<T> {
        self.entry.ledger.borrow_mut().engines.get_mut(id).map(f)
    }

    async fn run_load(self: Rc<Self>, server: ServerId, job: Job, fence: Fence) {
        let result = self.carry_out(&server, &job, fence).await;
        let entry = &self.entry;
        let now = entry.now();
        slog::info!(entry.log, "load-ended"; "server" => %server, "model" => job.model.as_str(),
            "source" => ?job.source, "result" => ?result,
            "ms" => now.saturating_sub(job.since).as_millis());
        self.with_engine(&server, |engine| {
            engine.job = None;
            match result {
                Ok(()) => engine.loaded(&job.model, now),
                Err(_failure) => {
                    engine.confirmed = false;
                    engine.rest_until = now + REST;
                }
            }
        });
        self.publish(&server, &job.model, fence);
    }

    /// Unloads the victims, loads the model, and waits until it is there.
    async fn carry_out(
        &self,
        server: &ServerId,
        job: &Job,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        // Peers hear that the victims leave before the engine does.
        self.publish(server, &job.model, fence);
        for victim in &job.victims {
            self.order(server, OrderKind::Unload, victim, None, fence).await?;
            self.with_engine(server, |engine| engine.unloaded(victim));
        }
        let began = self.entry.now();
        self.order(server, OrderKind::Load, &job.model, None, fence).await?;
        let time = self.plain_time(server, job);
        let accepted = self.entry.now();
        let eta = accepted + time;
        self.with_engine(server, |engine| {
            if let Some(job) = &mut engine.job {
                job.eta = eta;
            }
        });
        self.publish(server, &job.model, fence);
        sleep(time.saturating_sub(REPORT_LAG)).await;
        loop {
            if self.entry.fence() != Some(fence) {
                return Err(OrderFailure::LeaseLost);
            }
            if let Some(report) = self.report(server).await
                && !report.busy
                && report.models.iter().any(|m| m.name == job.model)
            {
                self.learn_parallel(server, job, began);
                return Ok(());
            }
            if self.entry.now() > eta + OVERDUE {
                return Err(OrderFailure::Silent);
            }
            sleep(LOOK_EVERY).await;
        }
    }

    /// The time of a load that shares the weight store with those under way.
    fn plain_time(&self, server: &ServerId, job: &Job) -> Duration {
        let entry = &self.entry;
        let config = entry.config();
        let ledger = entry.ledger.borrow();
        let service = ledger.engines.get(server).map(|e| e.server.service.clone());
        let spec = service.and_then(|s| {
            config?.services.get(&s)?.engine.as_ref()?.models.get(&job.model).cloned()
        });
        let Some(spec) = spec else { return job.eta.saturating_sub(job.since) };
        match job.source {
            Source::Memory => spec.warm,
            Source::Disk => spec.disk,
            Source::Store => {
                let is_fetch =
                    |e: &&Engine| e.job.as_ref().is_some_and(|j| j.source == Source::Store);
                let fetching = ledger.engines.values().filter(is_fetch).count();
                let parallel = self.desk.borrow().parallel;
                spec.load.mul_f64((fetching as f64 / parallel as f64).max(1.0))
            }
        }
    }

    /// Learns from a load's time how many the weight store serves at full speed.
    fn learn_parallel(&self, server: &ServerId, job: &Job, began: Moment) {
        if job.source != Source::Store {
            return;
        }
        let entry = &self.entry;
        let took = entry.now().saturating_sub(began).saturating_sub(REPORT_LAG).as_secs_f64();
        let config = entry.config();
        let ledger = entry.ledger.borrow();
        let alone = ledger.engines.get(server).and_then(|e| {
            let service = config.as_ref()?.services.get(&e.server.service)?;
            Some(service.engine.as_ref()?.models.get(&job.model)?.load.as_secs_f64())
        });
        let Some(alone) = alone.filter(|a| *a > 0.0) else { return };
        let is_fetch = |e: &&Engine| e.job.as_ref().is_some_and(|j| j.source == Source::Store);
        let fetching = ledger.engines.values().filter(is_fetch).count().max(1);
        let factor = took / alone;
        let mut desk = self.desk.borrow_mut();
        if factor > SLOWED && fetching <= desk.parallel {
            let fitting = (fetching as f64 / factor).floor().max(1.0) as usize;
            if fitting < desk.parallel {
                slog::info!(entry.log, "weight-store-shared"; "took_s" => took, "alone_s" => alone,
                    "at_once" => fetching, "full_speed" => fitting);
                desk.parallel = fitting;
            }
        }
    }

    async fn run_adapter(
        self: Rc<Self>,
        server: ServerId,
        job: AdapterJob,
        victim: Option<(ModelName, SmolStr)>,
        fence: Fence,
    ) {
        let result = self.carry_out_adapter(&server, &job, victim.as_ref(), fence).await;
        let entry = &self.entry;
        let now = entry.now();
        slog::info!(entry.log, "adapter"; "server" => %server, "model" => job.model.as_str(),
            "adapter" => job.adapter.as_str(), "result" => ?result,
            "victim" => victim.as_ref().map_or("-", |(_, a)| a.as_str()));
        self.with_engine(&server, |engine| {
            engine.adapters.retain(|a| *a != job);
            match result {
                Ok(()) => {
                    let held = engine.models.iter_mut().find(|m| m.name == job.model);
                    if let Some(held) = held
                        && !held.adapters.contains(&job.adapter)
                    {
                        held.adapters.push(job.adapter.clone());
                    }
                }
                Err(_failure) => {
                    engine.confirmed = false;
                    engine.rest_until = now + REST;
                }
            }
        });
        self.publish(&server, &job.model, fence);
    }

    async fn carry_out_adapter(
        &self,
        server: &ServerId,
        job: &AdapterJob,
        victim: Option<&(ModelName, SmolStr)>,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        // Orders to one engine go one after the other: each expects the number of those before.
        while self
            .with_engine(server, |e| e.adapters.first().is_some_and(|first| first != job))
            .unwrap_or(false)
        {
            sleep(Duration::from_millis(3)).await;
        }
        if let Some((model, adapter)) = victim {
            self.order(server, OrderKind::Unload, model, Some(adapter), fence).await?;
            self.with_engine(server, |engine| {
                for held in engine.models.iter_mut().filter(|m| m.name == *model) {
                    held.adapters.retain(|a| a != adapter);
                }
            });
        }
        self.order(server, OrderKind::Load, &job.model, Some(&job.adapter), fence).await?;
        sleep(ADAPTER_TIME).await;
        Ok(())
    }

    /// Gives one order until it is accepted.
    ///
    /// Every try expects the same number of accepted orders, so that only one of them can be carried
    /// out, however late an unanswered one arrives.
    async fn order(
        &self,
        server: &ServerId,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<&SmolStr>,
        fence: Fence,
    ) -> Result<(), OrderFailure> {
        let entry = &self.entry;
        let expect = self.with_engine(server, |e| e.sequence).ok_or(OrderFailure::Mismatch)?;
        let mut unanswered = false;
        for tries in 0..TRIES * 10 {
            if entry.fence() != Some(fence) {
                return Err(OrderFailure::LeaseLost);
            }
            let target =
                entry.directory.borrow().get(server).cloned().ok_or(OrderFailure::Mismatch)?;
            let order = EngineOrder {
                kind: kind.clone(),
                model: model.clone(),
                adapter: adapter.cloned(),
                expect,
                holder: entry.settings().id.clone(),
                fence,
            };
            let request = entry.protocol.order(&target, &order);
            let answer = call(&entry.pool, &target.id, target.addr, request, ANSWER_LIMIT).await;
            let reply = match answer {
                Ok((status, _)) => entry.protocol.order_reply(status),
                Err(CallError::Unsent) if tries >= TRIES => return Err(OrderFailure::Silent),
                Err(error) => {
                    slog::info!(entry.log, "order-unanswered"; "server" => %server,
                        "model" => model.as_str(), "expect" => expect, "error" => %error);
                    unanswered |= error == CallError::Unanswered;
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
                OrderReply::Conflict if tries % TRIES != TRIES - 1 => sleep(BUSY_PAUSE).await,
                OrderReply::Conflict => {
                    self.settle_conflict(server, expect, unanswered).await?;
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

    fn accepted(&self, server: &ServerId, sequence: u64) {
        self.with_engine(server, |engine| engine.sequence = engine.sequence.max(sequence));
    }

    /// Finds out whether an order that had no answer was carried out after all.
    async fn settle_conflict(
        &self,
        server: &ServerId,
        expect: u64,
        unanswered: bool,
    ) -> Result<(), OrderFailure> {
        sleep(REPORT_LAG).await;
        let report = self.report(server).await.ok_or(OrderFailure::Silent)?;
        slog::info!(self.entry.log, "order-conflict"; "server" => %server, "expect" => expect,
            "sequence" => report.sequence, "busy" => report.busy, "unanswered" => unanswered);
        if report.sequence == expect {
            // Busy with the order before; the next try may find it idle.
            return Ok(());
        }
        if unanswered && report.sequence == expect + 1 {
            self.accepted(server, report.sequence);
            return Ok(());
        }
        Err(OrderFailure::Mismatch)
    }

    /// Tells this daemon and those that wait for `model` what an engine holds; the others follow.
    fn publish(&self, server: &ServerId, model: &ModelName, fence: Fence) {
        let entry = &self.entry;
        let now = entry.now();
        self.desk.borrow_mut().untold.insert(server.clone(), TELLINGS);
        let told = self.with_engine(server, |e| (e.server.service.clone(), e.holding(now)));
        if let Some((service, holding)) = told {
            let demand = entry.demand.borrow();
            let waiting = demand.waiting_daemons(&service, &[model.as_str()]);
            let waiting: Vec<_> = waiting.into_iter().cloned().collect();
            drop(demand);
            self.gossip.tell_holding(fence, &holding, &waiting);
            self.put(fence, vec![holding]);
        }
        entry.plan.notify_one();
    }

    fn put(&self, fence: Fence, list: Vec<Holding>) {
        let entry = &self.entry;
        let now = entry.now();
        let directory = entry.directory.borrow();
        let mut holdings = entry.holdings.borrow_mut();
        for holding in list {
            let beat = directory.get(&holding.server).map_or(0, |s| s.beat);
            holdings.put(fence, holding, beat, now);
        }
        drop(holdings);
        entry.waits.changed.notify_waiters();
    }

    /// Tells all daemons what changed, in a large fleet in batches.
    fn tell(&self, fence: Fence) {
        let entry = &self.entry;
        let now = entry.now();
        let daemons = entry.peers.borrow().daemons();
        let gap = if daemons <= SMALL_FLEET { Duration::ZERO } else { BATCH_GAP * daemons as u32 };
        let mut desk = self.desk.borrow_mut();
        if desk.untold.is_empty() || now < desk.told + gap {
            return;
        }
        desk.told = now;
        let ledger = entry.ledger.borrow();
        let mut list = Vec::new();
        desk.untold.retain(|id, left| {
            list.extend(ledger.engines.get(id).map(|e| e.holding(now)));
            *left -= 1;
            *left > 0
        });
        drop(ledger);
        drop(desk);
        self.gossip.tell_holdings(fence, &list);
        self.put(fence, list);
    }
}
