//! State machine of the lease that lets one daemon give orders to engines.
//!
//! The lease is a record in a feed of the platform's store. It is acquired and renewed by appends that succeed
//! only if the feed has not grown since it was read, so the store never grants it to two daemons at once. The end
//! of the feed after a lease's first record is its fencing number: unique and increasing.

use std::net::SocketAddr;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::digest::ProcessId;
use crate::cluster::peer_table::PeerLease;
use crate::ids::DaemonId;
use crate::ids::FeedOffset;
use crate::ids::Fence;
use crate::placement::entries::LeaseEntry;
use crate::placement::fetch_limiter::StoreShare;
use crate::placement::recent_orders::EngineKey;
use crate::placement::recent_orders::Handover;
use crate::placement::recent_orders::RecentOrders;

/// How long a renewal is valid, counted from before its append was sent. After a holder fails, nothing is loaded
/// for this long. A store that takes 100 times its usual 4 ms still renews in time.
pub const LEASE_TTL: Duration = Duration::from_millis(1600);
/// Time between renewals: two may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time between retries while the store does not respond.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Added to a holder's validity before another daemon bids, for clocks that differ in rate.
const CLOCK_MARGIN: Duration = Duration::from_millis(150);
/// Added to the gap between two holders' orders to one engine: an order takes a while to arrive.
const ORDER_SLACK: Duration = Duration::from_millis(150);
/// Time between checks of a lease that a peer holds.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between checks while the lease is being released: a renewal would come before the release.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a failed renewal counts as an outage of the store: an unresponsive store causes one failure per call
/// timeout of a second, and a slow host adds delays in between.
const OUTAGE_TTL: Duration = Duration::from_secs(3);

/// The lease as held by this daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HeldLease {
    pub(super) fence: Fence,
    /// When the newest acknowledged append was sent.
    pub(super) sent: Moment,
    /// The feed's end after that append.
    pub(super) end: FeedOffset,
    /// No orders at all before this time: the previous holder did not record which engines it sent orders to.
    pub(super) orders_from: Moment,
    /// Whether the lease is being released and engines do not check fencing numbers: another daemon may already
    /// hold it and give orders before the store responds.
    pub(super) releasing: bool,
}

/// What a holder sends to its peers about its lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseClaim {
    /// The fencing number of its orders.
    pub fence: Fence,
    /// How long the lease is still valid.
    pub valid_for: Duration,
    /// The feed's end after the newest renewal.
    pub end: FeedOffset,
}

/// The next action for the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Read the feed's newest record.
    Read,
    /// Append a record if the feed still ends at the offset.
    Append(FeedOffset, LeaseEntry),
    /// Check again at this time.
    Sleep(Moment),
}

/// One daemon's view of the lease. `lease_events` applies what is read from the feed.
#[derive(Debug)]
pub struct LeaseState {
    daemon: DaemonId,
    pub(super) process: ProcessId,
    /// Address at which this daemon receives messages, and since when its process has done so.
    address: Option<(SocketAddr, Moment)>,
    /// Whether engines refuse orders with an outdated fencing number.
    pub(super) fenced: bool,
    /// Minimum time between two holders' orders to one engine if engines do not check fencing numbers.
    pub(super) order_gap: Duration,
    /// How much longer this daemon waits than others before it bids.
    bid_delay: Duration,
    /// The feed's end as last read; `None` if it has to be read again.
    pub(super) end: Option<FeedOffset>,
    /// The feed's end at the last read, even if it has to be read again.
    pub(super) last_end: Option<FeedOffset>,
    /// The newest record.
    pub(super) newest_entry: Option<LeaseEntry>,
    /// Until when another daemon's lease may be valid.
    pub(super) peer_expiry: Moment,
    /// The newest claim of another daemon.
    pub(super) peer_claim: Option<PeerLease>,
    /// Whether a peer held the lease at the last check.
    peer_seen: bool,
    pub(super) held: Option<HeldLease>,
    /// An append with an unknown outcome: when it was first sent and the feed's end that it named.
    pub(super) pending_append: Option<(Moment, FeedOffset)>,
    /// When the store last failed to respond.
    pub(super) outage: Option<Moment>,
    pub(super) retry_at: Moment,
    /// What is known about the weight store: this daemon's knowledge while it holds the lease, otherwise that of
    /// the newest record.
    pub(super) share: StoreShare,
    /// Engines that recently received orders; used only if engines do not check fencing numbers.
    pub(super) recent: RecentOrders,
    /// Whether this daemon knew at its last bid which engines had received orders from the previous holder.
    orders_known: bool,
}

impl LeaseState {
    /// Starts without a lease.
    pub fn new(
        daemon: DaemonId,
        process: ProcessId,
        fenced: bool,
        order_gap: Duration,
        bid_delay: Duration,
    ) -> Self {
        Self {
            daemon,
            process,
            address: None,
            fenced,
            order_gap,
            bid_delay,
            end: None,
            last_end: None,
            newest_entry: None,
            peer_expiry: Moment::ZERO,
            peer_claim: None,
            peer_seen: false,
            held: None,
            pending_append: None,
            outage: None,
            retry_at: Moment::ZERO,
            share: StoreShare::default(),
            recent: RecentOrders::new(order_gap + ORDER_SLACK),
            orders_known: false,
        }
    }

    /// Sets the address at which this daemon receives messages, and since when.
    pub fn set_address(&mut self, addr: SocketAddr, since: Moment) {
        self.address = Some((addr, since));
    }

    /// Returns when an earlier process that wrote `entry` at this daemon's address had certainly ended; `None` if
    /// the record has another address or is of this process.
    ///
    /// After a power loss, all daemons waited until the previous lease expired, since they could not know that its
    /// holder had ended, and callers of cold models waited with them. A process that starts at the holder's
    /// address knows it.
    fn replaced_since(&self, entry: &LeaseEntry) -> Option<Moment> {
        let (addr, since) = self.address?;
        (entry.addr == Some(addr) && entry.process != self.process).then_some(since)
    }

    /// Sets how much longer this daemon waits than others before it bids.
    pub fn set_bid_delay(&mut self, bid_delay: Duration) {
        self.bid_delay = bid_delay;
    }

    /// Returns what the last holder knew about the weight store, as of the last read.
    pub fn share(&self) -> StoreShare {
        self.share
    }

    /// Sets what this daemon knows about the weight store, to be passed on with the lease.
    pub fn set_share(&mut self, share: StoreShare) {
        self.share = share;
    }

    /// Returns the fencing number while this daemon may give orders, at least to some engines.
    pub fn fence(&self, now: Moment) -> Option<Fence> {
        let held = self.held.filter(|held| !held.releasing)?;
        (self.is_valid(&held, now) && now >= held.orders_from).then_some(held.fence)
    }

    /// Returns the fencing number while this daemon may send orders to an engine.
    ///
    /// If engines do not check fencing numbers, its own record must list the engine first, and the previous holder's
    /// last order must be long enough ago.
    pub fn fence_for(&self, engine: EngineKey, now: Moment) -> Option<Fence> {
        let fence = self.fence(now)?;
        let is_open = self.fenced
            || self.recent.is_listed(engine) && now >= self.recent.orderable_from(engine);
        is_open.then_some(fence)
    }

    /// Returns from when on an engine may receive orders, considering earlier holders' orders.
    pub fn orderable_from(&self, engine: EngineKey) -> Moment {
        if self.fenced { Moment::ZERO } else { self.recent.orderable_from(engine) }
    }

    /// Returns how many engines may not receive orders yet; `None` if this applies to all of them.
    pub fn blocked_engines(&self, now: Moment) -> Option<usize> {
        let is_known = self.held.is_some_and(|held| now >= held.orders_from);
        is_known.then(|| self.recent.blocked_engines(now))
    }

    /// Records that orders to an engine are about to be sent; returns whether a record has to list it first.
    pub fn begin_orders(&mut self, fence: Fence, engine: EngineKey, now: Moment) -> bool {
        if self.fenced || self.held_fence() != Some(fence) {
            return false;
        }
        self.recent.begin(engine, now);
        !self.recent.is_listed(engine)
    }

    /// Records that a change sends no more orders.
    pub fn end_orders(&mut self, fence: Fence, engine: EngineKey, now: Moment) {
        if self.held_fence() == Some(fence) {
            self.recent.end(engine, now);
        }
    }

    /// Returns the fencing number of the lease, even if its validity has expired for a moment.
    ///
    /// A late renewal only pauses orders. The lease ends when another daemon is shown to hold it: until then, loads in
    /// progress continue and the state is kept.
    pub fn held_fence(&self) -> Option<Fence> {
        self.held.map(|h| h.fence)
    }

    fn is_valid(&self, held: &HeldLease, now: Moment) -> bool {
        // If engines check fencing numbers, a holder that cannot renew keeps the lease until another daemon is
        // shown to have taken over: an outage of the store must not stop all placement. The failed renewal must be
        // recent, so that a holder that resumes after a freeze reads the store first.
        let outage = self.outage.is_some_and(|t| now < t + OUTAGE_TTL);
        now < held.sent + LEASE_TTL || self.fenced && outage
    }

    /// Returns what to send to peers while the lease is valid.
    pub fn claim(&self, now: Moment) -> Option<LeaseClaim> {
        let held = self.held.filter(|h| self.is_valid(h, now))?;
        let remaining = (held.sent + LEASE_TTL).saturating_sub(now);
        let remaining = if remaining.is_zero() { LEASE_TTL } else { remaining };
        Some(LeaseClaim { fence: held.fence, valid_for: remaining, end: held.end })
    }

    /// Returns the next step; `peer_lease` is another daemon's claim.
    pub fn next_step(&mut self, now: Moment, peer_lease: Option<PeerLease>) -> LeaseStep {
        self.update_peer(peer_lease);
        if now < self.retry_at {
            return LeaseStep::Sleep(self.retry_at);
        }
        let Some(end) = self.end else {
            return LeaseStep::Read;
        };
        if let Some(held) = self.held {
            if held.releasing {
                return LeaseStep::Sleep(now + RELEASE_POLL_INTERVAL);
            }
            let due = held.sent + RENEW_INTERVAL;
            // A record cannot list orders while the previous holder's are unknown.
            let is_due = !self.fenced && now >= held.orders_from && self.recent.needs_record();
            if now < due && !is_due {
                return LeaseStep::Sleep(due);
            }
            return LeaseStep::Append(end, self.build_entry(Some(held.fence), end, now));
        }
        if peer_lease.is_some() {
            return LeaseStep::Sleep(now + POLL_INTERVAL);
        }
        let is_ended = |e: &LeaseEntry| e.released || self.replaced_since(e).is_some();
        let is_free = self.newest_entry.as_ref().map_or(end == 0, is_ended);
        let from = if is_free { Moment::ZERO } else { self.peer_expiry + CLOCK_MARGIN };
        if now < from + self.bid_delay {
            return LeaseStep::Sleep((from + self.bid_delay).min(now + POLL_INTERVAL));
        }
        self.orders_known = self.inherit_orders(end, now);
        LeaseStep::Append(end, self.build_entry(None, end, now))
    }

    /// Takes over the orders that the previous holder recorded; returns whether they are known.
    fn inherit_orders(&mut self, end: FeedOffset, now: Moment) -> bool {
        self.recent.forget();
        let last = self.newest_entry.as_ref().filter(|e| e.at.is_some_and(|at| at + 1 == end));
        let Some(last) = last else { return end == 0 };
        let Some(orders) = &last.orders else { return false };
        // If the record is this process's own, its orders may be newer than the expiry that peers reported.
        let is_lapsed = !last.released && last.process != self.process;
        let handover = if let Some(since) = self.replaced_since(last) {
            Handover { written: since, ended: since }
        } else if is_lapsed {
            let written = self.peer_expiry.saturating_sub(LEASE_TTL).min(now);
            Handover { written, ended: self.peer_expiry.min(now) }
        } else {
            Handover { written: now, ended: now }
        };
        self.recent.inherit(orders, handover);
        true
    }

    /// Applies the claim of another holder, or that there is none.
    fn update_peer(&mut self, peer_lease: Option<PeerLease>) {
        if let Some(peer_lease) = peer_lease {
            self.peer_expiry = self.peer_expiry.max(peer_lease.valid_until);
            if self.held.is_some_and(|h| h.fence < peer_lease.fence) {
                self.step_down();
            }
            self.peer_claim = Some(peer_lease);
        } else if self.peer_seen && self.held.is_none() {
            // The feed's end read before the holder's renewals is outdated: a bid there would fail, and the wait
            // would start again.
            self.end = None;
        }
        self.peer_seen = peer_lease.is_some();
    }

    fn build_entry(&mut self, fence: Option<Fence>, at: FeedOffset, now: Moment) -> LeaseEntry {
        let (holder, process, share) = (self.daemon.clone(), self.process, self.share);
        let addr = self.address.map(|(addr, _)| addr);
        // A holder that does not know earlier orders must not record that there were none.
        let is_known = match self.held {
            Some(held) => now >= held.orders_from,
            None => self.orders_known,
        };
        let orders = if self.fenced || !is_known { None } else { self.recent.propose(now) };
        LeaseEntry { holder, process, addr, fence, released: false, at: Some(at), share, orders }
    }

    /// Returns the record that releases the lease, if the lease is valid and the feed's end is known; no orders
    /// may follow.
    ///
    /// During an outage of the store no other daemon could take over: the holder keeps the lease as long as its
    /// process runs.
    pub fn release(&mut self, now: Moment) -> Option<(FeedOffset, LeaseEntry)> {
        let held = self.held.filter(|h| now < h.sent + LEASE_TTL)?;
        let end = self.end?;
        let entry = LeaseEntry { released: true, ..self.build_entry(Some(held.fence), end, now) };
        self.recent.withdraw();
        self.held = Some(HeldLease { releasing: !self.fenced, ..held });
        Some((end, entry))
    }

    /// Records that the store did not release the lease.
    pub fn on_release_failed(&mut self) {
        self.held = self.held.map(|held| HeldLease { releasing: false, ..held });
    }

    /// Records that the lease was released.
    pub fn on_released(&mut self) {
        self.step_down();
    }

    /// Returns whether it holds the lease or has an append in flight that may have acquired it.
    pub fn may_hold(&self) -> bool {
        self.held.is_some() || self.pending_append.is_some()
    }

    /// Records that an append, sent at `sent`, was acknowledged.
    pub fn on_appended(&mut self, sent: Moment, now: Moment, offset: FeedOffset) {
        self.outage = None;
        self.pending_append = None;
        self.end = Some(offset + 1);
        self.recent.commit();
        if let Some(held) = &mut self.held {
            held.sent = sent;
            held.end = offset + 1;
            return;
        }
        // The newest record may be this daemon's own, from an append whose response did not arrive, and another daemon
        // may have held the lease just before. Only an empty feed proves that none did.
        let wait = if self.fenced || self.orders_known { Duration::ZERO } else { self.order_gap };
        let fence = offset + 1;
        self.held =
            Some(HeldLease { fence, sent, end: fence, orders_from: now + wait, releasing: false });
        self.newest_entry = Some(self.build_entry(Some(fence), offset, now));
    }

    /// Records that another daemon holds a later lease.
    pub fn step_down(&mut self) {
        if self.held.take().is_some() {
            self.end = None;
        }
        self.pending_append = None;
    }
}
