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
    options: RequestOptions,
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
    let caller_request = CallerRequest::new(node, id, request, options, row, body);
    Ok(CallerRequest { path: format!("/{path}"), ..caller_request })
}

/// Serves a call of a plain service.
pub fn serve(node: &Node, caller_request: &CallerRequest, request: Request) {
    unary::serve(node, caller_request, request);
}
