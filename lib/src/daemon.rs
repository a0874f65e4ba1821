//! A whole daemon: starts the threads, and stops them gracefully.

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

/// Period of the control state machine.
const TICK: Duration = Duration::from_millis(50);
/// Time between looks at the requests in progress during a stop.
const STOP_STEP: Duration = Duration::from_millis(20);
/// Time in which the balancer notices that a stopping daemon is not ready.
const LAST_APPEND: Duration = Duration::from_secs(2);

/// Why a daemon did not start.
#[derive(Debug, Diagnostic, Error)]
pub enum StartError {
    /// The address for callers cannot be used.
    #[error("cannot listen on {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The address for other daemons cannot be used.
    #[error("cannot open the peer address {addr}")]
    Peer {
        /// The address.
        addr: SocketAddr,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The trace file cannot be written.
    #[error("cannot write the trace")]
    Trace(#[source] io::Error),
    /// The system gives no thread or socket.
    #[error("the system refused a thread or socket")]
    System(#[source] io::Error),
}

/// A running daemon.
pub struct Daemon {
    node: Arc<Node>,
    server: Arc<Server>,
    /// Where callers connect.
    pub addr: SocketAddr,
    control: JoinHandle<()>,
    accept: JoinHandle<()>,
}

impl fmt::Debug for Daemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Daemon").field("addr", &self.addr).finish_non_exhaustive()
    }
}

/// A start count from the wall clock: a later start has a larger one.
pub fn incarnation_now() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as Incarnation
}

/// Sockets of a daemon, opened before anything else so that their addresses are known.
pub struct Sockets {
    server: Server,
    peers: PeerServer,
    /// Where callers connect.
    pub addr: SocketAddr,
    /// Where other daemons connect.
    pub peer_addr: SocketAddr,
}

impl fmt::Debug for Sockets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sockets").field("addr", &self.addr).finish_non_exhaustive()
    }
}

impl Sockets {
    /// Opens the addresses of `settings`; a port of 0 takes any free one.
    ///
    /// # Errors
    ///
    /// An address cannot be used.
    pub fn open(listen: SocketAddr, peer: SocketAddr) -> Result<Self, StartError> {
        let refused = |source| StartError::Listen { addr: listen, source };
        let listener = gateway::listen(listen).map_err(refused)?;
        let addr = listener.local_addr().map_err(refused)?;
        let server = Server::from_listener(listener, None)
            .map_err(|e| refused(io::Error::other(e.to_string())))?;
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
    /// The trace cannot be written, or the system refuses a thread.
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
        subscribe(&node);
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

    /// Returns the state that the daemon's threads share.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Stops gracefully: refuses new work, lets requests in progress end, gives up the lease.
    ///
    /// Returns whether every request in progress ended by itself within the `drain` setting.
    pub fn stop(self) -> bool {
        let node = &self.node;
        node.stopping.store(true, Ordering::Relaxed);
        node.waiting.close();
        let end = node.now() + node.settings.drain_timeout;
        while node.limits().total() > 0 && node.now() < end {
            thread::sleep(STOP_STEP);
        }
        let left = node.limits().total();
        node.send(ControlInput::Event(Event::Stop));
        thread::sleep(LAST_APPEND.min(node.settings.drain_timeout));
        slog::info!(node.log, "stop"; "cut" => left, "daemon" => node.settings.id.as_str());
        self.abort();
        left == 0
    }

    /// Ends the daemon's threads without waiting for anything, as a crash would.
    pub fn abort(self) {
        self.node.send(ControlInput::Shutdown);
        self.server.unblock();
        // A thread that panicked has said so on standard error already.
        let _panicked = self.control.join();
        let _panicked = self.accept.join();
    }
}

fn subscribe(node: &Arc<Node>) {
    let timer = Timer::start(Clock::start());
    let control = node.control.clone();
    // The control thread's own clock counts; the timer only paces it.
    timer.subscribe(TICK, move |_| {
        // A slow control thread gets no pile of ticks.
        control.len() > 1000 || control.send(ControlInput::Event(Event::Tick)).is_ok()
    });
}
