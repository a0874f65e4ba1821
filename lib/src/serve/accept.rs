//! Listeners: callers' connections, the balancer's question for readiness, metrics.

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
use tokio::time::sleep;

use crate::cluster::configuration::CallerLimits;
use crate::serve::active_requests::ActiveRequests;
use crate::serve::body::ReplyBody;
use crate::serve::caller_socket::CallerSocket;
use crate::serve::daemon_state::DaemonState;
use crate::serve::handle::handle_request;
use crate::serve::socket;

/// Limits before the first configuration.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    max_head: 16 * 1024,
    max_body: 1024 * 1024,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_mins(1),
};
/// Added to the idle time that callers rely on, for a request that is on its way when it ends.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Smallest buffer that the HTTP library takes for a head.
const LEAST_HEAD: usize = 8192;
/// Pause after a connection could not be accepted, as when descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers for as long as the daemon runs.
pub async fn serve_callers(daemon: Rc<DaemonState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                let daemon = Rc::clone(&daemon);
                spawn_local(serve_caller(daemon, stream));
            }
            Err(error) => {
                slog::warn!(daemon.log, "accept-failed"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(daemon: Rc<DaemonState>, stream: TcpStream) {
    if socket::configure_accepted(&stream).is_err() {
        return;
    }
    let limits = daemon.config().map_or(FIRST_LIMITS, |c| c.limits);
    let requests = ActiveRequests::new(Rc::clone(&daemon));
    let socket = CallerSocket::new(stream, Rc::clone(&requests));
    let for_requests = Rc::clone(&daemon);
    let service = service_fn(move |request: Request<Incoming>| {
        let daemon = Rc::clone(&for_requests);
        let active = requests.begin();
        async move { Ok::<_, Infallible>(handle_request(daemon, active, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout) + IDLE_MARGIN)
        .max_buf_size(limits.max_head.max(LEAST_HEAD))
        .serve_connection(TokioIo::new(socket), service);
    if let Err(error) = connection.await {
        slog::debug!(daemon.log, "caller-connection-ended"; "error" => %error);
    }
}

/// Answers whether new callers are welcome.
pub async fn serve_ready(daemon: Rc<DaemonState>, listener: TcpListener) {
    let path = daemon.protocol.ready_path();
    serve_small(daemon, listener, move |daemon, asked| {
        if asked != path {
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

/// Serves metrics as text.
pub async fn serve_metrics(daemon: Rc<DaemonState>, listener: TcpListener) {
    serve_small(daemon, listener, |daemon, asked| match asked {
        "/metrics" => {
            daemon.metrics.set_requests(daemon.model_waits.total(), daemon.active.get());
            let version = daemon.config_version();
            daemon.metrics.configuration(version, daemon.config_age(daemon.now()));
            (StatusCode::OK, daemon.metrics.to_text())
        }
        _ => (StatusCode::NOT_FOUND, String::new()),
    })
    .await;
}

async fn serve_small(
    daemon: Rc<DaemonState>,
    listener: TcpListener,
    answer: impl Fn(&DaemonState, &str) -> (StatusCode, String) + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let daemon = Rc::clone(&daemon);
        let answer = Rc::clone(&answer);
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = answer(&daemon, request.uri().path());
                let mut response = Response::new(ReplyBody::whole(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Whoever asks may end the connection as it likes.
            let _ended = connection.await;
        });
    }
}
