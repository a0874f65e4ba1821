//! Answers to callers: status, verdict and when to come back.

use std::io::Cursor;
use std::time::Duration;

use serde_json::json;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;

use crate::verdict::Verdict;

/// Header that says whether the request ran.
pub const VERDICT_HEADER: &str = "X-Request-Verdict";
/// Header of the request's id, which `comfreymux explain` takes.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// A request's final answer without a result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRefusal {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// A word for programs.
    pub code: &'static str,
    /// A sentence for people.
    pub message: String,
    /// When to come back; none where coming back does not help.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// A request that is wrong and did not run.
    pub fn permanent(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        let verdict = Verdict::DidNotRun;
        Self { status, verdict, code, message: message.into(), retry_after: None }
    }

    /// A request that did not run now and may be sent again after `retry`.
    pub fn retryable(
        status: u16,
        code: &'static str,
        message: impl Into<String>,
        retry: Duration,
    ) -> Self {
        let verdict = Verdict::DidNotRun;
        Self { status, verdict, code, message: message.into(), retry_after: Some(retry) }
    }

    /// Returns the whole seconds of `Retry-After`.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after.map(|r| r.as_secs() + u64::from(r.subsec_nanos() > 0)).map(|s| s.max(1))
    }

    /// Returns the error object.
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

/// Makes a header.
///
/// # Panics
///
/// Panics if the text is not ASCII, which no caller of this crate passes.
pub fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).expect("headers are ASCII")
}

/// Makes a response with a body of known length.
pub fn with_body(status: u16, content_type: &str, body: Vec<u8>) -> Response<Cursor<Vec<u8>>> {
    let printable = |c: char| c.is_ascii() && !c.is_ascii_control();
    let plain = content_type.chars().all(printable) && !content_type.is_empty();
    let content_type = if plain { content_type } else { "application/octet-stream" };
    Response::from_data(body)
        .with_status_code(status)
        .with_header(header("Content-Type", content_type))
        // The threshold keeps a `Content-Length`, by which the caller sees a body cut short.
        .with_chunked_threshold(usize::MAX)
}

/// Answers a request with a JSON value.
pub fn send_json(request: Request, status: u16, value: &serde_json::Value) {
    send(request, with_body(status, "application/json", value.to_string().into_bytes()));
}

/// Answers a request that is refused.
pub fn send_refusal(request: Request, id: &str, refused: &RequestRefusal) {
    let body = refused.to_json(id).to_string().into_bytes();
    let mut response = with_body(refused.status, "application/json", body)
        .with_header(header(VERDICT_HEADER, refused.verdict.as_str()))
        .with_header(header(REQUEST_ID_HEADER, id));
    if let Some(seconds) = refused.retry_after_seconds() {
        response.add_header(header("Retry-After", &seconds.to_string()));
    }
    send(request, response);
}

/// Sends a response; a caller that is gone is not an error of ours.
pub fn send(request: Request, response: Response<Cursor<Vec<u8>>>) {
    let _gone = request.respond(response);
}
