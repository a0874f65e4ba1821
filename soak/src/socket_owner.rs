//! Finds out which process a loopback connection comes from.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

/// Column of the socket's inode in the kernel's table of TCP sockets.
const INODE_COLUMN: usize = 9;

/// Returns whether a process has the socket whose own address is `local`.
///
/// # Errors
///
/// The kernel's tables cannot be read, for example because the process has ended.
pub fn is_owner(pid: u32, local: SocketAddr) -> io::Result<bool> {
    let IpAddr::V4(ip) = local.ip() else { return Ok(false) };
    // A row begins with its number, a colon and the socket's own address. The table has thousands of rows after a
    // while, so it is searched as a whole.
    let shown = format!(": {:08X}:{:04X} ", u32::from_le_bytes(ip.octets()), local.port());
    let table = fs::read_to_string("/proc/net/tcp")?;
    let row = table.find(&shown).and_then(|at| table[at..].lines().next());
    let Some(inode) = row.and_then(|row| row.split_whitespace().nth(INODE_COLUMN)) else {
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
