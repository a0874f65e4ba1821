//! The deployment that one soak runs: store, servers, proxies and daemons.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use comfreymux_lib::cluster::retry_budgets::BudgetLimits;
use comfreymux_platform_testutils::crash_moment::CrashMoment;
use comfreymux_platform_testutils::engine_state::EngineState;
use comfreymux_platform_testutils::rig::BEAT;
use comfreymux_platform_testutils::rig::configuration;
use comfreymux_platform_testutils::server_standin::Fatal;
use comfreymux_platform_testutils::server_standin::Runs;
use comfreymux_platform_testutils::server_standin::ServerStandin;
use comfreymux_platform_testutils::store_standin::StoreStandin;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::address_block::AddressBlock;
use crate::callers::EVENTS;
use crate::crashed_port::CrashedPort;
use crate::process::BUDGET_LIMITS;
use crate::process::Daemon;
use crate::proxy::Cut;
use crate::proxy::Proxy;

/// Time that a server keeps serving after it has announced that it leaves.
const LEAVE_TIME: Duration = Duration::from_secs(4);
/// Time after which a server that a request crashed is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Time that an engine takes to load a model.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Time between two events: faults interrupt some streams.
const EVENT_GAP: Duration = Duration::from_millis(20);

/// Number of processes and servers in a soak.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of servers of the plain service.
    pub plain: usize,
    /// Number of engines.
    pub engines: usize,
    /// Retries that all daemons may send in a window regardless of the number of requests.
    pub slack: f64,
}

/// State of one soak.
#[derive(Debug)]
pub struct World {
    /// Stand-in for the platform's store.
    pub store: Rc<StoreStandin>,
    /// Servers listed in the store.
    pub servers: RefCell<Vec<Rc<ServerStandin>>>,
    /// The proxy in front of each server, in the order of `servers`.
    pub server_proxies: RefCell<Vec<Rc<Proxy>>>,
    /// The proxy between each daemon and the store.
    pub store_proxies: Vec<Rc<Proxy>>,
    /// The proxy between callers and each daemon.
    pub front_proxies: Vec<Rc<Proxy>>,
    /// The daemon processes.
    pub daemons: Vec<RefCell<Daemon>>,
    /// Retry limits of all daemons together.
    pub limits: BudgetLimits,
    /// Every request that a server started to run.
    pub runs: Runs,
    /// Bodies of the requests that crash every server that begins to run them.
    pub fatal: Fatal,
    /// When engines crash under fatal requests.
    moment: CrashMoment,
    /// What becomes of the ports of servers that crashed.
    port: CrashedPort,
    /// When each server that a request crashed was found crashed, by server id.
    pub crashed_since: RefCell<BTreeMap<String, Instant>>,
    /// Servers that were removed or replaced; the checks at the end read the state of their engines.
    pub removed: RefCell<Vec<Rc<ServerStandin>>>,
    /// Whether a daemon is cut off from all servers.
    pub is_cut: Cell<bool>,
    /// Number of the engines' newest software version.
    pub release: Cell<u64>,
    /// Whether engines are being replaced by those of the newest version.
    pub is_releasing: Cell<bool>,
    version: Cell<u64>,
    number: Cell<u64>,
    _addresses: AddressBlock,
    started_at: Instant,
    notes: RefCell<File>,
}

impl World {
    /// Starts all parts. `seed` selects the daemons' loopback addresses.
    ///
    /// # Errors
    ///
    /// No addresses are free, no port can be bound, a file cannot be written, or a daemon's program cannot be started.
    pub async fn start(
        size: Size,
        seed: u64,
        (moment, port): (CrashMoment, CrashedPort),
        program: &Path,
        folder: &Path,
    ) -> io::Result<Rc<Self>> {
        let store = StoreStandin::start().await?;
        store.put_config(&configuration(1));
        let mut daemons = Vec::new();
        let mut store_proxies = Vec::new();
        let mut front_proxies = Vec::new();
        let addresses = AddressBlock::claim(std::process::id(), seed)?;
        let limits = BudgetLimits { slack: size.slack, ..BUDGET_LIMITS };
        for n in 0..size.daemons {
            let front = SocketAddr::from((addresses.host(n), 7200));
            let to_store = Proxy::start(store.addr).await?;
            front_proxies.push(Proxy::start(front).await?);
            let next = addresses.host((n + 1) % size.daemons);
            let other = SocketAddr::from((next, 7380));
            let name = format!("d{n}");
            let daemon = Daemon::new(&name, program, folder, front, to_store.addr, other, &limits);
            daemons.push(RefCell::new(daemon));
            store_proxies.push(to_store);
        }
        let world = Rc::new(Self {
            store,
            servers: RefCell::default(),
            server_proxies: RefCell::default(),
            store_proxies,
            front_proxies,
            daemons,
            limits,
            runs: Rc::default(),
            fatal: Rc::default(),
            moment,
            port,
            crashed_since: RefCell::default(),
            removed: RefCell::default(),
            is_cut: Cell::default(),
            release: Cell::default(),
            is_releasing: Cell::default(),
            version: Cell::new(1),
            number: Cell::new(0),
            _addresses: addresses,
            started_at: Instant::now(),
            notes: RefCell::new(File::create(folder.join("course.log"))?),
        });
        for _ in 0..size.plain {
            world.add_server(false).await?;
        }
        for _ in 0..size.engines {
            world.add_server(true).await?;
        }
        for daemon in &world.daemons {
            daemon.borrow_mut().start()?;
        }
        Ok(world)
    }

    /// Returns the time of a moment since the start.
    pub fn time_of(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started_at)
    }

    /// Writes a line to the soak's log of events, with the milliseconds since its start.
    pub fn note(&self, text: &str) {
        let at = self.started_at.elapsed().as_millis();
        // The log of events is only an aid; a failed write does not invalidate the soak.
        let _written = writeln!(self.notes.borrow_mut(), "{at} {text}");
    }

    async fn add_server(&self, is_engine: bool) -> io::Result<()> {
        let number = self.number.get();
        self.number.set(number + 1);
        let engine = is_engine.then(|| {
            let models = [["m0", "m1"], ["m0", "m2"], ["m3", "m4"]][number as usize % 3];
            EngineState::new(&models, LOAD_TIME)
        });
        let service = if is_engine { "drafting" } else { "booking" };
        let id = format!("s{number}");
        let (runs, fatal) = (&self.runs, &self.fatal);
        let server = ServerStandin::start(&id, service, "north", engine, runs, fatal).await?;
        if is_engine {
            server.events.set((EVENTS, EVENT_GAP));
            server.crash_moment.set(self.moment);
            *server.version.borrow_mut() = self.newest_version();
        }
        let proxy = Proxy::start(server.addr).await?;
        server.listed.set(proxy.addr);
        self.list(&server);
        self.close_at_crash(&server, &proxy);
        self.servers.borrow_mut().push(server);
        self.server_proxies.borrow_mut().push(proxy);
        Ok(())
    }

    /// Makes a server's proxy refuse connections once the server has crashed.
    fn close_at_crash(&self, server: &Rc<ServerStandin>, proxy: &Rc<Proxy>) {
        let (server, proxy, port) = (Rc::clone(server), Rc::clone(proxy), self.port);
        spawn_local(async move {
            server.crashed().await;
            port.begin(&proxy);
        });
    }

    /// Restarts servers that a request crashed more than [`RESTART_DELAY`] ago.
    pub async fn restart_crashed(&self) {
        let crashed = |(index, server): (usize, &Rc<ServerStandin>)| {
            server.is_crashed().then(|| (index, server.id.clone()))
        };
        let crashed: Vec<_> =
            self.servers.borrow().iter().enumerate().filter_map(crashed).collect();
        for (index, id) in crashed {
            let since =
                *self.crashed_since.borrow_mut().entry(id.clone()).or_insert_with(Instant::now);
            if since.elapsed() > RESTART_DELAY {
                self.crashed_since.borrow_mut().remove(&id);
                self.note(&format!("revive server={index}"));
                self.restart(index).await;
            }
        }
    }

    /// Registers a server in the store and renews its entry with heartbeats until it crashes.
    fn list(&self, server: &Rc<ServerStandin>) {
        server.register(&self.store);
        let (registered, store) = (Rc::clone(server), Rc::clone(&self.store));
        spawn_local(async move {
            while !registered.is_crashed() {
                sleep(BEAT).await;
                if !registered.is_crashed() && !registered.freezer.is_frozen() {
                    registered.register(&store);
                }
            }
        });
    }

    fn detach_server(&self, index: usize) -> Rc<ServerStandin> {
        self.server_proxies.borrow_mut().remove(index);
        let server = self.servers.borrow_mut().remove(index);
        self.removed.borrow_mut().push(Rc::clone(&server));
        server
    }

    async fn replace(&self, server: &ServerStandin) {
        if let Err(error) = self.add_server(server.engine.is_some()).await {
            self.note(&format!("no new server: {error}"));
        }
    }

    /// Crashes a server and starts another in its place; its entry is removed three heartbeats later.
    pub async fn crash(self: &Rc<Self>, index: usize) {
        let server = self.detach_server(index);
        server.crash();
        self.replace(&server).await;
        let store = Rc::clone(&self.store);
        spawn_local(async move {
            sleep(BEAT * 3).await;
            store.remove_server(&server.id);
        });
    }

    /// Crashes a server and restarts it at once under its id and at its address, with nothing loaded.
    pub async fn restart(&self, index: usize) {
        let server = Rc::clone(&self.servers.borrow()[index]);
        server.crash();
        match server.start_again(server.addr).await {
            Ok(again) => {
                again.listed.set(server.listed.get());
                if again.engine.is_some() {
                    *again.version.borrow_mut() = self.newest_version();
                    again.events.set((EVENTS, EVENT_GAP));
                }
                self.list(&again);
                // The list of servers may have changed while this waited for the port.
                let mut servers = self.servers.borrow_mut();
                match servers.iter().position(|s| Rc::ptr_eq(s, &server)) {
                    Some(place) => {
                        let proxy = &self.server_proxies.borrow()[place];
                        self.port.end(proxy);
                        self.close_at_crash(&again, proxy);
                        servers[place] = again;
                        self.removed.borrow_mut().push(server);
                    }
                    // Another task has removed it from the list.
                    None => again.crash(),
                }
            }
            Err(error) => self.note(&format!("not started again: {error}")),
        }
    }

    /// Announces that a server leaves and starts another; the old one keeps serving for [`LEAVE_TIME`].
    pub async fn leave(self: &Rc<Self>, index: usize) {
        let server = self.detach_server(index);
        server.leaving.set(true);
        server.says_leaving.set(true);
        server.register(&self.store);
        self.replace(&server).await;
        let store = Rc::clone(&self.store);
        spawn_local(async move {
            sleep(LEAVE_TIME).await;
            server.crash();
            store.remove_server(&server.id);
        });
    }

    fn newest_version(&self) -> String {
        format!("v{}", self.release.get())
    }

    /// Returns the place of an engine that does not have the newest software version; `None` if all have.
    pub fn outdated_engine(&self) -> Option<usize> {
        let newest = self.newest_version();
        let is_outdated =
            |s: &Rc<ServerStandin>| s.engine.is_some() && *s.version.borrow() != newest;
        self.servers.borrow().iter().position(is_outdated)
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, daemon: usize, signal: Signal) {
        self.daemons[daemon].borrow_mut().signal(signal);
    }

    /// Cuts a process off from all present servers, or ends the cut with `None`.
    pub fn set_cut(&self, cut: Option<Cut>) {
        self.server_proxies.borrow().iter().for_each(|proxy| proxy.set_cut(cut));
    }

    /// Rewrites a daemon's settings file, with invalid TOML unless `good`.
    pub fn rewrite_settings(&self, daemon: usize, good: bool) {
        if let Err(error) = self.daemons[daemon].borrow().write_settings(good) {
            self.note(&format!("settings not written: {error}"));
        }
    }

    /// Returns the next version of the configuration.
    pub fn next_version(&self) -> u64 {
        self.version.set(self.version.get() + 3);
        self.version.get()
    }

    /// Restarts daemons that have exited.
    ///
    /// # Errors
    ///
    /// A daemon's program cannot be started.
    pub fn restart_exited(&self) -> io::Result<()> {
        self.daemons.iter().try_for_each(|d| d.borrow_mut().restart_exited())
    }
}
