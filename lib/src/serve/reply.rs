//! Answers to callers: a server's, passed on whole, and our own.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::response;

use crate::serve::body::ReplyBody;
use crate::serve::headers::strip_hop_by_hop;
use crate::verdict::Verdict;

/// Passes a server's whole answer on: its status, body and headers, less those of the connection.
pub fn forward_response(head: response::Parts, body: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    strip_hop_by_hop(response.headers_mut());
    response
}

/// An answer of our own and why it was given.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The status.
    pub status: StatusCode,
    /// When the caller should come back, where the request did not run.
    pub retry: Option<Duration>,
    /// Why, for the log and the caller.
    pub reason: &'static str,
}

impl Refusal {
    /// A request that did not run and will not; the caller may come back after `retry`.
    pub fn not_run(reason: &'static str, retry: Duration) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, retry: Some(retry), reason }
    }

    /// A request that has no answer; the status promises only what the verdict allows.
    pub fn failed(verdict: Verdict, reason: &'static str, retry: Duration) -> Self {
        match verdict {
            Verdict::DidNotRun => Self::not_run(reason, retry),
            _ => Self { status: StatusCode::BAD_GATEWAY, retry: None, reason },
        }
    }

    /// A request that ran out of time and may have run.
    pub fn timeout(verdict: Verdict, reason: &'static str, retry: Duration) -> Self {
        match verdict {
            Verdict::DidNotRun => Self::not_run(reason, retry),
            _ => Self { status: StatusCode::GATEWAY_TIMEOUT, retry: None, reason },
        }
    }

    /// A request that is wrong in itself.
    pub fn client_error(status: StatusCode, reason: &'static str) -> Self {
        Self { status, retry: None, reason }
    }

    /// Makes the response.
    pub fn response(&self) -> Response<ReplyBody> {
        let mut response =
            Response::new(ReplyBody::whole(Bytes::from_static(self.reason.as_bytes())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(retry) = self.retry {
            let seconds = format!("{:.2}", retry.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
