//! Limits the connections that a daemon relays for its peers at the same time.

use std::cell::Cell;
use std::rc::Rc;

/// Most relayed connections at the same time. Each takes two file descriptors and the buffers of both directions.
const MAX_RELAYS: u32 = 256;

/// The relayed connections in progress.
#[derive(Clone, Debug, Default)]
pub struct RelaySlots {
    taken: Rc<Cell<u32>>,
}

/// One relayed connection; frees its slot when dropped.
#[derive(Debug)]
pub struct RelaySlot(Rc<Cell<u32>>);

impl RelaySlots {
    /// Takes a slot; `None` if all are taken.
    pub fn take(&self) -> Option<RelaySlot> {
        if self.taken.get() >= MAX_RELAYS {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        Some(RelaySlot(Rc::clone(&self.taken)))
    }

    /// Returns the number of relayed connections.
    pub fn in_progress(&self) -> u32 {
        self.taken.get()
    }
}

impl Drop for RelaySlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
