//! `comfreymux-entry`: the daemon of an entry host on the users' platform.

use std::process::ExitCode;
use std::rc::Rc;

use comfreymux_lib::boot_clock::BootClock;
use comfreymux_lib::logging;
use comfreymux_lib::serve::daemon_state::DaemonState;
use comfreymux_lib::serve::entry_settings::EntrySettings;
use comfreymux_lib::serve::lifecycle;
use comfreymux_lib::serve::pool::ConnectionPool;
use comfreymux_platform::PlatformProtocol;
use comfreymux_platform::PlatformStore;
use comfreymux_platform::SettingsFile;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Exit code for invalid settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let (file, settings) = match SettingsFile::from_env() {
        Ok(opened) => opened,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(file, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(file: SettingsFile, settings: EntrySettings) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let store = Rc::new(PlatformStore::new(file.store_addr()));
    let log = logging::to_stdout();
    let protocol = Rc::new(PlatformProtocol);
    let process = rand::random();
    let clock = Rc::new(BootClock);
    let daemon = DaemonState::new(
        settings,
        process,
        protocol,
        store,
        ConnectionPool::default(),
        log.logger(),
        clock,
    );
    let result = LocalSet::new().block_on(&runtime, lifecycle::run(daemon, Rc::new(file)));
    log.flush();
    result
}
