//! Decides whether this daemon reads the platform's store for its data centre.
//!
//! There is no election: each daemon derives from the reports that it receives whether enough others read.
//! Two daemons may disagree for a moment. A surplus reader costs extra calls to the store; with one reader
//! too few, each daemon reads for itself.

use std::time::Duration;

use crate::boot_clock::Moment;

/// Readers per data centre. Two, so that the other daemons are not affected if one fails.
pub const READERS_PER_CENTRE: usize = 2;
/// Time between the takeover times of successive pairs of lower-ranked daemons once a reader is missing. It
/// spans several reader reports, so that the reports of a pair that took over arrive before the next pair
/// starts.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(400);
/// The same time if readers report but get no answers from the store: the store may be unavailable to all
/// daemons, and each further reader would only add failing calls.
const BLIND_TAKEOVER_INTERVAL: Duration = Duration::from_millis(1500);
/// A reader that is no longer needed keeps reading for this long, so that a change of readers leaves no gap.
const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// Counts of the higher-ranked daemons of this daemon's data centre, by what they report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HigherRanked {
    /// Higher-ranked daemons that are not known to be unavailable.
    pub daemons: usize,
    /// Those of them that read and get answers from the store.
    pub readers: usize,
    /// Those of them that read but get no answers from the store.
    pub without_store: usize,
}

/// Whether this daemon reads for its data centre.
#[derive(Debug, Default)]
pub struct ReaderRole {
    /// Since when too few higher-ranked daemons read.
    short_since: Option<Moment>,
    /// Since when enough higher-ranked daemons read.
    enough_since: Option<Moment>,
    is_active: bool,
}

impl ReaderRole {
    /// Updates the role by the current reports and returns whether this daemon reads.
    pub fn update(&mut self, higher: HigherRanked, now: Moment) -> bool {
        if higher.readers >= READERS_PER_CENTRE {
            self.short_since = None;
            let since = *self.enough_since.get_or_insert(now);
            self.is_active &= now < since + HANDOVER_TIME;
            return self.is_active;
        }
        self.enough_since = None;
        let since = *self.short_since.get_or_insert(now);
        let is_blind = higher.readers + higher.without_store >= READERS_PER_CENTRE;
        let interval = if is_blind { BLIND_TAKEOVER_INTERVAL } else { TAKEOVER_INTERVAL };
        let pair = (higher.daemons / READERS_PER_CENTRE) as u32;
        self.is_active |= now >= since + interval * pair;
        self.is_active
    }

    /// Returns whether this daemon reads, as of the last update.
    pub fn is_reader(&self) -> bool {
        self.is_active
    }

    /// Ends the role at once: this daemon stops, or its fleet is small.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
