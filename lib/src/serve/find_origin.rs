//! Finds out which service and software version began the stream that a caller resumes.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::cluster::stream_origin::OriginHash;
use crate::cluster::stream_origin::StreamKey;
use crate::cluster::stream_origin::StreamOrigin;
use crate::cluster::stream_origin::stream_key;
use crate::cluster::stream_origins::KnownOrigin;
use crate::serve::attempt::Attempt;
use crate::serve::daemon_state::DaemonState;
use crate::serve::origin_exchange::OriginLookup;
use crate::serve::origin_exchange::look_up_origin;
use crate::serve::reply::Refusal;
use crate::serve::stored_origins::StoredLookup;
use crate::serve::stored_origins::look_up_stored;

/// Reason for a refusal: servers of several versions serve, and nobody knows which of them began the stream.
const VERSION_UNKNOWN: &str = "the stream's software version is not known";
/// Reason for a refusal: no server of the version that began the stream can be used.
pub const VERSION_GONE: &str = "no server of the stream's software version";
/// Retry delay if a daemon that may know the version did not reply: it may be back by then.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait for a list of servers that is read after the caller's request arrived.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay if only a change of the servers can help.
pub const VERSION_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Sets the origin of the stream that the caller resumes, so that only servers of its version are chosen; does nothing
/// for other requests.
///
/// # Errors
///
/// Returns the refusal to send to the caller if the version is not known, or no server has it.
pub async fn find_origin(daemon: &Rc<DaemonState>, attempt: &mut Attempt) -> Result<(), Refusal> {
    let headers = &attempt.caller_headers;
    if headers.last_event.is_none() {
        return Ok(());
    }
    let stream = headers.resumes.as_ref().or(headers.attempt.as_ref()).map(|id| stream_key(id));
    let lookup = match stream {
        Some(stream) => look_up_origin(daemon, stream).await,
        None => OriginLookup::Unknown,
    };
    let (result, source, age) = match lookup {
        OriginLookup::Known(known) => resolve(daemon, attempt, known),
        OriginLookup::Unknown => {
            resolve_unknown(daemon, attempt, stream, VERSION_RETRY_AFTER).await
        }
        OriginLookup::Unanswered => {
            resolve_unknown(daemon, attempt, stream, UNANSWERED_RETRY_AFTER).await
        }
    };
    let outcome = result.as_ref().map_or_else(|refusal| refusal.reason, |_| "found");
    slog::info!(daemon.log, "stream-origin"; "attempt" => attempt.id(),
        "resumes" => attempt.caller_headers.resumes.as_deref().unwrap_or("-"),
        "after" => attempt.caller_headers.last_event.unwrap_or(0),
        "version" => result.as_ref().map_or("-", |origin| origin.version.as_str()),
        "source" => source, "age_ms" => age.as_millis(), "outcome" => outcome);
    daemon.metrics.record_origin(source, outcome);
    let origin = result?;
    attempt.service = origin.service.clone();
    attempt.origin = Some(origin);
    Ok(())
}

/// What was found out of a stream's origin, from which source, and how long ago that was recorded.
type Resolved = (Result<StreamOrigin, Refusal>, &'static str, Duration);

fn resolve(daemon: &DaemonState, attempt: &Attempt, known: KnownOrigin) -> Resolved {
    let hash = known.hash.ok_or_else(|| unknown(VERSION_RETRY_AFTER));
    let origin = hash.and_then(|hash| find_by_hash(daemon, attempt, hash));
    (origin, known.source.name(), daemon.now().saturating_sub(known.known_since))
}

/// Resolves the origin of a stream that neither this daemon nor its peers know: by the stored origins, or by the only
/// version if these lack the stream.
async fn resolve_unknown(
    daemon: &Rc<DaemonState>,
    attempt: &Attempt,
    stream: Option<StreamKey>,
    retry_after: Duration,
) -> Resolved {
    let stored = async {
        match stream {
            Some(stream) => look_up_stored(daemon, stream, attempt.arrived).await,
            None => StoredLookup::Unknown,
        }
    };
    let (stored, only) = tokio::join!(stored, only_origin(daemon, attempt, retry_after));
    match stored {
        StoredLookup::Known(known) => resolve(daemon, attempt, known),
        StoredLookup::Unknown => (only, "only-version", Duration::ZERO),
        StoredLookup::Unread => (Err(unknown(UNANSWERED_RETRY_AFTER)), "store", Duration::ZERO),
    }
}

fn unknown(retry_after: Duration) -> Refusal {
    Refusal::not_run(VERSION_UNKNOWN, retry_after)
}

/// Returns the origin with this hash, among the versions of the services that the route allows now.
fn find_by_hash(
    daemon: &DaemonState,
    attempt: &Attempt,
    hash: OriginHash,
) -> Result<StreamOrigin, Refusal> {
    let now = daemon.now();
    let history = daemon.version_history.borrow();
    for (service, _) in &attempt.route.targets {
        for version in history.versions(service, now) {
            let origin = StreamOrigin { service: service.clone(), version: version.clone() };
            if origin.hash() == hash {
                return Ok(origin);
            }
        }
    }
    Err(Refusal::not_run(VERSION_GONE, VERSION_RETRY_AFTER))
}

/// Returns the origin of a stream that nobody knows, if its service has had servers of one version only for as long as
/// any stream can be resumed.
async fn only_origin(
    daemon: &DaemonState,
    attempt: &Attempt,
    retry_after: Duration,
) -> Result<StreamOrigin, Refusal> {
    let only = || {
        let history = daemon.version_history.borrow();
        history.only_version(&attempt.service, daemon.now()).cloned()
    };
    only().ok_or_else(|| unknown(retry_after))?;
    // The stream began before the request arrived, so a list that was read since then names its version, too.
    let is_listed = timeout(LIST_TIMEOUT, daemon.freshness.wait_for_servers(attempt.arrived)).await;
    is_listed.map_err(|_elapsed| unknown(UNANSWERED_RETRY_AFTER))?;
    let version = only().ok_or_else(|| unknown(retry_after))?;
    Ok(StreamOrigin { service: attempt.service.clone(), version })
}
