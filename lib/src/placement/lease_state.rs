//! The lease of the one daemon that gives orders to engines.
//!
//! The lease is a record in a feed of the platform's store. It is taken and renewed by appends that
//! succeed only if the feed has not grown since it was read, so no two daemons ever hold it by the
//! store's word. The offset of a tenure's first record is its fencing number: unique and growing.

use std::net::SocketAddr;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::digest::ProcessId;
use crate::cluster::peer_table::PeerLease;
use crate::ids::DaemonId;
use crate::ids::Fence;
use crate::ids::Offset;
use crate::placement::entries::LeaseEntry;
use crate::placement::fetch_limiter::StoreShare;
use crate::placement::recent_orders::EngineKey;
use crate::placement::recent_orders::Handover;
use crate::placement::recent_orders::RecentOrders;

/// Time for which a renewal is valid, counted from before its append was sent. For as long after a
/// holder's end nothing is loaded; a store that takes 100 times its usual 4 ms still renews in time.
pub const LEASE_TTL: Duration = Duration::from_millis(1600);
/// Time between renewals: two may fail before the lease ends.
const RENEW_EVERY: Duration = Duration::from_millis(500);
/// Time between tries while the store does not answer.
pub(super) const RETRY_EVERY: Duration = Duration::from_millis(300);
/// Added to a holder's validity before another daemon bids, for clocks that differ in rate.
const MARGIN: Duration = Duration::from_millis(150);
/// Added to the time between two holders' orders to one engine: an order takes a while to arrive.
const ORDER_SLACK: Duration = Duration::from_millis(150);
/// Time between looks at a lease that a peer holds.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Time between looks while the lease is being given up: a renewal would come before that.
const LEAVE_LOOK: Duration = Duration::from_millis(20);
/// A failed renewal shows for this long that the store is away: a silent store shows it once a call's
/// time limit of a second, and a slow host takes its time in between.
const OUTAGE_SHOWN: Duration = Duration::from_secs(3);

/// What the holder of the lease has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HeldLease {
    pub(super) fence: Fence,
    /// When the newest acknowledged append was sent.
    pub(super) sent: Moment,
    /// Where the feed ended after it.
    pub(super) end: Offset,
    /// No order at all before this: the last holder did not say which engines it ordered.
    pub(super) orders_from: Moment,
    /// Whether it is being given up where engines check no fences: another daemon may hold it and order already,
    /// before the store's answer comes.
    pub(super) releasing: bool,
}

/// What a holder tells its peers of its lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseClaim {
    /// The fencing number of its orders.
    pub fence: Fence,
    /// For how long the lease is still valid.
    pub valid_for: Duration,
    /// Where the feed of the lease ended after the newest renewal.
    pub end: Offset,
}

/// What to do next about the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Read the feed's newest record.
    Read,
    /// Append a record if the feed still ends at the offset.
    Append(Offset, LeaseEntry),
    /// Look again at this time.
    Sleep(Moment),
}

/// One daemon's view of the lease. `lease_events` takes in what it reads of the feed.
#[derive(Debug)]
pub struct LeaseState {
    me: DaemonId,
    pub(super) process: ProcessId,
    /// Where this daemon takes messages, and when its process began to.
    seat: Option<(SocketAddr, Moment)>,
    /// Whether engines refuse orders under an old fencing number.
    pub(super) fenced: bool,
    /// How long orders of two holders must lie apart where engines do not check.
    pub(super) apart: Duration,
    /// How much longer this daemon waits than others before it bids.
    patience: Duration,
    /// Where the feed ends, as far as read; none where it has to be read.
    pub(super) end: Option<Offset>,
    /// The newest record.
    pub(super) newest_entry: Option<LeaseEntry>,
    /// Until when another's lease may be valid.
    pub(super) peer_expiry: Moment,
    /// The newest claim of another daemon.
    pub(super) peer_claim: Option<PeerLease>,
    /// Whether the last look found a holder among the peers.
    followed: bool,
    pub(super) held: Option<HeldLease>,
    /// An append without a clear answer: when it was sent first, and the end that it named.
    pub(super) pending_append: Option<(Moment, Offset)>,
    /// When the store last failed to answer.
    pub(super) outage: Option<Moment>,
    pub(super) retry_at: Moment,
    /// What is known of the weight store: the holder's own word, else that of the newest record.
    pub(super) share: StoreShare,
    /// Engines that were ordered lately; kept where engines do not check fencing numbers.
    pub(super) recent: RecentOrders,
    /// Whether the last bid knew which engines the holder before had ordered.
    is_handed: bool,
}

impl LeaseState {
    /// Starts without a lease.
    pub fn new(
        me: DaemonId,
        process: ProcessId,
        fenced: bool,
        apart: Duration,
        patience: Duration,
    ) -> Self {
        Self {
            me,
            process,
            seat: None,
            fenced,
            apart,
            patience,
            end: None,
            newest_entry: None,
            peer_expiry: Moment::ZERO,
            peer_claim: None,
            followed: false,
            held: None,
            pending_append: None,
            outage: None,
            retry_at: Moment::ZERO,
            share: StoreShare::default(),
            recent: RecentOrders::new(apart + ORDER_SLACK),
            is_handed: false,
        }
    }

    /// Sets where this daemon takes messages, from a moment on.
    pub fn set_address(&mut self, addr: SocketAddr, since: Moment) {
        self.seat = Some((addr, since));
    }

    /// Returns when an earlier process at this daemon's address had surely ended, where that one wrote a record.
    ///
    /// After a power loss all daemons waited out the validity of a holder of which they could not know that it was
    /// gone, and callers of cold models with them. Whoever starts at its address knows.
    fn replaced(&self, entry: &LeaseEntry) -> Option<Moment> {
        let (addr, since) = self.seat?;
        (entry.addr == Some(addr) && entry.process != self.process).then_some(since)
    }

    /// Sets how much longer this daemon waits than others before it bids.
    pub fn set_bid_delay(&mut self, patience: Duration) {
        self.patience = patience;
    }

    /// Returns what the last holder knew of the weight store, as far as read.
    pub fn share(&self) -> StoreShare {
        self.share
    }

    /// Takes in what this daemon knows of the weight store, to be handed on with the lease.
    pub fn set_share(&mut self, share: StoreShare) {
        self.share = share;
    }

    /// Returns the fencing number while this daemon may give orders, to some engines at least.
    pub fn fence(&self, now: Moment) -> Option<Fence> {
        let held = self.held.filter(|held| !held.releasing)?;
        (self.is_valid(&held, now) && now >= held.orders_from).then_some(held.fence)
    }

    /// Returns the fencing number while this daemon may order an engine.
    ///
    /// Where engines do not check fencing numbers, that is once its own record lists the engine, and once the last
    /// order of the holder before lies far enough back.
    pub fn fence_for(&self, engine: EngineKey, now: Moment) -> Option<Fence> {
        let fence = self.fence(now)?;
        let is_open = self.fenced
            || self.recent.is_listed(engine) && now >= self.recent.orderable_from(engine);
        is_open.then_some(fence)
    }

    /// Returns from when on an engine may be ordered in view of earlier holders.
    pub fn orderable_from(&self, engine: EngineKey) -> Moment {
        if self.fenced { Moment::ZERO } else { self.recent.orderable_from(engine) }
    }

    /// Returns how many engines are left alone at a moment; none where all are.
    pub fn blocked_engines(&self, now: Moment) -> Option<usize> {
        let is_known = self.held.is_some_and(|held| now >= held.orders_from);
        is_known.then(|| self.recent.blocked_engines(now))
    }

    /// Notes that orders to an engine are about to be given; returns whether a record has to list it first.
    pub fn begin_orders(&mut self, fence: Fence, engine: EngineKey, now: Moment) -> bool {
        if self.fenced || self.held_fence() != Some(fence) {
            return false;
        }
        self.recent.begin(engine, now);
        !self.recent.is_listed(engine)
    }

    /// Notes that no more orders of a change follow.
    pub fn end_orders(&mut self, fence: Fence, engine: EngineKey, now: Moment) {
        if self.held_fence() == Some(fence) {
            self.recent.end(engine, now);
        }
    }

    /// Returns the fencing number of the tenure, though its validity may have lapsed for a moment.
    ///
    /// A late renewal pauses orders. It ends the tenure only when another daemon proves to have the
    /// lease: until then what was ordered goes on, and what is known stays known.
    pub fn held_fence(&self) -> Option<Fence> {
        self.held.map(|h| h.fence)
    }

    fn is_valid(&self, held: &HeldLease, now: Moment) -> bool {
        // Where engines check fences, a holder that cannot renew goes on until somebody proves to
        // have taken over: an outage of the store must not stop all placement. The failed renewal
        // must be recent, so that a holder that wakes from a freeze asks the store first.
        let outage = self.outage.is_some_and(|t| now < t + OUTAGE_SHOWN);
        now < held.sent + LEASE_TTL || self.fenced && outage
    }

    /// Returns what is to be told to peers while the lease is valid.
    pub fn claim(&self, now: Moment) -> Option<LeaseClaim> {
        let held = self.held.filter(|h| self.is_valid(h, now))?;
        let left = (held.sent + LEASE_TTL).saturating_sub(now);
        let left = if left.is_zero() { LEASE_TTL } else { left };
        Some(LeaseClaim { fence: held.fence, valid_for: left, end: held.end })
    }

    /// Returns the next step; `heard` is another daemon's claim.
    pub fn next_step(&mut self, now: Moment, heard: Option<PeerLease>) -> LeaseStep {
        self.follow(heard);
        if now < self.retry_at {
            return LeaseStep::Sleep(self.retry_at);
        }
        let Some(end) = self.end else {
            return LeaseStep::Read;
        };
        if let Some(held) = self.held {
            if held.releasing {
                return LeaseStep::Sleep(now + LEAVE_LOOK);
            }
            let due = held.sent + RENEW_EVERY;
            // A record says nothing of orders while those before are unknown.
            let is_due = !self.fenced && now >= held.orders_from && self.recent.needs_record();
            if now < due && !is_due {
                return LeaseStep::Sleep(due);
            }
            return LeaseStep::Append(end, self.record(Some(held.fence), end, now));
        }
        if heard.is_some() {
            return LeaseStep::Sleep(now + LOOK_EVERY);
        }
        let is_over = |e: &LeaseEntry| e.released || self.replaced(e).is_some();
        let is_free = self.newest_entry.as_ref().map_or(end == 0, is_over);
        let from = if is_free { Moment::ZERO } else { self.peer_expiry + MARGIN };
        if now < from + self.patience {
            return LeaseStep::Sleep((from + self.patience).min(now + LOOK_EVERY));
        }
        self.is_handed = self.take_over(end, now);
        LeaseStep::Append(end, self.record(None, end, now))
    }

    /// Takes over what the holder before wrote of its orders; returns whether it did.
    fn take_over(&mut self, end: Offset, now: Moment) -> bool {
        self.recent.forget();
        let last = self.newest_entry.as_ref().filter(|e| e.at.is_some_and(|at| at + 1 == end));
        let Some(last) = last else { return end == 0 };
        let Some(orders) = &last.orders else { return false };
        // This daemon's own orders may be newer than what it heard of itself.
        let is_lapsed = !last.released && last.process != self.process;
        let handover = if let Some(since) = self.replaced(last) {
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

    /// Takes in what is heard of another holder now, or that none is heard.
    fn follow(&mut self, heard: Option<PeerLease>) {
        if let Some(heard) = heard {
            self.peer_expiry = self.peer_expiry.max(heard.until);
            if self.held.is_some_and(|h| h.fence < heard.fence) {
                self.step_down();
            }
            self.peer_claim = Some(heard);
        } else if self.followed && self.held.is_none() {
            // What was read before the holder's renewals is of no use: a bid at that end would fail,
            // and the wait would begin anew.
            self.end = None;
        }
        self.followed = heard.is_some();
    }

    fn record(&mut self, fence: Option<Fence>, at: Offset, now: Moment) -> LeaseEntry {
        let (holder, process, share) = (self.me.clone(), self.process, self.share);
        let addr = self.seat.map(|(addr, _)| addr);
        // A holder that knows nothing of earlier orders must not write that there were none.
        let is_known = match self.held {
            Some(held) => now >= held.orders_from,
            None => self.is_handed,
        };
        let orders = if self.fenced || !is_known { None } else { self.recent.propose(now) };
        LeaseEntry { holder, process, addr, fence, released: false, at: Some(at), share, orders }
    }

    /// Returns the record that gives the lease up, where it is held and the store answers; no orders from here on.
    ///
    /// While the store is away nobody could take over: the holder keeps the lease for as long as its
    /// process lives.
    pub fn release(&mut self, now: Moment) -> Option<(Offset, LeaseEntry)> {
        let held = self.held.filter(|h| now < h.sent + LEASE_TTL)?;
        let end = self.end?;
        let entry = LeaseEntry { released: true, ..self.record(Some(held.fence), end, now) };
        self.recent.withdraw();
        self.held = Some(HeldLease { releasing: !self.fenced, ..held });
        Some((end, entry))
    }

    /// Takes in that the store did not let the lease be given up.
    pub fn on_release_failed(&mut self) {
        self.held = self.held.map(|held| HeldLease { releasing: false, ..held });
    }

    /// Takes in that the lease was given up.
    pub fn on_released(&mut self) {
        self.step_down();
    }

    /// Returns whether it holds the lease or has an append that may have taken it.
    pub fn may_hold(&self) -> bool {
        self.held.is_some() || self.pending_append.is_some()
    }

    /// Takes in that an append, sent at `sent`, was acknowledged.
    pub fn on_appended(&mut self, sent: Moment, now: Moment, offset: Offset) {
        self.outage = None;
        self.pending_append = None;
        self.end = Some(offset + 1);
        self.recent.commit();
        if let Some(held) = &mut self.held {
            held.sent = sent;
            held.end = offset + 1;
            return;
        }
        // The newest record may be this daemon's own, from an append whose answer was lost; another
        // may have held the lease just before it. Only an empty feed proves that nobody did.
        let wait = if self.fenced || self.is_handed { Duration::ZERO } else { self.apart };
        let fence = offset + 1;
        self.held =
            Some(HeldLease { fence, sent, end: fence, orders_from: now + wait, releasing: false });
        self.newest_entry = Some(self.record(Some(fence), offset, now));
    }

    /// Takes in proof that another daemon has a later lease.
    pub fn step_down(&mut self) {
        if self.held.take().is_some() {
            self.end = None;
        }
        self.pending_append = None;
    }
}
