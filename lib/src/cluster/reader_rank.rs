//! The order in which daemons of a data centre come to read the platform's store for the others.

use crate::cluster::digest::ProcessId;

/// A daemon's place in that order; the least come first.
///
/// A process draws its number at its start, so that a daemon that crashes again and again is not always
/// among the first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReaderRank {
    /// Whether its host is small: a reader's words to fifty daemons take three to seven Mbit/s.
    pub is_small: bool,
    /// Its process.
    pub process: ProcessId,
}
