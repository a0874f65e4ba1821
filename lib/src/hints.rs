//! Replicas that lease holders report as ready before the log shows it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::event::Hint;
use crate::ids::DaemonId;

/// Time after which hints expire; a lease holder repeats them several times within it.
const HINT_TTL: Duration = Duration::from_secs(4);

/// The latest hints of each daemon and when they arrived.
#[derive(Debug, Default)]
pub struct HintTable {
    daemons: BTreeMap<DaemonId, (Duration, Vec<Hint>)>,
}

impl HintTable {
    /// Replaces a daemon's hints. Returns whether they differ from its previous ones.
    pub fn update(&mut self, now: Duration, daemon: DaemonId, hints: Vec<Hint>) -> bool {
        let changed = self.daemons.get(&daemon).is_none_or(|(_, old)| *old != hints);
        self.daemons.insert(daemon, (now, hints));
        changed
    }

    /// Returns all hints that have not expired at `now`.
    pub fn fresh(&self, now: Duration) -> Vec<Hint> {
        let fresh = self.daemons.values().filter(|(at, _)| now < *at + HINT_TTL);
        fresh.flat_map(|(_, hints)| hints.iter().cloned()).collect()
    }
}
