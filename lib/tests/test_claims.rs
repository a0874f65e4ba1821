//! Pending claims of a daemon that is about to run a request.

use std::time::Duration;

use comfreymux_lib::control::ControlSettings;
use comfreymux_lib::control::Controller;
use comfreymux_lib::event::ClaimAnswer;
use comfreymux_lib::event::Effect;
use comfreymux_lib::event::Event;
use comfreymux_lib::keep_warm::KeepWarmPolicy;
use comfreymux_lib::pending_claims::CLAIM_TIMEOUT;
use comfreymux_lib::pending_claims::ClaimDecision;
use comfreymux_lib::pending_claims::ClaimStep;
use comfreymux_lib::pending_claims::PendingClaims;
use comfreymux_lib::record::Settlement;
use comfreymux_lib::replicated_state::Claim;
use comfreymux_lib::replicated_state::ReplicatedState;
use comfreymux_lib::verdict::Verdict;

const NOW: Duration = Duration::from_secs(1);

fn claims() -> PendingClaims {
    PendingClaims::new("d1".into(), 1)
}

fn claimed_by(daemon: &str) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    state.claims.insert(7, Claim { daemon: daemon.into(), incarnation: 1, tick: 0, end: None });
    state
}

#[test]
fn late_grant() {
    // The log is slow, so the request is refused as not sent. The claim is granted afterwards and
    // must be released instead of run.
    let mut claims = claims();
    assert_eq!(claims.request(NOW, 7, &ReplicatedState::default(), true), ClaimStep::Append(7));
    assert_eq!(claims.cancel_overdue(NOW + CLAIM_TIMEOUT), [7]);
    let decided = claims.on_decided(7, Ok(1), &claimed_by("d1"));
    let release = Settlement { key: 7, verdict: Verdict::DidNotRun, answer: None };
    assert_eq!(decided, ClaimDecision::Release(release));
}

#[test]
fn log_down() {
    let mut claims = claims();
    let step = claims.request(NOW, 7, &ReplicatedState::default(), false);
    assert_eq!(step, ClaimStep::Answer(ClaimAnswer::LogDown));
}

#[test]
fn same_daemon() {
    // A caller sends a booking twice to one daemon before the log has decided the first claim. Only
    // the first is granted.
    let mut claims = claims();
    let state = ReplicatedState::default();
    assert_eq!(claims.request(NOW, 7, &state, true), ClaimStep::Append(7));
    let taken = ClaimStep::Answer(ClaimAnswer::Taken("d1".into()));
    assert_eq!(claims.request(NOW, 7, &state, true), taken);
    assert_eq!(
        claims.on_decided(7, Ok(1), &claimed_by("d1")),
        ClaimDecision::Answer(ClaimAnswer::Granted)
    );
    assert_eq!(claims.on_decided(7, Ok(1), &claimed_by("d1")), ClaimDecision::Nothing);
}

#[test]
fn old_start() {
    // A daemon restarts and finds a claim of its previous incarnation. The outcome of that request
    // is unknown, so the claim may be neither released nor run.
    let mut claims = PendingClaims::new("d1".into(), 2);
    assert_eq!(claims.cancel(7, &claimed_by("d1")), None);
    let taken = ClaimStep::Answer(ClaimAnswer::Taken("d1".into()));
    assert_eq!(claims.request(NOW, 7, &claimed_by("d1"), true), taken);
}

#[test]
fn state_taken_over() {
    // The daemon fell behind the oldest entry of the log and installed a snapshot while two claims
    // were pending. The snapshot contains one of them; the other must be appended again.
    let mut claims = claims();
    let empty = ReplicatedState::default();
    assert_eq!(claims.request(NOW, 7, &empty, true), ClaimStep::Append(7));
    assert_eq!(claims.request(NOW, 8, &empty, true), ClaimStep::Append(8));
    let (answers, records) = claims.resync(&claimed_by("d1"));
    assert_eq!(answers, [(7, ClaimAnswer::Granted)]);
    assert_eq!(records, [comfreymux_lib::record::Record::Claim(8)]);
}

/// Returns a controller that has just read the log, and ticked, at `NOW`.
fn controller() -> Controller {
    let mut control = Controller::new(ControlSettings {
        id: "d1".into(),
        incarnation: 1,
        centre: "makati-a".into(),
        append_gap: Duration::ZERO,
        keep_warm: KeepWarmPolicy::Learned,
        poll_interval: Duration::from_secs(1),
    });
    control.handle(NOW, Event::LogRead);
    control.handle(NOW, Event::Tick);
    control
}

fn is_refused(effects: &[Effect]) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Claimed(7, ClaimAnswer::LogDown)))
}

/// Time for which the process stands still: longer than the log may be silent.
const STALL: Duration = Duration::from_secs(8);

/// A daemon stood still for some seconds and then refused bookings, because it took the time in which it
/// could not read the log for an outage of the log.
#[test]
fn claim_after_stall() {
    let mut control = controller();
    let effects = control.handle(NOW + STALL, Event::Claim(7));
    assert!(!is_refused(&effects));
    assert!(control.is_log_up(NOW + STALL));
}

/// As above, with a claim that waits for the log's decision meanwhile. The claim is refused later if the log is really
/// silent.
#[test]
fn claim_in_stall() {
    let mut control = controller();
    control.handle(NOW, Event::Claim(7));
    let resumed = NOW + STALL;
    assert!(!is_refused(&control.handle(resumed, Event::Tick)));
    assert!(!is_refused(&control.handle(resumed + CLAIM_TIMEOUT / 2, Event::Tick)));
    assert!(is_refused(&control.handle(resumed + CLAIM_TIMEOUT, Event::Tick)));
    assert!(!control.is_log_up(resumed + STALL));
}
