//! Tells peers the origins of streams, and asks them for the origins of streams that callers resume.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::boot_clock::Moment;
use crate::cluster::origin_holders::LARGE_FLEET_ASKED;
use crate::cluster::origin_holders::LARGE_FLEET_COPIES;
use crate::cluster::origin_holders::SMALL_FLEET_COPIES;
use crate::cluster::origin_holders::origin_holders;
use crate::cluster::origin_message::OriginMessage;
use crate::cluster::origin_message::OriginReport;
use crate::cluster::peer_table::Peer;
use crate::cluster::stream_origin::StreamKey;
use crate::cluster::stream_origin::StreamOrigin;
use crate::cluster::stream_origin::stream_key;
use crate::cluster::stream_origins::KnownOrigin;
use crate::ids::DaemonId;
use crate::serve::attempt::Attempt;
use crate::serve::daemon_state::DaemonState;

/// Kind of these datagrams in metrics.
const BYTES_KIND: &str = "stream-origin";
/// Times at which a query is sent to the peers that have not replied, since datagrams may be dropped; the query ends
/// at the last one. A host with a small share of a core may be suspended for a tenth of a second.
const QUERY_TIMES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(40),
    Duration::from_millis(120),
    Duration::from_millis(300),
];
/// Most reports in one datagram, which then fits into an Ethernet frame.
const MAX_REPORTS: usize = 80;
/// Number of origins that are handed over before other tasks get a turn.
const HANDOVER_STEP: usize = 100;

/// What this daemon and its peers know of a stream's origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OriginLookup {
    /// The origin is known.
    Known(KnownOrigin),
    /// Every peer that was asked replied that it does not know it.
    Unknown,
    /// Some peers did not reply, and the others do not know it.
    Unanswered,
}

/// Records the origin of a stream whose first event this daemon received, and tells it to peers before the caller gets
/// the event: this daemon may be killed at any time after.
///
/// A resumed stream is recorded under the id of its first attempt, which the caller will name again, and under that of
/// this one.
pub fn publish_origin(daemon: &DaemonState, attempt: &Attempt, origin: &StreamOrigin) {
    let now = daemon.now();
    let timeout = attempt.caller_headers.timeout.unwrap_or_default().max(attempt.route.timeout);
    let hash = origin.hash();
    for stream in stream_keys(attempt) {
        let mut origins = daemon.stream_origins.borrow_mut();
        let report = origins.record_own(stream, hash, timeout, now);
        drop(origins);
        let bytes = OriginMessage::Reports(vec![report]).encode();
        for addr in holders(daemon, stream, now) {
            daemon.send_datagram(addr, &bytes, BYTES_KIND);
        }
    }
    daemon.stored_origins.record_begun();
}

/// Records that the caller was sent the last event of a stream.
pub fn complete_origin(daemon: &DaemonState, attempt: &Attempt) {
    let mut origins = daemon.stream_origins.borrow_mut();
    stream_keys(attempt).for_each(|stream| origins.complete(stream));
}

/// Returns the keys under which a stream is recorded.
fn stream_keys(attempt: &Attempt) -> impl Iterator<Item = StreamKey> {
    let headers = &attempt.caller_headers;
    let resumes = headers.last_event.and(headers.resumes.as_ref());
    headers.attempt.iter().chain(resumes).map(|id| stream_key(id))
}

/// Returns the reachable peers that keep the origin of a stream.
fn holders(daemon: &DaemonState, stream: StreamKey, now: Moment) -> Vec<SocketAddr> {
    let peers = daemon.peers.borrow();
    let count = if peers.is_large_fleet() { LARGE_FLEET_COPIES } else { SMALL_FLEET_COPIES };
    ranked_addrs(stream, peers.reachable(now), count)
}

fn ranked_addrs<'a>(
    stream: StreamKey,
    peers: impl Iterator<Item = (&'a DaemonId, &'a Peer)>,
    count: usize,
) -> Vec<SocketAddr> {
    let list: HashMap<&DaemonId, &Peer> = peers.collect();
    let daemons = list.iter().map(|(id, peer)| (*id, &peer.centre));
    let holders = origin_holders(stream, daemons, count);
    holders.into_iter().filter_map(|id| list.get(id).map(|peer| peer.addr)).collect()
}

/// Returns the peers to ask for the origin of a stream: all of a small fleet, even unreachable ones, which may be back.
fn asked_peers(daemon: &DaemonState, stream: StreamKey, now: Moment) -> Vec<SocketAddr> {
    let peers = daemon.peers.borrow();
    if !peers.is_large_fleet() {
        return peers.all().map(|(_, peer)| peer.addr).collect();
    }
    let mut list = ranked_addrs(stream, peers.reachable(now), LARGE_FLEET_ASKED);
    list.extend(ranked_addrs(stream, peers.all(), LARGE_FLEET_COPIES));
    list.sort_unstable();
    list.dedup();
    list
}

/// Looks up the origin of a stream, at peers if this daemon does not know it.
pub async fn look_up_origin(daemon: &DaemonState, stream: StreamKey) -> OriginLookup {
    let now = daemon.now();
    let known = || daemon.stream_origins.borrow().get(stream, daemon.now());
    if let Some(known) = known() {
        return OriginLookup::Known(known);
    }
    let peers = asked_peers(daemon, stream, now);
    if peers.is_empty() {
        // A daemon that has just started knows no peer yet.
        let is_alone = daemon.peers_known.get();
        return if is_alone { OriginLookup::Unknown } else { OriginLookup::Unanswered };
    }
    let Some(query) = daemon.origin_queries.begin(peers, now) else {
        return OriginLookup::Unanswered;
    };
    let bytes = OriginMessage::Query { id: query.id, stream }.encode();
    let began = Instant::now();
    for times in QUERY_TIMES.windows(2) {
        for addr in query.unanswered() {
            daemon.send_datagram(addr, &bytes, BYTES_KIND);
        }
        while timeout_at(began + times[1], query.changed.notified()).await.is_ok() {
            if let Some(report) = query.found() {
                daemon.stream_origins.borrow_mut().record_peer(report, daemon.now());
                return known().map_or(OriginLookup::Unanswered, OriginLookup::Known);
            }
            if query.unanswered().is_empty() {
                return OriginLookup::Unknown;
            }
        }
    }
    OriginLookup::Unanswered
}

/// Applies a peer's datagram.
pub fn apply_message(daemon: &DaemonState, message: OriginMessage, from: SocketAddr) {
    let now = daemon.now();
    match message {
        OriginMessage::Reports(reports) => {
            let mut origins = daemon.stream_origins.borrow_mut();
            for report in reports {
                origins.record_peer(report, now);
            }
            daemon.metrics.set_dropped_origins(origins.dropped());
        }
        OriginMessage::Query { id, stream } => {
            let report = daemon.stream_origins.borrow().report(stream, now);
            let bytes = OriginMessage::Reply { id, report }.encode();
            daemon.send_datagram(from, &bytes, BYTES_KIND);
        }
        OriginMessage::Reply { id, report } => {
            daemon.origin_queries.record_reply(id, from, report);
        }
    }
}

/// Sends the origins that this daemon keeps to the peers that keep them once it has stopped.
///
/// If all daemons restart one after the other, the copies at those that restarted before would otherwise be lost.
pub async fn hand_over_origins(daemon: Rc<DaemonState>) {
    let streams: Vec<StreamKey> = daemon.stream_origins.borrow().streams().collect();
    let mut batches: HashMap<SocketAddr, Vec<OriginReport>> = HashMap::new();
    for step in streams.chunks(HANDOVER_STEP) {
        let now = daemon.now();
        for stream in step {
            let Some(report) = daemon.stream_origins.borrow().report(*stream, now) else {
                continue;
            };
            for addr in holders(&daemon, *stream, now) {
                let batch = batches.entry(addr).or_default();
                batch.push(report);
                if batch.len() >= MAX_REPORTS {
                    send_reports(&daemon, addr, std::mem::take(batch));
                }
            }
        }
        yield_now().await;
    }
    for (addr, batch) in batches {
        send_reports(&daemon, addr, batch);
    }
    slog::info!(daemon.log, "stream-origins-handed-over"; "streams" => streams.len());
}

fn send_reports(daemon: &DaemonState, addr: SocketAddr, reports: Vec<OriginReport>) {
    if !reports.is_empty() {
        daemon.send_datagram(addr, &OriginMessage::Reports(reports).encode(), BYTES_KIND);
    }
}
