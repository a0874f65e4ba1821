//! Asks servers whether they run, before they get a request, where servers of their service have stood still.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::directory::Server;
use crate::serve::attempt::Attempt;
use crate::serve::daemon_state::DaemonState;
use crate::serve::pool::Connection;
use crate::serve::send::SendFailure;
use crate::serve::silence_checks::health_request;
use crate::serve::silence_checks::is_from;

/// Why a request was not sent to a server that did not answer.
pub const UNCONFIRMED: &str = "the server does not respond";

/// Time before a caller's deadline at which its request is refused, so that the refusal arrives in time.
const REFUSAL_MARGIN: Duration = Duration::from_millis(100);
/// Time after which servers that neither responded nor were found silent are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval between looks for servers that are new or no longer avoided.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest body of the answer to a health check that is read, so that its connection can carry the request.
const MAX_BODY_BYTES: usize = 4096;

/// Returns once a server has answered a health check, if one is due; the next request is sent over the same connection.
///
/// # Errors
///
/// The server does not answer in time, or cannot be reached.
pub async fn confirm(daemon: &DaemonState, server: &Server) -> Result<(), SendFailure> {
    let Some(request) = due_request(daemon, server) else { return Ok(()) };
    let connected = daemon.acquire_connection(&server.instance(), server.addr).await;
    let connection = connected.map_err(|error| SendFailure::connect_failed(&error))?;
    // A relayed connection carries one request only.
    if connection.is_relayed() {
        keep(daemon, connection).await;
        return Ok(());
    }
    let limit = daemon.silent_servers.borrow().confirm_time(&server.service);
    let asked_at = daemon.now();
    let asked = timeout(limit, ask(daemon, server, connection, request)).await;
    if let Ok(Some(connection)) = asked {
        keep(daemon, connection).await;
        return Ok(());
    }
    // A busy server may answer other requests first.
    let has_answered = daemon.silent_servers.borrow().has_answered(&server.instance(), asked_at);
    if asked.is_ok() || has_answered { Ok(()) } else { Err(SendFailure::unsent(UNCONFIRMED)) }
}

/// Waits until a server of the attempt's service may respond again. Returns false if none does in time; the attempt can then be
/// refused as one that did not run.
///
/// A request that is sent to a server that stands still can move only by a retry, and the server still runs it later.
pub async fn await_responsive(daemon: &DaemonState, attempt: &Attempt) -> bool {
    let until = attempt.deadline.saturating_sub(REFUSAL_MARGIN);
    sleep(RETRY_DELAY).await;
    loop {
        let responded = daemon.server_responded.notified();
        let has_server =
            daemon.with_chooser(attempt.version(), |c| c.has_responsive(&attempt.service));
        let left = until.saturating_sub(daemon.now());
        if has_server || left.is_zero() {
            return has_server;
        }
        let _elapsed = timeout(left.min(POLL_INTERVAL), responded).await;
    }
}

/// Returns a health check; `None` if none is due or possible. Engines are silent by right while they are full, and requests to
/// a rate-limited server need a permit.
fn due_request(daemon: &DaemonState, server: &Server) -> Option<Request<Bytes>> {
    let (instance, now) = (server.instance(), daemon.now());
    let is_due = daemon.silent_servers.borrow().must_confirm(&server.service, &instance, now)
        && daemon.is_plain(&server.service)
        && !daemon.send_permits().contains_key(&instance);
    if is_due { health_request(daemon, server) } else { None }
}

/// Sends a health check; returns the connection if it is still open.
async fn ask(
    daemon: &DaemonState,
    server: &Server,
    mut connection: Connection,
    request: Request<Bytes>,
) -> Option<Connection> {
    let instance = server.instance();
    daemon.record_plain_send(server);
    daemon.silent_servers.borrow_mut().record_ask(&instance, daemon.now());
    let mut sent = connection.sender().try_send_request(request.map(Full::new)).await;
    // The pooled connection may have ended while it was idle.
    if let Err(error) = &mut sent
        && let Some(unsent) = error.take_message()
    {
        connection = daemon.connect_server(&instance, server.addr).await.ok()?;
        sent = connection.sender().try_send_request(unsent).await;
    }
    let Ok(response) = sent else {
        daemon.record_connection_end(&instance);
        return None;
    };
    let (head, body) = response.into_parts();
    if is_from(daemon, &head, &instance) {
        daemon.record_check(&instance);
    }
    Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(connection)
}

/// Leaves a connection in the pool for the next request, unless the server closes it.
async fn keep(daemon: &DaemonState, connection: Connection) {
    let _closed = daemon.pool.add_idle(connection).await;
}
