//! One request of a caller on its way: its terms, its time and what its sends came to.

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
use crate::cluster::quarantine_report::RequestProgress;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::workloads::WorkloadKey;
use crate::placement::demand::ModelTarget;
use crate::protocol::CallerHeaders;
use crate::protocol::SendHeaders;
use crate::serve::choose::ChosenServer;
use crate::serve::daemon_state::DaemonState;
use crate::serve::failover_origin::FailoverOrigin;
use crate::serve::headers::strip_hop_by_hop;
use crate::serve::reply::Refusal;
use crate::serve::send::Disconnect;
use crate::serve::send::SendFailure;
use crate::serve::trials::Trial;
use crate::verdict::Verdict;

/// Highest rank number that engines know.
const LAST_PRIORITY: u8 = 9;
/// Ranks by which a request that will be late comes after those that can still be punctual: more than there are
/// kinds of requests.
const LATE_RANKS: u8 = 5;
/// A server is silent when a whole answer takes this many goals; a goal is several times the usual work.
const SEND_GOALS: u32 = 3;
/// A server is silent when a first event takes this part of the caller's patience: another one still has
/// the rest of it.
const FIRST_PART: f64 = 0.6;

/// A request that was read whole and has a route.
#[derive(Debug)]
pub struct Attempt {
    /// Method, path and headers as the caller sent them.
    pub parts: request::Parts,
    /// The whole body.
    pub body: Bytes,
    /// What is the same in every attempt at this request.
    pub fingerprint: Fingerprint,
    /// What the caller said beside them.
    pub terms: CallerHeaders,
    /// The configuration that was in force when it came.
    pub config: Rc<Configuration>,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub service: ServiceName,
    /// When it came.
    pub arrived: Moment,
    /// When it must have its answer.
    pub deadline: Moment,
    /// What is known of it running, but for a send that is under way.
    pub verdict: Verdict,
    /// Whether a send is under way.
    pub sending: bool,
    /// Servers that it was sent to in vain.
    pub tried: Vec<ServerInstance>,
    /// Whether it has left a silent server, which would have gone on.
    pub failed_over: bool,
    /// Servers that may have run it.
    pub possible_runs: u32,
    /// Sends so far.
    pub sends: u32,
    /// Sends that reached a server; only further ones draw on the retry budget.
    pub deliveries: u32,
    /// The server of the last send.
    pub last_server: Option<ServerInstance>,
    /// Whether it comes after requests that can still be punctual.
    pub is_late: bool,
    /// How long the last server was expected to let it wait for a place.
    pub queue_wait: Duration,
    /// What the last server's choice cost, in estimated milliseconds.
    pub cost: f64,
    /// Servers that it was chosen among.
    pub candidate_count: usize,
    /// Why the last send failed.
    pub reason: &'static str,
    /// How long it waited for a model.
    pub model_wait: Duration,
    /// Set while it is at an engine as a suspect.
    pub trial: Option<Trial>,
    /// When it was last sent.
    pub sent_at: Moment,
    /// When the server of the last send gave its first event.
    pub first_event: Option<Moment>,
    /// The same, until its events have gone on for a while.
    pub young_since: Option<Moment>,
    /// The longest pause between its events so far.
    pub max_pause: Duration,
}

impl Attempt {
    /// Returns what it needs of an engine, where its service has engines.
    pub fn item(&self) -> Option<ModelTarget> {
        let service = self.config.services.get(&self.service)?;
        service.engine.as_ref()?;
        Some(ModelTarget {
            service: self.service.clone(),
            model: self.terms.model.clone()?,
            adapter: self.terms.adapter.clone(),
        })
    }

    /// Returns where its work counts at a server.
    pub fn workload_key(&self, server: &Server) -> WorkloadKey {
        WorkloadKey { server: server.instance(), model: self.item().map(|i| i.model) }
    }

    /// Returns whether it must not run a second time.
    pub fn must_not_retry(&self) -> bool {
        self.verdict != Verdict::DidNotRun && !self.route.is_retryable()
    }

    /// Returns whether another server may still be tried, the budget aside.
    pub fn may_retry(&self, now: Moment) -> bool {
        now < self.deadline
            && !self.must_not_retry()
            && self.possible_runs < self.route.max_attempts
    }

    /// Makes the request of a send to `server`.
    pub fn request(
        &self,
        daemon: &DaemonState,
        server: &Server,
        resume_after: Option<u64>,
    ) -> Request<Bytes> {
        let behind = if self.is_late { LATE_RANKS } else { 0 };
        let rank = self.route.priority.saturating_add(behind).min(LAST_PRIORITY);
        let priority = self.item().map(|_| rank);
        let time_left = self.deadline.saturating_sub(daemon.now());
        let terms = SendHeaders { server: server.id.clone(), time_left, priority, resume_after };
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        let mut headers = self.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        daemon.protocol.set_send_headers(&mut headers, &terms);
        *request.headers_mut() = headers;
        request
    }

    /// Returns whether it may run at another server though the one that has it now may run it too.
    pub fn may_fail_over(&self) -> bool {
        self.route.is_retryable() && self.possible_runs + 1 < self.route.max_attempts
    }

    /// Returns how long the answer to a send is waited for before the server counts as silent.
    ///
    /// A request in an engine's queue hears nothing until it has a place. With a fixed time a full engine was taken
    /// for a dead one: its requests left it, and had their prompts read once more elsewhere.
    pub fn silence_timeout(&self) -> Duration {
        match self.route.kind {
            RouteKind::Streaming => {
                self.route.stall_timeout().mul_f64(FIRST_PART) + self.queue_wait
            }
            _ => self.route.latency_goal * SEND_GOALS,
        }
    }

    /// Notes the first event of its answer.
    pub fn record_first_event(&mut self, daemon: &DaemonState, first: Moment) {
        self.first_event = Some(first);
        self.young_since = Some(first);
        self.trial = None;
        daemon.record_passed(self, RequestProgress::FirstEvent);
    }

    /// Returns the servers that it was sent to, the last one too.
    pub fn all_tried(&self) -> Vec<ServerInstance> {
        self.tried.iter().chain(&self.last_server).cloned().collect()
    }

    /// Notes that it leaves a silent server, and returns how it stood there.
    pub fn begin_failover(&mut self, daemon: &DaemonState) -> FailoverOrigin {
        let (server, verdict, failed_over) =
            (self.last_server.clone(), self.verdict, self.failed_over);
        let origin = FailoverOrigin { server, verdict, failed_over };
        self.record_failure(daemon, &SendFailure::may_have_run("the server fell silent"));
        self.failed_over = true;
        origin
    }

    /// Takes in that the next server refused it, so that it stays with the silent one.
    pub fn cancel_failover(
        &mut self,
        daemon: &DaemonState,
        failure: &SendFailure,
        origin: FailoverOrigin,
    ) {
        self.record_failure(daemon, failure);
        self.failed_over = origin.failed_over;
        self.possible_runs -= 1;
        self.deliveries -= 1;
        self.verdict = origin.verdict;
        self.tried.retain(|s| Some(s) != origin.server.as_ref());
        self.last_server = origin.server;
        self.sending = true;
    }

    /// Notes a send to a chosen server.
    pub fn record_send(&mut self, chosen: &ChosenServer, now: Moment) {
        self.sends += 1;
        self.sent_at = now;
        self.sending = true;
        self.first_event = None;
        self.young_since = None;
        self.last_server = Some(chosen.server.instance());
        self.queue_wait = chosen.queue_wait;
        self.cost = chosen.cost;
        self.candidate_count = chosen.candidate_count;
    }

    /// Gives the request up wherever it is; the caller is told whether it may have run.
    pub fn give_up(&mut self, reason: &'static str, retry: Duration) -> Refusal {
        if self.sending {
            self.verdict = self.verdict.combine(Verdict::MayHaveRun);
        }
        Refusal::failed(self.verdict, reason, retry)
    }

    /// Takes in that a send failed.
    pub fn record_failure(&mut self, daemon: &DaemonState, failure: &SendFailure) {
        self.sending = false;
        self.trial = None;
        self.reason = failure.reason;
        self.deliveries += u32::from(failure.delivered);
        self.verdict = self.verdict.combine(failure.verdict);
        if failure.verdict != Verdict::DidNotRun {
            self.possible_runs += 1;
        }
        let Some(server) = self.last_server.clone() else { return };
        if failure.lacks_model {
            self.note_lack(daemon, &server);
        }
        daemon.record_health(&self.service, &server, failure.evidence);
        slog::info!(daemon.log, "send-failed"; "attempt" => self.id(), "print" => %self.fingerprint,
            "server" => %server, "reason" => failure.reason, "verdict" => %failure.verdict,
            "broke" => failure.disconnect.map_or("-", Disconnect::name),
            "ms" => daemon.now().saturating_sub(self.arrived).as_millis());
        self.tried.push(server);
    }

    fn note_lack(&self, daemon: &DaemonState, server: &ServerInstance) {
        let Some(item) = self.item() else { return };
        let directory = daemon.directory.borrow();
        if let Some(server) = directory.get(&server.id).filter(|s| s.born == server.born) {
            daemon.inventories.borrow_mut().mark_missing(
                server,
                &item.model,
                item.adapter.as_deref(),
            );
        }
    }

    /// Returns the caller's id of this attempt, for the log.
    pub fn id(&self) -> &str {
        self.terms.attempt.as_deref().unwrap_or("-")
    }
}
