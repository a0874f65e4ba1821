//! A caller's request, read and checked.

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

/// Header with the milliseconds in which an answer must begin.
pub const DEADLINE_HEADER: &str = "X-Deadline-Ms";
/// Header by which repeats of one request are known.
pub const KEY_HEADER: &str = "Idempotency-Key";
/// Header with the caller's name; set by the platform's balancer.
pub const CALLER_HEADER: &str = "X-Caller";
/// Header with a priority below or equal to the row's.
pub const PRIORITY_HEADER: &str = "X-Priority";

/// Longest idempotency key.
const MAX_KEY: usize = 256;
/// Callers without a name share this one.
const ANONYMOUS: &str = "anonymous";

/// A request that is ready to be routed.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its id.
    pub id: SmolStr,
    /// The caller.
    pub caller: CallerId,
    /// The table row that it names.
    pub row: Row,
    /// HTTP method.
    pub method: String,
    /// Path and query at the backend server.
    pub path: String,
    /// Content type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Its priority.
    pub priority: u8,
    /// When it came.
    pub arrived: Duration,
    /// When its answer must begin.
    pub deadline: Duration,
    /// Hash of the prompt's beginning.
    pub prefix: Option<u64>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
}

impl CallerRequest {
    /// Creates the request for `row` from a request; the path is the request's own.
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

    /// Returns the key under which the request is claimed; none where no claim is needed.
    pub fn claim_key(&self) -> Option<ClaimKey> {
        if self.row.repeat {
            return None;
        }
        let key = self.idempotency_key.as_ref()?;
        Some(claim_key(&self.caller, &self.row.name, key))
    }

    /// Returns the model or plain service.
    pub fn model(&self) -> &ModelName {
        &self.row.name
    }
}

/// Returns the value of a request's header.
pub fn header_of<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|h| h.value.as_str())
}

/// Returns the caller's name.
pub fn caller_of(request: &Request) -> CallerId {
    header_of(request, CALLER_HEADER).unwrap_or(ANONYMOUS).into()
}

/// Reads a body of at most the allowed size.
///
/// # Errors
///
/// The body is too large, or ended early.
pub fn read_body(node: &Node, request: &mut Request) -> Result<Vec<u8>, RequestRefusal> {
    let most = node.settings.max_body;
    let stated = request.body_length();
    if stated.is_some_and(|n| n > most) {
        return Err(too_large(most));
    }
    let mut body = Vec::new();
    let read = request.as_reader().take(most as u64 + 1).read_to_end(&mut body);
    if let Err(error) = read {
        return Err(RequestRefusal::permanent(400, "body-unreadable", error.to_string()));
    }
    if body.len() > most {
        return Err(too_large(most));
    }
    if stated.is_some_and(|n| n != body.len()) {
        return Err(RequestRefusal::permanent(400, "body-cut-short", "the body ended early"));
    }
    Ok(body)
}

fn too_large(most: usize) -> RequestRefusal {
    RequestRefusal::permanent(413, "body-too-large", format!("a body may have {most} bytes"))
}

/// Headers that shape how a request is handled.
#[derive(Clone, Debug)]
pub struct RequestOptions {
    /// When its answer must begin.
    pub deadline: Duration,
    /// Its priority; none takes the row's.
    pub priority: Option<u8>,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
}

impl RequestOptions {
    /// Reads the headers of a request that came at `arrived`.
    ///
    /// # Errors
    ///
    /// Names the header that cannot be read.
    pub fn parse(
        node: &Node,
        request: &Request,
        arrived: Duration,
    ) -> Result<Self, RequestRefusal> {
        let wrong = |name: &str, allowed: &str| {
            RequestRefusal::permanent(400, "bad-header", format!("{name} must be {allowed}"))
        };
        let time = match header_of(request, DEADLINE_HEADER) {
            None => node.settings.default_deadline,
            Some(text) => match text.trim().parse() {
                Ok(ms) if ms <= 3_600_000 => Duration::from_millis(ms),
                _ => return Err(wrong(DEADLINE_HEADER, "milliseconds up to 3600000")),
            },
        };
        let priority = match header_of(request, PRIORITY_HEADER).map(|t| t.trim().parse()) {
            None => None,
            Some(Ok(priority)) => Some(priority),
            Some(Err(_)) => return Err(wrong(PRIORITY_HEADER, "a number from 0 to 255")),
        };
        let key = header_of(request, KEY_HEADER).map(str::to_owned);
        if key.as_ref().is_some_and(|k| k.is_empty() || k.len() > MAX_KEY) {
            return Err(wrong(KEY_HEADER, "1 to 256 characters"));
        }
        Ok(Self { deadline: arrived + time, priority, idempotency_key: key })
    }
}
