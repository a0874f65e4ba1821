//! Tests which changes of the servers' feed a reader reports to the daemons that do not read it.

use std::time::Duration;

use bytes::Bytes;
use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::digest::ServerDeparture;
use comfreymux_lib::cluster::directory::Change;
use comfreymux_lib::cluster::directory::Directory;
use comfreymux_lib::cluster::directory::Server;
use comfreymux_lib::cluster::directory::WeightCopies;

const fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn server(id: &str, count: u64, leaving: bool) -> Server {
    Server {
        id: id.into(),
        service: "draft".into(),
        addr: "127.0.0.1:9000".parse().expect("a valid address"),
        centre: "north".into(),
        slots: 8,
        leaving,
        models: Vec::new(),
        copies: WeightCopies::default(),
        version: "v1".into(),
        heartbeat: count,
        born: None,
    }
}

/// Applies one more record of the feed.
fn read(directory: &mut Directory, now: Moment, server: Server) -> Change {
    directory.record_read(now);
    let change = directory.put(server, Bytes::from_static(b"{}"), now);
    directory.advance(directory.feed_end() + 1);
    change
}

/// A reader may learn of a departure from another data centre's reader just before it reads the notice from
/// the feed, when it is no change any more. It must still report the departure: otherwise daemons of all data
/// centres still send requests to the server four seconds after its notice.
#[test]
fn hearsay_passed() {
    let mut reader = Directory::default();
    read(&mut reader, ms(0), server("a", 1, false));
    let note = ServerDeparture { server: "a".into(), heartbeat: 2, announced: false };
    assert_eq!(reader.apply_departure(&note, ms(1_000)), Change::Leaving);
    assert_eq!(read(&mut reader, ms(1_100), server("a", 2, true)), Change::None);
    assert_eq!(reader.all_departures(ms(1_200)), [note]);
}

/// A server whose entry did not return after an outage of the store must be reported as departed: daemons
/// that do not read the feed cannot detect this.
#[test]
fn swept_told() {
    let mut reader = Directory::default();
    read(&mut reader, ms(0), server("a", 1, false));
    reader.record_read(ms(9_000));
    assert_eq!(reader.remove("a", ms(9_000)), Change::Lapsed);
    assert!(reader.all_departures(ms(9_100)).is_empty());
    assert_eq!(reader.sweep(ms(11_300)), ["a"]);
    assert_eq!(reader.all_departures(ms(11_400)).len(), 1);
    assert!(
        reader.recent_departures(ms(11_400)).is_empty(),
        "daemons that read the feed detect this themselves"
    );
}

/// A daemon that received nothing for longer than changes are reported must not treat the next report as
/// complete: it would miss a server that left in between. `history_start` shows the gap.
#[test]
fn gap_shown() {
    let mut reader = Directory::default();
    for n in 0..100_u64 {
        read(&mut reader, ms(n * 100), server("a", n, false));
    }
    assert_eq!(reader.feed_end(), 100);
    assert_eq!(
        reader.history_start(),
        59,
        "the feed end before the first read of the last four seconds"
    );
    reader.clear_history();
    assert_eq!(reader.history_start(), 100, "single changes between two listings are unknown");
}

/// A server that joined must be reported with its entry; one that has left again must not.
#[test]
fn joined_told() {
    let mut reader = Directory::default();
    assert_eq!(read(&mut reader, ms(0), server("a", 1, false)), Change::Joined);
    read(&mut reader, ms(100), server("b", 1, false));
    read(&mut reader, ms(200), server("b", 2, true));
    let joined = reader.recent_joins(ms(300));
    assert_eq!(joined.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(), ["a"]);
    assert!(reader.recent_joins(ms(5_000)).is_empty());
}

/// A daemon that relies on reports must have a directory equal to the reader's, or detect by the checksum
/// that it differs.
#[test]
fn pictures_compared() {
    let mut reader = Directory::default();
    let mut other = Directory::default();
    for directory in [&mut reader, &mut other] {
        read(directory, ms(0), server("a", 1, false));
        read(directory, ms(0), server("b", 1, false));
    }
    assert_eq!(reader.checksum(), other.checksum());
    read(&mut reader, ms(100), server("b", 2, false));
    assert_eq!(reader.checksum(), other.checksum(), "a heartbeat does not change the checksum");
    read(&mut reader, ms(200), server("b", 3, true));
    assert_ne!(reader.checksum(), other.checksum());
    for note in reader.all_departures(ms(300)) {
        other.apply_departure(&note, ms(300));
    }
    assert_eq!(reader.checksum(), other.checksum());
    reader.remove("b", ms(400));
    assert_eq!(
        reader.checksum(),
        other.checksum(),
        "removing a server that was already leaving does not change the checksum"
    );
}
