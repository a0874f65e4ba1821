//! Stand-in for a model engine that loads and unloads models and streams completions.
//!
//! It doesn't enforce its memory size, so that a test can detect an overcommit.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use comfreymux_lib::backend_client::ACTIVE_HEADER;
use comfreymux_lib::backend_client::ATTEMPT_HEADER;
use comfreymux_lib::backend_client::REFUSED_HEADER;
use comfreymux_lib::backend_client::REFUSED_LEAVING;
use comfreymux_lib::backend_client::REFUSED_NOT_LOADED;
use comfreymux_lib::backend_client::RESUME_HEADER;
use comfreymux_lib::host::CachedCheckpoint;
use comfreymux_lib::host::ModelReport;
use comfreymux_lib::host::Order;
use comfreymux_lib::host::OrderAction;
use comfreymux_lib::host::OrderAnswer;
use comfreymux_lib::host::ServerReport;
use comfreymux_lib::ids::Fence;
use comfreymux_lib::ids::Mebibytes;
use comfreymux_lib::ids::ModelName;
use comfreymux_lib::ids::Position;
use comfreymux_lib::record::Source;
use serde_json::json;

use crate::engine_settings::EngineAudit;
use crate::engine_settings::EngineFaults;
use crate::engine_settings::EngineSettings;
use crate::faults::take;
use crate::http_server::Handler;
use crate::http_server::HttpRequest;
use crate::http_server::header_lines;
use crate::http_server::hold_open;
use crate::http_server::respond;
use crate::http_server::respond_json;

#[derive(Clone, Debug)]
struct HeldModel {
    loaded: bool,
    ticket: Position,
    memory_mib: Mebibytes,
    active: u32,
    served: u64,
}

#[derive(Debug, Default)]
struct Inner {
    fence: Fence,
    held_models: BTreeMap<ModelName, HeldModel>,
    cached: BTreeMap<ModelName, Source>,
    faults: EngineFaults,
    audit: EngineAudit,
    reports: Vec<(Instant, ServerReport)>,
}

/// A model engine; clones share their state.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    settings: Arc<EngineSettings>,
    inner: Arc<Mutex<Inner>>,
}

/// A fault in the middle of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamFault {
    Stall,
    Cut,
    Error,
}

impl EngineStandin {
    /// Creates an engine with nothing loaded.
    pub fn new(settings: EngineSettings) -> Self {
        Self { settings: Arc::new(settings), inner: Arc::default() }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all faults, including counts that are not used up.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.inner().faults = faults;
    }

    /// Adds a copy of `model` at `source`, which later loads read.
    pub fn cache(&self, model: &str, source: Source) {
        self.inner().cached.insert(model.into(), source);
    }

    /// Drops a model without an order, as after a crash of the engine's worker.
    pub fn forget(&self, model: &str) {
        self.inner().held_models.remove(model);
    }

    /// Returns the counters and the models that are loaded or loading.
    pub fn audit(&self) -> EngineAudit {
        let inner = self.inner();
        EngineAudit { models: inner.held_models.keys().cloned().collect(), ..inner.audit.clone() }
    }

    /// Carries out an order, or refuses it if it is stale or its model is in use.
    pub fn order(&self, order: &Order) -> OrderAnswer {
        let mut inner = self.inner();
        let is_stale = order.fence < inner.fence || order.incarnation != self.settings.incarnation;
        if self.settings.fencing && is_stale {
            inner.audit.stale += 1;
            return OrderAnswer::Stale;
        }
        inner.fence = inner.fence.max(order.fence);
        match order.action {
            OrderAction::Load => {
                if let Some(held) = inner.held_models.get_mut(&order.model) {
                    held.ticket = held.ticket.max(order.ticket);
                } else {
                    self.start_load(&mut inner, order);
                }
                OrderAnswer::Done
            }
            OrderAction::Unload => match inner.held_models.get(&order.model) {
                Some(held) if held.active > 0 => OrderAnswer::Busy,
                _ => {
                    inner.held_models.remove(&order.model);
                    OrderAnswer::Done
                }
            },
        }
    }

    fn start_load(&self, inner: &mut Inner, order: &Order) {
        let held = HeldModel {
            loaded: false,
            ticket: order.ticket,
            memory_mib: order.memory_mib,
            active: 0,
            served: 0,
        };
        inner.held_models.insert(order.model.clone(), held);
        inner.audit.loads += 1;
        let used = inner.held_models.values().map(|p| p.memory_mib).sum();
        inner.audit.peak_mib = inner.audit.peak_mib.max(used);
        let source = inner.cached.get(&order.model).copied().unwrap_or(Source::Remote);
        let (engine, order) = (self.clone(), order.clone());
        thread::spawn(move || {
            engine.read_weights(source, order.load_mib);
            engine.finish_load(&order);
        });
    }

    fn read_weights(&self, source: Source, size_mib: Mebibytes) {
        let rate = match (source, self.settings.store) {
            (Source::Memory, _) => self.settings.memory_rate,
            (Source::Remote, Some(store)) => {
                // The stand-in has no failed loads: a load also completes if the store fails.
                let _failed = minreq::get(format!("http://{store}/fetch?mib={size_mib}")).send();
                return;
            }
            (Source::Disk | Source::Remote, _) => self.settings.disk_rate,
        };
        thread::sleep(Duration::from_secs_f64(size_mib as f64 / rate));
    }

    fn finish_load(&self, order: &Order) {
        let mut inner = self.inner();
        let held = inner.held_models.get_mut(&order.model).filter(|p| p.ticket >= order.ticket);
        if let Some(held) = held {
            held.loaded = true;
            inner.cached.insert(order.model.clone(), Source::Memory);
        }
    }

    /// Returns the newest report that is at least `lag_ms` old, or an empty one if there is none.
    pub fn report(&self) -> ServerReport {
        let mut inner = self.inner();
        let fresh = ServerReport {
            incarnation: self.settings.incarnation,
            fence: inner.fence,
            leaving: inner.faults.leaving,
            models: inner.held_models.iter().map(|(model, p)| p.report(model)).collect(),
            cached: inner
                .cached
                .iter()
                .map(|(model, source)| CachedCheckpoint { model: model.clone(), source: *source })
                .collect(),
        };
        let lag = Duration::from_millis(inner.faults.lag_ms);
        inner.reports.push((Instant::now(), fresh.clone()));
        let newest_due = inner.reports.iter().rposition(|(at, _)| at.elapsed() >= lag);
        if let Some(newest_due) = newest_due {
            inner.reports.drain(..newest_due);
            return inner.reports[0].1.clone();
        }
        ServerReport { incarnation: self.settings.incarnation, ..ServerReport::default() }
    }

    fn complete(&self, request: &HttpRequest, out: &mut TcpStream) -> io::Result<()> {
        let body: serde_json::Value = serde_json::from_slice(&request.body)?;
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        let attempt = {
            let mut inner = self.inner();
            if take(&mut inner.faults.silent) {
                drop(inner);
                return hold_open(out);
            }
            let crossed = take(&mut inner.faults.crossed);
            if crossed {
                "another-attempt".into()
            } else {
                request.header(ATTEMPT_HEADER).to_owned()
            }
        };
        let active = match self.begin_request(&model) {
            Ok(active) => active,
            Err(reason) => return respond(out, 503, &[(REFUSED_HEADER, reason.into())], b""),
        };
        let headers = [(ATTEMPT_HEADER, attempt), (ACTIVE_HEADER, active.to_string())];
        let result = if body["stream"] == true {
            self.send_stream(request, &body, &headers, out)
        } else {
            self.send_completion(&body, &headers, out)
        };
        if let Some(held) = self.inner().held_models.get_mut(model.as_str()) {
            held.active = held.active.saturating_sub(1);
        }
        result
    }

    fn begin_request(&self, model: &str) -> Result<u32, &'static str> {
        let mut inner = self.inner();
        if inner.faults.leaving {
            return Err(REFUSED_LEAVING);
        }
        let held =
            inner.held_models.get_mut(model).filter(|p| p.loaded).ok_or(REFUSED_NOT_LOADED)?;
        if held.active >= self.settings.slots {
            return Err("busy");
        }
        held.active += 1;
        held.served += 1;
        let active = held.active;
        inner.audit.served += 1;
        Ok(active)
    }

    fn tokens(&self, body: &serde_json::Value) -> u64 {
        body["max_tokens"].as_u64().unwrap_or(self.settings.tokens)
    }

    fn send_completion(
        &self,
        body: &serde_json::Value,
        headers: &[(&str, String)],
        out: &mut TcpStream,
    ) -> io::Result<()> {
        let tokens = self.tokens(body);
        thread::sleep(self.settings.first + self.settings.gap * tokens as u32);
        let token_texts: Vec<String> = (0..tokens).map(|i| format!("t{i}")).collect();
        let text = token_texts.join(" ");
        let answer = json!({
            "id": "chatcmpl-1", "object": "chat.completion", "created": 0, "model": body["model"],
            "choices": [{"index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": text}}],
            "usage": {"prompt_tokens": 1, "completion_tokens": tokens, "total_tokens": tokens + 1},
        });
        let mut headers = headers.to_vec();
        headers.push(("Content-Type", "application/json".into()));
        respond(out, 200, &headers, answer.to_string().as_bytes())
    }

    fn send_stream(
        &self,
        request: &HttpRequest,
        body: &serde_json::Value,
        headers: &[(&str, String)],
        out: &mut TcpStream,
    ) -> io::Result<()> {
        let (fault, after) = self.take_stream_fault();
        let tokens = self.tokens(body);
        let resume = request.header(RESUME_HEADER).parse::<u64>().unwrap_or(0);
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        head.push_str(&header_lines(headers));
        out.write_all(head.as_bytes())?;
        thread::sleep(self.settings.first);
        for i in resume..tokens {
            if fault.is_some() && i >= after.max(resume) {
                break;
            }
            let finish = if i + 1 == tokens { json!("stop") } else { json!(null) };
            let chunk = json!({
                "id": "chatcmpl-1", "object": "chat.completion.chunk", "created": 0,
                "model": body["model"],
                "choices": [{"index": 0, "delta": {"content": format!("t{i} ")},
                    "finish_reason": finish}],
            });
            write_event(out, &chunk.to_string())?;
            thread::sleep(self.settings.gap);
        }
        match fault {
            Some(StreamFault::Stall) => return hold_open(out),
            Some(StreamFault::Cut) => return Ok(()),
            Some(StreamFault::Error) => {
                write_event(out, r#"{"error":{"code":429,"message":"engine overloaded"}}"#)?;
            }
            None => write_event(out, "[DONE]")?,
        }
        out.write_all(b"0\r\n\r\n")
    }

    fn take_stream_fault(&self) -> (Option<StreamFault>, u64) {
        let faults = &mut self.inner().faults;
        let fault = if take(&mut faults.stall) {
            Some(StreamFault::Stall)
        } else if take(&mut faults.cut) {
            Some(StreamFault::Cut)
        } else if take(&mut faults.error) {
            Some(StreamFault::Error)
        } else {
            None
        };
        (fault, faults.after)
    }
}

impl HeldModel {
    fn report(&self, model: &ModelName) -> ModelReport {
        ModelReport {
            model: model.clone(),
            loaded: self.loaded,
            active: self.active,
            served: self.served,
            ticket: self.ticket,
        }
    }
}

fn write_event(out: &mut TcpStream, data: &str) -> io::Result<()> {
    let event = format!("data: {data}\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    out.write_all(chunk.as_bytes())
}

impl Handler for EngineStandin {
    fn handle(&self, request: &HttpRequest, out: &mut TcpStream) -> io::Result<()> {
        match request.path.as_str() {
            "/report" => respond_json(out, &self.report()),
            "/order" => {
                let answer = self.order(&serde_json::from_slice(&request.body)?);
                if take(&mut self.inner().faults.lose) {
                    return Ok(());
                }
                respond_json(out, &answer)
            }
            "/fault" => {
                self.set_faults(serde_json::from_slice(&request.body)?);
                respond_json(out, &"ok")
            }
            "/cache" => {
                let model = request.query.get("model").map_or("", String::as_str);
                let source = request.query.get("source").map_or("", String::as_str);
                let source = if source == "memory" { Source::Memory } else { Source::Disk };
                self.cache(model, source);
                respond_json(out, &"ok")
            }
            "/audit" => respond_json(out, &self.audit()),
            "/v1/chat/completions" => self.complete(request, out),
            _ => respond(out, 404, &[], b"report, order, audit, cache, fault or completions"),
        }
    }
}
