//! Requests that wait for tokens of a workspace's quota, at one home of the workspace.
//!
//! While a workspace asks for more than its quota, the requests that can wait do so, and get their tokens in the order of
//! the times by which they need them (earliest deadline first). A request is accepted only if all accepted ones still get
//! their tokens in time at the rate that this home may grant. Others are refused at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::digest::ProcessId;
use crate::cluster::quota_message::AskId;
use crate::cluster::workspace::Tokens;

/// Time for which credit accumulates while no request waits or the bucket is empty.
const CREDIT_TIME: Duration = Duration::from_millis(250);
/// Time without a message from the daemon of a waiting request after which the request is dropped. The daemon repeats
/// the message four times a second, so that several in a row were lost, or its process ended.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(2);
/// Factor by which the expected wait of an accepted request may exceed the time that it has before it is refused: the
/// rate of this home is an estimate.
const REFUSAL_FACTOR: f64 = 1.25;
/// Part of the expected supply that requests with an early deadline may rely on where others wait behind them: the rate
/// of this home is an estimate, and those were accepted first.
const OVERTAKING_PART: f64 = 0.7;
/// Most requests that wait; more would take memory without ever being served in time.
const MAX_WAITING: usize = 4096;

/// Identifies a request for tokens.
pub type QueueKey = (ProcessId, AskId);

/// What a home may grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Tokens that it may grant at once; negative if more was granted than there was.
    pub level: f64,
    /// Tokens per second that it may grant from now on.
    pub rate: f64,
    /// Whether tokens accumulate, so that it may grant more than its part: other homes use less of theirs.
    pub is_ample: bool,
}

impl Supply {
    /// Returns a part of it.
    #[must_use]
    pub fn part(self, part: f64) -> Self {
        Self { level: self.level * part, rate: self.rate * part, ..self }
    }

    /// Returns the tokens that it may have granted after `time`.
    fn after(self, time: Duration) -> f64 {
        self.level + self.rate * time.as_secs_f64()
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Identifies it.
    pub key: QueueKey,
    /// Tokens that the bucket must hold for it.
    pub needed: f64,
    /// Tokens that it takes.
    pub tokens: Tokens,
    /// Address of its daemon; `None` if it is this one.
    pub reply_to: Option<SocketAddr>,
    /// When it needs them.
    pub due: Moment,
    /// When its daemon last asked for them.
    pub heard_at: Moment,
    /// When it began to wait.
    pub since: Moment,
}

/// The waiting requests of one workspace.
#[derive(Clone, Debug, Default)]
pub struct QuotaQueue {
    /// By the time at which they are due, and their order of arrival.
    waiting: BTreeMap<(Moment, u64), Waiting>,
    arrivals: u64,
    /// Tokens that may be granted to waiting requests, so that homes share the rate in proportion to their demand.
    credit: f64,
    credited_at: Moment,
}

impl QuotaQueue {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether a request may get its tokens before all waiting ones without making one of them late, and counts
    /// them if so.
    pub fn overtake(&mut self, needed: f64, due: Moment, supply: Supply, now: Moment) -> bool {
        let first = self.waiting.first_key_value().map(|((first, _), _)| *first);
        if first.is_some_and(|first| due > first || !self.fits(needed, due, supply, now)) {
            return false;
        }
        self.take_credit(needed, supply, now)
    }

    /// Takes tokens from the credit, which grows with time, if it holds them.
    fn take_credit(&mut self, needed: f64, supply: Supply, now: Moment) -> bool {
        let elapsed = now.saturating_sub(self.credited_at).as_secs_f64();
        self.credited_at = now;
        let most = (supply.rate * CREDIT_TIME.as_secs_f64()).max(needed);
        self.credit = (self.credit + elapsed * supply.rate).min(most);
        let is_granted = self.credit >= needed || supply.is_ample;
        if is_granted {
            self.credit = (self.credit - needed).max(0.0);
        }
        is_granted
    }

    /// Returns whether a request that is due at `due`, and all waiting ones, get their tokens in time, with a reserve if
    /// it would come before others.
    pub fn fits(&self, needed: f64, due: Moment, supply: Supply, now: Moment) -> bool {
        let mut sum = needed;
        let mut is_placed = false;
        for ((at, _), waiting) in &self.waiting {
            if *at > due && !is_placed {
                is_placed = true;
                if sum > supply.after(due.saturating_sub(now).mul_f64(OVERTAKING_PART)) {
                    return false;
                }
            }
            sum += waiting.needed;
            if is_placed && sum > supply.after(at.saturating_sub(now).mul_f64(OVERTAKING_PART)) {
                return false;
            }
        }
        is_placed || sum <= supply.after(due.saturating_sub(now))
    }

    /// Lets a request wait.
    pub fn push(&mut self, waiting: Waiting) {
        if self.waiting.is_empty() {
            self.credited_at = waiting.since;
        }
        self.arrivals += 1;
        self.waiting.insert((waiting.due, self.arrivals), waiting);
    }

    /// Returns whether no more requests may wait.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_WAITING
    }

    /// Records that the daemon of a waiting request asked again; returns whether the request waits.
    pub fn renew(&mut self, key: QueueKey, now: Moment) -> bool {
        let waiting = self.waiting.values_mut().find(|waiting| waiting.key == key);
        waiting.map(|waiting| waiting.heard_at = now).is_some()
    }

    /// Removes a request whose caller left; returns whether it waited.
    pub fn remove(&mut self, key: QueueKey) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, waiting| waiting.key != key);
        self.waiting.len() < before
    }

    /// Removes and returns the next request if its tokens are there. `level` is what the bucket holds.
    pub fn pop(&mut self, level: f64, supply: Supply, now: Moment) -> Option<Waiting> {
        let needed = self.waiting.first_key_value()?.1.needed;
        if level < needed || !self.take_credit(needed, supply, now) {
            return None;
        }
        self.waiting.pop_first().map(|(_, waiting)| waiting)
    }

    /// Removes and returns the requests that cannot get their tokens in time any more, and drops those whose daemon
    /// sent no message for [`DAEMON_TIMEOUT`].
    pub fn remove_hopeless(&mut self, supply: Supply, now: Moment) -> Vec<Waiting> {
        self.waiting.retain(|_, waiting| now <= waiting.heard_at + DAEMON_TIMEOUT);
        let mut sum = 0.0;
        let mut hopeless = Vec::new();
        self.waiting.retain(|_, waiting| {
            let left = waiting.due.saturating_sub(now);
            let is_late = sum + waiting.needed > supply.after(left.mul_f64(REFUSAL_FACTOR));
            if is_late || left.is_zero() {
                hopeless.push(*waiting);
                return false;
            }
            sum += waiting.needed;
            true
        });
        hopeless
    }
}
