//! Handles a caller's request: reads it, finds its route, and answers with a server's response or a refusal.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request;
use http::uri::PathAndQuery;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Incoming;
use rand::RngExt as _;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::configuration::CallerLimits;
use crate::cluster::configuration::Route;
use crate::cluster::configuration::RouteKind;
use crate::cluster::configuration::ServiceName;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::quarantine_report::RequestProgress;
use crate::serve::active_request::ActiveRequest;
use crate::serve::attempt::Attempt;
use crate::serve::attempt::ParsedRequest;
use crate::serve::authorize::Authorized;
use crate::serve::authorize::authorize;
use crate::serve::body::ReplyBody;
use crate::serve::daemon_state::DaemonState;
use crate::serve::exchange_plain;
use crate::serve::exchange_stream;
use crate::serve::exchange_stream::OpenOutcome;
use crate::serve::quotas;
use crate::serve::reply::Refusal;
use crate::serve::reply::forward_response;
use crate::serve::unanswered::UnansweredAttempt;
use crate::verdict::Verdict;

/// Time limit for a caller to send the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// Retry delay for a caller if this daemon's configuration or list of servers is missing, incomplete or possibly old.
pub const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry delay for a caller if this daemon is stopping or isolated, so that another daemon should take the request.
pub const OTHER_DAEMON_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Reason for the log and the caller if a request ends without an answer because the daemon stops.
pub const STOPPING_REASON: &str = "this daemon stops";
/// Reason for the log if a caller closed the connection before the end of the response.
pub const CALLER_LEFT: &str = "the caller left";

/// Answers a request, which counts as in progress until its response is written.
pub async fn handle_request(
    daemon: Rc<DaemonState>,
    active: ActiveRequest,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let arrived = daemon.now();
    let (parts, body) = request.into_parts();
    let mut response = match read_request(&daemon, parts, body, arrived).await {
        Ok(attempt) => {
            active.begin_serving(daemon.now());
            answer(&daemon, attempt).await
        }
        Err((parts, refusal)) => refuse_unrouted(&daemon, &parts, &refusal),
    };
    if daemon.closes_connections() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.body_mut().attach_request(active);
    response
}

fn refuse_unrouted(
    daemon: &DaemonState,
    parts: &request::Parts,
    refusal: &Refusal,
) -> Response<ReplyBody> {
    let caller_headers = daemon.protocol.parse_caller_headers(&parts.headers);
    let config = daemon.config_version();
    slog::info!(daemon.log, "request-refused";
        "attempt" => caller_headers.attempt.as_deref().unwrap_or("-"),
        "status" => refusal.status.as_u16(), "reason" => refusal.reason, "config" => config,
        "config_age_ms" => daemon.config_age(daemon.now()).as_millis(),
        "host" => host(parts), "path" => parts.uri.path());
    daemon.metrics.record_refusal(refusal.reason);
    refusal.response()
}

/// Returns the host that a request names.
pub(super) fn host(parts: &request::Parts) -> &str {
    let header = parts.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    header.or_else(|| parts.uri.authority().map(http::uri::Authority::as_str)).unwrap_or("")
}

/// Finds the route and the workspace, reads the whole body and picks the route's service.
async fn read_request(
    daemon: &DaemonState,
    mut parts: request::Parts,
    body: Incoming,
    arrived: Moment,
) -> Result<Attempt, (request::Parts, Refusal)> {
    let Some(config) = daemon.config() else {
        let refusal = Refusal::not_run("no configuration yet", UNREADY_RETRY_AFTER);
        return Err((parts, refusal));
    };
    // A caller without a route or a valid API key does not make this daemon hold a body.
    if let Err(refusal) = authorize(daemon, &config, &parts) {
        return Err((parts, refusal));
    }
    let body = tokio::select! {
        biased;
        body = read_body(daemon, body, config.limits) => body,
        () = daemon.aborted() => Err(Refusal::not_run(STOPPING_REASON, OTHER_DAEMON_RETRY_AFTER)),
    };
    let body = match body {
        Ok(body) => body,
        Err(refusal) => return Err((parts, refusal)),
    };
    // The configuration may have changed while the body was received.
    let config = daemon.config().unwrap_or(config);
    let Authorized { route, workspace } = match authorize(daemon, &config, &parts) {
        Ok(authorized) => authorized,
        Err(refusal) => return Err((parts, refusal)),
    };
    if !config.workspaces.is_empty() {
        daemon.protocol.remove_api_key(&mut parts.headers);
    }
    let Some(service) = pick_service(&route) else {
        return Err((parts, Refusal::not_run("the route has no service", UNREADY_RETRY_AFTER)));
    };
    let caller_headers = daemon.protocol.parse_caller_headers(&parts.headers);
    let time_limit = caller_headers.timeout.map_or(route.timeout, |p| p.min(route.timeout));
    let target = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let fingerprint = Fingerprint::new(&parts.method, host(&parts), target, &body);
    let parsed = ParsedRequest { parts, body, fingerprint, caller_headers };
    let mut attempt = Attempt::new(parsed, config, route, service, arrived, arrived + time_limit);
    attempt.workspace = workspace;
    Ok(attempt)
}

async fn read_body(
    daemon: &DaemonState,
    mut body: Incoming,
    limits: CallerLimits,
) -> Result<Bytes, Refusal> {
    let limit = limits.max_body;
    let too_large =
        || Refusal::client_error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    let declared = body.size_hint().lower();
    // Whatever the configuration allows, a longer one never fits in the memory of this host.
    if declared > limit.min(daemon.request_bytes.longest()) as u64 {
        return Err(too_large());
    }
    let no_memory = || Refusal::not_run("no memory for the body", OTHER_DAEMON_RETRY_AFTER);
    while !daemon.request_bytes.has_room(declared as usize) {
        if !end_stalled_body(daemon, limits).await {
            return Err(no_memory());
        }
    }
    let mut bytes = daemon.request_bytes.buffer();
    let receive = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_broken| {
                Refusal::client_error(StatusCode::BAD_REQUEST, "the body broke off")
            })?;
            let data = frame.into_data().unwrap_or_default();
            while bytes.extend(&data).is_err() {
                if !end_stalled_body(daemon, limits).await {
                    return Err(no_memory());
                }
            }
            if bytes.len() > limit {
                return Err(too_large());
            }
        }
        Ok(())
    };
    match timeout(BODY_TIMEOUT, receive).await {
        Ok(read) => read?,
        Err(_elapsed) => {
            return Err(Refusal::client_error(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not come in time",
            ));
        }
    }
    Ok(bytes.freeze())
}

/// Ends the connection whose body takes longest, if it takes longer than a head may, and lets it return its memory. Returns
/// false if there is none.
async fn end_stalled_body(daemon: &DaemonState, limits: CallerLimits) -> bool {
    let is_ended = daemon.callers.evict_stalled(daemon.now(), limits.head_timeout);
    if is_ended {
        daemon.log_ended_callers();
        yield_now().await;
    }
    is_ended
}

/// Picks a service of the route at random in proportion to the weights.
fn pick_service(route: &Route) -> Option<ServiceName> {
    let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return route.targets.first().map(|(name, _)| name.clone());
    }
    let mut draw = rand::rng().random_range(0..total);
    for (name, weight) in &route.targets {
        if draw < *weight {
            return Some(name.clone());
        }
        draw -= weight;
    }
    None
}

async fn answer(daemon: &Rc<DaemonState>, mut attempt: Attempt) -> Response<ReplyBody> {
    if let Some(refusal) = daemon.quarantine_refusal(&attempt) {
        return refuse(daemon, &mut attempt, &refusal);
    }
    if let Err(refusal) = quotas::charge(daemon, &mut attempt).await {
        return refuse(daemon, &mut attempt, &refusal);
    }
    if let Some(model_target) = attempt.model_target() {
        daemon.model_waits.count_arrival(&model_target, attempt.arrived);
    }
    let sent_at = daemon.standstill.earliest_send(daemon.now());
    daemon.retry_budgets.borrow_mut().record_first(&attempt.service, sent_at);
    if daemon.now() > daemon.latest_start(attempt.deadline) {
        return refuse(
            daemon,
            &mut attempt,
            &Refusal::not_run(STOPPING_REASON, OTHER_DAEMON_RETRY_AFTER),
        );
    }
    let unanswered = UnansweredAttempt::new(daemon, &mut attempt);
    let result = tokio::select! {
        biased;
        result = exchange(daemon, &mut *unanswered.attempt) => result.map_err(Some),
        () = daemon.aborted() => Err(None),
    };
    unanswered.mark_answered();
    let result = result.map_err(|refusal| {
        refusal.unwrap_or_else(|| attempt.cancel(STOPPING_REASON, OTHER_DAEMON_RETRY_AFTER))
    });
    match result {
        Ok(OpenOutcome::Whole(head, body)) => {
            attempt.verdict = Verdict::Ran;
            daemon.record_progress(&attempt, RequestProgress::Complete);
            log_request(daemon, &attempt, head.status, "answered", None);
            forward_response(head, body)
        }
        Ok(OpenOutcome::Stream(started)) => exchange_stream::spawn_relay(daemon, attempt, *started),
        Err(refusal) => refuse(daemon, &mut attempt, &refusal),
    }
}

async fn exchange(daemon: &Rc<DaemonState>, attempt: &mut Attempt) -> Result<OpenOutcome, Refusal> {
    if attempt.route.kind == RouteKind::Streaming {
        return exchange_stream::open_stream(daemon, attempt).await;
    }
    let (head, body) = exchange_plain::run(daemon, attempt).await?;
    Ok(OpenOutcome::Whole(head, body))
}

fn refuse(daemon: &DaemonState, attempt: &mut Attempt, refusal: &Refusal) -> Response<ReplyBody> {
    quotas::give_back(daemon, attempt);
    log_request(daemon, attempt, refusal.status, refusal.reason, None);
    daemon.metrics.record_refusal(refusal.reason);
    let mut response = refusal.response();
    if let Some(id) = &attempt.caller_headers.attempt {
        daemon.protocol.set_attempt_id(response.headers_mut(), id);
    }
    response
}

/// Logs how a request ended, in one line, and counts its verdict.
///
/// `first_event` is the time of the first event of a stream.
pub fn log_request(
    daemon: &DaemonState,
    attempt: &Attempt,
    status: StatusCode,
    reason: &str,
    first_event: Option<Moment>,
) {
    let now = daemon.now();
    let ms = |t: Moment| t.saturating_sub(attempt.arrived).as_millis();
    daemon.metrics.record_answer(&attempt.route.name, attempt.verdict);
    if attempt.sends > 0 && !daemon.slowdowns.is_unused() {
        daemon.metrics.record_slowdown(attempt.slowdown);
    }
    slog::info!(daemon.log, "request"; "attempt" => attempt.id(), "print" => %attempt.fingerprint,
        "route" => attempt.route.name.as_str(), "workspace" => attempt.workspace_name(), "service" => attempt.service.as_str(),
        "model" => attempt.caller_headers.model.as_deref().unwrap_or("-"),
        "adapter" => attempt.caller_headers.adapter.as_deref().unwrap_or("-"),
        "parts" => attempt.shown_parts(),
        "server" => attempt.last_server.as_ref().map_or("-", |s| s.id.as_str()),
        "version" => attempt.last_version.as_str(),
        "origin" => attempt.version().map_or("-", |version| version.as_str()),
        "resumes" => attempt.caller_headers.resumes.as_deref().unwrap_or("-"),
        "after" => attempt.caller_headers.last_event.unwrap_or(0),
        "among" => attempt.candidate_count, "cost_ms" => attempt.cost.round() as i64,
        "running" => attempt.running, "slowdown" => format_args!("{:.2}", attempt.slowdown), "events" => attempt.events,
        "status" => status.as_u16(), "verdict" => %attempt.verdict, "reason" => reason,
        "sends" => attempt.sends, "late" => attempt.is_late,
        "quota_ms" => attempt.quota_wait.as_millis(), "queued_ms" => attempt.queue_wait.as_millis(), "waited_ms" => attempt.model_wait.as_millis(),
        "pause_ms" => attempt.max_pause.as_millis(), "first_ms" => first_event.map_or(-1, |t| ms(t) as i64),
        "ms" => ms(now), "left_ms" => attempt.deadline.saturating_sub(now).as_millis(),
        "config" => attempt.config.version);
}
