//! Servers that start again under the id that they had.

use std::time::Duration;

use bytes::Bytes;
use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::ids::Birth;
use comfreymux_lib::picture::directory::Copies;
use comfreymux_lib::picture::directory::Directory;
use comfreymux_lib::picture::directory::HeldModel;
use comfreymux_lib::picture::directory::Server;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn server(born: Option<Birth>, beat: u64, models: &[&str]) -> Server {
    let held = |name: &&str| HeldModel { name: (*name).into(), adapters: Vec::new() };
    Server {
        id: "e1".into(),
        service: "draft".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        centre: "north".into(),
        slots: 8,
        leaving: false,
        models: models.iter().map(held).collect(),
        copies: Copies::default(),
        beat,
        born,
    }
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
    directory.put(server(Some(1_000), 70, &["hem"]), Bytes::new(), ms(0));
    directory.put(server(Some(2_000), 1, &[]), Bytes::new(), ms(9_000));
    assert!(models(&directory).is_empty());
    assert_eq!(directory.get("e1").expect("listed").beat, 1);
}
