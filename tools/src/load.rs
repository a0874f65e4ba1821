//! Load generator: opens streams at a daemon and measures the time to the first token and between tokens.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// New streams per second.
    pub rate: f64,
    /// Time for which new streams are opened.
    pub time: Duration,
    /// Tokens of each stream.
    pub tokens: u64,
}

/// Measurements of a run.
#[derive(Debug)]
pub struct LoadResult {
    /// Time from the request to the first token, in microseconds.
    pub first: Histogram<u64>,
    /// Time between two tokens, in microseconds.
    pub between: Histogram<u64>,
    /// Streams that ended with `[DONE]`.
    pub whole: u64,
    /// Tokens received in these streams.
    pub tokens: u64,
    /// Duration of the run, until the last stream ended.
    pub took: Duration,
}

struct Shared {
    first: Mutex<Histogram<u64>>,
    between: Mutex<Histogram<u64>>,
    whole: AtomicU64,
    tokens: AtomicU64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("ten minutes in microseconds")
}

/// Opens streams at a steady rate and reads them to their ends.
///
/// # Panics
///
/// Panics if a thread cannot be started.
pub fn run(addr: SocketAddr, path: &'static str, model: &str, load: Load) -> LoadResult {
    let shared = Arc::new(Shared {
        first: Mutex::new(histogram()),
        between: Mutex::new(histogram()),
        whole: AtomicU64::new(0),
        tokens: AtomicU64::new(0),
    });
    let body = format!(
        r#"{{"model":"{model}","stream":true,"max_tokens":{},"messages":[{{"role":"user","content":"x"}}]}}"#,
        load.tokens
    );
    let started_at = Instant::now();
    let count = (load.rate * load.time.as_secs_f64()) as u64;
    let mut threads = Vec::new();
    for i in 0..count {
        let due = Duration::from_secs_f64(i as f64 / load.rate);
        thread::sleep(due.saturating_sub(started_at.elapsed()));
        let (shared, body) = (Arc::clone(&shared), body.clone());
        let stream = move || {
            // A failed stream is not counted in `whole`.
            let _failed = read_stream(addr, path, &body, &shared);
        };
        let builder = thread::Builder::new().stack_size(128 * 1024);
        threads.push(builder.spawn(stream).expect("a thread for each stream"));
    }
    for thread in threads {
        let _failed = thread.join();
    }
    let take = |m: &Mutex<Histogram<u64>>| m.lock().unwrap_or_else(PoisonError::into_inner).clone();
    LoadResult {
        first: take(&shared.first),
        between: take(&shared.between),
        whole: shared.whole.load(Ordering::Relaxed),
        tokens: shared.tokens.load(Ordering::Relaxed),
        took: started_at.elapsed(),
    }
}

/// Sends requests with a deadline that cannot be met, each on a new connection. Returns the times to their
/// responses, in microseconds, and the number of results other than a refusal with status 503.
///
/// # Panics
///
/// Panics if a thread cannot be started.
pub fn refusals(
    addr: SocketAddr,
    model: &str,
    threads: usize,
    time: Duration,
) -> (Histogram<u64>, u64) {
    let url = format!("http://{addr}{}", comfreymux_lib::chat::PATH);
    let body = format!(r#"{{"model":"{model}","messages":[]}}"#);
    let started_at = Instant::now();
    let send_all = || {
        let (mut times, mut others) = (histogram(), 0);
        while started_at.elapsed() < time {
            let sent = Instant::now();
            let answer = minreq::post(&url)
                .with_header("X-Deadline-Ms", "1")
                .with_body(body.as_str())
                .with_timeout(10)
                .send();
            times.saturating_record(sent.elapsed().as_micros() as u64);
            others += u64::from(!answer.is_ok_and(|a| a.status_code == 503));
        }
        (times, others)
    };
    thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|_| scope.spawn(send_all)).collect();
        let mut total = (histogram(), 0);
        for thread in running {
            let (times, others) = thread.join().expect("a sender thread does not panic");
            total.0 += times;
            total.1 += others;
        }
        total
    })
}

fn read_stream(addr: SocketAddr, path: &str, body: &str, shared: &Shared) -> std::io::Result<()> {
    let started_at = Instant::now();
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: d\r\nX-Caller: c{}\r\nx-attempt-id: 1\r\nContent-Length: {length}\r\n\r\n{body}",
        length % 8
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::with_capacity(1024, stream);
    let mut line = String::new();
    let mut last = started_at;
    let mut tokens = 0;
    loop {
        line.clear();
        if (&mut reader).take(4096).read_line(&mut line)? == 0 {
            return Ok(());
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data.starts_with("[DONE]") {
            shared.whole.fetch_add(1, Ordering::Relaxed);
            shared.tokens.fetch_add(tokens, Ordering::Relaxed);
            return Ok(());
        }
        let now = Instant::now();
        let gap = now.duration_since(last).as_micros() as u64;
        let into = if tokens == 0 { &shared.first } else { &shared.between };
        into.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(gap);
        tokens += 1;
        last = now;
    }
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MiB.
    pub resident_mib: f64,
}

/// Clock ticks per second in `/proc`, the same on every Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes per page in `/proc`.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the resource usage of a process so far; zeros if `/proc` cannot be read.
pub fn usage(pid: u32) -> Usage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let field =
        |n: usize| -> f64 { rest.split(' ').nth(n).and_then(|t| t.parse().ok()).unwrap_or(0.0) };
    Usage {
        cpu_s: (field(11) + field(12)) / TICKS_PER_SECOND,
        resident_mib: field(21) * PAGE_BYTES / 1024.0 / 1024.0,
    }
}
