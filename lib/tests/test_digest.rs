//! Datagrams between daemons.

use comfreymux_lib::cluster::digest::Content;
use comfreymux_lib::cluster::digest::Digest;
use comfreymux_lib::cluster::digest::LeftNote;
use comfreymux_lib::cluster::digest::LoadNote;
use comfreymux_lib::cluster::digest::MessageError;
use comfreymux_lib::cluster::digest::PeerMessage;
use comfreymux_lib::cluster::server_instance::ServerStart;

fn message() -> PeerMessage {
    let server = ServerStart { id: "e1".into(), born: Some(1_700_000_000_123) };
    let digest = Digest {
        centre: "north".into(),
        config: 7,
        config_age: 0,
        servers: 90,
        left: vec![LeftNote { server: server.clone(), beat: 12 }],
        ready: true,
        small: false,
        loads: vec![LoadNote { server, model: Some("hem".into()), running: 3, prompt: 40 }],
        limits: <_>::default(),
        quarantine: <_>::default(),
        tenure: None,
    };
    PeerMessage { from: "d1".into(), process: 5, port: 7001, content: Content::Digest(digest) }
}

#[test]
fn message_kept() {
    assert_eq!(PeerMessage::decode(&message().encode()), Ok(message()));
}

/// Hosts are updated one by one. A datagram of the version before, whose servers had no start, can decode
/// to a server with a start far in the future, and no later start of it would ever be believed.
#[test]
fn format_checked() {
    let plain = postcard::to_stdvec(&message()).expect("encoded");
    assert_eq!(PeerMessage::decode(&plain), Err(MessageError::Format));
    assert_eq!(PeerMessage::decode(&[]), Err(MessageError::Format));
    let bytes = message().encode();
    let cut = PeerMessage::decode(&bytes[..bytes.len() - 1]);
    assert!(matches!(cut, Err(MessageError::Malformed(_))), "{cut:?}");
}
