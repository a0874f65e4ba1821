//! Daemons as child processes, signalled and killed by process id only.

use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use comfreymux_lib::cluster::retry_budgets::BudgetLimits;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::time::Instant;

/// Usual retry limits of all daemons together.
pub const BUDGET_LIMITS: BudgetLimits =
    BudgetLimits { window: Duration::from_secs(10), ratio: 0.2, slack: 50.0 };
/// Longest time from SIGTERM to the exit of a daemon; `grace_s` in its settings.
const GRACE: Duration = Duration::from_secs(8);
/// Added to [`GRACE`] for a busy machine.
const GRACE_MARGIN: Duration = Duration::from_secs(2);

/// A daemon process with its settings file and log.
#[derive(Debug)]
pub struct Daemon {
    /// Name in the daemon's settings, also of its files.
    pub name: String,
    program: PathBuf,
    folder: PathBuf,
    settings: String,
    child: Option<Child>,
    /// When SIGTERM or SIGKILL was first sent.
    terminated_at: Option<Instant>,
    paused: bool,
    /// Unexpected exits, and stops that took too long.
    pub faults: Vec<String>,
}

impl Daemon {
    /// Prepares a daemon whose store is at `store`; `limits` are those of all daemons together.
    pub fn new(
        name: &str,
        program: &Path,
        folder: &Path,
        front: SocketAddr,
        store: SocketAddr,
        seed: SocketAddr,
        limits: &BudgetLimits,
    ) -> Self {
        let ip = front.ip();
        let BudgetLimits { window, ratio, slack } = limits;
        let window = window.as_secs();
        let settings = format!(
            "node_name = \"{name}\"\nip = \"{ip}\"\nzone = \"north\"\ninternal_ports = [7380, 7395]\n\
             seeds = [\"{seed}\"]\n[listen]\nfront = \"{front}\"\nready = \"{ip}:7300\"\n\
             [bounds]\ngrace_s = 8\ndrain_ms = 2000\nretry_budget_ratio = {ratio}\nbudget_window_s = {window}\n\
             budget_slack = {slack}\nfencing = true\nlease_ms = 3000\nceiling_window_s = 5\n\
             [platform]\naddress = \"{store}\"\n"
        );
        Self {
            name: name.to_owned(),
            program: program.to_owned(),
            folder: folder.to_owned(),
            settings,
            child: None,
            terminated_at: None,
            paused: false,
            faults: Vec::new(),
        }
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.name))
    }

    /// Writes the settings file, with invalid TOML unless `good`.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write_settings(&self, good: bool) -> io::Result<()> {
        let text = if good { &self.settings } else { "node_name = [\n" };
        fs::write(self.settings_path(), text)
    }

    /// Starts the process; its output is appended to its log.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.write_settings(true)?;
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(&self.program)
            .env("COMFREYMUX_CONFIG", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.terminated_at = None;
        self.paused = false;
        Ok(())
    }

    /// Returns the id of the daemon's process; `None` before its first start.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the daemon is a reader, by the last line of its log that states its role.
    pub fn is_reader(&self) -> bool {
        // A log that is missing or cannot be read counts as no reader role.
        let log = fs::read(self.folder.join(format!("{}.log", self.name))).unwrap_or_default();
        let text = String::from_utf8_lossy(&log);
        text.lines()
            .rev()
            .find(|line| line.contains("event=reader ") || line.contains("event=start "))
            .is_some_and(|line| line.contains("reads=true"))
    }

    /// Sends a signal, unless the process was never started.
    pub fn signal(&mut self, signal: Signal) {
        let Some(child) = &self.child else { return };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let Some(pid) = pid else { return };
        // The process may just have exited; `restart_exited` detects that.
        let _sent = kill_process(pid, signal);
        match signal {
            Signal::TERM | Signal::KILL => {
                self.terminated_at.get_or_insert_with(Instant::now);
            }
            Signal::STOP => self.paused = true,
            Signal::CONT => self.paused = false,
            _ => {}
        }
    }

    /// Returns whether SIGTERM or SIGKILL was sent and the daemon has not been restarted since.
    pub fn is_stopping(&self) -> bool {
        self.terminated_at.is_some()
    }

    /// Restarts the daemon if it has exited. Records a fault if the exit was unexpected, and kills a daemon
    /// that is late to stop.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn restart_exited(&mut self) -> io::Result<()> {
        let Some(child) = &mut self.child else { return self.start() };
        // Checked before lateness: while a large fleet is stopped one by one, the time between two calls can exceed
        // the time that a stop may take.
        if let Some(status) = child.try_wait()? {
            if self.terminated_at.is_none() {
                self.faults.push(format!("{} ended by itself: {status}", self.name));
            }
            return self.start();
        }
        let late = self.terminated_at.is_some_and(|t| t.elapsed() > GRACE + GRACE_MARGIN);
        if late && !self.paused {
            self.faults.push(format!("{} did not end after SIGTERM", self.name));
            self.signal(Signal::KILL);
        }
        Ok(())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // An error means that it has already exited.
            let _killed = child.kill();
            let _reaped = child.wait();
        }
    }
}
