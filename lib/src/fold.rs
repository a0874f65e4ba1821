//! The deterministic fold of the log into the replicated state.
//!
//! Every daemon applies the same entries in the same order. Conflicting records need no further
//! agreement: the first whose preconditions hold is accepted, and every other is rejected with a
//! reason, so all daemons reach the same state. Nothing here reads a clock.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::ClaimKey;
use crate::ids::Fence;
use crate::ids::Offset;
use crate::ids::Position;
use crate::ids::ServerId;
use crate::ids::SlotId;
use crate::ids::position;
use crate::record::Bid;
use crate::record::Entry;
use crate::record::Freed;
use crate::record::Intent;
use crate::record::Phase;
use crate::record::PhaseChange;
use crate::record::Record;
use crate::record::ServerFacts;
use crate::record::Settlement;
use crate::replicated_state::CLAIM_TTL_TICKS;
use crate::replicated_state::Claim;
use crate::replicated_state::ClaimEnd;
use crate::replicated_state::HistoryEntry;
use crate::replicated_state::Lease;
use crate::replicated_state::MAX_HISTORY;
use crate::replicated_state::ReplicatedState;
use crate::replicated_state::WRITER_TTL_TICKS;
use crate::replicated_state::WriterState;
use crate::slots::Slot;
use crate::table::Edit;
use crate::verdict::Verdict;

/// Why a record has no effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Rejection {
    /// The writer's entry, or the edit, was processed before.
    #[error("duplicate entry")]
    Duplicate,
    /// The edit was based on an old version of a row.
    #[error("edit conflict")]
    Conflict,
    /// The writer does not hold the lease that the record needs.
    #[error("lease not held")]
    NotHolder,
    /// The lease was renewed or acquired by another daemon since the renewal named in the bid.
    #[error("lease renewed meanwhile")]
    LeaseRenewed,
    /// The model has no row, or its row is not of a kind that is loaded onto backend servers.
    #[error("model not in the table")]
    NoModel,
    /// The model already has as many slots as the table allows.
    #[error("replica count reached")]
    CountReached,
    /// The model already has a slot on this backend server.
    #[error("already on this server")]
    SameServer,
    /// The backend server has too little free memory.
    #[error("memory taken")]
    MemoryTaken,
    /// The backend server is unknown or has another incarnation.
    #[error("server replaced")]
    ServerReplaced,
    /// The slot does not exist.
    #[error("slot not found")]
    NoSlot,
    /// An order of another daemon may still reach the backend server, which ignores fencing
    /// numbers.
    #[error("an order may be under way")]
    OrderUnresolved,
    /// The request has a claim already.
    #[error("claimed already")]
    Claimed,
    /// The writer does not hold the claim.
    #[error("claim not held")]
    NotClaimant,
    /// The record is older than the state.
    #[error("stale")]
    Stale,
}

/// Result of one record: the position of an accepted one, or why it was rejected.
pub type Outcome = Result<Position, Rejection>;

/// Applies the entry at `offset` and returns the result of each record.
///
/// The caller must skip offsets below `state.offset`, which were applied before. An offset above it
/// means that entries expired before they were read; the caller must install a snapshot instead.
pub fn apply(state: &mut ReplicatedState, offset: Offset, entry: &Entry) -> Vec<Outcome> {
    debug_assert!(offset >= state.offset, "entries are applied in order");
    state.offset = offset + 1;
    if !is_new(state, entry) {
        return vec![Err(Rejection::Duplicate); entry.records.len()];
    }
    let apply_one = |(index, record)| {
        let at = position(offset, index);
        apply_record(state, entry, at, record).map(|()| at)
    };
    entry.records.iter().enumerate().map(apply_one).collect()
}

/// Records the entry's sequence number and returns whether the entry was not applied before.
///
/// An append whose answer did not arrive is repeated, so its entry may be in the log twice, the
/// second time after later entries of the same writer. A writer has one append in progress at a
/// time, so every number up to the last one applied is old.
fn is_new(state: &mut ReplicatedState, entry: &Entry) -> bool {
    let current =
        WriterState { incarnation: entry.incarnation, sequence: entry.sequence, tick: state.tick };
    let last = state.writers.get(&entry.writer);
    let is_new =
        last.is_none_or(|w| (w.incarnation, w.sequence) < (current.incarnation, current.sequence));
    if is_new {
        state.writers.insert(entry.writer.clone(), current);
    }
    is_new
}

fn apply_record(
    state: &mut ReplicatedState,
    entry: &Entry,
    at: Position,
    record: &Record,
) -> Result<(), Rejection> {
    match record {
        Record::Edit(edit) => apply_edit(state, at, edit),
        Record::Server(facts) => apply_server(state, facts),
        Record::Gone(server, incarnation) => apply_gone(state, server, *incarnation),
        Record::Bid(bid) => apply_bid(state, entry, at, bid),
        Record::Renew => apply_renew(state, entry, at),
        Record::Release(centre, fence) => {
            let lease = state.leases.get(centre).ok_or(Rejection::NotHolder)?;
            check_holder(entry, lease, *fence)?;
            state.leases.remove(centre);
            Ok(())
        }
        Record::Intent(intent) => apply_intent(state, entry, at, intent),
        Record::Phase(change) => apply_phase(state, entry, at, change),
        Record::Freed(freed) => apply_freed(state, entry, freed),
        Record::Claim(key) => apply_claim(state, entry, *key),
        Record::Settle(settlement) => apply_settle(state, entry, settlement),
        Record::Tick(tick) => apply_tick(state, *tick),
        // The log reader assembles snapshots; they do not change the state.
        Record::Snapshot(_) => Ok(()),
    }
}

fn apply_edit(state: &mut ReplicatedState, at: Position, edit: &Edit) -> Result<(), Rejection> {
    if state.edit(&edit.id).is_some() {
        return Err(Rejection::Duplicate);
    }
    let conflict = state.table.find_conflict(edit).cloned();
    state.history.push_back(HistoryEntry {
        id: edit.id.clone(),
        author: edit.author.clone(),
        position: at,
        rows: edit.changes.iter().map(|c| c.name.clone()).collect(),
        conflict: conflict.clone(),
    });
    if state.history.len() > MAX_HISTORY {
        state.history.pop_front();
    }
    if conflict.is_some() {
        return Err(Rejection::Conflict);
    }
    state.table = state.table.apply(edit, at);
    Ok(())
}

fn apply_server(state: &mut ReplicatedState, facts: &ServerFacts) -> Result<(), Rejection> {
    if let Some(old) = state.servers.get(&facts.id) {
        if old.incarnation >= facts.incarnation {
            return Err(Rejection::Stale);
        }
        let fencing = old.fencing;
        remove_slots(state, &facts.id, fencing);
    }
    state.servers.insert(facts.id.clone(), facts.clone());
    Ok(())
}

fn apply_gone(
    state: &mut ReplicatedState,
    server: &ServerId,
    incarnation: u64,
) -> Result<(), Rejection> {
    let known = state.servers.get(server).ok_or(Rejection::Stale)?;
    if known.incarnation > incarnation {
        return Err(Rejection::Stale);
    }
    // A host that the host list no longer contains cannot be reached by any order.
    remove_slots(state, server, true);
    state.servers.remove(server);
    Ok(())
}

/// Removes the slots of a backend server that was restarted or removed.
///
/// An order to load that has not been sent yet may still reach the new incarnation. An engine that
/// ignores fencing numbers would carry it out, so its loading slots are kept until the order is
/// resolved.
fn remove_slots(state: &mut ReplicatedState, server: &ServerId, fencing: bool) {
    let must_keep = |slot: &Slot| !fencing && slot.phase.is_loading();
    let gone: Vec<SlotId> =
        state.slots.on_server(server).filter(|(_, s)| !must_keep(s)).map(|(id, _)| id).collect();
    for id in gone {
        state.slots.remove(id);
    }
}

fn apply_bid(
    state: &mut ReplicatedState,
    entry: &Entry,
    at: Position,
    bid: &Bid,
) -> Result<(), Rejection> {
    // A holder that renewed after the renewal named in the bid keeps the lease: the bidder's timer
    // may have expired while it could not read the log.
    let renewed = state.leases.get(&bid.centre).map_or(0, |l| l.renewed);
    if renewed != bid.seen {
        return Err(Rejection::LeaseRenewed);
    }
    state.leases.insert(
        bid.centre.clone(),
        Lease {
            daemon: entry.writer.clone(),
            incarnation: entry.incarnation,
            fence: at,
            renewed: at,
        },
    );
    Ok(())
}

fn apply_renew(state: &mut ReplicatedState, entry: &Entry, at: Position) -> Result<(), Rejection> {
    let mut held = 0;
    for lease in state.leases.values_mut() {
        if lease.daemon == entry.writer && lease.incarnation == entry.incarnation {
            lease.renewed = at;
            held += 1;
        }
    }
    if held == 0 { Err(Rejection::NotHolder) } else { Ok(()) }
}

fn check_holder(entry: &Entry, lease: &Lease, fence: Fence) -> Result<(), Rejection> {
    let holds = lease.daemon == entry.writer
        && lease.incarnation == entry.incarnation
        && lease.fence == fence;
    if holds { Ok(()) } else { Err(Rejection::NotHolder) }
}

fn apply_intent(
    state: &mut ReplicatedState,
    entry: &Entry,
    at: Position,
    intent: &Intent,
) -> Result<(), Rejection> {
    let server = state.servers.get(&intent.server).ok_or(Rejection::ServerReplaced)?;
    if server.incarnation != intent.incarnation {
        return Err(Rejection::ServerReplaced);
    }
    let lease = state.leases.get(&server.centre).ok_or(Rejection::NotHolder)?;
    check_holder(entry, lease, intent.fence)?;
    let row = state.table.row(&intent.model).ok_or(Rejection::NoModel)?;
    if !row.is_loadable() {
        return Err(Rejection::NoModel);
    }
    if state.slots_of(&intent.model).count() >= row.replicas as usize {
        return Err(Rejection::CountReached);
    }
    if state.slots_of(&intent.model).any(|(_, s)| s.server == intent.server) {
        return Err(Rejection::SameServer);
    }
    if state.memory_used(&intent.server) + row.memory_mib > server.memory_mib {
        return Err(Rejection::MemoryTaken);
    }
    let slot = Slot {
        model: intent.model.clone(),
        server: intent.server.clone(),
        memory_mib: row.memory_mib,
        phase: Phase::Loading(intent.source),
        orderer: (entry.writer.clone(), entry.incarnation),
        fence: intent.fence,
        ticket: at,
    };
    state.slots.insert(at, slot);
    Ok(())
}

fn apply_phase(
    state: &mut ReplicatedState,
    entry: &Entry,
    at: Position,
    change: &PhaseChange,
) -> Result<(), Rejection> {
    let slot = state.slots.get(change.slot).ok_or(Rejection::NoSlot)?;
    let lease = state.lease_of(&slot.server).ok_or(Rejection::NotHolder)?;
    check_holder(entry, lease, change.fence)?;
    let fencing = state.servers.get(&slot.server).is_some_and(|s| s.fencing);
    let writer = (entry.writer.clone(), entry.incarnation);
    // On a backend server that ignores fencing numbers, only a report that the model is loaded
    // resolves an order of another daemon; until then the slot may not be ordered again.
    let unresolved = !fencing && slot.phase.is_loading() && slot.orderer != writer;
    if unresolved && change.phase != Phase::Loaded {
        return Err(Rejection::OrderUnresolved);
    }
    state.slots.update(change.slot, |slot| {
        slot.phase = change.phase;
        slot.fence = change.fence;
        if change.phase.is_loading() {
            slot.orderer = writer;
            slot.ticket = at;
        }
    });
    Ok(())
}

fn apply_freed(state: &mut ReplicatedState, entry: &Entry, freed: &Freed) -> Result<(), Rejection> {
    let slot = state.slots.get(freed.slot).ok_or(Rejection::NoSlot)?;
    let server = state.servers.get(&slot.server).ok_or(Rejection::ServerReplaced)?;
    let lease = state.leases.get(&server.centre).ok_or(Rejection::NotHolder)?;
    check_holder(entry, lease, freed.fence)?;
    let own = slot.orderer.0 == entry.writer && slot.orderer.1 == entry.incarnation;
    let unresolved = !server.fencing && slot.phase.is_loading() && !own;
    if unresolved && !freed.orderer_gone {
        return Err(Rejection::OrderUnresolved);
    }
    state.slots.remove(freed.slot);
    Ok(())
}

fn apply_claim(state: &mut ReplicatedState, entry: &Entry, key: ClaimKey) -> Result<(), Rejection> {
    if state.claims.contains_key(&key) {
        return Err(Rejection::Claimed);
    }
    let claim = Claim {
        daemon: entry.writer.clone(),
        incarnation: entry.incarnation,
        tick: state.tick,
        end: None,
    };
    state.claims.insert(key, claim);
    state.expiry.push_back((state.tick, key));
    Ok(())
}

fn apply_settle(
    state: &mut ReplicatedState,
    entry: &Entry,
    settlement: &Settlement,
) -> Result<(), Rejection> {
    let claim = state.claims.get_mut(&settlement.key).ok_or(Rejection::NotClaimant)?;
    if claim.daemon != entry.writer || claim.incarnation != entry.incarnation {
        return Err(Rejection::NotClaimant);
    }
    if settlement.verdict == Verdict::DidNotRun {
        state.claims.remove(&settlement.key);
        return Ok(());
    }
    let verdict = settlement.verdict;
    claim.end = Some(ClaimEnd { verdict, answer: settlement.answer.clone() });
    Ok(())
}

/// Advances the log's tick count and removes expired claims and writers.
fn apply_tick(state: &mut ReplicatedState, tick: u64) -> Result<(), Rejection> {
    if tick != state.tick + 1 {
        return Err(Rejection::Stale);
    }
    state.tick = tick;
    while let Some(&(claimed, key)) = state.expiry.front() {
        if claimed + CLAIM_TTL_TICKS > tick {
            break;
        }
        state.expiry.pop_front();
        // A key that was released and claimed again has a later expiry entry of its own.
        if state.claims.get(&key).is_some_and(|c| c.tick == claimed) {
            state.claims.remove(&key);
        }
    }
    state.writers.retain(|_, w| w.tick + WRITER_TTL_TICKS > tick);
    Ok(())
}
