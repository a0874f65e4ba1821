//! A daemon process: opens its sockets, starts its threads and stops them gracefully.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use miette::Diagnostic;
use slog::Logger;
use thiserror::Error;
use tiny_http::Server;

use crate::backend_client::BackendClient;
use crate::control::ControlSettings;
use crate::control::Controller;
use crate::control_thread::ControlThread;
use crate::event::Event;
use crate::gateway;
use crate::ids::Incarnation;
use crate::log_reader;
use crate::node::ControlInput;
use crate::node::Node;
use crate::peer_server::PeerServer;
use crate::settings::Settings;
use crate::timer::Clock;
use crate::timer::Timer;
use crate::trace::TraceWriter;
use crate::workers;
use crate::workers::PlatformClients;

/// Period of the control state machine's ticks.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Time between two checks for requests in progress during a graceful stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the threads end, in which the release of the lease is appended and the load balancer
/// notices that the daemon is not ready.
const RELEASE_WAIT: Duration = Duration::from_secs(2);

/// Why a daemon failed to start.
#[derive(Debug, Diagnostic, Error)]
pub enum StartError {
    /// Listening on the address for callers failed.
    #[error("cannot listen on {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The I/O error.
        #[source]
        source: io::Error,
    },
    /// Opening the address for other daemons failed.
    #[error("cannot open the peer address {addr}")]
    Peer {
        /// The address.
        addr: SocketAddr,
        /// The I/O error.
        #[source]
        source: io::Error,
    },
    /// The trace file could not be created.
    #[error("cannot write the trace")]
    Trace(#[source] io::Error),
    /// The operating system refused a thread or socket.
    #[error("the system refused a thread or socket")]
    System(#[source] io::Error),
}

/// A running daemon.
pub struct Daemon {
    node: Arc<Node>,
    server: Arc<Server>,
    /// Address for callers.
    pub addr: SocketAddr,
    control: JoinHandle<()>,
    accept: JoinHandle<()>,
}

impl fmt::Debug for Daemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Daemon").field("addr", &self.addr).finish_non_exhaustive()
    }
}

/// Returns an incarnation from the wall clock, in milliseconds since 1970: a later start gets a
/// larger one.
pub fn incarnation_now() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as Incarnation
}

/// Sockets of a daemon, opened first so that their addresses are known before it starts.
pub struct Sockets {
    server: Server,
    peers: PeerServer,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Address for other daemons.
    pub peer_addr: SocketAddr,
}

impl fmt::Debug for Sockets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sockets").field("addr", &self.addr).finish_non_exhaustive()
    }
}

impl Sockets {
    /// Opens the address for callers and the one for other daemons; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be used.
    pub fn open(listen: SocketAddr, peer: SocketAddr) -> Result<Self, StartError> {
        let listen_error = |source| StartError::Listen { addr: listen, source };
        let listener = gateway::listen(listen).map_err(listen_error)?;
        let addr = listener.local_addr().map_err(listen_error)?;
        let server = Server::from_listener(listener, None)
            .map_err(|e| listen_error(io::Error::other(e.to_string())))?;
        let peers =
            PeerServer::bind(peer).map_err(|source| StartError::Peer { addr: peer, source })?;
        let peer = peers.addr().map_err(StartError::System)?;
        Ok(Self { server, peers, addr, peer_addr: peer })
    }
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the trace file cannot be created, or if the system refuses a thread or socket.
    pub fn start(
        settings: Settings,
        incarnation: Incarnation,
        sockets: Sockets,
        clients: &PlatformClients,
        backend_client: Arc<dyn BackendClient>,
        log: Logger,
    ) -> Result<Self, StartError> {
        let control = ControlSettings {
            id: settings.id.clone(),
            incarnation,
            centre: settings.centre.clone(),
            append_gap: settings.append_gap,
            keep_warm: settings.keep_warm,
            poll_interval: settings.poll_interval,
        };
        let trace = settings
            .trace_path
            .as_ref()
            .map(|path| TraceWriter::create(path, &control))
            .transpose()
            .map_err(StartError::Trace)?;
        let (sender, inputs) = flume::unbounded();
        let node = Arc::new(Node::new(settings, incarnation, sender, backend_client, log));
        let controller = Controller::new(control);
        let Sockets { server, peers, addr, .. } = sockets;
        let control_thread = (|| {
            let socket = peers.start(&node)?;
            let outputs = workers::start(&node, clients, socket)?;
            let log = Arc::clone(&clients.log);
            workers::spawn("log-reader", &node, move |node| log_reader::run(node, log.as_ref()))?;
            Ok(ControlThread::new(Arc::clone(&node), controller, outputs, trace))
        })()
        .map_err(StartError::System)?;
        start_ticks(&node);
        let server = Arc::new(server);
        let spawn = |name: &str, run: Box<dyn FnOnce() + Send>| {
            thread::Builder::new().name(name.into()).spawn(run).map_err(StartError::System)
        };
        let control = spawn("control", Box::new(move || control_thread.run(&inputs)))?;
        let (accepting, accepted) = (Arc::clone(&node), Arc::clone(&server));
        let accept = spawn("accept", Box::new(move || gateway::run(&accepting, &accepted)))?;
        slog::info!(node.log, "start"; "peer" => node.settings.peer_addr.to_string(),
            "listen" => addr.to_string(), "centre" => node.settings.centre.as_str(),
            "daemon" => node.settings.id.as_str());
        Ok(Self { node, server, addr, control, accept })
    }

    /// Returns the state shared by the daemon's threads.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Stops gracefully: refuses new requests, waits for those in progress, and releases the lease.
    ///
    /// Returns whether every request in progress ended by itself within the `drain` setting.
    pub fn stop(self) -> bool {
        let node = &self.node;
        node.stopping.store(true, Ordering::Relaxed);
        node.waiting.close();
        let deadline = node.now() + node.settings.drain_timeout;
        while node.limits().total() > 0 && node.now() < deadline {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        let unfinished = node.limits().total();
        node.send(ControlInput::Event(Event::Stop));
        thread::sleep(RELEASE_WAIT.min(node.settings.drain_timeout));
        slog::info!(node.log, "stop"; "cut" => unfinished, "daemon" => node.settings.id.as_str());
        self.abort();
        unfinished == 0
    }

    /// Ends the daemon's threads without waiting for requests or releasing the lease, like a crash.
    pub fn abort(self) {
        self.node.send(ControlInput::Shutdown);
        self.server.unblock();
        // A thread that panicked has already printed that to standard error.
        let _panicked = self.control.join();
        let _panicked = self.accept.join();
    }
}

fn start_ticks(node: &Arc<Node>) {
    let timer = Timer::start(Clock::start());
    let control = node.control.clone();
    // The control thread reads its own clock; the timer only triggers the ticks.
    timer.subscribe(TICK_PERIOD, move |_| {
        // Skips ticks while more than 1000 inputs are queued, so that they do not pile up behind a
        // slow control thread.
        control.len() > 1000 || control.send(ControlInput::Event(Event::Tick)).is_ok()
    });
}
