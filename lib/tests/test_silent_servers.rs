//! When a server of a plain service counts as silent.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use comfreymux_lib::cluster::silent_servers::SilentServers;

const SERVICE: &str = "booking";

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_mins(1) + Duration::from_millis(millis)
}

fn server(id: &str) -> ServerInstance {
    ServerInstance { id: id.into(), born: None }
}

/// Returns servers of a service whose responses take `millis`.
fn usual(millis: u64) -> SilentServers {
    let mut servers = SilentServers::default();
    for n in 0..100 {
        let sent_at = at(0).saturating_sub(Duration::from_millis(20_000 - n * 100));
        servers.record_send(&SERVICE.into(), &server("b1"), sent_at);
        servers.record_response(&server("b1"), sent_at, sent_at + Duration::from_millis(millis));
    }
    servers
}

/// Guards against requests being sent to a suspended server until the first one times out.
#[test]
fn noticed_soon() {
    let mut servers = usual(15);
    servers.record_send(&SERVICE.into(), &server("b1"), at(0));
    assert!(!servers.is_doubtful(&server("b1"), at(40)));
    assert!(servers.is_doubtful(&server("b1"), at(60)), "others are preferred");
    assert!(!servers.is_silent(&server("b1"), at(100)));
    assert!(servers.is_silent(&server("b1"), at(200)));
    servers.record_response(&server("b1"), at(0), at(300));
    assert!(!servers.is_silent(&server("b1"), at(300)));
}

/// Guards against servers that take long as usual being avoided.
#[test]
fn slow_usual() {
    for (time, pause) in [(300, 1500), (5000, 8000)] {
        let mut servers = usual(time);
        servers.record_send(&SERVICE.into(), &server("b1"), at(0));
        assert!(!servers.is_silent(&server("b1"), at(pause)), "{time} ms are usual");
    }
}

/// Guards against the late responses of servers that stood still making the next ones count as silent too late.
#[test]
fn late_responses() {
    let mut servers = usual(15);
    for n in 0..4 {
        servers.record_send(&SERVICE.into(), &server("b1"), at(n * 5000));
        servers.record_response(&server("b1"), at(n * 5000), at(n * 5000 + 4000));
    }
    servers.record_send(&SERVICE.into(), &server("b1"), at(30_000));
    assert!(servers.is_silent(&server("b1"), at(30_300)));
}

/// Guards against a busy server that responds to some requests being avoided for one that takes long.
#[test]
fn others_answered() {
    let mut servers = usual(15);
    servers.record_send(&SERVICE.into(), &server("b1"), at(0));
    servers.record_send(&SERVICE.into(), &server("b1"), at(100));
    servers.record_response(&server("b1"), at(100), at(115));
    assert!(!servers.is_silent(&server("b1"), at(400)));
}

/// Guards against each daemon sending a request of its own to a server that one of them waits for.
#[test]
fn peers_believed() {
    let mut servers = usual(15);
    servers.record_peer(&SERVICE.into(), &server("b2"), Duration::from_millis(200), at(0));
    assert!(servers.is_silent(&server("b2"), at(1000)));
    assert!(servers.own(at(1000)).is_empty(), "peers' reports are not passed on");
    assert!(!servers.is_silent(&server("b2"), at(1300)), "the report is not renewed");
}

/// Guards against a peer whose own path is cut keeping this daemon from a server that responds to it.
#[test]
fn own_response() {
    let mut servers = usual(15);
    servers.record_send(&SERVICE.into(), &server("b1"), at(0));
    servers.record_response(&server("b1"), at(0), at(15));
    servers.record_peer(&SERVICE.into(), &server("b1"), Duration::from_millis(600), at(500));
    assert!(!servers.is_silent(&server("b1"), at(500)));
    servers.record_peer(&SERVICE.into(), &server("b1"), Duration::from_millis(400), at(500));
    assert!(servers.is_silent(&server("b1"), at(500)), "it has not responded since");
}

/// Guards against a server that gets a request again after a long silence, and is never found silent any more.
#[test]
fn found_again() {
    let mut servers = usual(15);
    servers.record_send(&SERVICE.into(), &server("b1"), at(0));
    assert_eq!(servers.take_new(at(200)), [server("b1")]);
    assert!(!servers.is_silent(&server("b1"), at(12_000)), "it gets a request again");
    servers.record_send(&SERVICE.into(), &server("b1"), at(12_000));
    assert_eq!(servers.take_new(at(12_200)), [server("b1")]);
}

/// Guards against health checks without end, or none at all.
#[test]
fn checks_due() {
    let mut servers = usual(15);
    servers.record_send(&SERVICE.into(), &server("b1"), at(0));
    let due = |servers: &mut SilentServers| {
        (0..80).filter(|n| !servers.take_due(at(n * 100)).is_empty()).count()
    };
    let count = due(&mut servers);
    assert!((4..=8).contains(&count), "{count} checks in eight seconds");
    servers.record_sign(&server("b1"), at(8000));
    assert_eq!(due(&mut servers), 0);
}

/// Returns servers of a service of which b1 was stalled from 0 to 3 s.
fn stood_still() -> SilentServers {
    let mut servers = usual(15);
    servers.record_send(&SERVICE.into(), &server("b1"), at(0));
    servers.record_response(&server("b1"), at(0), at(3000));
    servers
}

/// Guards against a wasted request at each stall after the first one.
#[test]
fn asked_first() {
    let mut servers = stood_still();
    let must_ask = |servers: &SilentServers, id: &str, service: &str, millis| {
        servers.must_confirm(service, &server(id), at(millis))
    };
    assert!(!must_ask(&servers, "b1", SERVICE, 3001), "it has just responded");
    assert!(must_ask(&servers, "b1", SERVICE, 3500));
    assert!(must_ask(&servers, "b2", SERVICE, 3500), "another server may stand still, too");
    assert!(!must_ask(&servers, "b1", "other", 3500));
    assert!(must_ask(&servers, "b3", "other", 3500), "it has never responded");
    assert!(must_ask(&servers, "b1", SERVICE, 5 * 3_600_000));
    assert!(!must_ask(&servers, "b1", SERVICE, 7 * 3_600_000));
    assert_eq!(servers.take_unsteady(), [SERVICE]);
    assert!(servers.take_unsteady().is_empty());
}

/// Guards against health checks for requests of a service without a stall: one response is slow, one connection ended.
#[test]
fn others_unasked() {
    let mut servers = usual(15);
    servers.record_send(&SERVICE.into(), &server("b1"), at(0));
    servers.record_check(&server("b1"), at(420));
    servers.record_send(&SERVICE.into(), &server("b2"), at(0));
    servers.record_sign(&server("b2"), at(3000));
    assert!(!servers.must_confirm(SERVICE, &server("b1"), at(4000)));
    assert!(servers.take_unsteady().is_empty());
}

/// Guards against a wasted request of each daemon where a peer has reported the stall.
#[test]
fn peer_standstill() {
    for (age, must_ask) in [(500, false), (1000, true)] {
        let mut servers = usual(15);
        let age = Duration::from_millis(age);
        servers.record_peer(&SERVICE.into(), &server("b2"), age, at(1000));
        assert!(!servers.must_confirm(SERVICE, &server("b1"), at(3000)), "b2 may be dead");
        servers.record_send(&SERVICE.into(), &server("b2"), at(3000));
        servers.record_response(&server("b2"), at(3000), at(3015));
        assert_eq!(servers.must_confirm(SERVICE, &server("b1"), at(3500)), must_ask);
    }
}

/// Guards against wasted requests of a new process, which has no record of earlier stalls.
#[test]
fn learns_first() {
    let mut servers = SilentServers::new(at(0));
    servers.record_send(&SERVICE.into(), &server("b1"), at(0));
    servers.record_response(&server("b1"), at(0), at(15));
    assert!(servers.must_confirm(SERVICE, &server("b1"), at(60_000)));
    assert!(!servers.must_confirm(SERVICE, &server("b1"), at(11 * 60_000)));
}

/// Guards against a server that answers no health checks, though it serves requests, getting none for ever.
#[test]
fn checks_futile() {
    let mut servers = SilentServers::new(at(0));
    let must_ask =
        |servers: &SilentServers, millis| servers.must_confirm(SERVICE, &server("b1"), at(millis));
    for n in 0..5 {
        servers.record_ask(&server("b1"), at(n * 100));
        servers.record_send(&SERVICE.into(), &server("b1"), at(n * 100));
    }
    assert!(must_ask(&servers, 9_900));
    assert!(!must_ask(&servers, 10_100));
    servers.record_response(&server("b1"), at(10_200), at(10_215));
    assert!(!must_ask(&servers, 11_000), "a response is no answer to a health check");
    servers.record_check(&server("b1"), at(12_000));
    assert!(must_ask(&servers, 13_000));
}
