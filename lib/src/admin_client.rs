//! What operators ask of a daemon over HTTP.

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

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Why an operator's request gave nothing.
#[derive(Debug, Diagnostic, Error)]
pub enum ClientError {
    /// The daemon did not answer.
    #[error("no answer from {url}: {message}")]
    #[diagnostic(help("is the daemon running there? --daemon or COMFREYMUX_DAEMON names another"))]
    Unreachable {
        /// What was asked.
        url: String,
        /// Why.
        message: String,
    },
    /// The daemon refused.
    #[error("the daemon refused: {0}")]
    Refused(String),
    /// The answer is not what was expected.
    #[error("the daemon's answer cannot be read: {0}")]
    Malformed(String),
}

/// What became of an edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The table already was as asked.
    Unchanged,
    /// It is in force from this log position on.
    Accepted(u64),
    /// This row changed meanwhile.
    Conflict(String),
}

#[derive(Deserialize)]
struct TableAnswer {
    rows: Vec<VersionedRow>,
}

/// A client of one daemon's operator side.
#[derive(Clone, Debug)]
pub struct AdminClient {
    base: String,
}

impl AdminClient {
    /// Creates a client of the daemon at `base`, such as `http://127.0.0.1:8080`.
    pub fn new(base: impl Into<String>) -> Self {
        Self { base: base.into() }
    }

    fn ask(&self, request: minreq::Request, path: &str) -> Result<(u16, Value), ClientError> {
        let sent = request.with_timeout(TIMEOUT.as_secs()).with_follow_redirects(false).send();
        let response = sent.map_err(|e| ClientError::Unreachable {
            url: format!("{}{path}", self.base),
            message: e.to_string(),
        })?;
        let value = serde_json::from_slice(response.as_bytes())
            .map_err(|e| ClientError::Malformed(e.to_string()))?;
        Ok((response.status_code, value))
    }

    /// Asks for a JSON value under `/admin/`.
    ///
    /// # Errors
    ///
    /// The daemon did not answer or refused.
    pub fn get(&self, name: &str) -> Result<Value, ClientError> {
        let path = format!("/admin/{name}");
        let (status, value) = self.ask(minreq::get(format!("{}{path}", self.base)), &path)?;
        if status == 200 { Ok(value) } else { Err(ClientError::Refused(message_of(&value))) }
    }

    /// Returns the table in force.
    ///
    /// # Errors
    ///
    /// The daemon did not answer, or has not read a table yet.
    pub fn table(&self) -> Result<Table, ClientError> {
        let value = self.get("table")?;
        let answer: TableAnswer =
            serde_json::from_value(value).map_err(|e| ClientError::Malformed(e.to_string()))?;
        Ok(Table::from_rows(answer.rows))
    }

    /// Makes the table equal to `rows`, if nobody else changes the same rows meanwhile.
    ///
    /// # Errors
    ///
    /// The daemon did not answer, or the log has not decided.
    pub fn apply(&self, rows: &[Row], author: &str, id: &str) -> Result<ApplyResult, ClientError> {
        let changes = self.table()?.diff(rows);
        if changes.is_empty() {
            return Ok(ApplyResult::Unchanged);
        }
        self.send_edit(&Edit { id: id.into(), author: author.into(), changes })
    }

    /// Sends an edit.
    ///
    /// # Errors
    ///
    /// The daemon did not answer, or the log has not decided.
    pub fn send_edit(&self, edit: &Edit) -> Result<ApplyResult, ClientError> {
        let path = "/admin/edits";
        let body = serde_json::to_vec(edit).map_err(|e| ClientError::Malformed(e.to_string()))?;
        let request = minreq::post(format!("{}{path}", self.base)).with_body(body);
        let (status, value) = self.ask(request, path)?;
        match status {
            200 => Ok(ApplyResult::Accepted(value["position"].as_u64().unwrap_or(0))),
            409 => Ok(ApplyResult::Conflict(value["conflict"].as_str().unwrap_or_default().into())),
            _ => Err(ClientError::Refused(message_of(&value))),
        }
    }

    /// Tells the daemon to stop: it refuses new work and ends once its requests have ended.
    ///
    /// # Errors
    ///
    /// The daemon did not answer.
    pub fn drain(&self) -> Result<Value, ClientError> {
        let path = "/admin/drain";
        Ok(self.ask(minreq::post(format!("{}{path}", self.base)), path)?.1)
    }

    /// Returns what would change if `rows` became the table.
    ///
    /// # Errors
    ///
    /// The daemon did not answer, or has not read a table yet.
    pub fn diff(&self, rows: &[Row]) -> Result<Vec<RowChange>, ClientError> {
        Ok(self.table()?.diff(rows))
    }
}

fn message_of(value: &Value) -> String {
    value.pointer("/error/message").and_then(Value::as_str).unwrap_or("no reason given").to_owned()
}

/// Returns an edit id that no other edit has.
pub fn new_edit_id(author: &str) -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{author}-{:x}-{:x}", since.as_nanos(), std::process::id())
}
