//! `/services/<row>/<path>`: calls of plain services.

use smol_str::SmolStr;
use tiny_http::Request;

use crate::job::Job;
use crate::job::Wishes;
use crate::job::caller_of;
use crate::job::header_of;
use crate::node::Node;
use crate::once;
use crate::reply::Refused;
use crate::table::Kind;

/// Beginning of the paths of plain services.
pub const PREFIX: &str = "/services/";

/// Reads a call of a plain service.
///
/// # Errors
///
/// The path names no plain service of the table.
pub fn read(
    node: &Node,
    id: SmolStr,
    request: &Request,
    wishes: Wishes,
    body: Vec<u8>,
) -> Result<Job, Refused> {
    let rest = request.url().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let view = node.view.load();
    let row = view.table.row(name).filter(|r| r.kind == Kind::Service).cloned();
    let Some(row) = row else {
        let message = format!("the service `{name}` does not exist");
        return Err(Refused::wrong(404, "service_not_found", message));
    };
    let priority = wishes.priority.map_or(row.priority, |p| p.min(row.priority));
    Ok(Job {
        id,
        caller: caller_of(request),
        method: request.method().to_string(),
        path: format!("/{path}"),
        content_type: header_of(request, "Content-Type").unwrap_or_default().to_owned(),
        priority,
        arrived: node.now(),
        deadline: wishes.deadline,
        prefix: None,
        key: wishes.key,
        row,
        body,
    })
}

/// Serves a call of a plain service.
pub fn serve(node: &Node, job: &Job, request: Request) {
    once::serve(node, job, request);
}
