//! Copies of a suspected request at several daemons.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::fingerprint::Fingerprint;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use comfreymux_lib::serve::trials::Trial;
use comfreymux_lib::serve::trials::Trials;
use http::Method;

const SECOND: Duration = Duration::from_secs(1);

fn fingerprint() -> Fingerprint {
    Fingerprint::new(&Method::POST, "shop.example", "/draft/7", b"gown")
}

fn names() -> Vec<String> {
    (0..5).map(|n| format!("d{n}")).collect()
}

/// Daemons that tell each other their trials.
fn tell(fleet: &[Trials], now: Moment) {
    for (from, name) in fleet.iter().zip(names()) {
        for to in fleet.iter().filter(|to| !std::ptr::eq(*to, from)) {
            to.update_peer(&name.as_str().into(), from.own(), now);
        }
    }
}

fn next(fleet: &[Trials], copies: &[Trial], now: Moment) -> Vec<usize> {
    let all = fleet.iter().zip(copies).zip(names()).enumerate();
    all.filter(|(_, ((t, copy), name))| t.is_next(copy, name, now)).map(|(n, _)| n).collect()
}

/// Copies that waited for one model went off from all daemons in the same instant.
#[test]
fn one_next() {
    let fleet: Vec<Trials> = (0..5).map(|_| Trials::default()).collect();
    let mut copies: Vec<Trial> = fleet.iter().map(|t| t.enqueue(fingerprint(), SECOND)).collect();
    assert_eq!(next(&fleet, &copies, SECOND), [0; 0], "peers may have copies");
    tell(&fleet, SECOND);
    let now = SECOND * 2;
    tell(&fleet, now);
    let first = next(&fleet, &copies, now);
    assert_eq!(first.len(), 1);
    copies[first[0]].assign(ServerInstance::from("e1"));
    tell(&fleet, now);
    assert_eq!(next(&fleet, &copies, now), [0; 0], "an engine has one");
    copies[first[0]] = fleet[first[0]].enqueue(fingerprint(), now);
    tell(&fleet, now + SECOND);
    assert_eq!(next(&fleet, &copies, now + SECOND).len(), 1);
}

/// A daemon that has gone does not keep the copies of others waiting.
#[test]
fn silent_passed() {
    let fleet: Vec<Trials> = (0..5).map(|_| Trials::default()).collect();
    let copies: Vec<Trial> = fleet.iter().map(|t| t.enqueue(fingerprint(), SECOND)).collect();
    tell(&fleet, SECOND);
    let later = SECOND * 3;
    assert_eq!(next(&fleet, &copies, later), [0, 1, 2, 3, 4]);
}
