//! HTTP client for a daemon's operator endpoints under `/admin/`.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use miette::Diagnostic;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::table::Edit;
use crate::table::Row;
use crate::table::RowChange;
use crate::table::Table;
use crate::table::VersionedRow;

/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Why an operator's request failed.
#[derive(Debug, Diagnostic, Error)]
pub enum ClientError {
    /// No response from the daemon.
    #[error("no answer from {url}: {message}")]
    #[diagnostic(help("is the daemon running there? --daemon or COMFREYMUX_DAEMON names another"))]
    Unreachable {
        /// URL of the request.
        url: String,
        /// Error of the HTTP client.
        message: String,
    },
    /// The daemon refused the request, with this reason.
    #[error("the daemon refused: {0}")]
    Refused(String),
    /// The response cannot be parsed.
    #[error("the daemon's answer cannot be read: {0}")]
    Malformed(String),
}

/// Result of an edit of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The table already had the requested rows.
    Unchanged,
    /// The edit applies from this log position on.
    Accepted(u64),
    /// The edit was rejected because this row was changed concurrently.
    Conflict(String),
}

#[derive(Deserialize)]
struct TableAnswer {
    rows: Vec<VersionedRow>,
}

/// Client for the operator endpoints of one daemon.
#[derive(Clone, Debug)]
pub struct AdminClient {
    base: String,
}

impl AdminClient {
    /// Creates a client for the daemon at `base`, such as `http://127.0.0.1:8080`.
    pub fn new(base: impl Into<String>) -> Self {
        Self { base: base.into() }
    }

    fn send(&self, request: minreq::Request, path: &str) -> Result<(u16, Value), ClientError> {
        let sent = request.with_timeout(TIMEOUT.as_secs()).with_follow_redirects(false).send();
        let response = sent.map_err(|e| ClientError::Unreachable {
            url: format!("{}{path}", self.base),
            message: e.to_string(),
        })?;
        let value = serde_json::from_slice(response.as_bytes())
            .map_err(|e| ClientError::Malformed(e.to_string()))?;
        Ok((response.status_code, value))
    }

    /// Returns the JSON value at `/admin/{name}`.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer or refuses the request, or if its response is malformed.
    pub fn get(&self, name: &str) -> Result<Value, ClientError> {
        let path = format!("/admin/{name}");
        let (status, value) = self.send(minreq::get(format!("{}{path}", self.base)), &path)?;
        if status == 200 { Ok(value) } else { Err(ClientError::Refused(error_message(&value))) }
    }

    /// Returns the current table.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer or has not read a table yet.
    pub fn table(&self) -> Result<Table, ClientError> {
        let value = self.get("table")?;
        let answer: TableAnswer =
            serde_json::from_value(value).map_err(|e| ClientError::Malformed(e.to_string()))?;
        Ok(Table::from_rows(answer.rows))
    }

    /// Makes the table equal to `rows`, unless one of the changed rows is edited concurrently.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer, or if the log has not accepted or rejected the edit
    /// yet.
    pub fn apply(&self, rows: &[Row], author: &str, id: &str) -> Result<ApplyResult, ClientError> {
        let changes = self.table()?.diff(rows);
        if changes.is_empty() {
            return Ok(ApplyResult::Unchanged);
        }
        self.send_edit(&Edit { id: id.into(), author: author.into(), changes })
    }

    /// Sends an edit and waits until the log accepts or rejects it.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer, or if the log has not accepted or rejected the edit
    /// yet.
    pub fn send_edit(&self, edit: &Edit) -> Result<ApplyResult, ClientError> {
        let path = "/admin/edits";
        let body = serde_json::to_vec(edit).map_err(|e| ClientError::Malformed(e.to_string()))?;
        let request = minreq::post(format!("{}{path}", self.base)).with_body(body);
        let (status, value) = self.send(request, path)?;
        match status {
            200 => Ok(ApplyResult::Accepted(value["position"].as_u64().unwrap_or(0))),
            409 => Ok(ApplyResult::Conflict(value["conflict"].as_str().unwrap_or_default().into())),
            _ => Err(ClientError::Refused(error_message(&value))),
        }
    }

    /// Starts a graceful stop: the daemon refuses new requests and exits once those in progress
    /// have ended.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn drain(&self) -> Result<Value, ClientError> {
        let path = "/admin/drain";
        Ok(self.send(minreq::post(format!("{}{path}", self.base)), path)?.1)
    }

    /// Returns the changes that would make the table equal to `rows`, without applying them.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer or has not read a table yet.
    pub fn diff(&self, rows: &[Row]) -> Result<Vec<RowChange>, ClientError> {
        Ok(self.table()?.diff(rows))
    }
}

fn error_message(value: &Value) -> String {
    value.pointer("/error/message").and_then(Value::as_str).unwrap_or("no reason given").to_owned()
}

/// Returns a unique edit id, built from the author, the time and the process id.
pub fn new_edit_id(author: &str) -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{author}-{:x}-{:x}", since.as_nanos(), std::process::id())
}
