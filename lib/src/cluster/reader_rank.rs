//! The order in which the daemons of a data centre become readers of the platform's store.

use crate::cluster::digest::ProcessId;

/// A daemon's rank in that order; the lowest rank comes first.
///
/// A process draws its number at random when it starts, so that a daemon that keeps crashing is not always
/// among the first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReaderRank {
    /// Whether its host is small; small hosts come last. A reader's reports to fifty daemons take three to
    /// seven Mbit/s.
    pub is_small: bool,
    /// Random id of the daemon's process.
    pub process: ProcessId,
}
