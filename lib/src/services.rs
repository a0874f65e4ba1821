//! Handles requests to plain services, at `/services/<row>/<path>`.

use smol_str::SmolStr;
use tiny_http::Request;

use crate::caller_request::CallerRequest;
use crate::caller_request::RequestOptions;
use crate::node::Node;
use crate::reply::RequestRefusal;
use crate::table::RowKind;
use crate::unary;

/// Path prefix of plain services.
pub const PREFIX: &str = "/services/";

/// Parses a request to a plain service.
///
/// # Errors
///
/// Returns a refusal with status 404 if the path names no plain service of the table.
pub fn parse_request(
    node: &Node,
    id: SmolStr,
    request: &Request,
    options: RequestOptions,
    body: Vec<u8>,
) -> Result<CallerRequest, RequestRefusal> {
    let row_and_path = request.url().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = row_and_path.split_once('/').unwrap_or((row_and_path, ""));
    let view = node.view.load();
    let row = view.table.row(name).filter(|r| r.kind == RowKind::Service).cloned();
    let Some(row) = row else {
        let message = format!("the service `{name}` does not exist");
        return Err(RequestRefusal::permanent(404, "service_not_found", message));
    };
    let caller_request = CallerRequest::new(node, id, request, options, row, body);
    Ok(CallerRequest { path: format!("/{path}"), ..caller_request })
}

/// Serves a request to a plain service.
pub fn serve(node: &Node, caller_request: &CallerRequest, request: Request) {
    unary::serve(node, caller_request, request);
}
