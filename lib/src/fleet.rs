//! Hosts that can be reached: the host list, load reports and this daemon's own failures.
//!
//! The host list lags. A backend server that leaves says so in its reports and refusals, and one
//! that died fails this daemon's own requests; both take it out of routing before the list does.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::failure_backoff::FailureBackoff;
use crate::host::Host;
use crate::host::HostRole;
use crate::host::ServerReport;
use crate::ids::Incarnation;
use crate::ids::ServerId;

/// What is known of one host.
#[derive(Clone, Debug)]
pub struct HostState {
    /// The host list's line.
    pub host: Host,
    /// Whether the host list or the host itself says that it leaves.
    pub leaving: bool,
    /// Last report and when it came.
    pub last_report: Option<(Duration, ServerReport)>,
    /// When the last report was asked for.
    pub polled_at: Option<Duration>,
    backoff: FailureBackoff,
}

impl HostState {
    fn new(host: Host) -> Self {
        let leaving = host.leaving;
        Self {
            host,
            leaving,
            last_report: None,
            polled_at: None,
            backoff: FailureBackoff::default(),
        }
    }

    /// Returns whether the host failed several times and is left alone for now.
    pub fn is_suspected(&self, now: Duration) -> bool {
        self.backoff.is_active(now)
    }

    /// Returns whether new work may go there.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.leaving && !self.is_suspected(now)
    }
}

/// All hosts of the host list.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: BTreeMap<ServerId, HostState>,
    known: bool,
}

impl Fleet {
    /// Takes over a complete host list and returns the hosts that are not in it any more.
    pub fn replace(&mut self, hosts: Vec<Host>) -> Vec<(ServerId, Incarnation)> {
        self.known = true;
        let mut old = std::mem::take(&mut self.members);
        for host in hosts {
            let kept = old.remove(&host.id).filter(|m| m.host.incarnation == host.incarnation);
            let mut member = kept.unwrap_or_else(|| HostState::new(host.clone()));
            // A host that said itself that it leaves does not come back by a lagging list.
            member.leaving |= host.leaving;
            member.host = host;
            self.members.insert(member.host.id.clone(), member);
        }
        old.into_values().map(|m| (m.host.id, m.host.incarnation)).collect()
    }

    /// Returns whether a host list was read at least once.
    pub fn has_host_list(&self) -> bool {
        self.known
    }

    /// Returns what is known of `id`.
    pub fn get(&self, id: &str) -> Option<&HostState> {
        self.members.get(id)
    }

    /// Iterates over the hosts with `role`.
    pub fn with_role(&self, role: HostRole) -> impl Iterator<Item = &HostState> {
        self.members.values().filter(move |m| m.host.role == role)
    }

    /// Notes that a report of `id` is being asked for.
    pub fn record_poll(&mut self, now: Duration, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.polled_at = Some(now);
        }
    }

    /// Notes a load report.
    pub fn record_report(&mut self, now: Duration, id: &str, report: ServerReport) {
        if let Some(member) = self.members.get_mut(id) {
            member.leaving |= report.leaving;
            member.backoff.record_answer();
            member.last_report = Some((now, report));
        }
    }

    /// Notes that a connection or report failed.
    pub fn record_failure(&mut self, now: Duration, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.backoff.record_failure(now);
        }
    }
}
