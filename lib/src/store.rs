//! The interface to the platform's store: feeds of keyed records, read and written by offset.

use std::fmt;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use thiserror::Error;

use crate::ids::FeedOffset;
use crate::ids::StoreEra;

/// A future that is not `Send` and runs on the event loop's thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The feeds of the store that daemons use.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Feed {
    /// The operators' configuration.
    Configuration,
    /// Entries of the backend servers.
    Servers,
    /// Addresses of the daemons.
    Daemons,
    /// Leases: which daemon may order engines to load models.
    Leases,
    /// Requests that are held back because several servers crashed while running them.
    Quarantine,
    /// Software versions of each service's servers.
    Versions,
    /// Origins of streams in progress while several software versions serve.
    Origins,
}

impl Feed {
    /// Returns the feed's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
            Self::Daemons => "daemons",
            Self::Leases => "leases",
            Self::Quarantine => "quarantine",
            Self::Versions => "versions",
            Self::Origins => "origins",
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
    /// The record's key.
    pub key: SmolStr,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// A record that cannot be parsed, such as one from another writer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableRecord {
    /// The key, if it can be read.
    pub key: Option<SmolStr>,
    /// The record's content, for the log.
    pub shown: String,
    /// Why it cannot be parsed.
    pub reason: String,
}

/// Records and the offset after the last of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The records, oldest first.
    pub records: Vec<FeedRecord>,
    /// Records that cannot be parsed; each takes up an offset like any other.
    pub unreadable: Vec<UnreadableRecord>,
    /// The offset from which to continue reading.
    pub end: FeedOffset,
}

impl Batch {
    /// Returns whether it contains no record, readable or not.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.unreadable.is_empty()
    }
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The store refused the call or was unreachable; nothing was changed.
    #[error("the store did nothing: {0}")]
    Refused(String),
    /// The call may have been carried out, or may still be.
    #[error("the call may have been carried out: {0}")]
    UnknownOutcome(String),
    /// The requested records have been deleted.
    #[error("the records have been deleted")]
    Expired,
    /// The feed does not end at the given offset.
    #[error("the feed ends elsewhere")]
    EndMismatch,
}

impl StoreError {
    /// Returns the error's name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::EndMismatch => "moved",
            Self::Expired => "expired",
            Self::Refused(_) => "refused",
            Self::UnknownOutcome(_) => "doubtful",
        }
    }
}

/// The platform's store. Its responses are linearizable, and within one era it loses no acknowledged record.
///
/// A new era begins when the store has been restored from an older copy: its last records are lost. A read from an offset of
/// an earlier era fails as if its records had been deleted, and an append there as if the feed had grown.
pub trait Store: fmt::Debug {
    /// Returns the latest era named in a response; `None` before the first response, or if responses name none.
    fn era(&self) -> Option<StoreEra> {
        None
    }

    /// Returns the newest record of each key.
    fn list_latest(&self, feed: Feed) -> LocalFuture<'_, Result<Batch, StoreError>>;

    /// Returns the records from offset `from` on, waiting up to `wait` for the first.
    fn read(
        &self,
        feed: Feed,
        from: FeedOffset,
        wait: Duration,
    ) -> LocalFuture<'_, Result<Batch, StoreError>>;

    /// Appends a record and returns its offset. If `at` is given, appends only if the feed ends
    /// there.
    fn append(
        &self,
        feed: Feed,
        record: FeedRecord,
        at: Option<FeedOffset>,
    ) -> LocalFuture<'_, Result<FeedOffset, StoreError>>;
}
