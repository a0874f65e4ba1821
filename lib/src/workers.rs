//! Worker threads between the control thread and the platform. They append to the log, poll server
//! reports, send orders and watch the host list.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use smol_str::SmolStr;

use crate::control_thread::ControlOutputs;
use crate::control_thread::OrderTask;
use crate::engine_control::EngineControl;
use crate::event::Event;
use crate::host::OrderAnswer;
use crate::host_list::HostList;
use crate::host_list::HostListCache;
use crate::log_service::LogService;
use crate::node::ControlInput;
use crate::node::Node;
use crate::record::Entry;
use crate::wire;

/// Number of threads that fetch reports: an unresponsive backend server blocks one for its timeout.
const POLL_THREADS: usize = 12;
/// Number of threads that send orders.
const ORDER_THREADS: usize = 4;
/// Time between polls of the host list.
const HOST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Clients of the platform's services and of the engines.
#[derive(Clone, Debug)]
pub struct PlatformClients {
    /// The log service.
    pub log: Arc<dyn LogService>,
    /// The host list.
    pub hosts: Arc<dyn HostList>,
    /// The engines' control interface.
    pub engine: Arc<dyn EngineControl>,
}

/// Starts the worker threads. They end when the control thread drops its channels.
///
/// # Errors
///
/// A thread cannot be started.
pub fn start(
    node: &Arc<Node>,
    clients: &PlatformClients,
    socket: UdpSocket,
) -> io::Result<ControlOutputs> {
    let (appends, entries) = flume::unbounded();
    let (polls, poll_requests) = flume::unbounded();
    let (orders, order_tasks) = flume::unbounded();
    let log = Arc::clone(&clients.log);
    spawn("append", node, move |node| append(node, log.as_ref(), &entries))?;
    for _ in 0..POLL_THREADS {
        let (engine, poll_requests) = (Arc::clone(&clients.engine), poll_requests.clone());
        spawn("poll", node, move |node| poll(node, engine.as_ref(), &poll_requests))?;
    }
    for _ in 0..ORDER_THREADS {
        let (engine, order_tasks) = (Arc::clone(&clients.engine), order_tasks.clone());
        spawn("order", node, move |node| order(node, engine.as_ref(), &order_tasks))?;
    }
    let hosts = Arc::clone(&clients.hosts);
    spawn("hosts", node, move |node| watch_hosts(node, hosts.as_ref()))?;
    Ok(ControlOutputs { appends, polls, orders, socket })
}

/// Starts a named thread with a stack of 512 KiB.
///
/// # Errors
///
/// A thread cannot be started.
pub fn spawn(
    name: &str,
    node: &Arc<Node>,
    run: impl FnOnce(&Node) + Send + 'static,
) -> io::Result<()> {
    let node = Arc::clone(node);
    let builder = thread::Builder::new().name(name.into()).stack_size(512 * 1024);
    builder.spawn(move || run(&node)).map(drop)
}

fn append(node: &Node, log: &dyn LogService, entries: &flume::Receiver<Entry>) {
    for entry in entries {
        let bytes = wire::encode(&entry);
        node.metrics.record_control_bytes("append", bytes.len());
        let done = log.append(&bytes).is_ok();
        let sequence = entry.sequence;
        if !node.send(ControlInput::Event(Event::Appended { sequence, done })) {
            return;
        }
    }
}

fn poll(
    node: &Node,
    engine: &dyn EngineControl,
    poll_requests: &flume::Receiver<(SmolStr, SocketAddr)>,
) {
    for (server, addr) in poll_requests {
        let report = engine.fetch_report(addr).ok();
        if !node.send(ControlInput::Event(Event::Report(server, report))) {
            return;
        }
    }
}

fn order(node: &Node, engine: &dyn EngineControl, order_tasks: &flume::Receiver<OrderTask>) {
    for (addr, order, until) in order_tasks {
        // The process may have been paused since the decision, so the lease is checked again just
        // before the order is sent.
        let late = until.is_some_and(|until| node.now() >= until);
        let answer = if late { OrderAnswer::Unsent } else { engine.send_order(addr, &order) };
        if !node.send(ControlInput::Event(Event::Ordered(order, answer))) {
            return;
        }
    }
}

fn watch_hosts(node: &Node, list: &dyn HostList) {
    let mut cache = HostListCache::default();
    loop {
        let hosts = list.changes(cache.version()).ok().and_then(|change| cache.apply(change));
        if let Some(hosts) = hosts
            && !node.send(ControlInput::Event(Event::Hosts(hosts)))
        {
            return;
        }
        if node.control.is_disconnected() {
            return;
        }
        thread::sleep(HOST_POLL_INTERVAL);
    }
}
