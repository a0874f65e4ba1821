//! Which process has a connection.

use std::net::TcpListener;
use std::net::TcpStream;
use std::process;

use comfreymux_soak::socket_owner::is_owner;

/// Id of a process that is not this one, and whose descriptors may be unreadable.
const OTHER_PROCESS: u32 = 1;

/// Guards against a cut that affects connections of no daemon, or of all.
#[test]
fn own_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let proxy = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(proxy).expect("a connection");
    let caller = stream.local_addr().expect("an address");
    let own = process::id();
    assert!(is_owner(own, caller, proxy).expect("the kernel's answer"));
    assert!(!is_owner(OTHER_PROCESS, caller, proxy).unwrap_or(false));
    let elsewhere = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let elsewhere = elsewhere.local_addr().expect("an address");
    assert!(!is_owner(own, caller, elsewhere).expect("the kernel's answer"), "another connection");
    drop(stream);
    assert!(!is_owner(own, caller, proxy).expect("the kernel's answer"), "it is closed");
}
