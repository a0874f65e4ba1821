//! The platform's log service.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::Offset;
use crate::wire;

/// Longest wait for the answer to an append, in whole seconds.
const APPEND_TIMEOUT_S: u64 = 2;
/// Time beyond the asked wait after which a read is given up, in whole seconds.
const READ_SLACK_S: u64 = 2;

/// Why a read gave nothing.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The offset is older than what the log keeps; reading can begin at this one.
    #[error("expired; the oldest offset is {0}")]
    Expired(Offset),
    /// The log did not answer, or not in its protocol.
    #[error("log unavailable: {0}")]
    Unavailable(String),
}

/// An append whose effect is not known.
#[derive(Debug, Error)]
#[error("append not confirmed: {0}")]
pub struct AppendError(pub String);

/// An append-only log with offsets that count up by one.
///
/// A failed append may have taken effect. Records are kept for a limited time.
pub trait LogService: fmt::Debug + Send + Sync {
    /// Appends an entry.
    ///
    /// # Errors
    ///
    /// The entry may or may not have been appended.
    fn append(&self, entry: &[u8]) -> Result<Offset, AppendError>;

    /// Reads entries from `from` on, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// The offset expired, or the log did not answer.
    fn read(&self, from: Offset, wait: Duration) -> Result<Vec<(Offset, Vec<u8>)>, ReadError>;
}

/// Answer to a read, as the service sends it.
#[derive(Debug, Deserialize, Serialize)]
pub struct LogPage {
    /// Oldest offset that is kept.
    pub oldest: Offset,
    /// Entries, in the order of their offsets.
    pub entries: Vec<(Offset, Vec<u8>)>,
}

/// Answer to an append, as the service sends it.
#[derive(Debug, Deserialize, Serialize)]
pub struct AppendResponse {
    /// Where the entry stands.
    pub offset: Offset,
}

/// The log service over HTTP.
#[derive(Debug)]
pub struct HttpLog {
    base: String,
}

impl HttpLog {
    /// Creates a client of the service at `base`, such as `http://127.0.0.1:7000`.
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
        // A body that was cut short is not such a page, so its length needs no check of its own.
        let page: LogPage =
            wire::decode(response.as_bytes()).map_err(|e| unavailable(e.to_string()))?;
        if from < page.oldest {
            return Err(ReadError::Expired(page.oldest));
        }
        Ok(page.entries)
    }
}
