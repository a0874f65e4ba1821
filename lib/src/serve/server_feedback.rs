//! Applies what backend servers report of themselves in their responses: workload, rate limit, rest and departure.

use std::time::Duration;

use rand::RngExt as _;

use crate::boot_clock::Moment;
use crate::cluster::brittle_servers::BrittleSend;
use crate::cluster::directory::Change;
use crate::cluster::rate_limit::RateLimit;
use crate::cluster::rate_limits::LimitReport;
use crate::cluster::rate_share::RateShare;
use crate::cluster::send_permit::SendPermit;
use crate::cluster::send_permit::SendPermits;
use crate::cluster::server_instance::ServerInstance;
use crate::protocol::ReportedLimit;
use crate::protocol::ReportedRest;
use crate::protocol::ResponseHeaders;
use crate::serve::apply_updates;
use crate::serve::daemon_state::DaemonState;
use crate::serve::handle::OTHER_DAEMON_RETRY_AFTER;

/// Reason of a refusal when rate limits and rests permit no server for a request.
pub const RATE_LIMITED: &str = "servers take no more requests for now";

/// Callers that are told to retry when servers may be used again return spread over a quarter of their wait, so that they
/// do not all arrive at once.
const MAX_RETURN_FACTOR: f64 = 1.25;

/// Returns after how long a caller should retry that can wait for `remaining`, or `None` if it can wait for its send
/// permit.
///
/// If only other daemons send to the server, the caller should try another daemon after a short delay.
pub fn retry_after(permit: SendPermit, remaining: Duration) -> Option<Duration> {
    match permit.wait {
        Some(wait) if wait > remaining => {
            Some(wait.mul_f64(rand::rng().random_range(1.0..=MAX_RETURN_FACTOR)))
        }
        Some(_) => None,
        None => Some(OTHER_DAEMON_RETRY_AFTER),
    }
}

impl DaemonState {
    /// Applies what a server reports of itself in its response to a request that was sent at `sent_at`.
    pub fn apply_server_feedback(
        &self,
        server: &ServerInstance,
        headers: &ResponseHeaders,
        sent_at: Moment,
    ) {
        let now = self.now();
        self.apply_notices(server, headers);
        self.apply_brittleness(server, headers);
        if let Some(workload) = headers.workload {
            self.workloads.set_reported(server, now, workload);
            if let Some(percent) = workload.slowdown_percent.filter(|percent| *percent > 0) {
                self.record_slowdown(server, f64::from(percent) / 100.0);
            }
        }
        // Only a response with the server's signature shows that the server has no limit any more.
        let limit = match &headers.limit {
            ReportedLimit::Limit(limit) => Some(*limit),
            ReportedLimit::None if !headers.signed => return,
            ReportedLimit::None => None,
            ReportedLimit::Unreadable(text) => {
                let is_first = self.rate_limits.borrow_mut().record_unreadable(server);
                if is_first {
                    slog::warn!(self.log, "server-limit-unreadable"; "server" => %server,
                        "limit" => text.as_str());
                }
                None
            }
        };
        if self.rate_limits.borrow_mut().record_answer(server, limit, sent_at, now) {
            self.on_limit_changed(server, "own");
        }
    }

    fn record_slowdown(&self, server: &ServerInstance, slowdown: f64) {
        let now = self.now();
        let Some(own) = self.slowdowns.record_response(server, slowdown, now) else { return };
        let all = self.slowdowns.estimate(server, now);
        slog::info!(self.log, "server-slowdown"; "server" => %server,
            "own" => format_args!("{:.2}", own.mean()), "own_reports" => own.weight().round(),
            "all" => format_args!("{:.2}", all.mean()), "all_reports" => all.weight().round(),
            "expected" => format_args!("{:.2}", self.slowdowns.expected(server, now)));
    }

    /// Applies a server's announcement that it is leaving, and the rest that it asks for.
    pub fn apply_notices(&self, server: &ServerInstance, headers: &ResponseHeaders) {
        self.apply_rest(server, &headers.rest);
        if headers.leaving {
            self.apply_leave(server);
        }
    }

    /// Applies a server's announcement that it is leaving. Peers are told at once.
    fn apply_leave(&self, server: &ServerInstance) {
        let change = self.directory.borrow_mut().announce_leave(server, self.now());
        if change == Change::None {
            return;
        }
        slog::info!(self.log, "server"; "server" => %server, "change" => ?change, "from" => "answer");
        apply_updates::on_servers_changed(self);
        self.departure_heard.notify_one();
        self.report_due.notify_one();
    }

    fn apply_rest(&self, server: &ServerInstance, rest: &ReportedRest) {
        match rest {
            ReportedRest::None => {}
            ReportedRest::Rest(time) => {
                self.server_rests.borrow_mut().record(server, *time, self.now());
                slog::info!(self.log, "server-rest"; "server" => %server, "ms" => time.as_millis());
            }
            ReportedRest::Unreadable(text) => {
                slog::warn!(self.log, "server-rest-unreadable"; "server" => %server, "rest" => text.as_str());
            }
        }
    }

    /// Applies that a server is brittle or not, and that a brittle one turned a request away.
    fn apply_brittleness(&self, server: &ServerInstance, headers: &ResponseHeaders) {
        // Only a response with the server's signature shows that it is not brittle any more.
        if headers.brittle.is_none() && !headers.signed {
            return;
        }
        let known = self.brittle_servers.limit(server);
        self.brittle_servers.record_response(server, headers.brittle, self.now());
        if known != headers.brittle {
            self.limit_heard.notify_one();
            slog::info!(self.log, "server-brittle"; "server" => %server,
                "limit" => headers.brittle.map_or(-1, i64::from));
        }
        if headers.not_executed {
            self.brittle_servers.record_refusal(server, self.now());
        }
    }

    /// Applies servers' rate limits that a peer reported.
    pub fn apply_peer_limits(&self, reports: &[LimitReport], from: &str) {
        let changed = self.rate_limits.borrow_mut().merge(reports, self.now());
        for server in changed {
            self.on_limit_changed(&server, from);
        }
    }

    /// Logs a changed limit and wakes waiting requests.
    fn on_limit_changed(&self, server: &ServerInstance, from: &str) {
        let limit = self.rate_limits.borrow().limit(server);
        let share = limit.and_then(|limit| self.rate_share(server, limit));
        slog::info!(self.log, "server-limit"; "server" => %server, "from" => from,
            "limit" => limit.map_or(-1.0, RateLimit::per_second),
            "senders" => share.map_or(0, |share| share.senders));
        self.model_waits.inventories_changed.notify_waiters();
    }

    /// Returns this daemon's share of a server's limit, or `None` if only other daemons send to the server.
    fn rate_share(&self, server: &ServerInstance, limit: RateLimit) -> Option<RateShare> {
        let peers = self.peers.borrow();
        let share = RateShare::new(limit, peers.daemons());
        peers.is_sender(&self.settings.borrow().id, server, share.senders).then_some(share)
    }

    /// Returns when this daemon may send to each of the servers that have rate limits or are at rest.
    pub fn send_permits(&self) -> SendPermits {
        let now = self.now();
        let mut rates = self.rate_limits.borrow_mut();
        let mut permits = if rates.is_empty() {
            SendPermits::new()
        } else {
            rates.send_permits(now, |server, limit| self.rate_share(server, limit))
        };
        for (server, left) in self.server_rests.borrow_mut().remaining(now) {
            let permit = permits.entry(server.clone()).or_insert(SendPermit::GRANTED);
            permit.postpone(left);
        }
        self.add_brittle_servers(&mut permits);
        permits
    }

    /// Adds the brittle servers that may get no request of this daemon now.
    fn add_brittle_servers(&self, permits: &mut SendPermits) {
        let peers = self.peers.borrow();
        let settings = self.settings.borrow();
        let is_sender =
            |server: &ServerInstance, senders| peers.is_sender(&settings.id, server, senders);
        self.brittle_servers.visit_waits(self.now(), peers.daemons(), is_sender, |server, wait| {
            let permit = permits.entry(server.clone()).or_insert(SendPermit::GRANTED);
            match wait {
                Some(wait) => permit.postpone(wait),
                None => *permit = SendPermit { wait: None, probe_due: false },
            }
        });
    }

    /// Records that a request is sent to a server. What this returns is dropped when the server no longer has it.
    pub fn record_send(&self, server: &ServerInstance) -> Option<BrittleSend> {
        let limit = self.rate_limits.borrow().limit(server);
        if let Some(share) = limit.and_then(|limit| self.rate_share(server, limit)) {
            self.rate_limits.borrow_mut().record_send(server, share, self.now());
        }
        self.brittle_servers.begin_send(server)
    }
}
