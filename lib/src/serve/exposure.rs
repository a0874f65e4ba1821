//! Requests that servers had when connections to them ended.

use std::cell::Cell;
use std::rc::Rc;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::fingerprint::Fingerprint;
use crate::cluster::prompt_part::PromptPart;
use crate::cluster::quarantine_report::CrashStage;
use crate::cluster::server_instance::ServerInstance;
use crate::serve::attempt::Attempt;

/// A request that a server had when the connection to it ended.
#[derive(Clone, Debug)]
pub(super) struct Exposure {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Service that handles it.
    pub service: ServiceName,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<PromptPart>,
    /// Id of the caller's attempt, for the log.
    pub attempt: String,
    /// The server.
    pub server: ServerInstance,
    /// When the request was sent to it.
    pub sent_at: Moment,
    /// How far the server had come.
    pub stage: CrashStage,
    /// Whether the request was answered whole since, by another server.
    pub survived: Rc<Cell<bool>>,
}

impl Exposure {
    /// Returns that of an attempt at the server of its last send; `None` if there was no send.
    pub fn new(attempt: &Attempt, stage: CrashStage) -> Option<Self> {
        Some(Self {
            fingerprint: attempt.fingerprint,
            service: attempt.service.clone(),
            parts: attempt.prompt_parts.clone(),
            attempt: attempt.id().to_owned(),
            server: attempt.last_server.clone()?,
            sent_at: attempt.sent_at,
            stage,
            survived: Rc::clone(&attempt.survived),
        })
    }
}
