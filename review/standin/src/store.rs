//! The platform's store, as PROTOCOL.md describes it: topics of one partition with keyed records.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};

/// Records of each topic, each the length of the key, the key and the value.
type Topics = BTreeMap<String, Vec<Vec<u8>>>;

#[derive(Debug, Default)]
struct Shared {
    topics: Mutex<Topics>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

fn record(key: &str, value: &[u8]) -> Vec<u8> {
    let mut out = vec![key.len() as u8];
    out.extend_from_slice(key.as_bytes());
    out.extend_from_slice(value);
    out
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            let digit = SET[(n >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= part.len() { digit } else { '=' });
        }
    }
    out
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn query(text: &str, name: &str) -> Option<String> {
    let mut pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, v)| unescape(v))
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let store = Self { addr, shared: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.message() {
                        let (status, body) = store.answer(&request);
                        if connection.respond(status, "", &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Appends a keyed record.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.shared.topics.lock().expect("no thread panics");
        topics.entry(topic.to_owned()).or_default().push(record(key, value.as_bytes()));
        self.shared.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let (_, path, text) = request.target();
        let topic = query(&text, "topic").unwrap_or_default();
        let number = |name| query(&text, name).and_then(|v| v.parse::<u64>().ok());
        match path.as_str() {
            "/comfreymux/log-append" => self.append(&topic, number("at"), &request.body),
            "/comfreymux/log-read" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                (200, self.read(&topic, number("from").unwrap_or(0), wait))
            }
            "/comfreymux/log-newest" => (200, self.newest(&topic, query(&text, "after"))),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, at: Option<u64>, mut body: &[u8]) -> (u16, Vec<u8>) {
        let mut topics = self.shared.topics.lock().expect("no thread panics");
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len() as u64;
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        while let Some((head, rest)) = body.split_at_checked(4) {
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let Some((content, rest)) = rest.split_at_checked(length) else { break };
            records.push(content.to_vec());
            body = rest;
        }
        let end = records.len();
        self.shared.changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, topic: &str, from: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.shared.topics.lock().expect("no thread panics");
        loop {
            let records = topics.entry(topic.to_owned()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if records.len() as u64 > from || left.is_zero() {
                let mut out = (records.len() as u64).to_be_bytes().to_vec();
                out.extend_from_slice(&0_u64.to_be_bytes());
                for content in records.iter().skip(from as usize) {
                    out.extend_from_slice(&(content.len() as u32).to_be_bytes());
                    out.extend_from_slice(content);
                }
                return out;
            }
            topics = self.shared.changed.wait_timeout(topics, left).expect("no thread panics").0;
        }
    }

    fn newest(&self, topic: &str, after: Option<String>) -> Vec<u8> {
        let mut topics = self.shared.topics.lock().expect("no thread panics");
        let records = topics.entry(topic.to_owned()).or_default();
        let mut latest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, content) in records.iter().enumerate() {
            let length = content[0] as usize;
            let key = String::from_utf8_lossy(&content[1..=length]).into_owned();
            latest.insert(key, (offset, &content[1 + length..]));
        }
        latest.retain(|key, (_, value)| {
            !value.is_empty() && after.as_ref().is_none_or(|after| key > after)
        });
        let items: Vec<String> = latest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}").into_bytes()
    }
}
