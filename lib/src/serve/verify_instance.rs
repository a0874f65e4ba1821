//! Checks that a server is still the instance that its directory entry describes.

use std::time::Duration;

use crate::cluster::directory::Server;
use crate::cluster::server_instance::ServerInstance;
use crate::protocol::EngineReport;
use crate::serve::apply_updates;
use crate::serve::call::call;
use crate::serve::daemon_state::DaemonState;
use crate::serve::send::SendFailure;

/// Time limit for an engine's report: the caller waits for the next event meanwhile.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Source of an instance in log lines.
const FROM_REPORT: &str = "report";

/// Checks that an engine is the instance of its directory entry, before a stream is continued there.
///
/// A server may restart under the same id and at the same address with another software version, and accepts requests
/// that name its id. Its own report tells when it started; the request then follows on the same connection. Without a
/// report, a list of servers that was just read is relied on.
///
/// # Errors
///
/// Returns a failure if the server has restarted, or may have.
pub async fn verify_instance(daemon: &DaemonState, server: &Server) -> Result<(), SendFailure> {
    let Some(born) = server.born else { return Ok(()) };
    let list_age = daemon.now().saturating_sub(daemon.freshness.servers_at.get());
    match fetch_report(daemon, server).await.and_then(|report| report.born) {
        Some(reported) if reported == born => Ok(()),
        Some(reported) => {
            let instance = ServerInstance { id: server.id.clone(), born: Some(reported) };
            apply_updates::apply_instance(daemon, &instance, FROM_REPORT);
            Err(SendFailure::unverified("the server has restarted"))
        }
        None if list_age <= daemon.settings().drain => Ok(()),
        None => Err(SendFailure::unverified("the server may have restarted")),
    }
}

async fn fetch_report(daemon: &DaemonState, server: &Server) -> Option<EngineReport> {
    let request = daemon.protocol.report_request(server);
    let instance = server.instance();
    let response =
        call(&daemon.pool, &instance, server.addr, request, REPORT_TIMEOUT).await.ok()?;
    let body = response.status().is_success().then(|| response.into_body())?;
    daemon.protocol.parse_report(&body).ok()
}
