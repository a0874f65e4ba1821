//! Finds the route of a request and the workspace of its caller.

use std::rc::Rc;

use http::StatusCode;
use http::request;

use crate::cluster::configuration::Configuration;
use crate::cluster::configuration::Route;
use crate::cluster::workspace::Workspace;
use crate::protocol::CallerKey;
use crate::serve::daemon_state::DaemonState;
use crate::serve::handle::UNREADY_RETRY_AFTER;
use crate::serve::handle::host;
use crate::serve::reply::Refusal;

/// What a configuration allows a request to do.
#[derive(Debug)]
pub struct Authorized {
    /// The route of the request.
    pub route: Route,
    /// The workspace of the caller; `None` if the request needs no API key and has none.
    pub workspace: Option<Rc<Workspace>>,
}

/// Why a request is rejected, for the caller and the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Rejection {
    status: StatusCode,
    reason: &'static str,
    /// The reason while operators may have written a configuration that allows the request.
    stale_reason: &'static str,
}

const NO_ROUTE: Rejection = Rejection {
    status: StatusCode::NOT_FOUND,
    reason: "no such route",
    stale_reason: "no such route, but the configuration may be old",
};
const NO_KEY: Rejection = Rejection {
    status: StatusCode::UNAUTHORIZED,
    reason: "an API key is missing: send the header Authorization: Token KEY",
    stale_reason: "an API key is missing, but the configuration may be old",
};
const BAD_KEY: Rejection = Rejection {
    status: StatusCode::UNAUTHORIZED,
    reason: "the API key cannot be read: send one header Authorization: Token KEY",
    stale_reason: "the API key cannot be read, and the configuration may be old",
};
const UNKNOWN_KEY: Rejection = Rejection {
    status: StatusCode::UNAUTHORIZED,
    reason: "the API key belongs to no workspace",
    stale_reason: "the API key belongs to no workspace, but the configuration may be old",
};

/// Returns the route of a request and the workspace of its caller.
///
/// # Errors
///
/// Returns the refusal of a request without a route, or without a valid API key where one is needed. It is final only
/// if no later configuration can be in force.
pub fn authorize(
    daemon: &DaemonState,
    config: &Configuration,
    parts: &request::Parts,
) -> Result<Authorized, Refusal> {
    find(daemon, config, parts).map_err(|rejection| {
        if daemon.is_config_stale(daemon.now()) {
            Refusal::not_run(rejection.stale_reason, UNREADY_RETRY_AFTER)
        } else {
            Refusal::client_error(rejection.status, rejection.reason)
        }
    })
}

fn find(
    daemon: &DaemonState,
    config: &Configuration,
    parts: &request::Parts,
) -> Result<Authorized, Rejection> {
    let route = config.route(host(parts), parts.uri.path()).cloned().ok_or(NO_ROUTE)?;
    if config.workspaces.is_empty() {
        return Ok(Authorized { route, workspace: None });
    }
    let found = match daemon.protocol.parse_api_key(&parts.headers) {
        CallerKey::Missing => Err(NO_KEY),
        CallerKey::Malformed => Err(BAD_KEY),
        CallerKey::Key(key) => config.workspaces.find(key).cloned().ok_or(UNKNOWN_KEY),
    };
    let workspace = match found {
        Ok(workspace) => Some(workspace),
        Err(_rejection) if route.is_public => None,
        Err(rejection) => return Err(rejection),
    };
    Ok(Authorized { route, workspace })
}
