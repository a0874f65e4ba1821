//! Suspects on their way to engines: one at a time at an engine, so that a crash tells which of them did it, and one copy of
//! each in the whole fleet, so that a fatal one ends no more than its engine.

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

/// A peer's word on its suspects counts for this long: two digests.
const PEER_FRESH: Duration = Duration::from_millis(600);
/// A suspect waits at least this long, in which peers that have copies of it hear of each other: some ways of a datagram
/// between data centres.
const HEARD_WITHIN: Duration = Duration::from_millis(30);

/// Number of a trial; later ones are greater.
type TrialNumber = u64;

#[derive(Debug)]
struct OwnTrial {
    since: Moment,
    note: TrialReport,
}

#[derive(Debug, Default)]
struct Tables {
    begun: TrialNumber,
    own: BTreeMap<TrialNumber, OwnTrial>,
    peers: HashMap<DaemonId, (Moment, Vec<TrialReport>)>,
}

/// Suspects that wait for their turn, or that an engine has without an event yet.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    tables: Rc<RefCell<Tables>>,
    /// Signalled when one of this daemon's begins or ends.
    pub changed: Rc<Notify>,
}

/// A suspect of this daemon; its trial ends when this is dropped.
#[derive(Debug)]
pub struct Trial {
    trials: Trials,
    number: TrialNumber,
}

impl Trials {
    /// Begins the wait of a suspect for its turn.
    pub fn enqueue(&self, fingerprint: Fingerprint, now: Moment) -> Trial {
        let mut tables = self.tables.borrow_mut();
        tables.begun += 1;
        let number = tables.begun;
        let note = TrialReport { fingerprint, server: None };
        tables.own.insert(number, OwnTrial { since: now, note });
        self.changed.notify_one();
        Trial { trials: self.clone(), number }
    }

    /// Returns this daemon's, for peers.
    pub fn own(&self) -> Vec<TrialReport> {
        self.tables.borrow().own.values().map(|own| own.note.clone()).collect()
    }

    /// Takes in a peer's; returns whether it had others before.
    pub fn update_peer(&self, peer: &DaemonId, notes: Vec<TrialReport>, now: Moment) -> bool {
        let mut tables = self.tables.borrow_mut();
        if notes.is_empty() {
            return tables.peers.remove(peer).is_some();
        }
        let is_other = tables.peers.get(peer).is_none_or(|(_, before)| *before != notes);
        tables.peers.insert(peer.clone(), (now, notes));
        is_other
    }

    /// Returns the servers that should get no other suspect now.
    pub fn occupied_servers(&self, now: Moment) -> Vec<ServerInstance> {
        let tables = self.tables.borrow();
        let peers = tables.fresh(now).map(|(_, note)| note);
        let own = tables.own.values().map(|own| &own.note);
        own.chain(peers).filter_map(|note| note.server.clone()).collect()
    }

    /// Returns whether a waiting trial of `daemon`, which is this one, is the next of all copies of its request: no
    /// engine has one, and of the daemons that have copies this one comes first.
    ///
    /// The order of daemons differs from request to request. All work it out from what they hear, so that copies that
    /// waited for the same model do not go off together.
    pub fn is_next(&self, trial: &Trial, daemon_id: &str, now: Moment) -> bool {
        let tables = self.tables.borrow();
        let Some(OwnTrial { since, note: TrialReport { fingerprint, .. } }) =
            tables.own.get(&trial.number)
        else {
            return false;
        };
        let mut own = tables.own.iter().filter(|(_, own)| own.note.fingerprint == *fingerprint);
        let is_first = own.all(|(n, own)| *n >= trial.number && own.note.server.is_none());
        let own_rank = rank(fingerprint, daemon_id);
        let mut copies = tables.fresh(now).filter(|(_, note)| note.fingerprint == *fingerprint);
        is_first
            && now >= *since + HEARD_WITHIN
            && copies
                .all(|(peer, note)| note.server.is_none() && rank(fingerprint, peer) > own_rank)
    }
}

impl Tables {
    /// Returns peers' trials, as far as their word still counts.
    fn fresh(&self, now: Moment) -> impl Iterator<Item = (&DaemonId, &TrialReport)> {
        let fresh = self.peers.iter().filter(move |(_, (at, _))| now <= *at + PEER_FRESH);
        fresh.flat_map(|(peer, (_, notes))| notes.iter().map(move |note| (peer, note)))
    }
}

/// A daemon's place among those that have copies of a request; the lowest comes first.
fn rank(fingerprint: &Fingerprint, daemon_id: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(fingerprint.key().as_bytes());
    hasher.update(daemon_id.as_bytes());
    hasher.digest()
}

impl Trial {
    /// Ends the wait: a server gets the request.
    pub fn assign(&self, server: ServerInstance) {
        if let Some(own) = self.trials.tables.borrow_mut().own.get_mut(&self.number) {
            own.note.server = Some(server);
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
