//! Log outages, failing lease holders and late starts, over real sockets.

use comfreymux_lib::host_list::HostChange;
use comfreymux_lib::host_list::HostListCache;
use comfreymux_lib::peer_message::Digest;
use comfreymux_lib::peer_server::parse_digest;
use comfreymux_lib::wire;
use comfreymux_testutils::engine_settings::EngineFaults;
use comfreymux_testutils::engine_settings::EngineSettings;
use comfreymux_testutils::log_standin::LogFaults;
use comfreymux_testutils::rig::ANY;
use comfreymux_testutils::rig::Rig;
use comfreymux_testutils::rig::complete;
use comfreymux_testutils::rig::wait_for;
use comfreymux_testutils::rows;

const CHAT: &str = "/v1/chat/completions";

fn log_down() -> LogFaults {
    LogFaults { down: true, ..LogFaults::default() }
}

/// Starts two daemons and one engine with a loaded model in one data centre.
fn rig() -> Rig {
    let mut rig = Rig::default();
    rig.add_engine("e1", "qc-c", &EngineSettings::default());
    rig.add_daemon("d1", "qc-c", &[]);
    rig.add_daemon("d2", "qc-c", &[]);
    for daemon in ["d1", "d2"] {
        rig.await_view(daemon, "both daemons", |v| v.daemons.len() == 2);
    }
    rig.apply("d1", "first", &[rows::model("hem"), rows::model("resize")]);
    rig.await_view("d2", "the table", |v| v.table.row("hem").is_some());
    assert_eq!(complete(&rig.url("d1", CHAT), "hem", false, 1).unwrap().0, 200);
    rig.await_view("d2", "the replica", |v| !v.replicas_of("hem").is_empty());
    rig
}

#[test]
fn serving_continues() {
    // The log is down for longer than a lease. Every daemon still serves loaded models.
    let rig = rig();
    rig.log.set_faults(log_down());
    rig.await_view("d1", "the outage", |v| !v.log_up);
    for daemon in ["d1", "d2"] {
        assert_eq!(complete(&rig.url(daemon, CHAT), "hem", false, 1).unwrap().0, 200);
    }
}

#[test]
fn started_late() {
    // A daemon starts while the log is down. It fetches the state from a peer and serves requests.
    let mut rig = rig();
    rig.log.set_faults(log_down());
    rig.add_daemon("d3", "qc-c", &[]);
    rig.await_view("d3", "the table", |v| !v.replicas_of("hem").is_empty());
    assert_eq!(complete(&rig.url("d3", CHAT), "hem", false, 1).unwrap().0, 200);
    let daemons = ["d1", "d3"].map(|d| rig.daemons[d].node().state().unwrap());
    assert_eq!(daemons[0].hash(), daemons[1].hash());
}

#[test]
fn records_expired() {
    // A daemon starts after the first edits have expired from the log. It installs a snapshot from
    // the log and reaches the same state as the others.
    let mut rig = rig();
    let node = std::sync::Arc::clone(rig.daemons["d1"].node());
    let state = node.state().unwrap();
    let entry = comfreymux_lib::record::Entry {
        writer: "x".into(),
        incarnation: 1,
        sequence: 1,
        records: comfreymux_lib::snapshot::split(&state)
            .into_iter()
            .map(comfreymux_lib::record::Record::Snapshot)
            .collect(),
    };
    let body = wire::encode(&entry);
    comfreymux_lib::log_service::LogService::append(&rig.log_client(), &body).unwrap();
    let keep = (node.state().unwrap().offset - state.offset) as usize + 2;
    rig.log.set_faults(LogFaults { keep, ..LogFaults::default() });
    rig.apply("d1", "second", &[rows::model("hem"), rows::model("quote")]);
    rig.add_daemon("d3", "qc-c", &[]);
    rig.await_view("d3", "the table", |v| v.table.row("quote").is_some());
    wait_for("equal states", || {
        let states = ["d1", "d3"].map(|d| rig.daemons[d].node().state().unwrap());
        states[0].offset == states[1].offset && states[0].hash() == states[1].hash()
    });
}

#[test]
fn edit_relayed() {
    // A daemon cannot reach the log, but a peer can. An edit sent to the peer takes effect at both.
    let mut rig = rig();
    let closed_log = comfreymux_testutils::http_server::HttpServer::start(
        ANY,
        std::sync::Arc::new(comfreymux_testutils::log_standin::LogStandin::default()),
    )
    .unwrap();
    let unreachable_url = format!("http://{}", closed_log.addr);
    closed_log.stop();
    rig.add_daemon("d3", "qc-c", &[("log", &unreachable_url)]);
    rig.await_view("d3", "the table", |v| v.table.row("hem").is_some());
    rig.apply("d1", "second", &[rows::model("hem"), rows::model("quote")]);
    rig.await_view("d3", "the edit", |v| v.table.row("quote").is_some());
    assert!(!rig.daemons["d3"].node().view.load().log_up);
}

#[test]
fn holder_killed() {
    // The lease holder dies without releasing its lease. Another daemon takes over the lease and
    // loads a cold model for its callers.
    let mut rig = rig();
    let state = rig.daemons["d1"].node().state().unwrap();
    let holder = state.leases["qc-c"].daemon.clone();
    let other = if holder == "d1" { "d2" } else { "d1" };
    rig.daemons.remove(&holder).unwrap().abort();
    let (status, body) = complete(&rig.url(other, CHAT), "resize", false, 1).unwrap();
    assert_eq!(status, 200, "{body}");
    let state = rig.daemons[other].node().state().unwrap();
    assert_eq!(state.leases["qc-c"].daemon, other);
}

#[test]
fn holder_stops() {
    // The lease holder stops gracefully. It releases its lease, so that no daemon has to wait for
    // the lease to expire.
    let mut rig = rig();
    let state = rig.daemons["d1"].node().state().unwrap();
    let holder = state.leases["qc-c"].daemon.clone();
    let other = if holder == "d1" { "d2" } else { "d1" };
    assert!(rig.daemons.remove(&holder).unwrap().stop());
    let node = std::sync::Arc::clone(rig.daemons[other].node());
    wait_for("the new lease", || {
        node.state().is_some_and(|s| s.leases.get("qc-c").is_some_and(|l| l.daemon == other))
    });
}

#[test]
fn engine_leaves() {
    // An engine's host is being removed, which only the engine itself reports so far. New requests
    // go to another engine, which loads the model.
    let mut rig = rig();
    rig.add_engine("e2", "qc-c", &EngineSettings::default());
    rig.engines["e1"].set_faults(EngineFaults { leaving: true, ..EngineFaults::default() });
    let (status, body) = complete(&rig.url("d1", CHAT), "hem", false, 1).unwrap();
    assert_eq!(status, 200, "{body}");
    assert_eq!(rig.engines["e2"].audit().served, 1);
}

#[test]
fn foreign_datagram() {
    // A daemon ignores datagrams that are malformed, come from an unknown address or carry another
    // daemon's name.
    let rig = rig();
    let node = rig.daemons["d1"].node();
    let addr = node.view.load().daemons["d2"];
    let digest = Digest {
        daemon: "d2".into(),
        offset: 1,
        hash: (0, 0),
        demand: Vec::new(),
        hints: Vec::new(),
    };
    let good = wire::encode(&digest);
    assert!(parse_digest(node, &good, addr).is_some());
    assert!(parse_digest(node, &good, ANY).is_none());
    assert!(parse_digest(node, &good[..good.len() - 1], addr).is_none());
    let named = wire::encode(&Digest { daemon: "d1".into(), ..digest });
    assert!(parse_digest(node, &named, addr).is_none());
}

#[test]
fn list_changes() {
    let mut cache = HostListCache::default();
    let host = |id: &str| comfreymux_lib::host::Host {
        id: id.into(),
        ..comfreymux_testutils::rig::host(comfreymux_lib::host::HostRole::Entry, "a", ANY)
    };
    let full_list =
        HostChange { version: 1, whole: true, hosts: vec![host("a"), host("b")], removed: vec![] };
    assert_eq!(cache.apply(full_list).unwrap().len(), 2);
    let change =
        HostChange { version: 2, whole: false, hosts: vec![host("c")], removed: vec!["a".into()] };
    let names: Vec<_> = cache.apply(change.clone()).unwrap().into_iter().map(|h| h.id).collect();
    assert_eq!(names, ["b", "c"]);
    assert!(cache.apply(change).is_none());
}
