//! Settings of a daemon, read from flags and environment variables and validated at its start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use miette::Diagnostic;
use smol_str::SmolStr;
use thiserror::Error;

use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::keep_warm::KeepWarmPolicy;

/// Prefix of the environment variables: `--append-gap` is `COMFREYMUX_APPEND_GAP`.
pub const ENV_PREFIX: &str = "COMFREYMUX_";

/// An invalid or missing setting.
#[derive(Clone, Debug, Diagnostic, Eq, Error, PartialEq)]
#[error("--{flag} (or {ENV_PREFIX}{env}): {message}")]
pub struct SettingFault {
    /// The flag without its dashes.
    pub flag: &'static str,
    /// The environment variable without its prefix.
    pub env: String,
    /// What is wrong with the value and which values are allowed.
    pub message: String,
}

/// All invalid or missing settings.
#[derive(Debug, Diagnostic, Error)]
#[error("{} setting(s) cannot be used", faults.len())]
pub struct SettingsError {
    /// One fault for each setting; not empty.
    #[related]
    pub faults: Vec<SettingFault>,
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the daemon.
    pub id: DaemonId,
    /// Its data centre.
    pub centre: CentreId,
    /// Address that callers and operators connect to.
    pub listen_addr: SocketAddr,
    /// Address that other daemons connect to, over UDP and TCP.
    pub peer_addr: SocketAddr,
    /// Base URL of the log service.
    pub log_url: String,
    /// Base URL of the host list.
    pub hosts_url: String,
    /// A response has stalled if the backend server sends no bytes for this time.
    pub idle_timeout: Duration,
    /// Time until the deadline of a request that sets none.
    pub default_deadline: Duration,
    /// Most requests that wait for one model.
    pub max_queue: usize,
    /// Most requests in progress.
    pub max_requests: u32,
    /// Most requests of one caller in progress.
    pub caller_requests: u32,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Minimum time between two appends; records that arrive meanwhile are appended together.
    pub append_gap: Duration,
    /// How long replicas stay loaded without requests.
    pub keep_warm: KeepWarmPolicy,
    /// Time between polls of one backend server for its report.
    pub poll_interval: Duration,
    /// Longest time that a graceful stop waits for requests in progress.
    pub drain_timeout: Duration,
    /// File that control events are written to, for `comfreymux replay`.
    pub trace_path: Option<PathBuf>,
}

/// Source of the texts of settings: flags first, then environment variables.
pub trait FlagSource {
    /// Returns the text given for `flag`, which is named without its dashes.
    fn text(&self, flag: &str) -> Option<String>;
}

/// Returns the name of the environment variable for `flag`, without [`ENV_PREFIX`].
pub fn env_name(flag: &str) -> String {
    flag.to_uppercase().replace('-', "_")
}

struct SettingsReader<'a> {
    source: &'a dyn FlagSource,
    faults: Vec<SettingFault>,
}

impl SettingsReader<'_> {
    fn fault(&mut self, flag: &'static str, message: String) {
        self.faults.push(SettingFault { flag, env: env_name(flag), message });
    }

    fn read<T>(
        &mut self,
        flag: &'static str,
        default: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.source.text(flag).unwrap_or_else(|| default.to_owned());
        let value = parse(&text);
        if value.is_none() {
            let message = if text.is_empty() {
                format!("is needed; {allowed}")
            } else {
                format!("`{text}` is not allowed; {allowed}")
            };
            self.fault(flag, message);
        }
        value
    }

    fn name(&mut self, flag: &'static str) -> Option<SmolStr> {
        let allowed = "letters, digits and . _ - up to 64 characters";
        let is_name = |t: &str| {
            let is_char = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
            !t.is_empty() && t.len() <= 64 && t.chars().all(is_char)
        };
        self.read(flag, "", allowed, |t| is_name(t).then(|| SmolStr::new(t)))
    }

    fn addr(&mut self, flag: &'static str, default: &str) -> Option<SocketAddr> {
        let allowed = "an IP number and port such as 10.0.0.1:8080";
        self.read(flag, default, allowed, |t| t.parse().ok())
    }

    fn url(&mut self, flag: &'static str) -> Option<String> {
        let allowed = "a URL such as http://10.0.0.1:7000, without a path";
        self.read(flag, "", allowed, |t| {
            let host = t.strip_prefix("http://")?;
            (!host.is_empty() && !host.contains('/')).then(|| t.to_owned())
        })
    }

    fn duration(
        &mut self,
        flag: &'static str,
        default: &str,
        min: Duration,
        max: Duration,
    ) -> Option<Duration> {
        let allowed = format!("a time from {min:?} to {max:?}, such as 250ms or 10s");
        self.read(flag, default, &allowed, |t| {
            parse_duration(t).filter(|d| (min..=max).contains(d))
        })
    }

    fn number(&mut self, flag: &'static str, default: &str, max: u64) -> Option<u64> {
        let allowed = format!("a whole number from 1 to {max}");
        self.read(flag, default, &allowed, |t| t.parse().ok().filter(|n| (1..=max).contains(n)))
    }
}

/// Parses a duration such as `250ms`, `10s` or `5m`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let number: u64 = text[..digits].parse().ok()?;
    match &text[digits..] {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number.checked_mul(60)?)),
        _ => None,
    }
}

fn parse_policy(text: &str) -> Option<KeepWarmPolicy> {
    if text == "learned" {
        return Some(KeepWarmPolicy::Learned);
    }
    parse_duration(text).map(KeepWarmPolicy::Fixed)
}

const MILLISECOND: Duration = Duration::from_millis(1);
const HOUR: Duration = Duration::from_hours(1);

impl Settings {
    /// Reads and validates all settings.
    ///
    /// # Errors
    ///
    /// Returns a fault for each setting that is missing or not allowed.
    pub fn from_source(source: &dyn FlagSource) -> Result<Self, SettingsError> {
        let mut r = SettingsReader { source, faults: Vec::new() };
        let settings = Self::read_all(&mut r);
        match settings {
            Some(settings) if r.faults.is_empty() => Ok(settings),
            _ => Err(SettingsError { faults: r.faults }),
        }
    }

    fn read_all(r: &mut SettingsReader<'_>) -> Option<Self> {
        // Everything is read before the first `?`, so that all faults are reported together.
        let id = r.name("id");
        let centre = r.name("centre");
        let listen = r.addr("listen", "127.0.0.1:8080");
        let peer = r.addr("peer", "127.0.0.1:8081");
        let log = r.url("log");
        let hosts = r.url("hosts");
        let idle = r.duration("idle-timeout", "10s", 10 * MILLISECOND, HOUR);
        let deadline = r.duration("deadline", "60s", 10 * MILLISECOND, HOUR);
        let queue = r.number("queue", "256", 100_000);
        let requests = r.number("requests", "4096", 100_000);
        let share = r.number("caller-requests", "1024", 100_000);
        let body = r.number("body-kib", "4096", 1 << 20);
        let gap = r.duration("append-gap", "20ms", MILLISECOND, 1000 * MILLISECOND);
        let policy =
            r.read("keep-warm", "learned", "`learned`, or a time such as 600s", parse_policy);
        let poll = r.duration("poll", "1s", 10 * MILLISECOND, HOUR);
        let drain = r.duration("drain", "60s", MILLISECOND, HOUR);
        let trace = r.source.text("trace").map(PathBuf::from);
        Some(Self {
            id: id?,
            centre: centre?,
            listen_addr: listen?,
            peer_addr: peer?,
            log_url: log?,
            hosts_url: hosts?,
            idle_timeout: idle?,
            default_deadline: deadline?,
            max_queue: queue? as usize,
            max_requests: requests? as u32,
            caller_requests: share? as u32,
            max_body: body? as usize * 1024,
            append_gap: gap?,
            keep_warm: policy?,
            poll_interval: poll?,
            drain_timeout: drain?,
            trace_path: trace,
        })
    }
}
