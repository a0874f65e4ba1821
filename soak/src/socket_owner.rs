//! Finds out which process a loopback connection comes from.

use std::fs;
use std::io;
use std::net::SocketAddr;

use netlink_packet_core::NLM_F_REQUEST;
use netlink_packet_core::NetlinkHeader;
use netlink_packet_core::NetlinkMessage;
use netlink_packet_core::NetlinkPayload;
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::AF_INET;
use netlink_packet_sock_diag::constants::IPPROTO_TCP;
use netlink_packet_sock_diag::inet::ExtensionFlags;
use netlink_packet_sock_diag::inet::InetRequest;
use netlink_packet_sock_diag::inet::SocketId;
use netlink_packet_sock_diag::inet::StateFlags;
use netlink_sys::Socket;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;

/// Matches any cookie (`INET_DIAG_NOCOOKIE`).
const NO_COOKIE: [u8; 8] = [0xff; 8];
/// More than the kernel's answer to a query for one socket.
const ANSWER_BYTES: usize = 4096;

/// Returns whether a process has the socket of a connection from `local` to `remote`.
///
/// # Errors
///
/// The kernel cannot be asked, or the process has ended.
pub fn is_owner(pid: u32, local: SocketAddr, remote: SocketAddr) -> io::Result<bool> {
    let Some(inode) = inode(local, remote)? else { return Ok(false) };
    let target = format!("socket:[{inode}]");
    for entry in fs::read_dir(format!("/proc/{pid}/fd"))? {
        // A descriptor may be closed while the folder is read.
        if fs::read_link(entry?.path()).is_ok_and(|link| link.as_os_str() == target.as_str()) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Returns the inode of a connection's socket at `local`; `None` if it is closed. Queries one socket: reading the kernel's
/// table of all takes the longer, the more there are on the host.
fn inode(local: SocketAddr, remote: SocketAddr) -> io::Result<Option<u32>> {
    let socket_id = SocketId {
        source_port: local.port(),
        destination_port: remote.port(),
        source_address: local.ip(),
        destination_address: remote.ip(),
        interface_id: 0,
        cookie: NO_COOKIE,
    };
    let request = InetRequest {
        family: AF_INET,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id,
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut query = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    query.finalize();
    let mut bytes = vec![0; query.buffer_len()];
    query.serialize(&mut bytes);

    let socket = Socket::new(NETLINK_SOCK_DIAG)?;
    socket.send(&bytes, 0)?;
    let mut answer = Vec::with_capacity(ANSWER_BYTES);
    socket.recv(&mut answer, 0)?;
    let answer = NetlinkMessage::<SockDiagMessage>::deserialize(&answer);
    match answer.map_err(io::Error::other)?.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(found)) => {
            Ok(Some(found.header.inode))
        }
        // The kernel knows no such socket.
        _ => Ok(None),
    }
}
