//! A small HTTP server for stand-ins: every byte of an answer, and its absence, is in their hands.

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

/// A request.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    /// Method.
    pub method: String,
    /// Path without its query.
    pub path: String,
    /// Query parameters.
    pub query: BTreeMap<String, String>,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns a header.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns a query parameter as a number, 0 where there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|t| t.parse().ok()).unwrap_or(0)
    }
}

/// Something that answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request on its connection, which is closed afterwards.
    ///
    /// # Errors
    ///
    /// The connection broke; nothing more is done about it.
    fn handle(&self, request: &HttpRequest, out: &mut TcpStream) -> io::Result<()>;
}

/// A running server; it stops when dropped.
#[derive(Debug)]
pub struct HttpServer {
    /// Where it answers.
    pub addr: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl HttpServer {
    /// Starts a server on `addr`; a port of 0 takes any free one.
    ///
    /// # Errors
    ///
    /// The address cannot be used.
    pub fn start(addr: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let ended = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&ended);
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
                    // A client that breaks off is its own affair.
                    let _broken = serve(stream, handler.as_ref());
                };
                // Without a thread the connection closes unanswered.
                let _refused = thread::Builder::new().stack_size(256 * 1024).spawn(serve);
            }
        })?;
        Ok(Self { addr, ended })
    }

    /// Stops taking connections in and frees the address.
    pub fn stop(&self) {
        if !self.ended.swap(true, Ordering::Relaxed) {
            // Wakes the accept loop, which then sees the flag.
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
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let url = words.next().unwrap_or_default().to_owned();
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

/// Writes a whole answer.
///
/// # Errors
///
/// The connection broke.
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

/// Returns header lines, the last of which closes the connection, and the empty line after them.
pub fn header_lines(headers: &[(&str, String)]) -> String {
    let lines: Vec<String> =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    lines.concat() + "Connection: close\r\n\r\n"
}

/// Writes a value as JSON.
///
/// # Errors
///
/// The connection broke.
pub fn respond_json(out: &mut TcpStream, value: &impl serde::Serialize) -> io::Result<()> {
    respond(out, 200, &[("Content-Type", "application/json".into())], &serde_json::to_vec(value)?)
}

/// Leaves the client without an answer until it gives up.
///
/// # Errors
///
/// Never fails; the type fits [`Handler`].
pub fn stay_silent(out: &mut TcpStream) -> io::Result<()> {
    let mut rest = [0; 64];
    while out.read(&mut rest).is_ok_and(|n| n > 0) {}
    Ok(())
}
