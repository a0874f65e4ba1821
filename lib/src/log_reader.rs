//! The thread that reads the log and, while the log is unavailable, entries and state from peers.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::event::Event;
use crate::ids::Offset;
use crate::log_service::LogService;
use crate::log_service::ReadError;
use crate::node::ControlInput;
use crate::node::Node;
use crate::peer_client;
use crate::record::Entry;
use crate::record::Record;
use crate::replicated_state::ReplicatedState;
use crate::snapshot::SnapshotAssembler;
use crate::wire;

/// Maximum time that a read waits for the next entry.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read, or while the control thread has too many entries to apply.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Number of entries not yet applied by the control thread above which reading pauses.
const MAX_UNAPPLIED_ENTRIES: Offset = 20_000;

/// Reads the log until the control thread ends.
pub fn run(node: &Node, log: &dyn LogService) {
    let mut log_reader = LogReader { node, log, next_offset: 0 };
    while !node.control.is_disconnected() {
        log_reader.step();
    }
}

struct LogReader<'a> {
    node: &'a Node,
    log: &'a dyn LogService,
    next_offset: Offset,
}

impl LogReader<'_> {
    fn step(&mut self) {
        let applied = self.node.applied_offset.load(Ordering::Relaxed);
        self.next_offset = self.next_offset.max(applied);
        if self.next_offset > applied + MAX_UNAPPLIED_ENTRIES {
            thread::sleep(RETRY_PAUSE);
            return;
        }
        match self.log.read(self.next_offset, READ_WAIT) {
            Ok(entries) => {
                self.node.send(ControlInput::Event(Event::LogRead));
                for (offset, bytes) in entries {
                    self.forward(offset, &bytes);
                }
            }
            Err(ReadError::Expired(oldest)) => self.recover(oldest),
            Err(ReadError::Unavailable(_)) => {
                self.node.send(ControlInput::Event(Event::LogFailed));
                self.fetch_from_peers();
                thread::sleep(RETRY_PAUSE);
            }
        }
    }

    fn forward(&mut self, offset: Offset, bytes: &[u8]) {
        if offset != self.next_offset {
            return;
        }
        self.next_offset += 1;
        self.node.send(ControlInput::Event(Event::Entry(offset, decode_entry(bytes))));
    }

    /// Continues from the newest snapshot in the log, because the next entry has expired.
    ///
    /// Without a complete snapshot it fetches from peers.
    fn recover(&mut self, oldest: Offset) {
        let mut assembler = SnapshotAssembler::default();
        let mut read_from = oldest;
        let mut newest: Option<ReplicatedState> = None;
        loop {
            let entries = match self.log.read(read_from, Duration::ZERO) {
                Ok(entries) if !entries.is_empty() => entries,
                _ => break,
            };
            for (offset, bytes) in entries {
                read_from = offset + 1;
                for record in decode_entry(&bytes).records {
                    if let Record::Snapshot(part) = record
                        && part.at >= oldest
                        && let Some(state) = assembler.add_part(&part)
                    {
                        newest = Some(state);
                    }
                }
            }
        }
        if let Some(state) = newest {
            self.next_offset = state.offset;
            self.node.send(ControlInput::InstallState(Box::new(state)));
            self.await_applied();
        } else {
            self.fetch_from_peers();
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Waits until the control thread has installed a state, so that reading continues from it.
    fn await_applied(&self) {
        while self.node.applied_offset.load(Ordering::Relaxed) < self.next_offset
            && !self.node.control.is_disconnected()
        {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Fetches entries, or else a state, from a peer that has applied more of the log.
    ///
    /// Called while the log is unavailable, and if entries expired without a complete snapshot.
    /// So a data centre that can reach another one but not the platform still receives edits, and a
    /// daemon that starts during an outage installs a peer's state.
    fn fetch_from_peers(&mut self) {
        for addr in self.peers_ahead() {
            if let Some(entries) = peer_client::fetch_entries(self.node, addr, self.next_offset)
                && entries.first().is_some_and(|(offset, _)| *offset == self.next_offset)
            {
                for (offset, entry) in entries {
                    self.next_offset = offset + 1;
                    self.node.send(ControlInput::Event(Event::Entry(offset, entry)));
                }
                return;
            }
            if let Some(state) = peer_client::fetch_state(self.node, addr)
                && state.offset > self.next_offset
            {
                self.next_offset = state.offset;
                self.node.send(ControlInput::InstallState(Box::new(state)));
                self.await_applied();
                return;
            }
        }
    }

    fn peers_ahead(&self) -> Vec<SocketAddr> {
        let view = self.node.view.load();
        let offsets = self.node.peer_offsets.lock().unwrap_or_else(PoisonError::into_inner);
        let mut peers: Vec<(Offset, SocketAddr)> = offsets
            .iter()
            .filter(|(_, offset)| **offset > self.next_offset)
            .filter_map(|(peer, offset)| Some((*offset, *view.daemons.get(peer)?)))
            .collect();
        peers.sort_unstable_by(|a, b| b.cmp(a));
        peers.into_iter().map(|(_, addr)| addr).collect()
    }
}

/// Decodes an entry. A malformed one becomes an empty entry, so that all daemons treat it alike.
fn decode_entry(bytes: &[u8]) -> Entry {
    wire::decode(bytes).unwrap_or_else(|_malformed| Entry {
        writer: "".into(),
        incarnation: 0,
        sequence: 0,
        records: Vec::new(),
    })
}
