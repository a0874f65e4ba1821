//! What a request is suspected for if its send is abandoned.

use std::rc::Rc;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::quarantine_report::CrashStage;
use crate::serve::abandoned_streams::AbandonedSend;
use crate::serve::daemon_state::DaemonState;
use crate::serve::exposure::Exposure;
use crate::serve::suspects::EARLY_STREAM_TIME;

/// Time without a sign of a server after which it may be standing still.
const SILENCE: Duration = Duration::from_millis(250);

/// What a request is suspected for if its send is abandoned; reports it when it is dropped before [`Self::end`].
#[derive(Debug)]
pub(super) struct StreamExposure {
    daemon: Rc<DaemonState>,
    /// `None` once the send has ended.
    exposure: Option<Exposure>,
    first_event: Option<Moment>,
    /// When the request was sent, or the server last sent anything.
    last_sign: Moment,
}

impl StreamExposure {
    /// Returns that of a request that is sent now.
    pub fn new(daemon: &Rc<DaemonState>, exposure: Option<Exposure>) -> Self {
        let last_sign = daemon.now();
        Self { daemon: Rc::clone(daemon), exposure, first_event: None, last_sign }
    }

    /// Records that the head of a response was received.
    pub fn record_head(&mut self) {
        self.last_sign = self.daemon.now();
        if let Some(exposure) = &mut self.exposure {
            exposure.stage = CrashStage::BeforeEvents;
        }
    }

    /// Records that events were received.
    pub fn record_events(&mut self) {
        self.last_sign = self.daemon.now();
        self.first_event.get_or_insert(self.last_sign);
    }

    /// Records that the send ended by itself, or failed, which is checked elsewhere.
    pub fn end(&mut self) {
        self.exposure = None;
    }
}

impl Drop for StreamExposure {
    fn drop(&mut self) {
        let Some(mut exposure) = self.exposure.take() else { return };
        let now = self.daemon.now();
        if let Some(first) = self.first_event {
            let is_early = now < first + EARLY_STREAM_TIME;
            exposure.stage = if is_early { CrashStage::FirstEvent } else { CrashStage::Streaming };
        }
        let is_silent = now >= self.last_sign + SILENCE;
        // What waits at a server that responds to others, or streams, is not suspicious when its caller leaves.
        let is_young = matches!(exposure.stage, CrashStage::BeforeEvents | CrashStage::FirstEvent);
        if is_silent || is_young {
            self.daemon.abandoned_streams.push(AbandonedSend { exposure, is_silent });
        }
    }
}
