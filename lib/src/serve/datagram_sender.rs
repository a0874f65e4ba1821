//! Sends datagrams to other daemons.

use std::fmt;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

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
