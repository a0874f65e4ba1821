//! Demand of all daemons, as the lease holder hears it.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::digest::ArrivalCount;
use comfreymux_lib::cluster::digest::DemandReport;
use comfreymux_lib::cluster::digest::QueuedDemand;
use comfreymux_lib::placement::demand::Demand;
use comfreymux_lib::placement::demand::ModelTarget;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn item() -> ModelTarget {
    ModelTarget { service: "draft".into(), model: "rare".into(), adapter: None }
}

fn want(waiting: u32, avoid: &[&str]) -> DemandReport {
    let want = QueuedDemand {
        service: "draft".into(),
        model: "rare".into(),
        adapter: None,
        waiting,
        remaining_ms: 5_000,
        due_ms: 4_000,
        avoid: avoid.iter().map(|id| (*id).into()).collect(),
    };
    DemandReport { queued: vec![want], arrivals: Vec::new() }
}

fn count(count: u32) -> DemandReport {
    let count =
        ArrivalCount { service: "draft".into(), model: "rare".into(), adapter: None, count };
    DemandReport { queued: Vec::new(), arrivals: vec![count] }
}

#[test]
fn waits_summed() {
    let mut demand = Demand::default();
    demand.update(&"d1".into(), want(2, &["e1", "e2"]), ms(100));
    demand.update(&"d2".into(), want(3, &["e2"]), ms(300));
    let waits = demand.backlogs(ms(400));
    let wait = &waits[&item()];
    assert_eq!((wait.waiting, wait.since), (5, ms(100)));
    assert_eq!(wait.avoid, ["e2".into()], "an engine that one daemon reaches can be used");
}

/// A daemon dies with its waiting requests; nothing must be loaded for them for long.
#[test]
fn silent_forgotten() {
    let mut demand = Demand::default();
    demand.update(&"d1".into(), want(2, &[]), ms(100));
    assert!(demand.backlogs(ms(5_000)).is_empty());
}

/// A wait that ended and another later are two waits: the second has not waited long.
#[test]
fn pause_ends() {
    let mut demand = Demand::default();
    demand.update(&"d1".into(), want(1, &[]), ms(100));
    demand.update(&"d1".into(), want(1, &[]), ms(500));
    assert_eq!(demand.backlogs(ms(600))[&item()].since, ms(100));
    demand.update(&"d1".into(), want(1, &[]), ms(9_000));
    assert_eq!(demand.backlogs(ms(9_000))[&item()].since, ms(9_000));
}

/// A daemon starts anew and counts from zero; its old counts must not make a burst.
#[test]
fn restart_counted() {
    let mut demand = Demand::default();
    demand.update(&"d1".into(), count(1_000), ms(100));
    let rate = demand.target_rate(&item(), ms(100));
    assert!(rate < 1.0, "{rate}");
    demand.update(&"d1".into(), count(4), ms(200));
    assert!(demand.target_rate(&item(), ms(200)) < 2.0);
}

/// Demand moves on; what was asked for half a minute ago is no reason to keep a model.
#[test]
fn rate_fades() {
    let mut demand = Demand::default();
    demand.update(&"d1".into(), count(0), ms(0));
    demand.update(&"d1".into(), count(60), ms(1_000));
    assert!(demand.target_rate(&item(), ms(1_000)) > 5.0);
    assert!(demand.target_rate(&item(), ms(31_000)) < 0.2);
}
