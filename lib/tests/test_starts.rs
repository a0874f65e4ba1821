//! Tests how daemons distinguish the instances of a server that restarts under the same id.

use std::time::Duration;

use bytes::Bytes;
use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::digest::LoadedModelReport;
use comfreymux_lib::cluster::digest::ServerDeparture;
use comfreymux_lib::cluster::directory::Change;
use comfreymux_lib::cluster::directory::Directory;
use comfreymux_lib::cluster::directory::LoadedModel;
use comfreymux_lib::cluster::directory::Server;
use comfreymux_lib::cluster::directory::WeightCopies;
use comfreymux_lib::cluster::engine_inventories::EngineInventories;
use comfreymux_lib::cluster::engine_inventories::EngineInventory;
use comfreymux_lib::cluster::latest_instances::InstanceOrder;
use comfreymux_lib::cluster::server_health::Evidence;
use comfreymux_lib::cluster::server_health::ServerHealth;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use comfreymux_lib::cluster::workloads::ReportedWorkload;
use comfreymux_lib::cluster::workloads::Workload;
use comfreymux_lib::cluster::workloads::WorkloadKey;
use comfreymux_lib::cluster::workloads::Workloads;
use comfreymux_lib::ids::StartTime;
use comfreymux_lib::placement::engine_table::AdapterJob;
use comfreymux_lib::placement::engine_table::LoadJob;
use comfreymux_lib::placement::engine_table::Source;
use comfreymux_lib::placement::fetch_limiter::FetchLimiter;
use comfreymux_lib::protocol::EngineReport;
use comfreymux_testutils::placing_site::NOW;
use comfreymux_testutils::placing_site::SERVICE;
use comfreymux_testutils::placing_site::Site;

const FIRST: StartTime = 1_000;
const SECOND: StartTime = 2_000;
const THIRD: StartTime = 3_000;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn loaded_model(name: &str) -> LoadedModel {
    LoadedModel { name: name.into(), adapters: Vec::new() }
}

fn server(born: Option<StartTime>, count: u64, models: &[&str]) -> Server {
    Server {
        id: "e1".into(),
        service: SERVICE.into(),
        addr: "127.0.0.1:9000".parse().expect("a valid address"),
        centre: "north".into(),
        slots: 8,
        leaving: false,
        models: models.iter().map(|m| loaded_model(m)).collect(),
        copies: WeightCopies {
            memory: models.iter().map(|m| (*m).into()).collect(),
            disk: Vec::new(),
        },
        version: "v1".into(),
        heartbeat: count,
        born,
    }
}

fn instance(born: StartTime) -> ServerInstance {
    ServerInstance { id: "e1".into(), born: Some(born) }
}

fn put(directory: &mut Directory, server: Server, now: u64) -> Change {
    directory.put(server, Bytes::new(), ms(now))
}

fn models(directory: &Directory) -> Vec<&str> {
    let server = directory.get("e1").expect("the server is listed");
    server.models.iter().map(|m| m.name.as_str()).collect()
}

/// An engine crashes and restarts under its id without its models, and its heartbeats count from one. If its
/// entries were taken for old ones until the count passes the last one before the crash, requests would still
/// be sent there for the lost models.
#[test]
fn lower_beat() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    assert_eq!(put(&mut directory, server(Some(SECOND), 1, &[]), 9_000), Change::Restarted);
    assert!(models(&directory).is_empty());
    assert_eq!(directory.get("e1").expect("the server is listed").heartbeat, 1);
}

/// A peer that was unreachable relays the entry that it last read. The engine has restarted since; the old
/// entry must not bring its models back, although its heartbeat count is higher.
#[test]
fn late_entry() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(SECOND), 1, &[]), 0);
    let old = Server { leaving: true, ..server(Some(FIRST), 70, &["hem"]) };
    assert_eq!(put(&mut directory, old, 100), Change::None);
    assert!(models(&directory).is_empty());
    let now = directory.get("e1").expect("the server is listed");
    assert_eq!((now.leaving, now.heartbeat, now.born), (false, 1, Some(SECOND)));
    assert!(directory.recent_departures(ms(100)).is_empty());
}

/// An engine crashes twice within a second, and its entries arrive out of order: the latest instance's first,
/// then the one before. The latest must be kept.
#[test]
fn quick_starts() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    assert_eq!(put(&mut directory, server(Some(THIRD), 1, &["cuff"]), 500), Change::Restarted);
    assert_eq!(put(&mut directory, server(Some(SECOND), 2, &["veil"]), 600), Change::None);
    assert_eq!(models(&directory), ["cuff"]);
    assert_eq!(put(&mut directory, server(Some(THIRD), 2, &["cuff"]), 700), Change::None);
    assert_eq!(directory.get("e1").expect("the server is listed").heartbeat, 2);
}

/// An entry with the same start time but a lower heartbeat count is an old entry of this instance, read again
/// after the store lost its history. It must be ignored.
#[test]
fn same_start() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    assert_eq!(put(&mut directory, server(Some(FIRST), 1, &[]), 100), Change::None);
    assert_eq!(models(&directory), ["hem"]);
    assert_eq!(directory.get("e1").expect("the server is listed").heartbeat, 70);
}

/// Entries of servers that do not report a start time must be ordered by their heartbeats alone.
#[test]
fn startless_kept() {
    let mut directory = Directory::default();
    put(&mut directory, server(None, 70, &["hem"]), 0);
    assert_eq!(put(&mut directory, server(None, 1, &[]), 100), Change::None);
    assert_eq!(
        directory.apply_departure(
            &ServerDeparture { server: "e1".into(), heartbeat: 70, announced: false },
            ms(100)
        ),
        Change::Leaving
    );
    assert_eq!(put(&mut directory, server(None, 71, &[]), 200), Change::None);
    assert!(directory.get("e1").expect("the server is listed").leaving);
}

/// A server gives notice, leaves and restarts under its id. The new instance must get requests: if all
/// servers of a service did this, callers would be refused for lack of a server.
#[test]
fn leaver_usable() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &[]), 0);
    put(&mut directory, Server { leaving: true, ..server(Some(FIRST), 71, &[]) }, 100);
    assert_eq!(put(&mut directory, server(Some(SECOND), 1, &[]), 900), Change::Restarted);
    assert!(!directory.get("e1").expect("the server is listed").leaving);
    assert_eq!(directory.remove("e1", ms(2_000)), Change::Removed);
    assert_eq!(put(&mut directory, server(Some(THIRD), 1, &[]), 2_500), Change::Joined);
    assert!(!directory.get("e1").expect("the server is listed").leaving);
}

/// A peer reports for four seconds that a server left, while the server has already restarted. The report is
/// about the previous instance and must not keep requests from the new one permanently.
#[test]
fn left_older() {
    let mut early = Directory::default();
    let mut late = Directory::default();
    put(&mut early, server(Some(FIRST), 70, &[]), 0);
    put(&mut late, server(Some(FIRST), 70, &[]), 0);
    assert_eq!(late.remove("e1", ms(1_000)), Change::Removed);
    put(&mut early, server(Some(SECOND), 1, &[]), 1_500);
    for left in late.recent_departures(ms(1_600)) {
        assert_eq!(early.apply_departure(&left, ms(1_600)), Change::None);
    }
    assert!(!early.get("e1").expect("the server is listed").leaving);
}

/// A server restarts and leaves again before its entry is read here. A peer's report that the newer instance
/// left must also end the older one.
#[test]
fn left_newer() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    let departure = ServerDeparture { server: instance(SECOND), heartbeat: 1, announced: false };
    assert_eq!(directory.apply_departure(&departure, ms(100)), Change::Leaving);
    assert!(models(&directory).is_empty());
    assert_eq!(put(&mut directory, server(Some(SECOND), 1, &["hem"]), 200), Change::None);
    assert!(directory.get("e1").expect("the server is listed").leaving);
}

/// A server's second instance was listed and removed. An entry of its first instance that is relayed late
/// must not bring the removed server back, or requests would be sent to it.
#[test]
fn gone_remembered() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(SECOND), 1, &[]), 100_000);
    assert_eq!(directory.remove("e1", ms(100_100)), Change::Removed);
    directory.sweep(ms(150_000));
    assert_eq!(put(&mut directory, server(Some(FIRST), 70, &["hem"]), 150_100), Change::None);
    assert!(directory.get("e1").is_none());
    // Long after the last relay of the old entry, the id may be used by a new server again.
    directory.sweep(ms(400_000));
    assert_eq!(put(&mut directory, server(Some(FIRST), 1, &[]), 400_100), Change::Joined);
}

/// The store is unavailable, and only peers report the new instance. Until its entry is read, the server
/// keeps its address, but not its models or its notice to leave.
#[test]
fn word_first() {
    let mut directory = Directory::default();
    put(&mut directory, Server { leaving: true, ..server(Some(FIRST), 70, &["hem"]) }, 0);
    assert_eq!(directory.observe_instance(&instance(SECOND), ms(100)), InstanceOrder::Newer);
    let now = directory.get("e1").expect("the server is listed");
    assert_eq!((now.leaving, now.heartbeat, now.born), (false, 0, Some(SECOND)));
    assert!(now.models.is_empty() && now.copies == WeightCopies::default());
    assert!(!directory.is_current(&instance(FIRST)));
    assert_eq!(directory.observe_instance(&instance(FIRST), ms(200)), InstanceOrder::Older);
    assert_eq!(directory.observe_instance(&instance(SECOND), ms(300)), InstanceOrder::Same);
    assert_eq!(put(&mut directory, server(Some(SECOND), 1, &["cuff"]), 400), Change::Updated);
    assert_eq!(models(&directory), ["cuff"]);
}

/// The store is unavailable and entries lapse. A server whose entry lapsed restarts and is reported by a
/// peer: it must not be removed with the servers whose entries did not return.
#[test]
fn lapse_ended() {
    let mut directory = Directory::default();
    directory.record_read(ms(0));
    put(&mut directory, server(Some(FIRST), 70, &[]), 0);
    directory.record_read(ms(9_000));
    assert_eq!(directory.remove("e1", ms(9_000)), Change::Lapsed);
    directory.observe_instance(&instance(SECOND), ms(9_500));
    assert!(directory.sweep(ms(12_000)).is_empty());
    assert!(directory.is_current(&instance(SECOND)));
}

/// The lease holder's inventory of an engine arrives after the engine has restarted. Requests must not be
/// sent there for models of the previous instance, however many orders that instance had accepted.
#[test]
fn holding_older() {
    let mut inventories = EngineInventories::default();
    let loaded = |name: &str| LoadedModelReport { name: name.into(), adapters: Vec::new() };
    let inventory =
        |born: StartTime, sequence: u64, heartbeat: u64, models: &[&str]| EngineInventory {
            server: instance(born),
            sequence,
            heartbeat,
            models: models.iter().map(|m| loaded(m)).collect(),
            pending: Vec::new(),
        };
    let now = server(Some(SECOND), 1, &[]);
    assert!(inventories.put(7, inventory(FIRST, 12, 70, &["hem"]), ms(0)));
    assert!(!inventories.holds(&now, "hem", None));
    assert!(inventories.put(7, inventory(SECOND, 1, 1, &["cuff"]), ms(100)));
    assert!(inventories.put(7, inventory(FIRST, 13, 1, &["hem"]), ms(200)));
    assert!(inventories.holds(&now, "cuff", None) && !inventories.holds(&now, "hem", None));
}

/// A crashed server is avoided for up to four seconds, but may restart at once. Neither the pause of the
/// previous instance nor a late failure of it may keep requests from the new one.
#[test]
fn pause_gone() {
    let mut health = ServerHealth::default();
    let service = SERVICE.into();
    for n in 0..8 {
        health.record(&service, &instance(FIRST), ms(n * 5_000), Evidence::Unreachable);
    }
    assert!(health.is_avoided(&instance(FIRST), ms(35_100)));
    assert!(!health.is_avoided(&instance(SECOND), ms(35_100)));
    health.record(&service, &instance(FIRST), ms(40_000), Evidence::Unreachable);
    assert!(!health.is_unreachable(&instance(SECOND), ms(40_100)));
}

/// A server restarts while requests of this daemon and its peers still count as in progress at the previous
/// instance, because their connections have not broken yet. They must not count for the new, idle instance,
/// or new requests would avoid it.
#[test]
fn loads_apart() {
    let workloads = Workloads::default();
    let key = |born: StartTime| WorkloadKey { server: instance(born), model: None };
    let running = workloads.begin(key(FIRST), 500);
    let workload = Workload { running: 4, prompt_tokens: 900 };
    workloads.set_peer(&"d2".into(), ms(0), vec![(key(FIRST), workload)]);
    workloads.set_reported(
        &instance(FIRST),
        ms(0),
        ReportedWorkload { running: 9, waiting: 3, slots: 8, slowdown_percent: None },
    );
    assert_eq!(workloads.workload_at(&instance(FIRST), ms(100)).running, 12);
    assert_eq!(workloads.workload_at(&instance(SECOND), ms(100)), Workload::default());
    let again = workloads.begin(key(SECOND), 100);
    drop(running);
    assert_eq!(
        workloads.workload_at(&instance(SECOND), ms(200)),
        Workload { running: 1, prompt_tokens: 100 }
    );
    drop(again);
}

/// An engine restarts while a load and an adapter load are in progress there. The lease holder must plan from
/// an empty engine and expect only the orders that the new instance reports.
#[test]
fn ledger_anew() {
    let mut site = Site::new(&[("hem", 60_000, 1), ("cuff", 60_000, 0)]);
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    assert!(site.engine_table.update_from_directory(&directory, &site.config, NOW).is_empty());
    let job = LoadJob {
        model: "cuff".into(),
        victims: Vec::new(),
        source: Source::Store,
        started_at: ms(0),
        eta: ms(6_000),
    };
    let engine =
        site.engine_table.engine_mut(&instance(FIRST)).expect("the engine is in the table");
    engine.sequence = 12;
    engine.confirmed = true;
    engine.load_job = Some(job);
    engine.adapter_jobs = vec![AdapterJob {
        model: "hem".into(),
        adapter: "a1".into(),
        victim: None,
        eta: ms(6_000),
    }];
    engine.last_used.insert("hem".into(), ms(0));
    put(&mut directory, server(Some(SECOND), 1, &[]), 1_000);
    assert_eq!(
        site.engine_table.update_from_directory(&directory, &site.config, NOW),
        [instance(FIRST)]
    );
    assert!(site.engine_table.engine_mut(&instance(FIRST)).is_none());
    let engine =
        site.engine_table.engine_mut(&instance(SECOND)).expect("the engine is in the table");
    assert!(
        engine.models.is_empty() && engine.memory_copies.is_empty() && engine.last_used.is_empty()
    );
    assert!(engine.load_job.is_none() && engine.adapter_jobs.is_empty());
    assert_eq!((engine.sequence, engine.confirmed), (0, false));
    let report = EngineReport {
        models: Vec::new(),
        copies: WeightCopies { memory: Vec::new(), disk: vec!["hem".into()] },
        busy: false,
        sequence: 1,
        born: Some(SECOND),
    };
    engine.apply_report(&report, NOW);
    assert_eq!((engine.sequence, engine.source("hem")), (1, Source::Disk));
}

/// A daemon gets the lease for the second time, and an engine has restarted in between. The order count from
/// the first lease is higher than any that the engine reports now; if it were kept, the engine would get no
/// orders.
#[test]
fn tenure_between() {
    let mut site = Site::new(&[("hem", 60_000, 0)]);
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    site.engine_table.update_from_directory(&directory, &site.config, NOW);
    site.engine_table.engine_mut(&instance(FIRST)).expect("the engine is in the table").sequence =
        12;
    put(&mut directory, server(Some(SECOND), 40, &["hem"]), 60_000);
    site.engine_table.invalidate_all();
    site.engine_table.update_from_directory(&directory, &site.config, NOW);
    assert_eq!(
        site.engine_table
            .engine_mut(&instance(SECOND))
            .expect("the engine is in the table")
            .sequence,
        0
    );
}

/// An engine restarts during a load from the weight store and loads another model. The previous instance's
/// load must not count as concurrent with the new one, and its end must not end the new one.
#[test]
fn pace_apart() {
    let mut limiter = FetchLimiter::new(ms(0));
    limiter.record_start(&instance(FIRST), ms(6_000), 0, ms(0));
    limiter.record_end(&instance(FIRST), false, ms(1_000));
    limiter.record_start(&instance(SECOND), ms(6_000), 0, ms(1_000));
    // If the new load counted as the second of two, it would be expected to take twice as long at a store
    // that serves one at a time, and its end on time would prove that the store serves two.
    limiter.record_end(&instance(FIRST), true, ms(2_000));
    limiter.record_end(&instance(SECOND), true, ms(7_000));
    assert_eq!(limiter.share().proven, 1);
}

/// Returns the directories of two daemons that had a server's entry and saw it end, the second one 100 ms
/// before the first.
fn entry_ended() -> (Directory, Directory) {
    let mut early = Directory::default();
    let mut late = Directory::default();
    put(&mut early, server(Some(FIRST), 1, &[]), 0);
    put(&mut late, server(Some(FIRST), 1, &[]), 0);
    assert_eq!(late.remove("e1", ms(10_000)), Change::Removed);
    assert_eq!(early.remove("e1", ms(10_100)), Change::Removed);
    (early, late)
}

/// A server cannot reach the store, its entry expires, and it returns three seconds later. A peer that saw
/// the entry end still reports that the server left, which must not keep requests from the server until its
/// next restart.
#[test]
fn returned_usable() {
    let (mut early, mut late) = entry_ended();
    put(&mut early, server(Some(FIRST), 18, &[]), 13_000);
    for left in late.recent_departures(ms(13_100)) {
        early.apply_departure(&left, ms(13_100));
    }
    assert_eq!(early.confirm_returns(ms(19_200)), ["e1"]);
    assert!(!early.get("e1").expect("the server is listed").leaving);
    put(&mut early, server(Some(FIRST), 19, &["hem"]), 19_300);
    for left in late.recent_departures(ms(13_900)) {
        assert_eq!(early.apply_departure(&left, ms(19_400)), Change::None);
    }
    assert!(!early.get("e1").expect("the server is listed").leaving);
}

/// A server leaves without notice while the store is slow: its last heartbeat is written after its entry was
/// removed. This is no sign that the server runs, and it must get no requests until that entry ends too.
#[test]
fn heartbeat_late() {
    let (mut early, mut late) = entry_ended();
    put(&mut early, server(Some(FIRST), 13, &[]), 12_000);
    for left in late.recent_departures(ms(12_100)) {
        assert_eq!(early.apply_departure(&left, ms(12_100)), Change::Leaving);
    }
    assert_eq!(put(&mut early, server(Some(FIRST), 14, &[]), 12_500), Change::None);
    assert!(early.confirm_returns(ms(17_000)).is_empty());
    assert!(early.get("e1").expect("the server is listed").leaving);
}

/// The store refuses a daemon's calls, so that the daemon never sees an entry end. A peer's report is about
/// the same entry that the daemon has, and the server must not become usable again, however much time passes.
#[test]
fn word_kept() {
    let mut early = Directory::default();
    let (_, mut late) = entry_ended();
    put(&mut early, server(Some(FIRST), 1, &[]), 0);
    for left in late.recent_departures(ms(10_200)) {
        assert_eq!(early.apply_departure(&left, ms(10_200)), Change::Leaving);
    }
    assert!(early.confirm_returns(ms(60_000)).is_empty());
    assert!(early.get("e1").expect("the server is listed").leaving);
}
