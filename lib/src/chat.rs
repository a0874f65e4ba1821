//! `/v1/chat/completions`: completions of models, streamed or whole.

use serde::Deserialize;
use serde_json::value::RawValue;
use smol_str::SmolStr;
use tiny_http::Request;
use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::Ended;
use crate::dispatch::Stop;
use crate::dispatch::dispatch;
use crate::exchange::Call;
use crate::exchange::Failure;
use crate::exchange::Fault;
use crate::exchange::Reply;
use crate::job::Job;
use crate::job::Wishes;
use crate::node::Node;
use crate::once;
use crate::record::Answer;
use crate::reply;
use crate::reply::REQUEST_HEADER;
use crate::reply::Refused;
use crate::router::Route;
use crate::sse::StreamEvent;
use crate::sse::StreamReader;
use crate::sse::StreamWriter;
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
pub struct Chat {
    /// The request.
    pub job: Job,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl Chat {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// The body is not such a request, or names no model of the table.
    pub fn read(
        node: &Node,
        id: SmolStr,
        request: &Request,
        wishes: Wishes,
        body: Vec<u8>,
    ) -> Result<Self, Refused> {
        let chat: ChatBody<'_> = serde_json::from_slice(&body)
            .map_err(|e| Refused::wrong(400, "bad-json", e.to_string()))?;
        let view = node.view.load();
        let row = view.table.row(&chat.model).filter(|r| r.is_loaded()).cloned();
        let Some(row) = row else {
            let message = format!("the model `{}` does not exist", chat.model);
            return Err(Refused::wrong(404, "model_not_found", message));
        };
        let messages = chat.messages.get().as_bytes();
        let prefix = xxh3_64(&messages[..messages.len().min(PREFIX)]);
        let stream = chat.stream;
        let job = Job::new(node, id, request, wishes, row, body);
        let content_type = "application/json".into();
        let job = Job { path: PATH.into(), content_type, prefix: Some(prefix), ..job };
        Ok(Self { job, stream })
    }

    /// Serves the completion.
    pub fn serve(&self, node: &Node, request: Request) {
        // A claimed answer is kept for repeats, so it is not streamed.
        if self.stream && self.job.claim().is_none() {
            Streaming { node, job: &self.job, request: Some(request), writer: None, sent: 0 }
                .serve();
        } else {
            once::serve(node, &self.job, request);
        }
    }
}

/// A stream on its way to the caller.
struct Streaming<'a> {
    node: &'a Node,
    job: &'a Job,
    request: Option<Request>,
    writer: Option<StreamWriter>,
    /// Chunks that the caller has; another attempt goes on after them.
    sent: u64,
}

/// How an attempt of a stream ended well.
enum Whole {
    Streamed,
    Answered(Answer),
}

impl Streaming<'_> {
    fn serve(mut self) {
        let (node, job) = (self.node, self.job);
        let result = dispatch(node, job, |route, call| self.attempt(route, call));
        node.metrics.record_events(self.sent);
        match result {
            Ok(whole) => self.finish(whole),
            Err(Ended::Refused(refused)) => self.refuse(&refused),
            Err(Ended::CallerGone) => {
                node.note_request(&job.id, job.model(), "cancel", "", "the caller is gone");
            }
        }
    }

    fn attempt(&mut self, route: &Route, call: &Call) -> Result<Whole, Stop> {
        let call = Call { resume: self.sent, ..call.clone() };
        let reply = self.node.exchange.call(route.addr, &call)?;
        note_reply(self.node, self.job, route, &reply);
        if reply.status != 200 {
            return Ok(Whole::Answered(read_answer(reply)?));
        }
        let mut reader = StreamReader::new(reply.body);
        loop {
            match reader.next_event()? {
                StreamEvent::Chunk(data) => self.relay(&data)?,
                StreamEvent::Done => return Ok(Whole::Streamed),
            }
        }
    }

    fn relay(&mut self, data: &str) -> Result<(), Stop> {
        let writer = if let Some(writer) = &mut self.writer {
            writer
        } else {
            let writer = self.start()?;
            self.writer.insert(writer)
        };
        writer.event(data).map_err(|_gone| Stop::CallerGone)?;
        self.sent += 1;
        Ok(())
    }

    fn start(&mut self) -> Result<StreamWriter, Stop> {
        let request = self.request.take().ok_or(Stop::CallerGone)?;
        let now = self.node.now();
        self.node.metrics.record_first_byte(now.saturating_sub(self.job.arrived));
        let headers = [format!("{REQUEST_HEADER}: {}", self.job.id)];
        StreamWriter::start(request.into_writer(), &headers).map_err(|_gone| Stop::CallerGone)
    }

    fn finish(mut self, whole: Whole) {
        let (node, job) = (self.node, self.job);
        node.metrics.record_answer(job.model(), Verdict::Ran);
        match (whole, self.request.take(), self.writer.take()) {
            (Whole::Answered(answer), Some(request), _) => {
                once::send_answer(request, job, &answer, false);
            }
            // A stream may be whole without a chunk.
            (Whole::Streamed, Some(request), None) => {
                let headers = [format!("{REQUEST_HEADER}: {}", job.id)];
                let writer = StreamWriter::start(request.into_writer(), &headers);
                let _gone = writer.and_then(StreamWriter::done);
            }
            (Whole::Streamed, _, Some(writer)) => {
                let _gone = writer.done();
            }
            (Whole::Answered(_), None, Some(writer)) => {
                end_with(writer, &Refused::wrong(502, "faulted", "the stream broke off"), job);
            }
            (_, None, None) => {}
        }
        node.note_request(&job.id, job.model(), "done", "", format!("chunks={}", self.sent));
    }

    /// Tells the caller that no more comes.
    ///
    /// What was sent stays with the caller; the last event names the condition, and there is no end
    /// marker, so that a broken stream is never taken for a whole one.
    fn refuse(mut self, refused: &Refused) {
        let (node, job) = (self.node, self.job);
        note_refused(node, job, refused);
        match (self.request.take(), self.writer.take()) {
            (Some(request), _) => reply::send_refused(request, &job.id, refused),
            (None, Some(writer)) => {
                // Chunks were sent, so the request did run in part.
                let partial = Refused { verdict: Verdict::MayHaveRun, ..refused.clone() };
                end_with(writer, &partial, job);
            }
            (None, None) => {}
        }
    }
}

fn end_with(mut writer: StreamWriter, refused: &Refused, job: &Job) {
    let data = refused.to_json(&job.id).to_string();
    let _gone = writer.event(&data).and_then(|()| writer.end());
}

/// Logs and counts a refusal.
pub fn note_refused(node: &Node, job: &Job, refused: &Refused) {
    node.metrics.record_refusal(refused.code);
    node.metrics.record_answer(job.model(), refused.verdict);
    let reason = format!("{} {}: {}", refused.verdict, refused.code, refused.message);
    node.note_request(&job.id, job.model(), "refuse", "", reason);
}

/// Notes what the head of an answer says of its replica.
pub fn note_reply(node: &Node, job: &Job, route: &Route, reply: &Reply) {
    node.router().answered(node.now(), &route.server, job.model(), reply.active);
}

/// Reads a whole answer.
///
/// # Errors
///
/// The body was cut short or silent, or the backend server failed while it ran the request.
pub fn read_answer(mut reply: Reply) -> Result<Answer, Stop> {
    let mut body = Vec::new();
    std::io::Read::read_to_end(&mut reply.body, &mut body).map_err(|e| Failure::reading(&e))?;
    let (status, content_type) = (reply.status, reply.content_type);
    if status >= 500 {
        let detail = format!("status {status}: {}", String::from_utf8_lossy(&body));
        return Err(Failure::doubtful(Fault::Faulted, detail).into());
    }
    Ok(Answer { status, content_type, body })
}
