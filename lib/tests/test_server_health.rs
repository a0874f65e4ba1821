//! Which backend servers are avoided.

use std::time::Duration;

use comfreymux_lib::cluster::server_health::Evidence;
use comfreymux_lib::cluster::server_health::ServerHealth;
use smol_str::SmolStr;

struct Bench {
    health: ServerHealth,
    now: Duration,
}

impl Bench {
    fn new() -> Self {
        Self { health: ServerHealth::default(), now: Duration::from_secs(1) }
    }

    fn note(&mut self, server: &str, evidence: Evidence) -> Option<Duration> {
        self.now += Duration::from_millis(20);
        self.health.record(&SmolStr::new("draft"), &server.into(), self.now, evidence)
    }

    fn avoided(&self, server: &str) -> bool {
        self.health.is_avoided(&server.into(), self.now)
    }
}

/// A server cannot be reached; each request that is sent there loses a third of a second.
#[test]
fn unreachable_avoided() {
    let mut bench = Bench::new();
    assert!(bench.note("a", Evidence::Unreachable).is_some());
    assert!(bench.avoided("a"));
    assert!(!bench.avoided("b"));
}

/// A seventh of all answers of a service are failures, from each server alike. Avoiding them in turn
/// would leave none.
#[test]
fn usual_failures() {
    let mut bench = Bench::new();
    for round in 0..700 {
        let evidence = if round % 7 == 0 { Evidence::Failed } else { Evidence::Sound };
        for server in ["a", "b", "c"] {
            assert_eq!(bench.note(server, evidence), None);
        }
    }
}

/// One server fails half of its requests while its health answers are good.
#[test]
fn grey_avoided() {
    let mut bench = Bench::new();
    let mut paused = false;
    for round in 0..40 {
        bench.note("b", Evidence::Sound);
        let evidence = if round % 2 == 0 { Evidence::Failed } else { Evidence::Sound };
        paused |= bench.note("a", evidence).is_some();
    }
    assert!(paused);
}

/// A recovered server is tried again within seconds, and one good answer after another clears it.
#[test]
fn recovered_used() {
    let mut bench = Bench::new();
    for _ in 0..10 {
        bench.note("a", Evidence::Unreachable);
        bench.now += Duration::from_secs(5);
    }
    assert!(!bench.avoided("a"));
    for _ in 0..30 {
        bench.note("a", Evidence::Sound);
    }
    let pause = bench.note("a", Evidence::Unreachable).expect("avoided anew");
    assert!(pause <= Duration::from_millis(500));
}

/// A crashed engine is listed for seconds yet. It must not look like one that merely fails: the
/// models that it held have to be loaded elsewhere.
#[test]
fn crashed_dark() {
    let mut bench = Bench::new();
    bench.note("a", Evidence::Unreachable);
    assert!(bench.health.is_unreachable(&"a".into(), bench.now));
    for _ in 0..20 {
        bench.note("b", Evidence::Failed);
    }
    assert!(bench.avoided("b"));
    assert!(!bench.health.is_unreachable(&"b".into(), bench.now));
}
