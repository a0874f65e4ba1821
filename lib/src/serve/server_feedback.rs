//! What backend servers say of themselves in their answers.

use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::rate_limit::RateLimit;
use crate::cluster::rate_limits::LimitReport;
use crate::cluster::rate_share::RateShare;
use crate::cluster::send_permit::SendPermit;
use crate::cluster::send_permit::SendPermits;
use crate::cluster::server_instance::ServerInstance;
use crate::protocol::ReportedLimit;
use crate::protocol::ResponseHeaders;
use crate::serve::daemon_state::DaemonState;
use crate::serve::handle::OTHER_DAEMON_RETRY_AFTER;

/// Why a request is refused that no server may be sent.
pub const RATE_LIMITED: &str = "servers take no more requests for now";

/// Returns when a caller that leaves after `left` should come back, where the turn does not come until then.
///
/// Where other daemons send, it may go to one of these at once.
pub fn retry_after(turn: SendPermit, left: Duration) -> Option<Duration> {
    match turn.wait {
        Some(wait) => (wait > left).then_some(wait),
        None => Some(OTHER_DAEMON_RETRY_AFTER),
    }
}

impl DaemonState {
    /// Takes in what a server's answer says of its load and its limit; the request was `sent` then.
    pub fn apply_server_feedback(
        &self,
        server: &ServerInstance,
        terms: &ResponseHeaders,
        sent: Moment,
    ) {
        let now = self.now();
        if let Some(workload) = terms.load {
            self.workloads.set_reported(server, now, workload);
        }
        // Only an answer with the server's signature tells that it names no limit any more.
        let limit = match &terms.limit {
            ReportedLimit::Limit(limit) => Some(*limit),
            ReportedLimit::None if !terms.signed => return,
            ReportedLimit::None => None,
            ReportedLimit::Unreadable(text) => {
                let is_news = self.rate_limits.borrow_mut().record_unreadable(server);
                if is_news {
                    slog::warn!(self.log, "server-limit-unreadable"; "server" => %server,
                        "limit" => text.as_str());
                }
                None
            }
        };
        if self.rate_limits.borrow_mut().record_answer(server, limit, sent, now) {
            self.note_limit(server, "own");
        }
    }

    /// Takes in what a peer heard of servers' limits.
    pub fn apply_peer_limits(&self, notes: &[LimitReport], from: &str) {
        let changed = self.rate_limits.borrow_mut().merge(notes, self.now());
        for server in changed {
            self.note_limit(&server, from);
        }
    }

    fn note_limit(&self, server: &ServerInstance, from: &str) {
        let limit = self.rate_limits.borrow().limit(server);
        let share = limit.and_then(|limit| self.share(server, limit));
        slog::info!(self.log, "server-limit"; "server" => %server, "from" => from,
            "limit" => limit.map_or(-1.0, RateLimit::per_second),
            "senders" => share.map_or(0, |share| share.senders));
        self.model_waits.inventories_changed.notify_waiters();
    }

    /// Returns this daemon's part of a server's limit; none where other daemons send what the server takes.
    fn share(&self, server: &ServerInstance, limit: RateLimit) -> Option<RateShare> {
        let peers = self.peers.borrow();
        let share = RateShare::new(limit, peers.daemons());
        peers.is_sender(&self.settings.borrow().id, server, share.senders).then_some(share)
    }

    /// Returns when this daemon may send to the servers that name limits.
    pub fn send_permits(&self) -> SendPermits {
        let mut rates = self.rate_limits.borrow_mut();
        if rates.is_empty() {
            return SendPermits::new();
        }
        rates.send_permits(self.now(), |server, limit| self.share(server, limit))
    }

    /// Takes in that a request is sent to a server.
    pub fn record_send(&self, server: &ServerInstance) {
        let limit = self.rate_limits.borrow().limit(server);
        if let Some(share) = limit.and_then(|limit| self.share(server, limit)) {
            self.rate_limits.borrow_mut().record_send(server, share, self.now());
        }
    }
}
