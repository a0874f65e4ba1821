//! The other daemons: their last digests, their entries in the store, and what depends on the size of the fleet.
//!
//! Decides which peers get this daemon's digests and how often, which peers are reachable, and from which one
//! snapshots are fetched.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ConfigVersion;
use crate::cluster::digest::Digest;
use crate::cluster::digest::ProcessId;
use crate::cluster::quota_message::WorkspaceId;
use crate::cluster::rate_share::rendezvous_weight;
use crate::cluster::reader_rank::ReaderRank;
use crate::cluster::readers::ReaderStatus;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::ids::FeedOffset;
use crate::ids::Fence;
use crate::placement::bid_delay::Bidders;
use crate::placement::entries::DaemonEntry;
use crate::serve::entry_settings::EntrySettings;

/// Time between two digests of a daemon.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);
/// Fleet size from which on two readers per data centre collect and distribute the daemons' reports. In a
/// smaller fleet each daemon exchanges digests with all others: 36 peers, each of which gets and sends a digest
/// every third of a second, cost about one percent of a tenth of a core.
pub const LARGE_FLEET_SIZE: usize = 37;
/// Number of digests in which a daemon of a large fleet reaches every peer of its data centre: a daemon that
/// becomes a reader must know all of them.
const DIGESTS_PER_CYCLE: u64 = 10;
/// Number of digests that a daemon of a large fleet sends to all peers after its start, so that all know it;
/// more than one, since datagrams may be dropped.
const STARTUP_DIGESTS: u64 = 3;
/// Number of requests that begin or end at a busy engine between two digests, for twelve slots and run times of
/// one to two seconds.
const UNSEEN_PER_DIGEST: f64 = 4.0;
/// Age of other daemons' workload reports in a large fleet, in digest intervals: one on the way to a reader and
/// one from there.
const RELAY_INTERVALS: f64 = 2.0;
/// Number of daemons above which the lease holder sends its digests less often. At 72 daemons they cost half a
/// percent of a core.
const HOLDER_FULL_RATE_DAEMONS: usize = 100;
/// Longest time between the lease holder's digests to all: peers detect after three missed ones that it is
/// unavailable, and nothing is loaded meanwhile. At 400 daemons this makes 670 datagrams a second.
const MAX_HOLDER_INTERVAL: Duration = Duration::from_millis(600);
/// Number of missed digests after which a peer is unreachable: packet loss alone does not explain them.
const MISSED_DIGESTS: u32 = 5;
/// Number of missed digests after which the lease holder may be unavailable.
const HOLDER_MISSED_DIGESTS: u32 = 3;
/// Number of daemons per data centre that poll the configuration often, so that the others need not. Two, so
/// that the failure of one does not affect the others.
const CONFIG_POLLERS: usize = 2;
/// A peer without a digest for this long does not count as polling the configuration.
const POLLER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Nor does a peer whose last poll of the configuration succeeded longer ago than this: more than the second
/// between its polls, less than the delay that callers would notice.
const POLL_MAX_AGE: Duration = Duration::from_millis(2500);
/// A data centre of a large fleet is isolated if no daemon of another one was heard for this long, through its
/// readers' reports or the lease holder's digests; both arrive several times within this period.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of daemons of a data centre that keep account of a workspace's quota. Two, so that the failure of one does
/// not affect callers.
const QUOTA_HOMES: usize = 2;
/// A peer is removed after this long without a digest or entry; a daemon that does not return was replaced.
const PEER_RETENTION: Duration = Duration::from_mins(2);
/// A daemon of a large fleet sends each peer in another data centre one digest out of as many as there are such
/// peers; a peer is removed after this many of these cycles without a digest.
const RETENTION_CYCLES: u32 = 4;

/// A peer's claim to the placement lease, from its last digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerLease {
    /// Fencing number of the holder's orders.
    pub fence: Fence,
    /// Latest time until which the lease is valid, on this host's clock.
    pub valid_until: Moment,
    /// End of the lease feed after the holder's newest renewal.
    pub feed_end: FeedOffset,
}

/// What is known of another daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address on which it accepts datagrams and connections from other daemons.
    pub addr: SocketAddr,
    /// Id of its process.
    pub process: ProcessId,
    /// When its last digest was received; `None` if it is only listed in the store.
    pub last_received: Option<Moment>,
    /// Its data centre; empty if neither a digest nor an entry has named it.
    pub centre: CentreId,
    /// Its configuration version; 0 if unknown.
    pub config_version: ConfigVersion,
    /// When the store last reported to it whether the configuration changed.
    pub config_checked: Moment,
    /// Offset up to which it has read the feed of servers.
    pub servers_end: FeedOffset,
    /// Its claim to the placement lease, if it holds it.
    pub lease: Option<PeerLease>,
    /// Its rank among the daemons that may become readers.
    pub rank: ReaderRank,
    /// Status from its newest reader report; `None` if it sent none in this process.
    pub reader_status: Option<ReaderStatus>,
    /// When it was last seen in the store's list, or added to this table.
    listed_at: Moment,
}

/// The other daemons by name.
#[derive(Debug)]
pub struct PeerTable {
    pub(super) peers: BTreeMap<DaemonId, Peer>,
    /// Latest configuration version that any peer has reported. Versions are never withdrawn, so that it outlives the
    /// peer's entry and its process.
    latest_config: ConfigVersion,
    /// Fleet size from which on the fleet counts as large.
    fleet_threshold: usize,
}

impl Default for PeerTable {
    fn default() -> Self {
        Self::new(LARGE_FLEET_SIZE)
    }
}

impl PeerTable {
    /// Creates an empty table; from `fleet_threshold` daemons on, reports are distributed by readers.
    pub fn new(fleet_threshold: usize) -> Self {
        Self { peers: BTreeMap::new(), latest_config: 0, fleet_threshold }
    }

    /// Records a peer's entry from the store's list.
    pub fn put_listed(&mut self, id: &DaemonId, listed: &DaemonEntry, now: Moment) {
        let peer = self.entry(id, listed.addr, listed.process, now);
        // A digest is newer than the list.
        if peer.last_received.is_none() {
            peer.addr = listed.addr;
            peer.process = listed.process;
            peer.centre = listed.centre.clone();
            peer.rank = ReaderRank { is_small: listed.small, process: listed.process };
        }
        peer.listed_at = now;
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
            last_received: None,
            centre: CentreId::default(),
            config_version: 0,
            config_checked: Moment::ZERO,
            servers_end: 0,
            lease: None,
            rank: ReaderRank::default(),
            reader_status: None,
            listed_at: now,
        })
    }

    /// Records a peer's digest; returns whether the peer was unreachable or unknown before.
    pub fn record_digest(
        &mut self,
        id: &DaemonId,
        addr: SocketAddr,
        process: ProcessId,
        digest: &Digest,
        now: Moment,
    ) -> bool {
        let timeout = self.peer_timeout();
        self.latest_config = self.latest_config.max(digest.config_version);
        let peer = self.entry(id, addr, process, now);
        let was_unreachable = peer.last_received.is_none_or(|heard| now > heard + timeout);
        if peer.process != process {
            peer.reader_status = None;
        }
        peer.addr = addr;
        peer.process = process;
        peer.rank = ReaderRank { is_small: digest.is_small, process };
        peer.last_received = Some(now);
        peer.centre = digest.centre.clone();
        peer.config_version = digest.config_version;
        let age = Duration::from_millis(digest.config_age.into());
        peer.config_checked = now.saturating_sub(age);
        peer.servers_end = digest.servers_end;
        peer.lease = digest.lease.map(|lease| PeerLease {
            fence: lease.fence,
            valid_until: now + Duration::from_millis(lease.remaining_ms.into()),
            feed_end: lease.feed_end,
        });
        was_unreachable
    }

    /// Returns the latest configuration version that any peer has ever reported; 0 before the first report.
    pub fn latest_config(&self) -> ConfigVersion {
        self.latest_config
    }

    /// Returns all peers.
    pub fn all(&self) -> impl Iterator<Item = (&DaemonId, &Peer)> {
        self.peers.iter()
    }

    /// Returns whether the fleet is so large that readers distribute the daemons' reports.
    pub fn is_large_fleet(&self) -> bool {
        self.daemons() >= self.fleet_threshold
    }

    /// Returns the addresses to which a daemon sends its digest number `round`: all peers, in a small fleet.
    ///
    /// In a large fleet these are the readers of its data centre, which aggregate the digests, and in rotation a tenth
    /// of its own data centre's peers and one peer of another, so that all know that it is running. Digests from all to
    /// all took 35,000 datagrams a second at 295 daemons, and still left each daemon's view of the others 2.5 s old.
    pub fn digest_targets(&self, centre: &str, round: u64, now: Moment) -> Vec<SocketAddr> {
        if !self.is_large_fleet() || round < STARTUP_DIGESTS {
            return self.peers.values().map(|p| p.addr).collect();
        }
        let mut list = self.reader_addrs(centre, now);
        let due = self
            .in_centre(centre)
            .zip(0..)
            .filter(|(_, n)| n % DIGESTS_PER_CYCLE == round % DIGESTS_PER_CYCLE);
        list.extend(due.map(|(p, _)| p.addr));
        let remote: Vec<&Peer> = self.peers.values().filter(|p| p.centre != centre).collect();
        list.extend(remote.get((round % remote.len().max(1) as u64) as usize).map(|p| p.addr));
        list.sort_unstable();
        list.dedup();
        list
    }

    /// Returns the distinct data centres of all peers.
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

    /// Returns whether a peer has neither sent a digest nor been listed within [`Self::peer_timeout`].
    pub fn is_expired(&self, peer: &Peer, now: Moment) -> bool {
        now > peer.last_received.unwrap_or(peer.listed_at).max(peer.listed_at) + self.peer_timeout()
    }

    /// Returns the peers that sent a digest within [`Self::peer_timeout`].
    pub fn reachable(&self, now: Moment) -> impl Iterator<Item = (&DaemonId, &Peer)> {
        let timeout = self.peer_timeout();
        self.peers.iter().filter(move |(_, p)| p.is_reachable(now, timeout))
    }

    /// Returns the address of a reachable peer for which `is_ahead` holds, to fetch an update from.
    ///
    /// Many daemons may be behind at once, and one peer's link cannot carry updates for all of them: `turn` starts
    /// at a different number in each daemon and grows with each fetch, which selects the next peer. Peers of the own
    /// data centre are preferred, since traffic between data centres is billed.
    pub fn update_source(
        &self,
        is_ahead: impl Fn(&Peer) -> bool,
        centre: &str,
        turn: usize,
        now: Moment,
    ) -> Option<SocketAddr> {
        let ahead: Vec<_> = self.reachable(now).map(|(_, p)| p).filter(|p| is_ahead(p)).collect();
        let own: Vec<_> = ahead.iter().copied().filter(|p| p.centre == centre).collect();
        let list = if own.is_empty() { ahead } else { own };
        list.get(turn % list.len().max(1)).map(|p| p.addr)
    }

    /// Returns whether a daemon polls the configuration often: it does unless two peers of its data centre with
    /// lower ids are known to do so.
    ///
    /// A peer that stopped, is unreachable or gets no response from the store does not count, and the next daemon
    /// replaces it; if the store is unavailable to all, all poll often. A wrong count only causes extra calls to
    /// the store, never a delay.
    pub fn polls_config(&self, id: &str, centre: &str, now: Moment) -> bool {
        let earlier = self.peers.iter().take_while(|(peer, _)| peer.as_str() < id);
        let in_centre = earlier.filter(|(_, p)| p.centre == centre);
        let pollers = in_centre.filter(|(_, p)| p.follows_config(now));
        pollers.count() < CONFIG_POLLERS
    }

    /// Returns the number of daemons that share fleet-wide limits, including this one.
    ///
    /// Unresponsive peers count: they may be running on the other side of a network partition.
    pub fn daemons(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns whether a daemon is one of the `senders` daemons that may send to a rate-limited server, by rendezvous
    /// weight.
    ///
    /// Unresponsive peers count here too: one that only this daemon cannot reach keeps sending.
    pub fn is_sender(&self, id: &str, server: &ServerInstance, senders: usize) -> bool {
        let own = rendezvous_weight(server, id);
        let ahead = self.peers.keys().filter(|peer| rendezvous_weight(server, peer) > own);
        ahead.take(senders).count() < senders
    }

    /// Returns a peer.
    pub fn get(&self, id: &DaemonId) -> Option<&Peer> {
        self.peers.get(id)
    }

    /// Returns the homes of a workspace in a data centre, in the order in which they are asked: the daemons that keep
    /// account of its quota, on large hosts if there are some. The address is `None` for the daemon of `settings`.
    pub fn quota_homes(
        &self,
        workspace: WorkspaceId,
        settings: &EntrySettings,
        centre: &str,
        now: Moment,
    ) -> Vec<(DaemonId, Option<SocketAddr>)> {
        let is_own = settings.centre == centre;
        let this = is_own.then(|| (settings.host.is_small(), &settings.id, None));
        let peers =
            self.peers.iter().filter(|(_, p)| p.centre == centre && !self.is_expired(p, now));
        let peers = peers.map(|(id, p)| (p.rank.is_small, id, Some(p.addr)));
        let weight = |id: &DaemonId| Reverse(xxh3_64_with_seed(id.as_bytes(), workspace));
        let mut homes: Vec<_> = peers.chain(this).collect();
        homes.sort_by_cached_key(|(is_small, id, _)| (*is_small, weight(id)));
        homes.truncate(QUOTA_HOMES);
        homes.into_iter().map(|(_, id, addr)| (id.clone(), addr)).collect()
    }

    /// Returns the number of daemons that may bid for the placement lease; `is_small` tells whether this daemon's host
    /// is small.
    pub fn bidders(&self, is_small: bool) -> Bidders {
        let large = self.peers.values().filter(|p| !p.rank.is_small).count();
        Bidders { daemons: self.daemons(), large: large + usize::from(!is_small) }
    }

    /// Returns the time between two digests of a daemon.
    pub fn digest_interval(&self) -> Duration {
        DIGEST_INTERVAL
    }

    /// Returns the time between two digests of the lease holder, whose failure must be detected quickly.
    pub fn holder_interval(&self) -> Duration {
        let factor = (self.daemons() as f64 / HOLDER_FULL_RATE_DAEMONS as f64).max(1.0);
        DIGEST_INTERVAL.mul_f64(factor).min(MAX_HOLDER_INTERVAL)
    }

    /// Returns how many requests peers may have begun or ended at an engine that are not yet reported here.
    pub fn unseen_requests(&self) -> f64 {
        if self.is_large_fleet() { UNSEEN_PER_DIGEST * RELAY_INTERVALS } else { UNSEEN_PER_DIGEST }
    }

    /// Returns the time without a digest after which a peer of the own data centre is unreachable.
    pub fn peer_timeout(&self) -> Duration {
        let cycle = if self.is_large_fleet() { DIGESTS_PER_CYCLE as u32 } else { 1 };
        DIGEST_INTERVAL * cycle * MISSED_DIGESTS
    }

    /// Returns the holder of the placement lease, by the highest fencing number among peers' digests.
    ///
    /// An unresponsive holder is not returned, so that other daemons poll the lease before it expires; they bid
    /// only once it has expired.
    pub fn holder(&self, now: Moment) -> Option<(&DaemonId, &Peer, PeerLease)> {
        let claims = self.peers.iter().filter_map(|(id, p)| Some((id, p, p.lease?)));
        let timeout = self.holder_interval() * HOLDER_MISSED_DIGESTS;
        let is_fresh = |p: &Peer| p.last_received.is_some_and(|heard| now <= heard + timeout);
        claims
            .filter(|(_, p, l)| now <= l.valid_until && is_fresh(p))
            .max_by_key(|(_, _, l)| l.fence)
    }

    /// Returns whether this data centre is isolated: no daemon of another one, of at least two known, is reachable.
    pub fn is_isolated(&self, centre: &str, now: Moment) -> bool {
        if self.is_large_fleet() {
            let others = self.peers.values().filter(|p| p.centre != centre).count();
            return others > 1 && now > self.remote_heard(centre, now) + ISOLATION_TIMEOUT;
        }
        let mut others =
            self.peers.values().filter(|p| p.last_received.is_some() && p.centre != centre);
        let timeout = self.peer_timeout();
        let mut count = 0;
        let all_unreachable = others.all(|p| {
            count += 1;
            !p.is_reachable(now, timeout)
        });
        all_unreachable && count > 1
    }

    /// Removes peers without a recent digest or entry.
    pub fn sweep(&mut self, now: Moment) {
        let cycles = DIGEST_INTERVAL * self.daemons() as u32 * RETENTION_CYCLES;
        let ttl = if self.is_large_fleet() { cycles.max(PEER_RETENTION) } else { PEER_RETENTION };
        self.peers
            .retain(|_, p| now <= p.last_received.unwrap_or(p.listed_at).max(p.listed_at) + ttl);
    }
}

impl Peer {
    /// Returns whether it can be relied on to receive a change of the configuration: its last digest is recent, and
    /// so is its last successful poll of the configuration.
    fn follows_config(&self, now: Moment) -> bool {
        self.is_reachable(now, POLLER_TIMEOUT) && now <= self.config_checked + POLL_MAX_AGE
    }

    /// Returns whether its last digest was received at most `timeout` ago.
    pub fn is_reachable(&self, now: Moment, timeout: Duration) -> bool {
        self.last_received.is_some_and(|heard| now <= heard + timeout)
    }
}
