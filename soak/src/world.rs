//! Everything that one soak has: store, servers, proxies, daemons.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

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

use crate::process::Daemon;
use crate::proxy::Proxy;

/// Time that a server goes on serving after its notice.
const LEAVE_TIME: Duration = Duration::from_secs(4);
/// Time after which a server that crashed under a request starts again.
const DOWN_TIME: Duration = Duration::from_millis(800);
/// Time of a load in the soak.
const LOAD: Duration = Duration::from_millis(300);

/// Sizes of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Daemons.
    pub daemons: usize,
    /// Servers of the plain service.
    pub plain: usize,
    /// Engines.
    pub engines: usize,
}

/// One soak.
#[derive(Debug)]
pub struct World {
    /// The store.
    pub store: Rc<StoreStandin>,
    /// Servers that are listed.
    pub servers: RefCell<Vec<Rc<ServerStandin>>>,
    /// The proxy before each of them.
    pub server_proxies: RefCell<Vec<Rc<Proxy>>>,
    /// A proxy between each daemon and the store.
    pub store_proxies: Vec<Rc<Proxy>>,
    /// A proxy between callers and each daemon.
    pub front_proxies: Vec<Rc<Proxy>>,
    /// The daemons.
    pub daemons: Vec<RefCell<Daemon>>,
    /// Runs of all servers.
    pub runs: Runs,
    /// Bodies of requests that crash every server that begins to run them.
    pub fatal: Fatal,
    /// Servers that crashed under a request, since when.
    pub down: RefCell<BTreeMap<String, Instant>>,
    /// Engines that are gone, for the checks at the end.
    pub gone: RefCell<Vec<Rc<ServerStandin>>>,
    version: Cell<u64>,
    number: Cell<u64>,
    began: Instant,
    notes: RefCell<File>,
}

impl World {
    /// Starts all parts; daemons take addresses of their own from `seed`.
    ///
    /// # Errors
    ///
    /// The system gives no ports, or a program cannot be started.
    pub async fn start(
        size: Size,
        seed: u64,
        program: &Path,
        folder: &Path,
    ) -> io::Result<Rc<Self>> {
        let store = StoreStandin::start().await?;
        store.put_config(&configuration(1));
        let mut daemons = Vec::new();
        let mut store_proxies = Vec::new();
        let mut front_proxies = Vec::new();
        let process = std::process::id().to_be_bytes();
        for n in 0..size.daemons {
            let host = |n: usize| {
                let [_, high, low] = [0, (n / 250) as u8, (n % 250 + 1) as u8];
                Ipv4Addr::new(127, 101 + process[3] % 100, (seed % 40) as u8 * 6 + high, low)
            };
            let front = SocketAddr::from((host(n), 7200));
            let to_store = Proxy::start(store.addr).await?;
            front_proxies.push(Proxy::start(front).await?);
            let other = SocketAddr::from((host((n + 1) % size.daemons), 7380));
            let name = format!("d{n}");
            let daemon = Daemon::new(&name, program, folder, front, to_store.addr, other);
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
            runs: Rc::default(),
            fatal: Rc::default(),
            down: RefCell::default(),
            gone: RefCell::default(),
            version: Cell::new(1),
            number: Cell::new(0),
            began: Instant::now(),
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

    /// Writes a line of the soak's course.
    pub fn note(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        // The course is an aid; without it the soak still counts.
        let _written = writeln!(self.notes.borrow_mut(), "{at} {text}");
    }

    async fn add_server(&self, is_engine: bool) -> io::Result<()> {
        let number = self.number.get();
        self.number.set(number + 1);
        let engine = is_engine.then(|| {
            let models = [["m0", "m1"], ["m0", "m2"], ["m3", "m4"]][number as usize % 3];
            EngineState::new(&models, LOAD)
        });
        let service = if is_engine { "drafting" } else { "booking" };
        let id = format!("s{number}");
        let (runs, fatal) = (&self.runs, &self.fatal);
        let server = ServerStandin::start(&id, service, "north", engine, runs, fatal).await?;
        let proxy = Proxy::start(server.addr).await?;
        server.listed.set(proxy.addr);
        self.list(&server);
        Self::close_at_crash(&server, &proxy);
        self.servers.borrow_mut().push(server);
        self.server_proxies.borrow_mut().push(proxy);
        Ok(())
    }

    /// Lets a server's proxy refuse connections once the server has crashed.
    fn close_at_crash(server: &Rc<ServerStandin>, proxy: &Rc<Proxy>) {
        let (server, proxy) = (Rc::clone(server), Rc::clone(proxy));
        spawn_local(async move {
            server.crashed().await;
            proxy.close();
        });
    }

    /// Starts servers again that crashed under a request a while ago.
    pub async fn revive(&self) {
        let crashed = |(index, server): (usize, &Rc<ServerStandin>)| {
            server.is_crashed().then(|| (index, server.id.clone()))
        };
        let crashed: Vec<_> =
            self.servers.borrow().iter().enumerate().filter_map(crashed).collect();
        for (index, id) in crashed {
            let since = *self.down.borrow_mut().entry(id.clone()).or_insert_with(Instant::now);
            if since.elapsed() > DOWN_TIME {
                self.down.borrow_mut().remove(&id);
                self.note(&format!("revive server={index}"));
                self.restart(index).await;
            }
        }
    }

    /// Lists a server in the store for as long as it lives.
    fn list(&self, server: &Rc<ServerStandin>) {
        server.register(&self.store);
        let (beating, store) = (Rc::clone(server), Rc::clone(&self.store));
        spawn_local(async move {
            while !beating.is_crashed() {
                sleep(BEAT).await;
                if !beating.is_crashed() {
                    beating.register(&store);
                }
            }
        });
    }

    fn take(&self, index: usize) -> Rc<ServerStandin> {
        self.server_proxies.borrow_mut().remove(index);
        let server = self.servers.borrow_mut().remove(index);
        self.gone.borrow_mut().push(Rc::clone(&server));
        server
    }

    async fn replace(&self, server: &ServerStandin) {
        if let Err(error) = self.add_server(server.engine.is_some()).await {
            self.note(&format!("no new server: {error}"));
        }
    }

    /// Crashes a server; its entry goes three heartbeats later, and another takes its place.
    pub async fn crash(self: &Rc<Self>, index: usize) {
        let server = self.take(index);
        server.crash();
        self.replace(&server).await;
        let store = Rc::clone(&self.store);
        spawn_local(async move {
            sleep(BEAT * 3).await;
            store.remove_server(&server.id);
        });
    }

    /// Crashes a server, which starts again at once under its id and at its address, empty.
    pub async fn restart(&self, index: usize) {
        let server = Rc::clone(&self.servers.borrow()[index]);
        server.crash();
        match server.start_again(server.addr).await {
            Ok(again) => {
                again.listed.set(server.listed.get());
                self.list(&again);
                // Others may have come and gone while its port was awaited.
                let mut servers = self.servers.borrow_mut();
                match servers.iter().position(|s| Rc::ptr_eq(s, &server)) {
                    Some(place) => {
                        let proxy = &self.server_proxies.borrow()[place];
                        proxy.open();
                        Self::close_at_crash(&again, proxy);
                        servers[place] = again;
                    }
                    None => again.crash(),
                }
                self.gone.borrow_mut().push(server);
            }
            Err(error) => self.note(&format!("not started again: {error}")),
        }
    }

    /// Replaces a server that gives notice and serves on for a while.
    pub async fn leave(self: &Rc<Self>, index: usize) {
        let server = self.take(index);
        server.leaving.set(true);
        server.register(&self.store);
        self.replace(&server).await;
        let store = Rc::clone(&self.store);
        spawn_local(async move {
            sleep(LEAVE_TIME).await;
            server.crash();
            store.remove_server(&server.id);
        });
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, daemon: usize, signal: Signal) {
        self.daemons[daemon].borrow_mut().signal(signal);
    }

    /// Rewrites a daemon's settings.
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

    /// Starts daemons again that ended.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn tend(&self) -> io::Result<()> {
        self.daemons.iter().try_for_each(|d| d.borrow_mut().tend())
    }
}
