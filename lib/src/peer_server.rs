//! The exchange with other daemons: datagrams both ways, and questions that they ask over TCP.

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

/// Largest question.
const MAX_ASK: usize = 1024;
/// Most questions that are answered at once.
const MAX_ASKING: usize = 128;
/// Longest wait for the outcome of a claimed request.
const MAX_WAIT: Duration = Duration::from_mins(2);
/// Longest silence of a daemon in the middle of a question.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Sockets of the exchange.
#[derive(Debug)]
pub struct PeerServer {
    udp: UdpSocket,
    tcp: TcpListener,
}

impl PeerServer {
    /// Opens the sockets, both on the same address.
    ///
    /// # Errors
    ///
    /// The address cannot be used.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let tcp = TcpListener::bind(addr)?;
        let udp = UdpSocket::bind(tcp.local_addr()?)?;
        Ok(Self { udp, tcp })
    }

    /// Returns the address of both sockets.
    ///
    /// # Errors
    ///
    /// The socket is broken.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    /// Starts the threads that listen; returns the socket to send datagrams from.
    ///
    /// # Errors
    ///
    /// The system gives no thread or socket.
    pub fn start(self, node: &Arc<Node>) -> io::Result<UdpSocket> {
        let sending = self.udp.try_clone()?;
        let receiving = Arc::clone(node);
        let udp = self.udp;
        thread::Builder::new().name("peer-udp".into()).spawn(move || receive(&receiving, &udp))?;
        let answering = Arc::clone(node);
        let tcp = self.tcp;
        thread::Builder::new().name("peer-tcp".into()).spawn(move || accept(&answering, &tcp))?;
        Ok(sending)
    }
}

/// Reads a datagram that came from `addr`.
///
/// A datagram from an address that is not in the host list, one that names another daemon, and a
/// malformed one are dropped: any host of the network could send it.
pub fn parse_digest(node: &Node, bytes: &[u8], addr: SocketAddr) -> Option<Digest> {
    let digest: Digest = wire::decode(bytes).ok()?;
    let known = node.view.load().daemons.get(&digest.daemon) == Some(&addr);
    let small = digest.demand.len() <= MAX_LINES && digest.hints.len() <= MAX_LINES;
    (known && small).then_some(digest)
}

fn receive(node: &Node, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, addr)) = socket.recv_from(&mut buffer) else {
            // A reset from an earlier datagram's target; the socket still works.
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

fn accept(node: &Arc<Node>, listener: &TcpListener) {
    let asking = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        if node.control.is_disconnected() {
            return;
        }
        let Ok(stream) = stream else {
            continue;
        };
        if asking.load(Ordering::Relaxed) >= MAX_ASKING {
            continue;
        }
        asking.fetch_add(1, Ordering::Relaxed);
        let (node, count) = (Arc::clone(node), Arc::clone(&asking));
        let answer = move || {
            // A peer that breaks off gets no answer.
            let _broken = answer(&node, stream);
            count.fetch_sub(1, Ordering::Relaxed);
        };
        let spawned = thread::Builder::new().name("peer-ask".into()).spawn(answer);
        if spawned.is_err() {
            asking.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn answer(node: &Node, mut stream: TcpStream) -> io::Result<()> {
    let known = {
        let view = node.view.load();
        let from = stream.peer_addr()?.ip();
        view.daemons.values().any(|a| a.ip() == from)
    };
    if !known {
        return Ok(());
    }
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_write_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    let ask: PeerQuery = read_message(&mut stream, MAX_ASK)?;
    let tell = tell(node, &ask);
    let sent = write_message(&mut stream, &tell)?;
    node.metrics.record_control_bytes("peer_tcp", sent);
    Ok(())
}

fn tell(node: &Node, ask: &PeerQuery) -> PeerReply {
    match ask {
        PeerQuery::Entries(from) => {
            let (sender, receiver) = flume::bounded(1);
            node.send(ControlInput::GetEntries(*from, sender));
            let entries = receiver.recv_timeout(READ_TIMEOUT).ok().flatten();
            entries.map_or(PeerReply::Unknown, PeerReply::Entries)
        }
        PeerQuery::State => {
            node.state().map_or(PeerReply::Unknown, |state| PeerReply::State(Box::new(state)))
        }
        PeerQuery::Outcome(key, wait) => {
            let wait = Duration::from_millis(*wait).min(MAX_WAIT);
            let end = node.outcomes.wait(*key, wait);
            end.map_or(PeerReply::Unknown, |end| PeerReply::Outcome(end.into()))
        }
    }
}
