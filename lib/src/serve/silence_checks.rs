//! Detects servers that do not respond, sends reports of them to peers, and runs health checks until they respond again.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::response::Parts;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::boot_clock::Moment;
use crate::cluster::directory::Server;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::silent_servers::MAX_CHECK_INTERVAL;
use crate::serve::call::call;
use crate::serve::daemon_state::DaemonState;

/// Interval between looks for servers that have fallen silent: shorter than the time after which one counts as such.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of a health check: no shorter than the interval between two, so that one is always
/// pending when a stalled server continues.
const CHECK_TIMEOUT: Duration = MAX_CHECK_INTERVAL;

impl DaemonState {
    /// Records a request that is sent to a server now, unless the server is an engine: a full one sends no response until a slot is free.
    pub(super) fn record_plain_send(&self, server: &Server) {
        if self.is_plain(&server.service) {
            let mut silent = self.silent_servers.borrow_mut();
            silent.record_send(&server.service, &server.instance(), self.now());
        }
    }

    /// Returns whether a service has no engines.
    pub(super) fn is_plain(&self, service: &str) -> bool {
        let config = self.config();
        let service = config.as_ref().and_then(|config| config.services.get(service));
        service.is_none_or(|service| service.engine.is_none())
    }

    /// Records the response to a request that was sent to a server at `sent_at`.
    pub(super) fn record_plain_response(&self, server: &ServerInstance, sent_at: Moment) {
        let now = self.now();
        self.silent_servers.borrow_mut().record_response(server, sent_at, now);
    }

    /// Records that a server answered a health check.
    pub(super) fn record_check(&self, server: &ServerInstance) {
        let silence = self.silent_servers.borrow_mut().record_check(server, self.now());
        self.log_responsive(server, silence, "health-check");
        self.server_responded.notify_waiters();
    }

    /// Records that the connection to a server has ended while it had a request.
    pub(super) fn record_connection_end(&self, server: &ServerInstance) {
        let silence = self.silent_servers.borrow_mut().record_sign(server, self.now());
        self.log_responsive(server, silence, "connection-end");
    }

    fn log_responsive(&self, server: &ServerInstance, silence: Option<Duration>, sign: &str) {
        if let Some(silence) = silence {
            slog::info!(self.log, "server-responsive"; "server" => %server, "sign" => sign,
                "ms" => silence.as_millis());
        }
    }

    /// Records that a peer finds servers silent.
    pub(super) fn apply_silence(&self, servers: &[(ServerInstance, u32)]) {
        let (directory, now) = (self.directory.borrow(), self.now());
        let mut silent = self.silent_servers.borrow_mut();
        for (server, millis) in servers.iter().filter(|(server, _)| directory.is_current(server)) {
            let Some(listed) = directory.get(&server.id) else { continue };
            let age = Duration::from_millis(u64::from(*millis));
            silent.record_peer(&listed.service, server, age, now);
        }
    }
}

/// Looks for servers that fall silent, for as long as the daemon runs.
pub async fn check_silent(daemon: Rc<DaemonState>) {
    loop {
        sleep(LOOK_INTERVAL).await;
        look(&daemon);
    }
}

fn look(daemon: &Rc<DaemonState>) {
    let now = daemon.now();
    let new = daemon.silent_servers.borrow_mut().take_new(now);
    for server in &new {
        slog::info!(daemon.log, "server-unresponsive"; "server" => %server);
    }
    if !new.is_empty() {
        daemon.silence_noticed.notify_one();
    }
    for service in daemon.silent_servers.borrow_mut().take_unsteady() {
        slog::info!(daemon.log, "service-unsteady"; "service" => service.as_str());
    }
    let due = daemon.silent_servers.borrow_mut().take_due(now);
    let permits = daemon.send_permits();
    for server in due.into_iter().filter(|server| !permits.contains_key(server)) {
        spawn_local(check(Rc::clone(daemon), server));
    }
}

/// Sends a health check to a silent server; any response of it ends its silence.
async fn check(daemon: Rc<DaemonState>, instance: ServerInstance) {
    let server = daemon.directory.borrow().get(&instance.id).cloned();
    let Some(server) = server.filter(|server| server.instance() == instance) else { return };
    let Some(request) = health_request(&daemon, &server) else { return };
    let response = call(&daemon.pool, &instance, server.addr, request, CHECK_TIMEOUT).await;
    let Ok(response) = response else { return };
    let (head, _body) = response.into_parts();
    if is_from(&daemon, &head, &instance) {
        daemon.record_check(&instance);
    }
}

/// Returns a health check of a server; `None` if its service has none.
pub(super) fn health_request(daemon: &DaemonState, server: &Server) -> Option<Request<Bytes>> {
    let config = daemon.config()?;
    let path = config.services.get(&server.service)?.health_path.as_ref()?;
    daemon.protocol.health_request(server, path)
}

/// Returns whether a response may be that of `server`, rather than of another one at its address.
pub(super) fn is_from(daemon: &DaemonState, head: &Parts, server: &ServerInstance) -> bool {
    let responder = daemon.protocol.parse_response_headers(head).instance;
    responder.is_none_or(|id| id == server.id)
}
