//! What a reader of the servers' feed tells those who live by its word.

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

fn server(id: &str, beat: u64, leaving: bool) -> Server {
    Server {
        id: id.into(),
        service: "draft".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        centre: "north".into(),
        slots: 8,
        leaving,
        models: Vec::new(),
        copies: WeightCopies::default(),
        heartbeat: beat,
        born: None,
    }
}

/// Reads one more record of the feed.
fn read(directory: &mut Directory, now: Moment, server: Server) -> Change {
    directory.record_read(now);
    let change = directory.put(server, Bytes::from_static(b"{}"), now);
    directory.advance(directory.feed_end() + 1);
    change
}

/// Requests reach a server four seconds after its notice, from all daemons of three data centres. Their readers had
/// heard of the notice from readers elsewhere, an instant before they read it themselves: then it was no news, and
/// they told nobody.
#[test]
fn hearsay_passed() {
    let mut reader = Directory::default();
    read(&mut reader, ms(0), server("a", 1, false));
    let note = ServerDeparture { server: "a".into(), heartbeat: 2 };
    assert_eq!(reader.apply_departure(&note, ms(1_000)), Change::Leaving);
    assert_eq!(read(&mut reader, ms(1_100), server("a", 2, true)), Change::None);
    assert_eq!(reader.all_departures(ms(1_200)), [note]);
}

/// A server whose entry did not come back after an outage of the store is told as gone: others do not read that.
#[test]
fn swept_told() {
    let mut reader = Directory::default();
    read(&mut reader, ms(0), server("a", 1, false));
    reader.record_read(ms(9_000));
    assert_eq!(reader.remove("a", ms(9_000)), Change::Lapsed);
    assert!(reader.all_departures(ms(9_100)).is_empty());
    assert_eq!(reader.sweep(ms(11_300)), ["a"]);
    assert_eq!(reader.all_departures(ms(11_400)).len(), 1);
    assert!(reader.recent_departures(ms(11_400)).is_empty(), "who reads finds out by itself");
}

/// A daemon that heard nothing for longer than changes are told must not take the next word for the whole: it would
/// miss a server that left meanwhile.
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
        "the end before the first read of the last four seconds"
    );
    reader.clear_history();
    assert_eq!(
        reader.history_start(),
        100,
        "changes between two listings are not known one by one"
    );
}

/// A server that joins is told with its entry; one that left again is not.
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

/// Whoever lives by words has a picture like the reader's, or finds out that it has not.
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
    assert_eq!(reader.checksum(), other.checksum(), "a heartbeat is no change");
    read(&mut reader, ms(200), server("b", 3, true));
    assert_ne!(reader.checksum(), other.checksum());
    for note in reader.all_departures(ms(300)) {
        other.apply_departure(&note, ms(300));
    }
    assert_eq!(reader.checksum(), other.checksum());
    reader.remove("b", ms(400));
    assert_eq!(reader.checksum(), other.checksum(), "one that leaves is as good as gone");
}
