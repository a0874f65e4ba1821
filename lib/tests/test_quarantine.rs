//! Tests when a request under which servers crash is held and when not, and how reports of crashes merge.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::fingerprint::Fingerprint;
use comfreymux_lib::cluster::quarantine::HOLD_TIME;
use comfreymux_lib::cluster::quarantine::Quarantine;
use comfreymux_lib::cluster::quarantine_report::CrashStage;
use comfreymux_lib::cluster::quarantine_report::RequestProgress;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use http::Method;
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
/// All stages.
const STAGES: [CrashStage; 4] = [
    CrashStage::BeforeEvents,
    CrashStage::FirstEvent,
    CrashStage::Streaming,
    CrashStage::Unanswered,
];

fn fingerprint(n: u32) -> Fingerprint {
    Fingerprint::new(&Method::POST, "shop.example", "/draft/7", &n.to_be_bytes())
}

fn server(n: usize) -> ServerInstance {
    ServerInstance::from(format!("s{n}").as_str())
}

fn start() -> Moment {
    Moment::ZERO + SECOND * 1000
}

/// Returns the quarantine of a daemon that saw a request crash `count` servers, one a second, and the time.
fn after_crashes(count: usize, stage: CrashStage) -> (Quarantine, Moment) {
    let mut quarantine = Quarantine::default();
    let mut now = start();
    for n in 0..count {
        now += SECOND;
        quarantine.record_crash(&server(n), Moment::ZERO, fingerprint(1), stage, now);
    }
    (quarantine, now)
}

#[test]
fn held_at_third() {
    let (mut quarantine, now) = after_crashes(2, CrashStage::BeforeEvents);
    assert!(!quarantine.is_held(&fingerprint(1), now));
    assert!(quarantine.record_crash(
        &server(2),
        Moment::ZERO,
        fingerprint(1),
        CrashStage::BeforeEvents,
        now
    ));
    assert!(quarantine.is_held(&fingerprint(1), now));
    assert!(!quarantine.is_held(&fingerprint(2), now));
}

/// A crash that several daemons report must count as one.
#[test]
fn crash_counted_once() {
    let mut here = Quarantine::default();
    for _daemon in 0..3 {
        let (there, now) = after_crashes(1, CrashStage::BeforeEvents);
        here.merge(&there.report(now, false), now);
        here.record_crash(&server(0), Moment::ZERO, fingerprint(1), CrashStage::BeforeEvents, now);
    }
    assert!(!here.is_held(&fingerprint(1), start()));
    assert_eq!(here.suspected_crashes(&fingerprint(1)).len(), 1);
}

/// A server restarts under its id and crashes again before its entry shows the restart. The crashes must be
/// counted separately.
#[test]
fn restart_unnoticed() {
    let mut quarantine = Quarantine::default();
    for n in 1..=3 {
        let sent = start() + SECOND * n;
        assert!(!quarantine.has_crashed(&server(0), sent));
        let is_held = quarantine.record_crash(
            &server(0),
            sent,
            fingerprint(1),
            CrashStage::BeforeEvents,
            sent + SECOND / 2,
        );
        assert_eq!(is_held, n == 3);
        assert!(quarantine.has_crashed(&server(0), sent));
    }
}

/// Three daemons each see one crash under the same request. The merged reports must show that there were
/// three.
#[test]
fn sightings_joined() {
    let now = start();
    let mut here = Quarantine::default();
    for n in 0..3 {
        let mut there = Quarantine::default();
        there.record_crash(&server(n), Moment::ZERO, fingerprint(1), CrashStage::BeforeEvents, now);
        here.merge(&there.report(now, false), now);
    }
    // Other daemons may still report further suspects.
    assert!(!here.evaluate(fingerprint(1), now));
    assert!(here.evaluate(fingerprint(1), now + SECOND));
    assert!(here.is_held(&fingerprint(1), now + SECOND));
}

/// Two requests begin together at each of three servers that crash. The harmless one must not be held.
#[test]
fn companion_free() {
    let mut quarantine = Quarantine::default();
    let mut now = start();
    for n in 0..3 {
        for request in [1, 2] {
            quarantine.record_crash(
                &server(n),
                Moment::ZERO,
                fingerprint(request),
                CrashStage::BeforeEvents,
                now,
            );
        }
        now += SECOND;
    }
    assert!(!quarantine.evaluate(fingerprint(1), now) && !quarantine.evaluate(fingerprint(2), now));
    // Request 2 got a response, so request 1 caused the crashes.
    quarantine.record_progress(fingerprint(2), RequestProgress::Complete, now);
    assert!(quarantine.evaluate(fingerprint(1), now));
}

/// Records crashes a second apart with the requests that each server had, and returns the time of the last one.
fn record_crashes(quarantine: &mut Quarantine, crashes: &[&[u32]]) -> Moment {
    let stage = CrashStage::BeforeEvents;
    for (n, requests) in crashes.iter().enumerate() {
        let now = start() + SECOND * n as u32;
        for request in *requests {
            quarantine.record_crash(&server(n), Moment::ZERO, fingerprint(*request), stage, now);
        }
    }
    start() + SECOND * (crashes.len() as u32 - 1)
}

/// A fatal request crashed four servers and more, since other requests were at each of them and were never cleared:
/// their callers did not send them again.
#[test]
fn others_gone() {
    let mut quarantine = Quarantine::default();
    let now = record_crashes(&mut quarantine, &[&[1, 2], &[3, 1], &[1, 4]]);
    assert!(!quarantine.evaluate(fingerprint(1), now), "others may share the last crash");
    let later = now + SECOND / 5;
    assert!(quarantine.evaluate(fingerprint(1), later));
    for other in 2..=4 {
        assert!(!quarantine.evaluate(fingerprint(other), later));
    }
}

/// Requests that are suspected of equally many crashes must not be held for them.
#[test]
fn equals_free() {
    let mut quarantine = Quarantine::default();
    let now = record_crashes(&mut quarantine, &[&[1, 2], &[2, 1], &[1, 2, 3], &[1, 2]]) + SECOND;
    for request in 1..=3 {
        assert!(!quarantine.evaluate(fingerprint(request), now));
    }
}

/// A harmless request runs on another server after the crashes. Its first event must clear it of crashes at
/// the stage before events, so that its whole response need not be awaited before the other request is held.
#[test]
fn companion_passes() {
    let (mut quarantine, now) = after_crashes(3, CrashStage::BeforeEvents);
    let mut other = Quarantine::default();
    for n in 0..3 {
        quarantine.record_crash(
            &server(n),
            Moment::ZERO,
            fingerprint(2),
            CrashStage::BeforeEvents,
            now,
        );
        other.record_crash(&server(n), Moment::ZERO, fingerprint(3), CrashStage::FirstEvent, now);
    }
    quarantine.record_progress(fingerprint(2), RequestProgress::FirstEvent, now + SECOND);
    assert_eq!(quarantine.suspected_crashes(&fingerprint(2)).len(), 0);
    // A request that crashes servers just after its first event gets that far each time, so a first event
    // does not clear it.
    other.record_progress(fingerprint(3), RequestProgress::FirstEvent, now + SECOND);
    assert_eq!(other.suspected_crashes(&fingerprint(3)).len(), 3);
    other.record_progress(fingerprint(3), RequestProgress::Streaming, now + SECOND);
    assert_eq!(other.suspected_crashes(&fingerprint(3)).len(), 0);
}

/// A request crashes servers at about the time of its first event. Its first events must not clear it of the
/// crashes before them, since it crashes servers again afterwards.
#[test]
fn relapse_counts() {
    let mut quarantine = Quarantine::default();
    let mut now = start();
    for (n, stage) in [CrashStage::BeforeEvents, CrashStage::FirstEvent, CrashStage::BeforeEvents]
        .into_iter()
        .enumerate()
    {
        if stage == CrashStage::FirstEvent {
            quarantine.record_progress(fingerprint(1), RequestProgress::FirstEvent, now);
        }
        quarantine.record_crash(&server(n), Moment::ZERO, fingerprint(1), stage, now + SECOND / 10);
        now += SECOND;
    }
    assert!(quarantine.is_held(&fingerprint(1), now));
}

/// Guards against a request that is in use being held after three crashes, of which it could not be cleared yet.
#[test]
fn in_use_trusted() {
    let mut quarantine = Quarantine::default();
    let mut now = start();
    quarantine.record_progress(fingerprint(1), RequestProgress::Complete, now);
    for n in 1..=4 {
        now += SECOND;
        let stage = CrashStage::FirstEvent;
        quarantine.record_crash(&server(n), Moment::ZERO, fingerprint(1), stage, now);
        quarantine.evaluate(fingerprint(1), now + SECOND / 2);
        assert_eq!(quarantine.is_held(&fingerprint(1), now), n == 4, "after {n} crashes");
    }
}

/// Guards against a request that is in use being held after three crashes by a daemon that has not answered it itself.
#[test]
fn in_use_told() {
    let mut there = Quarantine::default();
    there.record_progress(fingerprint(1), RequestProgress::Complete, start());
    let mut here = Quarantine::default();
    let mut now = start();
    for n in 1..=4 {
        now += SECOND / 2;
        let stage = CrashStage::FirstEvent;
        here.record_crash(&server(n), Moment::ZERO, fingerprint(1), stage, now);
        there.merge(&here.report(now, false), now + SECOND / 10);
        here.merge(&there.report(now + SECOND / 4, false), now + SECOND / 4);
        here.evaluate(fingerprint(1), now + SECOND / 3);
        assert_eq!(here.is_held(&fingerprint(1), now), n == 4, "after {n} crashes");
    }
}

/// Two requests are always at the crashed servers together, and nothing shows which one is to blame. After
/// five crashes both must be held.
#[test]
fn companions_held() {
    let mut quarantine = Quarantine::default();
    for n in 0..5 {
        for request in [1, 2] {
            quarantine.record_crash(
                &server(n),
                Moment::ZERO,
                fingerprint(request),
                CrashStage::BeforeEvents,
                start(),
            );
        }
    }
    assert!(
        quarantine.is_held(&fingerprint(1), start())
            && quarantine.is_held(&fingerprint(2), start())
    );
}

/// A daemon that was unreachable for long, or has just started, must learn of a held request from later
/// reports.
#[test]
fn held_told_on() {
    let (mut there, now) = after_crashes(3, CrashStage::BeforeEvents);
    let later = now + SECOND * 60;
    assert!(there.is_held(&fingerprint(1), later));
    let mut here = Quarantine::default();
    assert_eq!(here.merge(&there.report(later, false), later), [fingerprint(1)]);
    assert!(here.is_held(&fingerprint(1), later));
}

/// Guards against a sound request being held on stored crashes alone, of which it may have been cleared at processes that
/// have ended, and against a fatal one not being held once another crash follows.
#[test]
fn stored_undecided() {
    let (there, now) = after_crashes(4, CrashStage::BeforeEvents);
    let mut here = Quarantine::default();
    here.merge_stored(&there.open_crashes(now), now);
    assert_eq!(here.suspected_crashes(&fingerprint(1)).len(), 4);
    assert!(!here.evaluate(fingerprint(1), now + SECOND * 9));
    assert!(here.report(now, true).crashes.is_empty(), "peers would take them for live");
    assert!(here.known_of(&fingerprint(1), false, now).is_none());
    let now = now + SECOND * 9;
    here.record_crash(&server(9), Moment::ZERO, fingerprint(1), CrashStage::BeforeEvents, now);
    here.evaluate(fingerprint(1), now + SECOND);
    assert!(here.is_held(&fingerprint(1), now + SECOND));
}

/// Guards against a sound request being suspected of crashes that are read from the store, or reported, after it was answered.
#[rstest]
#[case::stored(true)]
#[case::reported(false)]
fn answered_before(#[case] is_stored: bool) {
    let (there, now) = after_crashes(3, CrashStage::Unanswered);
    let mut here = Quarantine::default();
    here.record_progress(fingerprint(1), RequestProgress::Complete, now + SECOND);
    let now = now + SECOND * 2;
    if is_stored {
        here.merge_stored(&there.open_crashes(now), now);
    } else {
        assert_eq!(here.merge(&there.report(now, false), now), []);
    }
    assert_eq!(here.suspected_crashes(&fingerprint(1)).len(), 0);
    here.record_crash(&server(9), Moment::ZERO, fingerprint(1), CrashStage::Unanswered, now);
    assert!(!here.evaluate(fingerprint(1), now + SECOND * 9));
}

/// Requests that waited, or whose events had begun, must not be held for crashes that another request caused.
#[test]
fn bystanders_free() {
    let now = start();
    let mut quarantine = Quarantine::default();
    for n in 0..5 {
        quarantine.record_crash(
            &server(n),
            Moment::ZERO,
            fingerprint(2),
            CrashStage::Streaming,
            now,
        );
        for (request, stage) in [(3, CrashStage::FirstEvent), (4, CrashStage::Unanswered)] {
            quarantine.record_crash(&server(n), Moment::ZERO, fingerprint(request), stage, now);
        }
        quarantine.record_crash(
            &server(n),
            Moment::ZERO,
            fingerprint(1),
            CrashStage::BeforeEvents,
            now,
        );
    }
    assert!(quarantine.is_held(&fingerprint(1), now));
    assert!(!quarantine.is_held(&fingerprint(2), now));
    assert!(!quarantine.is_held(&fingerprint(3), now));
    assert!(!quarantine.is_held(&fingerprint(4), now));
}

/// The same as `bystanders_free`, but the request to blame is another daemon's.
#[test]
fn bystanders_elsewhere() {
    let now = start();
    let (mut here, mut there) = <(Quarantine, Quarantine)>::default();
    for n in 0..5 {
        there.record_crash(&server(n), Moment::ZERO, fingerprint(1), CrashStage::BeforeEvents, now);
        here.merge(&there.report(now, false), now);
        here.record_crash(&server(n), Moment::ZERO, fingerprint(2), CrashStage::Streaming, now);
        here.record_crash(&server(n), Moment::ZERO, fingerprint(3), CrashStage::Unanswered, now);
    }
    assert!(here.is_held(&fingerprint(1), now));
    assert!(!here.is_held(&fingerprint(2), now));
    assert!(!here.is_held(&fingerprint(3), now));
}

/// A server that sends no response head before the response itself does not show which request it was
/// running. A request without a response must still be held after enough crashes.
#[test]
fn unanswered_held() {
    let (mut quarantine, now) = after_crashes(3, CrashStage::Unanswered);
    assert!(quarantine.is_held(&fingerprint(1), now));
}

/// Guards against a request that crashes servers before the head of the response, or late in a stream, not being held because
/// another request had just begun at each of them.
#[rstest]
#[case::unanswered(CrashStage::Unanswered)]
#[case::streaming(CrashStage::Streaming)]
fn beside_younger(#[case] stage: CrashStage) {
    let mut quarantine = Quarantine::default();
    let mut now = start();
    for n in 0..3 {
        now += SECOND * 5;
        assert!(!quarantine.evaluate(fingerprint(1), now), "after {n} crashes");
        if stage == CrashStage::Streaming {
            quarantine.record_progress(fingerprint(1), RequestProgress::FirstEvent, now);
            quarantine.record_progress(fingerprint(1), RequestProgress::Streaming, now + SECOND);
        }
        now += SECOND * 2;
        quarantine.record_crash(&server(n), Moment::ZERO, fingerprint(1), stage, now);
        let young = fingerprint(100 + n as u32);
        quarantine.record_crash(&server(n), Moment::ZERO, young, CrashStage::BeforeEvents, now);
    }
    assert!(quarantine.evaluate(fingerprint(1), now + SECOND * 4));
}

/// A popular request is at several servers that crash in the course of a day, but is served in between. It
/// must not be held.
#[test]
fn answer_clears() {
    let mut quarantine = Quarantine::default();
    let mut now = start();
    for n in 0..6 {
        quarantine.record_crash(
            &server(n),
            Moment::ZERO,
            fingerprint(1),
            CrashStage::BeforeEvents,
            now,
        );
        if n % 2 == 1 {
            quarantine.record_progress(fingerprint(1), RequestProgress::Complete, now + SECOND);
        }
        now += SECOND * 2;
    }
    assert!(!quarantine.is_held(&fingerprint(1), now));
}

/// Guards against a request being held that was answered whole after each crash: its first event had cleared it before,
/// and the next crash voids that.
#[test]
fn answered_each_time() {
    let mut quarantine = Quarantine::default();
    let mut now = start();
    for n in 0..6 {
        now += SECOND;
        let stage = CrashStage::BeforeEvents;
        let is_held = quarantine.record_crash(&server(n), Moment::ZERO, fingerprint(1), stage, now);
        assert!(!is_held, "after {n} crashes");
        for progress in RequestProgress::ALL {
            quarantine.record_progress(fingerprint(1), progress, now + SECOND / 2);
        }
    }
}

/// One daemon knows that a request has been answered. Its report must keep other daemons from holding the
/// request.
#[test]
fn clearing_told() {
    let (mut there, now) = after_crashes(2, CrashStage::BeforeEvents);
    let mut here = Quarantine::default();
    here.merge(&there.report(now, false), now);
    there.record_progress(fingerprint(1), RequestProgress::Complete, now);
    here.merge(&there.report(now + SECOND, false), now + SECOND);
    // An older report that arrives late must not undo this.
    let (late, _) = after_crashes(2, CrashStage::BeforeEvents);
    here.merge(&late.report(now, false), now + SECOND);
    assert!(!here.record_crash(
        &server(2),
        Moment::ZERO,
        fingerprint(1),
        CrashStage::BeforeEvents,
        now + SECOND * 2
    ));
}

#[test]
fn released_unasked() {
    let (mut quarantine, now) = after_crashes(3, CrashStage::BeforeEvents);
    let asked = now + HOLD_TIME;
    assert!(quarantine.sweep(asked).is_empty());
    assert!(quarantine.is_held(&fingerprint(1), asked));
    assert!(quarantine.sweep(asked + HOLD_TIME).is_empty());
    assert_eq!(quarantine.sweep(asked + HOLD_TIME + SECOND), [fingerprint(1)]);
    assert!(!quarantine.is_held(&fingerprint(1), asked + HOLD_TIME + SECOND));
}

/// Crashes of thousands of servers and requests must not exceed the bounds on memory and on a datagram.
#[test]
fn memory_bounded() {
    let mut quarantine = Quarantine::default();
    for n in 0..2000 {
        for request in 0..40 {
            quarantine.record_crash(
                &server(n / 3),
                Moment::ZERO,
                fingerprint(request + n as u32),
                CrashStage::BeforeEvents,
                start(),
            );
        }
    }
    let report = quarantine.report(start(), true);
    assert!(quarantine.held().count() <= 1024);
    assert!(report.crashes.len() <= 16 && report.held.len() <= 16);
    assert!(report.crashes.iter().all(|c| c.requests.len() <= 16));
}

proptest! {
    /// The order of crash reports and duplicates among them must not matter, or daemons would disagree
    /// permanently.
    #[test]
    fn order_irrelevant(
        sightings in prop::collection::vec((0..4_usize, 0..4_u32, 0..STAGES.len()), 1..24),
        order in any::<prop::sample::Index>(),
    ) {
        let now = start();
        let reports: Vec<_> = sightings
            .iter()
            .map(|(at, request, stage)| {
                let stage = STAGES[*stage];
                let mut observer = Quarantine::default();
                observer.record_crash(&server(*at), Moment::ZERO, fingerprint(*request), stage, now);
                observer.report(now, false)
            })
            .collect();
        let crashed_by = |reports: &[_]| {
            let mut receiver = Quarantine::default();
            for report in reports {
                receiver.merge(report, now);
            }
            let list = |n| {
                let mut servers: Vec<_> =
                    receiver.suspected_crashes(&fingerprint(n)).into_iter().cloned().collect();
                servers.sort();
                servers
            };
            (0..4).map(list).collect::<Vec<_>>()
        };
        let mut reordered = reports.clone();
        reordered.rotate_left(order.index(reports.len()));
        reordered.extend(reports.iter().rev().cloned());
        prop_assert_eq!(crashed_by(&reports), crashed_by(&reordered));
    }
}
