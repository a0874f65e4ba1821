//! Stand-in of the weight store: so many loads a second begin, so many run at full speed.

use std::io;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::http_server::Handler;
use crate::http_server::HttpRequest;
use crate::http_server::respond;
use crate::http_server::respond_json;

/// Loads that run at full speed at once.
const FULL_SPEED: u32 = 4;
/// Time of one step of a load.
const STEP: Duration = Duration::from_millis(20);

/// Speed of the store; set by `POST /fault`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct StoreSpeed {
    /// MiB/s of one load at full speed.
    pub rate: f64,
    /// Loads that may begin in a second.
    pub starts: f64,
}

impl Default for StoreSpeed {
    fn default() -> Self {
        Self { rate: 500.0, starts: 4.0 }
    }
}

#[derive(Debug, Default)]
struct Inner {
    speed: StoreSpeed,
    active: u32,
    peak: u32,
    loads: u64,
    next: Option<Instant>,
}

/// What the store saw.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct StoreAudit {
    /// Loads begun.
    pub loads: u64,
    /// Most loads at once.
    pub peak: u32,
}

/// The weight store.
#[derive(Debug, Default)]
pub struct StoreStandin {
    inner: Mutex<Inner>,
}

impl StoreStandin {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the speed.
    pub fn set_speed(&self, speed: StoreSpeed) {
        self.inner().speed = speed;
    }

    /// Returns what the store saw.
    pub fn audit(&self) -> StoreAudit {
        let inner = self.inner();
        StoreAudit { loads: inner.loads, peak: inner.peak }
    }

    fn fetch(&self, size: f64) {
        let begin = {
            let mut inner = self.inner();
            let begin = inner.next.unwrap_or_else(Instant::now).max(Instant::now());
            inner.next = Some(begin + Duration::from_secs_f64(1.0 / inner.speed.starts));
            begin
        };
        thread::sleep(begin.saturating_duration_since(Instant::now()));
        {
            let mut inner = self.inner();
            inner.active += 1;
            inner.loads += 1;
            inner.peak = inner.peak.max(inner.active);
        };
        let mut left = size;
        while left > 0.0 {
            thread::sleep(STEP);
            let inner = self.inner();
            let share = f64::from(FULL_SPEED) / f64::from(inner.active.max(FULL_SPEED));
            left -= inner.speed.rate * share * STEP.as_secs_f64();
        }
        self.inner().active -= 1;
    }
}

impl Handler for StoreStandin {
    fn handle(&self, request: &HttpRequest, out: &mut TcpStream) -> io::Result<()> {
        match request.path.as_str() {
            "/fault" => {
                self.set_speed(serde_json::from_slice(&request.body)?);
                respond_json(out, &"ok")
            }
            "/fetch" => {
                self.fetch(request.number("mib") as f64);
                respond_json(out, &"ok")
            }
            "/audit" => respond_json(out, &self.audit()),
            _ => respond(out, 404, &[], b"fetch, audit or fault"),
        }
    }
}
