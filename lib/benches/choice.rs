//! Measures the choice of an engine among its candidates, while nothing is known of the servers' slowdowns and while
//! observations of many daemons are.
//!
//! `cargo bench -p comfreymux-lib --bench choice` prints one line for each number of candidates and of daemons.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::directory::Directory;
use comfreymux_lib::cluster::directory::LoadedModel;
use comfreymux_lib::cluster::directory::Server;
use comfreymux_lib::cluster::directory::WeightCopies;
use comfreymux_lib::cluster::engine_inventories::EngineInventories;
use comfreymux_lib::cluster::run_times::RunTimes;
use comfreymux_lib::cluster::send_permit::SendPermits;
use comfreymux_lib::cluster::server_health::ServerHealth;
use comfreymux_lib::cluster::server_slowdowns::ServerSlowdowns;
use comfreymux_lib::cluster::server_slowdowns::SlowdownSource;
use comfreymux_lib::cluster::silent_servers::SilentServers;
use comfreymux_lib::cluster::workloads::Workloads;
use comfreymux_lib::placement::demand::ModelTarget;
use comfreymux_lib::serve::choose::Chooser;

const NOW: Moment = Duration::from_secs(100);
const CHOICES: u32 = 2000;

fn server(n: usize) -> Server {
    Server {
        id: format!("e{n:05}").into(),
        service: "draft".into(),
        addr: "127.0.0.1:9000".parse().expect("a valid address"),
        centre: "north".into(),
        slots: 64,
        leaving: false,
        models: vec![LoadedModel { name: "hem".into(), adapters: Vec::new() }],
        copies: WeightCopies::default(),
        version: "v1".into(),
        heartbeat: 1,
        born: Some(1),
    }
}

/// Returns the mean time of a choice among `candidates` engines, of which `daemons` daemons report slowdowns.
fn measure(candidates: usize, daemons: usize) -> Duration {
    let mut directory = Directory::default();
    let slowdowns = ServerSlowdowns::default();
    for n in 0..candidates {
        directory.put(server(n), Bytes::new(), NOW);
    }
    for daemon in 0..daemons {
        let observed = ServerSlowdowns::default();
        for n in 0..candidates {
            observed.record_response(&server(n).instance(), 0.6 + (n % 3) as f64 * 0.5, NOW);
        }
        let source = SlowdownSource::Daemon(format!("d{daemon}").into());
        slowdowns.record_report(source, &observed.own_rows(candidates, NOW), NOW);
    }
    let target =
        ModelTarget { service: "draft".into(), model: "hem".into(), adapter: None, version: None };
    let began = Instant::now();
    for n in 0..CHOICES {
        let chooser = Chooser {
            directory: &directory,
            version: None,
            inventories: &EngineInventories::default(),
            workloads: &Workloads::default(),
            health: &ServerHealth::default(),
            silent: &SilentServers::default(),
            run_times: &RunTimes::default(),
            slowdowns: &slowdowns,
            send_permits: &SendPermits::new(),
            centre: &"north".into(),
            now: NOW + Duration::from_millis(n.into()),
            load_uncertainty: 4.0,
            random: f64::from(n % 100) / 100.0,
        };
        black_box(chooser.choose_engine(&target, &[]));
    }
    began.elapsed() / CHOICES
}

fn main() {
    for candidates in [60, 600] {
        for daemons in [0, 1, 36, 100] {
            let time = measure(candidates, daemons);
            println!(
                "choice candidates={candidates} daemons={daemons} us={:.1}",
                time.as_secs_f64() * 1e6
            );
        }
    }
}
