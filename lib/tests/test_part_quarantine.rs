//! Tests when a prompt part under which servers crash is held and when not, and how reports of it merge.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::fingerprint::Fingerprint;
use comfreymux_lib::cluster::part_quarantine::PartQuarantine;
use comfreymux_lib::cluster::part_report::ExposedPrompt;
use comfreymux_lib::cluster::part_report::HeldPart;
use comfreymux_lib::cluster::part_report::PartReport;
use comfreymux_lib::cluster::prompt_part::PromptPart;
use comfreymux_lib::cluster::quarantine::HOLD_TIME;
use comfreymux_lib::cluster::quarantine_report::CrashId;
use comfreymux_lib::cluster::quarantine_report::CrashStage;
use comfreymux_lib::cluster::quarantine_report::RequestProgress;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use comfreymux_lib::ids::PartId;
use http::Method;
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const SERVICE: &str = "drafting";
/// All stages.
const STAGES: [CrashStage; 4] = [
    CrashStage::BeforeEvents,
    CrashStage::FirstEvent,
    CrashStage::Streaming,
    CrashStage::Unanswered,
];
/// A part with which the prompts of all requests begin, and one that crashes servers.
const COMMON: PartId = 1;
const FATAL: PartId = 0xdead;

fn start() -> Moment {
    Moment::ZERO + SECOND * 1000
}

fn crash(n: usize) -> CrashId {
    CrashId { server: ServerInstance::from(format!("s{n}").as_str()), earlier: 0 }
}

fn prompt(request: usize, stage: CrashStage, parts: &[PartId]) -> ExposedPrompt {
    let body = request.to_be_bytes();
    let fingerprint = Fingerprint::new(&Method::POST, "shop.example", "/draft/7", &body);
    ExposedPrompt { fingerprint, stage, parts: parts.to_vec() }
}

fn part(id: PartId) -> PromptPart {
    PromptPart { service: SERVICE.into(), id }
}

/// A quarantine and its time.
#[derive(Debug, Default)]
struct Site {
    quarantine: PartQuarantine,
    now: Moment,
    crashes: usize,
}

impl Site {
    fn new() -> Self {
        Self { now: start(), ..Self::default() }
    }

    /// Records a crash, a second after the last one, under a request that is the only one of its kind.
    fn crash(&mut self, parts: &[PartId]) {
        self.crash_with(self.crashes, parts);
    }

    fn crash_with(&mut self, request: usize, parts: &[PartId]) {
        self.now += SECOND;
        self.record_crash(request, parts);
    }

    /// Records a crash `apart` after the last one, under a request that is the only one of its kind.
    fn crash_after(&mut self, apart: Duration, parts: &[PartId]) {
        self.now += apart;
        self.record_crash(self.crashes, parts);
    }

    fn record_crash(&mut self, request: usize, parts: &[PartId]) {
        let prompt = prompt(request, CrashStage::BeforeEvents, parts);
        let id = crash(self.crashes);
        self.quarantine.record_crash(&id, &SERVICE.into(), prompt, self.now);
        self.crashes += 1;
    }

    fn progress(&mut self, parts: &[PartId], progress: RequestProgress) {
        self.progress_since(parts, progress, self.now);
    }

    /// Records progress of a request whose first event came at `passed_at`.
    fn progress_since(&mut self, parts: &[PartId], progress: RequestProgress, passed_at: Moment) {
        let parts: Vec<_> = parts.iter().copied().map(part).collect();
        self.quarantine.record_progress(&parts, progress, passed_at, self.now);
    }

    fn held(&mut self, parts: &[PartId]) -> Vec<PartId> {
        let all: Vec<_> = parts.iter().copied().map(part).collect();
        self.quarantine.evaluate(&all, self.now + SECOND);
        self.quarantine.release_explained(self.now + SECOND * 2);
        let held: Vec<_> = all.iter().filter(|part| self.quarantine.is_held(part)).collect();
        // Whichever of its parts is held, a request like those that crashed servers is refused.
        assert!(held.is_empty() || self.is_refused(parts), "{held:?} of {parts:?}");
        held.iter().map(|part| part.id).collect()
    }

    /// Returns whether a request with these parts is refused.
    fn is_refused(&mut self, parts: &[PartId]) -> bool {
        let all: Vec<_> = parts.iter().copied().map(part).collect();
        self.quarantine.held_part(&all, self.now).is_some()
    }
}

/// Guards against a part being held too late, or a part being held that sound requests have.
#[rstest]
#[case::middle(&[COMMON, FATAL, 7])]
#[case::first(&[FATAL, COMMON, 7])]
#[case::last(&[COMMON, 7, FATAL])]
fn held_at_third(#[case] parts: &[PartId]) {
    let mut site = Site::new();
    for n in 0..3 {
        assert_eq!(site.held(parts), [0; 0], "after {n} crashes");
        site.crash(parts);
        site.progress(&[COMMON, 7], RequestProgress::FirstEvent);
    }
    assert_eq!(site.held(parts), [FATAL]);
}

/// Guards against an isolated data centre holding a sound part, since requests that clear it are served elsewhere.
#[test]
fn isolated_centre() {
    let mut site = Site::new();
    let isolated_since = site.now;
    site.quarantine.set_remote_heard(Some(isolated_since));
    for _crash in 0..9 {
        site.crash(&[COMMON, 7]);
    }
    assert_eq!(site.held(&[COMMON, 7]), [0; 0]);
    let reported = site.quarantine.report(site.now, true);
    assert!(reported.held.is_empty());
    site.quarantine.set_remote_heard(Some(site.now + SECOND));
    assert_eq!(site.held(&[COMMON, 7]), [0; 0], "the others have not heard of the crashes yet");
    hear_on(&mut site, 6);
    assert_eq!(site.held(&[COMMON, 7]).len(), 1);
}

/// Advances the time while messages of other data centres are received.
fn hear_on(site: &mut Site, seconds: u32) {
    for _second in 0..seconds {
        site.now += SECOND;
        site.quarantine.set_remote_heard(Some(site.now));
    }
}

/// Records crashes under a fatal part, of servers in the same data centre or in others, while the data centre is isolated
/// and serves other requests.
fn isolated_crashes(is_local: bool) -> Site {
    let mut site = Site::new();
    site.quarantine.set_remote_heard(Some(site.now));
    for n in 0..3 {
        assert_eq!(site.held(&[COMMON, FATAL]), [0; 0], "after {n} crashes");
        site.now += SECOND;
        site.crash(&[COMMON, FATAL]);
        site.quarantine.set_local(|_| is_local);
        site.progress(&[COMMON, 7], RequestProgress::FirstEvent);
    }
    site
}

/// Guards against an isolated data centre that serves other requests holding no fatal part, and against its hold binding
/// data centres in which the part may be served.
#[test]
fn held_isolated() {
    let mut site = isolated_crashes(true);
    assert_eq!(site.held(&[COMMON, FATAL]), [FATAL]);
    assert!(!site.quarantine.is_held_fleetwide(&part(FATAL)));
    assert!(site.quarantine.report(site.now, true).held.is_empty());
    assert!(site.quarantine.own_news(Moment::ZERO, site.now).held.is_empty());
    let known = site.quarantine.known_of(&part(FATAL).fingerprint(), false, site.now);
    assert!(known.held.is_empty());
    site.now += SECOND * 2;
    site.quarantine.set_remote_heard(Some(site.now));
    assert_eq!(site.held(&[COMMON, FATAL]), [FATAL]);
    assert!(!site.quarantine.is_held_fleetwide(&part(FATAL)), "others have not heard yet");
    hear_on(&mut site, 5);
    assert_eq!(site.held(&[COMMON, FATAL]), [FATAL]);
    assert!(site.quarantine.is_held_fleetwide(&part(FATAL)), "reported once others are heard");
    assert_eq!(site.quarantine.release_refuted(site.now), []);
}

/// Guards against an isolated data centre holding a sound part because links to the servers of others end as those of
/// crashed servers do.
#[test]
fn links_reset() {
    let mut site = isolated_crashes(false);
    assert_eq!(site.held(&[COMMON, FATAL]), [0; 0]);
}

/// Guards against a sound part staying held because it was held while the data centre was isolated.
#[test]
fn refuted_later() {
    let mut site = isolated_crashes(true);
    assert_eq!(site.held(&[COMMON, FATAL]), [FATAL]);
    assert_eq!(site.quarantine.release_refuted(site.now + SECOND), [], "still isolated");
    let cleared = vec![((part(FATAL), RequestProgress::FirstEvent), Duration::ZERO)];
    let report = PartReport { cleared, ..PartReport::default() };
    site.now += SECOND * 2;
    site.quarantine.set_remote_heard(Some(site.now));
    site.quarantine.merge(&report, site.now);
    hear_on(&mut site, 5);
    assert_eq!(site.quarantine.release_refuted(site.now), [part(FATAL)]);
    assert_eq!(site.held(&[COMMON, FATAL]), [0; 0]);
}

/// Guards against the parts of a request being held with it: it may itself be the cause.
#[test]
fn one_request() {
    let mut site = Site::new();
    for _copy in 0..9 {
        site.crash_with(1, &[COMMON, 5]);
    }
    assert_eq!(site.held(&[COMMON, 5]), [0; 0]);
}

/// Guards against a part that was served at another daemon only counting as one that never was.
#[test]
fn served_elsewhere() {
    let mut there = Site::new();
    there.progress(&[COMMON], RequestProgress::FirstEvent);
    let mut here = Site::new();
    for child in [FATAL, FATAL, 0xdeaf] {
        here.crash(&[COMMON, child]);
        there.quarantine.merge(&here.quarantine.report(here.now, false), here.now);
    }
    assert_eq!(here.held(&[COMMON]), [COMMON]);
    assert!(here.is_refused(&[COMMON, 7]));
    there.quarantine.merge(&here.quarantine.report(here.now, false), here.now);
    here.quarantine.merge(&there.quarantine.report(here.now, false), here.now);
    assert!(!here.is_refused(&[COMMON, 7]), "two parts that were never served may be the cause");
    assert!(here.is_refused(&[COMMON, FATAL]));
}

/// Guards against a part being held that comes only together with the fatal one: the last of them is, which the fewest
/// requests share, and requests with one of them but not the other are tried.
#[test]
fn always_together() {
    let mut site = Site::new();
    for n in 0..3 {
        assert_eq!(site.held(&[COMMON, FATAL]), [0; 0], "after {n} crashes");
        site.crash(&[COMMON, FATAL]);
    }
    assert_eq!(site.held(&[COMMON, FATAL]), [FATAL]);
    assert!(site.is_refused(&[COMMON, FATAL, 7]));
    assert!(!site.is_refused(&[COMMON, 7]));
    assert!(!site.is_refused(&[FATAL, 7]), "the common part may be the cause");
    assert_eq!(site.quarantine.main_suspect(&[part(COMMON)], site.now), Some(&part(COMMON)));
    assert_eq!(site.quarantine.main_suspect(&[part(FATAL)], site.now), Some(&part(FATAL)));
    site.progress(&[COMMON], RequestProgress::FirstEvent);
    assert!(site.is_refused(&[FATAL, 7]), "no other part may be the cause");
    assert_eq!(site.held(&[COMMON]), [0; 0]);
}

/// Guards against a fatal part going on crashing servers because the parts that come with it are held for its crashes, one
/// after the other, and against the latter staying held.
#[rstest]
#[case::never_served(false, &[])]
#[case::served(true, &[])]
#[case::two_levels(false, &[50])]
fn moved_to_cause(#[case] is_served: bool, #[case] between: &[PartId]) {
    let mut site = Site::new();
    if is_served {
        site.progress(&[FATAL], RequestProgress::Complete);
    }
    let prompt = |child: PartId| [&[FATAL], between, &[child]].concat();
    for _crash in 0..3 {
        site.crash(&prompt(100));
    }
    assert_eq!(site.held(&prompt(100)), [100]);
    assert!(!site.is_refused(&prompt(101)));
    assert_eq!(
        site.quarantine.main_suspect(&[part(FATAL), part(101)], site.now),
        Some(&part(FATAL))
    );
    site.crash(&prompt(101));
    let last_shared = between.first().copied().unwrap_or(FATAL);
    assert_eq!(site.held(&prompt(101)), [last_shared]);
    if !is_served {
        assert_eq!(site.held(&[100]), [0; 0], "explained by the part that is in all crashes");
    }
    // A third child, at a request that lacks the part in between or is tried because the fatal part was served before.
    let third = [FATAL, 102];
    if is_served || !between.is_empty() {
        assert!(!site.is_refused(&third));
        site.crash(&third);
    }
    assert_eq!(site.held(&third), [FATAL]);
    assert!(site.is_refused(&[FATAL, 103]));
    assert_eq!(site.held(&[100, 101]), [0; 0]);
    assert_eq!(site.held(between), [0; 0]);
}

/// Guards against the part that a whole route shares being held for two fatal parts behind it, at night, when no request
/// clears it.
#[test]
fn two_behind() {
    let mut site = Site::new();
    site.progress(&[COMMON], RequestProgress::Complete);
    for child in [FATAL, FATAL, FATAL, 0xdeaf, 0xdeaf] {
        site.crash(&[COMMON, child]);
        site.held(&[COMMON, child]);
    }
    assert!(!site.is_refused(&[COMMON, 7]));
    site.progress(&[COMMON, 7], RequestProgress::FirstEvent);
    site.progress(&[COMMON, 7], RequestProgress::Streaming);
    assert_eq!(site.held(&[COMMON, 7]), [0; 0]);
    site.crash(&[COMMON, 0xdeaf]);
    assert_eq!(site.held(&[COMMON, FATAL]), [FATAL]);
    assert_eq!(site.held(&[COMMON, 0xdeaf]), [0xdeaf]);
}

/// Guards against a caller's part being held in place of the fatal one, which comes only together with it.
#[test]
fn callers_part_spared() {
    const CALLER: PartId = 7;
    let mut site = Site::new();
    site.progress(&[COMMON, CALLER], RequestProgress::FirstEvent);
    for n in 0..3 {
        assert_eq!(site.held(&[COMMON, FATAL, CALLER]), [0; 0], "after {n} crashes");
        site.crash(&[COMMON, FATAL, CALLER]);
    }
    assert_eq!(site.held(&[COMMON, FATAL, CALLER]), [FATAL]);
}

/// Guards against a fatal part not being found if no request clears the other parts.
#[test]
fn other_parts_differ() {
    let mut site = Site::new();
    for n in 0..3 {
        site.crash(&[FATAL, 100 + n]);
    }
    assert_eq!(site.held(&[FATAL, 100, 101, 102]), [FATAL]);
}

/// Guards against common parts being held because many hosts were lost at one instant.
#[test]
fn lost_at_once() {
    let mut site = Site::new();
    for n in 0..40 {
        let id = crash(n);
        let prompt = prompt(n, CrashStage::BeforeEvents, &[COMMON, 100 + n as PartId % 3]);
        let at = site.now + Duration::from_millis(2) * n as u32;
        site.quarantine.record_crash(&id, &SERVICE.into(), prompt, at);
    }
    site.now += SECOND;
    assert_eq!(site.held(&[COMMON, 100, 101, 102]), [0; 0]);
}

/// Guards against a sound part being held because reports of crashes arrive before those of the progress that clears it.
#[test]
fn clearing_told() {
    let mut here = Site::new();
    let mut there = PartQuarantine::default();
    for n in 0..6 {
        here.crash(&[COMMON, 100 + n]);
        there.merge(&here.quarantine.own_news(here.now, here.now), here.now);
        let before = here.now;
        here.progress(&[COMMON], RequestProgress::FirstEvent);
        there.merge(&here.quarantine.own_news(before, here.now), here.now);
    }
    there.evaluate(&[part(COMMON)], here.now + SECOND * 2);
    assert_eq!(there.held_count(), 0);
}

/// Guards against a part being blamed for the crash of another part that is held for it.
#[test]
fn crash_explained() {
    let mut site = Site::new();
    for n in 0..3 {
        site.crash(&[COMMON, FATAL, 100 + n]);
    }
    site.progress(&[COMMON], RequestProgress::FirstEvent);
    assert_eq!(site.held(&[FATAL]), [FATAL]);
    assert_eq!(site.quarantine.main_suspect(&[part(COMMON)], site.now), None);
}

/// Guards against requests that had been served for long, or that had not begun, being blamed beside one that had just
/// begun.
#[test]
fn worst_stage_only() {
    let mut site = Site::new();
    for n in 0..4 {
        site.crash(&[FATAL]);
        let bystander = prompt(100 + n, CrashStage::FirstEvent, &[COMMON]);
        site.quarantine.record_crash(&crash(n), &SERVICE.into(), bystander, site.now);
    }
    assert_eq!(site.held(&[COMMON, FATAL]), [FATAL]);
}

/// Guards against a part that crashes servers before the head of the response, or late in a stream, not being held because
/// another request had just begun at each of them, and against a part that all requests share being held in its place.
#[rstest]
#[case::unanswered(CrashStage::Unanswered)]
#[case::streaming(CrashStage::Streaming)]
fn beside_younger(#[case] stage: CrashStage) {
    let mut site = Site::new();
    for n in 0..3 {
        site.now += SECOND * 5;
        assert_eq!(site.held(&[COMMON, FATAL]), [0; 0], "after {n} crashes");
        if stage == CrashStage::Streaming {
            site.progress(&[COMMON, FATAL], RequestProgress::FirstEvent);
            site.progress(&[COMMON, FATAL], RequestProgress::Streaming);
        }
        site.now += SECOND * 2;
        for (request, stage, parts) in [
            (n, stage, [COMMON, FATAL]),
            (100 + n, CrashStage::BeforeEvents, [COMMON, 50 + n as PartId]),
        ] {
            let prompt = prompt(request, stage, &parts);
            site.quarantine.record_crash(&crash(n), &SERVICE.into(), prompt, site.now);
        }
    }
    site.now += SECOND * 4;
    assert_eq!(site.held(&[COMMON, FATAL]), [FATAL]);
}

/// Guards against a sound part of streams in progress being held because several servers crash before any of the streams
/// that begin afterwards ends.
#[test]
fn streams_spared() {
    let mut site = Site::new();
    site.quarantine.set_run_time(SECOND * 2);
    for n in 0..3 {
        site.now += SECOND / 5;
        let prompt = prompt(n, CrashStage::Streaming, &[COMMON, 50 + n as PartId]);
        site.quarantine.record_crash(&crash(n), &SERVICE.into(), prompt, site.now);
    }
    let began = site.now;
    site.now += SECOND * 2;
    assert_eq!(site.held(&[COMMON]), [0; 0]);
    site.progress_since(&[COMMON], RequestProgress::Complete, began);
    site.now += SECOND * 9;
    assert_eq!(site.held(&[COMMON]), [0; 0]);
}

/// Guards against a part counting as sound for ever because a request with it was served before it began to crash servers.
#[test]
fn served_before() {
    let mut site = Site::new();
    site.progress(&[FATAL], RequestProgress::Complete);
    for n in 0..3 {
        site.crash(&[FATAL, 100 + n]);
    }
    assert_eq!(site.held(&[FATAL]), [FATAL]);
}

/// Guards against a part that became fatal being cleared, or released, by streams that began before.
#[rstest]
#[case::streaming(RequestProgress::Streaming)]
#[case::complete(RequestProgress::Complete)]
fn began_before(#[case] progress: RequestProgress) {
    let mut site = Site::new();
    let began = site.now;
    for n in 0..3 {
        site.crash(&[FATAL, 100 + n]);
        site.progress_since(&[FATAL], progress, began);
    }
    assert_eq!(site.held(&[FATAL]), [FATAL]);
    site.now += SECOND * 2;
    site.progress_since(&[FATAL], progress, began);
    assert_eq!(site.held(&[FATAL]), [FATAL]);
}

/// Guards against a held part being tried again after each crash because a stream with it that began before the crashes
/// ends after them.
#[test]
fn ends_late() {
    let mut site = Site::new();
    let began = site.now;
    for n in 0..3 {
        site.crash(&[FATAL, 100 + n]);
    }
    site.progress_since(&[FATAL, 50], RequestProgress::Complete, began);
    assert_eq!(site.held(&[FATAL]), [FATAL]);
    site.crash(&[FATAL, 103]);
    assert!(site.is_refused(&[FATAL, 104]));
}

/// Guards against progress seeming younger with each daemon that passes it on, and clearing a part of crashes after it.
#[rstest]
#[case::daemons(false)]
#[case::readers(true)]
fn passed_on(#[case] are_readers: bool) {
    let mut sites = [Site::new(), Site::new()];
    sites[0].crash(&[FATAL, 99]);
    sites[0].progress(&[FATAL], RequestProgress::FirstEvent);
    let mut now = sites[0].now;
    for n in 0..200 {
        let report = sites[n % 2].quarantine.report(now, are_readers);
        now += SECOND / 200;
        sites[(n + 1) % 2].quarantine.merge(&report, now);
    }
    let [site, _other] = &mut sites;
    for n in 0..3 {
        site.crash_after(SECOND * 3 / 10, &[FATAL, 100 + n]);
    }
    assert_eq!(site.held(&[FATAL]), [FATAL]);
}

/// Guards against a sound part staying held though a request with it began after its last crash, before the hold was
/// decided.
#[test]
fn began_between() {
    let mut site = Site::new();
    for n in 0..3 {
        site.crash(&[FATAL, 100 + n]);
    }
    let began = site.now + SECOND / 2;
    assert_eq!(site.held(&[FATAL]), [FATAL]);
    site.now += SECOND * 2;
    site.progress_since(&[FATAL], RequestProgress::Streaming, began);
    assert_eq!(site.held(&[FATAL]), [0; 0]);
}

/// Guards against a part that was held before the daemons were restarted crashing three servers again, because the holds
/// cannot be read.
#[test]
fn holds_unread() {
    let mut site = Site::new();
    site.quarantine.set_unread(true);
    site.progress(&[COMMON], RequestProgress::FirstEvent);
    site.crash(&[COMMON, FATAL, 7]);
    let all = [part(COMMON), part(FATAL), part(7)];
    assert_eq!(site.quarantine.main_suspect(&all[..1], site.now), None);
    assert_eq!(site.quarantine.main_suspect(&all[..2], site.now), Some(&part(FATAL)));
    assert!(site.quarantine.decision_delay(&all, site.now) > Duration::ZERO);
    assert_eq!(site.quarantine.decision_delay(&all[..2], site.now), Duration::ZERO);
    site.now += SECOND;
    assert!(site.is_refused(&[COMMON, FATAL, 7]));
    assert!(!site.is_refused(&[COMMON, FATAL, 8]), "the part that it lacks may be the cause");
    site.crash(&[COMMON, FATAL, 8]);
    site.now += SECOND;
    assert!(site.is_refused(&[COMMON, FATAL, 9]));
    assert!(!site.is_refused(&[COMMON, 9]));
    site.quarantine.set_unread(false);
    assert!(!site.is_refused(&[COMMON, FATAL, 9]));
}

/// Guards against one service refusing requests because another one's servers crash.
#[test]
fn other_service() {
    let mut site = Site::new();
    for n in 0..3 {
        site.crash(&[FATAL, 100 + n]);
    }
    let other = PromptPart { service: "summaries".into(), ..part(FATAL) };
    assert_eq!(site.held(&[FATAL]), [FATAL]);
    assert!(site.quarantine.held_part(&[other], site.now).is_none());
}

/// Guards against all requests of a service being tried one at a time after a single crash, or after each of several.
#[test]
fn suspect_at_second() {
    let mut site = Site::new();
    site.crash(&[COMMON, FATAL]);
    assert_eq!(site.quarantine.main_suspect(&[part(COMMON), part(FATAL)], site.now), None);
    site.progress(&[COMMON], RequestProgress::FirstEvent);
    site.crash(&[COMMON, FATAL]);
    assert_eq!(site.quarantine.main_suspect(&[part(COMMON)], site.now), None);
    assert_eq!(
        site.quarantine.main_suspect(&[part(COMMON), part(FATAL)], site.now),
        Some(&part(FATAL))
    );
    assert!(site.quarantine.decision_delay(&[part(FATAL)], site.now) > Duration::ZERO);
    assert_eq!(
        site.quarantine.decision_delay(&[part(FATAL)], site.now + SECOND * 2),
        Duration::ZERO
    );
}

/// Records crashes some time apart, after their common part was served.
fn crashes_after_service(crashes: usize, apart: Duration) -> Site {
    let mut site = Site::new();
    site.progress(&[COMMON], RequestProgress::FirstEvent);
    for _crash in 0..crashes {
        site.crash_after(apart, &[COMMON, FATAL]);
    }
    site
}

/// Guards against a whole route going in single file whenever several servers crash: its common part was just served.
#[test]
fn served_untried() {
    let site = crashes_after_service(4, Duration::from_millis(200));
    assert_eq!(site.quarantine.main_suspect(&[part(COMMON)], site.now), None);
    assert_eq!(site.quarantine.decision_delay(&[part(COMMON)], site.now), Duration::ZERO);
    let parts = [part(COMMON), part(FATAL)];
    assert_eq!(site.quarantine.main_suspect(&parts, site.now), Some(&part(FATAL)));
}

/// Guards against a part of usual traffic that becomes fatal crashing a server at each request until it is held, because
/// requests with it were just served.
#[rstest]
#[case::many(5, Duration::from_millis(100))]
#[case::uncleared(2, SECOND)]
fn served_tried(#[case] crashes: usize, #[case] apart: Duration) {
    let mut site = crashes_after_service(crashes, apart);
    assert_eq!(site.quarantine.main_suspect(&[part(COMMON)], site.now), Some(&part(COMMON)));
    site.progress(&[COMMON], RequestProgress::FirstEvent);
    assert_eq!(site.quarantine.main_suspect(&[part(COMMON)], site.now), None);
}

/// Guards against a release being undone by peers that go on reporting the hold.
#[test]
fn release_told() {
    let mut here = Site::new();
    for n in 0..3 {
        here.crash(&[FATAL, 100 + n]);
    }
    let mut there = PartQuarantine::default();
    assert_eq!(here.held(&[FATAL]), [FATAL]);
    there.merge(&here.quarantine.report(here.now, false), here.now);
    here.now += SECOND * 60;
    assert!(there.held_part(&[part(FATAL)], here.now).is_some());
    here.progress(&[FATAL], RequestProgress::FirstEvent);
    assert_eq!(here.held(&[FATAL]), [FATAL], "an event may precede the crash");
    here.progress(&[FATAL], RequestProgress::Streaming);
    assert_eq!(here.held(&[FATAL]), [0; 0]);
    here.quarantine.merge(&there.report(here.now, false), here.now);
    there.merge(&here.quarantine.report(here.now, false), here.now);
    assert!(there.held_part(&[part(FATAL)], here.now).is_none());
    assert_eq!(here.held(&[FATAL]), [0; 0]);
}

/// Guards against a daemon that starts later, or was cut off, not learning of a part that is held for long.
#[test]
fn hold_told() {
    let mut here = Site::new();
    for n in 0..3 {
        here.crash(&[FATAL, 100 + n]);
    }
    assert_eq!(here.held(&[FATAL]), [FATAL]);
    here.now += HOLD_TIME / 2;
    let mut there = PartQuarantine::default();
    let held = there.merge(&here.quarantine.report(here.now, false), here.now);
    assert_eq!(held, [part(FATAL)]);
    assert!(there.held_part(&[part(FATAL)], here.now).is_some());
}

/// Records three crashes under a sound part at one daemon and holds the part there; returns it, and a daemon that was sent
/// reports of the crashes.
fn unfounded_hold() -> (Site, Site) {
    let mut here = Site::new();
    for n in 0..3 {
        here.crash_after(SECOND / 5, &[COMMON, 100 + n]);
    }
    let mut there = Site { now: here.now, ..Site::new() };
    there.quarantine.merge(&here.quarantine.own_news(Moment::ZERO, here.now), there.now);
    here.now += SECOND;
    assert_eq!(here.quarantine.evaluate(&[part(COMMON)], here.now), [part(COMMON)]);
    (here, there)
}

/// Returns a report of what a daemon holds, without the crashes.
fn held_only(site: &Site) -> PartReport {
    let held = site.quarantine.report(site.now, false).held;
    PartReport { held, ..PartReport::default() }
}

/// Guards against a hold spreading to daemons that served requests with the part after the crashes on which it rests.
#[test]
fn hold_refuted() {
    let (here, mut there) = unfounded_hold();
    there.now += Duration::from_millis(300);
    there.progress(&[COMMON], RequestProgress::FirstEvent);
    assert_eq!(there.quarantine.merge(&held_only(&here), here.now), []);
    let (here, mut unserved) = unfounded_hold();
    assert_eq!(unserved.quarantine.merge(&held_only(&here), here.now), [part(COMMON)]);
}

/// Guards against a daemon that stood still not taking over the hold of a fatal part, as a report from before the crashes is
/// dated by when it is read.
#[rstest]
#[case::never_served(false)]
#[case::served_before(true)]
fn read_late(#[case] is_served: bool) {
    let (here, mut there) = unfounded_hold();
    if is_served {
        let before = there.now.saturating_sub(SECOND);
        there.progress_since(&[COMMON], RequestProgress::FirstEvent, before);
    }
    let cleared = vec![((part(COMMON), RequestProgress::FirstEvent), Duration::ZERO)];
    there.quarantine.merge(&PartReport { cleared, ..PartReport::default() }, here.now);
    assert_eq!(there.quarantine.merge(&held_only(&here), here.now), [part(COMMON)]);
}

/// Guards against peers that hold a part not being told that it is served, as the report of that has expired.
#[test]
fn refutation_told() {
    let (mut here, mut there) = unfounded_hold();
    there.now += Duration::from_millis(300);
    there.progress(&[COMMON], RequestProgress::FirstEvent);
    here.now += SECOND * 5;
    assert!(there.quarantine.report(here.now, false).cleared.is_empty());
    there.quarantine.merge(&held_only(&here), here.now);
    assert_eq!(there.quarantine.report(here.now, false).cleared.len(), 1);
}

#[test]
fn released_unasked() {
    let mut site = Site::new();
    assert!(site.quarantine.hold(&part(FATAL), site.now));
    let asked = site.now + HOLD_TIME;
    assert!(site.quarantine.sweep(asked).is_empty());
    assert!(site.quarantine.held_part(&[part(FATAL)], asked).is_some());
    assert!(site.quarantine.sweep(asked + HOLD_TIME).is_empty());
    assert_eq!(site.quarantine.sweep(asked + HOLD_TIME + SECOND), [part(FATAL)]);
}

/// Guards against callers who invent parts exceeding the bounds on memory and datagrams, or pushing out evidence against
/// a real one.
#[test]
fn invented_parts() {
    let mut site = Site::new();
    for n in 0..3_u128 {
        site.crash(&[COMMON, FATAL, 100 + n]);
        let invented: Vec<_> = (0..32).map(|i| 1_000_000 * (n + 1) + i).collect();
        for request in 0..200 {
            let prompt = prompt(10_000 + request, CrashStage::BeforeEvents, &invented);
            let id = crash(n as usize);
            site.quarantine.record_crash(&id, &SERVICE.into(), prompt, site.now);
        }
        site.progress(&[COMMON], RequestProgress::FirstEvent);
        site.progress(&invented, RequestProgress::FirstEvent);
    }
    assert_eq!(site.held(&[FATAL]), [FATAL]);
    let report = site.quarantine.report(site.now, true);
    assert!(report.crashes.len() <= 16 && report.cleared.len() <= 16 && report.held.len() <= 16);
    assert!(report.crashes.iter().all(|crash| crash.prompts.len() <= 16));
}

proptest! {
    /// The order of reports and duplicates among them must not matter, or daemons would disagree permanently.
    #[test]
    fn order_irrelevant(
        sightings in prop::collection::vec((0..5_usize, 0..6_usize, 0..STAGES.len()), 1..24),
        cleared in prop::collection::vec((0..4_u128, 0..3_usize, 0..4_u32), 0..4),
        order in any::<prop::sample::Index>(),
    ) {
        let now = start() + SECOND * 9;
        let sighting = |(at, request, stage): &(usize, usize, usize)| {
            let stage = STAGES[*stage];
            let mut observer = PartQuarantine::default();
            // The parts of a request are the same in all reports.
            let prompt = prompt(*request, stage, &[*request as PartId % 4, 10 + *request as PartId]);
            let crashed_at = start() + SECOND * *at as u32;
            observer.record_crash(&crash(*at), &SERVICE.into(), prompt, crashed_at);
            let mut report = observer.report(crashed_at, false);
            report.crashes[0].age = now.saturating_sub(crashed_at);
            report
        };
        let clearing = |(id, progress, age): &(PartId, usize, u32)| PartReport {
            cleared: vec![((part(*id), RequestProgress::ALL[*progress]), SECOND * *age)],
            ..PartReport::default()
        };
        let reports: Vec<_> =
            sightings.iter().map(sighting).chain(cleared.iter().map(clearing)).collect();
        let suspected = |reports: &[PartReport]| {
            let mut receiver = PartQuarantine::default();
            for report in reports {
                receiver.merge(report, now);
            }
            (0..4).map(|id| {
                let mut ids = receiver.crash_ids(&part(id));
                ids.sort();
                ids
            }).collect::<Vec<_>>()
        };
        let mut reordered = reports.clone();
        reordered.rotate_left(order.index(reports.len()));
        reordered.extend(reports.iter().rev().cloned());
        prop_assert_eq!(suspected(&reports), suspected(&reordered));
    }

    /// A hold that a peer reports must last as long as that peer's own.
    #[test]
    fn hold_kept(age in 0..1000_u64, idle in 0..1000_u64) {
        let now = start();
        let (age, idle) = (Duration::from_secs(age.max(idle)), Duration::from_secs(idle));
        let report = PartReport {
            held: vec![HeldPart { part: part(FATAL), age, idle }],
            ..PartReport::default()
        };
        let mut here = PartQuarantine::default();
        here.merge(&report, now);
        prop_assert_eq!(here.report(now, false).held, report.held);
    }
}
