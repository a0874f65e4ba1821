//! Callers that take up interrupted streams, and check that all events come from servers of one software version.

use std::net::SocketAddr;
use std::time::Duration;

use comfreymux_platform_testutils::caller::Ask;
use comfreymux_platform_testutils::caller::event_ids;
use comfreymux_platform_testutils::http::Message;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::callers::CallerRecord;
use crate::callers::EVENTS;
use crate::callers::Kind;

/// Most tries for one stream after the first.
const MAX_TRIES: u32 = 4;
/// Time limit for one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(6);

/// Returns the software versions that wrote a stream's events, one per event.
fn versions(answer: &Message) -> Vec<String> {
    let text = String::from_utf8_lossy(&answer.body);
    let of_event =
        |line: &str| Some(line.strip_prefix("data: ")?.split(' ').next_back()?.to_owned());
    text.lines().filter_map(of_event).collect()
}

fn count_try(seen: &CallerRecord, is_resumed: bool) {
    let (resumed, all) = seen.resumed.get();
    seen.resumed.set((resumed + u32::from(is_resumed), all + 1));
}

/// Checks the versions of a stream's first part; if the stream was interrupted, takes it up at random daemons until it
/// is whole.
pub async fn check_stream(
    seen: &CallerRecord,
    fronts: &[SocketAddr],
    first: &Ask,
    answer: &Message,
) {
    let mut written = versions(answer);
    let mut last = event_ids(answer).last().copied();
    let mut is_whole = answer.whole;
    let mut rng = ChaCha8Rng::seed_from_u64(written.len() as u64 + first.attempt.len() as u64);
    for number in 1..=MAX_TRIES {
        let Some(after) = last.filter(|id| !is_whole && *id < EVENTS) else { break };
        let attempt = format!("{}-r{number}", first.attempt);
        let headers = format!("Last-Event-Id: {after}\r\nResumes: {}\r\n", first.attempt);
        let ask = Ask { attempt: attempt.clone(), headers, ..first.clone() };
        seen.record_sent(&ask, Kind::Draft);
        let front = fronts[rng.random_range(0..fronts.len())];
        let Ok(Ok(answer)) = timeout(TRY_TIMEOUT, ask.get(front)).await else {
            count_try(seen, false);
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        let ids = event_ids(&answer);
        count_try(seen, answer.status() == 200);
        if answer.status() == 200 && ids.iter().zip(after + 1..).any(|(id, due)| *id != due) {
            seen.faults.borrow_mut().push(format!("{attempt} after {after}: events {ids:?}"));
        }
        written.extend(versions(&answer));
        last = ids.last().copied().or(last);
        is_whole = answer.status() == 200 && answer.whole;
        sleep(Duration::from_millis(100)).await;
    }
    let mut distinct = written.clone();
    distinct.dedup();
    if distinct.len() > 1 {
        let fault = format!("{}: events of versions {distinct:?}", first.attempt);
        seen.faults.borrow_mut().push(fault);
    }
}
