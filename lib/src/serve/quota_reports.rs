//! Reports usage of quotas to the homes of workspaces.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::boot_clock::Moment;
use crate::cluster::quota_message::QuotaMessage;
use crate::cluster::quota_message::QuotaUsage;
use crate::cluster::quota_message::WorkspaceId;
use crate::serve::gossip::Gossip;
use crate::serve::quota_waits;
use crate::serve::quotas;

/// Interval between reports of usage while a quota is nearly used up.
const SCARCE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of such intervals between reports of all usage, and between those while a quota is nearly used up but nothing
/// was granted.
const FULL_REPORT_TICKS: u32 = 4;
const IDLE_REPORT_TICKS: u32 = 2;
/// Most rows of usage in one datagram, which then fits into an Ethernet frame.
const ROWS_PER_MESSAGE: usize = 40;
/// Number of such intervals after which silent daemons and unused workspaces are forgotten.
const SWEEP_TICKS: u32 = 200;

impl Gossip {
    /// Reports to homes what this daemon's callers ask for and what its ledgers granted, for as long as the daemon runs.
    pub async fn publish_quotas(self: Rc<Self>) {
        let mut tick = 0_u32;
        loop {
            sleep(SCARCE_INTERVAL).await;
            tick = tick.wrapping_add(1);
            self.send_usage(tick);
            quota_waits::grant_waiting(&self.daemon);
            let (now, known) = (self.daemon.now(), &self.daemon.quotas);
            known.forget_answers(now);
            if tick.is_multiple_of(SWEEP_TICKS) {
                known.sweep(now);
            }
        }
    }

    /// Sends the usage of all workspaces, or of those whose quota is nearly used up.
    fn send_usage(&self, tick: u32) {
        let is_full = tick.is_multiple_of(FULL_REPORT_TICKS);
        let is_idle_due = tick.is_multiple_of(IDLE_REPORT_TICKS);
        let daemon = &self.daemon;
        let (now, settings) = (daemon.now(), daemon.settings());
        let mut rows: BTreeMap<SocketAddr, Vec<QuotaUsage>> = BTreeMap::new();
        for (id, account) in daemon.quotas.accounts.borrow_mut().iter_mut() {
            let demand = account.own.rate(now);
            if is_full {
                account.ledger.refresh(account.bucket, demand, &settings.centre, now);
            }
            let (taken, returned) = account.ledger.totals();
            let is_scarce = account.ledger.is_scarce(account.bucket);
            let is_home = account.ledger.is_active(now);
            let is_due = is_scarce && is_home && (taken != account.reported || is_idle_due);
            if !(is_due || is_full && (is_home || demand >= quotas::MIN_DEMAND)) {
                continue;
            }
            account.reported = taken;
            let home_demand = account.ledger.home_demand(demand, &settings.centre, now);
            let usage = QuotaUsage {
                workspace: *id,
                age_ms: account.ledger.age(now).as_millis() as u32,
                taken,
                returned,
                demand: demand as u32,
                home_demand: home_demand as u32,
                is_scarce,
            };
            for addr in self.usage_recipients(*id, is_home, now) {
                rows.entry(addr).or_default().push(usage);
            }
        }
        for (addr, rows) in rows {
            for part in rows.chunks(ROWS_PER_MESSAGE) {
                quotas::send(daemon, addr, QuotaMessage::Usage(part.to_vec()));
            }
        }
    }

    /// Returns the homes that a report goes to: those of this data centre, and of all others if this daemon is a home.
    fn usage_recipients(&self, id: WorkspaceId, is_home: bool, now: Moment) -> Vec<SocketAddr> {
        let peers = self.daemon.peers.borrow();
        let settings = self.daemon.settings();
        let mut homes = peers.quota_homes(id, &settings, &settings.centre, now);
        if is_home {
            let remote = peers.centres().filter(|centre| **centre != settings.centre);
            homes.extend(remote.flat_map(|centre| peers.quota_homes(id, &settings, centre, now)));
        }
        homes.into_iter().filter_map(|(_, addr)| addr).collect()
    }
}
