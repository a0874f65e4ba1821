//! Applying log entries to the replicated state: which records are accepted, which are rejected
//! and why.

use comfreymux_lib::fold;
use comfreymux_lib::fold::Outcome;
use comfreymux_lib::fold::Rejection;
use comfreymux_lib::ids::Fence;
use comfreymux_lib::ids::Position;
use comfreymux_lib::record::Bid;
use comfreymux_lib::record::Entry;
use comfreymux_lib::record::Freed;
use comfreymux_lib::record::Intent;
use comfreymux_lib::record::Phase;
use comfreymux_lib::record::PhaseChange;
use comfreymux_lib::record::Record;
use comfreymux_lib::record::ServerFacts;
use comfreymux_lib::record::Settlement;
use comfreymux_lib::record::Source;
use comfreymux_lib::record::StoredResponse;
use comfreymux_lib::replicated_state::CLAIM_TTL_TICKS;
use comfreymux_lib::replicated_state::ReplicatedState;
use comfreymux_lib::snapshot;
use comfreymux_lib::table::Edit;
use comfreymux_lib::table::Row;
use comfreymux_lib::table::RowChange;
use comfreymux_lib::verdict::Verdict;
use comfreymux_lib::wire;
use comfreymux_testutils::rows;
use rstest::rstest;

#[derive(Default)]
struct Log {
    state: ReplicatedState,
    sequences: std::collections::BTreeMap<String, u64>,
}

impl Log {
    fn append(&mut self, writer: &str, record: Record) -> Outcome {
        let sequence = self.sequences.entry(writer.into()).or_default();
        *sequence += 1;
        let entry = Entry {
            writer: writer.into(),
            incarnation: 1,
            sequence: *sequence,
            records: vec![record],
        };
        self.apply_entry(&entry)
    }

    fn apply_entry(&mut self, entry: &Entry) -> Outcome {
        let offset = self.state.offset;
        fold::apply(&mut self.state, offset, entry)[0]
    }

    fn edit(&mut self, id: &str, base: Position, row: Row) -> Outcome {
        let changes = vec![RowChange { name: row.name.clone(), base, row: Some(row) }];
        self.append("d1", Record::Edit(Edit { id: id.into(), author: "a".into(), changes }))
    }

    fn bid(&mut self, writer: &str, seen: Position) -> Outcome {
        self.append(writer, Record::Bid(Bid { centre: "a".into(), seen }))
    }

    fn intent(&mut self, writer: &str, model: &str, server: &str, fence: Fence) -> Outcome {
        let (model, server) = (model.into(), server.into());
        let source = Source::Disk;
        self.append(writer, Record::Intent(Intent { model, server, incarnation: 1, fence, source }))
    }

    fn server(&mut self, id: &str, incarnation: u64, fencing: bool) -> Outcome {
        let facts = ServerFacts {
            id: id.into(),
            incarnation,
            centre: "a".into(),
            memory_mib: 25_000,
            fencing,
        };
        self.append("d1", Record::Server(facts))
    }

    fn freed(&mut self, writer: &str, slot: Position, fence: Fence, orderer_gone: bool) -> Outcome {
        self.append(writer, Record::Freed(Freed { slot, fence, orderer_gone }))
    }
}

/// Returns a log with a lease of `d1`, a server and three models of one replica, and the lease's
/// fencing number.
fn log_with_lease(fencing: bool) -> (Log, Fence) {
    let mut log = Log::default();
    for name in ["m1", "m2", "m3"] {
        log.edit(name, 0, rows::model(name)).unwrap();
    }
    let fence = log.bid("d1", 0).unwrap();
    log.server("e1", 1, fencing).unwrap();
    (log, fence)
}

#[test]
fn edit_conflict() {
    // Two operators edit version 0 of a row. The second edit to reach the log is rejected as a
    // conflict, and the row keeps the value of the first.
    let mut log = Log::default();
    let first = log.edit("x", 0, Row { limit: 1, ..rows::model("m") }).unwrap();
    assert_eq!(log.edit("y", 0, Row { limit: 2, ..rows::model("m") }), Err(Rejection::Conflict));
    assert_eq!(log.state.table.row("m").unwrap().limit, 1);
    log.edit("z", first, Row { limit: 3, ..rows::model("m") }).unwrap();
    assert_eq!(log.state.table.row("m").unwrap().limit, 3);
}

#[test]
fn edit_repeated() {
    // An operator repeats an edit whose answer was lost, after another edit changed the row again.
    // The repeat must not restore the old value.
    let mut log = Log::default();
    let first = log.edit("x", 0, Row { limit: 1, ..rows::model("m") }).unwrap();
    log.edit("y", first, Row { limit: 2, ..rows::model("m") }).unwrap();
    assert_eq!(log.edit("x", 0, Row { limit: 1, ..rows::model("m") }), Err(Rejection::Duplicate));
    assert_eq!(log.state.table.row("m").unwrap().limit, 2);
}

#[test]
fn entry_repeated() {
    // An append is repeated because its answer was lost. The log contains both copies, the second
    // after a later entry of the same writer. The second copy has no effect.
    let (mut log, fence) = log_with_lease(true);
    let records = vec![Record::Release("a".into(), fence)];
    let entry = Entry { writer: "d1".into(), incarnation: 1, sequence: 100, records };
    let later = Entry {
        sequence: 101,
        records: vec![Record::Bid(Bid { centre: "a".into(), seen: 0 })],
        ..entry.clone()
    };
    log.apply_entry(&entry).unwrap();
    log.apply_entry(&later).unwrap();
    assert_eq!(log.apply_entry(&entry), Err(Rejection::Duplicate));
    assert!(log.state.leases.contains_key("a"));
}

#[test]
fn bid_raced() {
    // A daemon bids because the holder seems unresponsive, but the holder's renewal reached the log
    // first.
    let (mut log, fence) = log_with_lease(true);
    log.append("d1", Record::Renew).unwrap();
    assert_eq!(log.bid("d2", fence), Err(Rejection::LeaseRenewed));
    let renewed = log.state.leases["a"].renewed;
    log.bid("d2", renewed).unwrap();
    assert_eq!(log.append("d1", Record::Renew), Err(Rejection::NotHolder));
    assert_eq!(log.intent("d1", "m1", "e1", fence), Err(Rejection::NotHolder));
}

#[test]
fn count_reached() {
    let (mut log, fence) = log_with_lease(true);
    log.server("e2", 1, true).unwrap();
    log.intent("d1", "m1", "e1", fence).unwrap();
    assert_eq!(log.intent("d1", "m1", "e2", fence), Err(Rejection::CountReached));
}

#[test]
fn memory_taken() {
    let (mut log, fence) = log_with_lease(true);
    log.intent("d1", "m1", "e1", fence).unwrap();
    log.intent("d1", "m2", "e1", fence).unwrap();
    assert_eq!(log.intent("d1", "m3", "e1", fence), Err(Rejection::MemoryTaken));
}

#[test]
fn server_replaced() {
    // A host is replaced while an intent for its previous incarnation is pending.
    let (mut log, fence) = log_with_lease(true);
    let slot = log.intent("d1", "m1", "e1", fence).unwrap();
    log.server("e1", 2, true).unwrap();
    assert!(!log.state.slots.contains(slot));
    assert_eq!(log.intent("d1", "m1", "e1", fence), Err(Rejection::ServerReplaced));
    assert_eq!(log.server("e1", 1, true), Err(Rejection::Stale));
}

#[rstest]
#[case::fencing(true, Ok(()))]
#[case::unfenced(false, Err(Rejection::OrderUnresolved))]
fn foreign_order(#[case] fencing: bool, #[case] expected: Result<(), Rejection>) {
    // A daemon takes over a lease while a load order of its predecessor may still be in flight. On
    // an engine that ignores fencing numbers the engine's report alone is not enough to free the
    // slot.
    let (mut log, fence) = log_with_lease(fencing);
    let slot = log.intent("d1", "m1", "e1", fence).unwrap();
    let renewed = log.state.leases["a"].renewed;
    let second = log.bid("d2", renewed).unwrap();
    let reserved = PhaseChange { slot, fence: second, phase: Phase::Reserved };
    if !fencing {
        let outcome = log.append("d2", Record::Phase(reserved));
        assert_eq!(outcome, Err(Rejection::OrderUnresolved));
    }
    assert_eq!(log.freed("d2", slot, second, false).map(drop), expected);
}

#[test]
fn orderer_gone() {
    let (mut log, fence) = log_with_lease(false);
    let slot = log.intent("d1", "m1", "e1", fence).unwrap();
    let renewed = log.state.leases["a"].renewed;
    let second = log.bid("d2", renewed).unwrap();
    assert_eq!(log.freed("d1", slot, fence, true), Err(Rejection::NotHolder));
    log.freed("d2", slot, second, true).unwrap();
    assert_eq!(log.state.memory_used("e1"), 0);
}

#[test]
fn claim_once() {
    // A booking is claimed by one daemon, and its repeat through another is rejected as claimed. It
    // may be claimed again only if it is known that the first claim did not run.
    let mut log = Log::default();
    let settle = |verdict| Record::Settle(Settlement { key: 7, verdict, answer: None });
    log.append("d1", Record::Claim(7)).unwrap();
    assert_eq!(log.append("d2", Record::Claim(7)), Err(Rejection::Claimed));
    assert_eq!(log.append("d2", settle(Verdict::DidNotRun)), Err(Rejection::NotClaimant));
    log.append("d1", settle(Verdict::DidNotRun)).unwrap();
    log.append("d2", Record::Claim(7)).unwrap();
    log.append("d2", settle(Verdict::MayHaveRun)).unwrap();
    assert_eq!(log.append("d1", Record::Claim(7)), Err(Rejection::Claimed));
}

#[test]
fn claim_expires() {
    // Claims are kept for a day of the log's own clock, counted from the second claim if a claim
    // was released and the request claimed again.
    let mut log = Log::default();
    log.append("d1", Record::Claim(7)).unwrap();
    log.append("d1", Record::Tick(1)).unwrap();
    assert_eq!(log.append("d2", Record::Tick(1)), Err(Rejection::Stale));
    let release = Settlement { key: 7, verdict: Verdict::DidNotRun, answer: None };
    log.append("d1", Record::Settle(release)).unwrap();
    log.append("d1", Record::Claim(7)).unwrap();
    for tick in 2..=CLAIM_TTL_TICKS {
        log.append("d1", Record::Tick(tick)).unwrap();
    }
    assert!(log.state.claim(7).is_some());
    log.append("d1", Record::Tick(CLAIM_TTL_TICKS + 1)).unwrap();
    assert!(log.state.claim(7).is_none());
}

#[test]
fn snapshot_joined() {
    // The start of the log has expired. Two daemons wrote snapshots at the same time, with
    // interleaved parts, and one snapshot is corrupt. A starting daemon installs the intact one.
    let mut log = Log::default();
    let body = vec![b'x'; 1000];
    for key in 0..100 {
        log.append("d1", Record::Claim(key)).unwrap();
        let answer =
            StoredResponse { status: 200, content_type: "text/plain".into(), body: body.clone() };
        let settlement = Settlement { key, verdict: Verdict::Ran, answer: Some(answer) };
        log.append("d1", Record::Settle(settlement)).unwrap();
    }
    let good = snapshot::split(&log.state);
    assert!(good.len() > 2);
    let mut bad = good.clone();
    bad[1].hash ^= 1;
    let mut assembler = snapshot::SnapshotAssembler::default();
    let mut found = None;
    for part in bad.iter().zip(good.iter().rev()).flat_map(|(b, g)| [b, g]) {
        found = assembler.add_part(part).or(found);
    }
    assert_eq!(found.unwrap().hash(), log.state.hash());
}

#[rstest]
#[case::empty(&[])]
#[case::version(&[9, 1, 2])]
#[case::malformed(&[1, 255, 255, 255])]
fn bad_bytes(#[case] bytes: &[u8]) {
    wire::decode::<Entry>(bytes).unwrap_err();
}

#[test]
fn trailing_bytes() {
    let mut bytes = wire::encode(&7_u64);
    bytes.push(0);
    wire::decode::<u64>(&bytes).unwrap_err();
}
