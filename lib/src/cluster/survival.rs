//! How far requests got at servers, against the stages of crashes that they were exposed to.

use crate::boot_clock::Moment;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::quarantine_report::RequestProgress;

/// How far a request, or requests with a prompt part, last got without a crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct Survival {
    /// When each stage of progress, in the order of [`RequestProgress::ALL`], was last reached; `None` if it never was, or if a
    /// later crash came at a stage beyond it: that request may have crashed its server a moment later.
    passed: [Option<Moment>; RequestProgress::ALL.len()],
}

impl Survival {
    /// Returns that of a request or part that reached stages of progress at these times and was exposed to these crashes.
    pub fn new(
        passed_at: impl Fn(RequestProgress) -> Option<Moment>,
        crashes: impl IntoIterator<Item = (Moment, CrashStage)>,
    ) -> Self {
        let mut beyond = [Moment::ZERO; RequestProgress::ALL.len()];
        for (at, stage) in crashes {
            for (newest, progress) in beyond.iter_mut().zip(RequestProgress::ALL) {
                if !progress.clears(stage) {
                    *newest = at.max(*newest);
                }
            }
        }
        let mut passed = RequestProgress::ALL.map(passed_at);
        for (passed, newest) in passed.iter_mut().zip(beyond) {
            *passed = passed.filter(|at| *at >= newest);
        }
        Self { passed }
    }

    /// Returns whether a crash at a stage was survived elsewhere since.
    pub fn covers(&self, at: Moment, stage: CrashStage) -> bool {
        let mut all = RequestProgress::ALL.into_iter().zip(self.passed);
        all.any(|(progress, passed)| {
            progress.clears(stage) && passed.is_some_and(|passed| passed >= at)
        })
    }
}
