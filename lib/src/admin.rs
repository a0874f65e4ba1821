//! HTTP handlers of the operator endpoints under `/admin/`.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::caller_request::read_body;
use crate::event::EditAnswer;
use crate::node::ControlInput;
use crate::node::Node;
use crate::reply;
use crate::reply::RequestRefusal;
use crate::table::Edit;

/// Longest wait for the log to accept or reject an edit.
const EDIT_WAIT: Duration = Duration::from_secs(10);

/// Serves an operator's request; `path` is the part after `/admin/`, including any query.
pub fn serve(node: &Node, mut request: Request, path: &str) {
    let method = request.method().clone();
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let answer = match (&method, path) {
        (Method::Get, "table") => table(node),
        (Method::Get, "history") => history(node),
        (Method::Get, "status") => status(node),
        (Method::Get, "explain") => explain(node, query),
        (Method::Post, "edits") => edit(node, &mut request),
        (Method::Post, "drain") => Ok(drain(node)),
        _ => Err(RequestRefusal::permanent(
            404,
            "no-such-path",
            "operators ask for /admin/table, history, \
             status, explain?id=, edits (POST) or drain (POST)",
        )),
    };
    match answer {
        Ok((status, value)) => reply::send_json(request, status, &value),
        Err(refused) => reply::send_refusal(request, "", &refused),
    }
}

/// Status and JSON body of a response.
type AdminResult = Result<(u16, Value), RequestRefusal>;

fn no_state() -> RequestRefusal {
    RequestRefusal::retryable(503, "no-state", "the log was not read yet", Duration::from_secs(1))
}

fn table(node: &Node) -> AdminResult {
    let view = node.view.load();
    if !view.ready {
        return Err(no_state());
    }
    let rows: Vec<_> = view.table.iter().collect();
    Ok((200, json!({"rows": rows, "log_up": view.log_up})))
}

fn history(node: &Node) -> AdminResult {
    let state = node.state().ok_or_else(no_state)?;
    Ok((200, json!({"edits": state.history})))
}

fn status(node: &Node) -> AdminResult {
    let state = node.state().ok_or_else(no_state)?;
    let view = node.view.load();
    let slots: Vec<Value> = state
        .slots
        .iter()
        .map(|(id, s)| {
            json!({"slot": id, "model": s.model, "server": s.server, "phase": s.phase,
                "memory_mib": s.memory_mib})
        })
        .collect();
    let value = json!({
        "daemon": node.settings.id,
        "centre": node.settings.centre,
        "incarnation": node.incarnation,
        "stopping": node.is_stopping(),
        "log_up": view.log_up,
        "offset": state.offset,
        "hash": format!("{:016x}", state.hash()),
        "leases": state.leases,
        "servers": state.servers.len(),
        "claims": state.claims.len(),
        "slots": slots,
        "waiting": node.waiting.demand(),
        "active": node.limits().total(),
    });
    Ok((200, value))
}

fn explain(node: &Node, query: &str) -> AdminResult {
    let id = query.strip_prefix("id=").unwrap_or_default();
    if id.is_empty() {
        return Err(RequestRefusal::permanent(
            400,
            "no-id",
            "explain?id= takes a request, model, server or \
             data centre",
        ));
    }
    Ok((200, json!({"lines": node.decision_log.find(id)})))
}

fn edit(node: &Node, request: &mut Request) -> AdminResult {
    let body = read_body(node, request)?;
    let edit: Edit = serde_json::from_slice(&body)
        .map_err(|e| RequestRefusal::permanent(400, "bad-json", e.to_string()))?;
    let (sender, receiver) = flume::bounded(1);
    node.send(ControlInput::Edit(edit.clone(), sender));
    let Ok(answer) = receiver.recv_timeout(EDIT_WAIT) else {
        let message = format!(
            "the log has not decided edit {} yet; apply it again with the same id",
            edit.id
        );
        return Err(RequestRefusal {
            status: 504,
            verdict: crate::verdict::Verdict::MayHaveRun,
            code: "edit-undecided",
            message,
            retry_after: Some(Duration::from_secs(5)),
        });
    };
    Ok(match answer {
        EditAnswer::Accepted(position) => (200, json!({"accepted": true, "position": position})),
        EditAnswer::Conflict(row) => (409, json!({"accepted": false, "conflict": row})),
    })
}

fn drain(node: &Node) -> (u16, Value) {
    node.stopping.store(true, Ordering::Relaxed);
    (200, json!({"draining": true, "active": node.limits().total()}))
}
