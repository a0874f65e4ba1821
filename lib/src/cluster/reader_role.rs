//! Whether this daemon reads the platform's store for its data centre.
//!
//! Nobody votes on it: each daemon works out from what it hears whether enough others do. Two views may differ for
//! a moment. A reader too many costs calls, and with one too few each daemon reads for itself.

use std::time::Duration;

use crate::boot_clock::Moment;

/// Readers of a data centre. Two, so that the loss of one is none of the others' concern.
pub const READERS_PER_CENTRE: usize = 2;
/// Time between the first steps of those who come next, two at a time, once a reader is missing: several words
/// of a reader, so that whoever began is heard before the next do.
const STEP: Duration = Duration::from_millis(400);
/// The same where readers are heard but the store tells them nothing: it may be away for all, and each
/// further reader would only add calls in vain.
const BLIND_STEP: Duration = Duration::from_millis(1500);
/// Who ceases to be needed reads on for this long, so that a change leaves no gap.
const OVERLAP: Duration = Duration::from_secs(1);

/// What a daemon hears of those that come before it in its data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HigherRanked {
    /// Daemons that come before it and are not known to be gone.
    pub daemons: usize,
    /// Those of them that read and whom the store answers.
    pub readers: usize,
    /// Those of them that read and hear nothing from the store.
    pub blind: usize,
}

/// This daemon's duty to read.
#[derive(Debug, Default)]
pub struct ReaderRole {
    /// Since when too few others read.
    short: Option<Moment>,
    /// Since when enough others read, while this one still does.
    enough: Option<Moment>,
    reads: bool,
}

impl ReaderRole {
    /// Returns whether this daemon reads, by what it hears now.
    pub fn update(&mut self, before: HigherRanked, now: Moment) -> bool {
        if before.readers >= READERS_PER_CENTRE {
            self.short = None;
            let since = *self.enough.get_or_insert(now);
            self.reads &= now < since + OVERLAP;
            return self.reads;
        }
        self.enough = None;
        let since = *self.short.get_or_insert(now);
        let is_blind = before.readers + before.blind >= READERS_PER_CENTRE;
        let step = if is_blind { BLIND_STEP } else { STEP };
        let turn = (before.daemons / READERS_PER_CENTRE) as u32;
        self.reads |= now >= since + step * turn;
        self.reads
    }

    /// Returns whether this daemon reads, as of the last look.
    pub fn is_reader(&self) -> bool {
        self.reads
    }

    /// Ends the duty at once: this daemon stops, or its fleet is small.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
