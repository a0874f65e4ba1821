//! What a reader of the platform's store tells: its data centre, the readers of the others, and the holder of the
//! placement lease.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::digest::Digest;
use crate::cluster::workload_table::WorkloadSummary;
use crate::ids::Offset;
use crate::ids::ServerId;

/// Whose requests a word tells of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkloadScope {
    /// Those of all daemons of the reader's data centre, by model.
    Centre,
    /// Those of all daemons.
    Fleet,
}

/// A reader's word.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReaderReport {
    /// The reader's own state. `servers_end` is the place in the feed up to which this word tells of changes.
    pub digest: Digest,
    /// Place in the feed from which on this word tells of changes. Who has heard less must read the feed.
    pub changes_from: Offset,
    /// How long ago the store answered the reader's newest read of the feed, in milliseconds.
    pub read_age: u32,
    /// How long ago the reader heard a daemon of another data centre, in milliseconds.
    pub remote_age: u32,
    /// Servers that came, came back or started again, as the platform wrote their entries.
    pub joined: Vec<(ServerId, Vec<u8>)>,
    /// A sum over the servers that may get requests, by which pictures are compared.
    pub checksum: u64,
    /// Whose requests `workloads` counts.
    pub scope: WorkloadScope,
    /// Requests in progress.
    pub workloads: Vec<WorkloadSummary>,
}
