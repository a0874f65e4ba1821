//! The daemons that read the platform's store for others, as far as heard.

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

/// A reader whose words stay away for this long is gone: three to four of them.
const READER_SILENT: Duration = Duration::from_millis(1200);
/// A reader whom the store told nothing for this long cannot be counted on.
const READER_BLIND: Duration = Duration::from_millis(2500);

/// What was last heard from a reader.
#[derive(Clone, Copy, Debug)]
pub struct ReaderStatus {
    /// When.
    pub at: Moment,
    /// When the store answered its newest read of the servers' feed.
    pub read: Moment,
    /// When it heard a daemon of another data centre.
    pub remote_heard: Moment,
}

impl ReaderStatus {
    /// Reads the times of a word that came just now.
    pub fn new(report: &ReaderReport, now: Moment) -> Self {
        let ago = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
        Self { at: now, read: ago(report.read_age), remote_heard: ago(report.remote_age) }
    }

    fn is_heard(&self, now: Moment) -> bool {
        now <= self.at + READER_SILENT
    }
}

impl Peer {
    /// Returns its newest word, where it reads for others and was heard just now.
    pub fn fresh_reader_status(&self, now: Moment) -> Option<&ReaderStatus> {
        self.reader_status.as_ref().filter(|status| status.is_heard(now))
    }

    fn is_blind(&self, now: Moment) -> bool {
        let read = self.reader_status.map_or(Moment::ZERO, |status| status.read);
        now > read.min(self.config_checked) + READER_BLIND
    }
}

impl PeerTable {
    /// Takes in that a peer reads for others, as its word tells.
    pub fn set_reader_status(&mut self, id: &DaemonId, status: ReaderStatus) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.reader_status = Some(status);
        }
    }

    /// Returns what is heard of the daemons of a data centre that come before one of a rank.
    pub fn higher_ranked(&self, rank: ReaderRank, centre: &str, now: Moment) -> HigherRanked {
        let mut before = HigherRanked::default();
        for peer in self.in_centre(centre).filter(|p| p.rank < rank && !self.is_gone(p, now)) {
            before.daemons += 1;
            if peer.fresh_reader_status(now).is_some() {
                let count =
                    if peer.is_blind(now) { &mut before.blind } else { &mut before.readers };
                *count += 1;
            }
        }
        before
    }

    /// Returns the readers of a data centre that were heard just now.
    pub fn readers<'a>(
        &'a self,
        centre: &'a str,
        now: Moment,
    ) -> impl Iterator<Item = (&'a DaemonId, &'a Peer)> {
        self.peers
            .iter()
            .filter(move |(_, p)| p.centre == centre && p.fresh_reader_status(now).is_some())
    }

    /// Returns where to reach the readers of a data centre: those that were heard just now, else those that
    /// come first.
    pub fn reader_addrs(&self, centre: &str, now: Moment) -> Vec<SocketAddr> {
        let mut list: Vec<SocketAddr> = self.readers(centre, now).map(|(_, p)| p.addr).collect();
        if list.len() < READERS_PER_CENTRE {
            let mut next: Vec<&Peer> =
                self.in_centre(centre).filter(|p| !self.is_gone(p, now)).collect();
            next.sort_by_key(|p| p.rank);
            let next = next.into_iter().map(|p| p.addr).take(READERS_PER_CENTRE);
            let fresh: Vec<SocketAddr> = next.filter(|addr| !list.contains(addr)).collect();
            list.extend(fresh);
        }
        list
    }

    /// Returns the moment of the newest read of the servers' feed that a reader of a data centre tells of.
    pub fn newest_read(&self, centre: &str, now: Moment) -> Option<Moment> {
        self.readers(centre, now).filter_map(|(_, p)| Some(p.fresh_reader_status(now)?.read)).max()
    }

    /// Returns when the store last told a peer that no version later than `version` is there; the host's start where
    /// no peer tells so.
    pub fn config_checked(&self, version: ConfigVersion) -> Moment {
        let peers = self.peers.values().filter(|p| p.config_version <= version);
        peers.map(|p| p.config_checked).max().unwrap_or_default()
    }

    /// Returns a reader of a data centre that follows a later version of the configuration; `turn` chooses among
    /// several.
    pub fn reader_ahead(
        &self,
        centre: &str,
        version: ConfigVersion,
        turn: usize,
        now: Moment,
    ) -> Option<SocketAddr> {
        let readers = self.readers(centre, now).filter(|(_, p)| p.config_version > version);
        let list: Vec<SocketAddr> = readers.map(|(_, p)| p.addr).collect();
        list.get(turn % list.len().max(1)).copied()
    }

    /// Returns when some daemon of another data centre was last heard, here or by a reader of this one.
    pub fn remote_heard(&self, centre: &str, now: Moment) -> Moment {
        let others = self.peers.values().filter(|p| p.centre != centre && !p.centre.is_empty());
        let heard = others.filter_map(|p| p.last_heard).max().unwrap_or_default();
        let words = self.readers(centre, now).filter_map(|(_, p)| p.fresh_reader_status(now));
        words.map(|word| word.remote_heard).max().unwrap_or_default().max(heard)
    }
}
