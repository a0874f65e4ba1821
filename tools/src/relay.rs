//! A plain stream relay without routing: the baseline for measurements of a daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use comfreymux_lib::backend_client::BackendClient;
use comfreymux_lib::backend_client::HttpBackendClient;
use comfreymux_lib::backend_client::ServerRequest;
use comfreymux_lib::chat;
use comfreymux_lib::gateway;
use comfreymux_lib::sse::StreamEvent;
use comfreymux_lib::sse::StreamReader;
use comfreymux_lib::sse::StreamWriter;
use tiny_http::Request;
use tiny_http::Server;

/// Relays every request to `to` until the process ends.
///
/// # Errors
///
/// The address cannot be listened on, or a thread cannot be started.
pub fn run(listen: SocketAddr, to: SocketAddr) -> io::Result<()> {
    let listener = gateway::listen(listen)?;
    println!("listening on {}", listener.local_addr()?);
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let backend_client = Arc::new(HttpBackendClient::new(Duration::from_secs(10)));
    for request in server.incoming_requests() {
        let backend_client = Arc::clone(&backend_client);
        thread::Builder::new().stack_size(256 * 1024).spawn(move || {
            // The caller detects a failed stream by its missing end.
            let _failed = relay(backend_client.as_ref(), to, request);
        })?;
    }
    Ok(())
}

fn relay(
    backend_client: &dyn BackendClient,
    to: SocketAddr,
    mut request: Request,
) -> io::Result<()> {
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body)?;
    let server_request = ServerRequest {
        method: "POST".into(),
        path: chat::PATH.into(),
        content_type: "application/json".into(),
        body,
        attempt_id: "1".into(),
        resume_from: 0,
        priority: 0,
    };
    let failed = |f: comfreymux_lib::backend_client::Failure| io::Error::other(f.detail);
    let mut reader =
        StreamReader::new(backend_client.send(to, &server_request).map_err(failed)?.body);
    let mut writer = StreamWriter::start(request.into_writer(), &[])?;
    while let StreamEvent::Chunk(data) = reader.next_event().map_err(failed)? {
        writer.write_event(&data)?;
    }
    writer.finish()
}
