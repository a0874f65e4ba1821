//! Handler of `/v1/chat/completions`: model completions, streamed or in one response.

use serde::Deserialize;
use serde_json::value::RawValue;
use smol_str::SmolStr;
use tiny_http::Request;
use xxhash_rust::xxh3::xxh3_64;

use crate::backend_client::Failure;
use crate::backend_client::FailureKind;
use crate::backend_client::ServerRequest;
use crate::backend_client::ServerResponse;
use crate::caller_request::CallerRequest;
use crate::caller_request::RequestOptions;
use crate::dispatch::AttemptError;
use crate::dispatch::DispatchError;
use crate::dispatch::dispatch;
use crate::node::Node;
use crate::record::StoredResponse;
use crate::reply;
use crate::reply::REQUEST_ID_HEADER;
use crate::reply::RequestRefusal;
use crate::router::Route;
use crate::sse::StreamEvent;
use crate::sse::StreamReader;
use crate::sse::StreamWriter;
use crate::unary;
use crate::verdict::Verdict;

/// Path of chat completions, the same at daemons and engines.
pub const PATH: &str = "/v1/chat/completions";

/// Bytes of the messages that are hashed as the beginning of the prompt.
const PREFIX_BYTES: usize = 1024;

#[derive(Deserialize)]
struct ChatBody<'a> {
    model: SmolStr,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    messages: &'a RawValue,
}

/// A parsed request for a completion.
#[derive(Debug)]
pub struct ChatRequest {
    /// The request to route.
    pub caller_request: CallerRequest,
    /// Whether the caller wants a stream.
    pub stream: bool,
}

impl ChatRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a valid completion request, or if its model is not in the table.
    pub fn parse(
        node: &Node,
        id: SmolStr,
        request: &Request,
        options: RequestOptions,
        body: Vec<u8>,
    ) -> Result<Self, RequestRefusal> {
        let chat: ChatBody<'_> = serde_json::from_slice(&body)
            .map_err(|e| RequestRefusal::permanent(400, "bad-json", e.to_string()))?;
        let view = node.view.load();
        let row = view.table.row(&chat.model).filter(|r| r.is_loadable()).cloned();
        let Some(row) = row else {
            let message = format!("the model `{}` does not exist", chat.model);
            return Err(RequestRefusal::permanent(404, "model_not_found", message));
        };
        let messages = chat.messages.get().as_bytes();
        let prefix = xxh3_64(&messages[..messages.len().min(PREFIX_BYTES)]);
        let stream = chat.stream;
        let caller_request = CallerRequest::new(node, id, request, options, row, body);
        let content_type = "application/json".into();
        let caller_request = CallerRequest {
            path: PATH.into(),
            content_type,
            prefix: Some(prefix),
            ..caller_request
        };
        Ok(Self { caller_request, stream })
    }

    /// Serves the completion.
    pub fn serve(&self, node: &Node, request: Request) {
        // The response to a claimed request is stored for retries, so it is not streamed.
        if self.stream && self.caller_request.claim_key().is_none() {
            Streaming {
                node,
                caller_request: &self.caller_request,
                request: Some(request),
                writer: None,
                chunks_sent: 0,
            }
            .serve();
        } else {
            unary::serve(node, &self.caller_request, request);
        }
    }
}

/// A streamed completion in progress.
struct Streaming<'a> {
    node: &'a Node,
    caller_request: &'a CallerRequest,
    request: Option<Request>,
    writer: Option<StreamWriter>,
    /// Chunks sent to the caller; the next attempt resumes after them.
    chunks_sent: u64,
}

/// How a successful attempt ended.
enum Completion {
    Streamed,
    Unary(StoredResponse),
}

impl Streaming<'_> {
    fn serve(mut self) {
        let (node, caller_request) = (self.node, self.caller_request);
        let result = dispatch(node, caller_request, |route, server_request| {
            self.attempt(route, server_request)
        });
        node.metrics.record_events(self.chunks_sent);
        match result {
            Ok(completion) => self.finish(completion),
            Err(DispatchError::Refused(refused)) => self.refuse(&refused),
            Err(DispatchError::CallerGone) => {
                node.log_routing(
                    &caller_request.id,
                    caller_request.model(),
                    "cancel",
                    "",
                    "the caller is gone",
                );
            }
        }
    }

    fn attempt(
        &mut self,
        route: &Route,
        server_request: &ServerRequest,
    ) -> Result<Completion, AttemptError> {
        let server_request =
            ServerRequest { resume_from: self.chunks_sent, ..server_request.clone() };
        let response = self.node.backend_client.send(route.addr, &server_request)?;
        record_response(self.node, self.caller_request, route, &response);
        if response.status != 200 {
            return Ok(Completion::Unary(read_answer(response)?));
        }
        let mut reader = StreamReader::new(response.body);
        loop {
            match reader.next_event()? {
                StreamEvent::Chunk(data) => self.relay(&data)?,
                StreamEvent::Done => return Ok(Completion::Streamed),
            }
        }
    }

    fn relay(&mut self, data: &str) -> Result<(), AttemptError> {
        let writer = if let Some(writer) = &mut self.writer {
            writer
        } else {
            let writer = self.start_stream()?;
            self.writer.insert(writer)
        };
        writer.write_event(data).map_err(|_disconnected| AttemptError::CallerGone)?;
        self.chunks_sent += 1;
        Ok(())
    }

    fn start_stream(&mut self) -> Result<StreamWriter, AttemptError> {
        let request = self.request.take().ok_or(AttemptError::CallerGone)?;
        let now = self.node.now();
        self.node.metrics.record_first_byte(now.saturating_sub(self.caller_request.arrived));
        let headers = [format!("{REQUEST_ID_HEADER}: {}", self.caller_request.id)];
        StreamWriter::start(request.into_writer(), &headers)
            .map_err(|_disconnected| AttemptError::CallerGone)
    }

    fn finish(mut self, completion: Completion) {
        let (node, caller_request) = (self.node, self.caller_request);
        node.metrics.record_answer(caller_request.model(), Verdict::Ran);
        match (completion, self.request.take(), self.writer.take()) {
            (Completion::Unary(answer), Some(request), _) => {
                unary::send_response(request, caller_request, &answer, false);
            }
            // A complete stream may have no chunk.
            (Completion::Streamed, Some(request), None) => {
                let headers = [format!("{REQUEST_ID_HEADER}: {}", caller_request.id)];
                let writer = StreamWriter::start(request.into_writer(), &headers);
                let _disconnected = writer.and_then(StreamWriter::finish);
            }
            (Completion::Streamed, _, Some(writer)) => {
                let _disconnected = writer.finish();
            }
            (Completion::Unary(_), None, Some(writer)) => {
                close_with_error(
                    writer,
                    &RequestRefusal::permanent(502, "faulted", "the stream broke off"),
                    caller_request,
                );
            }
            (_, None, None) => {}
        }
        node.log_routing(
            &caller_request.id,
            caller_request.model(),
            "done",
            "",
            format!("chunks={}", self.chunks_sent),
        );
    }

    /// Refuses the request; if its stream has begun, ends the stream with an error event.
    ///
    /// The caller keeps the chunks that were sent. The last event carries the error, and no end
    /// marker follows, so that a truncated stream cannot be mistaken for a complete one.
    fn refuse(mut self, refused: &RequestRefusal) {
        let (node, caller_request) = (self.node, self.caller_request);
        record_refusal(node, caller_request, refused);
        match (self.request.take(), self.writer.take()) {
            (Some(request), _) => reply::send_refusal(request, &caller_request.id, refused),
            (None, Some(writer)) => {
                // Chunks were sent, so the request ran at least in part.
                let partial = RequestRefusal { verdict: Verdict::MayHaveRun, ..refused.clone() };
                close_with_error(writer, &partial, caller_request);
            }
            (None, None) => {}
        }
    }
}

fn close_with_error(
    mut writer: StreamWriter,
    refused: &RequestRefusal,
    caller_request: &CallerRequest,
) {
    let data = refused.to_json(&caller_request.id).to_string();
    let _disconnected = writer.write_event(&data).and_then(|()| writer.close());
}

/// Logs and counts a refusal.
pub fn record_refusal(node: &Node, caller_request: &CallerRequest, refused: &RequestRefusal) {
    node.metrics.record_refusal(refused.code);
    node.metrics.record_answer(caller_request.model(), refused.verdict);
    let reason = format!("{} {}: {}", refused.verdict, refused.code, refused.message);
    node.log_routing(&caller_request.id, caller_request.model(), "refuse", "", reason);
}

/// Passes the replica's number of active requests, from the response head, to the router.
pub fn record_response(
    node: &Node,
    caller_request: &CallerRequest,
    route: &Route,
    response: &ServerResponse,
) {
    node.router().record_answer(node.now(), &route.server, caller_request.model(), response.active);
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// Fails if the body is truncated or stalls for the idle timeout, or if the status is 500 or above.
/// In each case the request may have run.
pub fn read_answer(mut response: ServerResponse) -> Result<StoredResponse, AttemptError> {
    let mut body = Vec::new();
    std::io::Read::read_to_end(&mut response.body, &mut body)
        .map_err(|e| Failure::from_read_error(&e))?;
    let (status, content_type) = (response.status, response.content_type);
    if status >= 500 {
        let detail = format!("status {status}: {}", String::from_utf8_lossy(&body));
        return Err(Failure::may_have_run(FailureKind::ServerError, detail).into());
    }
    Ok(StoredResponse { status, content_type, body })
}
