//! One attempt of a caller: the request, its deadline, and the results of its sends to servers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::request;

use crate::boot_clock::Moment;
use crate::cluster::configuration::Configuration;
use crate::cluster::configuration::Route;
use crate::cluster::configuration::RouteKind;
use crate::cluster::configuration::ServiceName;
use crate::cluster::directory::Server;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::open_send::OpenSend;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::stream_origin::StreamOrigin;
use crate::cluster::workloads::WorkloadKey;
use crate::cluster::workspace::Tokens;
use crate::cluster::workspace::Workspace;
use crate::ids::SoftwareVersion;
use crate::placement::demand::ModelTarget;
use crate::protocol::CallerHeaders;
use crate::protocol::SendHeaders;
use crate::serve::choose::ChosenServer;
use crate::serve::confirm_server::UNCONFIRMED;
use crate::serve::daemon_state::DaemonState;
use crate::serve::failover_origin::FailoverOrigin;
use crate::serve::headers::strip_hop_by_hop;
use crate::serve::origin_exchange::publish_origin;
use crate::serve::quotas::QuotaCharge;
use crate::serve::reply::Refusal;
use crate::serve::send::Disconnect;
use crate::serve::send::SendFailure;
use crate::serve::trials::Trial;
use crate::verdict::Verdict;

/// Largest priority number that engines accept; a larger number runs later.
const MAX_PRIORITY: u8 = 9;
/// Added to the priority number of a late request, so that it runs after those that can still meet their goals:
/// more than there are kinds of requests.
const LATE_PRIORITY_OFFSET: u8 = 5;
/// A server counts as unresponsive if a whole response takes this many latency goals; a goal is several times the
/// usual run time.
const UNRESPONSIVE_GOALS: u32 = 3;
/// A server counts as unresponsive after this fraction of the stall timeout without a first event, which leaves
/// another server the rest.
const FIRST_EVENT_FRACTION: f64 = 0.6;

/// Maximum number of prompt parts in a log line.
pub(super) const MAX_LOGGED_PARTS: usize = 8;

/// An attempt whose request was read whole and matched a route.
#[derive(Debug)]
pub struct Attempt {
    /// Method, path and headers as the caller sent them.
    pub parts: request::Parts,
    /// Body of the request.
    pub body: Bytes,
    /// Fingerprint of the request, the same for all its attempts.
    pub fingerprint: Fingerprint,
    /// Parsed protocol headers of the caller.
    pub caller_headers: CallerHeaders,
    /// Parts of its prompt that other requests may share, in their order; empty unless the service has engines.
    pub prompt_parts: Vec<PromptPart>,
    /// Configuration in force when the request arrived.
    pub config: Rc<Configuration>,
    /// Route that the request matched.
    pub route: Route,
    /// Workspace of the caller; `None` if the request needs no API key and has none.
    pub workspace: Option<Rc<Workspace>>,
    /// Tokens that it took from the quota of the workspace.
    pub charge: Option<QuotaCharge>,
    /// Service that handles the request.
    pub service: ServiceName,
    /// Service and software version that began the stream, once it has an event; only their servers may continue it.
    pub origin: Option<StreamOrigin>,
    /// Time of arrival.
    pub arrived: Moment,
    /// Time by which the caller must have the response.
    pub deadline: Moment,
    /// Whether the request has run, not counting a send in progress.
    pub verdict: Verdict,
    /// Whether a send is in progress.
    pub sending: bool,
    /// Servers at which a send failed or was refused.
    pub tried: Vec<ServerInstance>,
    /// Whether it failed over from an unresponsive server, which might still have answered.
    pub failed_over: bool,
    /// Number of servers that may have run the request.
    pub possible_runs: u32,
    /// Number of sends so far.
    pub sends: u32,
    /// Number of failed sends that reached a server; a send after the first of them takes from the retry budget.
    pub failed_deliveries: u32,
    /// The last send.
    pub last_send: Option<OpenSend>,
    /// Server of the last send.
    pub last_server: Option<ServerInstance>,
    /// Software version of that server; `-` before the first send.
    pub last_version: SoftwareVersion,
    /// Whether it runs after requests that can still meet their goals.
    pub is_late: bool,
    /// Expected wait for a slot at the server of the last send.
    pub queue_wait: Duration,
    /// Estimated cost of the last chosen server, in milliseconds.
    pub cost: f64,
    /// Number of servers that the last one was chosen from.
    pub candidate_count: usize,
    /// Known requests in progress at the server of the last send, when it was chosen.
    pub running: u32,
    /// How many times the usual time work was expected to take there.
    pub slowdown: f64,
    /// Number of events received from the server of the last send.
    pub events: u32,
    /// Number of tried servers that did not answer a health check before it was to be sent.
    pub unconfirmed: u32,
    /// Reason why the last send failed.
    pub reason: &'static str,
    /// Time spent waiting for tokens of the workspace's quota.
    pub quota_wait: Duration,
    /// Time spent waiting for a model.
    pub model_wait: Duration,
    /// Trial of the request while it is a suspect; `None` once its outcome is recorded.
    pub trial: Option<Trial>,
    /// Time of the last send.
    pub sent_at: Moment,
    /// Time of the first event from the server of the last send.
    pub first_event: Option<Moment>,
    /// Same as `first_event`, but cleared once events have been received for a while.
    pub unproven_since: Option<Moment>,
    /// Longest pause between events so far.
    pub max_pause: Duration,
    /// Whether it was answered whole.
    pub survived: Rc<Cell<bool>>,
}

/// A request that was read whole.
#[derive(Debug)]
pub struct ParsedRequest {
    /// Method, path and headers as the caller sent them.
    pub parts: request::Parts,
    /// Body of the request.
    pub body: Bytes,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Parsed protocol headers of the caller.
    pub caller_headers: CallerHeaders,
}

impl Attempt {
    /// Creates an attempt that was sent to no server yet.
    pub fn new(
        request: ParsedRequest,
        config: Rc<Configuration>,
        route: Route,
        service: ServiceName,
        arrived: Moment,
        deadline: Moment,
    ) -> Self {
        let ParsedRequest { parts, body, fingerprint, caller_headers } = request;
        let has_engines = config.services.get(&service).is_some_and(|s| s.engine.is_some());
        let ids = caller_headers.prompt_parts.iter().filter(|_| has_engines);
        let prompt_parts = ids.map(|id| PromptPart { service: service.clone(), id: *id }).collect();
        Self {
            parts,
            body,
            fingerprint,
            caller_headers,
            prompt_parts,
            config,
            route,
            workspace: None,
            charge: None,
            service,
            origin: None,
            arrived,
            deadline,
            verdict: Verdict::DidNotRun,
            sending: false,
            tried: Vec::new(),
            failed_over: false,
            possible_runs: 0,
            sends: 0,
            failed_deliveries: 0,
            last_send: None,
            last_server: None,
            last_version: SoftwareVersion::new("-"),
            is_late: false,
            queue_wait: Duration::ZERO,
            cost: 0.0,
            candidate_count: 0,
            running: 0,
            slowdown: 1.0,
            events: 0,
            unconfirmed: 0,
            reason: "",
            quota_wait: Duration::ZERO,
            model_wait: Duration::ZERO,
            trial: None,
            unproven_since: None,
            sent_at: arrived,
            first_event: None,
            max_pause: Duration::ZERO,
            survived: Rc::default(),
        }
    }

    /// Returns the model and adapter that the request needs; `None` if its service has no engines or it names
    /// no model.
    pub fn model_target(&self) -> Option<ModelTarget> {
        let service = self.config.services.get(&self.service)?;
        service.engine.as_ref()?;
        Some(ModelTarget {
            service: self.service.clone(),
            model: self.caller_headers.model.clone()?,
            adapter: self.caller_headers.adapter.clone(),
            version: self.version().cloned(),
        })
    }

    /// Returns the software version of the servers that may take the request; `None` if all may.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        self.origin.as_ref().map(|origin| &origin.version)
    }

    /// Returns the priority of the request; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref();
        workspace.and_then(|workspace| workspace.priority).unwrap_or(self.route.priority)
    }

    /// Returns the name of the caller's workspace for log lines, or `-` if there is none.
    pub fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("-", |workspace| workspace.name.as_str())
    }

    /// Returns the tokens that the request counts towards a quota.
    pub fn tokens(&self) -> Tokens {
        let plain = self.workspace.as_ref().map_or(0, |workspace| workspace.plain_tokens);
        self.caller_headers.total_tokens.unwrap_or(plain)
    }

    /// Returns the key under which the request counts towards the workload of `server`.
    pub fn workload_key(&self, server: &Server) -> WorkloadKey {
        WorkloadKey { server: server.instance(), model: self.model_target().map(|i| i.model) }
    }

    /// Returns whether another send is ruled out: the request may have run, and its route allows no second run.
    pub fn must_not_retry(&self) -> bool {
        self.verdict != Verdict::DidNotRun && !self.route.is_retryable()
    }

    /// Returns whether another server may be tried, not counting the retry budget.
    pub fn may_retry(&self, now: Moment) -> bool {
        now < self.deadline
            && !self.must_not_retry()
            && self.possible_runs < self.route.max_attempts
    }

    /// Builds the request to send to `server`; a stream resumes after event `resume_after` if given. The send adds the time
    /// that is left.
    pub fn request(
        &self,
        daemon: &DaemonState,
        server: &Server,
        resume_after: Option<u64>,
    ) -> Request<Bytes> {
        let offset = if self.is_late { LATE_PRIORITY_OFFSET } else { 0 };
        let level = self.priority().saturating_add(offset).min(MAX_PRIORITY);
        let priority = self.model_target().map(|_| level);
        let workspace = self.workspace.as_ref().map(|workspace| workspace.name.clone());
        let server = server.id.clone();
        let terms = SendHeaders { server, priority, resume_after, workspace };
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        let mut headers = self.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        daemon.protocol.set_send_headers(&mut headers, &terms);
        *request.headers_mut() = headers;
        request
    }

    /// Returns whether the request may run at another server while the current one may also run it.
    pub fn may_fail_over(&self) -> bool {
        self.route.is_retryable() && self.possible_runs + 1 < self.route.max_attempts
    }

    /// Returns the time without a response after which a server counts as unresponsive.
    ///
    /// An engine sends nothing for a queued request until it has a slot. With a fixed timeout a full engine counted
    /// as dead: its requests failed over, and other engines processed their prompts again.
    pub fn response_timeout(&self) -> Duration {
        match self.route.kind {
            RouteKind::Streaming => {
                self.route.stall_timeout().mul_f64(FIRST_EVENT_FRACTION) + self.queue_wait
            }
            _ => self.route.latency_goal * UNRESPONSIVE_GOALS,
        }
    }

    /// Records the first event of the response.
    ///
    /// The version of the server whose first event the caller gets becomes that of the stream, which later sends keep.
    pub fn record_first_event(&mut self, daemon: &Rc<DaemonState>, first: Moment) {
        let began =
            StreamOrigin { service: self.service.clone(), version: self.last_version.clone() };
        let origin = self.origin.get_or_insert(began).clone();
        if !origin.version.is_empty() {
            publish_origin(daemon, self, &origin);
        }
        self.first_event = Some(first);
        self.unproven_since = Some(first);
        daemon.record_progress(self, RequestProgress::FirstEvent);
        daemon.end_passed_trial(self);
    }

    /// Ends the trial of a suspect, so that its next copy may be sent: whether a server crashed is recorded by now.
    pub fn end_trial(&mut self) {
        self.trial = None;
    }

    /// Returns the tried servers and the server of the last send.
    pub fn all_tried(&self) -> Vec<ServerInstance> {
        self.tried.iter().chain(&self.last_server).cloned().collect()
    }

    /// Records a failover from an unresponsive server; returns the state for `cancel_failover`.
    pub fn begin_failover(&mut self, daemon: &DaemonState) -> FailoverOrigin {
        let (server, verdict, failed_over) =
            (self.last_server.clone(), self.verdict, self.failed_over);
        let version = self.last_version.clone();
        let origin = FailoverOrigin { server, version, verdict, failed_over };
        self.record_failure(daemon, &SendFailure::may_have_run("the server fell silent"));
        self.failed_over = true;
        origin
    }

    /// Records that the next server refused the request, and restores the state at the unresponsive one.
    pub fn cancel_failover(
        &mut self,
        daemon: &DaemonState,
        failure: &SendFailure,
        origin: FailoverOrigin,
    ) {
        self.record_failure(daemon, failure);
        self.failed_over = origin.failed_over;
        self.possible_runs -= 1;
        self.failed_deliveries -= 1;
        self.verdict = origin.verdict;
        self.tried.retain(|s| Some(s) != origin.server.as_ref());
        self.last_server = origin.server;
        self.last_version = origin.version;
        self.sending = true;
        self.assign_trial();
    }

    /// Returns the last send if no retry counts for it and its request may still arrive: it is the repeat if the next send
    /// arrives first.
    pub fn unanswered_send(&self) -> Option<OpenSend> {
        self.last_send.clone().filter(|send| !send.is_retry && send.ended_at().is_none())
    }

    /// Records a send to a chosen server; returns it.
    pub fn record_send(&mut self, chosen: &ChosenServer, now: Moment) -> OpenSend {
        let retry = chosen.retry.clone();
        let send = retry.unwrap_or_else(|| OpenSend::begin(chosen.server.instance(), now, false));
        self.last_send = Some(send.clone());
        self.sends += 1;
        self.sent_at = now;
        self.sending = true;
        self.first_event = None;
        self.unproven_since = None;
        self.last_server = Some(chosen.server.instance());
        self.last_version = chosen.server.version.clone();
        self.queue_wait = chosen.queue_wait;
        self.cost = chosen.cost;
        self.candidate_count = chosen.candidate_count;
        self.running = chosen.running;
        self.slowdown = chosen.slowdown;
        self.events = 0;
        self.assign_trial();
        send
    }

    /// Records that the trial of a suspect is at the server of the last send.
    fn assign_trial(&self) {
        if let (Some(trial), Some(server)) = (&self.trial, &self.last_server) {
            trial.assign(server.clone());
        }
    }

    /// Returns the refusal for a cancelled request; its verdict states whether the request may have run.
    pub fn cancel(&mut self, reason: &'static str, retry_after: Duration) -> Refusal {
        if self.sending {
            self.verdict = self.verdict.combine(Verdict::MayHaveRun);
        }
        Refusal::failed(self.verdict, reason, retry_after)
    }

    /// Records a failed send, and what it shows about the server's health and models.
    pub fn record_failure(&mut self, daemon: &DaemonState, failure: &SendFailure) {
        self.sending = false;
        self.reason = failure.reason;
        self.unconfirmed += u32::from(failure.reason == UNCONFIRMED);
        self.failed_deliveries += u32::from(failure.delivered);
        self.verdict = self.verdict.combine(failure.verdict);
        if failure.verdict != Verdict::DidNotRun {
            self.possible_runs += 1;
        }
        let Some(server) = self.last_server.clone() else { return };
        if failure.lacks_model {
            self.record_missing_model(daemon, &server);
        }
        if let Some(evidence) = failure.evidence {
            daemon.record_health(&self.service, &server, evidence);
        }
        slog::info!(daemon.log, "send-failed"; "attempt" => self.id(), "print" => %self.fingerprint,
            "server" => %server, "reason" => failure.reason, "verdict" => %failure.verdict,
            "broke" => failure.disconnect.map_or("-", Disconnect::name), "parts" => self.shown_parts(),
            "ms" => daemon.now().saturating_sub(self.arrived).as_millis());
        self.tried.push(server);
    }

    fn record_missing_model(&self, daemon: &DaemonState, server: &ServerInstance) {
        let Some(model_target) = self.model_target() else { return };
        let directory = daemon.directory.borrow();
        if let Some(server) = directory.get(&server.id).filter(|s| s.born == server.born) {
            daemon.inventories.borrow_mut().mark_missing(
                server,
                &model_target.model,
                model_target.adapter.as_deref(),
            );
        }
    }

    /// Returns the ids of the first prompt parts for log lines, or `-` if there are none.
    pub fn shown_parts(&self) -> String {
        let ids = self.prompt_parts.iter().take(MAX_LOGGED_PARTS);
        let ids: Vec<_> = ids.map(|part| format!("{:x}", part.id)).collect();
        if ids.is_empty() { "-".to_owned() } else { ids.join(",") }
    }

    /// Returns the caller's id of this attempt for log lines, or `-` if there is none.
    pub fn id(&self) -> &str {
        self.caller_headers.attempt.as_deref().unwrap_or("-")
    }
}
