//! `/services/<row>/<path>`: calls of plain services.

use smol_str::SmolStr;
use tiny_http::Request;

use crate::caller_request::CallerRequest;
use crate::caller_request::RequestOptions;
use crate::node::Node;
use crate::reply::RequestRefusal;
use crate::table::RowKind;
use crate::unary;

/// Beginning of the paths of plain services.
pub const PREFIX: &str = "/services/";

/// Reads a call of a plain service.
///
/// # Errors
///
/// The path names no plain service of the table.
pub fn parse_request(
    node: &Node,
    id: SmolStr,
    request: &Request,
    wishes: RequestOptions,
    body: Vec<u8>,
) -> Result<CallerRequest, RequestRefusal> {
    let rest = request.url().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let view = node.view.load();
    let row = view.table.row(name).filter(|r| r.kind == RowKind::Service).cloned();
    let Some(row) = row else {
        let message = format!("the service `{name}` does not exist");
        return Err(RequestRefusal::permanent(404, "service_not_found", message));
    };
    let job = CallerRequest::new(node, id, request, wishes, row, body);
    Ok(CallerRequest { path: format!("/{path}"), ..job })
}

/// Serves a call of a plain service.
pub fn serve(node: &Node, job: &CallerRequest, request: Request) {
    unary::serve(node, job, request);
}
