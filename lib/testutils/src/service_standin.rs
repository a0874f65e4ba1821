//! Stand-in for a plain service that counts how often each call ran.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use comfreymux_lib::backend_client::ACTIVE_HEADER;
use comfreymux_lib::backend_client::ATTEMPT_HEADER;
use comfreymux_lib::backend_client::REFUSED_HEADER;
use comfreymux_lib::backend_client::REFUSED_LEAVING;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::faults::take;
use crate::http_server::Handler;
use crate::http_server::HttpRequest;
use crate::http_server::hold_open;
use crate::http_server::respond;
use crate::http_server::respond_json;

/// Faults of the service; set by `POST /standin/fault`. A count of n affects the next n calls.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Refuses all calls because the host is leaving.
    pub leaving: bool,
    /// Duration of a call, in milliseconds.
    pub slow_ms: u64,
    /// Next calls that run and whose connection closes without an answer.
    pub lose: u32,
    /// Next calls that run and get no answer, with the connection left open.
    pub silent: u32,
    /// Next calls whose answer carries another attempt's id.
    pub crossed: u32,
    /// Next calls that are refused as busy before they run.
    pub refuse: u32,
}

#[derive(Debug, Default)]
struct Inner {
    faults: ServiceFaults,
    /// Number of runs by request body.
    runs: BTreeMap<String, u32>,
}

/// A plain service, which answers each path with the body and its number of runs.
#[derive(Debug, Default)]
pub struct ServiceStandin {
    inner: Mutex<Inner>,
}

impl ServiceStandin {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.inner().faults = faults;
    }

    /// Returns the number of runs by request body.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.inner().runs.clone()
    }

    fn call(&self, request: &HttpRequest, out: &mut TcpStream) -> io::Result<()> {
        let attempt = request.header(ATTEMPT_HEADER).to_owned();
        let mut inner = self.inner();
        if inner.faults.leaving || take(&mut inner.faults.refuse) {
            let reason = if inner.faults.leaving { REFUSED_LEAVING } else { "busy" };
            drop(inner);
            return respond(out, 503, &[(REFUSED_HEADER, reason.into())], b"");
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let count = inner.runs.entry(body.clone()).or_default();
        *count += 1;
        let count = *count;
        let (lose, silent) = (take(&mut inner.faults.lose), take(&mut inner.faults.silent));
        let crossed = take(&mut inner.faults.crossed);
        let slow = Duration::from_millis(inner.faults.slow_ms);
        drop(inner);
        thread::sleep(slow);
        if lose {
            return Ok(());
        }
        if silent {
            return hold_open(out);
        }
        let attempt = if crossed { "another-attempt".to_owned() } else { attempt };
        let headers = [
            (ATTEMPT_HEADER, attempt),
            (ACTIVE_HEADER, "1".to_owned()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let answer = json!({"path": request.path, "body": body, "run": count});
        respond(out, 200, &headers, answer.to_string().as_bytes())
    }
}

impl Handler for ServiceStandin {
    fn handle(&self, request: &HttpRequest, out: &mut TcpStream) -> io::Result<()> {
        match request.path.as_str() {
            "/standin/fault" => {
                self.set_faults(serde_json::from_slice(&request.body)?);
                respond_json(out, &"ok")
            }
            "/standin/audit" => respond_json(out, &self.runs()),
            _ => self.call(request, out),
        }
    }
}
