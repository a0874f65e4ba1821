//! A small HTTP server for stand-ins.
//!
//! Handlers write the raw answer to the connection, so that they can also cut or omit it.

use std::collections::BTreeMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// A request, read with its whole body.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    /// Method, such as `GET`.
    pub method: String,
    /// Path without its query.
    pub path: String,
    /// Query parameters by name, without percent-decoding.
    pub query: BTreeMap<String, String>,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body; empty without a `Content-Length`.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns a header by its lower-case name, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns a query parameter as a number, or 0 if it is missing or not a number.
    pub fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|t| t.parse().ok()).unwrap_or(0)
    }
}

/// Answers the requests of an [`HttpServer`], each on its own thread.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request on its connection, which is closed afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails; the server ignores it.
    fn handle(&self, request: &HttpRequest, out: &mut TcpStream) -> io::Result<()>;
}

/// A running server; it stops when dropped.
#[derive(Debug)]
pub struct HttpServer {
    /// Address that the server listens on.
    pub addr: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl HttpServer {
    /// Starts a server on `addr`; a port of 0 takes any free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be started.
    pub fn start(addr: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopped);
        thread::Builder::new().name("standin".into()).spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else {
                    continue;
                };
                let handler = Arc::clone(&handler);
                let serve = move || {
                    // An error ends this connection only.
                    let _broken = serve(stream, handler.as_ref());
                };
                // If no thread can be started, the connection closes without an answer.
                let _refused = thread::Builder::new().stack_size(256 * 1024).spawn(serve);
            }
        })?;
        Ok(Self { addr, stopped })
    }

    /// Stops accepting connections and frees the address; requests in progress continue.
    pub fn stop(&self) {
        if !self.stopped.swap(true, Ordering::Relaxed) {
            // Unblocks the accept loop, which then checks the flag.
            let _woken = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1));
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve(mut stream: TcpStream, handler: &dyn Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(Duration::from_secs(10)))?;
    let request = read_request(&stream)?;
    handler.handle(&request, &mut stream)
}

fn read_request(stream: &TcpStream) -> io::Result<HttpRequest> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let mut fields = line.split_whitespace();
    let method = fields.next().unwrap_or_default().to_owned();
    let url = fields.next().unwrap_or_default().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let pair = |p: &str| p.split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned()));
    let mut request = HttpRequest {
        method,
        path: path.to_owned(),
        query: query.split('&').filter_map(pair).collect(),
        ..HttpRequest::default()
    };
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        request.headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body.resize(length, 0);
    reader.read_exact(&mut request.body)?;
    Ok(request)
}

/// Writes an answer with its headers and body.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub fn respond(
    out: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    head.push_str(&header_lines(headers));
    out.write_all(head.as_bytes())?;
    out.write_all(body)?;
    out.flush()
}

/// Returns the header lines, `Connection: close` and the empty line that ends the head.
pub fn header_lines(headers: &[(&str, String)]) -> String {
    let lines: Vec<String> =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    lines.concat() + "Connection: close\r\n\r\n"
}

/// Writes an answer with status 200 and `value` as its JSON body.
///
/// # Errors
///
/// Returns an error if the connection fails or the value cannot be serialized.
pub fn respond_json(out: &mut TcpStream, value: &impl serde::Serialize) -> io::Result<()> {
    respond(out, 200, &[("Content-Type", "application/json".into())], &serde_json::to_vec(value)?)
}

/// Keeps the connection open without an answer until the client closes it.
///
/// # Errors
///
/// Never fails; the return type matches [`Handler::handle`].
pub fn hold_open(out: &mut TcpStream) -> io::Result<()> {
    let mut rest = [0; 64];
    while out.read(&mut rest).is_ok_and(|n| n > 0) {}
    Ok(())
}
