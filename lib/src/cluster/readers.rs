//! The daemons that read the platform's store for others, as known from their reader reports.

use std::net::SocketAddr;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ConfigVersion;
use crate::cluster::peer_table::Peer;
use crate::cluster::peer_table::PeerTable;
use crate::cluster::reader_rank::ReaderRank;
use crate::cluster::reader_report::ReaderReport;
use crate::cluster::reader_role::HigherRanked;
use crate::cluster::reader_role::READERS_PER_CENTRE;
use crate::ids::DaemonId;

/// A reader counts as unavailable if no report arrived for this long: three to four reports are missing.
const READER_TIMEOUT: Duration = Duration::from_millis(1200);
/// A reader to which the store has not answered for this long cannot be relied on.
const STORE_ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Times from a reader's last report.
#[derive(Clone, Copy, Debug)]
pub struct ReaderStatus {
    /// When the report was received.
    pub received_at: Moment,
    /// When the store answered the reader's latest read of the servers' feed.
    pub last_read: Moment,
    /// When the reader last received a message from a daemon of another data centre.
    pub remote_heard: Moment,
}

impl ReaderStatus {
    /// Converts the ages in a report that arrived at `since` or later and was read at `now`.
    pub fn new(report: &ReaderReport, since: Moment, now: Moment) -> Self {
        let ago = |ms: u32| since.saturating_sub(Duration::from_millis(ms.into()));
        Self {
            received_at: now,
            last_read: ago(report.read_age_ms),
            remote_heard: ago(report.remote_age_ms),
        }
    }

    fn is_recent(&self, now: Moment) -> bool {
        now <= self.received_at + READER_TIMEOUT
    }
}

impl Peer {
    /// Returns the status from its last report, or `None` if it does not read for others or the report is too
    /// old.
    pub fn fresh_reader_status(&self, now: Moment) -> Option<&ReaderStatus> {
        self.reader_status.as_ref().filter(|status| status.is_recent(now))
    }

    fn is_blind(&self, now: Moment) -> bool {
        let read = self.reader_status.map_or(Moment::ZERO, |status| status.last_read);
        now > read.min(self.config_checked) + STORE_ANSWER_TIMEOUT
    }
}

impl PeerTable {
    /// Records that a peer reads for others, from its reader report.
    pub fn set_reader_status(&mut self, id: &DaemonId, status: ReaderStatus) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.reader_status = Some(status);
        }
    }

    /// Counts the daemons of a data centre that rank before `rank`, and the readers among them.
    pub fn higher_ranked(&self, rank: ReaderRank, centre: &str, now: Moment) -> HigherRanked {
        let mut higher = HigherRanked::default();
        for peer in self.in_centre(centre).filter(|p| p.rank < rank && !self.is_expired(p, now)) {
            higher.daemons += 1;
            if peer.fresh_reader_status(now).is_some() {
                let count = if peer.is_blind(now) {
                    &mut higher.without_store
                } else {
                    &mut higher.readers
                };
                *count += 1;
            }
        }
        higher
    }

    /// Returns the readers of a data centre with a recent report.
    pub fn readers<'a>(
        &'a self,
        centre: &'a str,
        now: Moment,
    ) -> impl Iterator<Item = (&'a DaemonId, &'a Peer)> {
        self.peers
            .iter()
            .filter(move |(_, p)| p.centre == centre && p.fresh_reader_status(now).is_some())
    }

    /// Returns the addresses of the readers of a data centre that reported recently. If there are fewer than
    /// `READERS_PER_CENTRE`, adds the daemons that come first by rank.
    pub fn reader_addrs(&self, centre: &str, now: Moment) -> Vec<SocketAddr> {
        let mut list: Vec<SocketAddr> = self.readers(centre, now).map(|(_, p)| p.addr).collect();
        if list.len() < READERS_PER_CENTRE {
            let mut first: Vec<&Peer> =
                self.in_centre(centre).filter(|p| !self.is_expired(p, now)).collect();
            first.sort_by_key(|p| p.rank);
            let first = first.into_iter().map(|p| p.addr).take(READERS_PER_CENTRE);
            let fresh: Vec<SocketAddr> = first.filter(|addr| !list.contains(addr)).collect();
            list.extend(fresh);
        }
        list
    }

    /// Returns the time of the latest read of the servers' feed that a reader of a data centre reports.
    pub fn newest_read(&self, centre: &str, now: Moment) -> Option<Moment> {
        self.readers(centre, now)
            .filter_map(|(_, p)| Some(p.fresh_reader_status(now)?.last_read))
            .max()
    }

    /// Returns when the store last confirmed to a peer that no version later than `version` exists, or the
    /// host's start if no peer reports this.
    pub fn config_checked(&self, version: ConfigVersion) -> Moment {
        let peers = self.peers.values().filter(|p| p.config_version <= version);
        peers.map(|p| p.config_checked).max().unwrap_or_default()
    }

    /// Returns the address of a reader of a data centre that has a later version of the configuration;
    /// `index` selects among several.
    pub fn reader_ahead(
        &self,
        centre: &str,
        version: ConfigVersion,
        index: usize,
        now: Moment,
    ) -> Option<SocketAddr> {
        let readers = self.readers(centre, now).filter(|(_, p)| p.config_version > version);
        let list: Vec<SocketAddr> = readers.map(|(_, p)| p.addr).collect();
        list.get(index % list.len().max(1)).copied()
    }

    /// Returns when a message from a daemon of another data centre was last received, by this daemon or by a
    /// reader of `centre`.
    pub fn remote_heard(&self, centre: &str, now: Moment) -> Moment {
        let others = self.peers.values().filter(|p| p.centre != centre && !p.centre.is_empty());
        let own = others.filter_map(|p| p.last_received).max().unwrap_or_default();
        let statuses = self.readers(centre, now).filter_map(|(_, p)| p.fresh_reader_status(now));
        statuses.map(|status| status.remote_heard).max().unwrap_or_default().max(own)
    }
}
