//! Stand-in for the weight store, which limits the fetches that start per second and slows down all
//! fetches if too many run concurrently.

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

/// Maximum number of concurrent fetches at full speed; further ones share its total rate.
const FULL_SPEED_FETCHES: u32 = 4;
/// Interval at which a fetch updates its progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(20);

/// Speed of the store; set by `POST /fault`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct StoreSpeed {
    /// Rate of one fetch at full speed, in MiB/s.
    pub rate: f64,
    /// Maximum number of fetches that start per second; later ones wait.
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
    next_start: Option<Instant>,
}

/// Counters that tests and the demo check; returned by `GET /audit`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct StoreAudit {
    /// Fetches started.
    pub loads: u64,
    /// Peak number of concurrent fetches.
    pub peak: u32,
}

/// The weight store; a fetch returns once the requested size is read.
#[derive(Debug, Default)]
pub struct StoreStandin {
    inner: Mutex<Inner>,
}

impl StoreStandin {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the speed, also for fetches in progress.
    pub fn set_speed(&self, speed: StoreSpeed) {
        self.inner().speed = speed;
    }

    /// Returns the counters.
    pub fn audit(&self) -> StoreAudit {
        let inner = self.inner();
        StoreAudit { loads: inner.loads, peak: inner.peak }
    }

    fn fetch(&self, size_mib: f64) {
        let starts_at = {
            let mut inner = self.inner();
            let starts_at = inner.next_start.unwrap_or_else(Instant::now).max(Instant::now());
            inner.next_start = Some(starts_at + Duration::from_secs_f64(1.0 / inner.speed.starts));
            starts_at
        };
        thread::sleep(starts_at.saturating_duration_since(Instant::now()));
        {
            let mut inner = self.inner();
            inner.active += 1;
            inner.loads += 1;
            inner.peak = inner.peak.max(inner.active);
        };
        let mut remaining_mib = size_mib;
        while remaining_mib > 0.0 {
            thread::sleep(PROGRESS_INTERVAL);
            let inner = self.inner();
            let share =
                f64::from(FULL_SPEED_FETCHES) / f64::from(inner.active.max(FULL_SPEED_FETCHES));
            remaining_mib -= inner.speed.rate * share * PROGRESS_INTERVAL.as_secs_f64();
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
