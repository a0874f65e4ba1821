//! HTTP calls to the platform's store or to an engine's control interface.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::Instant;
use tokio::time::error::Elapsed;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::cluster::server_instance::ServerInstance;
use crate::serve::answer_status::is_answer;
use crate::serve::call_guard::CallGuard;
use crate::serve::pool::Connection;
use crate::serve::pool::ConnectionPool;
use crate::serve::progress::PROGRESS_BYTES;
use crate::serve::progress::PROGRESS_TIMEOUT;

/// Time that an idle connection stays open after a call.
const KEEP_ALIVE: Duration = Duration::from_secs(8);

/// Longest body of an answer to a call of an engine's control interface: some times the report of one with 256 runs and
/// 100 models.
const MAX_CONTROL_BYTES: usize = 128 * 1024;
/// Longest body of an answer of the store, whose pages and reads are of about a megabyte; one record may be larger.
const MAX_STORE_BYTES: usize = 32 * 1024 * 1024;

/// Why a call has no response.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// No byte of the request was sent.
    #[error("no connection")]
    Unsent,
    /// The request may have been sent and may still be carried out.
    #[error("no answer")]
    NoResponse,
    /// The response is longer than any that the call may have; the request may be carried out.
    #[error("the answer is too long")]
    TooLong,
}

/// Sends a request and returns the response, which must be complete within `limit`.
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
) -> Result<Response<Bytes>, CallError> {
    let expires = Instant::now() + limit;
    let read = async |mut body: Incoming| {
        let mut bytes = BytesMut::new();
        let read = read_until(&mut body, &mut bytes, usize::MAX, MAX_CONTROL_BYTES);
        timeout_at(expires, read).await.map_err(|_elapsed| None)??;
        Ok(bytes.freeze())
    };
    exchange(pool, &peer.into(), addr, request, HeadLimits::only(limit), read).await
}

/// Limits on the time until the head of a response arrives.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    /// After this time the idle connections to the same address are closed, so that no other call uses them.
    pub usual: Duration,
    /// After this time the call fails.
    pub longest: Duration,
}

impl HeadLimits {
    /// Returns limits for a call that fails after its usual time.
    pub fn only(limit: Duration) -> Self {
        Self { usual: limit, longest: limit }
    }
}

/// Like [`call`], for a response that may be large: its head must arrive within `limits`, and its body must make
/// progress then.
///
/// # Errors
///
/// Returns an error if no complete response was received.
pub async fn call_for_large(
    pool: &ConnectionPool,
    peer: impl Into<ServerInstance>,
    addr: SocketAddr,
    request: Request<Bytes>,
    limits: HeadLimits,
) -> Result<Response<Bytes>, CallError> {
    exchange(pool, &peer.into(), addr, request, limits, read_with_progress).await
}

/// Reads a body of the store; the error is `None` if it stopped making progress.
async fn read_with_progress(mut body: Incoming) -> Result<Bytes, Option<CallError>> {
    let mut bytes = BytesMut::new();
    loop {
        let target = bytes.len() + PROGRESS_BYTES;
        let step = read_until(&mut body, &mut bytes, target, MAX_STORE_BYTES);
        if timeout(PROGRESS_TIMEOUT, step).await.map_err(|_elapsed| None)?? {
            return Ok(bytes.freeze());
        }
    }
}

/// Reads frames until `bytes` has `target` bytes; returns whether the body has ended. It fails beyond `limit`.
async fn read_until(
    body: &mut Incoming,
    bytes: &mut BytesMut,
    target: usize,
    limit: usize,
) -> Result<bool, CallError> {
    while bytes.len() < target {
        let Some(frame) = body.frame().await else { return Ok(true) };
        let frame = frame.map_err(|_broken| CallError::NoResponse)?;
        bytes.extend(frame.into_data().ok());
        if bytes.len() > limit {
            return Err(CallError::TooLong);
        }
    }
    Ok(false)
}

async fn exchange(
    pool: &ConnectionPool,
    peer: &ServerInstance,
    addr: SocketAddr,
    request: Request<Bytes>,
    limits: HeadLimits,
    read: impl AsyncFnOnce(Incoming) -> Result<Bytes, Option<CallError>>,
) -> Result<Response<Bytes>, CallError> {
    let began = Instant::now();
    let connection = timeout(limits.usual, pool.acquire(peer, addr)).await;
    let connection = connection.map_err(|_elapsed| CallError::Unsent)?;
    let mut connection = connection.map_err(|_io| CallError::Unsent)?;
    let mut guard = CallGuard::new(pool, peer);
    let head = await_head(pool, peer, addr, request, &mut connection, began, limits).await;
    let response = head.map_err(|_elapsed| CallError::NoResponse)?.inspect_err(|_failed| {
        guard.mark_answered();
    })?;
    let (head, body) = response.into_parts();
    if !is_answer(head.status) {
        guard.mark_answered();
        return Err(CallError::NoResponse);
    }
    let body = read(body).await;
    if !matches!(body, Err(None)) {
        guard.mark_answered();
    }
    let body = body.map_err(|error| error.unwrap_or(CallError::NoResponse))?;
    pool.release(connection, Some(KEEP_ALIVE));
    Ok(Response::from_parts(head, body))
}

/// Sends a request and returns the response once its head has arrived.
async fn await_head(
    pool: &ConnectionPool,
    peer: &ServerInstance,
    addr: SocketAddr,
    request: Request<Bytes>,
    connection: &mut Connection,
    began: Instant,
    limits: HeadLimits,
) -> Result<Result<Response<Incoming>, CallError>, Elapsed> {
    let mut response = pin!(send(pool, peer, addr, request, connection));
    if let Ok(result) = timeout_at(began + limits.usual, &mut response).await {
        return Ok(result);
    }
    pool.close_idle(peer);
    timeout_at(began + limits.longest, response).await
}

/// Sends a request and returns the response with its head; connects anew if the pooled connection ended while it was
/// idle.
async fn send(
    pool: &ConnectionPool,
    peer: &ServerInstance,
    addr: SocketAddr,
    request: Request<Bytes>,
    connection: &mut Connection,
) -> Result<Response<Incoming>, CallError> {
    match connection.sender().try_send_request(request.map(Full::new)).await {
        Ok(response) => Ok(response),
        Err(mut error) => {
            let unsent = error.take_message().ok_or(CallError::NoResponse)?;
            *connection = pool.connect(peer, addr).await.map_err(|_io| CallError::Unsent)?;
            let sent = connection.sender().try_send_request(unsent).await;
            sent.map_err(|_error| CallError::NoResponse)
        }
    }
}
