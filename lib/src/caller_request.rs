//! Parsing and validation of callers' requests.

use std::io::Read;
use std::time::Duration;

use smol_str::SmolStr;
use tiny_http::Request;

use crate::ids::CallerId;
use crate::ids::ClaimKey;
use crate::ids::ModelName;
use crate::ids::claim_key;
use crate::node::Node;
use crate::reply::RequestRefusal;
use crate::table::Row;

/// Header with the time in milliseconds within which the response must begin.
pub const DEADLINE_HEADER: &str = "X-Deadline-Ms";
/// Header that identifies retries of the same request.
pub const KEY_HEADER: &str = "Idempotency-Key";
/// Header with the caller's name; set by the platform's load balancer.
pub const CALLER_HEADER: &str = "X-Caller";
/// Header with the request's priority; a value above the row's priority is lowered to it.
pub const PRIORITY_HEADER: &str = "X-Priority";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Name of callers that send none; they share its limits.
const ANONYMOUS: &str = "anonymous";

/// A parsed request, ready to be routed.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request's id.
    pub id: SmolStr,
    /// The caller.
    pub caller: CallerId,
    /// The table row of the requested model or service.
    pub row: Row,
    /// HTTP method.
    pub method: String,
    /// Path and query to request from the backend server.
    pub path: String,
    /// Content type of the body; empty if the caller sent none.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// The request's priority, at most the row's.
    pub priority: u8,
    /// When the request arrived.
    pub arrived: Duration,
    /// When the response must begin.
    pub deadline: Duration,
    /// Hash of the beginning of the prompt; `None` for plain services.
    pub prefix: Option<u64>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
}

impl CallerRequest {
    /// Creates a request for `row`, with the path of the HTTP request and no prompt hash.
    pub fn new(
        node: &Node,
        id: SmolStr,
        request: &Request,
        options: RequestOptions,
        row: Row,
        body: Vec<u8>,
    ) -> Self {
        Self {
            id,
            caller: caller_of(request),
            method: request.method().to_string(),
            path: request.url().to_owned(),
            content_type: header_of(request, "Content-Type").unwrap_or_default().to_owned(),
            priority: options.priority.map_or(row.priority, |p| p.min(row.priority)),
            arrived: node.now(),
            deadline: options.deadline,
            prefix: None,
            idempotency_key: options.idempotency_key,
            row,
            body,
        }
    }

    /// Returns the key under which the request is claimed; `None` if it needs no claim, because it
    /// may be repeated or has no idempotency key.
    pub fn claim_key(&self) -> Option<ClaimKey> {
        if self.row.repeat {
            return None;
        }
        let key = self.idempotency_key.as_ref()?;
        Some(claim_key(&self.caller, &self.row.name, key))
    }

    /// Returns the name of the requested model or plain service.
    pub fn model(&self) -> &ModelName {
        &self.row.name
    }
}

/// Returns the value of a header, whose name is matched without regard to case.
pub fn header_of<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|h| h.value.as_str())
}

/// Returns the caller's name, or `anonymous` if the request has none.
pub fn caller_of(request: &Request) -> CallerId {
    header_of(request, CALLER_HEADER).unwrap_or(ANONYMOUS).into()
}

/// Reads the body of a request.
///
/// # Errors
///
/// Fails if the body is larger than the `max_body` setting, is shorter than declared, or cannot be
/// read.
pub fn read_body(node: &Node, request: &mut Request) -> Result<Vec<u8>, RequestRefusal> {
    let max_bytes = node.settings.max_body;
    let declared = request.body_length();
    if declared.is_some_and(|n| n > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let mut body = Vec::new();
    let read = request.as_reader().take(max_bytes as u64 + 1).read_to_end(&mut body);
    if let Err(error) = read {
        return Err(RequestRefusal::permanent(400, "body-unreadable", error.to_string()));
    }
    if body.len() > max_bytes {
        return Err(too_large(max_bytes));
    }
    if declared.is_some_and(|n| n != body.len()) {
        return Err(RequestRefusal::permanent(400, "body-cut-short", "the body ended early"));
    }
    Ok(body)
}

fn too_large(max_bytes: usize) -> RequestRefusal {
    RequestRefusal::permanent(413, "body-too-large", format!("a body may have {max_bytes} bytes"))
}

/// Options that a caller sets by headers.
#[derive(Clone, Debug)]
pub struct RequestOptions {
    /// When the response must begin.
    pub deadline: Duration,
    /// The requested priority; `None` selects the row's.
    pub priority: Option<u8>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
}

impl RequestOptions {
    /// Parses the headers of a request that arrived at `arrived`.
    ///
    /// # Errors
    ///
    /// Fails on an invalid header, which the refusal names.
    pub fn parse(
        node: &Node,
        request: &Request,
        arrived: Duration,
    ) -> Result<Self, RequestRefusal> {
        let invalid = |name: &str, allowed: &str| {
            RequestRefusal::permanent(400, "bad-header", format!("{name} must be {allowed}"))
        };
        let timeout = match header_of(request, DEADLINE_HEADER) {
            None => node.settings.default_deadline,
            Some(text) => match text.trim().parse() {
                Ok(ms) if ms <= 3_600_000 => Duration::from_millis(ms),
                _ => return Err(invalid(DEADLINE_HEADER, "milliseconds up to 3600000")),
            },
        };
        let priority = match header_of(request, PRIORITY_HEADER).map(|t| t.trim().parse()) {
            None => None,
            Some(Ok(priority)) => Some(priority),
            Some(Err(_)) => return Err(invalid(PRIORITY_HEADER, "a number from 0 to 255")),
        };
        let key = header_of(request, KEY_HEADER).map(str::to_owned);
        if key.as_ref().is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES) {
            return Err(invalid(KEY_HEADER, "1 to 256 characters"));
        }
        Ok(Self { deadline: arrived + timeout, priority, idempotency_key: key })
    }
}
