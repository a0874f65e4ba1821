//! Client for queries to another daemon over TCP.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::claim_outcomes::ClaimOutcome;
use crate::ids::ClaimKey;
use crate::ids::Offset;
use crate::node::Node;
use crate::peer_message::PeerQuery;
use crate::peer_message::PeerReply;
use crate::peer_message::read_message;
use crate::peer_message::write_message;
use crate::record::Entry;
use crate::replicated_state::ReplicatedState;
use crate::wire::MAX_MESSAGE;

/// Longest wait for a TCP connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a reply, beyond the time for which the query itself lets the peer wait.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

fn send_query(
    node: &Node,
    addr: SocketAddr,
    query: &PeerQuery,
    wait: Duration,
) -> io::Result<PeerReply> {
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait + REPLY_TIMEOUT))?;
    stream.set_write_timeout(Some(REPLY_TIMEOUT))?;
    let sent = write_message(&mut stream, query)?;
    node.metrics.record_control_bytes("peer_tcp", sent);
    read_message(&mut stream, MAX_MESSAGE)
}

/// Returns the outcome of a claimed request; `None` if the peer does not know it or cannot be
/// reached.
///
/// The peer waits up to `wait` for the request to end.
pub fn fetch_outcome(
    node: &Node,
    addr: SocketAddr,
    key: ClaimKey,
    wait: Duration,
) -> Option<ClaimOutcome> {
    match send_query(node, addr, &PeerQuery::Outcome(key, wait.as_millis() as u64), wait) {
        Ok(PeerReply::Outcome(outcome)) => Some(outcome.into()),
        Ok(_) | Err(_) => None,
    }
}

/// Returns log entries from `from` on that a peer has read; `None` if it no longer keeps them or
/// cannot be reached.
pub fn fetch_entries(node: &Node, addr: SocketAddr, from: Offset) -> Option<Vec<(Offset, Entry)>> {
    match send_query(node, addr, &PeerQuery::Entries(from), Duration::ZERO) {
        Ok(PeerReply::Entries(entries)) => Some(entries),
        Ok(_) | Err(_) => None,
    }
}

/// Returns a peer's whole replicated state; `None` if it cannot be reached.
pub fn fetch_state(node: &Node, addr: SocketAddr) -> Option<ReplicatedState> {
    match send_query(node, addr, &PeerQuery::State, Duration::ZERO) {
        Ok(PeerReply::State(state)) => Some(*state),
        Ok(_) | Err(_) => None,
    }
}
