//! How control answers claims of requests that may not be repeated.

use std::time::Duration;

use crate::control::Controller;
use crate::event::ClaimAnswer;
use crate::event::Effect;
use crate::fold::Outcome;
use crate::fold::Rejection;
use crate::ids::ClaimKey;
use crate::pending_claims::ClaimStep;
use crate::pending_claims::Decided;
use crate::record::Record;

impl Controller {
    pub(crate) fn note_claim(&mut self, key: ClaimKey, outcome: Outcome) {
        if outcome == Err(Rejection::Duplicate) {
            return;
        }
        match self.desk.decided(key, outcome, &self.state) {
            Decided::Answer(answer) => self.effects.push(Effect::Claimed(key, answer)),
            Decided::Nothing => {}
            Decided::Release(settlement) => {
                self.appender.push(Record::Settle(settlement));
            }
        }
    }

    pub(crate) fn take_claim(&mut self, now: Duration, key: ClaimKey) {
        let log_up = self.is_log_up(now);
        match self.desk.want(now, key, &self.state, log_up) {
            ClaimStep::Answer(answer) => self.effects.push(Effect::Claimed(key, answer)),
            ClaimStep::Append(key) => {
                if !self.appender.push(Record::Claim(key)) {
                    self.withdraw(key);
                    self.effects.push(Effect::Claimed(key, ClaimAnswer::LogDown));
                }
            }
            ClaimStep::Wait => {}
        }
    }

    pub(crate) fn withdraw(&mut self, key: ClaimKey) {
        if let Some(settlement) = self.desk.unwant(key, &self.state) {
            self.appender.push(Record::Settle(settlement));
        }
    }

    pub(crate) fn refuse_overdue(&mut self, now: Duration) {
        for key in self.desk.overdue(now) {
            self.effects.push(Effect::Claimed(key, ClaimAnswer::LogDown));
        }
    }
}
