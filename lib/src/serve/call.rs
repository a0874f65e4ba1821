//! HTTP calls with small responses, to the platform's store or to an engine's control interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use thiserror::Error;
use tokio::time::timeout;

use crate::cluster::server_instance::ServerInstance;
use crate::serve::call_guard::CallGuard;
use crate::serve::pool::ConnectionPool;

/// Time that an idle connection stays open after a call.
const KEEP_ALIVE: Duration = Duration::from_secs(8);

/// Why a call has no response.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// No byte of the request was sent.
    #[error("no connection")]
    Unsent,
    /// The request may have been sent and may still be carried out.
    #[error("no answer")]
    NoResponse,
}

/// Sends a request and returns the status and body of the response, which must be complete within `limit`.
///
/// If the call times out, fails or is dropped, its connection is closed, so that no late response can
/// be read from it. On a timeout or a drop, idle connections to the same address are closed as well.
///
/// # Errors
///
/// Returns an error if no complete response was received.
pub async fn call(
    pool: &ConnectionPool,
    peer: impl Into<ServerInstance>,
    addr: SocketAddr,
    request: Request<Bytes>,
    limit: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let peer = peer.into();
    let connection = timeout(limit, pool.acquire(&peer, addr)).await;
    let connection = connection.map_err(|_elapsed| CallError::Unsent)?;
    let mut connection = connection.map_err(|_io| CallError::Unsent)?;
    let exchange = async {
        let request = request.map(Full::new);
        let response = match connection.sender().try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().ok_or(CallError::NoResponse)?;
                connection = pool.connect(&peer, addr).await.map_err(|_io| CallError::Unsent)?;
                let sent = connection.sender().try_send_request(unsent).await;
                sent.map_err(|_error| CallError::NoResponse)?
            }
        };
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|_broken| CallError::NoResponse)?.to_bytes();
        Ok((status, body))
    };
    let mut guard = CallGuard::new(pool, &peer);
    let answer = timeout(limit, exchange).await.map_err(|_elapsed| CallError::NoResponse)?;
    guard.mark_answered();
    let answer = answer?;
    pool.release(connection, Some(KEEP_ALIVE));
    Ok(answer)
}
