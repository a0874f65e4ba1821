//! Listeners for callers, for the load balancer's readiness checks and for metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::cluster::configuration::CallerLimits;
use crate::serve::active_requests::ActiveRequests;
use crate::serve::body::ReplyBody;
use crate::serve::caller_connections::CallerConnection;
use crate::serve::caller_socket::CallerSocket;
use crate::serve::daemon_state::DaemonState;
use crate::serve::handle::handle_request;
use crate::serve::socket;

/// Limits until the first configuration is read.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    max_head: 16 * 1024,
    max_body: 1024 * 1024,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_mins(1),
};
/// Added to the idle timeout that callers rely on, for a request that is in transit when it expires.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Smallest buffer that the HTTP library accepts for a request head.
const MIN_BUFFER_BYTES: usize = 8192;
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts and serves callers' connections; never returns.
pub async fn serve_callers(daemon: Rc<DaemonState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                if let Some(connection) = daemon.callers.admit(daemon.now()) {
                    spawn_local(serve_caller(Rc::clone(&daemon), stream, connection));
                }
                daemon.log_ended_callers();
                // Connections that were evicted end before the next one is accepted.
                yield_now().await;
            }
            Err(error) => {
                slog::warn!(daemon.log, "accept-failed"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(daemon: Rc<DaemonState>, stream: TcpStream, connection: CallerConnection) {
    if socket::configure_accepted(&stream).is_err() {
        return;
    }
    let limits = daemon.config().map_or(DEFAULT_LIMITS, |c| c.limits);
    let requests = ActiveRequests::new(Rc::clone(&daemon), connection);
    let socket = CallerSocket::new(stream, Rc::clone(&requests));
    let service_daemon = Rc::clone(&daemon);
    let listed = Rc::clone(&requests);
    let service = service_fn(move |request: Request<Incoming>| {
        let daemon = Rc::clone(&service_daemon);
        let active = requests.begin();
        async move { Ok::<_, Infallible>(handle_request(daemon, active, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout) + IDLE_MARGIN)
        .max_buf_size(limits.max_head.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        biased;
        ended = connection => {
            if let Err(error) = ended {
                slog::debug!(daemon.log, "caller-connection-ended"; "error" => %error);
            }
        }
        () = listed.connection().evicted() => {}
    }
}

/// Answers readiness checks: 200 while the daemon accepts new callers, else 503.
pub async fn serve_ready(daemon: Rc<DaemonState>, listener: TcpListener) {
    let ready_path = daemon.protocol.ready_path();
    serve_text(daemon, listener, move |daemon, path| {
        if path != ready_path {
            return (StatusCode::NOT_FOUND, String::new());
        }
        if daemon.is_ready() {
            (StatusCode::OK, String::from("ready\n"))
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, String::from("not ready\n"))
        }
    })
    .await;
}

/// Serves `/metrics` in the text format.
pub async fn serve_metrics(daemon: Rc<DaemonState>, listener: TcpListener) {
    serve_text(daemon, listener, |daemon, path| match path {
        "/metrics" => {
            daemon.metrics.set_requests(daemon.model_waits.total(), daemon.active.get());
            let (open, serving) = daemon.callers.counts();
            daemon.metrics.set_callers(open, serving, daemon.callers.ended());
            daemon.metrics.set_buffered("responses", daemon.response_bytes.used());
            daemon.metrics.set_buffered("requests", daemon.request_bytes.used());
            let version = daemon.config_version();
            daemon.metrics.set_configuration(version, daemon.config_age(daemon.now()));
            (StatusCode::OK, daemon.metrics.to_text())
        }
        _ => (StatusCode::NOT_FOUND, String::new()),
    })
    .await;
}

/// Serves short text responses, which `respond` computes from a request's path.
async fn serve_text(
    daemon: Rc<DaemonState>,
    listener: TcpListener,
    respond: impl Fn(&DaemonState, &str) -> (StatusCode, String) + 'static,
) {
    let respond = Rc::new(respond);
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let daemon = Rc::clone(&daemon);
        let respond = Rc::clone(&respond);
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = respond(&daemon, request.uri().path());
                let mut response = Response::new(ReplyBody::whole(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The client may close the connection at any time, so its end is not an error.
            let _ended = connection.await;
        });
    }
}
