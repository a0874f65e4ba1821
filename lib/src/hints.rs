//! Replicas that lease holders know to serve though the log does not show it yet.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::event::Hint;
use crate::ids::DaemonId;

/// Hints of a lease holder count for this long; it repeats them several times meanwhile.
const FRESH: Duration = Duration::from_secs(4);

/// The last hints of each daemon.
#[derive(Debug, Default)]
pub struct HintTable {
    daemons: BTreeMap<DaemonId, (Duration, Vec<Hint>)>,
}

impl HintTable {
    /// Replaces a daemon's hints; returns whether they differ from before.
    pub fn update(&mut self, now: Duration, daemon: DaemonId, hints: Vec<Hint>) -> bool {
        let changed = self.daemons.get(&daemon).is_none_or(|(_, old)| *old != hints);
        self.daemons.insert(daemon, (now, hints));
        changed
    }

    /// Returns all hints that still count.
    pub fn fresh(&self, now: Duration) -> Vec<Hint> {
        let fresh = self.daemons.values().filter(|(at, _)| now < *at + FRESH);
        fresh.flat_map(|(_, hints)| hints.iter().cloned()).collect()
    }
}
