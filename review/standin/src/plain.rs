//! A server of a plain service: it registers, sends heartbeats and runs requests as a sound server does.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;

/// Ids of the attempts that a server ran.
pub type Runs = Arc<Mutex<Vec<String>>>;

/// How a server answers a request that it runs: status, more header lines and body.
pub type Work = fn(&Message) -> (u16, String, Vec<u8>);

/// Starts a server of `service`; returns its address.
pub fn start(
    id: &'static str,
    service: &'static str,
    store: &Store,
    record: &Record,
    runs: &Runs,
    work: Work,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let (beats, record, runs) = (store.clone(), record.clone(), Arc::clone(runs));
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"a\",\"version\":\"v1\",\
                 \"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{sequence}}}"
            );
            beats.put("keyed.servers", id, &entry);
            thread::sleep(Duration::from_millis(1200));
        }
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs) = (record.clone(), Arc::clone(&runs));
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.message() {
                    let attempt = request.header("x-comfreymux-attempt-id").unwrap_or("-").to_owned();
                    if request.header("x-comfreymux-expect-instance").is_some_and(|named| named != id) {
                        let line = format!("X-Comfreymux-Instance-Id: {id}\r\n");
                        let _sent = connection.respond(421, &line, b"");
                        continue;
                    }
                    record.note(&format!("{id} runs {attempt}: {}", request.start));
                    runs.lock().expect("no thread panics").push(attempt.clone());
                    let (status, lines, body) = work(&request);
                    let lines = format!(
                        "X-Comfreymux-Attempt-Id: {attempt}\r\nX-Comfreymux-Server-Stamp: {id}.{attempt}\r\n\
                         X-Comfreymux-Server-Load: 1,0,64\r\n{lines}"
                    );
                    if connection.respond(status, &lines, &body).is_err() {
                        record.note(&format!("{id} could not answer {attempt}"));
                        return;
                    }
                }
            });
        }
    });
    addr
}
