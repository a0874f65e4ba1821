//! Trials of suspected requests. An engine gets one suspect at a time, so that a crash shows which of them caused it.
//! The whole fleet sends one copy of each at a time, so that a fatal one crashes no more than one engine.
//!
//! Daemons decide at the same instant, since the suspects of one crash all wait from that crash on. So a daemon claims an
//! engine first, tells its peers, and sends the request only if no peer's claim comes first.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use xxhash_rust::xxh3::Xxh3;

use crate::boot_clock::Moment;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::trial_report::TrialReport;
use crate::cluster::trial_report::TrialStage;
use crate::ids::DaemonId;

/// Time for which a peer's report of its trials is valid: two digests.
const PEER_REPORT_TTL: Duration = Duration::from_millis(600);
/// Time within which daemons receive each other's reports: several one-way delays of a datagram between data centres.
/// A suspect waits this long before it may claim an engine, and a claim before the request is sent.
pub const REPORT_DELAY: Duration = Duration::from_millis(30);
/// Interval at which a claim is reported again, since datagrams are lost.
pub const CLAIM_REPEAT_INTERVAL: Duration = Duration::from_millis(12);

/// Number of a trial; later ones are greater.
type TrialNumber = u64;

#[derive(Debug)]
struct OwnTrial {
    queued_at: Moment,
    /// Time of the last claim.
    claimed_at: Moment,
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
    key: TrialKey,
}

/// What is tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrialKey {
    /// A request, all of whose copies need the same model.
    Request(Fingerprint),
    /// A prompt part, under whose fingerprint requests for any model are tried.
    Part(Fingerprint),
}

impl TrialKey {
    /// Returns the fingerprint of the request or part.
    pub fn fingerprint(self) -> Fingerprint {
        match self {
            Self::Request(fingerprint) | Self::Part(fingerprint) => fingerprint,
        }
    }
}

/// State of a trial's claim on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The trial has no claim.
    None,
    /// Peers may still report better claims, for this time.
    Pending(Duration),
    /// The request may be sent to this engine.
    Granted(ServerInstance),
    /// The engine has another suspect, or will get it, or another copy of the request comes first.
    Lost,
}

impl Trials {
    /// Queues a suspect for its trial.
    pub fn enqueue(&self, key: TrialKey, now: Moment) -> Trial {
        let mut tables = self.tables.borrow_mut();
        tables.last_number += 1;
        let number = tables.last_number;
        let report = TrialReport { fingerprint: key.fingerprint(), stage: TrialStage::Queued };
        // Many requests may wait for one prompt part; peers need to know of it once.
        let is_news = tables.own.values().all(|own| own.report != report);
        tables.own.insert(number, OwnTrial { queued_at: now, claimed_at: now, report });
        if is_news {
            self.changed.notify_one();
        }
        Trial { trials: self.clone(), number, key }
    }

    /// Returns this daemon's trials, for its peers; those that are alike once.
    pub fn own(&self) -> Vec<TrialReport> {
        let tables = self.tables.borrow();
        let reports: BTreeSet<_> = tables.own.values().map(|own| &own.report).collect();
        reports.into_iter().cloned().collect()
    }

    /// Returns whether a trial of this daemon has a claim.
    pub fn has_claim(&self) -> bool {
        let tables = self.tables.borrow();
        tables.own.values().any(|own| matches!(own.report.stage, TrialStage::Claimed(_)))
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

    /// Returns the servers that have a suspect or are claimed for one, and must not get another one now.
    pub fn occupied_servers(&self, now: Moment) -> Vec<ServerInstance> {
        let tables = self.tables.borrow();
        let peers = tables.fresh_reports(now).map(|(_, report)| report);
        let own = tables.own.values().map(|own| &own.report);
        own.chain(peers).filter_map(|report| report.stage.server().cloned()).collect()
    }

    /// Returns whether a queued trial of this daemon is the next of all copies of its request: no engine has a copy,
    /// and this daemon, `daemon_id`, ranks first among those that have copies.
    ///
    /// The ranking of daemons differs from request to request. Each daemon computes it from its peers' reports, so that
    /// copies that waited for the same model are not sent all at once.
    ///
    /// Requests with the same prompt part may need different models, so that one that waits does not hold up the others.
    pub fn is_next(&self, trial: &Trial, daemon_id: &str, now: Moment) -> bool {
        let tables = self.tables.borrow();
        let Some(OwnTrial { queued_at, report: TrialReport { fingerprint, .. }, .. }) =
            tables.own.get(&trial.number)
        else {
            return false;
        };
        let is_queued = |report: &TrialReport| report.stage == TrialStage::Queued;
        if matches!(trial.key, TrialKey::Part(_)) {
            let own = tables.own.values().map(|own| &own.report);
            let peers = tables.fresh_reports(now).map(|(_, report)| report);
            let mut alike = own.chain(peers).filter(|report| report.fingerprint == *fingerprint);
            return alike.all(is_queued);
        }
        let mut own = tables.own.iter().filter(|(_, own)| own.report.fingerprint == *fingerprint);
        let is_first = own.all(|(n, own)| *n >= trial.number && is_queued(&own.report));
        let own_rank = rank(fingerprint, daemon_id);
        let mut copies =
            tables.fresh_reports(now).filter(|(_, report)| report.fingerprint == *fingerprint);
        is_first
            && now >= *queued_at + REPORT_DELAY
            && copies.all(|(peer, report)| is_queued(report) && rank(fingerprint, peer) > own_rank)
    }

    /// Returns the state of the claim of a trial of this daemon, `daemon_id`.
    ///
    /// Of two claims that conflict, all daemons prefer the same one: two suspects are ranked by the engine, two copies of
    /// a request by their daemons. A request that has been sent comes before any claim.
    pub fn claim(&self, trial: &Trial, daemon_id: &str, now: Moment) -> Claim {
        let tables = self.tables.borrow();
        let Some(own) = tables.own.get(&trial.number) else { return Claim::None };
        let TrialStage::Claimed(server) = &own.report.stage else { return Claim::None };
        let fingerprint = &own.report.fingerprint;
        let comes_first = |daemon: &str, other: &TrialReport| {
            let is_copy = other.fingerprint == *fingerprint;
            match &other.stage {
                TrialStage::Queued => false,
                TrialStage::Sent(at) => is_copy || at == server,
                TrialStage::Claimed(_) if is_copy => {
                    rank(fingerprint, daemon) < rank(fingerprint, daemon_id)
                }
                TrialStage::Claimed(at) => {
                    at == server && rank(&other.fingerprint, &at.id) < rank(fingerprint, &at.id)
                }
            }
        };
        let mut others = tables.own.iter().filter(|(number, _)| **number != trial.number);
        let mut peers = tables.fresh_reports(now);
        if others.any(|(_, other)| comes_first(daemon_id, &other.report))
            || peers.any(|(peer, report)| comes_first(peer, report))
        {
            return Claim::Lost;
        }
        let left = (own.claimed_at + REPORT_DELAY).saturating_sub(now);
        if left.is_zero() { Claim::Granted(server.clone()) } else { Claim::Pending(left) }
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

/// Returns the rank of a daemon among those that have copies of a request, or of a request among those that claim a
/// server; the lowest comes first.
pub fn rank(fingerprint: &Fingerprint, id: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(fingerprint.key().as_bytes());
    hasher.update(id.as_bytes());
    hasher.digest()
}

impl Trial {
    /// Returns what is tried.
    pub fn key(&self) -> TrialKey {
        self.key
    }

    /// Claims a server for the request; [`Trials::claim`] tells when it may be sent there.
    pub fn claim(&self, server: ServerInstance, now: Moment) {
        if let Some(own) = self.trials.tables.borrow_mut().own.get_mut(&self.number) {
            own.claimed_at = now;
        }
        self.set_stage(TrialStage::Claimed(server));
    }

    /// Gives up the claim.
    pub fn release(&self) {
        self.set_stage(TrialStage::Queued);
    }

    /// Records the server that gets the request.
    pub fn assign(&self, server: ServerInstance) {
        self.set_stage(TrialStage::Sent(server));
    }

    fn set_stage(&self, stage: TrialStage) {
        let mut tables = self.trials.tables.borrow_mut();
        let Some(own) = tables.own.get_mut(&self.number) else { return };
        if own.report.stage != stage {
            own.report.stage = stage;
            self.trials.changed.notify_one();
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.trials.tables.borrow_mut().own.remove(&self.number);
        self.trials.changed.notify_one();
    }
}
