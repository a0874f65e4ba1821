//! The other daemons, as heard from them and as listed in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ConfigVersion;
use crate::cluster::digest::Digest;
use crate::cluster::digest::ProcessId;
use crate::cluster::rate_share::rendezvous_weight;
use crate::cluster::reader_rank::ReaderRank;
use crate::cluster::readers::ReaderStatus;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::ids::Offset;
use crate::placement::bid_delay::Bidders;
use crate::placement::entries::DaemonEntry;

/// Time between digests.
const DIGEST_EVERY: Duration = Duration::from_millis(300);
/// Daemons from which on two readers a data centre gather and tell what daemons know of each other. In a smaller fleet
/// each tells all others: it sends and takes a digest for every other one, and 36 a third of a second cost about
/// one percent of a tenth of a core.
pub const LARGE_FLEET_SIZE: usize = 37;
/// Digests after which a daemon of a large fleet has told each other one of its data centre: who comes to read
/// must know of them.
const ROUND: u64 = 10;
/// Digests that a daemon of a large fleet tells to all at its start, so that all know of it; more than one,
/// for datagrams that are lost.
const FIRST_DIGESTS: u64 = 3;
/// Requests at a busy engine that begin or end between two digests: with twelve places and runs of one to two
/// seconds.
const UNSEEN: f64 = 4.0;
/// Age of what is known of others' requests in a large fleet, in digests: one on the way to a reader and
/// one from there.
const TREE_AGE: f64 = 2.0;
/// The same for the lease holder: at 72 daemons its digests cost half a percent of a core.
const HOLDER_FLEET: usize = 100;
/// Longest time between the lease holder's digests to all: others notice after three of them that it is gone, and
/// nothing is loaded meanwhile. At 400 daemons that is 670 datagrams a second.
const HOLDER_LONGEST: Duration = Duration::from_millis(600);
/// A peer that missed this many digests is out of reach: loss alone does not explain it.
const MISSED: u32 = 5;
/// A lease holder that missed this many may be gone.
const MISSED_BY_HOLDER: u32 = 3;
/// Daemons of a data centre that ask for the configuration often, so that the others need not. Two, so that
/// the loss of one is none of the others' concern.
const CONFIG_READERS: usize = 2;
/// A peer that was heard longer ago than this is not counted on to read the configuration.
const READER_SILENT: Duration = Duration::from_millis(1500);
/// Nor is one to which the store said nothing of the configuration for longer than this: more than the
/// second between its reads, less than callers are let to notice.
const READER_BLIND: Duration = Duration::from_millis(2500);
/// In a large fleet a data centre is cut off when no other was heard for this long, by its readers or by word of
/// the lease holder, which tell several times as often.
const OTHERS_SILENT: Duration = Duration::from_secs(3);
/// A peer that was silent for this long is forgotten; a daemon that stays away was replaced.
const FORGET_AFTER: Duration = Duration::from_mins(2);
/// In a large fleet daemons of other data centres are heard once in as many digests as there are of them; one that
/// missed this many turns is forgotten.
const FORGET_TURNS: u32 = 4;

/// A lease holder's claim as heard from it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerLease {
    /// The fencing number.
    pub fence: Fence,
    /// Until when the lease is valid at the latest, on this host's clock.
    pub until: Moment,
    /// Where the feed of the lease ended after the holder's newest renewal.
    pub end: Offset,
}

/// One other daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it takes messages.
    pub addr: SocketAddr,
    /// Its process, once known.
    pub process: ProcessId,
    /// When it was last heard; none where it is only listed.
    pub last_heard: Option<Moment>,
    /// Its data centre, once heard.
    pub centre: CentreId,
    /// Configuration that it follows.
    pub config_version: ConfigVersion,
    /// When the store last told it whether the configuration changed.
    pub config_checked: Moment,
    /// Place in the feed of servers that it has read up to.
    pub servers_end: Offset,
    /// Its claim to the placement lease.
    pub lease: Option<PeerLease>,
    /// Its place in the order of readers.
    pub rank: ReaderRank,
    /// Its newest word, where it reads for others.
    pub reader_status: Option<ReaderStatus>,
    listed: Moment,
}

/// The other daemons by name.
#[derive(Debug)]
pub struct PeerTable {
    pub(super) peers: BTreeMap<DaemonId, Peer>,
    /// Daemons from which on the fleet is large.
    readers_from: usize,
}

impl Default for PeerTable {
    fn default() -> Self {
        Self::new(LARGE_FLEET_SIZE)
    }
}

impl PeerTable {
    /// Starts without peers; from so many daemons on they hear of each other through readers.
    pub fn new(readers_from: usize) -> Self {
        Self { peers: BTreeMap::new(), readers_from }
    }

    /// Takes in a peer's address from the store's list.
    pub fn put_listed(&mut self, id: &DaemonId, listed: &DaemonEntry, now: Moment) {
        let peer = self.entry(id, listed.addr, listed.process, now);
        // The list is older than what the peer itself says.
        if peer.last_heard.is_none() {
            peer.addr = listed.addr;
            peer.process = listed.process;
            peer.centre = listed.centre.clone();
            peer.rank = ReaderRank { is_small: listed.small, process: listed.process };
        }
        peer.listed = now;
    }

    fn entry(
        &mut self,
        id: &DaemonId,
        addr: SocketAddr,
        process: ProcessId,
        now: Moment,
    ) -> &mut Peer {
        self.peers.entry(id.clone()).or_insert_with(|| Peer {
            addr,
            process,
            last_heard: None,
            centre: CentreId::default(),
            config_version: 0,
            config_checked: Moment::ZERO,
            servers_end: 0,
            lease: None,
            rank: ReaderRank::default(),
            reader_status: None,
            listed: now,
        })
    }

    /// Takes in a peer's digest; returns whether the peer had been out of reach before.
    pub fn record_digest(
        &mut self,
        id: &DaemonId,
        addr: SocketAddr,
        process: ProcessId,
        digest: &Digest,
        now: Moment,
    ) -> bool {
        let silent = self.peer_timeout();
        let peer = self.entry(id, addr, process, now);
        let was_silent = peer.last_heard.is_none_or(|h| now > h + silent);
        if peer.process != process {
            peer.reader_status = None;
        }
        peer.addr = addr;
        peer.process = process;
        peer.rank = ReaderRank { is_small: digest.is_small, process };
        peer.last_heard = Some(now);
        peer.centre = digest.centre.clone();
        peer.config_version = digest.config_version;
        let age = Duration::from_millis(digest.config_age.into());
        peer.config_checked = now.saturating_sub(age);
        peer.servers_end = digest.servers_end;
        peer.lease = digest.lease.map(|t| PeerLease {
            fence: t.fence,
            until: now + Duration::from_millis(t.left_ms.into()),
            end: t.end,
        });
        was_silent
    }

    /// Returns all peers.
    pub fn all(&self) -> impl Iterator<Item = (&DaemonId, &Peer)> {
        self.peers.iter()
    }

    /// Returns whether the fleet is so large that daemons hear of each other through readers.
    pub fn is_large_fleet(&self) -> bool {
        self.daemons() >= self.readers_from
    }

    /// Returns the addresses of those that a daemon tells its state in a round: all, in a small fleet.
    ///
    /// In a large one it tells the readers of its data centre, who sum up, and in turn each of its
    /// data centre and of the others, so that all know that it lives. All with all were 35,000 datagrams a second
    /// at 295 daemons, and still left a daemon with what others did 2.5 s ago.
    pub fn digest_targets(&self, centre: &str, round: u64, now: Moment) -> Vec<SocketAddr> {
        if !self.is_large_fleet() || round < FIRST_DIGESTS {
            return self.peers.values().map(|p| p.addr).collect();
        }
        let mut list = self.reader_addrs(centre, now);
        let mates = self.in_centre(centre).zip(0..).filter(|(_, n)| n % ROUND == round % ROUND);
        list.extend(mates.map(|(p, _)| p.addr));
        let far: Vec<&Peer> = self.peers.values().filter(|p| p.centre != centre).collect();
        list.extend(far.get((round % far.len().max(1) as u64) as usize).map(|p| p.addr));
        list.sort_unstable();
        list.dedup();
        list
    }

    /// Returns the data centres that peers are in.
    pub fn centres(&self) -> impl Iterator<Item = &CentreId> {
        let mut seen: Vec<&CentreId> = self.peers.values().map(|p| &p.centre).collect();
        seen.sort_unstable();
        seen.dedup();
        seen.into_iter()
    }

    /// Returns the peers of a data centre.
    pub fn in_centre<'a>(&'a self, centre: &'a str) -> impl Iterator<Item = &'a Peer> {
        self.peers.values().filter(move |p| p.centre == centre)
    }

    /// Returns whether a peer is known to be gone: it was silent for much longer than it should be.
    pub(super) fn is_gone(&self, peer: &Peer, now: Moment) -> bool {
        now > peer.last_heard.unwrap_or(peer.listed).max(peer.listed) + self.peer_timeout()
    }

    /// Returns the peers heard lately.
    pub fn reachable(&self, now: Moment) -> impl Iterator<Item = (&DaemonId, &Peer)> {
        let silent = self.peer_timeout();
        self.peers.iter().filter(move |(_, p)| p.is_reachable(now, silent))
    }

    /// Returns where a daemon fetches a picture from: a peer with a later configuration, or one that has read
    /// further in the feed of servers, where `servers` tells how far this one has.
    ///
    /// Many daemons may be behind at once, and one peer's link does not carry pictures for all: they take turns
    /// that begin apart, and with each fetch go on to the next. Peers of the own data centre come first, since
    /// bytes between data centres are paid for.
    pub fn snapshot_source(
        &self,
        config: ConfigVersion,
        servers: Option<Offset>,
        centre: &str,
        turn: usize,
        now: Moment,
    ) -> Option<SocketAddr> {
        let is_ahead =
            |p: &Peer| p.config_version > config || servers.is_some_and(|s| p.servers_end > s);
        let ahead: Vec<_> = self.reachable(now).map(|(_, p)| p).filter(|p| is_ahead(p)).collect();
        let own: Vec<_> = ahead.iter().copied().filter(|p| p.centre == centre).collect();
        let list = if own.is_empty() { ahead } else { own };
        list.get(turn % list.len().max(1)).map(|p| p.addr)
    }

    /// Returns whether a daemon asks for the configuration often: where no two others of its data centre
    /// that come before it by name are known to do so.
    ///
    /// A reader that stopped, was cut off or hears nothing from the store no longer counts, and the next
    /// takes its part; where the store is away for all, all ask often. Readers that are counted wrongly cost
    /// calls, never time.
    pub fn polls_config(&self, id: &str, centre: &str, now: Moment) -> bool {
        let before = self.peers.iter().take_while(|(peer, _)| peer.as_str() < id);
        let readers = before.filter(|(_, p)| p.centre == centre);
        let known = readers.filter(|(_, p)| p.follows_config(now));
        known.count() < CONFIG_READERS
    }

    /// Returns how many daemons share what all may do together, this one included.
    ///
    /// Peers that are silent count: they may be at work behind a partition.
    pub fn daemons(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns whether a daemon is one of the `senders` that may send to a limited server.
    ///
    /// Peers that are silent count here too: one that is only out of this daemon's reach goes on sending.
    pub fn is_sender(&self, id: &str, server: &ServerInstance, senders: usize) -> bool {
        let own = rendezvous_weight(server, id);
        let before = self.peers.keys().filter(|peer| rendezvous_weight(server, peer) > own);
        before.take(senders).count() < senders
    }

    /// Returns who may bid for the placement lease, a daemon with a small host or not among them.
    pub fn bidders(&self, is_small: bool) -> Bidders {
        let large = self.peers.values().filter(|p| !p.rank.is_small).count();
        Bidders { daemons: self.daemons(), large: large + usize::from(!is_small) }
    }

    /// Returns the time between the digests of a daemon.
    pub fn digest_interval(&self) -> Duration {
        DIGEST_EVERY
    }

    /// Returns the time between the digests of the lease holder, whose silence must show soon.
    pub fn holder_interval(&self) -> Duration {
        let factor = (self.daemons() as f64 / HOLDER_FLEET as f64).max(1.0);
        DIGEST_EVERY.mul_f64(factor).min(HOLDER_LONGEST)
    }

    /// Returns how many requests at an engine peers may have begun or ended without this daemon's knowledge.
    pub fn unseen_requests(&self) -> f64 {
        if self.is_large_fleet() { UNSEEN * TREE_AGE } else { UNSEEN }
    }

    /// Returns after which silence a peer of the own data centre is out of reach.
    pub fn peer_timeout(&self) -> Duration {
        let turns = if self.is_large_fleet() { ROUND as u32 } else { 1 };
        DIGEST_EVERY * turns * MISSED
    }

    /// Returns the holder of the placement lease with the highest fencing number heard of.
    ///
    /// One that fell silent is not returned, so that others look at the lease while its validity runs
    /// out; they bid only after that.
    pub fn holder(&self, now: Moment) -> Option<(&DaemonId, &Peer, PeerLease)> {
        let claims = self.peers.iter().filter_map(|(id, p)| Some((id, p, p.lease?)));
        let silent = self.holder_interval() * MISSED_BY_HOLDER;
        let is_fresh = |p: &Peer| p.last_heard.is_some_and(|h| now <= h + silent);
        claims.filter(|(_, p, t)| now <= t.until && is_fresh(p)).max_by_key(|(_, _, t)| t.fence)
    }

    /// Returns whether every peer of another data centre that was heard before is silent now.
    pub fn is_isolated(&self, centre: &str, now: Moment) -> bool {
        if self.is_large_fleet() {
            let others = self.peers.values().filter(|p| p.centre != centre).count();
            return others > 1 && now > self.remote_heard(centre, now) + OTHERS_SILENT;
        }
        let mut others =
            self.peers.values().filter(|p| p.last_heard.is_some() && p.centre != centre);
        let silent = self.peer_timeout();
        let mut count = 0;
        let all_silent = others.all(|p| {
            count += 1;
            !p.is_reachable(now, silent)
        });
        all_silent && count > 1
    }

    /// Forgets peers that have long been silent.
    pub fn sweep(&mut self, now: Moment) {
        let turns = DIGEST_EVERY * self.daemons() as u32 * FORGET_TURNS;
        let forget = if self.is_large_fleet() { turns.max(FORGET_AFTER) } else { FORGET_AFTER };
        self.peers.retain(|_, p| now <= p.last_heard.unwrap_or(p.listed).max(p.listed) + forget);
    }
}

impl Peer {
    /// Returns whether it can be counted on to hear of a change of the configuration: it was heard lately, and
    /// the store told it lately whether there is one.
    fn follows_config(&self, now: Moment) -> bool {
        self.is_reachable(now, READER_SILENT) && now <= self.config_checked + READER_BLIND
    }

    /// Returns whether it was heard lately: less than `silent` ago.
    pub fn is_reachable(&self, now: Moment, silent: Duration) -> bool {
        self.last_heard.is_some_and(|h| now <= h + silent)
    }
}
