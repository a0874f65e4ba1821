//! Questions to another daemon over TCP.

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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for an answer that needs no waiting at the other side.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

fn ask(
    node: &Node,
    addr: SocketAddr,
    question: &PeerQuery,
    wait: Duration,
) -> io::Result<PeerReply> {
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait + ANSWER_TIMEOUT))?;
    stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
    let sent = write_message(&mut stream, question)?;
    node.metrics.record_control_bytes("peer_tcp", sent);
    read_message(&mut stream, MAX_MESSAGE)
}

/// Returns how a claimed request ended; none where the daemon cannot tell.
pub fn fetch_outcome(
    node: &Node,
    addr: SocketAddr,
    key: ClaimKey,
    wait: Duration,
) -> Option<ClaimOutcome> {
    match ask(node, addr, &PeerQuery::Outcome(key, wait.as_millis() as u64), wait) {
        Ok(PeerReply::Outcome(end)) => Some(end.into()),
        Ok(_) | Err(_) => None,
    }
}

/// Returns log entries that a peer has read; none where it has not kept them.
pub fn fetch_entries(node: &Node, addr: SocketAddr, from: Offset) -> Option<Vec<(Offset, Entry)>> {
    match ask(node, addr, &PeerQuery::Entries(from), Duration::ZERO) {
        Ok(PeerReply::Entries(entries)) => Some(entries),
        Ok(_) | Err(_) => None,
    }
}

/// Returns a peer's whole state.
pub fn fetch_state(node: &Node, addr: SocketAddr) -> Option<ReplicatedState> {
    match ask(node, addr, &PeerQuery::State, Duration::ZERO) {
        Ok(PeerReply::State(state)) => Some(*state),
        Ok(_) | Err(_) => None,
    }
}
