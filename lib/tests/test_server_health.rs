//! Tests which backend servers are avoided.

use std::time::Duration;

use comfreymux_lib::cluster::server_health::Evidence;
use comfreymux_lib::cluster::server_health::ServerHealth;
use smol_str::SmolStr;

struct Fixture {
    health: ServerHealth,
    now: Duration,
}

impl Fixture {
    fn new() -> Self {
        Self { health: ServerHealth::default(), now: Duration::from_secs(1) }
    }

    fn record(&mut self, server: &str, evidence: Evidence) -> Option<Duration> {
        self.now += Duration::from_millis(20);
        self.health.record(&SmolStr::new("draft"), &server.into(), self.now, evidence)
    }

    fn is_avoided(&self, server: &str) -> bool {
        self.health.is_avoided(&server.into(), self.now)
    }
}

/// An unreachable server must be avoided at once: each request that is sent to it loses a third of a second.
#[test]
fn unreachable_avoided() {
    let mut fixture = Fixture::new();
    assert!(fixture.record("a", Evidence::Unreachable).is_some());
    assert!(fixture.is_avoided("a"));
    assert!(!fixture.is_avoided("b"));
}

/// A seventh of a service's responses are failures, on every server alike. If these counted against the
/// servers, all of them would be avoided.
#[test]
fn usual_failures() {
    let mut fixture = Fixture::new();
    for round in 0..700 {
        let evidence = if round % 7 == 0 { Evidence::Failed } else { Evidence::Sound };
        for server in ["a", "b", "c"] {
            assert_eq!(fixture.record(server, evidence), None);
        }
    }
}

/// A server that fails half of its requests must be avoided, even though it passes its health checks.
#[test]
fn grey_avoided() {
    let mut fixture = Fixture::new();
    let mut paused = false;
    for round in 0..40 {
        fixture.record("b", Evidence::Sound);
        let evidence = if round % 2 == 0 { Evidence::Failed } else { Evidence::Sound };
        paused |= fixture.record("a", evidence).is_some();
    }
    assert!(paused);
}

/// A server that was avoided several times must be used again within seconds after it recovers, and
/// successful responses must reset its pause to the first length.
#[test]
fn recovered_used() {
    let mut fixture = Fixture::new();
    for _ in 0..10 {
        fixture.record("a", Evidence::Unreachable);
        fixture.now += Duration::from_secs(5);
    }
    assert!(!fixture.is_avoided("a"));
    for _ in 0..30 {
        fixture.record("a", Evidence::Sound);
    }
    let pause = fixture.record("a", Evidence::Unreachable).expect("the second pause begins");
    assert!(pause <= Duration::from_millis(500));
}

/// A crashed engine stays listed for seconds. It must be marked as unreachable, unlike one that only fails
/// requests: the models that it had loaded must be loaded elsewhere.
#[test]
fn crashed_dark() {
    let mut fixture = Fixture::new();
    fixture.record("a", Evidence::Unreachable);
    assert!(fixture.health.is_unreachable(&"a".into(), fixture.now));
    for _ in 0..20 {
        fixture.record("b", Evidence::Failed);
    }
    assert!(fixture.is_avoided("b"));
    assert!(!fixture.health.is_unreachable(&"b".into(), fixture.now));
}
