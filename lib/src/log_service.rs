//! Client for the platform's log service.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::Offset;
use crate::wire;

/// Timeout for an append, in whole seconds.
const APPEND_TIMEOUT_S: u64 = 2;
/// Time added to the requested wait to give the timeout of a read, in whole seconds.
const READ_SLACK_S: u64 = 2;

/// Why a read failed.
#[derive(Debug, Error)]
pub enum ReadError {
    /// Entries at the offset have expired; holds the oldest offset that can be read.
    #[error("expired; the oldest offset is {0}")]
    Expired(Offset),
    /// The log did not answer, or its answer is invalid.
    #[error("log unavailable: {0}")]
    Unavailable(String),
}

/// An append with unknown outcome: the entry may or may not be in the log.
#[derive(Debug, Error)]
#[error("append not confirmed: {0}")]
pub struct AppendError(pub String);

/// An append-only log with consecutive offsets.
///
/// A failed append may have taken effect. Entries are kept for a limited time.
pub trait LogService: fmt::Debug + Send + Sync {
    /// Appends an entry and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error if the append is not confirmed; the entry may still have been appended.
    fn append(&self, entry: &[u8]) -> Result<Offset, AppendError>;

    /// Reads entries from offset `from` on, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry at `from` has expired or the log is unavailable.
    fn read(&self, from: Offset, wait: Duration) -> Result<Vec<(Offset, Vec<u8>)>, ReadError>;
}

/// Answer to a read, in the service's wire format.
#[derive(Debug, Deserialize, Serialize)]
pub struct LogPage {
    /// Oldest offset that is kept.
    pub oldest: Offset,
    /// Entries, in the order of their offsets.
    pub entries: Vec<(Offset, Vec<u8>)>,
}

/// Answer to an append, in the service's wire format.
#[derive(Debug, Deserialize, Serialize)]
pub struct AppendResponse {
    /// Offset of the appended entry.
    pub offset: Offset,
}

/// The log service over HTTP.
#[derive(Debug)]
pub struct HttpLog {
    base: String,
}

impl HttpLog {
    /// Creates a client for the service at URL `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: impl Into<String>) -> Self {
        Self { base: base.into() }
    }
}

impl LogService for HttpLog {
    fn append(&self, entry: &[u8]) -> Result<Offset, AppendError> {
        let response = minreq::post(format!("{}/append", self.base))
            .with_body(entry)
            .with_timeout(APPEND_TIMEOUT_S)
            .with_follow_redirects(false)
            .send()
            .map_err(|e| AppendError(e.to_string()))?;
        if response.status_code != 200 {
            return Err(AppendError(format!("status {}", response.status_code)));
        }
        let appended: AppendResponse =
            serde_json::from_slice(response.as_bytes()).map_err(|e| AppendError(e.to_string()))?;
        Ok(appended.offset)
    }

    fn read(&self, from: Offset, wait: Duration) -> Result<Vec<(Offset, Vec<u8>)>, ReadError> {
        let unavailable = |e: String| ReadError::Unavailable(e);
        let url = format!("{}/read?from={from}&wait_ms={}", self.base, wait.as_millis());
        let response = minreq::get(url)
            .with_timeout(wait.as_secs() + READ_SLACK_S)
            .with_follow_redirects(false)
            .send()
            .map_err(|e| unavailable(e.to_string()))?;
        if response.status_code != 200 {
            return Err(unavailable(format!("status {}", response.status_code)));
        }
        // A truncated body cannot be decoded as a page, so its length needs no separate check.
        let page: LogPage =
            wire::decode(response.as_bytes()).map_err(|e| unavailable(e.to_string()))?;
        if from < page.oldest {
            return Err(ReadError::Expired(page.oldest));
        }
        Ok(page.entries)
    }
}
