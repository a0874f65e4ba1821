//! State that the threads of one daemon share, and the messages to its control thread.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use slog::Logger;
use smol_str::SmolStr;

use crate::backend_client::BackendClient;
use crate::claim_outcomes::ClaimOutcomes;
use crate::decision_log::DecisionLog;
use crate::decision_log::LoggedDecision;
use crate::event::ClaimAnswer;
use crate::event::Decision;
use crate::event::DecisionKind;
use crate::event::EditAnswer;
use crate::event::Event;
use crate::ids::ClaimKey;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::load_rates::LoadRates;
use crate::metrics::Metrics;
use crate::record::Entry;
use crate::replicated_state::ReplicatedState;
use crate::request_limits::RequestLimits;
use crate::retry_budget::RetryBudget;
use crate::router::Router;
use crate::routing_view::RoutingView;
use crate::settings::Settings;
use crate::table::Edit;
use crate::timer::Clock;
use crate::wait_estimator::WaitEstimator;
use crate::wait_queue::WaitQueue;

/// Messages to the control thread.
pub enum ControlInput {
    /// An event for the control state machine.
    Event(Event),
    /// Replaces the whole state by one from a snapshot or a peer.
    InstallState(Box<ReplicatedState>),
    /// Requests the claim for a request that must not run twice.
    Claim(ClaimKey, flume::Sender<ClaimAnswer>),
    /// Applies an operator's edit.
    Edit(Edit, flume::Sender<EditAnswer>),
    /// Requests a copy of the state.
    GetState(flume::Sender<ReplicatedState>),
    /// Requests the log entries from this offset on; the answer is `None` if they are not kept.
    GetEntries(Offset, flume::Sender<Option<Vec<(Offset, Entry)>>>),
    /// Reports the offset up to which a peer has read the log, and the hash of its state at
    /// an earlier checkpoint offset.
    PeerOffset(SmolStr, Offset, (Offset, u64)),
    /// Stops the control thread.
    Shutdown,
}

impl fmt::Debug for ControlInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Input")
    }
}

/// State that all threads of a daemon share.
#[derive(Debug)]
pub struct Node {
    /// Validated settings of this daemon.
    pub settings: Settings,
    /// Counts the starts of this daemon.
    pub incarnation: Incarnation,
    /// Clock that starts at the daemon's start.
    pub clock: Clock,
    /// Current routing view; replaced as a whole.
    pub view: ArcSwap<RoutingView>,
    /// Load rates learned from completed loads.
    pub load_rates: Mutex<LoadRates>,
    /// Requests that wait for a replica.
    pub waiting: WaitQueue,
    /// Outcomes of claimed requests.
    pub outcomes: ClaimOutcomes,
    /// Channel to the control thread.
    pub control: flume::Sender<ControlInput>,
    /// Client that sends requests to backend servers.
    pub backend_client: Arc<dyn BackendClient>,
    /// Instruments behind `/metrics`.
    pub metrics: Metrics,
    /// Recent decisions, for `explain`.
    pub decision_log: DecisionLog,
    /// Logger of this daemon.
    pub log: Logger,
    /// Whether the daemon is stopping and accepts no new work.
    pub stopping: AtomicBool,
    /// Offset up to which this daemon has read the log.
    pub applied_offset: AtomicU64,
    /// Offsets up to which peers have read the log.
    pub peer_offsets: Mutex<BTreeMap<SmolStr, Offset>>,
    router: Mutex<Router>,
    limits: Mutex<RequestLimits>,
    retry_budget: Mutex<RetryBudget>,
    wait_estimator: Mutex<WaitEstimator>,
    request_count: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Creates the shared state of a daemon.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        control: flume::Sender<ControlInput>,
        backend_client: Arc<dyn BackendClient>,
        log: Logger,
    ) -> Self {
        let centre = settings.centre.clone();
        Self {
            clock: Clock::start(),
            view: ArcSwap::default(),
            load_rates: Mutex::default(),
            waiting: WaitQueue::new(settings.max_queue),
            outcomes: ClaimOutcomes::default(),
            router: Mutex::new(Router::new(centre, incarnation)),
            limits: Mutex::new(RequestLimits::new(settings.max_requests, settings.caller_requests)),
            retry_budget: Mutex::default(),
            wait_estimator: Mutex::default(),
            metrics: Metrics::new(),
            decision_log: DecisionLog::default(),
            stopping: AtomicBool::new(false),
            applied_offset: AtomicU64::new(0),
            peer_offsets: Mutex::default(),
            request_count: AtomicU64::new(0),
            settings,
            incarnation,
            control,
            backend_client,
            log,
        }
    }

    /// Returns the time since the daemon's start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns a new request id, unique across all daemons and their starts.
    pub fn next_request_id(&self) -> SmolStr {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        SmolStr::new(format!("{}-{:x}-{number}", self.settings.id, self.incarnation))
    }

    /// Locks the router.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        lock(&self.router)
    }

    /// Locks the limits on requests in progress.
    pub fn limits(&self) -> MutexGuard<'_, RequestLimits> {
        lock(&self.limits)
    }

    /// Locks the retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Locks the wait estimator.
    pub fn wait_estimator(&self) -> MutexGuard<'_, WaitEstimator> {
        lock(&self.wait_estimator)
    }

    /// Returns a copy of the learned load rates.
    pub fn load_rates(&self) -> LoadRates {
        *lock(&self.load_rates)
    }

    /// Publishes a new routing view and wakes waiting requests for which it has capacity.
    pub fn publish(&self, view: RoutingView) {
        self.view.store(Arc::new(view));
        self.wake_waiting();
    }

    /// Wakes waiting requests whose model has a replica with free capacity.
    pub fn wake_waiting(&self) {
        if self.waiting.is_empty() {
            return;
        }
        let now = self.now();
        let view = self.view.load();
        self.waiting.wake_ready(now, |model| self.router().free_capacity(now, &view, model));
    }

    /// Returns whether the daemon is stopping and accepts no new work.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Sends a message to the control thread; returns `false` if that thread has ended.
    pub fn send(&self, input: ControlInput) -> bool {
        self.control.send(input).is_ok()
    }

    /// Requests the state from the control thread; `None` if no answer comes within five seconds.
    pub fn state(&self) -> Option<ReplicatedState> {
        let (sender, receiver) = flume::bounded(1);
        self.send(ControlInput::GetState(sender));
        receiver.recv_timeout(Duration::from_secs(5)).ok()
    }

    /// Logs a decision of the control thread and keeps it for `explain`.
    pub fn log_decision(&self, decision: &Decision) {
        let Decision { action, model, place, reason } = decision;
        let event = if is_placement(*action) { "placement" } else { "control" };
        slog::info!(self.log, "{event}"; "reason" => reason, "place" => place.as_str(),
            "model" => model.as_str(), "action" => action.as_str());
        let line = LoggedDecision {
            at: 0.0,
            request: SmolStr::default(),
            model: model.clone(),
            action: action.as_str(),
            place: place.clone(),
            reason: reason.clone(),
        };
        self.decision_log.add(self.now(), line);
    }

    /// Logs a decision about a request and keeps it for `explain`.
    pub fn log_routing(
        &self,
        request: &SmolStr,
        model: &str,
        action: &'static str,
        place: &str,
        reason: impl Into<String>,
    ) {
        let reason = reason.into();
        slog::info!(self.log, "routing"; "reason" => &reason, "place" => place,
            "model" => model, "action" => action, "request" => request.as_str());
        let line = LoggedDecision {
            at: 0.0,
            request: request.clone(),
            model: model.into(),
            action,
            place: place.into(),
            reason,
        };
        self.decision_log.add(self.now(), line);
    }
}

fn is_placement(action: DecisionKind) -> bool {
    !matches!(
        action,
        DecisionKind::Bid | DecisionKind::Lead | DecisionKind::Yield | DecisionKind::Accept
    )
}
