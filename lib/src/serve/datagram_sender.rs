//! Sends datagrams to other daemons.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Weak;

use tokio::net::UdpSocket;

use crate::cluster::digest::Payload;
use crate::cluster::digest::PeerMessage;
use crate::serve::daemon_state::DaemonState;

/// Sends datagrams to other daemons. A datagram may be lost on the way.
pub trait DatagramSender: fmt::Debug {
    /// Sends a datagram; returns whether it left this host.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> bool;
}

impl DatagramSender for UdpSocket {
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> bool {
        self.try_send_to(bytes, to).is_ok()
    }
}

impl DaemonState {
    /// Encodes a message to other daemons.
    pub fn encode_message(&self, payload: Payload) -> Vec<u8> {
        let settings = self.settings();
        let (from, port) = (settings.id.clone(), settings.peer.port());
        PeerMessage { from, process: self.process, port, payload }.encode()
    }

    /// Sends a datagram to another daemon, and counts its bytes as of `kind`.
    pub fn send_datagram(&self, to: SocketAddr, bytes: &[u8], kind: &'static str) {
        let sender = self.datagrams.borrow().as_ref().and_then(Weak::upgrade);
        // A datagram that cannot be sent now is dropped, like one that is lost on the way.
        if sender.is_some_and(|sender| sender.send(to, bytes)) {
            self.metrics.record_control_bytes(kind, bytes.len());
        }
    }
}
