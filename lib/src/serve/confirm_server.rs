//! Asks servers whether they run, before they get a request, where servers of their service have stood still.

use std::io;
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
    let limit = daemon.silent_servers.borrow().confirm_time(&server.service);
    match timeout(limit, ask(daemon, server, request)).await {
        Ok(asked) => asked.map_err(|error| SendFailure::connect_failed(&error)),
        Err(_elapsed) => Err(SendFailure::unsent(UNCONFIRMED)),
    }
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

/// Returns a health check; `None` if none is due or possible. Requests to a rate-limited server need a permit.
fn due_request(daemon: &DaemonState, server: &Server) -> Option<Request<Bytes>> {
    let (instance, now) = (server.instance(), daemon.now());
    let is_due = daemon.silent_servers.borrow().must_confirm(&server.service, &instance, now)
        && !daemon.send_permits().contains_key(&instance);
    if is_due { health_request(daemon, server) } else { None }
}

/// Sends a health check over a connection that stays open for the next request, or is replaced if the server closes it.
async fn ask(daemon: &DaemonState, server: &Server, request: Request<Bytes>) -> io::Result<()> {
    let instance = server.instance();
    let mut connection = daemon.acquire_connection(&instance, server.addr).await?;
    daemon.record_plain_send(server);
    let mut sent = connection.sender().try_send_request(request.map(Full::new)).await;
    // The pooled connection may have ended while it was idle.
    if let Err(error) = &mut sent
        && let Some(unsent) = error.take_message()
    {
        connection = daemon.connect_server(&instance, server.addr).await?;
        sent = connection.sender().try_send_request(unsent).await;
    }
    let is_open = match sent {
        Ok(response) => {
            let (head, body) = response.into_parts();
            if is_from(daemon, &head, &instance) {
                daemon.record_check(&instance);
            }
            Limited::new(body, MAX_BODY_BYTES).collect().await.is_ok()
        }
        Err(_broken) => {
            daemon.record_connection_end(&instance);
            false
        }
    };
    keep(daemon, server, connection, is_open).await
}

/// Leaves a connection in the pool. A relayed one carries one request only.
async fn keep(
    daemon: &DaemonState,
    server: &Server,
    connection: Connection,
    is_open: bool,
) -> io::Result<()> {
    if is_open && !connection.is_relayed() && daemon.pool.add_idle(connection).await.is_ok() {
        return Ok(());
    }
    let fresh = daemon.connect_server(&server.instance(), server.addr).await?;
    daemon.pool.add_idle(fresh).await
}
