//! Streams that are abandoned when they have just begun, because their callers leave or another server takes over.
//!
//! Their connections are closed, so a later crash of the server is not detected on them.

use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::serve::daemon_state::DaemonState;
use crate::serve::exposure::Exposure;
use crate::serve::suspects;

/// Time from the end of a stream until its server is asked: that in which a crash of the request ends the server.
const CHECK_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of streams that wait for their checks; those beyond are not checked.
const MAX_CHECKS: usize = 256;

/// The streams that were abandoned and wait for the check of their servers.
#[derive(Debug)]
pub struct AbandonedStreams {
    sender: Sender<Exposure>,
    receiver: Receiver<Exposure>,
}

impl AbandonedStreams {
    /// Adds one.
    pub(super) fn push(&self, exposure: Exposure) {
        let _unchecked = self.sender.try_send(exposure);
    }
}

impl Default for AbandonedStreams {
    fn default() -> Self {
        let (sender, receiver) = flume::bounded(MAX_CHECKS);
        Self { sender, receiver }
    }
}

/// Checks whether servers crash under streams that were abandoned.
pub async fn check_abandoned(daemon: Rc<DaemonState>) {
    let receiver = daemon.abandoned_streams.receiver.clone();
    let mut checks = JoinSet::new();
    while let Ok(exposure) = receiver.recv_async().await {
        while checks.try_join_next().is_some() {}
        if checks.len() >= MAX_CHECKS {
            checks.join_next().await;
        }
        let daemon = Rc::clone(&daemon);
        checks.spawn_local(async move {
            sleep(CHECK_DELAY).await;
            suspects::record_if_ended(&daemon, &exposure).await;
        });
    }
}
