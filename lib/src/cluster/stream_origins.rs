//! Origins of recent streams, this daemon's own and those that peers reported.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::origin_message::OriginReport;
use crate::cluster::stream_origin::OriginHash;
use crate::cluster::stream_origin::StreamKey;

/// Most origins that are kept; those of further streams are dropped and counted. At 62 streams a second, a daemon of
/// a large fleet keeps its own and as many as three others do.
const MAX_ORIGINS: usize = 100_000;
/// Most origins of one daemon that are stored: about 160 KB.
const MAX_STORED: usize = 10_000;
/// Longest time for which an origin is kept, whatever deadline the caller states.
pub const MAX_STREAM_TIME: Duration = Duration::from_mins(5);
/// Added to the caller's deadline: the hosts' clocks drift, and a request takes time to arrive.
const DEADLINE_MARGIN: Duration = Duration::from_secs(5);
/// Time between two removals of expired origins.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// How a daemon learned a stream's origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// The stream ran through this daemon.
    Own,
    /// A peer reported it.
    Peer,
    /// A daemon had stored it.
    Store,
}

impl OriginSource {
    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// What is known of a stream's origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownOrigin {
    /// The origin; `None` if different ones were reported, so that none of them can be relied on.
    pub hash: Option<OriginHash>,
    /// How this daemon learned it first; [`OriginSource::Own`] from when the stream runs through this daemon.
    pub source: OriginSource,
    /// When it did.
    pub known_since: Moment,
    expires_at: Moment,
    /// Whether its caller was sent the last event.
    is_complete: bool,
}

impl KnownOrigin {
    fn new(report: OriginReport, source: OriginSource, now: Moment) -> Self {
        let ttl = Duration::from_secs(report.ttl_s.into()).min(MAX_STREAM_TIME);
        let expires_at = now + ttl;
        let hash = report.origin();
        Self { hash, source, known_since: now, expires_at, is_complete: false }
    }
}

/// Origins by stream.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamKey, KnownOrigin>,
    last_sweep: Moment,
    dropped: u64,
    /// Number of this daemon's records so far.
    begun: u64,
}

impl StreamOrigins {
    /// Records the origin of a stream of this daemon whose caller may resume it for `ttl`; returns the report for
    /// peers.
    pub fn record_own(
        &mut self,
        stream: StreamKey,
        origin: OriginHash,
        ttl: Duration,
        now: Moment,
    ) -> OriginReport {
        let ttl_s = (ttl + DEADLINE_MARGIN).min(MAX_STREAM_TIME).as_secs();
        let report = OriginReport::new(stream, Some(origin), u16::try_from(ttl_s).unwrap_or(0));
        self.begun += 1;
        self.insert(report, OriginSource::Own, now);
        report
    }

    /// Records a peer's report.
    pub fn record_peer(&mut self, report: OriginReport, now: Moment) {
        self.insert(report, OriginSource::Peer, now);
    }

    /// Records an origin that a daemon had stored.
    pub fn record_stored(&mut self, report: OriginReport, now: Moment) {
        self.insert(report, OriginSource::Store, now);
    }

    /// Records that a stream's caller was sent the last event.
    pub fn complete(&mut self, stream: StreamKey) {
        if let Some(known) = self.origins.get_mut(&stream) {
            known.is_complete = true;
        }
    }

    fn insert(&mut self, report: OriginReport, source: OriginSource, now: Moment) {
        self.sweep(now);
        let origin = KnownOrigin::new(report, source, now);
        if let Some(known) = self.origins.get_mut(&report.stream()) {
            if now >= known.expires_at {
                *known = origin;
                return;
            }
            if source == OriginSource::Own {
                known.is_complete = false;
                known.source = source;
            }
            // Two attempts with one id: continuing either stream at the other's version would mix versions.
            if known.hash != report.origin() {
                known.hash = None;
            }
            known.expires_at = known.expires_at.max(origin.expires_at);
            return;
        }
        if self.origins.len() >= MAX_ORIGINS {
            self.dropped += 1;
            return;
        }
        self.origins.insert(report.stream(), origin);
    }

    /// Returns the origin of a stream; `None` if it is unknown.
    pub fn get(&self, stream: StreamKey, now: Moment) -> Option<KnownOrigin> {
        self.origins.get(&stream).copied().filter(|known| now < known.expires_at)
    }

    /// Returns a stream's origin as a report for a peer; `None` if it is unknown.
    pub fn report(&self, stream: StreamKey, now: Moment) -> Option<OriginReport> {
        let known = self.get(stream, now)?;
        let left = known.expires_at.saturating_sub(now).as_secs() + 1;
        Some(OriginReport::new(stream, known.hash, u16::try_from(left).unwrap_or(u16::MAX)))
    }

    /// Returns how often an origin of this daemon's streams was recorded.
    pub fn begun(&self) -> u64 {
        self.begun
    }

    /// Returns the streams whose origins are known.
    pub fn streams(&self) -> impl Iterator<Item = StreamKey> {
        self.origins.keys().copied()
    }

    /// Returns the origins of this daemon's streams that are not complete, newest first, [`MAX_STORED`] at most.
    pub fn unfinished(&self, now: Moment) -> Vec<OriginReport> {
        let is_unfinished = |known: &KnownOrigin| {
            known.source == OriginSource::Own && !known.is_complete && now < known.expires_at
        };
        let mut list: Vec<_> = self.origins.iter().filter(|(_, k)| is_unfinished(k)).collect();
        list.sort_unstable_by_key(|(stream, known)| (Reverse(known.known_since), **stream));
        list.truncate(MAX_STORED);
        let report = |(stream, known): (&StreamKey, &KnownOrigin)| {
            // The whole time, as the reader does not know when this was stored.
            let ttl_s = known.expires_at.saturating_sub(known.known_since).as_secs();
            OriginReport::new(*stream, known.hash, u16::try_from(ttl_s).unwrap_or(u16::MAX))
        };
        list.into_iter().map(report).collect()
    }

    /// Returns how many origins were dropped because too many are kept.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn sweep(&mut self, now: Moment) {
        if now < self.last_sweep + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.origins.retain(|_, known| now < known.expires_at);
    }
}
