//! Daemons and stand-ins in one process, connected by real sockets on the loopback address.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use comfreymux_lib::backend_client::HttpBackendClient;
use comfreymux_lib::daemon::Daemon;
use comfreymux_lib::daemon::Sockets;
use comfreymux_lib::engine_control::HttpEngineControl;
use comfreymux_lib::host::Host;
use comfreymux_lib::host::HostRole;
use comfreymux_lib::host_list::HttpHostList;
use comfreymux_lib::log_service::HttpLog;
use comfreymux_lib::logging;
use comfreymux_lib::settings::FlagSource;
use comfreymux_lib::settings::Settings;
use comfreymux_lib::table::Edit;
use comfreymux_lib::table::Row;
use comfreymux_lib::workers::PlatformClients;
use serde_json::Value;
use slog::Logger;
use smol_str::SmolStr;

use crate::engine_settings::EngineSettings;
use crate::engine_standin::EngineStandin;
use crate::hosts_standin::HostsStandin;
use crate::http_server::HttpServer;
use crate::log_standin::LogStandin;
use crate::service_standin::ServiceStandin;
use crate::store_standin::StoreStandin;

/// Loopback address with port 0, which binds any free port.
pub const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Maximum wait for a condition or an answer before a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A platform made of stand-ins, and the daemons that use it.
#[derive(Debug)]
pub struct Rig {
    /// Stand-in for the log service.
    pub log: Arc<LogStandin>,
    /// Stand-in for the host list.
    pub hosts: Arc<HostsStandin>,
    /// Stand-in for the weight store.
    pub store: Arc<StoreStandin>,
    /// Engines by host id.
    pub engines: BTreeMap<SmolStr, EngineStandin>,
    /// Plain services by host id.
    pub services: BTreeMap<SmolStr, Arc<ServiceStandin>>,
    /// Daemons by host id.
    pub daemons: BTreeMap<SmolStr, Daemon>,
    logger: Logger,
    servers: Vec<HttpServer>,
    log_addr: SocketAddr,
    hosts_addr: SocketAddr,
    store_addr: SocketAddr,
    starts: u64,
}

/// Settings by flag, as texts; a flag that is missing keeps its default.
#[derive(Clone, Debug, Default)]
pub struct FlagValues(pub BTreeMap<String, String>);

impl FlagSource for FlagValues {
    fn text(&self, flag: &str) -> Option<String> {
        self.0.get(flag).cloned()
    }
}

impl Default for Rig {
    fn default() -> Self {
        Self::new(logging::to_test_output())
    }
}

impl Rig {
    /// Starts the log, the host list and the weight store, without hosts.
    ///
    /// # Panics
    ///
    /// Panics if no loopback socket can be opened. The methods below panic as well, since a rig is
    /// only for tests and the demo.
    pub fn new(logger: Logger) -> Self {
        let (log, hosts) = (Arc::new(LogStandin::default()), Arc::new(HostsStandin::default()));
        let store = Arc::new(StoreStandin::default());
        let start = |handler| HttpServer::start(ANY, handler).expect("bind loopback socket");
        let servers = vec![
            start(Arc::clone(&log) as _),
            start(Arc::clone(&hosts) as _),
            start(Arc::clone(&store) as _),
        ];
        Self {
            log_addr: servers[0].addr,
            hosts_addr: servers[1].addr,
            store_addr: servers[2].addr,
            log,
            hosts,
            store,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            daemons: BTreeMap::new(),
            logger,
            servers,
            starts: 0,
        }
    }

    /// Adds an engine; its remote loads fetch from the rig's weight store.
    ///
    /// # Panics
    ///
    /// Panics if no loopback socket can be opened.
    pub fn add_engine(&mut self, id: &str, centre: &str, settings: &EngineSettings) {
        let settings = EngineSettings { store: Some(self.store_addr), ..settings.clone() };
        let (memory_mib, fencing) = (settings.memory_mib, settings.fencing);
        let incarnation = settings.incarnation;
        let engine = EngineStandin::new(settings);
        let server =
            HttpServer::start(ANY, Arc::new(engine.clone())).expect("bind loopback socket");
        let host = Host {
            incarnation,
            memory_mib,
            fencing,
            id: id.into(),
            ..host(HostRole::Engine, centre, server.addr)
        };
        self.hosts.put(host);
        self.servers.push(server);
        self.engines.insert(id.into(), engine);
    }

    /// Adds a plain service that serves the table row `row`.
    ///
    /// # Panics
    ///
    /// Panics if no loopback socket can be opened.
    pub fn add_service(&mut self, id: &str, centre: &str, row: &str) {
        let service = Arc::new(ServiceStandin::default());
        let handler = Arc::clone(&service);
        let server = HttpServer::start(ANY, handler).expect("bind loopback socket");
        let host = Host {
            services: vec![row.into()],
            id: id.into(),
            ..host(HostRole::Service, centre, server.addr)
        };
        self.hosts.put(host);
        self.servers.push(server);
        self.services.insert(id.into(), service);
    }

    /// Starts a daemon; `texts` are added to the settings of the rig and override them.
    ///
    /// # Panics
    ///
    /// Panics if a socket cannot be opened, a setting is invalid or the daemon does not start.
    pub fn add_daemon(&mut self, id: &str, centre: &str, texts: &[(&str, &str)]) {
        let sockets = Sockets::open(ANY, ANY).expect("open loopback sockets");
        let mut all = FlagValues::default();
        let (log, hosts) = (self.log_addr, self.hosts_addr);
        let given = [
            ("id", id.to_owned()),
            ("centre", centre.to_owned()),
            ("listen", sockets.addr.to_string()),
            ("peer", sockets.peer_addr.to_string()),
            ("log", format!("http://{log}")),
            ("hosts", format!("http://{hosts}")),
        ];
        all.0.extend(given.map(|(k, v)| (k.to_owned(), v)));
        all.0.extend(texts.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())));
        let settings = Settings::from_source(&all).expect("valid settings");
        self.starts += 1;
        let host = Host {
            incarnation: self.starts,
            id: id.into(),
            ..host(HostRole::Entry, centre, sockets.peer_addr)
        };
        self.hosts.put(host);
        let clients = PlatformClients {
            log: Arc::new(HttpLog::new(settings.log_url.clone())),
            hosts: Arc::new(HttpHostList::new(settings.hosts_url.clone())),
            engine: Arc::new(HttpEngineControl),
        };
        let backend_client = Arc::new(HttpBackendClient::new(settings.idle_timeout));
        let logger = self.logger.clone();
        let daemon =
            Daemon::start(settings, self.starts, sockets, &clients, backend_client, logger);
        self.daemons.insert(id.into(), daemon.expect("start daemon"));
    }

    /// Returns a client of the log.
    pub fn log_client(&self) -> HttpLog {
        HttpLog::new(format!("http://{}", self.log_addr))
    }

    /// Returns the URL of a path at a daemon's HTTP address.
    pub fn url(&self, daemon: &str, path: &str) -> String {
        format!("http://{}{path}", self.daemons[daemon].addr)
    }

    /// Replaces the whole table by `rows`, with one edit of this id sent to a daemon.
    ///
    /// # Panics
    ///
    /// Panics if the edit is not accepted.
    pub fn apply(&self, daemon: &str, id: &str, rows: &[Row]) {
        let node = self.daemons[daemon].node();
        let changes = node.view.load().table.diff(rows);
        let edit = Edit { id: id.into(), author: "rig".into(), changes };
        let body = serde_json::to_vec(&edit).expect("serialize edit");
        let sent = minreq::post(self.url(daemon, "/admin/edits")).with_body(body).send();
        let status = sent.map(|r| (r.status_code, r.as_str().unwrap_or_default().to_owned()));
        assert!(matches!(status, Ok((200, _))), "edit {id}: {status:?}");
    }

    /// Waits until a daemon's routing view satisfies `done`; `what` names the condition.
    ///
    /// # Panics
    ///
    /// Panics if `done` is still false after [`WAIT_TIMEOUT`].
    pub fn await_view(
        &self,
        daemon: &str,
        what: &str,
        done: impl Fn(&comfreymux_lib::routing_view::RoutingView) -> bool,
    ) {
        let node = self.daemons[daemon].node();
        wait_for(what, || done(&node.view.load()));
    }
}

/// Waits until `done` is true; `what` names the condition.
///
/// # Panics
///
/// Panics if `done` is still false after [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Returns a host with an empty id and without memory or services.
pub fn host(role: HostRole, centre: &str, addr: SocketAddr) -> Host {
    Host {
        id: "".into(),
        role,
        addr,
        centre: centre.into(),
        incarnation: 1,
        leaving: false,
        memory_mib: 0,
        fencing: false,
        services: Vec::new(),
    }
}

/// Sends a completion request for `tokens` tokens; returns the status and the body.
///
/// # Errors
///
/// Returns an error if the call fails, times out after [`WAIT_TIMEOUT`] or the body is not UTF-8.
pub fn complete(
    url: &str,
    model: &str,
    stream: bool,
    tokens: u64,
) -> Result<(u16, String), minreq::Error> {
    let body = serde_json::json!({
        "model": model, "stream": stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": "hem the barong"}],
    });
    let response = minreq::post(url)
        .with_body(body.to_string())
        .with_timeout(WAIT_TIMEOUT.as_secs())
        .send()?;
    Ok((response.status_code, response.as_str()?.to_owned()))
}

/// Returns the tokens of an event stream, and whether it contains the `[DONE]` event.
pub fn words(body: &str) -> (Vec<String>, bool) {
    let mut tokens = Vec::new();
    let mut done = false;
    for data in body.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(token) = value.pointer("/choices/0/delta/content").and_then(Value::as_str) {
            tokens.push(token.trim().to_owned());
        }
    }
    (tokens, done)
}
