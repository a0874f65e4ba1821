//! Case: many users come at once, with bodies as large as the configuration allows.

use std::io::Write as _;
use std::net::TcpStream;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standin::daemon::Daemon;
use review_standin::http::{Connection, Message};
use review_standin::plain::{self, Runs};
use review_standin::platform;
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::{attempt_id, is_calm};

/// `max_body_bytes` of the configuration, which is that of the users' example.
const MAX_BODY: usize = 4_194_304;
/// Requests a second in the sheet, all of which one daemon takes when the others are lost.
const USUAL_RATE: f64 = 32.0;
/// Largest `x` of the disruption `burst` on the whole mix in the site's file.
const BURST: f64 = 1.7;
/// Time for which it lasts there.
const BURST_S: f64 = 3.0;
/// Time that a server takes for a large request.
const WORK_MS: u64 = 1250;
/// Requests from kept connections that may be passed on and then lose their connection (LOST).
const ALLOWED: usize = 3;

fn work(request: &Message) -> (u16, String, Vec<u8>) {
    let time = if request.start.contains("/large") { WORK_MS } else { 15 };
    thread::sleep(Duration::from_millis(time));
    (200, String::new(), vec![b'x'; 800])
}

fn send(connection: &mut Connection, path: &str, id: &str, body: &[u8]) -> bool {
    let head = format!(
        "POST /book/{path} HTTP/1.1\r\nHost: shop.example\r\nX-Comfreymux-Attempt-Id: {id}\r\n\
         X-Comfreymux-Deadline-Ms: 30000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    connection.stream.write_all(head.as_bytes()).and_then(|()| connection.stream.write_all(body)).is_ok()
}

/// Sends a small request and then a large one on the same connection; returns the id of the large one if it got no
/// answer.
fn client(number: u64, daemon: &Daemon, record: &Record) -> Option<String> {
    let Ok(stream) = TcpStream::connect(daemon.front) else {
        record.note(&format!("client {number}: no connection"));
        return None;
    };
    let mut connection = Connection::new(stream);
    connection.set_read_timeout(Some(Duration::from_secs(31)));
    let first = send(&mut connection, "small", &attempt_id(number * 2), b"hi").then(|| connection.message());
    let Some(Ok(Some(_))) = first else {
        record.note(&format!("client {number}: no answer to the first request"));
        return None;
    };
    let id = attempt_id(number * 2 + 1);
    let began = Instant::now();
    send(&mut connection, "large", &id, &vec![b'y'; MAX_BODY]);
    let answer = connection.message();
    let ms = began.elapsed().as_millis();
    match answer {
        Ok(Some(answer)) => {
            record.note(&format!("client {number}: {} to {id} after {ms} ms", answer.status()));
            None
        }
        end => {
            record.note(&format!("client {number}: closed without an answer to {id} after {ms} ms: {:?}", end.map(|_| ())));
            Some(id)
        }
    }
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let runs = Runs::default();
    store.put("keyed.op", "config", &format!(r#"{{"version":1,"routes":[{{"name":"book","host":"shop.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":30000,"goal_ms":4000,"priority":1,"service":"booking","attempts":1}}],"services":[{{"name":"booking","health_path":"/healthz","max_conns":360}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{MAX_BODY},"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#));
    plain::start("i-1", "booking", &store, &record, &runs, work);
    plain::start("i-2", "booking", &store, &record, &runs, work);
    let daemon = Daemon::start(0, "a", store.addr, &[]);
    if !daemon.wait_ready(Duration::from_secs(15)) {
        record.note("the daemon is not ready");
        daemon.end();
        exit(2);
    }
    thread::sleep(Duration::from_secs(4));
    let daemon = Arc::new(daemon);
    let rate = if is_calm() { USUAL_RATE } else { USUAL_RATE * BURST };
    let count = (rate * BURST_S) as u64;
    let is_over = Arc::new(AtomicBool::new(false));
    let watch = platform::watch(&daemon, &record, &is_over);
    let clients: Vec<_> = (0..count)
        .map(|n| {
            let (daemon, record) = (Arc::clone(&daemon), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_secs_f64(n as f64 / rate));
                client(n, &daemon, &record)
            })
        })
        .collect();
    let lost: Vec<String> = clients.into_iter().filter_map(|c| c.join().ok().flatten()).collect();
    is_over.store(true, Ordering::Relaxed);
    let _joined = watch.join();
    let runs = runs.lock().expect("no thread panics");
    let passed = lost.iter().filter(|id| runs.contains(*id)).count();
    record.note(&format!("{count} large requests; {} closed without an answer, {passed} of them ran; {ALLOWED} are allowed", lost.len()));
    daemon.end();
    exit(i32::from(passed > ALLOWED));
}
