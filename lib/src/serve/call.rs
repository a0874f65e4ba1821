//! One call with a small answer, to the store or to an engine's own interface.

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

/// How long connections for calls stay open between them.
const KEEP: Duration = Duration::from_secs(8);

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// No byte of it was sent.
    #[error("no connection")]
    Unsent,
    /// It may have been carried out, now or later.
    #[error("no answer")]
    Unanswered,
}

/// Makes a call that must be answered within `limit`.
///
/// A connection whose call had no answer, or was dropped before, is closed: nothing more comes on it. So are
/// the idle ones to the same address.
///
/// # Errors
///
/// There is no whole answer.
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
                let unsent = error.take_message().ok_or(CallError::Unanswered)?;
                connection = pool.connect(&peer, addr).await.map_err(|_io| CallError::Unsent)?;
                let sent = connection.sender().try_send_request(unsent).await;
                sent.map_err(|_error| CallError::Unanswered)?
            }
        };
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|_broken| CallError::Unanswered)?.to_bytes();
        Ok((status, body))
    };
    let mut outstanding = CallGuard::new(pool, &peer);
    let answer = timeout(limit, exchange).await.map_err(|_elapsed| CallError::Unanswered)?;
    outstanding.mark_answered();
    let answer = answer?;
    pool.release(connection, Some(KEEP));
    Ok(answer)
}
