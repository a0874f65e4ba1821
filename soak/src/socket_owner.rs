//! Finds out which process a loopback connection comes from.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

/// Column of the local address in the kernel's table of TCP sockets.
const LOCAL_COLUMN: usize = 1;
/// Column of the socket's inode there.
const INODE_COLUMN: usize = 9;

/// Returns whether a process has the socket whose own address is `local`.
///
/// # Errors
///
/// The kernel's tables cannot be read, for example because the process has ended.
pub fn is_owner(pid: u32, local: SocketAddr) -> io::Result<bool> {
    let IpAddr::V4(ip) = local.ip() else { return Ok(false) };
    let shown = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), local.port());
    let table = fs::read_to_string("/proc/net/tcp")?;
    let rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<_>>());
    let found = rows.into_iter().find(|row| row.get(LOCAL_COLUMN) == Some(&shown.as_str()));
    let Some(inode) = found.and_then(|row| row.get(INODE_COLUMN).map(ToString::to_string)) else {
        return Ok(false);
    };
    let target = format!("socket:[{inode}]");
    for entry in fs::read_dir(format!("/proc/{pid}/fd"))? {
        // A descriptor may be closed while the folder is read.
        if fs::read_link(entry?.path()).is_ok_and(|link| link.as_os_str() == target.as_str()) {
            return Ok(true);
        }
    }
    Ok(false)
}
