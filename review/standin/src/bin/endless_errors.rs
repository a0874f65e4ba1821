//! Case: one model server in trouble answers with errors that have no end.

use std::io::Write as _;
use std::net::TcpStream;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standin::daemon::Daemon;
use review_standin::http::Connection;
use review_standin::plain::Runs;
use review_standin::platform;
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::{attempt_id, engine, is_calm};

/// Requests a second in the sheet, all of which one daemon takes when the others are lost.
const RATE: f64 = 32.0;
/// Time for which the server is in trouble.
const TROUBLE_S: f64 = 5.5;
/// Requests from kept connections that may be passed on to a sound server and then lose their connection (LOST).
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"notes","host":"shop.example","path_prefix":"/notes/","route_kind":"streaming","timeout_ms":30000,"goal_ms":4000,"priority":2,"service":"drafting","attempts":1,"sticky":true,"resumable":false,"gap_target_ms":300}],"services":[{"name":"drafting","health_path":"/healthz","max_conns":360,"engine":{"slots":64,"models":[{"name":"m0","weights_mb":65000.0,"load_s":6.2,"adapters":0,"adapter_mb":12.0,"warm_s":1.2,"disk_s":1.6},{"name":"m1","weights_mb":65000.0,"load_s":6.2,"adapters":0,"adapter_mb":12.0,"warm_s":1.2,"disk_s":1.6}],"weights_mb":70000.0,"adapter_slots":8,"loads_per_s":2.2}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn send(connection: &mut Connection, model: &str, id: &str) -> bool {
    let request = format!(
        "POST /notes/7 HTTP/1.1\r\nHost: shop.example\r\nX-Comfreymux-Attempt-Id: {id}\r\nX-Comfreymux-Model: {model}\r\n\
         X-Comfreymux-Token-Counts: 1460,80\r\nX-Comfreymux-Deadline-Ms: 30000\r\nContent-Length: 2\r\n\r\nhi"
    );
    connection.stream.write_all(request.as_bytes()).is_ok()
}

/// Sends two requests for `model` on one connection; returns the id of the second if its connection was closed.
fn client(number: u64, model: &str, daemon: &Daemon, record: &Record) -> Option<String> {
    let Ok(stream) = TcpStream::connect(daemon.front) else {
        record.note(&format!("client {number}: no connection"));
        return None;
    };
    let mut connection = Connection::new(stream);
    connection.set_read_timeout(Some(Duration::from_secs(31)));
    for request in 0..2 {
        let id = attempt_id(number * 2 + request);
        let began = Instant::now();
        send(&mut connection, model, &id);
        let answer = connection.message();
        let ms = began.elapsed().as_millis();
        match answer {
            Ok(Some(answer)) => {
                let status = answer.status();
                record.note(&format!("client {number} ({model}): {status} to {id} after {ms} ms"));
            }
            end => {
                let end = end.map(|_| ());
                record.note(&format!("client {number} ({model}): closed without an answer to {id} after {ms} ms: {end:?}"));
                return (request > 0).then_some(id);
            }
        }
    }
    None
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let runs = Runs::default();
    store.put("keyed.op", "config", CONFIG);
    let (never, in_trouble) = (Arc::default(), Arc::new(AtomicBool::new(false)));
    engine::start("i-1", "drafting", "m0", &store, &record, &runs, &in_trouble, engine::endless_error);
    engine::start("i-2", "drafting", "m1", &store, &record, &runs, &never, engine::endless_error);
    let daemon = Arc::new(Daemon::start(0, "a", store.addr, &[]));
    if !daemon.wait_ready(Duration::from_secs(15)) {
        record.note("the daemon is not ready");
        daemon.end();
        exit(2);
    }
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let watch = platform::watch(&daemon, &record, &is_over);
    // Half of the users ask for each model. Their first requests end before the trouble begins.
    let count = (RATE * TROUBLE_S) as u64;
    let clients: Vec<_> = (0..count)
        .map(|n| {
            let (daemon, record) = (Arc::clone(&daemon), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_secs_f64(n as f64 / RATE));
                client(n, if n % 2 == 0 { "m0" } else { "m1" }, &daemon, &record)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if !is_calm() {
        record.note("i-1 is in trouble from now on");
        in_trouble.store(true, Ordering::Relaxed);
    }
    let lost: Vec<String> = clients.into_iter().filter_map(|c| c.join().ok().flatten()).collect();
    is_over.store(true, Ordering::Relaxed);
    let _joined = watch.join();
    let runs = runs.lock().expect("no thread panics");
    let passed = lost.iter().filter(|id| runs.contains(*id)).count();
    record.note(&format!("{} kept connections closed without an answer, {passed} of them while a sound server ran their request; {ALLOWED} are allowed", lost.len()));
    daemon.end();
    exit(i32::from(passed > ALLOWED));
}
