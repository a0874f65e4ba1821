//! Stand-in of the platform's host list.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use comfreymux_lib::host::Host;
use comfreymux_lib::host_list::HostChange;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::http_server::Handler;
use crate::http_server::HttpRequest;
use crate::http_server::respond;
use crate::http_server::respond_json;

/// Faults of the host list; set by `POST /fault`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct HostFaults {
    /// Nothing is answered.
    pub down: bool,
    /// Time until a change shows.
    pub lag_ms: u64,
}

#[derive(Debug)]
enum Change {
    Put(Host),
    Remove(SmolStr),
}

#[derive(Debug, Default)]
struct Inner {
    version: u64,
    hosts: Vec<Host>,
    coming: VecDeque<(Instant, Change)>,
    faults: HostFaults,
}

/// The list of hosts, which lags.
#[derive(Debug, Default)]
pub struct HostsStandin {
    inner: Mutex<Inner>,
}

impl Inner {
    fn settle(&mut self) {
        let lag = Duration::from_millis(self.faults.lag_ms);
        while self.coming.front().is_some_and(|(at, _)| at.elapsed() >= lag) {
            let Some((_, change)) = self.coming.pop_front() else {
                return;
            };
            self.version += 1;
            match change {
                Change::Put(host) => {
                    self.hosts.retain(|h| h.id != host.id);
                    self.hosts.push(host);
                }
                Change::Remove(id) => self.hosts.retain(|h| h.id != id),
            }
        }
    }
}

impl HostsStandin {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: HostFaults) {
        self.inner().faults = faults;
    }

    /// Adds or changes a host.
    pub fn put(&self, host: Host) {
        self.inner().coming.push_back((Instant::now(), Change::Put(host)));
    }

    /// Removes a host.
    pub fn remove(&self, id: &str) {
        self.inner().coming.push_back((Instant::now(), Change::Remove(id.into())));
    }
}

impl Handler for HostsStandin {
    fn handle(&self, request: &HttpRequest, out: &mut TcpStream) -> io::Result<()> {
        match request.path.as_str() {
            "/fault" => {
                self.set_faults(serde_json::from_slice(&request.body)?);
                respond_json(out, &"ok")
            }
            "/put" => {
                self.put(serde_json::from_slice(&request.body)?);
                respond_json(out, &"ok")
            }
            "/remove" => {
                self.remove(request.query.get("id").map_or("", String::as_str));
                respond_json(out, &"ok")
            }
            "/hosts" => {
                let mut inner = self.inner();
                if inner.faults.down {
                    return respond(out, 503, &[], b"down");
                }
                inner.settle();
                let since = request.number("since");
                // This small list sends everything whenever something changed.
                let whole = since != inner.version || since == 0;
                let hosts = if whole { inner.hosts.clone() } else { Vec::new() };
                let version = inner.version;
                drop(inner);
                respond_json(out, &HostChange { version, whole, hosts, removed: Vec::new() })
            }
            _ => respond(out, 404, &[], b"hosts, put, remove or fault"),
        }
    }
}
