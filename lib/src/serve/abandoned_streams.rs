//! Sends that are abandoned because their callers leave, their deadlines pass or another server takes over.
//!
//! Their connections are closed, so a later crash of the server is not detected on them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;
use crate::serve::daemon_state::DaemonState;
use crate::serve::exposure::Exposure;
use crate::serve::suspects;
use crate::serve::suspects::Fate;

/// Time from the end of a send until its server is asked: that in which a crash of the request ends the server.
const CHECK_DELAY: Duration = Duration::from_millis(100);
/// Interval at which a server that was silent is asked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a silent server is asked again: a watchdog ends a stalled process within seconds.
const WATCH_TIME: Duration = Duration::from_secs(6);
/// Maximum number of sends that wait for their checks; those beyond are not checked.
const MAX_CHECKS: usize = 256;

/// An abandoned send.
#[derive(Debug)]
pub(super) struct AbandonedSend {
    /// The request at the server.
    pub exposure: Exposure,
    /// Whether nothing was received from the server for some time.
    pub is_silent: bool,
}

/// The sends that were abandoned and wait for the check of their servers.
#[derive(Debug)]
pub struct AbandonedStreams {
    sender: Sender<AbandonedSend>,
    receiver: Receiver<AbandonedSend>,
}

impl AbandonedStreams {
    /// Adds one.
    pub(super) fn push(&self, send: AbandonedSend) {
        let _unchecked = self.sender.try_send(send);
    }
}

impl Default for AbandonedStreams {
    fn default() -> Self {
        let (sender, receiver) = flume::bounded(MAX_CHECKS);
        Self { sender, receiver }
    }
}

/// When servers were last asked, so that each is asked once for all sends to it.
type AskTimes = Rc<RefCell<HashMap<ServerInstance, Moment>>>;

/// Checks whether servers crash under sends that were abandoned.
pub async fn check_abandoned(daemon: Rc<DaemonState>) {
    let receiver = daemon.abandoned_streams.receiver.clone();
    let mut checks = JoinSet::new();
    let asked = AskTimes::default();
    while let Ok(send) = receiver.recv_async().await {
        while checks.try_join_next().is_some() {}
        if checks.len() >= MAX_CHECKS {
            checks.join_next().await;
        }
        let now = daemon.now();
        asked.borrow_mut().retain(|_, at| now < *at + RECHECK_INTERVAL);
        checks.spawn_local(watch(Rc::clone(&daemon), send, Rc::clone(&asked)));
    }
}

/// Asks the server of an abandoned send, again and again if it was silent.
async fn watch(daemon: Rc<DaemonState>, send: AbandonedSend, asked: AskTimes) {
    let AbandonedSend { exposure, is_silent } = send;
    let until = daemon.now() + WATCH_TIME;
    sleep(CHECK_DELAY).await;
    let mut fate = suspects::record_if_ended(&daemon, &exposure, true).await;
    while is_silent && fate == Fate::Running && daemon.now() < until {
        sleep(RECHECK_INTERVAL).await;
        let now = daemon.now();
        let last = asked.borrow().get(&exposure.server).copied();
        let is_due = last.is_none_or(|at| now >= at + RECHECK_INTERVAL);
        if is_due {
            asked.borrow_mut().insert(exposure.server.clone(), now);
        }
        fate = suspects::record_if_ended(&daemon, &exposure, is_due).await;
    }
}
