//! Outcomes of claimed requests, and who waits for them.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use comfreymux_lib::claim_outcomes::ClaimOutcome;
use comfreymux_lib::claim_outcomes::ClaimOutcomes;
use comfreymux_lib::ids::ClaimKey;
use comfreymux_lib::verdict::Verdict;

const KEY: ClaimKey = 7;
const NOW: Duration = Duration::from_secs(100);
/// Longer than any test waits.
const WAIT: Duration = Duration::from_secs(10);

fn outcome() -> ClaimOutcome {
    ClaimOutcome { verdict: Verdict::Ran, answer: None }
}

/// Guards against a retry that is refused because another daemon read the log's decision first and asked for the outcome
/// before the daemon whose claim was granted had read it.
#[test]
fn asked_early() {
    let outcomes = Arc::new(ClaimOutcomes::default());
    outcomes.expect(KEY);
    let shared = Arc::clone(&outcomes);
    let asker = thread::spawn(move || shared.wait(KEY, WAIT));
    outcomes.begin(KEY);
    outcomes.finish(NOW, KEY, &outcome());
    assert_eq!(asker.join().expect("no panic"), Some(outcome()));
}

/// Guards against a retry that waits for a claim which another daemon won.
#[test]
fn claim_lost() {
    let outcomes = Arc::new(ClaimOutcomes::default());
    outcomes.expect(KEY);
    let shared = Arc::clone(&outcomes);
    let asker = thread::spawn(move || shared.wait(KEY, WAIT));
    outcomes.cancel_expected(KEY);
    assert_eq!(asker.join().expect("no panic"), None);
    assert_eq!(outcomes.wait(KEY, Duration::ZERO), None);
}

/// Guards against an outcome that is lost when the same key is requested again.
#[test]
fn outcome_kept() {
    let outcomes = ClaimOutcomes::default();
    outcomes.begin(KEY);
    outcomes.finish(NOW, KEY, &outcome());
    outcomes.expect(KEY);
    outcomes.cancel_expected(KEY);
    assert_eq!(outcomes.wait(KEY, Duration::ZERO), Some(outcome()));
}
