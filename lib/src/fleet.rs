//! State of every host: its entry in the host list, its last report and the failures that this
//! daemon saw.
//!
//! The host list lags. A backend server that is leaving states this in its reports and refusals,
//! and this daemon's requests to one that has died fail; both exclude it from routing before the
//! list does.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::failure_backoff::FailureBackoff;
use crate::host::Host;
use crate::host::HostRole;
use crate::host::ServerReport;
use crate::ids::Incarnation;
use crate::ids::ServerId;

/// State of one host.
#[derive(Clone, Debug)]
pub struct HostState {
    /// The host's entry in the host list.
    pub host: Host,
    /// Whether the host list or the host itself reports that it is leaving.
    pub leaving: bool,
    /// The last report and the time when it arrived; `None` before the first.
    pub last_report: Option<(Duration, ServerReport)>,
    /// When a report was last requested; `None` if never.
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

    /// Returns whether the host gets no new work at `now` because of consecutive failures.
    pub fn is_suspected(&self, now: Duration) -> bool {
        self.backoff.is_active(now)
    }

    /// Returns whether the host may get new work.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.leaving && !self.is_suspected(now)
    }
}

/// All hosts of the host list.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    host_states: BTreeMap<ServerId, HostState>,
    list_received: bool,
}

impl Fleet {
    /// Applies a complete host list. Returns the hosts that are no longer in it, with their last
    /// incarnations.
    pub fn replace(&mut self, hosts: Vec<Host>) -> Vec<(ServerId, Incarnation)> {
        self.list_received = true;
        let mut old = std::mem::take(&mut self.host_states);
        for host in hosts {
            let kept = old.remove(&host.id).filter(|m| m.host.incarnation == host.incarnation);
            let mut host_state = kept.unwrap_or_else(|| HostState::new(host.clone()));
            // A host that reported that it is leaving stays so, whatever a lagging list shows.
            host_state.leaving |= host.leaving;
            host_state.host = host;
            self.host_states.insert(host_state.host.id.clone(), host_state);
        }
        old.into_values().map(|m| (m.host.id, m.host.incarnation)).collect()
    }

    /// Returns whether a host list was received at least once.
    pub fn has_host_list(&self) -> bool {
        self.list_received
    }

    /// Returns the state of host `id`; `None` if the host list does not contain it.
    pub fn get(&self, id: &str) -> Option<&HostState> {
        self.host_states.get(id)
    }

    /// Iterates over the hosts with `role`.
    pub fn with_role(&self, role: HostRole) -> impl Iterator<Item = &HostState> {
        self.host_states.values().filter(move |m| m.host.role == role)
    }

    /// Records that a report of `id` was requested at `now`.
    pub fn record_poll(&mut self, now: Duration, id: &str) {
        if let Some(host_state) = self.host_states.get_mut(id) {
            host_state.polled_at = Some(now);
        }
    }

    /// Records a report, which ends the backoff of `id`.
    pub fn record_report(&mut self, now: Duration, id: &str, report: ServerReport) {
        if let Some(host_state) = self.host_states.get_mut(id) {
            host_state.leaving |= report.leaving;
            host_state.backoff.record_answer();
            host_state.last_report = Some((now, report));
        }
    }

    /// Records a failed connection or report of `id`.
    pub fn record_failure(&mut self, now: Duration, id: &str) {
        if let Some(host_state) = self.host_states.get_mut(id) {
            host_state.backoff.record_failure(now);
        }
    }
}
