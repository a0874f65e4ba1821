//! Claims of requests that may not be repeated, on the side of the daemon that wants to run one.
//!
//! The balancer may bring a caller's repeat to another daemon. Which of them runs the request is
//! decided by the log: the first claim in it wins, and everybody else learns who has it.

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

/// A claim that the log has not decided after this time is refused.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Wanted {
    since: Duration,
    /// Whether nobody waits for it any more; if it is granted all the same, it is released.
    cancelled: bool,
}

/// Claims that this daemon has asked the log for.
#[derive(Debug)]
pub struct PendingClaims {
    daemon: DaemonId,
    incarnation: Incarnation,
    wanted: BTreeMap<ClaimKey, Wanted>,
}

/// What to do about a claim.
#[derive(Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Tell the request.
    Answer(ClaimAnswer),
    /// Append this claim and wait.
    Append(ClaimKey),
    /// Wait for the append that is under way.
    Wait,
}

/// What follows from the log's decision about a claim.
#[derive(Debug, PartialEq)]
pub enum ClaimDecision {
    /// Tell the request.
    Answer(ClaimAnswer),
    /// Nobody waits for the claim; release it.
    Release(Settlement),
    /// Nothing.
    Nothing,
}

impl PendingClaims {
    /// Creates the pending claims of one start of a daemon.
    pub fn new(daemon: DaemonId, incarnation: Incarnation) -> Self {
        Self { daemon, incarnation, wanted: BTreeMap::new() }
    }

    /// Takes a request's wish to run under `key`.
    pub fn request(
        &mut self,
        now: Duration,
        key: ClaimKey,
        state: &ReplicatedState,
        log_up: bool,
    ) -> ClaimStep {
        if let Some(claim) = state.claim(key) {
            return ClaimStep::Answer(standing(claim));
        }
        if !log_up {
            return ClaimStep::Answer(ClaimAnswer::LogDown);
        }
        match self.wanted.get_mut(&key) {
            Some(wanted) if wanted.cancelled => {
                *wanted = Wanted { since: now, cancelled: false };
                ClaimStep::Wait
            }
            Some(_) => ClaimStep::Answer(ClaimAnswer::Taken(self.daemon.clone())),
            None => {
                self.wanted.insert(key, Wanted { since: now, cancelled: false });
                ClaimStep::Append(key)
            }
        }
    }

    /// Takes what the log decided about a claim of this daemon.
    ///
    /// A claim that was granted after its request had given up is released.
    pub fn on_decided(
        &mut self,
        key: ClaimKey,
        outcome: Outcome,
        state: &ReplicatedState,
    ) -> ClaimDecision {
        let Some(wanted) = self.wanted.remove(&key) else {
            return ClaimDecision::Nothing;
        };
        if outcome.is_err() {
            let answer = state.claim(key).map_or(ClaimAnswer::LogDown, standing);
            return if wanted.cancelled {
                ClaimDecision::Nothing
            } else {
                ClaimDecision::Answer(answer)
            };
        }
        if wanted.cancelled {
            ClaimDecision::Release(release(key))
        } else {
            ClaimDecision::Answer(ClaimAnswer::Granted)
        }
    }

    /// Withdraws a request that sent nothing; returns the settlement where it was granted already.
    pub fn cancel(&mut self, key: ClaimKey, state: &ReplicatedState) -> Option<Settlement> {
        if let Some(wanted) = self.wanted.get_mut(&key) {
            wanted.cancelled = true;
            return None;
        }
        let own = state.claim(key).is_some_and(|c| {
            c.daemon == self.daemon && c.incarnation == self.incarnation && c.end.is_none()
        });
        own.then(|| release(key))
    }

    /// Returns the claims that the log left undecided for too long, and cancels them.
    ///
    /// Their requests are refused as not run, which is true: a claim that takes effect later is
    /// released and never leads to a dispatch.
    pub fn cancel_overdue(&mut self, now: Duration) -> Vec<ClaimKey> {
        let mut keys = Vec::new();
        for (key, wanted) in &mut self.wanted {
            if !wanted.cancelled && now >= wanted.since + CLAIM_TIMEOUT {
                wanted.cancelled = true;
                keys.push(*key);
            }
        }
        keys
    }

    /// Looks all claims up again after a state was taken over whole.
    ///
    /// Returns the answers, and the records that must be appended again.
    pub fn resync(
        &mut self,
        state: &ReplicatedState,
    ) -> (Vec<(ClaimKey, ClaimAnswer)>, Vec<Record>) {
        let mut answers = Vec::new();
        let mut records = Vec::new();
        let keys: Vec<ClaimKey> = self.wanted.keys().copied().collect();
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

fn release(key: ClaimKey) -> Settlement {
    Settlement { key, verdict: Verdict::DidNotRun, answer: None }
}

fn standing(claim: &Claim) -> ClaimAnswer {
    match &claim.end {
        Some(end) => ClaimAnswer::Ended(claim.daemon.clone(), end.verdict, end.answer.clone()),
        None => ClaimAnswer::Taken(claim.daemon.clone()),
    }
}
