//! The HTTP server of a daemon, for callers and operators.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;
use smol_str::SmolStr;
use socket2::Domain;
use socket2::Protocol;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Server;

use crate::admin;
use crate::caller_request;
use crate::caller_request::RequestOptions;
use crate::chat;
use crate::chat::ChatRequest;
use crate::node::Node;
use crate::reply;
use crate::reply::RequestRefusal;
use crate::request_limits::RequestLimit;
use crate::services;

/// A caller that reads nothing for this long is treated as disconnected.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 4096;
/// Stack size of a request's thread; small because thousands of them exist at once.
const REQUEST_STACK_BYTES: usize = 256 * 1024;
/// Retry delay sent to the caller if a limit is reached or the daemon is stopping.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Opens the socket that callers connect to.
///
/// # Errors
///
/// Returns an error if the socket cannot be bound to `addr`.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit these options. Without the send timeout a caller that stops
    // reading would block a thread forever. A receive timeout would apply to `accept` itself.
    socket.set_tcp_nodelay(true)?;
    socket.set_keepalive(true)?;
    SockRef::from(&socket).set_write_timeout(Some(SEND_TIMEOUT))?;
    socket.bind(&addr.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Accepts requests and serves each on its own thread, until the server is unblocked at shutdown.
pub fn run(node: &Arc<Node>, server: &Server) {
    while let Ok(request) = server.recv() {
        let request_node = Arc::clone(node);
        let spawned = thread::Builder::new()
            .name("request".into())
            .stack_size(REQUEST_STACK_BYTES)
            .spawn(move || serve(&request_node, request));
        // If no thread can be started, the request is dropped with the closure, which answers it
        // with a 500 before anything ran. The accept loop continues.
        if let Err(error) = spawned {
            slog::error!(node.log, "no-thread"; "error" => error.to_string());
        }
    }
}

fn serve(node: &Node, request: Request) {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    if let Some(rest) = url.strip_prefix("/admin/") {
        admin::serve(node, request, rest);
        return;
    }
    match (request.method(), path) {
        (Method::Get, "/healthz") => reply::send_json(request, 200, &json!({"alive": true})),
        (Method::Get, "/readyz") => serve_ready(node, request),
        (Method::Get, "/metrics") => {
            node.metrics.set_requests(node.waiting.len(), node.limits().total());
            let text = node.metrics.to_text().into_bytes();
            reply::send(request, reply::with_body(200, "text/plain; version=0.0.4", text));
        }
        (Method::Get, "/v1/models") => serve_models(node, request),
        (Method::Post, chat::PATH) => limited(node, request, serve_chat),
        (_, path) if path.starts_with(services::PREFIX) => limited(node, request, serve_service),
        _ => {
            let refusal =
                RequestRefusal::permanent(404, "no-such-path", format!("nothing is at {path}"));
            reply::send_refusal(request, "", &refusal);
        }
    }
}

fn serve_ready(node: &Node, request: Request) {
    let view = node.view.load();
    let ready = view.ready && !node.is_stopping();
    let status = if ready { 200 } else { 503 };
    reply::send_json(request, status, &json!({"ready": ready, "log_up": view.log_up}));
}

fn serve_models(node: &Node, request: Request) {
    let view = node.view.load();
    let data: Vec<_> = view
        .table
        .iter()
        .filter(|v| v.row.is_loadable())
        .map(|v| json!({"id": v.row.name, "object": "model", "created": 0, "owned_by": "comfreymux"}))
        .collect();
    reply::send_json(request, 200, &json!({"object": "list", "data": data}));
}

type Handler = fn(&Node, &SmolStr, Request);

/// Runs `handler` within the request limits; a request above them is refused at once.
fn limited(node: &Node, request: Request, handler: Handler) {
    let id = node.next_request_id();
    let caller = caller_request::caller_of(&request);
    if node.is_stopping() {
        let message = "this daemon is stopping; another one will answer";
        let refusal = RequestRefusal::retryable(503, "stopping", message, RETRY_AFTER);
        node.metrics.record_refusal(refusal.code);
        reply::send_refusal(request, &id, &refusal);
        return;
    }
    let acquired = node.limits().acquire(&caller);
    if let Err(limit) = acquired {
        let status = if limit == RequestLimit::Caller { 429 } else { 503 };
        let message = "too many requests are in progress";
        let refusal = RequestRefusal::retryable(status, limit.as_str(), message, RETRY_AFTER);
        node.metrics.record_refusal(refusal.code);
        reply::send_refusal(request, &id, &refusal);
        return;
    }
    handler(node, &id, request);
    node.limits().release(&caller);
}

fn serve_chat(node: &Node, id: &SmolStr, mut request: Request) {
    let parsed = RequestOptions::parse(node, &request, node.now()).and_then(|options| {
        let body = caller_request::read_body(node, &mut request)?;
        ChatRequest::parse(node, id.clone(), &request, options, body)
    });
    match parsed {
        Ok(chat) => chat.serve(node, request),
        Err(refusal) => refuse(node, id, request, &refusal),
    }
}

fn serve_service(node: &Node, id: &SmolStr, mut request: Request) {
    let parsed = RequestOptions::parse(node, &request, node.now()).and_then(|options| {
        let body = caller_request::read_body(node, &mut request)?;
        services::parse_request(node, id.clone(), &request, options, body)
    });
    match parsed {
        Ok(caller_request) => services::serve(node, &caller_request, request),
        Err(refusal) => refuse(node, id, request, &refusal),
    }
}

fn refuse(node: &Node, id: &SmolStr, request: Request, refusal: &RequestRefusal) {
    node.metrics.record_refusal(refusal.code);
    node.log_routing(id, "", "refuse", "", refusal.message.clone());
    reply::send_refusal(request, id, refusal);
}
