//! Responses and refusals that the daemon sends to callers, with status, verdict and retry time.

use std::io::Cursor;
use std::time::Duration;

use serde_json::json;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;

use crate::verdict::Verdict;

/// Response header with the verdict: whether the request ran.
pub const VERDICT_HEADER: &str = "X-Request-Verdict";
/// Response header with the request's id, the argument of `comfreymux explain`.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// A refusal: the daemon's own answer to a request that has no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRefusal {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Machine-readable reason.
    pub code: &'static str,
    /// Human-readable explanation.
    pub message: String,
    /// When to retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Refuses an invalid request, which did not run and would be refused again.
    pub fn permanent(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        let verdict = Verdict::DidNotRun;
        Self { status, verdict, code, message: message.into(), retry_after: None }
    }

    /// Refuses a request that did not run and may be retried after `retry`.
    pub fn retryable(
        status: u16,
        code: &'static str,
        message: impl Into<String>,
        retry: Duration,
    ) -> Self {
        let verdict = Verdict::DidNotRun;
        Self { status, verdict, code, message: message.into(), retry_after: Some(retry) }
    }

    /// Returns the value of `Retry-After`: seconds, rounded up, at least 1.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after.map(|r| r.as_secs() + u64::from(r.subsec_nanos() > 0)).map(|s| s.max(1))
    }

    /// Returns the JSON error object for the request with the id `request`.
    pub fn to_json(&self, request: &str) -> serde_json::Value {
        json!({"error": {
            "message": self.message,
            "type": if self.status < 500 { "invalid_request_error" } else { "server_error" },
            "code": self.code,
            "verdict": self.verdict.as_str(),
            "retry_after_s": self.retry_after_seconds(),
            "request_id": request,
        }})
    }
}

/// Builds a header.
///
/// # Panics
///
/// Panics if the text is not ASCII; callers in this crate pass only ASCII.
pub fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).expect("headers are ASCII")
}

/// Builds a response with a body of known length.
pub fn with_body(status: u16, content_type: &str, body: Vec<u8>) -> Response<Cursor<Vec<u8>>> {
    let printable = |c: char| c.is_ascii() && !c.is_ascii_control();
    let plain = content_type.chars().all(printable) && !content_type.is_empty();
    let content_type = if plain { content_type } else { "application/octet-stream" };
    Response::from_data(body)
        .with_status_code(status)
        .with_header(header("Content-Type", content_type))
        // Without chunking there is a `Content-Length`, by which the caller detects a truncated
        // body.
        .with_chunked_threshold(usize::MAX)
}

/// Answers a request with a JSON body.
pub fn send_json(request: Request, status: u16, value: &serde_json::Value) {
    send(request, with_body(status, "application/json", value.to_string().into_bytes()));
}

/// Answers a request with a refusal.
pub fn send_refusal(request: Request, id: &str, refusal: &RequestRefusal) {
    let body = refusal.to_json(id).to_string().into_bytes();
    let mut response = with_body(refusal.status, "application/json", body)
        .with_header(header(VERDICT_HEADER, refusal.verdict.as_str()))
        .with_header(header(REQUEST_ID_HEADER, id));
    if let Some(seconds) = refusal.retry_after_seconds() {
        response.add_header(header("Retry-After", &seconds.to_string()));
    }
    send(request, response);
}

/// Sends a response. A caller that has disconnected is not an error of the daemon.
pub fn send(request: Request, response: Response<Cursor<Vec<u8>>>) {
    let _disconnected = request.respond(response);
}
