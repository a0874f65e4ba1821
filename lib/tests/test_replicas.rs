//! Placement of replicas of busy models: their number and their engines.

use std::time::Duration;

use comfreymux_lib::cluster::digest::ArrivalCount;
use comfreymux_lib::cluster::digest::DemandReport;
use comfreymux_lib::cluster::workloads::WorkloadKey;
use comfreymux_lib::placement::engine_table::LoadJob;
use comfreymux_lib::placement::engine_table::Source;
use comfreymux_testutils::placing_site::NOW;
use comfreymux_testutils::placing_site::SERVICE;
use comfreymux_testutils::placing_site::Site;
use comfreymux_testutils::placing_site::load_of;

/// Demand shifts to a model with one replica, which needs another before its queue grows.
#[test]
fn replica_added() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("riser", 70_000, 0)]);
    site.engine("e1", &["riser", "a"], &[]);
    site.engine("e22", &["a", "b"], &["riser"]);
    site.busy("riser", 6);
    let plan = site.plan();
    assert_eq!(load_of(&plan, "riser").expect("plan loads a second replica").0, "e22");
}

/// A busy model needed a replica while the engines with local copies were busy loading for another
/// second. It was fetched from the weight store instead, which took 13 s and delayed the fetches of
/// models without any local copy.
#[test]
fn copy_awaited() {
    let mut site = Site::new(&["a", "b", "c", "d", "busy"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["busy", "a"], &[]);
    site.engine("e22", &["b", "c"], &["busy"]).load_job = Some(LoadJob {
        model: "d".into(),
        victims: vec!["b".into()],
        source: Source::Disk,
        started_at: NOW,
        eta: NOW + Duration::from_millis(900),
    });
    site.engine("e333", &["a", "d"], &[]);
    site.busy("busy", 3);
    assert_eq!(load_of(&site.plan(), "busy"), None);
}

/// The arrival rate of a model rises from 8 to 24 requests per second within two seconds. Averaged
/// over six seconds it requires only three replicas; a quarter of the first events came late until
/// more were added.
#[test]
fn peak_followed() {
    let mut site = Site::new(&["a", "b", "c", "d", "e", "f", "hot"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["hot", "a"], &[]);
    site.engine("e22", &["hot", "b"], &[]);
    site.engine("e333", &["hot", "c"], &[]);
    site.engine("e4444", &["d", "e"], &["hot"]);
    let count =
        |count| ArrivalCount { service: SERVICE.into(), model: "hot".into(), adapter: None, count };
    for (seconds, total) in [(10, 0), (8, 16), (6, 32), (4, 48), (2, 64), (0, 112)] {
        let report = DemandReport { queued: Vec::new(), arrivals: vec![count(total)] };
        site.demand.update(&"d1".into(), report, NOW.saturating_sub(Duration::from_secs(seconds)));
    }
    assert_eq!(load_of(&site.plan(), "hot").map(|l| l.0), Some("e4444"));
}

/// Streams of a model take longer than its arrival rate suggests: most slots of its engines are in
/// use, and new requests wait for one.
#[test]
fn full_relieved() {
    let mut site = Site::new(&["a", "b", "c", "d", "hot"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["hot", "a"], &[]);
    site.engine("e22", &["hot", "b"], &[]);
    site.engine("e333", &["c", "d"], &["hot"]);
    site.busy("hot", 1);
    assert_eq!(load_of(&site.plan(), "hot"), None);
    let replica_key =
        |server: &str| WorkloadKey { server: server.into(), model: Some("hot".into()) };
    let running: Vec<_> =
        (0..80).map(|n| site.loads.begin(replica_key(["e1", "e22"][n % 2]), 100)).collect();
    assert_eq!(load_of(&site.plan(), "hot").map(|l| l.0), Some("e333"));
    drop(running);
}

/// The last replica of a busy model must not be evicted for one request to a rare model.
#[test]
fn busy_stays() {
    let mut site = Site::new(&[("a", 100_000, 0), ("b", 100_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &["rare"]);
    site.busy("a", 3);
    site.add_queued("rare", None);
    let plan = site.plan();
    assert_eq!(load_of(&plan, "rare").expect("plan loads the rare model").1, ["b"]);
}

/// A rare model was placed on the engine that serves the busiest model, where the prompt of each
/// arriving request pauses the rare model's stream, though an engine with little traffic could
/// evict as much.
#[test]
fn quiet_engine() {
    let mut site = Site::new(&["hot", "a", "b", "c", "rare"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["hot", "a"], &["rare"]);
    site.engine("e22", &["b", "c"], &["rare"]);
    site.engine("e333", &["hot"], &[]);
    site.busy("hot", 6);
    site.add_queued("rare", None);
    assert_eq!(load_of(&site.plan(), "rare").expect("plan loads the rare model").0, "e22");
}

/// Records that work takes `slowdown` times the usual at an engine.
fn slow_down(site: &Site, engine: &str, slowdown: f64) {
    let server = site.engine_table.engines[engine].server.instance();
    for _ in 0..20 {
        site.slowdowns.record_response(&server, slowdown, NOW);
    }
}

/// Load: as many arrivals as two usual replicas serve, for a model whose two replicas are on engines that take 1.9 times
/// the usual, where a third of the streams have pauses that are too long. Guards against counting them as two.
#[test]
fn slow_count_less() {
    let mut site = Site::new(&["a", "b", "c", "d", "busy"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["busy", "a"], &[]);
    site.engine("e22", &["busy", "b"], &[]);
    site.engine("e333", &["c", "d"], &["busy"]);
    site.busy("busy", 1);
    assert_eq!(load_of(&site.plan(), "busy"), None, "two usual replicas suffice");
    slow_down(&site, "e1", 1.9);
    slow_down(&site, "e22", 1.9);
    slow_down(&site, "e333", 0.7);
    assert_eq!(load_of(&site.plan(), "busy").expect("a third replica").0, "e333");
}

/// Guards against further replicas on engines that are no faster than those which a model has: they would take the place
/// of models that callers may wait for, and change little.
#[test]
fn slower_not_added() {
    let mut site = Site::new(&["a", "b", "c", "d", "busy"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["busy", "a"], &[]);
    site.engine("e22", &["busy", "b"], &[]);
    site.engine("e333", &["c", "d"], &["busy"]);
    site.busy("busy", 1);
    slow_down(&site, "e1", 1.6);
    slow_down(&site, "e22", 1.6);
    slow_down(&site, "e333", 1.9);
    assert_eq!(load_of(&site.plan(), "busy"), None);
}

/// Guards against a busy model being evicted from a fast engine rather than from a slow one that serves few of its
/// requests.
#[test]
fn fast_replica_kept() {
    let mut site = Site::new(&["a", "b", "c", "d", "rare"].map(|n| (n, 70_000, 0)));
    for id in ["e1", "e22"] {
        site.engine(id, &["a", "b"], &["rare"]);
    }
    site.engine("e333", &["a", "b"], &[]);
    site.busy("a", 2);
    site.busy("b", 2);
    slow_down(&site, "e1", 0.8);
    slow_down(&site, "e22", 1.2);
    site.add_queued("rare", None);
    assert_eq!(load_of(&site.plan(), "rare").expect("loaded").0, "e22");
}
