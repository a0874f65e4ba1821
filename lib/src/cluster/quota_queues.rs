//! Who gets the tokens of a workspace's quota while there are too few, at one home of the workspace.
//!
//! Requests that can wait for long and those that cannot are two classes. Each has the part of the rate that corresponds to
//! its demand, so that neither gets less than if tokens went to requests in the order of their arrival; what one does not
//! use, and what accumulates once demand falls, goes to the other. Urgent requests get what is there or are refused at once:
//! a queue of large ones would keep out the many small ones that need few tokens.

use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::demand_meter::DemandMeter;
use crate::cluster::quota_queue::QueueKey;
use crate::cluster::quota_queue::QuotaQueue;
use crate::cluster::quota_queue::Supply;
use crate::cluster::quota_queue::Waiting;

/// A request whose latency goal allows a wait of this length is patient: demand may fall meanwhile.
const PATIENT_WAIT: Duration = Duration::from_secs(1);
/// Least part of the rate of each class.
const MIN_PART: f64 = 0.02;
/// Part of the other class's rate that patient requests may count on: a workspace asks for much more than its quota for
/// some seconds, and for less than it after that.
const EXPECTED_REST: f64 = 0.5;
/// Time for which the credit of urgent requests accumulates.
const CREDIT_TIME: Duration = Duration::from_millis(250);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It gets its tokens now.
    Granted,
    /// It waits.
    Queued,
    /// It cannot get them in time.
    Refused,
}

/// The waiting requests of one workspace, and the credit of those that cannot wait.
#[derive(Clone, Debug, Default)]
pub struct QuotaQueues {
    patient: QuotaQueue,
    /// Tokens that may be granted to urgent requests while patient ones wait.
    urgent_credit: f64,
    credited_at: Moment,
    urgent_demand: DemandMeter,
    patient_demand: DemandMeter,
}

impl QuotaQueues {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.patient.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.patient.len()
    }

    /// Returns the part of the rate that patient requests have.
    fn patient_part(&self, now: Moment) -> f64 {
        let (patient, urgent) = (self.patient_demand.rate(now), self.urgent_demand.rate(now));
        (patient / (patient + urgent).max(1.0)).clamp(MIN_PART, 1.0 - MIN_PART)
    }

    /// Decides on a request. `level` is what the bucket holds, `supply` what this home may grant.
    pub fn offer(&mut self, ask: Waiting, level: f64, supply: Supply, now: Moment) -> Decision {
        let is_patient = ask.due >= now + PATIENT_WAIT;
        let demand = if is_patient { &mut self.patient_demand } else { &mut self.urgent_demand };
        demand.add(ask.needed, now);
        let part = self.patient_part(now);
        let is_there = level >= ask.needed;
        if is_there && self.is_empty() {
            return Decision::Granted;
        }
        if !is_patient {
            let is_granted = is_there && self.take_credit(ask.needed, supply.part(1.0 - part), now);
            return if is_granted { Decision::Granted } else { Decision::Refused };
        }
        if is_there && self.patient.overtake(ask.needed, ask.due, supply.part(part), now) {
            return Decision::Granted;
        }
        if !self.patient.is_full()
            && self.patient.fits(ask.needed, ask.due, self.expected(supply, now), now)
        {
            self.patient.push(ask);
            return Decision::Queued;
        }
        Decision::Refused
    }

    /// Takes tokens from the credit of urgent requests, which grows with time, if it holds them.
    fn take_credit(&mut self, needed: f64, supply: Supply, now: Moment) -> bool {
        let most = (supply.rate * CREDIT_TIME.as_secs_f64()).max(needed);
        let elapsed = now.saturating_sub(self.credited_at).as_secs_f64();
        self.credited_at = now;
        self.urgent_credit = (self.urgent_credit + elapsed * supply.rate).min(most);
        let is_granted = self.urgent_credit >= needed || supply.is_ample;
        if is_granted {
            self.urgent_credit = (self.urgent_credit - needed).max(0.0);
        }
        is_granted
    }

    /// Returns what patient requests may count on.
    fn expected(&self, supply: Supply, now: Moment) -> Supply {
        let part = self.patient_part(now);
        supply.part(part + (1.0 - part) * EXPECTED_REST)
    }

    /// Removes and returns the next request if its tokens are there.
    pub fn pop(&mut self, level: f64, supply: Supply, now: Moment) -> Option<Waiting> {
        let part = self.patient_part(now);
        self.patient.pop(level, supply.part(part), now)
    }

    /// Removes and returns the requests that cannot get their tokens in time any more, and drops those whose daemon
    /// sends no messages.
    pub fn remove_hopeless(&mut self, supply: Supply, now: Moment) -> Vec<Waiting> {
        self.patient.remove_hopeless(self.expected(supply, now), now)
    }

    /// Records that the daemon of a waiting request asked again; returns whether the request waits.
    pub fn renew(&mut self, key: QueueKey, now: Moment) -> bool {
        self.patient.renew(key, now)
    }

    /// Removes a request whose caller left; returns whether it waited.
    pub fn remove(&mut self, key: QueueKey) -> bool {
        self.patient.remove(key)
    }
}
