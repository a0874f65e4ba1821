//! Exchanges observations of servers' slowdowns with other daemons.
//!
//! In a small fleet each daemon reports its own observations to all others. In a large one it reports them to the readers
//! of its data centre, which report their sum to the readers of other data centres, and the sum of all to the daemons here.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::cluster::digest::Payload;
use crate::cluster::server_slowdowns::SlowdownSource;
use crate::cluster::slowdown_report::SlowdownReport;
use crate::cluster::slowdown_report::SlowdownRow;
use crate::cluster::slowdown_report::SlowdownScope;
use crate::ids::DaemonId;
use crate::serve::daemon_state::DaemonState;
use crate::serve::gossip::Gossip;

/// Interval between reports. Their content is valid for minutes, and a new server is estimated after a few requests.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Most rows of one datagram, which then fits into an Ethernet frame.
const ROWS_PER_MESSAGE: usize = 120;
/// Kind of these datagrams in metrics.
const BYTES_KIND: &str = "slowdowns";

/// Applies another daemon's report.
pub(super) fn apply_report(daemon: &DaemonState, from: &DaemonId, report: &SlowdownReport) {
    let centre = daemon.peers.borrow().get(from).map(|peer| peer.centre.clone());
    let Some(centre) = centre.filter(|centre| !centre.is_empty()) else { return };
    let is_own = centre == daemon.settings().centre;
    let source = match (report.scope, is_own) {
        (SlowdownScope::Daemon, _) => SlowdownSource::Daemon(from.clone()),
        (SlowdownScope::Centre, false) => SlowdownSource::Centre(centre),
        (SlowdownScope::Fleet, true) => SlowdownSource::Fleet,
        (SlowdownScope::Centre, true) | (SlowdownScope::Fleet, false) => return,
    };
    daemon.slowdowns.record_report(source, &report.rows, daemon.now());
}

impl Gossip {
    /// Reports slowdowns of servers for as long as the daemon runs.
    pub async fn publish_slowdowns(self: Rc<Self>) {
        loop {
            sleep(REPORT_INTERVAL).await;
            if !self.daemon.slowdowns.is_empty() {
                self.send_slowdowns();
            }
        }
    }

    fn send_slowdowns(&self) {
        let daemon = &self.daemon;
        let (now, centre) = (daemon.now(), daemon.settings().centre.clone());
        let peers = daemon.peers.borrow();
        let is_large = peers.is_large_fleet();
        let collectors = if is_large {
            peers.reader_addrs(&centre, now)
        } else {
            peers.all().map(|(_, peer)| peer.addr).collect()
        };
        if !is_large || !daemon.is_reader() {
            let rows = daemon.slowdowns.own_rows(ROWS_PER_MESSAGE, now);
            self.send_rows(&collectors, SlowdownScope::Daemon, rows);
            return;
        }
        let rows = daemon.slowdowns.relayed_rows(ROWS_PER_MESSAGE, now);
        self.send_rows(&collectors, SlowdownScope::Daemon, rows.own);
        let local: Vec<_> = peers.in_centre(&centre).map(|peer| peer.addr).collect();
        self.send_rows(&local, SlowdownScope::Fleet, rows.fleet);
        let remote = peers.centres().filter(|other| **other != centre);
        let readers: Vec<_> = remote.flat_map(|other| peers.reader_addrs(other, now)).collect();
        self.send_rows(&readers, SlowdownScope::Centre, rows.centre);
    }

    fn send_rows(&self, addrs: &[SocketAddr], scope: SlowdownScope, rows: Vec<SlowdownRow>) {
        if rows.is_empty() {
            return;
        }
        let bytes = self.encode(Payload::Slowdowns(SlowdownReport { scope, rows }));
        for addr in addrs {
            self.send(*addr, &bytes, BYTES_KIND);
        }
    }
}
