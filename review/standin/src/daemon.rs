//! Daemons as child processes, started by the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Returns `count` free ports of a loopback address.
pub fn free_ports(ip: Ipv4Addr, count: usize) -> Vec<u16> {
    let listeners: Vec<_> =
        (0..count).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
    listeners.iter().map(|l| l.local_addr().expect("a bound address").port()).collect()
}

/// The last loopback address that a daemon of this script has; each has one of its own.
pub fn host(number: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 128, low, number + 1)
}

/// A daemon process; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
    name: String,
    child: Child,
}

/// Where the project's program is: the root of the repository is the working directory of `run.sh`'s parent.
fn program() -> PathBuf {
    let root = std::env::var("REVIEW_ROOT").unwrap_or_else(|_| "../..".to_owned());
    Path::new(&root).join("target/release/comfreymux-entry")
}

impl Daemon {
    /// Starts daemon `number` of one data centre before a store.
    pub fn start(number: u8, zone: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let ip = host(number);
        let name = format!("edge-{zone}-{}", number + 1);
        let ports = free_ports(ip, 3);
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
             internal_ports = [7380, 7395]\nseeds = [{}]\nbootstrap = true\nheartbeat_ms = 1200\n\
             [listen]\nfront = \"{ip}:{}\"\nready = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             [bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nconfig_ms = 2000\nback_ms = 250\n\
             retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 52\nfencing = true\n\
             lease_ms = 3000\nceiling_window_s = 5\nceiling_overage = 1.1\n\
             [platform]\naddress = \"{store}\"\n",
            seeds.join(", "), ports[0], ports[1], ports[2]
        );
        let folder =
            std::env::temp_dir().join(format!("review-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        fs::write(folder.join("node.toml"), settings).expect("a settings file");
        let child = Self::spawn(&folder).expect("target/release/comfreymux-entry starts");
        let address = |port| SocketAddr::from((ip, port));
        Self { front: address(ports[0]), ready: address(ports[1]), folder, name, child }
    }

    fn spawn(folder: &Path) -> io::Result<Child> {
        let log = File::options().create(true).append(true).open(folder.join("log"))?;
        Command::new(program())
            .env_clear()
            .env("COMFREYMUX_CONFIG", folder.join("node.toml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: a plain system call; the process is a child that was not waited for, so the id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Ends the process and removes its folder, also where other threads still hold this.
    pub fn end(&self) {
        self.signal(SIGKILL);
        // SAFETY: a plain system call, which allows a null pointer for a status that is not needed.
        unsafe { waitpid(self.child.id() as i32, std::ptr::null_mut(), 0) };
        let _removed = fs::remove_dir_all(&self.folder);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.child = Self::spawn(&self.folder).expect("target/release/comfreymux-entry starts");
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn is_ready(&self) -> bool {
        use std::io::Write as _;
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let mut connection = Connection::new(stream);
        connection.set_read_timeout(Some(Duration::from_secs(1)));
        let asked = connection
            .stream
            .write_all(b"GET /comfreymux/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        asked.is_ok() && matches!(connection.message(), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Returns the daemon's log.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn name(&self) -> &str {
        &self.name
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        let _removed = fs::remove_dir_all(&self.folder);
    }
}
