//! Limits the large transfers that a daemon serves at the same time.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::cluster::configuration::ConfigVersion;

/// Most large transfers at the same time. Few end one after the other, and each daemon that has the configuration can
/// give it on; many that share a link would all end late.
const MAX_TRANSFERS: u32 = 4;
/// Most daemons that are named to others.
const MAX_NAMED: usize = 16;

/// The large transfers in progress, and the daemons that got the newest configuration.
#[derive(Debug, Default)]
pub struct TransferSlots {
    taken: Cell<u32>,
    /// The version that the daemons in `served` got.
    version: Cell<ConfigVersion>,
    /// The daemons that got it, the newest last.
    served: RefCell<VecDeque<SocketAddr>>,
}

/// One transfer in progress; frees its slot when dropped.
#[derive(Debug)]
pub struct TransferSlot<'a>(&'a TransferSlots);

impl TransferSlots {
    /// Takes a slot; `None` if all are taken.
    pub fn take(&self) -> Option<TransferSlot<'_>> {
        if self.taken.get() >= MAX_TRANSFERS {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        Some(TransferSlot(self))
    }

    /// Records that a daemon got a version of the configuration.
    pub fn record_served(&self, daemon: SocketAddr, version: ConfigVersion) {
        let mut served = self.served.borrow_mut();
        if self.version.replace(version) != version {
            served.clear();
        }
        if served.len() >= MAX_NAMED {
            served.pop_front();
        }
        served.push_back(daemon);
    }

    /// Returns daemons that got a version.
    pub fn served(&self, version: ConfigVersion) -> Vec<SocketAddr> {
        if self.version.get() != version {
            return Vec::new();
        }
        self.served.borrow().iter().copied().collect()
    }
}

impl Drop for TransferSlot<'_> {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
    }
}
