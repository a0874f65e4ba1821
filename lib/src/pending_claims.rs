//! Claims that this daemon has requested from the log, for requests that must not run twice.
//!
//! The load balancer may send a caller's retry to another daemon. The log decides which daemon runs
//! the request: the first claim in it wins, and every other daemon reads there who holds the claim.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::event::ClaimAnswer;
use crate::fold::Outcome;
use crate::ids::ClaimKey;
use crate::ids::DaemonId;
use crate::ids::Incarnation;
use crate::record::Record;
use crate::record::Settlement;
use crate::replicated_state::Claim;
use crate::replicated_state::ReplicatedState;
use crate::verdict::Verdict;

/// Time after which a claim that the log has not decided is refused.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct PendingClaim {
    since: Duration,
    /// Whether its request no longer waits; if the claim is granted later, it is released.
    cancelled: bool,
}

/// Claims of one daemon that the log has not decided yet.
#[derive(Debug)]
pub struct PendingClaims {
    daemon: DaemonId,
    incarnation: Incarnation,
    pending: BTreeMap<ClaimKey, PendingClaim>,
}

/// What to do about a requested claim.
#[derive(Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Answer the request.
    Answer(ClaimAnswer),
    /// Append this claim to the log and wait for the decision.
    Append(ClaimKey),
    /// Wait for the decision about an append in progress.
    Wait,
}

/// What to do after the log's decision about a claim.
#[derive(Debug, PartialEq)]
pub enum ClaimDecision {
    /// Answer the request.
    Answer(ClaimAnswer),
    /// Release the claim, since its request no longer waits.
    Release(Settlement),
    /// Do nothing.
    Nothing,
}

impl PendingClaims {
    /// Creates an empty set for one start of a daemon.
    pub fn new(daemon: DaemonId, incarnation: Incarnation) -> Self {
        Self { daemon, incarnation, pending: BTreeMap::new() }
    }

    /// Requests the claim `key`; the answer is immediate if the log has decided it or is down.
    pub fn request(
        &mut self,
        now: Duration,
        key: ClaimKey,
        state: &ReplicatedState,
        log_up: bool,
    ) -> ClaimStep {
        if let Some(claim) = state.claim(key) {
            return ClaimStep::Answer(answer_for(claim));
        }
        if !log_up {
            return ClaimStep::Answer(ClaimAnswer::LogDown);
        }
        match self.pending.get_mut(&key) {
            Some(pending) if pending.cancelled => {
                *pending = PendingClaim { since: now, cancelled: false };
                ClaimStep::Wait
            }
            Some(_) => ClaimStep::Answer(ClaimAnswer::Taken(self.daemon.clone())),
            None => {
                self.pending.insert(key, PendingClaim { since: now, cancelled: false });
                ClaimStep::Append(key)
            }
        }
    }

    /// Applies the log's decision about a claim of this daemon.
    ///
    /// A claim that is granted after its request was cancelled is released.
    pub fn on_decided(
        &mut self,
        key: ClaimKey,
        outcome: Outcome,
        state: &ReplicatedState,
    ) -> ClaimDecision {
        let Some(pending) = self.pending.remove(&key) else {
            return ClaimDecision::Nothing;
        };
        if outcome.is_err() {
            let answer = state.claim(key).map_or(ClaimAnswer::LogDown, answer_for);
            return if pending.cancelled {
                ClaimDecision::Nothing
            } else {
                ClaimDecision::Answer(answer)
            };
        }
        if pending.cancelled {
            ClaimDecision::Release(release_settlement(key))
        } else {
            ClaimDecision::Answer(ClaimAnswer::Granted)
        }
    }

    /// Cancels the claim of a request that was not sent to any server.
    ///
    /// Returns the settlement that releases the claim if it was granted already.
    pub fn cancel(&mut self, key: ClaimKey, state: &ReplicatedState) -> Option<Settlement> {
        if let Some(pending) = self.pending.get_mut(&key) {
            pending.cancelled = true;
            return None;
        }
        let own = state.claim(key).is_some_and(|c| {
            c.daemon == self.daemon && c.incarnation == self.incarnation && c.end.is_none()
        });
        own.then(|| release_settlement(key))
    }

    /// Gives all claims that still wait their whole time again.
    pub fn restart_timeouts(&mut self, now: Duration) {
        for pending in self.pending.values_mut().filter(|pending| !pending.cancelled) {
            pending.since = now;
        }
    }

    /// Cancels and returns the claims that the log has not decided within [`CLAIM_TIMEOUT`].
    ///
    /// Their requests are refused with the verdict "did not run". That is correct: a claim that is
    /// granted later is released, and its request is never dispatched.
    pub fn cancel_overdue(&mut self, now: Duration) -> Vec<ClaimKey> {
        let mut keys = Vec::new();
        for (key, pending) in &mut self.pending {
            if !pending.cancelled && now >= pending.since + CLAIM_TIMEOUT {
                pending.cancelled = true;
                keys.push(*key);
            }
        }
        keys
    }

    /// Checks all pending claims against a state that replaced the earlier one as a whole.
    ///
    /// Returns the answers to requests, and the records that must be appended: undecided claims
    /// again, and releases of claims that were granted after their cancellation.
    pub fn resync(
        &mut self,
        state: &ReplicatedState,
    ) -> (Vec<(ClaimKey, ClaimAnswer)>, Vec<Record>) {
        let mut answers = Vec::new();
        let mut records = Vec::new();
        let keys: Vec<ClaimKey> = self.pending.keys().copied().collect();
        for key in keys {
            let Some(claim) = state.claim(key) else {
                records.push(Record::Claim(key));
                continue;
            };
            let own = claim.daemon == self.daemon && claim.incarnation == self.incarnation;
            let outcome = if own { Ok(0) } else { Err(crate::fold::Rejection::Claimed) };
            match self.on_decided(key, outcome, state) {
                ClaimDecision::Answer(answer) => answers.push((key, answer)),
                ClaimDecision::Nothing => {}
                ClaimDecision::Release(settlement) => records.push(Record::Settle(settlement)),
            }
        }
        (answers, records)
    }
}

fn release_settlement(key: ClaimKey) -> Settlement {
    Settlement { key, verdict: Verdict::DidNotRun, answer: None }
}

fn answer_for(claim: &Claim) -> ClaimAnswer {
    match &claim.end {
        Some(end) => ClaimAnswer::Ended(claim.daemon.clone(), end.verdict, end.answer.clone()),
        None => ClaimAnswer::Taken(claim.daemon.clone()),
    }
}
