//! Follows the operators' configuration at the platform's store.
//!
//! Calls are paid for, so only some daemons of a data centre ask often; the others wait for long, and ask again
//! at once when a peer has a later version.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::ids::Offset;
use crate::serve::apply_updates::CONFIG_KEY;
use crate::serve::apply_updates::apply_config;
use crate::serve::daemon_state::DaemonState;
use crate::serve::store_calls::abandon_call;
use crate::serve::store_calls::backoff_after;
use crate::serve::store_calls::track_call;
use crate::serve::store_calls::track_read;
use crate::store::Batch;
use crate::store::Feed;
use crate::store::StoreError;

/// Longest wait for a change in one call of a daemon that asks often.
///
/// A call that met a store that was silent, or a connection that was lost without a reset, is never
/// answered, and what operators write after the store's return is not seen until it is given up: this wait
/// and one second later. Users allow three seconds, of which one is left to ask again. With a wait of five
/// seconds all daemons of a fleet went on with an old version for up to six seconds after an outage.
const OFTEN_WAIT: Duration = Duration::from_secs(1);
/// Longest wait of the others. A call a second of each of 72 daemons cost 0.02 of a day's worth.
const SELDOM_WAIT: Duration = Duration::from_secs(5);
/// A call of a daemon that asks often is given up after this time, also where it began to ask often only
/// while the call was out.
const OFTEN_LIMIT: Duration = Duration::from_secs(2);
/// Time between looks at whether this daemon asks often.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// For this long a daemon waits for its own call's answer when a peer has a later version: usually both
/// hear of it in the same instant.
const NEWS_PAUSE: Duration = Duration::from_millis(100);
/// A call younger than this is not given up for a peer's later version.
const YOUNG: Duration = Duration::from_millis(500);
/// Least time from a call that failed to the next.
const PAUSE: Duration = Duration::from_millis(250);
/// The same after several that failed, of a daemon that lives by readers' words, which tell when the store is back: in
/// eight seconds without the store 290 daemons made 9,000 calls in vain. Half of the time within which a version must
/// be in force, should no reader be left by then.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Follows the configuration for as long as the daemon runs.
pub async fn follow_config(daemon: Rc<DaemonState>) {
    let mut from = None;
    let mut pause = PAUSE;
    loop {
        let mut sent = daemon.now();
        let result = match from {
            None => {
                track_call(
                    &daemon,
                    Feed::Configuration,
                    daemon.store.list_latest(Feed::Configuration),
                )
                .await
            }
            Some(offset) => {
                wait_for_need(&daemon).await;
                sent = daemon.now();
                read_on(&daemon, offset).await
            }
        };
        match result {
            Ok(batch) => {
                take_config(&daemon, &batch);
                from = Some(batch.end);
                pause = PAUSE;
            }
            Err(StoreError::Expired) => from = None,
            // A call that was given up late was pause enough.
            Err(_failed) => {
                let is_back = backoff_after(&daemon, sent, pause).await;
                let has_readers = from.is_some() && daemon.relies_on_readers();
                pause =
                    if has_readers && !is_back { (pause * 2).min(LONGEST_PAUSE) } else { PAUSE };
            }
        }
    }
}

/// Waits for as long as readers follow the configuration for this daemon.
async fn wait_for_need(daemon: &DaemonState) {
    while daemon.relies_on_readers() && !daemon.polls_config() {
        sleep(LOOK_EVERY).await;
    }
}

fn take_config(daemon: &DaemonState, batch: &Batch) {
    daemon.log_unreadable_records(Feed::Configuration, batch);
    let records = batch.records.iter().rev().filter(|r| r.key == CONFIG_KEY);
    // Another writer's record must not hide the operators' version before it.
    for raw in records.filter_map(|r| r.value.as_ref()) {
        if apply_config(daemon, raw, "store") {
            break;
        }
    }
}

/// Waits for the next version.
async fn read_on(daemon: &DaemonState, from: Offset) -> Result<Batch, StoreError> {
    let begun = daemon.now();
    let was_behind = daemon.is_behind();
    let call = daemon.store.read(Feed::Configuration, from, longest_wait(daemon, was_behind));
    tokio::select! {
        biased;
        result = track_read(daemon, Feed::Configuration, call) => result,
        reason = given_up(daemon, was_behind) => {
            Err(abandon_call(daemon, Feed::Configuration, begun, reason))
        }
    }
}

/// Returns how long the store may wait for a change before it answers.
fn longest_wait(daemon: &DaemonState, is_behind: bool) -> Duration {
    if daemon.config_age(daemon.now()) > OFTEN_WAIT {
        // An answer is overdue: whether the store is back must show soon.
        Duration::ZERO
    } else if is_behind || daemon.polls_config() {
        OFTEN_WAIT
    } else {
        SELDOM_WAIT
    }
}

/// Waits until a call that has just begun is to be given up; returns why.
///
/// A call that began while this daemon was behind brings what peers have already, however slow the store or
/// the link is; given up for that, it would be given up again and again and never be answered. It has
/// the short limit instead.
async fn given_up(daemon: &DaemonState, was_behind: bool) -> &'static str {
    let begun = Instant::now();
    loop {
        if timeout(LOOK_EVERY, daemon.newer_config.notified()).await.is_ok() {
            sleep(NEWS_PAUSE).await;
        }
        let out = begun.elapsed();
        if out >= YOUNG && !was_behind && daemon.is_behind() {
            return "a peer has a later version";
        }
        if out >= OFTEN_LIMIT && (was_behind || daemon.polls_config()) {
            return "no answer in time";
        }
    }
}
