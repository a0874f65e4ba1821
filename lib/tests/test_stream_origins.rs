//! Tests which software versions of streams are known, which daemons keep them, and when a service has one version only.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::digest::PeerMessage;
use comfreymux_lib::cluster::origin_holders::LARGE_FLEET_ASKED;
use comfreymux_lib::cluster::origin_holders::LARGE_FLEET_COPIES;
use comfreymux_lib::cluster::origin_holders::origin_holders;
use comfreymux_lib::cluster::origin_message::OriginMessage;
use comfreymux_lib::cluster::origin_message::OriginReport;
use comfreymux_lib::cluster::stream_origin::StreamOrigin;
use comfreymux_lib::cluster::stream_origin::stream_key;
use comfreymux_lib::cluster::stream_origins::MAX_STREAM_TIME;
use comfreymux_lib::cluster::stream_origins::StreamOrigins;
use comfreymux_lib::cluster::version_history::VersionHistory;
use comfreymux_lib::ids::CentreId;
use comfreymux_lib::ids::DaemonId;
use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const NOW: Moment = Duration::from_hours(1);
const SERVICE: &str = "draft";

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: SERVICE.into(), version: version.into() }
}

/// Guards against a stream that goes on at the version of another one whose caller used the same attempt id.
#[test]
fn same_id() {
    let mut origins = StreamOrigins::default();
    let stream = stream_key("a1");
    let ttl = Duration::from_secs(10);
    let first = origins.record_own(stream, origin("v1").hash(), ttl, NOW);
    origins.record_peer(first, NOW);
    let known = origins.get(stream, NOW).expect("known");
    assert_eq!(known.hash, Some(origin("v1").hash()));
    origins.record_own(stream, origin("v2").hash(), ttl, NOW);
    origins.record_peer(first, NOW);
    assert_eq!(origins.get(stream, NOW).expect("known").hash, None);
    assert_eq!(origins.report(stream, NOW).expect("a report").origin(), None);
}

/// Guards against records that a caller can no longer need, or that a caller's deadline keeps for hours.
#[test]
fn records_expire() {
    let mut origins = StreamOrigins::default();
    let ttl = Duration::from_secs(10);
    origins.record_own(1, 7, ttl, NOW);
    origins.record_own(2, 7, Duration::from_hours(9), NOW);
    assert!(origins.get(1, NOW + ttl).is_some());
    assert!(origins.get(1, NOW + ttl * 2).is_none());
    assert!(origins.get(2, NOW + ttl * 2).is_some());
    assert!(origins.get(2, NOW + MAX_STREAM_TIME).is_none());
}

/// Guards against a table that grows with the streams that callers or peers name.
#[test]
fn table_bounded() {
    let mut origins = StreamOrigins::default();
    for stream in 0..100_007 {
        origins.record_peer(OriginReport::new(stream, Some(7), 60), NOW);
    }
    assert_eq!(origins.streams().count(), 100_000);
    assert_eq!(origins.dropped(), 7);
    let later = NOW + Duration::from_mins(2);
    origins.record_peer(OriginReport::new(200_000, Some(7), 60), later);
    assert_eq!(origins.streams().count(), 1);
}

/// Guards against records that cost too much to send to peers, and against daemons of another version that take them
/// for a digest.
#[test]
fn message_small() {
    let report = OriginReport::new(u64::MAX, Some(u32::MAX), 600);
    let message = OriginMessage::Reports(vec![report]);
    let bytes = message.encode();
    assert!(bytes.len() <= 20, "{} bytes", bytes.len());
    assert_eq!(OriginMessage::decode(&bytes), Ok(message));
    PeerMessage::decode(&bytes).expect_err("another format");
}

fn fleet(count: usize) -> Vec<(DaemonId, CentreId)> {
    let daemon = |n: usize| (format!("d{n}").into(), format!("c{}", n % 5).into());
    (0..count).map(daemon).collect()
}

fn holders(stream: u64, fleet: &[(DaemonId, CentreId)], count: usize) -> Vec<DaemonId> {
    let daemons = fleet.iter().map(|(id, centre)| (id, centre));
    origin_holders(stream, daemons, count).into_iter().cloned().collect()
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(46), ..Config::default() })]

    /// Guards against records that are lost with one data centre.
    #[test]
    fn centres_spread(stream in any::<u64>(), count in 2_usize..60) {
        let fleet = fleet(count);
        let list = holders(stream, &fleet, 2);
        let centre = |id: &DaemonId| fleet.iter().find(|(other, _)| other == id).map(|(_, c)| c);
        assert_ne!(centre(&list[0]), centre(&list[1]));
    }

    /// Guards against a daemon that asks none of the daemons that keep a record, since others have joined or left.
    #[test]
    fn holders_asked(stream in any::<u64>(), left in any::<[u8; 3]>(), joined in 0_usize..3) {
        let mut fleet = fleet(60);
        let kept = holders(stream, &fleet, LARGE_FLEET_COPIES);
        for place in left {
            fleet.remove(usize::from(place) % fleet.len());
        }
        fleet.extend((0..joined).map(|n| (format!("new{n}").into(), "c1".into())));
        let asked = holders(stream, &fleet, LARGE_FLEET_ASKED);
        let alive = |id: &&DaemonId| fleet.iter().any(|(other, _)| other == *id);
        assert!(kept.iter().filter(alive).all(|id| asked.contains(id)), "{kept:?} {asked:?}");
    }
}

/// Guards against a daemon that has just started and takes the version that it lists for the only one.
#[test]
fn only_version() {
    let mut history = VersionHistory::default();
    let (service, later) = (SERVICE.into(), NOW + MAX_STREAM_TIME);
    history.observe(&service, &"v1".into(), NOW);
    assert_eq!(history.only_version(SERVICE, NOW), None);
    history.load([], NOW);
    assert_eq!(history.only_version(SERVICE, NOW), Some(&"v1".into()));
    assert_eq!(history.only_version("other", NOW), None);
    history.load([(service.clone(), vec!["v0".into()])], NOW);
    assert_eq!(history.only_version(SERVICE, NOW), None);
    history.observe(&service, &"v1".into(), later);
    assert_eq!(history.only_version(SERVICE, later), None);
    let after = later + Duration::from_millis(1);
    assert_eq!(history.only_version(SERVICE, after), Some(&"v1".into()));
}

/// Guards against a stream that is lost with all daemons, since the one that took it up regards it as that of the peer
/// which began it, and does not store it.
#[test]
fn resumed_stored() {
    let mut origins = StreamOrigins::default();
    let stream = stream_key("a1");
    let ttl = Duration::from_secs(10);
    let began = StreamOrigins::default().record_own(stream, origin("v1").hash(), ttl, NOW);
    origins.record_peer(began, NOW);
    assert!(origins.unfinished(NOW).is_empty(), "the peer stores it");
    origins.record_own(stream, origin("v1").hash(), ttl, NOW);
    assert_eq!(origins.unfinished(NOW).len(), 1);
    origins.record_peer(began, NOW);
    assert_eq!(origins.unfinished(NOW).len(), 1, "a late report from the peer changes nothing");
    origins.complete(stream);
    assert!(origins.unfinished(NOW).is_empty());
}

/// Guards against a read of the stored versions that began before changes of the servers were missed: it may lack a version
/// that came and went in between.
#[test]
fn gap_while_reading() {
    let mut history = VersionHistory::default();
    let one = || [(SERVICE.into(), vec!["v1".into()])];
    history.begin_read();
    history.record_gap();
    history.load(one(), NOW);
    assert_eq!(history.only_version(SERVICE, NOW), None);
    history.begin_read();
    history.load(one(), NOW);
    assert!(history.only_version(SERVICE, NOW).is_some());
    history.record_gap();
    assert_eq!(history.only_version(SERVICE, NOW), None);
}
