//! What a stream is suspected for if it is abandoned.

use std::rc::Rc;

use crate::boot_clock::Moment;
use crate::cluster::quarantine_report::CrashStage;
use crate::serve::daemon_state::DaemonState;
use crate::serve::exposure::Exposure;
use crate::serve::suspects::EARLY_STREAM_TIME;

/// What a stream is suspected for if it is abandoned; reports it when it is dropped before [`Self::end`].
#[derive(Debug)]
pub(super) struct StreamExposure {
    daemon: Rc<DaemonState>,
    /// `None` once the stream has ended.
    exposure: Option<Exposure>,
    first_event: Option<Moment>,
}

impl StreamExposure {
    /// Returns that of a stream whose head was received.
    pub fn new(daemon: &Rc<DaemonState>, exposure: Option<Exposure>) -> Self {
        Self { daemon: Rc::clone(daemon), exposure, first_event: None }
    }

    /// Records that events were received.
    pub fn record_events(&mut self) {
        let now = self.daemon.now();
        self.first_event.get_or_insert(now);
    }

    /// Records that the stream ended by itself, or failed, which is checked elsewhere.
    pub fn end(&mut self) {
        self.exposure = None;
    }
}

impl Drop for StreamExposure {
    fn drop(&mut self) {
        let Some(mut exposure) = self.exposure.take() else { return };
        if let Some(first) = self.first_event {
            if self.daemon.now() >= first + EARLY_STREAM_TIME {
                return;
            }
            exposure.stage = CrashStage::FirstEvent;
        }
        self.daemon.abandoned_streams.push(exposure);
    }
}
