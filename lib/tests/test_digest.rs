//! Encoding and decoding of the datagrams between daemons.

use comfreymux_lib::cluster::digest::Digest;
use comfreymux_lib::cluster::digest::MessageError;
use comfreymux_lib::cluster::digest::Payload;
use comfreymux_lib::cluster::digest::PeerMessage;
use comfreymux_lib::cluster::digest::ServerDeparture;
use comfreymux_lib::cluster::digest::WorkloadReport;
use comfreymux_lib::cluster::server_instance::ServerInstance;

fn message() -> PeerMessage {
    let server = ServerInstance { id: "e1".into(), born: Some(1_700_000_000_123) };
    let digest = Digest {
        centre: "north".into(),
        config_version: 7,
        config_age: 0,
        servers_end: 90,
        departures: vec![ServerDeparture {
            server: server.clone(),
            heartbeat: 12,
            announced: false,
        }],
        ready: true,
        is_small: false,
        workloads: vec![WorkloadReport {
            server,
            model: Some("hem".into()),
            running: 3,
            prompt_tokens: 40,
        }],
        limits: <_>::default(),
        quarantine: <_>::default(),
        lease: None,
    };
    PeerMessage { from: "d1".into(), process: 5, port: 7001, payload: Payload::Digest(digest) }
}

#[test]
fn message_kept() {
    assert_eq!(PeerMessage::decode(&message().encode()), Ok(message()));
}

/// Hosts are updated one by one. A datagram of the previous version, whose servers had no start time, may decode to a
/// server instance with a start time far in the future, which no later instance could supersede.
#[test]
fn format_checked() {
    let plain = postcard::to_stdvec(&message()).expect("a message can be encoded");
    assert_eq!(PeerMessage::decode(&plain), Err(MessageError::Format));
    assert_eq!(PeerMessage::decode(&[]), Err(MessageError::Format));
    let bytes = message().encode();
    let cut = PeerMessage::decode(&bytes[..bytes.len() - 1]);
    assert!(matches!(cut, Err(MessageError::Malformed(_))), "{cut:?}");
}
