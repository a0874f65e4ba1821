//! Stand-in of a plain service that counts how often each call ran.

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
use crate::http_server::respond;
use crate::http_server::respond_json;
use crate::http_server::stay_silent;

/// Faults of the service; set by `POST /fault`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// New work is refused because the host leaves.
    pub leaving: bool,
    /// Time that a call takes.
    pub slow_ms: u64,
    /// Next calls that run and whose answer is lost.
    pub lose: u32,
    /// Next calls that run and whose answer never comes.
    pub silent: u32,
    /// Next calls whose answer belongs to another attempt.
    pub crossed: u32,
    /// Next calls that are refused before running.
    pub refuse: u32,
}

#[derive(Debug, Default)]
struct Inner {
    faults: ServiceFaults,
    /// How often a call with each body ran.
    runs: BTreeMap<String, u32>,
}

/// A plain service.
#[derive(Debug, Default)]
pub struct ServiceStandin {
    inner: Mutex<Inner>,
}

impl ServiceStandin {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.inner().faults = faults;
    }

    /// Returns how often each call ran, by its body.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.inner().runs.clone()
    }

    fn call(&self, request: &HttpRequest, out: &mut TcpStream) -> io::Result<()> {
        let attempt = request.header(ATTEMPT_HEADER).to_owned();
        let mut inner = self.inner();
        if inner.faults.leaving || take(&mut inner.faults.refuse) {
            let word = if inner.faults.leaving { REFUSED_LEAVING } else { "busy" };
            drop(inner);
            return respond(out, 503, &[(REFUSED_HEADER, word.into())], b"");
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
            return stay_silent(out);
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
