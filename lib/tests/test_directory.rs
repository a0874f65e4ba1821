//! The directory of backend servers: removed, leaving, lapsed and suspended entries.

use std::time::Duration;

use bytes::Bytes;
use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::directory::Change;
use comfreymux_lib::cluster::directory::Directory;
use comfreymux_lib::cluster::directory::Server;
use comfreymux_lib::cluster::directory::WeightCopies;
use comfreymux_lib::cluster::engine_inventories::EngineInventories;
use comfreymux_lib::cluster::run_times::RunTimes;
use comfreymux_lib::cluster::send_permit::SendPermits;
use comfreymux_lib::cluster::server_health::ServerHealth;
use comfreymux_lib::cluster::server_slowdowns::ServerSlowdowns;
use comfreymux_lib::cluster::silent_servers::SilentServers;
use comfreymux_lib::cluster::workloads::Workloads;
use comfreymux_lib::placement::demand::ModelTarget;
use comfreymux_lib::serve::choose::Chooser;
use comfreymux_lib::serve::choose::EngineChoice;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn server(id: &str, count: u64, leaving: bool) -> Server {
    Server {
        id: id.into(),
        service: "draft".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        centre: "north".into(),
        slots: 8,
        leaving,
        models: Vec::new(),
        copies: WeightCopies::default(),
        version: "v1".into(),
        heartbeat: count,
        born: None,
    }
}

fn put(directory: &mut Directory, id: &str, count: u64, leaving: bool) -> Change {
    directory.put(server(id, count, leaving), Bytes::new(), ms(0))
}

/// Guards against "no server" refusals right after an outage of the store although all servers are healthy: their
/// entries expired because they could not renew them, and the store lists the removals when it recovers.
#[test]
fn lapsed_kept() {
    let mut directory = Directory::default();
    directory.record_read(ms(0));
    put(&mut directory, "a", 1, false);
    directory.record_read(ms(9_000));
    assert_eq!(directory.remove("a", ms(9_000)), Change::Lapsed);
    assert!(directory.get("a").is_some());
    assert_eq!(put(&mut directory, "a", 2, false), Change::None);
    assert!(directory.sweep(ms(12_000)).is_empty());
    assert!(directory.get("a").is_some());
}

/// Guards against requests to a server that crashed twenty seconds ago: its entry lapsed during an outage of the
/// store, a peer without that information relayed the old entry, and the daemon applied it as the server's return.
#[test]
fn lapsed_relayed() {
    let mut directory = Directory::default();
    directory.record_read(ms(0));
    put(&mut directory, "a", 1, false);
    put(&mut directory, "b", 1, false);
    directory.record_read(ms(9_000));
    assert_eq!(directory.remove("a", ms(9_000)), Change::Lapsed);
    let relayed: Vec<_> = directory.raw_entries().map(|(id, _)| id.as_str()).collect();
    assert_eq!(relayed, ["b"], "a lapsed entry must not be relayed");
    assert!(directory.awaited().eq(["a"]));
    directory.put_relayed(server("a", 1, false), Bytes::new(), ms(10_000));
    assert_eq!(directory.sweep(ms(12_000)), ["a"]);
}

/// Guards against requests to a server that left eighteen seconds ago and has finished its last requests since: a
/// daemon that was disconnected when it left relayed the old entry, and daemons that knew of the removal applied it
/// as a return.
#[test]
fn left_relayed() {
    let mut directory = Directory::default();
    directory.record_read(ms(0));
    put(&mut directory, "a", 14, false);
    directory.record_read(ms(2_000));
    assert_eq!(directory.remove("a", ms(2_000)), Change::Removed);
    directory.record_read(ms(20_000));
    let change = directory.put_relayed(server("a", 14, false), Bytes::new(), ms(20_000));
    assert_eq!(change, Change::None, "the heartbeat is not later than the one at the removal");
    assert!(directory.get("a").is_none());
}

/// A server renews its entry after an outage, and only a peer that the store serves can read it: the relayed entry
/// must keep the server listed.
#[test]
fn return_relayed() {
    let mut directory = Directory::default();
    directory.record_read(ms(0));
    put(&mut directory, "a", 1, false);
    directory.record_read(ms(9_000));
    assert_eq!(directory.remove("a", ms(9_000)), Change::Lapsed);
    directory.put_relayed(server("a", 2, false), Bytes::new(), ms(10_000));
    assert!(directory.sweep(ms(12_000)).is_empty());
    assert!(directory.get("a").is_some());
}

/// Guards against requests to a server 2.7 s after it left without notice: its entry was removed two seconds after the
/// store recovered from a nine-second outage, and the removal was treated like those of entries that lapsed during
/// the outage.
#[test]
fn late_removal() {
    let mut directory = Directory::default();
    directory.record_read(ms(0));
    put(&mut directory, "a", 1, false);
    directory.record_read(ms(9_000));
    directory.record_read(ms(9_900));
    directory.record_read(ms(11_000));
    assert_eq!(directory.remove("a", ms(11_000)), Change::Lapsed);
    assert_eq!(directory.sweep(ms(11_200)), ["a"]);
    put(&mut directory, "b", 1, false);
    assert_eq!(directory.remove("b", ms(11_300)), Change::Removed);
}

/// One slow read must not count as an outage of the store: a removal read after it is final.
#[test]
fn slow_read() {
    let mut directory = Directory::default();
    directory.record_read(ms(0));
    put(&mut directory, "a", 1, false);
    directory.record_read(ms(2_400));
    assert_eq!(directory.remove("a", ms(2_400)), Change::Removed);
}

/// A daemon that read the list just before a server left would send requests to it until its next read; a peer that
/// read later reports the departure.
#[test]
fn left_told() {
    let mut early = Directory::default();
    let mut late = Directory::default();
    put(&mut early, "a", 1, false);
    put(&mut late, "a", 1, false);
    assert_eq!(late.remove("a", ms(1_000)), Change::Removed);
    for departure in late.recent_departures(ms(1_100)) {
        assert_eq!(early.apply_departure(&departure, ms(1_100)), Change::Leaving);
    }
    assert!(early.get("a").expect("listed").leaving);
    assert!(late.recent_departures(ms(9_000)).is_empty());
}

/// Guards against new requests to a leaving server after an old heartbeat is read later than its leave notice.
#[test]
fn old_heartbeat() {
    let mut directory = Directory::default();
    put(&mut directory, "a", 5, false);
    assert_eq!(put(&mut directory, "a", 6, true), Change::Leaving);
    assert_eq!(put(&mut directory, "a", 4, false), Change::None);
    assert_eq!(put(&mut directory, "a", 7, false), Change::None);
    assert!(directory.get("a").expect("listed").leaving);
}

/// A server that announced its departure and whose entry ends during an outage is removed at once: it will not
/// return.
#[test]
fn leaver_removed() {
    let mut directory = Directory::default();
    directory.record_read(ms(0));
    put(&mut directory, "a", 1, true);
    directory.record_read(ms(9_000));
    assert_eq!(directory.remove("a", ms(9_000)), Change::Removed);
}

#[test]
fn missing_listed() {
    let mut directory = Directory::default();
    put(&mut directory, "a", 1, false);
    put(&mut directory, "b", 1, false);
    assert_eq!(directory.missing(&["b".into()]), ["a"]);
    assert_eq!(directory.forget("a"), Change::Removed);
    assert_eq!(directory.forget("a"), Change::None);
}

/// Guards against a server that never gets requests again after another program briefly overwrote its entry: a
/// departure was reported to peers, and a server that left cannot return under its id.
#[test]
fn suspended_back() {
    let mut directory = Directory::default();
    put(&mut directory, "a", 1, false);
    assert_eq!(directory.suspend("a", ms(0)), Change::Suspended);
    assert_eq!(directory.suspend("a", ms(100)), Change::None);
    assert_eq!((directory.servers().count(), directory.raw_entries().count()), (0, 0));
    assert!(directory.recent_departures(ms(100)).is_empty());
    assert_eq!(put(&mut directory, "a", 2, false), Change::Resumed);
    assert_eq!(directory.servers().count(), 1);
    assert_eq!(directory.suspend("b", ms(100)), Change::None);
}

/// Nothing removes the entry of a crashed server that was overwritten: without a timeout its models would count as
/// loaded forever.
#[test]
fn suspended_swept() {
    let mut directory = Directory::default();
    put(&mut directory, "a", 1, false);
    directory.suspend("a", ms(0));
    assert!(directory.sweep(ms(3_600)).is_empty());
    assert!(directory.get("a").is_some());
    assert_eq!(directory.sweep(ms(4_000)), ["a"]);
}

/// A server that announced its departure must not become usable again because its entry was overwritten meanwhile.
#[test]
fn suspended_leaving() {
    let mut directory = Directory::default();
    put(&mut directory, "a", 1, true);
    directory.suspend("a", ms(0));
    assert_eq!(put(&mut directory, "a", 2, false), Change::None);
    put(&mut directory, "a", 3, true);
    assert!(directory.get("a").expect("listed").leaving);
    assert_eq!(directory.remove("a", ms(100)), Change::Removed);
}

/// Guards against immediate refusals for a model because its engine's entry was briefly overwritten: the service
/// appeared to have no server, and the model no copy.
#[test]
fn suspended_awaited() {
    let mut directory = Directory::default();
    let copies = WeightCopies { memory: Vec::new(), disk: vec!["m1".into()] };
    let engine = Server { copies, ..server("a", 1, false) };
    directory.put(engine, Bytes::new(), ms(0));
    directory.suspend("a", ms(0));
    let send_permits = SendPermits::new();
    let chooser = Chooser {
        version: None,
        send_permits: &send_permits,
        directory: &directory,
        inventories: &EngineInventories::default(),
        workloads: &Workloads::default(),
        health: &ServerHealth::default(),
        silent: &SilentServers::default(),
        run_times: &RunTimes::default(),
        slowdowns: &ServerSlowdowns::default(),
        centre: &"north".into(),
        now: ms(100),
        load_uncertainty: 1.0,
        random: 0.0,
    };
    let target =
        ModelTarget { service: "draft".into(), model: "m1".into(), adapter: None, version: None };
    assert!(matches!(chooser.choose_engine(&target, &[]), EngineChoice::NotLoaded));
    assert!(chooser.has_copy(&target));
    let other = ModelTarget { model: "m2".into(), ..target };
    assert!(!chooser.has_copy(&other));
}

/// Guards against requests to a server that announced in a response that it leaves: its entry of the store goes on to
/// say that it is ready, ends and is relayed once more by a peer.
#[test]
fn announced_kept() {
    let mut directory = Directory::default();
    directory.record_read(ms(0));
    put(&mut directory, "a", 3, false);
    let instance = server("a", 3, false).instance();
    assert_eq!(directory.announce_leave(&instance, ms(100)), Change::Leaving);
    assert_eq!(directory.announce_leave(&instance, ms(150)), Change::None, "heard before");
    let is_leaving = |directory: &Directory| directory.get("a").is_none_or(|s| s.leaving);
    put(&mut directory, "a", 4, false);
    assert!(is_leaving(&directory), "a later heartbeat");
    put(&mut directory, "a", 20, false);
    directory.confirm_returns(ms(20_000));
    assert!(is_leaving(&directory), "long after");
    directory.remove("a", ms(21_000));
    directory.put_relayed(server("a", 20, false), Bytes::new(), ms(22_000));
    assert!(is_leaving(&directory), "relayed after its removal");
    put(&mut directory, "a", 21, false);
    assert!(is_leaving(&directory), "read anew");
}

/// Guards against an announcement that peers take for a departure after which a server may return.
#[test]
fn announced_told() {
    let (mut teller, mut listener) = (Directory::default(), Directory::default());
    put(&mut teller, "a", 3, false);
    put(&mut listener, "a", 9, false);
    teller.announce_leave(&server("a", 3, false).instance(), ms(100));
    let departures = teller.recent_departures(ms(200));
    assert_eq!(departures.len(), 1);
    assert_eq!(listener.apply_departure(&departures[0], ms(300)), Change::Leaving);
    put(&mut listener, "a", 10, false);
    assert!(listener.confirm_returns(ms(60_000)).is_empty());
    assert!(listener.get("a").expect("an entry").leaving);
    assert_eq!(listener.recent_departures(ms(400)).len(), 1, "it tells others in turn");
}

/// Guards against a server that started again being taken for the instance that announced its departure.
#[test]
fn announced_restarted() {
    let mut directory = Directory::default();
    let started = |born| Server { born: Some(born), ..server("a", 1, false) };
    directory.put(started(5), Bytes::new(), ms(0));
    directory.announce_leave(&started(5).instance(), ms(100));
    assert_eq!(directory.put(started(6), Bytes::new(), ms(200)), Change::Restarted);
    assert!(!directory.get("a").expect("an entry").leaving);
    assert_eq!(directory.announce_leave(&started(5).instance(), ms(300)), Change::None);
    assert!(!directory.get("a").expect("an entry").leaving);
}
