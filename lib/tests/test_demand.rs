//! Tests the demand of all daemons as aggregated by the lease holder.

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

fn target() -> ModelTarget {
    ModelTarget { service: "draft".into(), model: "rare".into(), adapter: None, version: None }
}

fn queued(waiting: u32, avoid: &[&str]) -> DemandReport {
    let queued = QueuedDemand {
        service: "draft".into(),
        model: "rare".into(),
        adapter: None,
        waiting,
        remaining_ms: 5_000,
        due_ms: 4_000,
        avoid: avoid.iter().map(|id| (*id).into()).collect(),
    };
    DemandReport { queued: vec![queued], arrivals: Vec::new() }
}

fn count(count: u32) -> DemandReport {
    let count =
        ArrivalCount { service: "draft".into(), model: "rare".into(), adapter: None, count };
    DemandReport { queued: Vec::new(), arrivals: vec![count] }
}

#[test]
fn waits_summed() {
    let mut demand = Demand::default();
    demand.update(&"d1".into(), queued(2, &["e1", "e2"]), ms(100));
    demand.update(&"d2".into(), queued(3, &["e2"]), ms(300));
    let backlogs = demand.backlogs(ms(400));
    let backlog = &backlogs[&target()];
    assert_eq!((backlog.waiting, backlog.since), (5, ms(100)));
    assert_eq!(backlog.avoid, ["e2".into()], "an engine that one daemon can use is not avoided");
}

/// A daemon fails while its requests are queued: nothing may be loaded for them for long.
#[test]
fn silent_forgotten() {
    let mut demand = Demand::default();
    demand.update(&"d1".into(), queued(2, &[]), ms(100));
    assert!(demand.backlogs(ms(5_000)).is_empty());
}

/// A model is queued again after an interruption: the wait starts again.
#[test]
fn pause_ends() {
    let mut demand = Demand::default();
    demand.update(&"d1".into(), queued(1, &[]), ms(100));
    demand.update(&"d1".into(), queued(1, &[]), ms(500));
    assert_eq!(demand.backlogs(ms(600))[&target()].since, ms(100));
    demand.update(&"d1".into(), queued(1, &[]), ms(9_000));
    assert_eq!(demand.backlogs(ms(9_000))[&target()].since, ms(9_000));
}

/// A daemon restarts and counts from zero: neither its first nor its restarted count may appear as
/// a burst.
#[test]
fn restart_counted() {
    let mut demand = Demand::default();
    demand.update(&"d1".into(), count(1_000), ms(100));
    let rate = demand.target_rate(&target(), ms(100));
    assert!(rate < 1.0, "{rate}");
    demand.update(&"d1".into(), count(4), ms(200));
    assert!(demand.target_rate(&target(), ms(200)) < 2.0);
}

/// Rates decay: requests of half a minute ago are no reason to keep a model.
#[test]
fn rate_fades() {
    let mut demand = Demand::default();
    demand.update(&"d1".into(), count(0), ms(0));
    demand.update(&"d1".into(), count(60), ms(1_000));
    assert!(demand.target_rate(&target(), ms(1_000)) > 5.0);
    assert!(demand.target_rate(&target(), ms(31_000)) < 0.2);
}
