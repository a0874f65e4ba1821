//! Order in which several daemons send their copies of a suspected request.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::fingerprint::Fingerprint;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use comfreymux_lib::serve::trials::Claim;
use comfreymux_lib::serve::trials::REPORT_DELAY;
use comfreymux_lib::serve::trials::Trial;
use comfreymux_lib::serve::trials::TrialKey;
use comfreymux_lib::serve::trials::Trials;
use http::Method;

const SECOND: Duration = Duration::from_secs(1);

fn fingerprint() -> Fingerprint {
    Fingerprint::new(&Method::POST, "shop.example", "/draft/7", b"gown")
}

fn names() -> Vec<String> {
    (0..5).map(|n| format!("d{n}")).collect()
}

/// Delivers the trials of each daemon to all others.
fn exchange_reports(fleet: &[Trials], now: Moment) {
    for (from, name) in fleet.iter().zip(names()) {
        for to in fleet.iter().filter(|to| !std::ptr::eq(*to, from)) {
            to.update_peer(&name.as_str().into(), from.own(), now);
        }
    }
}

/// Returns the indexes of the daemons whose copy is the next.
fn next_daemons(fleet: &[Trials], copies: &[Trial], now: Moment) -> Vec<usize> {
    let all = fleet.iter().zip(copies).zip(names()).enumerate();
    all.filter(|(_, ((t, copy), name))| t.is_next(copy, name, now)).map(|(n, _)| n).collect()
}

/// All daemons sent their copies at the same moment if these had waited for the same model.
#[test]
fn one_next() {
    let fleet: Vec<Trials> = (0..5).map(|_| Trials::default()).collect();
    let mut copies: Vec<Trial> =
        fleet.iter().map(|t| t.enqueue(TrialKey::Request(fingerprint()), SECOND)).collect();
    assert_eq!(
        next_daemons(&fleet, &copies, SECOND),
        [0; 0],
        "no copy is sent before peers have reported theirs"
    );
    exchange_reports(&fleet, SECOND);
    let now = SECOND * 2;
    exchange_reports(&fleet, now);
    let first = next_daemons(&fleet, &copies, now);
    assert_eq!(first.len(), 1);
    copies[first[0]].assign(ServerInstance::from("e1"));
    exchange_reports(&fleet, now);
    assert_eq!(
        next_daemons(&fleet, &copies, now),
        [0; 0],
        "no copy is sent while an engine has one"
    );
    copies[first[0]] = fleet[first[0]].enqueue(TrialKey::Request(fingerprint()), now);
    exchange_reports(&fleet, now + SECOND);
    assert_eq!(next_daemons(&fleet, &copies, now + SECOND).len(), 1);
}

/// A daemon that sends no more reports must not keep the copies of others waiting.
#[test]
fn silent_passed() {
    let fleet: Vec<Trials> = (0..5).map(|_| Trials::default()).collect();
    let copies: Vec<Trial> =
        fleet.iter().map(|t| t.enqueue(TrialKey::Request(fingerprint()), SECOND)).collect();
    exchange_reports(&fleet, SECOND);
    let later = SECOND * 3;
    assert_eq!(next_daemons(&fleet, &copies, later), [0, 1, 2, 3, 4]);
}

fn suspect(body: &[u8]) -> Fingerprint {
    Fingerprint::new(&Method::POST, "shop.example", "/draft/7", body)
}

/// Returns the claims of all daemons' trials.
fn claims(fleet: &[Trials], trials: &[Trial], now: Moment) -> Vec<Claim> {
    let all = fleet.iter().zip(trials).zip(names());
    all.map(|((t, trial), name)| t.claim(trial, &name, now)).collect()
}

/// Suspects of several daemons were sent to one engine at the same moment, so that its crash did not show
/// which of them was to blame.
#[test]
fn one_claim() {
    let fleet: Vec<Trials> = (0..5).map(|_| Trials::default()).collect();
    let bodies = ["a", "b", "c", "d", "e"];
    let enqueue =
        |(t, body): (&Trials, &str)| t.enqueue(TrialKey::Request(suspect(body.as_bytes())), SECOND);
    let trials: Vec<Trial> = fleet.iter().zip(bodies).map(enqueue).collect();
    let claimed = SECOND * 2;
    for trial in &trials {
        trial.claim(ServerInstance::from("e1"), claimed);
    }
    assert!(claims(&fleet, &trials, claimed).iter().all(|c| *c == Claim::Pending(REPORT_DELAY)));
    exchange_reports(&fleet, claimed);
    let now = claimed + REPORT_DELAY;
    let all = claims(&fleet, &trials, now);
    let granted = Claim::Granted(ServerInstance::from("e1"));
    assert_eq!(all.iter().filter(|c| **c == granted).count(), 1);
    assert_eq!(all.iter().filter(|c| **c == Claim::Lost).count(), 4);
}

/// A claim must not displace a suspect that an engine already has, whatever their ranks.
#[test]
fn sent_first() {
    for bodies in [["a", "b"], ["b", "a"]] {
        let fleet: Vec<Trials> = (0..2).map(|_| Trials::default()).collect();
        let enqueue = |(t, body): (&Trials, &str)| {
            t.enqueue(TrialKey::Request(suspect(body.as_bytes())), SECOND)
        };
        let trials: Vec<Trial> = fleet.iter().zip(bodies).map(enqueue).collect();
        trials[0].assign(ServerInstance::from("e1"));
        trials[1].claim(ServerInstance::from("e1"), SECOND);
        exchange_reports(&fleet, SECOND);
        let now = SECOND + REPORT_DELAY;
        assert_eq!(claims(&fleet, &trials, now), [Claim::None, Claim::Lost]);
    }
}

/// Two copies of one request, at different engines, when a lost datagram lets two daemons take their own for the
/// next one.
#[test]
fn copies_claim() {
    let fleet: Vec<Trials> = (0..2).map(|_| Trials::default()).collect();
    let trials: Vec<Trial> =
        fleet.iter().map(|t| t.enqueue(TrialKey::Request(fingerprint()), SECOND)).collect();
    trials[0].claim(ServerInstance::from("e1"), SECOND);
    trials[1].claim(ServerInstance::from("e2"), SECOND);
    exchange_reports(&fleet, SECOND);
    let all = claims(&fleet, &trials, SECOND + REPORT_DELAY);
    assert_eq!(all.iter().filter(|c| **c == Claim::Lost).count(), 1);
}
