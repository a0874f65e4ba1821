//! Tests how a daemon adds up the workloads of servers from its own requests and the reports of others.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use comfreymux_lib::cluster::workload_table::model_key;
use comfreymux_lib::cluster::workload_table::server_key;
use comfreymux_lib::cluster::workloads::Workload;
use comfreymux_lib::cluster::workloads::WorkloadKey;
use comfreymux_lib::cluster::workloads::Workloads;

const NOW: Moment = Duration::from_secs(100);

fn workload_key(server: &str, model: &str) -> WorkloadKey {
    WorkloadKey { server: server.into(), model: Some(model.into()) }
}

fn workload(running: u32, prompt: u32) -> Workload {
    Workload { running, prompt_tokens: prompt }
}

fn at(workloads: &Workloads, server: &str, now: Moment) -> Workload {
    workloads.workload_at(&ServerInstance::from(server), now)
}

/// A reader must add up its own requests, those of the daemons of its data centre and the reports of other
/// data centres' readers.
#[test]
fn centre_summed() {
    let reader = Workloads::default();
    let _own = reader.begin(workload_key("e1", "hem"), 50);
    reader.set_peer(&"d2".into(), NOW, vec![(workload_key("e1", "cuff"), workload(2, 10))]);
    reader.set_peer(&"d3".into(), NOW, vec![(workload_key("e2", "hem"), workload(1, 0))]);
    let remote = Workloads::default();
    let _remote = remote.begin(workload_key("e1", "hem"), 40);
    reader.set_centre(&"south".into(), NOW, remote.centre_table(NOW).summaries(true));
    assert_eq!(at(&reader, "e1", NOW), workload(4, 100));
    let (own, all) = (reader.centre_table(NOW), reader.fleet_table(NOW));
    let e1 = server_key(&ServerInstance::from("e1"));
    assert_eq!((own.at(e1), all.at(e1)), (workload(3, 60), workload(4, 100)));
    assert_eq!(own.running(e1, model_key(Some("hem"))), 1);
    assert_eq!(all.running(e1, model_key(Some("hem"))), 2);
}

/// A reader's report on all daemons includes the receiver's own requests as last published. They must not be
/// counted twice, or a server with own requests would seem twice as busy as it is.
#[test]
fn own_once() {
    let workloads = Workloads::default();
    let first = workloads.begin(workload_key("e1", "hem"), 30);
    let _published = workloads.snapshot_own();
    let reader = Workloads::default();
    reader.set_peer(&"d1".into(), NOW, vec![(workload_key("e1", "hem"), workload(1, 30))]);
    reader.set_peer(&"d2".into(), NOW, vec![(workload_key("e1", "hem"), workload(5, 0))]);
    workloads.set_fleet(NOW, reader.fleet_table(NOW).summaries(false));
    assert_eq!(at(&workloads, "e1", NOW), workload(6, 30));
    let _second = workloads.begin(workload_key("e1", "hem"), 20);
    assert_eq!(at(&workloads, "e1", NOW), workload(7, 50));
    drop(first);
    assert_eq!(at(&workloads, "e1", NOW), workload(6, 20));
}

/// When readers become unresponsive, the requests that they last reported must expire.
#[test]
fn silence_forgotten() {
    let workloads = Workloads::default();
    let reader = Workloads::default();
    reader.set_peer(&"d2".into(), NOW, vec![(workload_key("e1", "hem"), workload(5, 0))]);
    workloads.set_fleet(NOW, reader.fleet_table(NOW).summaries(false));
    let later = NOW + Duration::from_secs(2);
    assert_eq!(at(&workloads, "e1", later), Workload::default());
    workloads.set_peer(&"d2".into(), later, vec![(workload_key("e1", "hem"), workload(3, 0))]);
    assert_eq!(at(&workloads, "e1", later), workload(3, 0));
}

/// A lease holder that is not a reader plans from the reports of its own data centre's readers and of the
/// other data centres' readers. It must know requests by model and count no daemon twice.
#[test]
fn holder_told() {
    let holder = Workloads::default();
    let _own = holder.begin(workload_key("e1", "hem"), 0);
    let centre_reader = Workloads::default();
    centre_reader.set_peer(
        &"holder".into(),
        NOW,
        vec![(workload_key("e1", "hem"), workload(1, 0))],
    );
    centre_reader.set_peer(&"d2".into(), NOW, vec![(workload_key("e1", "hem"), workload(2, 0))]);
    holder.set_own_centre(NOW, centre_reader.centre_table(NOW).summaries(true));
    let remote = Workloads::default();
    let _remote = remote.begin(workload_key("e1", "cuff"), 0);
    holder.set_centre(&"south".into(), NOW, remote.centre_table(NOW).summaries(true));
    let table = holder.fleet_table(NOW);
    let e1 = server_key(&ServerInstance::from("e1"));
    assert_eq!(table.running(e1, model_key(Some("hem"))), 3);
    assert_eq!(table.running(e1, model_key(Some("cuff"))), 1);
}

/// The lease holder unloads a model and orders the next load once the last request for it has ended, on
/// whichever daemon. The count must include reports of single daemons, the report of the own data centre's
/// readers that replaces them, and reports of other data centres.
#[test]
fn model_counted() {
    let holder = Workloads::default();
    let key = server_key(&ServerInstance::from("e1"));
    let hem = |now| holder.running(key, model_key(Some("hem")), now);
    let own = holder.begin(workload_key("e1", "hem"), 0);
    holder.set_peer(&"d2".into(), NOW, vec![(workload_key("e1", "hem"), workload(2, 0))]);
    let remote = Workloads::default();
    let _remote =
        [remote.begin(workload_key("e1", "hem"), 0), remote.begin(workload_key("e1", "cuff"), 0)];
    holder.set_centre(&"south".into(), NOW, remote.centre_table(NOW).summaries(true));
    assert_eq!(hem(NOW), 4);
    let centre_reader = Workloads::default();
    centre_reader.set_peer(&"d2".into(), NOW, vec![(workload_key("e1", "hem"), workload(5, 0))]);
    holder.set_own_centre(NOW, centre_reader.centre_table(NOW).summaries(true));
    assert_eq!(hem(NOW), 6);
    drop(own);
    assert_eq!(hem(NOW + Duration::from_secs(2)), 0);
}
