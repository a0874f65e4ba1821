//! The border to the platform's store: feeds of keyed records, read and written by offset.

use std::fmt;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use thiserror::Error;

use crate::ids::Offset;

/// A future that stays on the thread of the event loop.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// What the store keeps for us.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Feed {
    /// The operators' configuration.
    Configuration,
    /// The backend servers' entries.
    Servers,
    /// Addresses of the daemons.
    Daemons,
    /// Who may order models to be loaded.
    Leases,
    /// Requests that go to no server, since several crashed under each.
    Quarantine,
}

impl Feed {
    /// Returns its name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
            Self::Daemons => "daemons",
            Self::Leases => "leases",
            Self::Quarantine => "quarantine",
        }
    }
}

impl fmt::Display for Feed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One record of a feed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedRecord {
    /// Its key.
    pub key: SmolStr,
    /// Its value; none where the key was removed.
    pub value: Option<Bytes>,
}

/// A record that cannot be read, as another writer may leave it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableRecord {
    /// Its key, where that much can be read.
    pub key: Option<SmolStr>,
    /// What there is of it, for the log.
    pub shown: String,
    /// Why it cannot be read.
    pub reason: String,
}

/// Records and the offset after the last of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The records, oldest first.
    pub records: Vec<FeedRecord>,
    /// Those that cannot be read. They have offsets as the others have.
    pub unreadable: Vec<UnreadableRecord>,
    /// Where to read on.
    pub end: Offset,
}

/// Why a call to the store gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The store did nothing: it refused, or could not be reached.
    #[error("the store did nothing: {0}")]
    Refused(String),
    /// The call may have been carried out, or may be yet.
    #[error("the call may have been carried out: {0}")]
    UnknownOutcome(String),
    /// The records asked for have been deleted.
    #[error("the records have been deleted")]
    Expired,
    /// The feed does not end at the offset that was named.
    #[error("the feed ends elsewhere")]
    EndMismatch,
}

impl StoreError {
    /// Returns its name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::EndMismatch => "moved",
            Self::Expired => "expired",
            Self::Refused(_) => "refused",
            Self::UnknownOutcome(_) => "doubtful",
        }
    }
}

/// The platform's store. What it acknowledged is never lost, and its answers are linearizable.
pub trait Store: fmt::Debug {
    /// Returns the newest record of each key.
    fn list_latest(&self, feed: Feed) -> LocalFuture<'_, Result<Batch, StoreError>>;

    /// Returns the records from an offset on, waiting up to `wait` for the first.
    fn read(
        &self,
        feed: Feed,
        from: Offset,
        wait: Duration,
    ) -> LocalFuture<'_, Result<Batch, StoreError>>;

    /// Appends a record, only if the feed ends at `at` where that is given; returns its offset.
    fn append(
        &self,
        feed: Feed,
        record: FeedRecord,
        at: Option<Offset>,
    ) -> LocalFuture<'_, Result<Offset, StoreError>>;
}
