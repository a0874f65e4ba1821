//! Stand-in for the platform's log service, with injected faults.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use comfreymux_lib::ids::Offset;
use comfreymux_lib::log_service::AppendResponse;
use comfreymux_lib::log_service::LogPage;
use comfreymux_lib::wire;
use serde::Deserialize;
use serde::Serialize;

use crate::http_server::Handler;
use crate::http_server::HttpRequest;
use crate::http_server::respond;
use crate::http_server::respond_json;

/// Maximum number of entries in one page.
const MAX_PAGE_ENTRIES: usize = 500;

/// Faults of the log; set by `POST /fault`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LogFaults {
    /// Answers each call with status 503.
    pub down: bool,
    /// Next appends that are carried out without an answer.
    pub lose: u32,
    /// Delay of each append, in milliseconds.
    pub slow_ms: u64,
    /// Number of newest entries to keep; 0 keeps all.
    pub keep: usize,
}

#[derive(Debug, Default)]
struct Inner {
    first: Offset,
    entries: VecDeque<Vec<u8>>,
    faults: LogFaults,
    appends: u64,
}

/// An append-only log in memory.
#[derive(Debug, Default)]
pub struct LogStandin {
    inner: Mutex<Inner>,
    appended: Condvar,
}

impl LogStandin {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all faults and wakes waiting readers.
    pub fn set_faults(&self, faults: LogFaults) {
        self.inner().faults = faults;
        self.appended.notify_all();
    }

    /// Returns the number of appends carried out, including those without an answer.
    pub fn appends(&self) -> u64 {
        self.inner().appends
    }

    fn append(&self, body: &[u8]) -> Offset {
        let mut inner = self.inner();
        inner.entries.push_back(body.to_vec());
        inner.appends += 1;
        let offset = inner.first + inner.entries.len() as Offset - 1;
        let keep = inner.faults.keep;
        while keep > 0 && inner.entries.len() > keep {
            inner.entries.pop_front();
            inner.first += 1;
        }
        self.appended.notify_all();
        offset
    }

    fn read(&self, from: Offset, wait: Duration) -> LogPage {
        let end = |inner: &Inner| inner.first + inner.entries.len() as Offset;
        let inner = self.inner();
        let (inner, _) = self
            .appended
            .wait_timeout_while(inner, wait, |i| end(i) <= from && !i.faults.down)
            .unwrap_or_else(PoisonError::into_inner);
        let skip = from.saturating_sub(inner.first) as usize;
        let offsets = inner.first + skip as Offset..;
        let entries = inner.entries.iter().skip(skip).take(MAX_PAGE_ENTRIES).cloned();
        LogPage { oldest: inner.first, entries: offsets.zip(entries).collect() }
    }
}

impl Handler for LogStandin {
    fn handle(&self, request: &HttpRequest, out: &mut TcpStream) -> io::Result<()> {
        let faults = self.inner().faults.clone();
        if request.path == "/fault" {
            self.set_faults(serde_json::from_slice(&request.body)?);
            return respond_json(out, &"ok");
        }
        if faults.down {
            return respond(out, 503, &[], b"down");
        }
        match request.path.as_str() {
            "/append" => {
                thread::sleep(Duration::from_millis(faults.slow_ms));
                let offset = self.append(&request.body);
                let mut inner = self.inner();
                if inner.faults.lose > 0 {
                    inner.faults.lose -= 1;
                    // The connection closes without an answer.
                    return Ok(());
                }
                drop(inner);
                respond_json(out, &AppendResponse { offset })
            }
            "/read" => {
                let wait = Duration::from_millis(request.number("wait_ms"));
                let page = self.read(request.number("from"), wait);
                if self.inner().faults.down {
                    return respond(out, 503, &[], b"down");
                }
                respond(out, 200, &[], &wire::encode(&page))
            }
            _ => respond(out, 404, &[], b"append, read or fault"),
        }
    }
}
