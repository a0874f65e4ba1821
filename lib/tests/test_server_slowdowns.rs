//! Slowdowns of servers: estimates from responses and from reports of other daemons, and the choice of a server by them.

use std::collections::HashSet;
use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use comfreymux_lib::cluster::server_slowdowns::ServerSlowdowns;
use comfreymux_lib::cluster::server_slowdowns::SlowdownSource;
use comfreymux_lib::cluster::slowdown_estimate::MAX_SLOWDOWN;
use comfreymux_lib::cluster::slowdown_estimate::SlowdownEstimate;
use comfreymux_lib::cluster::slowdown_estimate::preference;
use comfreymux_lib::cluster::slowdown_report::SlowdownRow;
use comfreymux_lib::cluster::workload_table::server_key;
use comfreymux_lib::serve::near_best;
use comfreymux_lib::serve::near_best::Candidate;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const NOW: Moment = Duration::from_secs(100);
const ROWS: usize = 120;
/// Slowdowns of a third of the engines each, and the factor by which neighbours slow them down a part of the time.
const KINDS: [f64; 3] = [0.6, 1.0, 1.6];
const NEIGHBOUR_FACTOR: f64 = 2.5;
const NEIGHBOUR_PART: f64 = 0.15;

fn server(n: usize) -> ServerInstance {
    ServerInstance { id: format!("e{n}").into(), born: Some(1) }
}

/// The slowdown in one response of a server.
fn observed(n: usize, rng: &mut ChaCha8Rng) -> f64 {
    let factor = if rng.random_bool(NEIGHBOUR_PART) { NEIGHBOUR_FACTOR } else { 1.0 };
    KINDS[n % KINDS.len()] * factor
}

/// Guards against changed decisions while no slowdown is known.
#[test]
fn unknown_usual() {
    let known = ServerSlowdowns::default();
    assert_eq!(known.expected(&server(1), NOW).to_bits(), 1.0_f64.to_bits());
    assert!(known.is_empty() && known.own_rows(ROWS, NOW).is_empty());
}

/// Guards against an estimate that needs more responses than a daemon of a large fleet gets from a server.
#[test]
fn few_reports() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut swapped = 0;
    for _ in 0..1000 {
        let known = ServerSlowdowns::default();
        for _ in 0..4 {
            known.record_response(&server(0), observed(0, &mut rng), NOW);
            known.record_response(&server(2), observed(2, &mut rng), NOW);
        }
        swapped += usize::from(known.expected(&server(0), NOW) >= known.expected(&server(2), NOW));
    }
    assert!(swapped <= 50, "{swapped} of 1000 times the slow server looked faster");
}

/// Guards against a limit of slowdowns that is not applied.
#[rstest]
#[case::bounded(2.0, 2.0)]
#[case::alike(1.0, 1.0)]
fn limit_set(#[case] limit: f64, #[case] most: f64) {
    let known = ServerSlowdowns::default();
    known.set_limit(limit);
    for _ in 0..50 {
        known.record_response(&server(1), 6.0, NOW);
    }
    assert!((known.expected(&server(1), NOW) - most).abs() < 0.001);
}

/// Guards against a log line for each response: an estimate is logged when it has changed.
#[test]
fn shown_on_change() {
    let known = ServerSlowdowns::default();
    let is_logged = |slowdown| known.record_response(&server(1), slowdown, NOW).is_some();
    let shown = (0..50).filter(|_| is_logged(1.6)).count();
    assert_eq!(shown, 1);
    let shown = (0..200).filter(|_| is_logged(0.6)).count();
    assert!((1..=4).contains(&shown), "{shown} lines for one change");
}

/// Guards against an absurd report moving an estimate further than the bound of a single one.
#[rstest]
#[case::zero(0.0)]
#[case::negative(-3.0)]
#[case::huge(1e9)]
#[case::infinite(f64::INFINITY)]
#[case::no_number(f64::NAN)]
fn absurd_bounded(#[case] slowdown: f64) {
    let mut estimate = SlowdownEstimate::new(9.0, 1.0);
    estimate.record(slowdown);
    let most = (9.0 + MAX_SLOWDOWN) / 10.0;
    assert!((0.9..=most).contains(&estimate.mean()), "{}", estimate.mean());
}

/// Guards against a forged row of another daemon outweighing or breaking everything known.
#[test]
fn forged_row() {
    let known = ServerSlowdowns::default();
    let row = SlowdownRow { server: server_key(&server(1)), weight: u32::MAX, slowdown: u32::MAX };
    known.record_report(SlowdownSource::Daemon("d2".into()), &[row], NOW);
    assert!(known.expected(&server(1), NOW) <= MAX_SLOWDOWN);
}

/// Guards against a server that starts again under its id being taken for as slow as before.
#[test]
fn restart_unknown() {
    let known = ServerSlowdowns::default();
    known.record_response(&server(1), 4.0, NOW);
    let restarted = ServerInstance { born: Some(2), ..server(1) };
    assert!((known.expected(&restarted, NOW) - 1.0).abs() < 0.001);
    known.retain(NOW, [&restarted].into_iter());
    assert!(known.is_empty());
}

/// Guards against reports that are lost, repeated or late adding up to more than was told.
#[test]
fn repeated_reports() {
    let (reader, daemon) = (ServerSlowdowns::default(), ServerSlowdowns::default());
    daemon.record_response(&server(1), 1.6, NOW);
    let rows = daemon.own_rows(ROWS, NOW);
    for _ in 0..5 {
        reader.record_report(SlowdownSource::Daemon("d2".into()), &rows, NOW);
    }
    assert!((reader.estimate(&server(1), NOW).weight() - 1.0).abs() < 0.001);
}

/// Guards against the slowdown of a server remaining unknown at daemons that never sent it a request: observations are
/// relayed by the readers of both data centres.
#[test]
fn relayed_by_readers() {
    let [daemon, north, south, other] = [(); 4].map(|()| ServerSlowdowns::default());
    for _ in 0..8 {
        daemon.record_response(&server(1), 1.6, NOW);
    }
    north.record_report(SlowdownSource::Daemon("n2".into()), &daemon.own_rows(ROWS, NOW), NOW);
    let rows = north.relayed_rows(ROWS, NOW).centre;
    south.record_report(SlowdownSource::Centre("north".into()), &rows, NOW);
    let rows = south.relayed_rows(ROWS, NOW).fleet;
    other.record_report(SlowdownSource::Fleet, &rows, NOW);
    assert!((other.estimate(&server(1), NOW).mean() - 1.6).abs() < 0.01);
    assert!(other.expected(&server(1), NOW) > 1.4);
}

/// Guards against reports of a large fleet leaving out servers: datagrams hold a part of them in turn.
#[test]
fn rows_in_turn() {
    let known = ServerSlowdowns::default();
    for n in 0..300 {
        known.record_response(&server(n), 1.0, NOW);
    }
    let mut seen = HashSet::new();
    for _ in 0..3 {
        seen.extend(known.own_rows(ROWS, NOW).into_iter().map(|row| row.server));
    }
    assert_eq!(seen.len(), 300);
}

/// Load: 60 engines of which a third each takes 0.6, 1 and 1.6 times the usual time, and a number of daemons that all know
/// the same of them and send at the same moment. Returns the part of the requests that the busiest engine gets, and the
/// part of those at the slow third.
fn choose_at_once(daemons: usize) -> (f64, f64) {
    const ENGINES: usize = 60;
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let known = ServerSlowdowns::default();
    for n in 0..ENGINES {
        for _ in 0..6 {
            known.record_response(&server(n), observed(n, &mut rng), NOW);
        }
    }
    let candidate = |n| Candidate {
        cost: 0.0,
        free_slots: 64,
        preference: preference(known.expected(&server(n), NOW)),
    };
    let list: Vec<Candidate> = (0..ENGINES).map(candidate).collect();
    let mut counts = [0_usize; ENGINES];
    let rounds = 40_000 / daemons;
    for _ in 0..daemons * rounds {
        counts[near_best::pick(&list, 1.0, rng.random()).expect("an engine")] += 1;
    }
    let all = (daemons * rounds) as f64;
    let slow: usize = counts.iter().skip(2).step_by(3).sum();
    (*counts.iter().max().expect("a count") as f64 / all, slow as f64 / all)
}

/// Guards against all daemons of a fleet sending to the one fastest engine at once, and against the slow third serving
/// as much as the others: with the exponent of the preference it gets a twelfth at most.
#[rstest]
#[case::six(6)]
#[case::sixty_seven(67)]
#[case::four_hundred(400)]
fn fastest_not_flooded(#[case] daemons: usize) {
    let (busiest, slow) = choose_at_once(daemons);
    // A fast engine's part is 4.6 / (20 x (4.6 + 1 + 0.24)) with exact figures; estimates differ by a factor of two.
    assert!(busiest <= 0.08, "the busiest engine gets {busiest:.3}");
    assert!(slow <= 1.0 / 12.0, "the slow third gets {slow:.3}");
}
