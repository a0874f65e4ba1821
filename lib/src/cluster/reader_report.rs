//! The report that a reader of the platform's store sends to its data centre, to the readers of the other
//! data centres and to the holder of the placement lease.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::digest::Digest;
use crate::cluster::workload_table::WorkloadSummary;
use crate::ids::FeedOffset;
use crate::ids::ServerId;

/// Whose requests a reader report counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkloadScope {
    /// Requests of all daemons of the reader's data centre, by model.
    Centre,
    /// Requests of all daemons.
    Fleet,
}

/// A reader's report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReaderReport {
    /// The reader's own digest. Its `servers_end` is the offset in the servers' feed up to which this report
    /// covers changes.
    pub digest: Digest,
    /// Offset in the servers' feed from which this report covers changes. A receiver whose own offset is
    /// lower must read the feed.
    pub changes_from: FeedOffset,
    /// Time since the store answered the reader's latest read of the servers' feed, in milliseconds.
    pub read_age_ms: u32,
    /// Time since the reader last received a message from a daemon of another data centre, in milliseconds.
    pub remote_age_ms: u32,
    /// Servers that joined, returned or restarted, with their entries as the platform wrote them.
    pub joined_servers: Vec<(ServerId, Vec<u8>)>,
    /// Checksum over the servers that may receive requests; a receiver compares it with its own to detect a
    /// difference between the directories.
    pub checksum: u64,
    /// Whose requests `workloads` counts.
    pub scope: WorkloadScope,
    /// Requests in progress.
    pub workloads: Vec<WorkloadSummary>,
}
