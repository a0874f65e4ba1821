//! Trials of suspected requests. An engine gets one suspect at a time, so that a crash shows which of them caused it.
//! The whole fleet sends one copy of each at a time, so that a fatal one crashes no more than one engine.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use xxhash_rust::xxh3::Xxh3;

use crate::boot_clock::Moment;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::trial_report::TrialReport;
use crate::ids::DaemonId;

/// Time for which a peer's report of its trials is valid: two digests.
const PEER_REPORT_TTL: Duration = Duration::from_millis(600);
/// Shortest wait of a suspect. Within it, peers that have copies of the request receive each other's reports: several
/// one-way delays of a datagram between data centres.
const MIN_TRIAL_WAIT: Duration = Duration::from_millis(30);

/// Number of a trial; later ones are greater.
type TrialNumber = u64;

#[derive(Debug)]
struct OwnTrial {
    queued_at: Moment,
    report: TrialReport,
}

#[derive(Debug, Default)]
struct Tables {
    last_number: TrialNumber,
    own: BTreeMap<TrialNumber, OwnTrial>,
    peers: HashMap<DaemonId, (Moment, Vec<TrialReport>)>,
}

/// Suspects that wait for their trial, or that an engine has received without an event yet.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    tables: Rc<RefCell<Tables>>,
    /// Signalled when a trial of this daemon is queued, gets its server or ends.
    pub changed: Rc<Notify>,
}

/// A trial of this daemon; it ends when this is dropped, which must not happen before its outcome is recorded.
#[derive(Debug)]
pub struct Trial {
    trials: Trials,
    number: TrialNumber,
}

impl Trials {
    /// Queues a suspect for its trial.
    pub fn enqueue(&self, fingerprint: Fingerprint, now: Moment) -> Trial {
        let mut tables = self.tables.borrow_mut();
        tables.last_number += 1;
        let number = tables.last_number;
        let report = TrialReport { fingerprint, server: None };
        tables.own.insert(number, OwnTrial { queued_at: now, report });
        self.changed.notify_one();
        Trial { trials: self.clone(), number }
    }

    /// Returns this daemon's trials, for its peers.
    pub fn own(&self) -> Vec<TrialReport> {
        self.tables.borrow().own.values().map(|own| own.report.clone()).collect()
    }

    /// Replaces the trials of a peer; returns whether they changed.
    pub fn update_peer(&self, peer: &DaemonId, reports: Vec<TrialReport>, now: Moment) -> bool {
        let mut tables = self.tables.borrow_mut();
        if reports.is_empty() {
            return tables.peers.remove(peer).is_some();
        }
        let is_changed = tables.peers.get(peer).is_none_or(|(_, before)| *before != reports);
        tables.peers.insert(peer.clone(), (now, reports));
        is_changed
    }

    /// Returns the servers that have a suspect and must not get another one now.
    pub fn occupied_servers(&self, now: Moment) -> Vec<ServerInstance> {
        let tables = self.tables.borrow();
        let peers = tables.fresh_reports(now).map(|(_, report)| report);
        let own = tables.own.values().map(|own| &own.report);
        own.chain(peers).filter_map(|report| report.server.clone()).collect()
    }

    /// Returns whether a queued trial of this daemon is the next of all copies of its request: no engine has a copy,
    /// and this daemon, `daemon_id`, ranks first among those that have copies.
    ///
    /// The ranking of daemons differs from request to request. Each daemon computes it from its peers' reports, so that
    /// copies that waited for the same model are not sent all at once.
    pub fn is_next(&self, trial: &Trial, daemon_id: &str, now: Moment) -> bool {
        let tables = self.tables.borrow();
        let Some(OwnTrial { queued_at, report: TrialReport { fingerprint, .. } }) =
            tables.own.get(&trial.number)
        else {
            return false;
        };
        let mut own = tables.own.iter().filter(|(_, own)| own.report.fingerprint == *fingerprint);
        let is_first = own.all(|(n, own)| *n >= trial.number && own.report.server.is_none());
        let own_rank = rank(fingerprint, daemon_id);
        let mut copies =
            tables.fresh_reports(now).filter(|(_, report)| report.fingerprint == *fingerprint);
        is_first
            && now >= *queued_at + MIN_TRIAL_WAIT
            && copies
                .all(|(peer, report)| report.server.is_none() && rank(fingerprint, peer) > own_rank)
    }
}

impl Tables {
    /// Returns the trials in those reports of peers that are still valid.
    fn fresh_reports(&self, now: Moment) -> impl Iterator<Item = (&DaemonId, &TrialReport)> {
        let fresh_reports =
            self.peers.iter().filter(move |(_, (at, _))| now <= *at + PEER_REPORT_TTL);
        fresh_reports
            .flat_map(|(peer, (_, reports))| reports.iter().map(move |report| (peer, report)))
    }
}

/// Returns a daemon's rank among those that have copies of a request; the lowest comes first.
fn rank(fingerprint: &Fingerprint, daemon_id: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(fingerprint.key().as_bytes());
    hasher.update(daemon_id.as_bytes());
    hasher.digest()
}

impl Trial {
    /// Records the server that gets the request, which ends the wait.
    pub fn assign(&self, server: ServerInstance) {
        if let Some(own) = self.trials.tables.borrow_mut().own.get_mut(&self.number) {
            own.report.server = Some(server);
        }
        self.trials.changed.notify_one();
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.trials.tables.borrow_mut().own.remove(&self.number);
        self.trials.changed.notify_one();
    }
}
