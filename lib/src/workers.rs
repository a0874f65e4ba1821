//! Filters between the control thread and the platform: appends, reports, orders, hosts.

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

/// Threads that ask for reports: a silent backend server holds one for its timeout.
const POLLERS: usize = 12;
/// Threads that give orders.
const ORDERERS: usize = 4;
/// Time between looks at the host list.
const HOSTS_PERIOD: Duration = Duration::from_millis(500);

/// The platform and the engines, as traits.
#[derive(Clone, Debug)]
pub struct PlatformClients {
    /// The log service.
    pub log: Arc<dyn LogService>,
    /// The host list.
    pub hosts: Arc<dyn HostList>,
    /// The engines' control side.
    pub engine: Arc<dyn EngineControl>,
}

/// Starts the filters; they end when the control thread drops its channels.
///
/// # Errors
///
/// The system gives no thread.
pub fn start(
    node: &Arc<Node>,
    clients: &PlatformClients,
    socket: UdpSocket,
) -> io::Result<ControlOutputs> {
    let (appends, entries) = flume::unbounded();
    let (polls, asked) = flume::unbounded();
    let (orders, tasks) = flume::unbounded();
    let log = Arc::clone(&clients.log);
    spawn("append", node, move |node| append(node, log.as_ref(), &entries))?;
    for _ in 0..POLLERS {
        let (engine, asked) = (Arc::clone(&clients.engine), asked.clone());
        spawn("poll", node, move |node| poll(node, engine.as_ref(), &asked))?;
    }
    for _ in 0..ORDERERS {
        let (engine, tasks) = (Arc::clone(&clients.engine), tasks.clone());
        spawn("order", node, move |node| order(node, engine.as_ref(), &tasks))?;
    }
    let hosts = Arc::clone(&clients.hosts);
    spawn("hosts", node, move |node| watch_hosts(node, hosts.as_ref()))?;
    Ok(ControlOutputs { appends, polls, orders, socket })
}

/// Starts a named thread with a small stack.
///
/// # Errors
///
/// The system gives no thread.
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

fn poll(node: &Node, engine: &dyn EngineControl, asked: &flume::Receiver<(SmolStr, SocketAddr)>) {
    for (server, addr) in asked {
        let report = engine.fetch_report(addr).ok();
        if !node.send(ControlInput::Event(Event::Report(server, report))) {
            return;
        }
    }
}

fn order(node: &Node, engine: &dyn EngineControl, tasks: &flume::Receiver<OrderTask>) {
    for (addr, order, until) in tasks {
        // The process may have been paused since the decision; the lease is looked at again just
        // before the write.
        let late = until.is_some_and(|until| node.now() >= until);
        let answer = if late { OrderAnswer::Unsent } else { engine.send_order(addr, &order) };
        if !node.send(ControlInput::Event(Event::Ordered(order, answer))) {
            return;
        }
    }
}

fn watch_hosts(node: &Node, list: &dyn HostList) {
    let mut book = HostListCache::default();
    loop {
        let hosts = list.changes(book.version()).ok().and_then(|change| book.apply(change));
        if let Some(hosts) = hosts
            && !node.send(ControlInput::Event(Event::Hosts(hosts)))
        {
            return;
        }
        if node.control.is_disconnected() {
            return;
        }
        thread::sleep(HOSTS_PERIOD);
    }
}
