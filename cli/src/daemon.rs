//! `comfreymuxd`: the daemon of an entry host.

mod daemon_flags;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use comfreymux_lib::backend_client::HttpBackendClient;
use comfreymux_lib::daemon::Daemon;
use comfreymux_lib::daemon::Sockets;
use comfreymux_lib::daemon::incarnation_now;
use comfreymux_lib::engine_control::HttpEngineControl;
use comfreymux_lib::host_list::HttpHostList;
use comfreymux_lib::log_service::HttpLog;
use comfreymux_lib::logging;
use comfreymux_lib::settings::ENV_PREFIX;
use comfreymux_lib::settings::FlagSource;
use comfreymux_lib::settings::Settings;
use comfreymux_lib::settings::env_name;
use comfreymux_lib::workers::PlatformClients;
use daemon_flags::Comfreymuxd;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Exit code for invalid settings.
const EXIT_USAGE: u8 = 2;
/// Exit code of a shutdown that aborted requests in progress.
const EXIT_ABORTED: u8 = 3;
/// Interval between checks for a signal or an operator's drain request.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

impl FlagSource for Comfreymuxd {
    fn text(&self, flag: &str) -> Option<String> {
        let given = match flag {
            "id" => &self.id,
            "centre" => &self.centre,
            "listen" => &self.listen,
            "peer" => &self.peer,
            "log" => &self.log,
            "hosts" => &self.hosts,
            "idle-timeout" => &self.idle_timeout,
            "deadline" => &self.deadline,
            "queue" => &self.queue,
            "requests" => &self.requests,
            "caller-requests" => &self.caller_requests,
            "body-kib" => &self.body_kib,
            "append-gap" => &self.append_gap,
            "keep-warm" => &self.keep_warm,
            "poll" => &self.poll,
            "drain" => &self.drain,
            "trace" => &self.trace,
            _ => &None,
        };
        let variable = || std::env::var(format!("{ENV_PREFIX}{}", env_name(flag))).ok();
        given.clone().or_else(variable)
    }
}

fn main() -> ExitCode {
    let flags = Comfreymuxd::from_env_or_exit();
    let settings = match Settings::from_source(&flags) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_ABORTED),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Runs until a signal or an operator's drain request; returns `true` if no request was aborted.
fn run(settings: Settings) -> miette::Result<bool> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).map_err(|e| miette::miette!("no signals: {e}"))?;
    let sockets = Sockets::open(settings.listen_addr, settings.peer_addr)?;
    let clients = PlatformClients {
        log: Arc::new(HttpLog::new(settings.log_url.clone())),
        hosts: Arc::new(HttpHostList::new(settings.hosts_url.clone())),
        engine: Arc::new(HttpEngineControl),
    };
    let backend_client = Arc::new(HttpBackendClient::new(settings.idle_timeout));
    let log = logging::to_stderr();
    let daemon =
        Daemon::start(settings, incarnation_now(), sockets, &clients, backend_client, log)?;
    while signals.pending().next().is_none() && !daemon.node().is_stopping() {
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(daemon.stop())
}
