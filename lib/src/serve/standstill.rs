//! Detects that this process stood still, as on a suspended or overloaded host.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::boot_clock::Moment;
use crate::serve::daemon_state::DaemonState;

/// Interval at which the process shows that it runs.
const TURN_INTERVAL: Duration = Duration::from_millis(100);
/// A longer time between two turns is a standstill: on a small share of a core tasks run up to some hundred milliseconds
/// late.
const MIN_STOP: Duration = Duration::from_millis(400);
/// Time within which requests are handled that arrived during a standstill.
const BACKLOG_TIME: Duration = Duration::from_secs(1);

/// When this process stood still last.
#[derive(Debug, Default)]
pub struct Standstill {
    /// The last turn; zero before the first one.
    last_turn: Cell<Moment>,
    /// Begin and end of the last standstill.
    last_stop: Cell<Option<(Moment, Moment)>>,
}

impl Standstill {
    /// Records that the process runs.
    pub fn record_turn(&self, now: Moment) {
        if let Some(began) = self.current(now) {
            self.last_stop.set(Some((began, now)));
        }
        self.last_turn.set(now);
    }

    /// Returns the earliest time at which the caller of a request that is handled now may have sent it: the begin of a
    /// standstill that ended a moment ago.
    pub fn earliest_send(&self, now: Moment) -> Moment {
        let ended = self.last_stop.get().filter(|(_, ended)| now <= *ended + BACKLOG_TIME);
        self.current(now).or(ended.map(|(began, _)| began)).unwrap_or(now)
    }

    /// Returns the begin of a standstill after which there was no turn.
    fn current(&self, now: Moment) -> Option<Moment> {
        let last = self.last_turn.get();
        (last > Moment::ZERO && now > last + MIN_STOP).then_some(last)
    }
}

/// Records turns for as long as the daemon runs.
pub async fn record_turns(daemon: Rc<DaemonState>) {
    loop {
        daemon.standstill.record_turn(daemon.now());
        sleep(TURN_INTERVAL).await;
    }
}
