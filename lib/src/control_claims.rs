//! Claims of requests that may not be repeated: requests, decisions, cancellation and timeouts.

use std::time::Duration;

use crate::control::Controller;
use crate::event::ClaimAnswer;
use crate::event::Effect;
use crate::fold::Outcome;
use crate::fold::Rejection;
use crate::ids::ClaimKey;
use crate::pending_claims::ClaimDecision;
use crate::pending_claims::ClaimStep;
use crate::record::Record;

impl Controller {
    pub(crate) fn on_claim_decided(&mut self, key: ClaimKey, outcome: Outcome) {
        if outcome == Err(Rejection::Duplicate) {
            return;
        }
        match self.claims.on_decided(key, outcome, &self.state) {
            ClaimDecision::Answer(answer) => self.effects.push(Effect::Claimed(key, answer)),
            ClaimDecision::Nothing => {}
            ClaimDecision::Release(settlement) => {
                self.appender.push(Record::Settle(settlement));
            }
        }
    }

    pub(crate) fn request_claim(&mut self, now: Duration, key: ClaimKey) {
        let log_up = self.is_log_up(now);
        match self.claims.request(now, key, &self.state, log_up) {
            ClaimStep::Answer(answer) => self.effects.push(Effect::Claimed(key, answer)),
            ClaimStep::Append(key) => {
                if !self.appender.push(Record::Claim(key)) {
                    self.cancel_claim(key);
                    self.effects.push(Effect::Claimed(key, ClaimAnswer::LogDown));
                }
            }
            ClaimStep::Wait => {}
        }
    }

    pub(crate) fn cancel_claim(&mut self, key: ClaimKey) {
        if let Some(settlement) = self.claims.cancel(key, &self.state) {
            self.appender.push(Record::Settle(settlement));
        }
    }

    pub(crate) fn refuse_overdue_claims(&mut self, now: Duration) {
        for key in self.claims.cancel_overdue(now) {
            self.effects.push(Effect::Claimed(key, ClaimAnswer::LogDown));
        }
    }
}
