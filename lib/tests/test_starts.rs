//! Servers that start again under the id that they had.

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

fn held(name: &str) -> LoadedModel {
    LoadedModel { name: name.into(), adapters: Vec::new() }
}

fn server(born: Option<StartTime>, beat: u64, models: &[&str]) -> Server {
    Server {
        id: "e1".into(),
        service: SERVICE.into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        centre: "north".into(),
        slots: 8,
        leaving: false,
        models: models.iter().map(|m| held(m)).collect(),
        copies: WeightCopies {
            memory: models.iter().map(|m| (*m).into()).collect(),
            disk: Vec::new(),
        },
        heartbeat: beat,
        born,
    }
}

fn start(born: StartTime) -> ServerInstance {
    ServerInstance { id: "e1".into(), born: Some(born) }
}

fn put(directory: &mut Directory, server: Server, now: u64) -> Change {
    directory.put(server, Bytes::new(), ms(now))
}

fn models(directory: &Directory) -> Vec<&str> {
    let server = directory.get("e1").expect("listed");
    server.models.iter().map(|m| m.name.as_str()).collect()
}

/// Callers are sent to an engine for a model that it lost: it crashed and started again under its id,
/// its heartbeats count from one, and its entries are taken for old ones until they pass the last count
/// before the crash.
#[test]
fn lower_beat() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    assert_eq!(put(&mut directory, server(Some(SECOND), 1, &[]), 9_000), Change::Restarted);
    assert!(models(&directory).is_empty());
    assert_eq!(directory.get("e1").expect("listed").heartbeat, 1);
}

/// A peer that was cut off relays the entry that it last read. The engine has started again since; the
/// entry, whose heartbeat count is higher, must not bring the lost models back.
#[test]
fn late_entry() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(SECOND), 1, &[]), 0);
    let old = Server { leaving: true, ..server(Some(FIRST), 70, &["hem"]) };
    assert_eq!(put(&mut directory, old, 100), Change::None);
    assert!(models(&directory).is_empty());
    let now = directory.get("e1").expect("listed");
    assert_eq!((now.leaving, now.heartbeat, now.born), (false, 1, Some(SECOND)));
    assert!(directory.recent_departures(ms(100)).is_empty());
}

/// An engine crashes twice within a second. The entries arrive out of order: the last start's first,
/// then that of the one before.
#[test]
fn quick_starts() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    assert_eq!(put(&mut directory, server(Some(THIRD), 1, &["cuff"]), 500), Change::Restarted);
    assert_eq!(put(&mut directory, server(Some(SECOND), 2, &["veil"]), 600), Change::None);
    assert_eq!(models(&directory), ["cuff"]);
    assert_eq!(put(&mut directory, server(Some(THIRD), 2, &["cuff"]), 700), Change::None);
    assert_eq!(directory.get("e1").expect("listed").heartbeat, 2);
}

/// Only the heartbeat count starts anew while the start is the same: that is an old entry of this start,
/// read again after the store forgot its history.
#[test]
fn same_start() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    assert_eq!(put(&mut directory, server(Some(FIRST), 1, &[]), 100), Change::None);
    assert_eq!(models(&directory), ["hem"]);
    assert_eq!(directory.get("e1").expect("listed").heartbeat, 70);
}

/// Servers that do not tell their start are judged by their heartbeats alone.
#[test]
fn startless_kept() {
    let mut directory = Directory::default();
    put(&mut directory, server(None, 70, &["hem"]), 0);
    assert_eq!(put(&mut directory, server(None, 1, &[]), 100), Change::None);
    assert_eq!(
        directory.apply_departure(&ServerDeparture { server: "e1".into(), heartbeat: 70 }, ms(100)),
        Change::Leaving
    );
    assert_eq!(put(&mut directory, server(None, 71, &[]), 200), Change::None);
    assert!(directory.get("e1").expect("listed").leaving);
}

/// All servers of a service gave notice, left, and started again under their ids; callers are told that
/// there is no server.
#[test]
fn leaver_usable() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &[]), 0);
    put(&mut directory, Server { leaving: true, ..server(Some(FIRST), 71, &[]) }, 100);
    assert_eq!(put(&mut directory, server(Some(SECOND), 1, &[]), 900), Change::Restarted);
    assert!(!directory.get("e1").expect("listed").leaving);
    assert_eq!(directory.remove("e1", ms(2_000)), Change::Removed);
    assert_eq!(put(&mut directory, server(Some(THIRD), 1, &[]), 2_500), Change::Joined);
    assert!(!directory.get("e1").expect("listed").leaving);
}

/// A peer tells for four seconds that a server left. The server has started again meanwhile, and the
/// peer's word, which is about the last start, would keep callers from the new one for good.
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
    assert!(!early.get("e1").expect("listed").leaving);
}

/// A server starts again and leaves at once, before its entry was read here. A peer's word about the
/// newer start ends the older one too.
#[test]
fn left_newer() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    let note = ServerDeparture { server: start(SECOND), heartbeat: 1 };
    assert_eq!(directory.apply_departure(&note, ms(100)), Change::Leaving);
    assert!(models(&directory).is_empty());
    assert_eq!(put(&mut directory, server(Some(SECOND), 1, &["hem"]), 200), Change::None);
    assert!(directory.get("e1").expect("listed").leaving);
}

/// A server's second start was listed and removed. The entry of its first start, relayed late, must not
/// make callers' requests go to a server that is gone.
#[test]
fn gone_remembered() {
    let mut directory = Directory::default();
    put(&mut directory, server(Some(SECOND), 1, &[]), 100_000);
    assert_eq!(directory.remove("e1", ms(100_100)), Change::Removed);
    directory.sweep(ms(150_000));
    assert_eq!(put(&mut directory, server(Some(FIRST), 70, &["hem"]), 150_100), Change::None);
    assert!(directory.get("e1").is_none());
    // Long after nobody relays it any more the id is free for whoever starts under it.
    directory.sweep(ms(400_000));
    assert_eq!(put(&mut directory, server(Some(FIRST), 1, &[]), 400_100), Change::Joined);
}

/// The store is away, and only peers name the new start. Until its entry comes the server is known where
/// it was, without its models and without its notice.
#[test]
fn word_first() {
    let mut directory = Directory::default();
    put(&mut directory, Server { leaving: true, ..server(Some(FIRST), 70, &["hem"]) }, 0);
    assert_eq!(directory.observe_instance(&start(SECOND), ms(100)), InstanceOrder::Newer);
    let now = directory.get("e1").expect("listed");
    assert_eq!((now.leaving, now.heartbeat, now.born), (false, 0, Some(SECOND)));
    assert!(now.models.is_empty() && now.copies == WeightCopies::default());
    assert!(!directory.is_current(&start(FIRST)));
    assert_eq!(directory.observe_instance(&start(FIRST), ms(200)), InstanceOrder::Older);
    assert_eq!(directory.observe_instance(&start(SECOND), ms(300)), InstanceOrder::Same);
    assert_eq!(put(&mut directory, server(Some(SECOND), 1, &["cuff"]), 400), Change::Updated);
    assert_eq!(models(&directory), ["cuff"]);
}

/// The store is away; entries lapse. A server whose entry lapsed starts again and is named by a peer: it
/// must not be dropped with the others that stay away.
#[test]
fn lapse_ended() {
    let mut directory = Directory::default();
    directory.record_read(ms(0));
    put(&mut directory, server(Some(FIRST), 70, &[]), 0);
    directory.record_read(ms(9_000));
    assert_eq!(directory.remove("e1", ms(9_000)), Change::Lapsed);
    directory.observe_instance(&start(SECOND), ms(9_500));
    assert!(directory.sweep(ms(12_000)).is_empty());
    assert!(directory.is_current(&start(SECOND)));
}

/// The lease holder's word on an engine arrives after the engine has started again: callers must not be
/// sent there for what the last start held, whatever the number of orders that it had accepted.
#[test]
fn holding_older() {
    let mut inventories = EngineInventories::default();
    let note = |name: &str| LoadedModelReport { name: name.into(), adapters: Vec::new() };
    let inventory =
        |born: StartTime, sequence: u64, heartbeat: u64, models: &[&str]| EngineInventory {
            server: start(born),
            sequence,
            heartbeat,
            models: models.iter().map(|m| note(m)).collect(),
            pending: Vec::new(),
        };
    let now = server(Some(SECOND), 1, &[]);
    assert!(inventories.put(7, inventory(FIRST, 12, 70, &["hem"]), ms(0)));
    assert!(!inventories.holds(&now, "hem", None));
    assert!(inventories.put(7, inventory(SECOND, 1, 1, &["cuff"]), ms(100)));
    assert!(inventories.put(7, inventory(FIRST, 13, 1, &["hem"]), ms(200)));
    assert!(inventories.holds(&now, "cuff", None) && !inventories.holds(&now, "hem", None));
}

/// A crashed server is avoided for up to four seconds. It starts again at once, and the pause of the last
/// start, or a failure of it that shows late, would keep callers from a sound server.
#[test]
fn pause_gone() {
    let mut health = ServerHealth::default();
    let service = SERVICE.into();
    for n in 0..8 {
        health.record(&service, &start(FIRST), ms(n * 5_000), Evidence::Unreachable);
    }
    assert!(health.is_avoided(&start(FIRST), ms(35_100)));
    assert!(!health.is_avoided(&start(SECOND), ms(35_100)));
    health.record(&service, &start(FIRST), ms(40_000), Evidence::Unreachable);
    assert!(!health.is_unreachable(&start(SECOND), ms(40_100)));
}

/// A server starts again while requests of this daemon and of its peers seem to run there, since their
/// connections have not broken yet. New requests would avoid the idle server.
#[test]
fn loads_apart() {
    let loads = Workloads::default();
    let place = |born: StartTime| WorkloadKey { server: start(born), model: None };
    let running = loads.begin(place(FIRST), 500);
    let work = Workload { running: 4, prompt_tokens: 900 };
    loads.set_peer(&"d2".into(), ms(0), vec![(place(FIRST), work)]);
    loads.set_reported(&start(FIRST), ms(0), ReportedWorkload { running: 9, waiting: 3, slots: 8 });
    assert_eq!(loads.at(&start(FIRST), ms(100)).running, 12);
    assert_eq!(loads.at(&start(SECOND), ms(100)), Workload::default());
    let again = loads.begin(place(SECOND), 100);
    drop(running);
    assert_eq!(loads.at(&start(SECOND), ms(200)), Workload { running: 1, prompt_tokens: 100 });
    drop(again);
}

/// The lease holder has a load and an adapter under way at an engine that starts again. It plans anew
/// from an empty engine, and expects no orders but those that the engine reports.
#[test]
fn ledger_anew() {
    let mut site = Site::new(&[("hem", 60_000, 1), ("cuff", 60_000, 0)]);
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    assert!(site.engine_table.follow(&directory, &site.config, NOW).is_empty());
    let job = LoadJob {
        model: "cuff".into(),
        victims: Vec::new(),
        source: Source::Store,
        since: ms(0),
        eta: ms(6_000),
    };
    let engine = site.engine_table.engine_mut(&start(FIRST)).expect("an engine");
    engine.sequence = 12;
    engine.confirmed = true;
    engine.job = Some(job);
    engine.adapter_jobs = vec![AdapterJob {
        model: "hem".into(),
        adapter: "a1".into(),
        victim: None,
        eta: ms(6_000),
    }];
    engine.used.insert("hem".into(), ms(0));
    put(&mut directory, server(Some(SECOND), 1, &[]), 1_000);
    assert_eq!(site.engine_table.follow(&directory, &site.config, NOW), [start(FIRST)]);
    assert!(site.engine_table.engine_mut(&start(FIRST)).is_none());
    let engine = site.engine_table.engine_mut(&start(SECOND)).expect("an engine");
    assert!(engine.models.is_empty() && engine.memory_copies.is_empty() && engine.used.is_empty());
    assert!(engine.job.is_none() && engine.adapter_jobs.is_empty());
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

/// A daemon that held the lease before gets it back. An engine has started again meanwhile; the count of
/// orders from the first tenure is higher than any that the engine reports, so that it would get none.
#[test]
fn tenure_between() {
    let mut site = Site::new(&[("hem", 60_000, 0)]);
    let mut directory = Directory::default();
    put(&mut directory, server(Some(FIRST), 70, &["hem"]), 0);
    site.engine_table.follow(&directory, &site.config, NOW);
    site.engine_table.engine_mut(&start(FIRST)).expect("an engine").sequence = 12;
    put(&mut directory, server(Some(SECOND), 40, &["hem"]), 60_000);
    site.engine_table.invalidate_all();
    site.engine_table.follow(&directory, &site.config, NOW);
    assert_eq!(site.engine_table.engine_mut(&start(SECOND)).expect("an engine").sequence, 0);
}

/// An engine starts again in the middle of a load from the weight store, and loads something else. The
/// load that is over must neither count beside the new one nor be ended in its place.
#[test]
fn pace_apart() {
    let mut pace = FetchLimiter::new(ms(0));
    pace.begin(&start(FIRST), ms(6_000), 0, ms(0));
    pace.end(&start(FIRST), false, ms(1_000));
    pace.begin(&start(SECOND), ms(6_000), 0, ms(1_000));
    // Were it the second of two, it would take twice as long at a store that serves one at a time, and
    // its punctual end would prove that the store serves two.
    pace.end(&start(FIRST), true, ms(2_000));
    pace.end(&start(SECOND), true, ms(7_000));
    assert_eq!(pace.share().proven, 1);
}

/// Two daemons with a server's entry; the second has seen it end.
fn entry_ended() -> (Directory, Directory) {
    let mut early = Directory::default();
    let mut late = Directory::default();
    put(&mut early, server(Some(FIRST), 1, &[]), 0);
    put(&mut late, server(Some(FIRST), 1, &[]), 0);
    assert_eq!(late.remove("e1", ms(10_000)), Change::Removed);
    assert_eq!(early.remove("e1", ms(10_100)), Change::Removed);
    (early, late)
}

/// A server is cut off from the store, its entry runs out, and it comes back three seconds later. A peer
/// still tells that it left, as it saw the entry go; the server would get no request again until its next
/// start.
#[test]
fn returned_usable() {
    let (mut early, mut late) = entry_ended();
    put(&mut early, server(Some(FIRST), 18, &[]), 13_000);
    for left in late.recent_departures(ms(13_100)) {
        early.apply_departure(&left, ms(13_100));
    }
    assert_eq!(early.confirm_returns(ms(19_200)), ["e1"]);
    assert!(!early.get("e1").expect("listed").leaving);
    put(&mut early, server(Some(FIRST), 19, &["hem"]), 19_300);
    for left in late.recent_departures(ms(13_900)) {
        assert_eq!(early.apply_departure(&left, ms(19_400)), Change::None);
    }
    assert!(!early.get("e1").expect("listed").leaving);
}

/// A server leaves without notice while the store is slow: its last heartbeat is written after its entry
/// was removed. It is no sign of life, and the server must not get requests until that entry ends too.
#[test]
fn heartbeat_late() {
    let (mut early, mut late) = entry_ended();
    put(&mut early, server(Some(FIRST), 13, &[]), 12_000);
    for left in late.recent_departures(ms(12_100)) {
        assert_eq!(early.apply_departure(&left, ms(12_100)), Change::Leaving);
    }
    assert_eq!(put(&mut early, server(Some(FIRST), 14, &[]), 12_500), Change::None);
    assert!(early.confirm_returns(ms(17_000)).is_empty());
    assert!(early.get("e1").expect("listed").leaving);
}

/// The store turns a daemon away, so that it never sees an entry end. A peer's word is about the very
/// entry that it has, and no time makes that server usable.
#[test]
fn word_kept() {
    let mut early = Directory::default();
    let (_, mut late) = entry_ended();
    put(&mut early, server(Some(FIRST), 1, &[]), 0);
    for left in late.recent_departures(ms(10_200)) {
        assert_eq!(early.apply_departure(&left, ms(10_200)), Change::Leaving);
    }
    assert!(early.confirm_returns(ms(60_000)).is_empty());
    assert!(early.get("e1").expect("listed").leaving);
}
