//! Replicas of busy models: how many, and which engines.

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

/// Demand moves to a model with one replica; it needs more before its queue grows.
#[test]
fn replica_added() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("riser", 70_000, 0)]);
    site.engine("e1", &["riser", "a"], &[]);
    site.engine("e22", &["a", "b"], &["riser"]);
    site.busy("riser", 6);
    let plan = site.plan();
    assert_eq!(load_of(&plan, "riser").expect("a second replica").0, "e22");
}

/// Engines with copies of a busy model were at work for another second when it needed a replica. It was
/// fetched from the weight store, which took 13 s, and those that lay on no host waited behind it.
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

/// A model's callers rise from eight a second to twenty-four within two seconds. Counted over six
/// seconds its arrivals ask for three replicas; a quarter of the first events came late until more were
/// added.
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
        let note = DemandReport { queued: Vec::new(), arrivals: vec![count(total)] };
        site.demand.update(&"d1".into(), note, NOW.saturating_sub(Duration::from_secs(seconds)));
    }
    assert_eq!(load_of(&site.plan(), "hot").map(|l| l.0), Some("e4444"));
}

/// Streams of a model take longer than its arrivals tell: most slots of its engines are taken, and new
/// requests wait for one.
#[test]
fn full_relieved() {
    let mut site = Site::new(&["a", "b", "c", "d", "hot"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["hot", "a"], &[]);
    site.engine("e22", &["hot", "b"], &[]);
    site.engine("e333", &["c", "d"], &["hot"]);
    site.busy("hot", 1);
    assert_eq!(load_of(&site.plan(), "hot"), None);
    let place = |server: &str| WorkloadKey { server: server.into(), model: Some("hot".into()) };
    let running: Vec<_> =
        (0..80).map(|n| site.loads.begin(place(["e1", "e22"][n % 2]), 100)).collect();
    assert_eq!(load_of(&site.plan(), "hot").map(|l| l.0), Some("e333"));
    drop(running);
}

/// The last replicas of what most callers ask for must not make way for one rare request.
#[test]
fn busy_stays() {
    let mut site = Site::new(&[("a", 100_000, 0), ("b", 100_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &["rare"]);
    site.busy("a", 3);
    site.add_queued("rare", None);
    let plan = site.plan();
    assert_eq!(load_of(&plan, "rare").expect("loaded").1, ["b"]);
}

/// A rare model is put on the engine that serves the busiest one, where each arrival's prompt stops its stream, while
/// an engine with as much to give up is quiet.
#[test]
fn quiet_engine() {
    let mut site = Site::new(&["hot", "a", "b", "c", "rare"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["hot", "a"], &["rare"]);
    site.engine("e22", &["b", "c"], &["rare"]);
    site.engine("e333", &["hot"], &[]);
    site.busy("hot", 6);
    site.add_queued("rare", None);
    assert_eq!(load_of(&site.plan(), "rare").expect("loaded").0, "e22");
}
