//! Filters between the control thread and the platform: appends, reports, orders, hosts.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use smol_str::SmolStr;

use crate::engine::Engine;
use crate::event::Event;
use crate::host::OrderAnswer;
use crate::host_list::HostBook;
use crate::host_list::HostList;
use crate::log_service::LogService;
use crate::node::Input;
use crate::node::Node;
use crate::record::Entry;
use crate::shell::Errand;
use crate::shell::Outputs;
use crate::wire;

/// Threads that ask for reports: a silent backend server holds one for its timeout.
const POLLERS: usize = 12;
/// Threads that give orders.
const ORDERERS: usize = 4;
/// Time between looks at the host list.
const HOSTS_PERIOD: Duration = Duration::from_millis(500);

/// The platform and the engines, as traits.
#[derive(Clone, Debug)]
pub struct Borders {
    /// The log service.
    pub log: Arc<dyn LogService>,
    /// The host list.
    pub hosts: Arc<dyn HostList>,
    /// The engines' control side.
    pub engine: Arc<dyn Engine>,
}

/// Starts the filters; they end when the control thread drops its channels.
///
/// # Errors
///
/// The system gives no thread.
pub fn start(node: &Arc<Node>, borders: &Borders, socket: UdpSocket) -> io::Result<Outputs> {
    let (appends, entries) = flume::unbounded();
    let (polls, asked) = flume::unbounded();
    let (orders, errands) = flume::unbounded();
    let log = Arc::clone(&borders.log);
    spawn("append", node, move |node| append(node, log.as_ref(), &entries))?;
    for _ in 0..POLLERS {
        let (engine, asked) = (Arc::clone(&borders.engine), asked.clone());
        spawn("poll", node, move |node| poll(node, engine.as_ref(), &asked))?;
    }
    for _ in 0..ORDERERS {
        let (engine, errands) = (Arc::clone(&borders.engine), errands.clone());
        spawn("order", node, move |node| order(node, engine.as_ref(), &errands))?;
    }
    let hosts = Arc::clone(&borders.hosts);
    spawn("hosts", node, move |node| watch_hosts(node, hosts.as_ref()))?;
    Ok(Outputs { appends, polls, orders, socket })
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
        if !node.tell(Input::Event(Event::Appended { sequence, done })) {
            return;
        }
    }
}

fn poll(node: &Node, engine: &dyn Engine, asked: &flume::Receiver<(SmolStr, SocketAddr)>) {
    for (server, addr) in asked {
        let report = engine.report(addr).ok();
        if !node.tell(Input::Event(Event::Report(server, report))) {
            return;
        }
    }
}

fn order(node: &Node, engine: &dyn Engine, errands: &flume::Receiver<Errand>) {
    for (addr, order, until) in errands {
        // The process may have been paused since the decision; the lease is looked at again just
        // before the write.
        let late = until.is_some_and(|until| node.now() >= until);
        let answer = if late { OrderAnswer::Unsent } else { engine.order(addr, &order) };
        if !node.tell(Input::Event(Event::Ordered(order, answer))) {
            return;
        }
    }
}

fn watch_hosts(node: &Node, list: &dyn HostList) {
    let mut book = HostBook::default();
    loop {
        let hosts = list.changes(book.version()).ok().and_then(|change| book.apply(change));
        if let Some(hosts) = hosts
            && !node.tell(Input::Event(Event::Hosts(hosts)))
        {
            return;
        }
        if node.control.is_disconnected() {
            return;
        }
        thread::sleep(HOSTS_PERIOD);
    }
}
