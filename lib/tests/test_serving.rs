//! End-to-end tests of callers, daemons, engines and plain services, over real sockets.

use std::thread;

use comfreymux_testutils::engine_settings::EngineSettings;
use comfreymux_testutils::rig::Rig;
use comfreymux_testutils::rig::complete;
use comfreymux_testutils::rig::wait_for;
use comfreymux_testutils::rig::words;
use comfreymux_testutils::rows;

const CHAT: &str = "/v1/chat/completions";

fn rig() -> Rig {
    let mut rig = Rig::default();
    rig.add_engine("e1", "makati-a", &EngineSettings::default());
    rig.add_service("s1", "makati-a", "booking");
    rig.add_daemon("d1", "makati-a", &[]);
    rig.add_daemon("d2", "makati-a", &[]);
    for daemon in ["d1", "d2"] {
        rig.await_view(daemon, "both daemons listed", |v| v.daemons.len() == 2);
    }
    rig.apply("d1", "first", &[rows::model("hem"), rows::service("booking")]);
    for daemon in ["d1", "d2"] {
        rig.await_view(daemon, "the table", |v| v.table.row("hem").is_some());
    }
    rig
}

#[test]
fn cold_burst() {
    // A burst of first requests for one cold model arrives at two daemons. Every caller gets a
    // complete answer, and the model is loaded once.
    let rig = rig();
    let urls = [rig.url("d1", CHAT), rig.url("d2", CHAT)];
    let send = |i: usize| {
        let url = urls[i % 2].clone();
        thread::spawn(move || complete(&url, "hem", !i.is_multiple_of(3), 5))
    };
    let callers: Vec<_> = (0..8).map(send).collect();
    for caller in callers {
        let (status, body) = caller.join().unwrap().unwrap();
        assert_eq!(status, 200, "{body}");
        assert!(body.contains("t4"), "{body}");
    }
    assert_eq!(rig.engines["e1"].audit().loads, 1);
}

#[test]
fn whole_stream() {
    let rig = rig();
    let (status, body) = complete(&rig.url("d1", CHAT), "hem", true, 6).unwrap();
    assert_eq!(status, 200);
    let (words, done) = words(&body);
    assert_eq!(words, ["t0", "t1", "t2", "t3", "t4", "t5"]);
    assert!(done);
}

#[test]
fn booking_twice() {
    // The load balancer sends the repeat of a booking to another daemon while the first is in
    // progress. Both requests get the same answer, and the booking runs once.
    let rig = rig();
    rig.await_view("d1", "the service", |v| !v.replicas_of("booking").is_empty());
    rig.await_view("d2", "the service", |v| !v.replicas_of("booking").is_empty());
    rig.services["s1"].set_faults(comfreymux_testutils::service_standin::ServiceFaults {
        slow_ms: 300,
        ..Default::default()
    });
    let send_booking = |daemon: &str| {
        let url = rig.url(daemon, "/services/booking/confirm");
        thread::spawn(move || {
            minreq::post(url)
                .with_header("Idempotency-Key", "fitting-7")
                .with_header("X-Caller", "tahi")
                .with_body("fitting 7")
                .with_timeout(20)
                .send()
                .unwrap()
        })
    };
    let callers = [send_booking("d1"), send_booking("d2")];
    let answers = callers.map(|c| c.join().unwrap());
    for answer in &answers {
        assert_eq!(answer.status_code, 200, "{:?}", answer.as_str());
        assert_eq!(answer.header("x-request-verdict"), Some("ran"));
    }
    assert_eq!(answers[0].as_bytes(), answers[1].as_bytes());
    assert_eq!(rig.services["s1"].runs()["fitting 7"], 1);
}

#[test]
fn sleep_and_wake() {
    // An idle model is unloaded, and its slot stays reserved. The next request must not be sent to
    // the engine, which no longer holds the model, before the model is loaded again.
    let mut rig = Rig::default();
    rig.add_engine("e1", "makati-a", &EngineSettings::default());
    rig.add_daemon("d1", "makati-a", &[("keep-warm", "1s"), ("poll", "100ms")]);
    rig.await_view("d1", "the daemon", |v| v.daemons.len() == 1);
    rig.apply("d1", "first", &[rows::model("hem")]);
    let url = rig.url("d1", CHAT);
    assert_eq!(complete(&url, "hem", true, 1).unwrap().0, 200);
    let loads = rig.engines["e1"].audit().loads;
    wait_for("the unload", || rig.engines["e1"].audit().models.is_empty());
    rig.await_view("d1", "the removal of the replica", |v| v.replicas_of("hem").is_empty());
    assert_eq!(complete(&url, "hem", true, 1).unwrap().0, 200);
    assert_eq!(rig.engines["e1"].audit().loads, loads + 1);
}

#[test]
fn stale_replica() {
    // An engine dropped a model without reporting it, and the log still shows the model as loaded.
    // A request that the engine refuses waits for a load instead of retrying in a loop.
    let rig = rig();
    let url = rig.url("d1", CHAT);
    assert_eq!(complete(&url, "hem", true, 1).unwrap().0, 200);
    rig.engines["e1"].forget("hem");
    let (status, body) = complete(&url, "hem", true, 1).unwrap();
    assert_eq!(status, 200, "{body}");
}
