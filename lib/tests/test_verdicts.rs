//! Verdicts sent to callers of requests that may not be repeated, over real sockets.

use comfreymux_testutils::log_standin::LogFaults;
use comfreymux_testutils::rig::Rig;
use comfreymux_testutils::rig::wait_for;
use comfreymux_testutils::rows;
use comfreymux_testutils::service_standin::ServiceFaults;
use rstest::rstest;

const CONFIRM: &str = "/services/booking/confirm";

/// Starts two daemons in two data centres and one booking service.
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

struct BookingReply {
    status: u16,
    verdict: String,
    retry_after: Option<String>,
    body: String,
}

/// Sends a booking, and repeats it until the log has decided its claim.
fn send(rig: &Rig, daemon: &str, key: Option<&str>, body: &str) -> BookingReply {
    let mut reply = send_once(rig, daemon, key, body);
    wait_for("a decided claim", || {
        let decided = !reply.body.contains("claim-unknown");
        if !decided {
            reply = send_once(rig, daemon, key, body);
        }
        decided
    });
    reply
}

fn send_once(rig: &Rig, daemon: &str, key: Option<&str>, body: &str) -> BookingReply {
    let mut request = minreq::post(rig.url(daemon, CONFIRM)).with_body(body).with_timeout(30);
    if let Some(key) = key {
        request = request.with_header("Idempotency-Key", key);
    }
    let response = request.send().unwrap();
    BookingReply {
        status: response.status_code,
        verdict: response.header("x-request-verdict").unwrap_or_default().to_owned(),
        retry_after: response.header("retry-after").map(str::to_owned),
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
    // A booking ran, and its answer is lost, never arrives or belongs to another attempt. The
    // verdict is that it may have run; repeats through either daemon do not run it again.
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
    // The service refuses a booking before it runs. It is then certain that it did not run, so it
    // is retried at once.
    let rig = rig();
    rig.services["s1"].set_faults(ServiceFaults { refuse: 2, ..Default::default() });
    let reply = send(&rig, "d1", Some("k"), "fitting");
    assert_eq!((reply.status, reply.verdict.as_str()), (200, "ran"), "{}", reply.body);
    assert_eq!(runs(&rig, "fitting"), 1);
}

#[test]
fn unkeyed_once() {
    // The answer of a booking without an idempotency key is lost. The daemon must not send it
    // again.
    let rig = rig();
    rig.services["s1"].set_faults(ServiceFaults { lose: 1, ..Default::default() });
    let reply = send(&rig, "d1", None, "fitting");
    assert_eq!((reply.status, reply.verdict.as_str()), (502, "may-have-run"));
    assert_eq!(runs(&rig, "fitting"), 1);
}

#[test]
fn replayed_answer() {
    // The daemon that ran a booking dies. A repeat through another daemon gets the same answer,
    // which was small enough to be stored in the log.
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
    // The daemon that claimed a booking dies while it runs. A repeat through another daemon must
    // not get the verdict that it did not run, and must not run it again.
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
    wait_for("the booking to run", || runs(&rig, "fitting") == 1);
    rig.daemons.remove("d1").unwrap().abort();
    let repeat = send(&rig, "d2", Some("k"), "fitting");
    assert_ne!(repeat.verdict, "did-not-run");
    assert_eq!(runs(&rig, "fitting"), 1);
    drop(caller.join());
}

#[test]
fn log_outage() {
    // The log is down. A booking with a key is refused at once with a Retry-After header and not
    // sent to the service. The repeat after the outage runs it once.
    let rig = rig();
    rig.log.set_faults(LogFaults { down: true, ..Default::default() });
    let reply = send_once(&rig, "d1", Some("k"), "fitting");
    assert_eq!((reply.status, reply.verdict.as_str()), (503, "may-have-run"));
    assert!(reply.retry_after.is_some());
    assert_eq!(runs(&rig, "fitting"), 0);
    rig.log.set_faults(LogFaults::default());
    wait_for("a served booking", || send(&rig, "d2", Some("k"), "fitting").status == 200);
    assert_eq!(runs(&rig, "fitting"), 1);
}

#[test]
fn append_lost() {
    // The log appends a claim, but its answer is lost. The append is sent again; the booking runs
    // once.
    let rig = rig();
    rig.log.set_faults(LogFaults { lose: 3, ..Default::default() });
    let reply = send(&rig, "d1", Some("k"), "fitting");
    assert_eq!(reply.status, 200, "{}", reply.body);
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
    // The service reports that its host is being removed, which the host list does not show yet.
    // New requests are refused with the verdict that they did not run, and none runs.
    let rig = rig();
    rig.services["s1"].set_faults(ServiceFaults { leaving: true, ..Default::default() });
    let reply = minreq::post(rig.url("d1", CONFIRM))
        .with_header("X-Deadline-Ms", "400")
        .with_body("fitting")
        .with_timeout(30)
        .send()
        .unwrap();
    assert_eq!(reply.status_code, 503);
    assert_eq!(reply.header("x-request-verdict"), Some("did-not-run"));
    assert_eq!(runs(&rig, "fitting"), 0);
}
