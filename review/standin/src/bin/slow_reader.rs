//! Case: callers that read their answers slowly.

use std::io::Write as _;
use std::net::TcpStream;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standin::daemon::{Daemon, SIGHUP};
use review_standin::http::{Connection, Message};
use review_standin::plain::{self, Runs};
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::{attempt_id, is_calm};

const CLIENTS: u64 = 6;
const ALLOWED: usize = 3;

/// Returns a figure of the course, which may be varied by hand.
fn env(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn work(request: &Message) -> (u16, String, Vec<u8>) {
    thread::sleep(Duration::from_millis(15));
    let size = if request.start.contains("/large") { env("SIZE", 256 * 1024) } else { 800 };
    (200, String::new(), vec![b'x'; size])
}

fn send(connection: &mut Connection, path: &str, id: &str) -> bool {
    let request = format!(
        "POST /book/{path} HTTP/1.1\r\nHost: shop.example\r\nX-Comfreymux-Attempt-Id: {id}\r\n\
         X-Comfreymux-Deadline-Ms: 30000\r\nContent-Length: 2\r\n\r\nhi"
    );
    connection.stream.write_all(request.as_bytes()).is_ok()
}

fn client(number: u64, daemon: &Daemon, record: &Record) -> bool {
    let stream = TcpStream::connect(daemon.front).expect("the daemon accepts");
    let mut connection = Connection::new(stream);
    connection.set_read_timeout(Some(Duration::from_secs(31)));
    let id = attempt_id(number * 2);
    record.note(&format!("client {number} sends {id}"));
    let first = send(&mut connection, "small", &id).then(|| connection.message());
    let Some(Ok(Some(first))) = first else {
        record.note(&format!("client {number}: no answer to the first request"));
        return true;
    };
    record.note(&format!("client {number}: {} to {id}", first.status()));
    let id = attempt_id(number * 2 + 1);
    record.note(&format!("client {number} sends {id}"));
    send(&mut connection, "large", &id);
    let began = Instant::now();
    let Ok(Some(head)) = connection.head() else {
        record.note(&format!("client {number}: closed before an answer to {id}"));
        return false;
    };
    let due: usize = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut got = 0;
    while got < due {
        let part = connection.take(env("STEP", 4096).min(due - got));
        match part {
            Ok(part) if !part.is_empty() => got += part.len(),
            end => {
                record.note(&format!(
                    "client {number}: {} to {id}, cut after {got} of {due} bytes and {} ms: {:?}",
                    head.status(), began.elapsed().as_millis(), end.map(|_| "end")));
                return false;
            }
        }
        if !is_calm() {
            thread::sleep(Duration::from_millis(env("GAP", 250) as u64));
        }
    }
    record.note(&format!("client {number}: {} to {id}, whole after {} ms", head.status(), began.elapsed().as_millis()));
    true
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let runs = Runs::default();
    store.put("keyed.op", "config", r#"{"version":1,"routes":[{"name":"book","host":"shop.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":30000,"goal_ms":1000,"priority":1,"service":"booking","attempts":1}],"services":[{"name":"booking","health_path":"/healthz","max_conns":96}],"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    plain::start("i-1", "booking", &store, &record, &runs, work);
    plain::start("i-2", "booking", &store, &record, &runs, work);
    let daemon = Arc::new(Daemon::start(0, "a", store.addr, &[]));
    if !daemon.wait_ready(Duration::from_secs(15)) {
        record.note("the daemon is not ready");
        daemon.end();
        exit(2);
    }
    thread::sleep(Duration::from_secs(4));
    // Planned work: the rule counts requests that are sent up to `config_ms` (2 s) after it.
    record.note("the daemon gets SIGHUP");
    daemon.signal(SIGHUP);
    thread::sleep(Duration::from_millis(100));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (daemon, record) = (Arc::clone(&daemon), record.clone());
            thread::spawn(move || client(n, &daemon, &record))
        })
        .collect();
    let cut = clients.into_iter().filter_map(|c| c.join().ok()).filter(|whole| !whole).count();
    record.note(&format!("{cut} of {CLIENTS} answers were cut; {ALLOWED} are allowed"));
    daemon.end();
    exit(i32::from(cut > ALLOWED));
}
