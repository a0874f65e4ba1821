//! `/v1/chat/completions`: completions of models, streamed or whole.

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

/// Path of completions, here and at the engines.
pub const PATH: &str = "/v1/chat/completions";

/// Bytes of the messages that are taken for the prompt's beginning.
const PREFIX: usize = 1024;

#[derive(Deserialize)]
struct ChatBody<'a> {
    model: SmolStr,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    messages: &'a RawValue,
}

/// A completion that is wanted.
#[derive(Debug)]
pub struct ChatRequest {
    /// The request.
    pub caller_request: CallerRequest,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl ChatRequest {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// The body is not such a request, or names no model of the table.
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
        let prefix = xxh3_64(&messages[..messages.len().min(PREFIX)]);
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
        // A claimed answer is kept for repeats, so it is not streamed.
        if self.stream && self.caller_request.claim_key().is_none() {
            Streaming {
                node,
                caller_request: &self.caller_request,
                request: Some(request),
                writer: None,
                sent: 0,
            }
            .serve();
        } else {
            unary::serve(node, &self.caller_request, request);
        }
    }
}

/// A stream on its way to the caller.
struct Streaming<'a> {
    node: &'a Node,
    caller_request: &'a CallerRequest,
    request: Option<Request>,
    writer: Option<StreamWriter>,
    /// Chunks that the caller has; another attempt goes on after them.
    sent: u64,
}

/// How an attempt of a stream ended well.
enum Whole {
    Streamed,
    Answered(StoredResponse),
}

impl Streaming<'_> {
    fn serve(mut self) {
        let (node, caller_request) = (self.node, self.caller_request);
        let result = dispatch(node, caller_request, |route, server_request| {
            self.attempt(route, server_request)
        });
        node.metrics.record_events(self.sent);
        match result {
            Ok(whole) => self.finish(whole),
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
    ) -> Result<Whole, AttemptError> {
        let server_request = ServerRequest { resume_from: self.sent, ..server_request.clone() };
        let response = self.node.backend_client.send(route.addr, &server_request)?;
        record_response(self.node, self.caller_request, route, &response);
        if response.status != 200 {
            return Ok(Whole::Answered(read_answer(response)?));
        }
        let mut reader = StreamReader::new(response.body);
        loop {
            match reader.next_event()? {
                StreamEvent::Chunk(data) => self.relay(&data)?,
                StreamEvent::Done => return Ok(Whole::Streamed),
            }
        }
    }

    fn relay(&mut self, data: &str) -> Result<(), AttemptError> {
        let writer = if let Some(writer) = &mut self.writer {
            writer
        } else {
            let writer = self.start()?;
            self.writer.insert(writer)
        };
        writer.write_event(data).map_err(|_gone| AttemptError::CallerGone)?;
        self.sent += 1;
        Ok(())
    }

    fn start(&mut self) -> Result<StreamWriter, AttemptError> {
        let request = self.request.take().ok_or(AttemptError::CallerGone)?;
        let now = self.node.now();
        self.node.metrics.record_first_byte(now.saturating_sub(self.caller_request.arrived));
        let headers = [format!("{REQUEST_ID_HEADER}: {}", self.caller_request.id)];
        StreamWriter::start(request.into_writer(), &headers)
            .map_err(|_gone| AttemptError::CallerGone)
    }

    fn finish(mut self, whole: Whole) {
        let (node, caller_request) = (self.node, self.caller_request);
        node.metrics.record_answer(caller_request.model(), Verdict::Ran);
        match (whole, self.request.take(), self.writer.take()) {
            (Whole::Answered(answer), Some(request), _) => {
                unary::send_response(request, caller_request, &answer, false);
            }
            // A stream may be whole without a chunk.
            (Whole::Streamed, Some(request), None) => {
                let headers = [format!("{REQUEST_ID_HEADER}: {}", caller_request.id)];
                let writer = StreamWriter::start(request.into_writer(), &headers);
                let _gone = writer.and_then(StreamWriter::finish);
            }
            (Whole::Streamed, _, Some(writer)) => {
                let _gone = writer.finish();
            }
            (Whole::Answered(_), None, Some(writer)) => {
                end_with(
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
            format!("chunks={}", self.sent),
        );
    }

    /// Tells the caller that no more comes.
    ///
    /// What was sent stays with the caller; the last event names the condition, and there is no end
    /// marker, so that a broken stream is never taken for a whole one.
    fn refuse(mut self, refused: &RequestRefusal) {
        let (node, caller_request) = (self.node, self.caller_request);
        record_refusal(node, caller_request, refused);
        match (self.request.take(), self.writer.take()) {
            (Some(request), _) => reply::send_refusal(request, &caller_request.id, refused),
            (None, Some(writer)) => {
                // Chunks were sent, so the request did run in part.
                let partial = RequestRefusal { verdict: Verdict::MayHaveRun, ..refused.clone() };
                end_with(writer, &partial, caller_request);
            }
            (None, None) => {}
        }
    }
}

fn end_with(mut writer: StreamWriter, refused: &RequestRefusal, caller_request: &CallerRequest) {
    let data = refused.to_json(&caller_request.id).to_string();
    let _gone = writer.write_event(&data).and_then(|()| writer.close());
}

/// Logs and counts a refusal.
pub fn record_refusal(node: &Node, caller_request: &CallerRequest, refused: &RequestRefusal) {
    node.metrics.record_refusal(refused.code);
    node.metrics.record_answer(caller_request.model(), refused.verdict);
    let reason = format!("{} {}: {}", refused.verdict, refused.code, refused.message);
    node.log_routing(&caller_request.id, caller_request.model(), "refuse", "", reason);
}

/// Notes what the head of an answer says of its replica.
pub fn record_response(
    node: &Node,
    caller_request: &CallerRequest,
    route: &Route,
    response: &ServerResponse,
) {
    node.router().record_answer(node.now(), &route.server, caller_request.model(), response.active);
}

/// Reads a whole answer.
///
/// # Errors
///
/// The body was cut short or silent, or the backend server failed while it ran the request.
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
