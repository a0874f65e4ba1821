//! Serves other daemons: receives their UDP digests and answers their TCP queries.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::event::Event;
use crate::node::ControlInput;
use crate::node::Node;
use crate::peer_message::Digest;
use crate::peer_message::MAX_DATAGRAM;
use crate::peer_message::MAX_LINES;
use crate::peer_message::PeerQuery;
use crate::peer_message::PeerReply;
use crate::peer_message::read_message;
use crate::peer_message::write_message;
use crate::wire;

/// Largest query, in bytes.
const MAX_QUERY_BYTES: usize = 1024;
/// Most queries that are answered at once; further connections are closed.
const MAX_CONCURRENT_QUERIES: usize = 128;
/// Longest wait for the outcome of a claimed request.
const MAX_OUTCOME_WAIT: Duration = Duration::from_mins(2);
/// Longest wait for bytes of a query, for a write of its reply, and for log entries from the
/// control thread.
const IO_TIMEOUT: Duration = Duration::from_secs(2);

/// The UDP and TCP sockets that serve other daemons.
#[derive(Debug)]
pub struct PeerServer {
    udp: UdpSocket,
    tcp: TcpListener,
}

impl PeerServer {
    /// Binds both sockets to the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let tcp = TcpListener::bind(addr)?;
        let udp = UdpSocket::bind(tcp.local_addr()?)?;
        Ok(Self { udp, tcp })
    }

    /// Returns the address of both sockets.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of the socket cannot be read.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    /// Starts the threads that serve the sockets; returns the socket to send digests from.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started or the socket cannot be cloned.
    pub fn start(self, node: &Arc<Node>) -> io::Result<UdpSocket> {
        let sending = self.udp.try_clone()?;
        let receiving = Arc::clone(node);
        let udp = self.udp;
        thread::Builder::new()
            .name("peer-udp".into())
            .spawn(move || receive_digests(&receiving, &udp))?;
        let answering = Arc::clone(node);
        let tcp = self.tcp;
        thread::Builder::new()
            .name("peer-tcp".into())
            .spawn(move || accept_queries(&answering, &tcp))?;
        Ok(sending)
    }
}

/// Parses a datagram that was received from `addr`.
///
/// Returns `None` if the datagram is malformed or has too many entries, or if `addr` is not the
/// address that the host list has for the daemon it names: any host of the network can send a
/// datagram.
pub fn parse_digest(node: &Node, bytes: &[u8], addr: SocketAddr) -> Option<Digest> {
    let digest: Digest = wire::decode(bytes).ok()?;
    let known = node.view.load().daemons.get(&digest.daemon) == Some(&addr);
    let small = digest.demand.len() <= MAX_LINES && digest.hints.len() <= MAX_LINES;
    (known && small).then_some(digest)
}

fn receive_digests(node: &Node, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, addr)) = socket.recv_from(&mut buffer) else {
            // The target of an earlier datagram answered with a reset; the socket still works.
            continue;
        };
        let Some(digest) = parse_digest(node, &buffer[..length], addr) else {
            continue;
        };
        node.metrics.record_control_bytes("peer_udp", length);
        let daemon = digest.daemon;
        let alive = node.send(ControlInput::Event(Event::Demand(daemon.clone(), digest.demand)))
            && node.send(ControlInput::Event(Event::Hints(daemon.clone(), digest.hints)))
            && node.send(ControlInput::PeerOffset(daemon, digest.offset, digest.hash));
        if !alive {
            return;
        }
    }
}

fn accept_queries(node: &Arc<Node>, listener: &TcpListener) {
    let active_queries = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        if node.control.is_disconnected() {
            return;
        }
        let Ok(stream) = stream else {
            continue;
        };
        if active_queries.load(Ordering::Relaxed) >= MAX_CONCURRENT_QUERIES {
            continue;
        }
        active_queries.fetch_add(1, Ordering::Relaxed);
        let (node, count) = (Arc::clone(node), Arc::clone(&active_queries));
        let handle = move || {
            // A peer whose connection fails gets no reply.
            let _broken = handle_query(&node, stream);
            count.fetch_sub(1, Ordering::Relaxed);
        };
        let spawned = thread::Builder::new().name("peer-ask".into()).spawn(handle);
        if spawned.is_err() {
            active_queries.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn handle_query(node: &Node, mut stream: TcpStream) -> io::Result<()> {
    let known = {
        let view = node.view.load();
        let from = stream.peer_addr()?.ip();
        view.daemons.values().any(|a| a.ip() == from)
    };
    if !known {
        return Ok(());
    }
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    stream.set_nodelay(true)?;
    let query: PeerQuery = read_message(&mut stream, MAX_QUERY_BYTES)?;
    let reply = answer_query(node, &query);
    let sent = write_message(&mut stream, &reply)?;
    node.metrics.record_control_bytes("peer_tcp", sent);
    Ok(())
}

fn answer_query(node: &Node, query: &PeerQuery) -> PeerReply {
    match query {
        PeerQuery::Entries(from) => {
            let (sender, receiver) = flume::bounded(1);
            node.send(ControlInput::GetEntries(*from, sender));
            let entries = receiver.recv_timeout(IO_TIMEOUT).ok().flatten();
            entries.map_or(PeerReply::Unknown, PeerReply::Entries)
        }
        PeerQuery::State => {
            node.state().map_or(PeerReply::Unknown, |state| PeerReply::State(Box::new(state)))
        }
        PeerQuery::Outcome(key, wait) => {
            let wait = Duration::from_millis(*wait).min(MAX_OUTCOME_WAIT);
            let outcome = node.outcomes.wait(*key, wait);
            outcome.map_or(PeerReply::Unknown, |outcome| PeerReply::Outcome(outcome.into()))
        }
    }
}
