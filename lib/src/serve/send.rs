//! One send of a request to one backend server, and what is known of it afterwards.

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::response;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::picture::directory::Server;
use crate::picture::health::Evidence;
use crate::protocol::AnswerTerms;
use crate::protocol::AttemptId;
use crate::protocol::Protocol;
use crate::serve::pool::Connection;
use crate::serve::pool::Pool;
use crate::verdict::Verdict;

/// The head of an answer, and what is needed to read the rest.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: response::Parts,
    /// What the server said beside them.
    pub terms: AnswerTerms,
    /// The body.
    pub body: Incoming,
    /// The connection, to be given back after the whole body.
    pub connection: Connection,
}

/// A send without an answer that can be used.
#[derive(Clone, Debug)]
pub struct SendFailure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What it says of the server.
    pub evidence: Evidence,
    /// What happened, for the log.
    pub reason: &'static str,
    /// Whether the server got the request at all.
    pub arrived: bool,
    /// Whether the server says that it does not hold the model or adapter.
    pub lacks: bool,
}

impl SendFailure {
    fn unreachable(reason: &'static str) -> Self {
        let verdict = Verdict::DidNotRun;
        Self { verdict, evidence: Evidence::Unreachable, reason, arrived: false, lacks: false }
    }

    fn misdirected(is_other: bool) -> Self {
        let verdict = Verdict::DidNotRun;
        if is_other {
            let evidence = Evidence::Misdirected;
            let reason = "another server has the address";
            return Self { verdict, evidence, reason, arrived: true, lacks: false };
        }
        let reason = "the server lacks the model";
        Self { verdict, evidence: Evidence::Sound, reason, arrived: true, lacks: true }
    }

    fn refused() -> Self {
        let reason = "the server refused it unrun";
        let verdict = Verdict::DidNotRun;
        Self { verdict, evidence: Evidence::Sound, reason, arrived: true, lacks: false }
    }

    /// A failure after which the request may have run.
    pub fn doubtful(reason: &'static str) -> Self {
        let verdict = Verdict::MayHaveRun;
        Self { verdict, evidence: Evidence::Failed, reason, arrived: true, lacks: false }
    }
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// There is no answer to this request, or the server says that it did not run.
pub async fn send(
    pool: &Pool,
    protocol: &dyn Protocol,
    server: &Server,
    attempt: Option<&AttemptId>,
    request: Request<Bytes>,
) -> Result<Answer, SendFailure> {
    let mut request = request.map(Full::new);
    let start = server.start();
    let mut connection = pool
        .connection(&start, server.addr)
        .await
        .map_err(|_io| SendFailure::unreachable("no connection"))?;
    // A connection that ended while it was idle gives the request back unsent.
    let mut tries = 0;
    let response = loop {
        match connection.sender().try_send_request(request).await {
            Ok(response) => break response,
            Err(mut error) => {
                tries += 1;
                let Some(unsent) = error.take_message() else {
                    return Err(SendFailure::doubtful("the connection ended without an answer"));
                };
                if tries > 2 {
                    return Err(SendFailure::unreachable("connections end at once"));
                }
                request = unsent;
                connection = pool
                    .fresh(&start, server.addr)
                    .await
                    .map_err(|_io| SendFailure::unreachable("no connection"))?;
            }
        }
    };
    let (head, body) = response.into_parts();
    let terms = protocol.answer_terms(&head);
    judge(server, Answer { head, terms, body, connection }, attempt)
}

fn judge(
    server: &Server,
    answer: Answer,
    attempt: Option<&AttemptId>,
) -> Result<Answer, SendFailure> {
    let Answer { head, terms, .. } = &answer;
    // An answer that belongs to another request may stand where this one's is due.
    if attempt.is_some() && terms.attempt.is_some() && terms.attempt.as_ref() != attempt {
        return Err(SendFailure::doubtful("the answer belongs to another request"));
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let is_other = terms.instance.as_ref().is_some_and(|id| *id != server.id);
        return Err(SendFailure::misdirected(is_other));
    }
    if terms.not_run {
        return Err(SendFailure::refused());
    }
    if head.status.is_success() && (!terms.signed || terms.attempt.as_ref() != attempt) {
        return Err(SendFailure::doubtful("the answer is not signed"));
    }
    Ok(answer)
}

/// Reads the rest of an answer, up to `limit` bytes.
///
/// # Errors
///
/// The answer broke off or is too long.
pub async fn read_whole(
    pool: &Pool,
    answer: Answer,
    limit: usize,
) -> Result<(response::Parts, Bytes), SendFailure> {
    let Answer { head, terms, mut body, connection } = answer;
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| SendFailure::doubtful("the answer broke off"))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > limit {
            return Err(SendFailure::doubtful("the answer is too long"));
        }
    }
    pool.give_back(connection, terms.keep);
    Ok((head, Bytes::from(bytes)))
}
