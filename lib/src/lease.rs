//! When this daemon may act on a lease, and when it may bid for another's.
//!
//! The fold holds no clock. A holder counts its authority from before the append of the last
//! renewal that it read back; a bidder counts from after it read the last renewal. With the same
//! length on both sides the holder stops first, whatever the log's delay, as long as two clocks
//! differ by less than [`DRIFT_PERCENT`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::CentreId;
use crate::ids::Position;
use crate::replicated_state::Lease;

/// Time for which a renewal gives authority.
pub const LEASE_TTL: Duration = Duration::from_secs(9);
/// Largest difference of two daemons' clock rates that the margin covers, in percent.
pub const DRIFT_PERCENT: u32 = 2;
/// Time without a renewal after which another daemon may bid.
pub const BID_AFTER: Duration = Duration::from_secs(12);
/// Time between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Authority over data centres, on this daemon's own monotonic clock.
#[derive(Debug, Default)]
pub struct LeaseAuthority {
    /// When the last renewal that was read back was sent.
    sent: Option<Duration>,
    /// Last renewal seen of each data centre, and when it was read.
    seen: BTreeMap<CentreId, (Position, Duration)>,
}

impl LeaseAuthority {
    /// Notes that a bid or renewal of this daemon was accepted; `sent` is before its append.
    pub fn record_renewal(&mut self, sent: Duration) {
        self.sent = Some(self.sent.map_or(sent, |old| old.max(sent)));
    }

    /// Returns whether leases that the log still names as this daemon's give authority now.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// Returns when the authority ends.
    pub fn valid_until(&self) -> Option<Duration> {
        self.sent.map(|sent| sent + LEASE_TTL)
    }

    /// Returns whether the last renewal that was read back is older than `period`.
    pub fn renewal_due(&self, now: Duration, period: Duration) -> bool {
        self.sent.is_none_or(|sent| now >= sent + period)
    }

    /// Notes the lease of `centre` as read at `now`; none where there is no holder.
    pub fn observe(&mut self, now: Duration, centre: &CentreId, lease: Option<&Lease>) {
        let renewed = lease.map_or(0, |l| l.renewed);
        match self.seen.get_mut(centre) {
            Some((position, _)) if *position == renewed => {}
            Some(entry) => *entry = (renewed, now),
            None => {
                self.seen.insert(centre.clone(), (renewed, now));
            }
        }
    }

    /// Returns the renewal to name in a bid for `centre`, if it is time for one.
    ///
    /// A lease without a holder is free at once. `patience` spreads the bids of the daemons of one
    /// data centre.
    pub fn due_bid(&self, now: Duration, centre: &str, patience: Duration) -> Option<Position> {
        let (position, since) = *self.seen.get(centre)?;
        let wait = if position == 0 { patience } else { BID_AFTER + patience };
        (now >= since + wait).then_some(position)
    }

    /// Forgets when renewals were read.
    ///
    /// Called when the log was silent: a renewal may stand unread, and only time in which this
    /// daemon could have read one counts against a holder.
    pub fn restart_bid_timers(&mut self, now: Duration) {
        for (_, since) in self.seen.values_mut() {
            *since = now;
        }
    }
}
