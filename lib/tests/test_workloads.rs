//! What is known of the work at servers, by whoever's word.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use comfreymux_lib::cluster::workload_table::model_key;
use comfreymux_lib::cluster::workload_table::server_key;
use comfreymux_lib::cluster::workloads::Workload;
use comfreymux_lib::cluster::workloads::WorkloadKey;
use comfreymux_lib::cluster::workloads::Workloads;

const NOW: Moment = Duration::from_secs(100);

fn place(server: &str, model: &str) -> WorkloadKey {
    WorkloadKey { server: server.into(), model: Some(model.into()) }
}

fn work(running: u32, prompt: u32) -> Workload {
    Workload { running, prompt_tokens: prompt }
}

fn at(loads: &Workloads, server: &str, now: Moment) -> Workload {
    loads.at(&ServerInstance::from(server), now)
}

/// A reader sums up what the daemons of its data centre and the other centres' readers tell.
#[test]
fn centre_summed() {
    let reader = Workloads::default();
    let _own = reader.begin(place("e1", "hem"), 50);
    reader.set_peer(&"d2".into(), NOW, vec![(place("e1", "cuff"), work(2, 10))]);
    reader.set_peer(&"d3".into(), NOW, vec![(place("e2", "hem"), work(1, 0))]);
    let far = Workloads::default();
    let _far = far.begin(place("e1", "hem"), 40);
    reader.set_centre(&"south".into(), NOW, far.centre_table(NOW).summaries(true));
    assert_eq!(at(&reader, "e1", NOW), work(4, 100));
    let (own, all) = (reader.centre_table(NOW), reader.fleet_table(NOW));
    let e1 = server_key(&ServerInstance::from("e1"));
    assert_eq!((own.at(e1), all.at(e1)), (work(3, 60), work(4, 100)));
    assert_eq!(own.running(e1, model_key(Some("hem"))), 1);
    assert_eq!(all.running(e1, model_key(Some("hem"))), 2);
}

/// A daemon hears from its reader what all have at work, its own requests among them as it last told them. Counted
/// twice, a server with its own requests would look twice as busy as it is.
#[test]
fn own_once() {
    let loads = Workloads::default();
    let first = loads.begin(place("e1", "hem"), 30);
    let _told = loads.snapshot_own();
    let reader = Workloads::default();
    reader.set_peer(&"d1".into(), NOW, vec![(place("e1", "hem"), work(1, 30))]);
    reader.set_peer(&"d2".into(), NOW, vec![(place("e1", "hem"), work(5, 0))]);
    loads.set_fleet(NOW, reader.fleet_table(NOW).summaries(false));
    assert_eq!(at(&loads, "e1", NOW), work(6, 30));
    let _second = loads.begin(place("e1", "hem"), 20);
    assert_eq!(at(&loads, "e1", NOW), work(7, 50));
    drop(first);
    assert_eq!(at(&loads, "e1", NOW), work(6, 20));
}

/// Readers fall silent; what they told of others' requests must not count for ever.
#[test]
fn silence_forgotten() {
    let loads = Workloads::default();
    let reader = Workloads::default();
    reader.set_peer(&"d2".into(), NOW, vec![(place("e1", "hem"), work(5, 0))]);
    loads.set_fleet(NOW, reader.fleet_table(NOW).summaries(false));
    let later = NOW + Duration::from_secs(2);
    assert_eq!(at(&loads, "e1", later), Workload::default());
    loads.set_peer(&"d2".into(), later, vec![(place("e1", "hem"), work(3, 0))]);
    assert_eq!(at(&loads, "e1", later), work(3, 0));
}

/// The lease holder is no reader: it plans by what readers of its own data centre and of the others tell, model by
/// model, and counts nobody twice.
#[test]
fn holder_told() {
    let holder = Workloads::default();
    let _own = holder.begin(place("e1", "hem"), 0);
    let near = Workloads::default();
    near.set_peer(&"holder".into(), NOW, vec![(place("e1", "hem"), work(1, 0))]);
    near.set_peer(&"d2".into(), NOW, vec![(place("e1", "hem"), work(2, 0))]);
    holder.set_own_centre(NOW, near.centre_table(NOW).summaries(true));
    let far = Workloads::default();
    let _far = far.begin(place("e1", "cuff"), 0);
    holder.set_centre(&"south".into(), NOW, far.centre_table(NOW).summaries(true));
    let table = holder.fleet_table(NOW);
    let e1 = server_key(&ServerInstance::from("e1"));
    assert_eq!(table.running(e1, model_key(Some("hem"))), 3);
    assert_eq!(table.running(e1, model_key(Some("cuff"))), 1);
}

/// The lease holder unloads a model and orders the next load when the last request on it has ended, whichever daemon
/// sent that: what single daemons say, what the centre's readers say in their place, and other centres' words count.
#[test]
fn model_counted() {
    let holder = Workloads::default();
    let key = server_key(&ServerInstance::from("e1"));
    let hem = |now| holder.running(key, model_key(Some("hem")), now);
    let own = holder.begin(place("e1", "hem"), 0);
    holder.set_peer(&"d2".into(), NOW, vec![(place("e1", "hem"), work(2, 0))]);
    let far = Workloads::default();
    let _far = [far.begin(place("e1", "hem"), 0), far.begin(place("e1", "cuff"), 0)];
    holder.set_centre(&"south".into(), NOW, far.centre_table(NOW).summaries(true));
    assert_eq!(hem(NOW), 4);
    let near = Workloads::default();
    near.set_peer(&"d2".into(), NOW, vec![(place("e1", "hem"), work(5, 0))]);
    holder.set_own_centre(NOW, near.centre_table(NOW).summaries(true));
    assert_eq!(hem(NOW), 6);
    drop(own);
    assert_eq!(hem(NOW + Duration::from_secs(2)), 0);
}
