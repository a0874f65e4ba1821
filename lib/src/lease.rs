//! Times of leases: until when this daemon may act on its own, and from when it may bid for others.
//!
//! The fold reads no clock. A holder counts its authority from before the append of the last
//! renewal that it read back; a bidder counts from after it read the last renewal. So the holder
//! stops first even with equal periods, whatever the log's delay. The bidder's period is longer,
//! which covers clocks whose rates differ by less than [`DRIFT_PERCENT`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::CentreId;
use crate::ids::Position;
use crate::replicated_state::Lease;

/// Time for which a renewal gives authority, counted from before its append.
pub const LEASE_TTL: Duration = Duration::from_secs(9);
/// Largest difference between two daemons' clock rates that the margin covers, in percent.
pub const DRIFT_PERCENT: u32 = 2;
/// Time without a new renewal after which another daemon may bid.
pub const BID_AFTER: Duration = Duration::from_secs(12);
/// Time between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Authority under leases and bid timers, on this daemon's own monotonic clock.
#[derive(Debug, Default)]
pub struct LeaseAuthority {
    /// Time just before the append of the last renewal that was read back.
    renewal_sent: Option<Duration>,
    /// Last renewal read for each data centre, and when it was read; position 0 if there is no
    /// holder.
    last_renewals: BTreeMap<CentreId, (Position, Duration)>,
}

impl LeaseAuthority {
    /// Records that a bid or renewal of this daemon was accepted; `sent` precedes its append.
    pub fn record_renewal(&mut self, sent: Duration) {
        self.renewal_sent = Some(self.renewal_sent.map_or(sent, |old| old.max(sent)));
    }

    /// Returns whether the leases that the log shows as this daemon's give authority at `now`.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// Returns when the authority ends; `None` if no renewal was ever accepted.
    pub fn valid_until(&self) -> Option<Duration> {
        self.renewal_sent.map(|sent| sent + LEASE_TTL)
    }

    /// Returns whether the last renewal that was read back is older than `period`.
    pub fn renewal_due(&self, now: Duration, period: Duration) -> bool {
        self.renewal_sent.is_none_or(|sent| now >= sent + period)
    }

    /// Records the lease of `centre` as read at `now`; `None` if it has no holder.
    pub fn observe(&mut self, now: Duration, centre: &CentreId, lease: Option<&Lease>) {
        let renewed = lease.map_or(0, |l| l.renewed);
        match self.last_renewals.get_mut(centre) {
            Some((position, _)) if *position == renewed => {}
            Some(entry) => *entry = (renewed, now),
            None => {
                self.last_renewals.insert(centre.clone(), (renewed, now));
            }
        }
    }

    /// Returns the renewal to name in a bid for `centre`; `None` if no bid is due yet.
    ///
    /// A lease without a holder may be bid for after `bid_delay` alone. The delay spreads the bids
    /// of the daemons of one data centre.
    pub fn due_bid(&self, now: Duration, centre: &str, bid_delay: Duration) -> Option<Position> {
        let (position, since) = *self.last_renewals.get(centre)?;
        let wait = if position == 0 { bid_delay } else { BID_AFTER + bid_delay };
        (now >= since + wait).then_some(position)
    }

    /// Restarts the bid timers of all leases at `now`.
    ///
    /// Called after the log was unavailable: a renewal may not have been read yet, and only time in
    /// which this daemon could have read one counts against a holder.
    pub fn restart_bid_timers(&mut self, now: Duration) {
        for (_, since) in self.last_renewals.values_mut() {
            *since = now;
        }
    }
}
