//! What callers are told of requests that may not be repeated, over real sockets.

use comfreymux_testutils::log_standin::LogFaults;
use comfreymux_testutils::rig::Rig;
use comfreymux_testutils::rig::wait_for;
use comfreymux_testutils::rows;
use comfreymux_testutils::service_standin::ServiceFaults;
use rstest::rstest;

const CONFIRM: &str = "/services/booking/confirm";

/// Two daemons in two data centres before one booking service.
fn rig() -> Rig {
    rig_with("10s")
}

fn rig_with(idle: &str) -> Rig {
    let mut rig = Rig::default();
    rig.add_service("s1", "makati-a", "booking");
    rig.add_daemon("d1", "makati-a", &[("idle-timeout", idle)]);
    rig.add_daemon("d2", "pasig-b", &[("idle-timeout", idle)]);
    rig.await_view("d1", "both daemons", |v| v.daemons.len() == 2);
    rig.apply("d1", "first", &[rows::service("booking")]);
    for daemon in ["d1", "d2"] {
        rig.await_view(daemon, "the service", |v| {
            v.table.row("booking").is_some()
                && !v.replicas_of("booking").is_empty()
                && v.daemons.len() == 2
        });
    }
    rig
}

struct Told {
    status: u16,
    verdict: String,
    retry: Option<String>,
    body: String,
}

/// Sends a booking, and comes back as told while the log has not decided its claim.
fn send(rig: &Rig, daemon: &str, key: Option<&str>, body: &str) -> Told {
    let mut told = send_once(rig, daemon, key, body);
    wait_for("a decided claim", || {
        let decided = !told.body.contains("claim-unknown");
        if !decided {
            told = send_once(rig, daemon, key, body);
        }
        decided
    });
    told
}

fn send_once(rig: &Rig, daemon: &str, key: Option<&str>, body: &str) -> Told {
    let mut request = minreq::post(rig.url(daemon, CONFIRM)).with_body(body).with_timeout(30);
    if let Some(key) = key {
        request = request.with_header("Idempotency-Key", key);
    }
    let response = request.send().unwrap();
    Told {
        status: response.status_code,
        verdict: response.header("x-request-verdict").unwrap_or_default().to_owned(),
        retry: response.header("retry-after").map(str::to_owned),
        body: response.as_str().unwrap().to_owned(),
    }
}

fn runs(rig: &Rig, body: &str) -> u32 {
    rig.services["s1"].runs().get(body).copied().unwrap_or(0)
}

#[rstest]
#[case::lost(ServiceFaults { lose: 1, ..Default::default() })]
#[case::silent(ServiceFaults { silent: 1, ..Default::default() })]
#[case::crossed(ServiceFaults { crossed: 1, ..Default::default() })]
fn doubtful_once(#[case] faults: ServiceFaults) {
    // A booking ran, and its answer is lost, never comes, or belongs to somebody else. The caller is
    // told that it may have run; repeats through either daemon do not run it again.
    let rig = rig_with("500ms");
    rig.services["s1"].set_faults(faults);
    let first = send(&rig, "d1", Some("k"), "fitting");
    assert_eq!((first.status, first.verdict.as_str()), (502, "may-have-run"), "{}", first.body);
    for daemon in ["d1", "d2", "d1"] {
        let repeat = send(&rig, daemon, Some("k"), "fitting");
        assert_eq!((repeat.status, repeat.verdict.as_str()), (409, "may-have-run"));
    }
    assert_eq!(runs(&rig, "fitting"), 1);
}

#[test]
fn refused_then_run() {
    // The service refuses a booking before running it. That is proof, so it is tried again at once.
    let rig = rig();
    rig.services["s1"].set_faults(ServiceFaults { refuse: 2, ..Default::default() });
    let told = send(&rig, "d1", Some("k"), "fitting");
    assert_eq!((told.status, told.verdict.as_str()), (200, "ran"), "{}", told.body);
    assert_eq!(runs(&rig, "fitting"), 1);
}

#[test]
fn unkeyed_once() {
    // A booking without a key: its answer is lost, and nobody may send it again for the caller.
    let rig = rig();
    rig.services["s1"].set_faults(ServiceFaults { lose: 1, ..Default::default() });
    let told = send(&rig, "d1", None, "fitting");
    assert_eq!((told.status, told.verdict.as_str()), (502, "may-have-run"));
    assert_eq!(runs(&rig, "fitting"), 1);
}

#[test]
fn replayed_answer() {
    // The daemon that ran a booking dies. A repeat through another daemon gets the same answer,
    // which was small enough to stand in the log.
    let mut rig = rig();
    let first = send(&rig, "d1", Some("k"), "fitting");
    assert_eq!(first.status, 200);
    let node = std::sync::Arc::clone(rig.daemons["d2"].node());
    wait_for("the settlement", || {
        node.state().is_some_and(|s| s.claims.values().any(|c| c.end.is_some()))
    });
    rig.daemons.remove("d1").unwrap().abort();
    let repeat = send(&rig, "d2", Some("k"), "fitting");
    assert_eq!((repeat.status, repeat.body), (200, first.body));
    assert_eq!(runs(&rig, "fitting"), 1);
}

#[test]
fn claimant_died() {
    // The daemon that claimed a booking dies while it runs. A repeat through another daemon is told
    // that it may have run, and does not run it.
    let mut rig = rig();
    rig.services["s1"].set_faults(ServiceFaults { slow_ms: 250, ..Default::default() });
    let url = rig.url("d1", CONFIRM);
    let caller = std::thread::spawn(move || {
        minreq::post(url)
            .with_header("Idempotency-Key", "k")
            .with_body("fitting")
            .with_timeout(5)
            .send()
    });
    wait_for("the run", || runs(&rig, "fitting") == 1);
    rig.daemons.remove("d1").unwrap().abort();
    let repeat = send(&rig, "d2", Some("k"), "fitting");
    assert_ne!(repeat.verdict, "did-not-run");
    assert_eq!(runs(&rig, "fitting"), 1);
    drop(caller.join());
}

#[test]
fn log_outage() {
    // The log is down. A booking with a key is refused at once with a time to come back, nothing is
    // sent, and the repeat after the outage runs it once.
    let rig = rig();
    rig.log.set_faults(LogFaults { down: true, ..Default::default() });
    let told = send_once(&rig, "d1", Some("k"), "fitting");
    assert_eq!((told.status, told.verdict.as_str()), (503, "may-have-run"));
    assert!(told.retry.is_some());
    assert_eq!(runs(&rig, "fitting"), 0);
    rig.log.set_faults(LogFaults::default());
    wait_for("the log", || send(&rig, "d2", Some("k"), "fitting").status == 200);
    assert_eq!(runs(&rig, "fitting"), 1);
}

#[test]
fn append_lost() {
    // The log takes a claim and its answer is lost. The append is sent again; the booking runs once.
    let rig = rig();
    rig.log.set_faults(LogFaults { lose: 3, ..Default::default() });
    let told = send(&rig, "d1", Some("k"), "fitting");
    assert_eq!(told.status, 200, "{}", told.body);
    assert_eq!(send(&rig, "d2", Some("k"), "fitting").status, 200);
    assert_eq!(runs(&rig, "fitting"), 1);
}

#[test]
fn keys_apart() {
    // Two callers use the same key for two bookings: both run, and each gets its own answer.
    let rig = rig();
    let book = |caller: &str, body: &str| {
        minreq::post(rig.url("d1", CONFIRM))
            .with_header("Idempotency-Key", "1")
            .with_header("X-Caller", caller)
            .with_body(body)
            .with_timeout(30)
            .send()
            .unwrap()
    };
    assert!(book("tahi", "barong").as_str().unwrap().contains("barong"));
    assert!(book("teply", "gown").as_str().unwrap().contains("gown"));
    assert_eq!((runs(&rig, "barong"), runs(&rig, "gown")), (1, 1));
}

#[test]
fn service_leaves() {
    // The service's host is being taken away and says so; the host list does not show it yet. New
    // work is refused truthfully and goes there no more.
    let rig = rig();
    rig.services["s1"].set_faults(ServiceFaults { leaving: true, ..Default::default() });
    let told = minreq::post(rig.url("d1", CONFIRM))
        .with_header("X-Deadline-Ms", "400")
        .with_body("fitting")
        .with_timeout(30)
        .send()
        .unwrap();
    assert_eq!(told.status_code, 503);
    assert_eq!(told.header("x-request-verdict"), Some("did-not-run"));
    assert_eq!(runs(&rig, "fitting"), 0);
}
