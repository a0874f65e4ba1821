//! A model server that holds one model: it registers, sends heartbeats, reports and streams events.

use std::io::{self, Write as _};
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::plain::Runs;
use crate::record::Record;
use crate::store::Store;

/// Events of a stream, and the pause between two of them: about as long as one of the sheet's usual streams.
const EVENTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(45);

/// What a server in trouble sends until its caller closes: an error whose body has no end.
const ENDLESS_HEAD: &str = "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n";
/// Bytes of each part of such a body, and the pause between two parts: 2 MB a second.
const PART: usize = 64 * 1024;
const PART_PAUSE: Duration = Duration::from_millis(32);

/// What a server in trouble sends in place of an answer to an attempt.
pub type Trouble = fn(&mut Connection, &str, &str) -> io::Result<()>;

/// Starts a server of `service` that holds `model`; it is in trouble while `in_trouble` is set.
pub fn start(
    id: &'static str,
    service: &'static str,
    model: &'static str,
    store: &Store,
    record: &Record,
    runs: &Runs,
    in_trouble: &Arc<AtomicBool>,
    trouble: Trouble,
) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let beats = store.clone();
    let held = format!("[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}]");
    let models = held.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\
                 \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"combined\",\"models\":{models},\"sequence\":{sequence}}}"
            );
            beats.put("keyed.servers", id, &entry);
            thread::sleep(Duration::from_millis(1200));
        }
    });
    let report = format!(
        "{{\"stage\":\"combined\",\"models\":{held},\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\
         \"kv_used\":0,\"kv_total\":129385,\"handles\":0}}"
    );
    let (record, runs, in_trouble) = (record.clone(), Arc::clone(runs), Arc::clone(in_trouble));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs, in_trouble) = (record.clone(), Arc::clone(&runs), Arc::clone(&in_trouble));
            let report = report.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.message() {
                    if request.start.contains("/comfreymux/") {
                        let body = if request.start.starts_with("GET") { report.as_str() } else { "" };
                        if connection.respond(200, "Content-Type: application/json\r\n", body.as_bytes()).is_err() {
                            return;
                        }
                        continue;
                    }
                    let attempt = request.header("x-comfreymux-attempt-id").unwrap_or("-").to_owned();
                    if in_trouble.load(Ordering::Relaxed) {
                        record.note(&format!("{id} is in trouble with {attempt}"));
                        let _ended = trouble(&mut connection, id, &attempt);
                        return;
                    }
                    record.note(&format!("{id} runs {attempt}: {}", request.start));
                    runs.lock().expect("no thread panics").push(attempt.clone());
                    if send_events(&mut connection, id, &attempt).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends an error whose body has no end.
pub fn endless_error(connection: &mut Connection, _id: &str, _attempt: &str) -> io::Result<()> {
    let mut part = format!("{PART:x}\r\n").into_bytes();
    part.extend_from_slice(&[b'#'; PART]);
    part.extend_from_slice(b"\r\n");
    connection.stream.write_all(format!("{ENDLESS_HEAD}\r\n").as_bytes())?;
    loop {
        connection.stream.write_all(&part)?;
        thread::sleep(PART_PAUSE);
    }
}

fn send_head(connection: &mut Connection, id: &str, attempt: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Comfreymux-Attempt-Id: {attempt}\r\nX-Comfreymux-Server-Stamp: {id}.{attempt}\r\n\
         X-Comfreymux-Weight-Versions: 1\r\n\r\n"
    );
    connection.stream.write_all(head.as_bytes())
}

/// Sends a stream whose events have no end.
pub fn endless_events(connection: &mut Connection, id: &str, attempt: &str) -> io::Result<()> {
    send_head(connection, id, attempt)?;
    let mut number = 0_u64;
    loop {
        let mut part = Vec::new();
        while part.len() < PART {
            number += 1;
            part.extend_from_slice(format!("id:{number}\n\n").as_bytes());
        }
        let head = format!("{:x}\r\n", part.len());
        connection.stream.write_all(&[head.as_bytes(), &part, b"\r\n"].concat())?;
        thread::sleep(PART_PAUSE);
    }
}

fn send_events(connection: &mut Connection, id: &str, attempt: &str) -> io::Result<()> {
    send_head(connection, id, attempt)?;
    for number in 1..=EVENTS {
        thread::sleep(PAUSE);
        let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
        connection.stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    connection.stream.write_all(b"0\r\n\r\n")
}
