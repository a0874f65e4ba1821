//! Stand-in for the platform's host list, whose changes can show with a delay.

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
    /// Answers each read with status 503.
    pub down: bool,
    /// Delay until a change shows in the list, in milliseconds.
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
    pending: VecDeque<(Instant, Change)>,
    faults: HostFaults,
}

/// The list of hosts; a change shows after the delay of [`HostFaults`].
#[derive(Debug, Default)]
pub struct HostsStandin {
    inner: Mutex<Inner>,
}

impl Inner {
    fn apply_due(&mut self) {
        let lag = Duration::from_millis(self.faults.lag_ms);
        while self.pending.front().is_some_and(|(at, _)| at.elapsed() >= lag) {
            let Some((_, change)) = self.pending.pop_front() else {
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

    /// Replaces all faults.
    pub fn set_faults(&self, faults: HostFaults) {
        self.inner().faults = faults;
    }

    /// Adds a host or replaces the one with its id, after the delay.
    pub fn put(&self, host: Host) {
        self.inner().pending.push_back((Instant::now(), Change::Put(host)));
    }

    /// Removes a host by id, after the delay.
    pub fn remove(&self, id: &str) {
        self.inner().pending.push_back((Instant::now(), Change::Remove(id.into())));
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
                inner.apply_due();
                let since = request.number("since");
                // The list is small, so any change sends the whole list instead of a difference.
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
