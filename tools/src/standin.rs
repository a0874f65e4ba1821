//! `comfreymux-standin`: runs a stand-in for a platform service or a backend server, or a load generator.

mod flags;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use comfreymux_lib::host::Host;
use comfreymux_lib::host::HostRole;
use comfreymux_lib::table::Row;
use comfreymux_lib::table_file::write_csv;
use comfreymux_testutils::engine_settings::EngineSettings;
use comfreymux_testutils::engine_standin::EngineStandin;
use comfreymux_testutils::hosts_standin::HostsStandin;
use comfreymux_testutils::http_server::Handler;
use comfreymux_testutils::http_server::HttpServer;
use comfreymux_testutils::log_standin::LogStandin;
use comfreymux_testutils::rows;
use comfreymux_testutils::service_standin::ServiceStandin;
use comfreymux_testutils::store_standin::StoreStandin;
use comfreymux_tools::load;
use comfreymux_tools::load::Load;
use comfreymux_tools::relay;
use flags::ComfreymuxStandin;
use flags::ComfreymuxStandinCmd;

fn main() -> ExitCode {
    let flags = ComfreymuxStandin::from_env_or_exit();
    match run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &ComfreymuxStandin) -> Result<(), String> {
    let listen = flags.listen.unwrap_or(comfreymux_testutils::rig::ANY);
    match &flags.subcommand {
        ComfreymuxStandinCmd::Log(_) => serve(listen, Arc::new(LogStandin::default()), None),
        ComfreymuxStandinCmd::Store(_) => serve(listen, Arc::new(StoreStandin::default()), None),
        ComfreymuxStandinCmd::Hosts(hosts) => {
            let list = HostsStandin::default();
            for entry in &hosts.entry {
                list.put(read_entry(entry)?);
            }
            serve(listen, Arc::new(list), None)
        }
        ComfreymuxStandinCmd::Engine(engine) => {
            let defaults = EngineSettings::default();
            let settings = EngineSettings {
                incarnation: engine.incarnation.unwrap_or(defaults.incarnation),
                memory_mib: engine.memory_mib.unwrap_or(defaults.memory_mib),
                fencing: !engine.no_fencing,
                store: engine.store,
                gap: engine.gap_ms.map_or(defaults.gap, Duration::from_millis),
                slots: engine.slots.unwrap_or(defaults.slots),
                ..defaults
            };
            let host = Host {
                incarnation: settings.incarnation,
                memory_mib: settings.memory_mib,
                fencing: settings.fencing,
                ..host(&engine.id, HostRole::Engine, &engine.centre, listen)
            };
            serve(listen, Arc::new(EngineStandin::new(settings)), Some((engine.hosts, host)))
        }
        ComfreymuxStandinCmd::Service(service) => {
            let host = Host {
                services: vec![service.row.as_str().into()],
                ..host(&service.id, HostRole::Service, &service.centre, listen)
            };
            serve(listen, Arc::new(ServiceStandin::default()), Some((service.hosts, host)))
        }
        ComfreymuxStandinCmd::Relay(to) => {
            relay::run(listen, to.to).map_err(|e| format!("cannot listen on {listen}: {e}"))
        }
        ComfreymuxStandinCmd::Refusals(flags) => {
            print!("{}", run_refusals(flags));
            Ok(())
        }
        ComfreymuxStandinCmd::Load(load) => {
            print!("{}", run_load(load));
            Ok(())
        }
        ComfreymuxStandinCmd::Table(table) => {
            let limit = table.limit.unwrap_or(rows::model("hem").limit);
            let model = |name| Row { limit, ..rows::model(name) };
            let retired = Row { replicas: 0, ..rows::model("retired") };
            let rows = [model("hem"), model("resize"), retired, rows::service("booking")];
            print!("{}", write_csv(&rows));
            Ok(())
        }
    }
}

fn run_refusals(flags: &flags::Refusals) -> String {
    let time = Duration::from_secs(flags.seconds.unwrap_or(5));
    let model = flags.model.as_deref().unwrap_or("retired");
    let (times, others) = load::refusals(flags.to, model, flags.senders.unwrap_or(8), time);
    format!(
        "refusals/s={:.0} others={others} ms p50={:.2} p95={:.2} p99={:.2}\n",
        times.len() as f64 / time.as_secs_f64(),
        times.value_at_quantile(0.5) as f64 / 1000.0,
        times.value_at_quantile(0.95) as f64 / 1000.0,
        times.value_at_quantile(0.99) as f64 / 1000.0,
    )
}

fn run_load(flags: &flags::Load) -> String {
    let load = Load {
        rate: flags.rate.unwrap_or(77.0),
        time: Duration::from_secs(flags.seconds.unwrap_or(30)),
        tokens: flags.tokens.unwrap_or(292),
    };
    let model = flags.model.as_deref().unwrap_or("hem");
    let before = flags.pid.map(load::usage);
    let result = load::run(flags.to, comfreymux_lib::chat::PATH, model, load);
    let ms = |h: &hdrhistogram::Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1000.0;
    let streams = format!(
        "streams whole={} of={} tokens/s={:.0} first_ms p50={:.2} p95={:.2} p99={:.2} between_ms p50={:.2} p95={:.2}\n",
        result.whole,
        (load.rate * load.time.as_secs_f64()) as u64,
        result.tokens as f64 / result.took.as_secs_f64(),
        ms(&result.first, 0.5),
        ms(&result.first, 0.95),
        ms(&result.first, 0.99),
        ms(&result.between, 0.5),
        ms(&result.between, 0.95),
    );
    let (Some(pid), Some(before)) = (flags.pid, before) else {
        return streams;
    };
    let after = load::usage(pid);
    let cores = (after.cpu_s - before.cpu_s) / result.took.as_secs_f64();
    streams + &format!("process cores={cores:.2} resident_mib={:.0}\n", after.resident_mib)
}

/// Registers the host of `registration` in the host list, if given, and serves until the process is killed.
fn serve(
    listen: SocketAddr,
    handler: Arc<dyn Handler>,
    registration: Option<(SocketAddr, Host)>,
) -> Result<(), String> {
    let server = HttpServer::start(listen, handler)
        .map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    println!("listening on {}", server.addr);
    if let Some((list, host)) = registration {
        let host = Host { addr: server.addr, ..host };
        let body = serde_json::to_vec(&host).map_err(|e| e.to_string())?;
        let sent = minreq::post(format!("http://{list}/put")).with_body(body).send();
        sent.map_err(|e| format!("cannot enter the host list at {list}: {e}"))?;
    }
    loop {
        std::thread::park();
    }
}

fn read_entry(text: &str) -> Result<Host, String> {
    let wrong = || format!("`{text}` is not id=data-centre=address");
    let mut words = text.split('=');
    let (Some(id), Some(centre), Some(addr)) = (words.next(), words.next(), words.next()) else {
        return Err(wrong());
    };
    let addr = addr.parse().map_err(|_unparsed| wrong())?;
    Ok(host(id, HostRole::Entry, centre, addr))
}

fn host(id: &str, role: HostRole, centre: &str, addr: SocketAddr) -> Host {
    Host { id: id.into(), ..comfreymux_testutils::rig::host(role, centre, addr) }
}
