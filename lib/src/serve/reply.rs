//! Responses to callers: forwarded ones of backend servers, and refusals of this daemon.

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

/// Forwards a server's complete response: its status, its body and its headers except the hop-by-hop ones.
pub fn forward_response(head: response::Parts, body: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    strip_hop_by_hop(response.headers_mut());
    response
}

/// A response of this daemon itself, and the reason for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Delay after which the caller should retry; `None` if the request may have run or is invalid.
    pub retry_after: Option<Duration>,
    /// Reason, for the log and the caller.
    pub reason: &'static str,
}

impl Refusal {
    /// Refuses a request that did not run and will not run; the caller may retry after `retry_after`.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, retry_after: Some(retry_after), reason }
    }

    /// Refuses a request that no server answered: with status 503 and `retry_after` if it did not run, otherwise 502.
    pub fn failed(verdict: Verdict, reason: &'static str, retry_after: Duration) -> Self {
        match verdict {
            Verdict::DidNotRun => Self::not_run(reason, retry_after),
            _ => Self { status: StatusCode::BAD_GATEWAY, retry_after: None, reason },
        }
    }

    /// Refuses a request that ran out of time: with status 503 and `retry_after` if it did not run, otherwise 504.
    pub fn timeout(verdict: Verdict, reason: &'static str, retry_after: Duration) -> Self {
        match verdict {
            Verdict::DidNotRun => Self::not_run(reason, retry_after),
            _ => Self { status: StatusCode::GATEWAY_TIMEOUT, retry_after: None, reason },
        }
    }

    /// Refuses a request of a workspace that has used up its quota; the caller may retry after `retry_after`.
    pub fn quota_exceeded(reason: &'static str, retry_after: Duration) -> Self {
        Self { status: StatusCode::TOO_MANY_REQUESTS, retry_after: Some(retry_after), reason }
    }

    /// Refuses a request with a client error, which offers no retry.
    pub fn client_error(status: StatusCode, reason: &'static str) -> Self {
        Self { status, retry_after: None, reason }
    }

    /// Builds the response.
    pub fn response(&self) -> Response<ReplyBody> {
        let mut response =
            Response::new(ReplyBody::whole(Bytes::from_static(self.reason.as_bytes())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Token"));
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
