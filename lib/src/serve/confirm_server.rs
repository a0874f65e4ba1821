//! Health checks before requests to services whose servers may stall.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::directory::Server;
use crate::serve::attempt::Attempt;
use crate::serve::call::CallError;
use crate::serve::call::call;
use crate::serve::daemon_state::DaemonState;
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

/// Returns once a server has answered a health check, if one is due.
///
/// Health checks have connections of their own: an answer to one that comes late, or after another request's second answer,
/// must not be taken for that of the request.
///
/// # Errors
///
/// The server does not answer in time.
pub async fn confirm(daemon: &DaemonState, server: &Server) -> Result<(), SendFailure> {
    let Some(request) = due_request(daemon, server) else { return Ok(()) };
    let instance = server.instance();
    let limit = daemon.silent_servers.borrow().confirm_time(&server.service);
    // The connection for the request shows whether the server is reached, and whether a peer has to relay it.
    if !daemon.check_pool.has_idle(&instance) {
        let opened = timeout(limit, daemon.check_pool.open_idle(&instance, server.addr)).await;
        if !matches!(opened, Ok(Ok(()))) {
            return Ok(());
        }
    }
    let asked_at = daemon.now();
    daemon.record_plain_send(server);
    daemon.silent_servers.borrow_mut().record_ask(&instance, asked_at);
    match call(&daemon.check_pool, &instance, server.addr, request, limit).await {
        Ok(response) => {
            if is_from(daemon, &response.into_parts().0, &instance) {
                daemon.record_check(&instance);
            }
            Ok(())
        }
        // A busy server may answer other requests first.
        Err(CallError::NoResponse)
            if !daemon.silent_servers.borrow().has_answered(&instance, asked_at) =>
        {
            Err(SendFailure::unsent(UNCONFIRMED))
        }
        Err(_answered) => Ok(()),
    }
}

/// Waits until a server of the attempt's service may respond again. Returns false if none does in time; the attempt can then be
/// refused as one that did not run.
///
/// A request in the socket of a stalled server moves only by a retry, and is run once the server continues.
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

/// Returns a health check; `None` if none is due or possible. Engines are silent by right while they are full, requests to a
/// rate-limited server need a permit, and peers relay requests only.
fn due_request(daemon: &DaemonState, server: &Server) -> Option<Request<Bytes>> {
    let (instance, now) = (server.instance(), daemon.now());
    let is_due = daemon.silent_servers.borrow().must_confirm(&server.service, &instance, now)
        && !daemon.server_paths.borrow().is_relayed(&instance, now)
        && daemon.is_plain(&server.service)
        && !daemon.send_permits().contains_key(&instance);
    if is_due { health_request(daemon, server) } else { None }
}
