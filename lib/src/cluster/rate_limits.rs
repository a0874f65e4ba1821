//! Rate limits that overloaded servers advertise in their responses, as received by this daemon and by its
//! peers.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::boot_clock::Moment;
use crate::cluster::rate_limit::RateLimit;
use crate::cluster::rate_share::RateShare;
use crate::cluster::rate_share::TokenBucket;
use crate::cluster::send_permit::SendPermit;
use crate::cluster::send_permit::SendPermits;
use crate::cluster::server_instance::ServerInstance;

/// The end of a limit is reported for this long, in ten digests: packet loss alone does not explain that a
/// peer missed all of them.
const END_REPORT_TIME: Duration = Duration::from_secs(3);
/// A limit that was last advertised longer ago than this may have ended, so a probe is due.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// Most limits in one digest.
const MAX_REPORTED: usize = 16;

/// The limit that a server last advertised, or its end.
#[derive(Clone, Copy, Debug)]
struct Advertised {
    /// `None` if the server no longer advertises a limit.
    limit: Option<RateLimit>,
    /// When the server advertised it.
    at: Moment,
    /// Whether this daemon received it from the server itself.
    is_own: bool,
}

/// The limit that a server last advertised, as reported to peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitReport {
    /// The server instance.
    pub server: ServerInstance,
    /// Its limit; `None` if it no longer advertises one.
    pub limit: Option<RateLimit>,
    /// Time since the server advertised it.
    pub age: Duration,
}

/// Rate limits by server instance.
#[derive(Debug, Default)]
pub struct RateLimits {
    advertised: HashMap<ServerInstance, Advertised>,
    /// Servers that advertised a limit that cannot be parsed.
    unreadable: HashSet<ServerInstance>,
    /// Token buckets for the limited servers that this daemon may send to.
    buckets: HashMap<ServerInstance, TokenBucket>,
}

impl RateLimits {
    /// Records the response to a request that was sent at `sent`; returns whether the limit changed.
    ///
    /// Responses can overtake each other: one without a limit ends the limit only if its request was sent
    /// after the limit was last advertised.
    pub fn record_answer(
        &mut self,
        server: &ServerInstance,
        limit: Option<RateLimit>,
        sent: Moment,
        now: Moment,
    ) -> bool {
        let before = self.advertised.get(server).copied();
        if limit.is_none() && before.is_none_or(|last| last.limit.is_none() || sent < last.at) {
            return false;
        }
        self.advertised.insert(server.clone(), Advertised { limit, at: now, is_own: true });
        before.and_then(|last| last.limit) != limit
    }

    /// Merges limits that a peer reported; returns the servers whose limit changed.
    pub fn merge(&mut self, reports: &[LimitReport], now: Moment) -> Vec<ServerInstance> {
        let mut changed = Vec::new();
        for report in reports {
            let at = now.saturating_sub(report.age);
            let before = self.advertised.get(&report.server).copied();
            if before.is_some_and(|last| last.at >= at) {
                continue;
            }
            let last = Advertised { limit: report.limit, at, is_own: false };
            self.advertised.insert(report.server.clone(), last);
            if before.and_then(|last| last.limit) != report.limit {
                changed.push(report.server.clone());
            }
        }
        changed
    }

    /// Returns the limits to report to peers; a reader also relays those that it received from other daemons.
    pub fn report(&self, now: Moment, is_reader: bool) -> Vec<LimitReport> {
        let is_reported = |last: &Advertised| {
            (last.is_own || is_reader) && (last.limit.is_some() || now <= last.at + END_REPORT_TIME)
        };
        let mut reported: Vec<_> =
            self.advertised.iter().filter(|(_, last)| is_reported(last)).collect();
        reported.sort_by_key(|(_, last)| Reverse(last.at));
        let to_report = |(server, last): (&ServerInstance, &Advertised)| LimitReport {
            server: server.clone(),
            limit: last.limit,
            age: now.saturating_sub(last.at),
        };
        reported.into_iter().take(MAX_REPORTED).map(to_report).collect()
    }

    /// Records that a server advertised a limit that cannot be parsed; returns whether this is the first
    /// time.
    pub fn record_unreadable(&mut self, server: &ServerInstance) -> bool {
        self.unreadable.insert(server.clone())
    }

    /// Returns a server's limit, or `None` if it advertises none.
    pub fn limit(&self, server: &ServerInstance) -> Option<RateLimit> {
        self.advertised.get(server)?.limit
    }

    /// Returns whether no server advertises a limit.
    pub fn is_empty(&self) -> bool {
        self.advertised.values().all(|last| last.limit.is_none())
    }

    /// Returns when this daemon may send to each limited server. `share` returns this daemon's share of a
    /// server's limit, or `None` if only other daemons send to it.
    pub fn send_permits(
        &mut self,
        now: Moment,
        share: impl Fn(&ServerInstance, RateLimit) -> Option<RateShare>,
    ) -> SendPermits {
        let mut permits = SendPermits::new();
        for (server, last) in &self.advertised {
            let Some(limit) = last.limit else { continue };
            let bucket = |share| {
                let bucket = self.buckets.entry(server.clone()).or_insert(TokenBucket::new(now));
                bucket.wait(share, now)
            };
            let wait = share(server, limit).map(bucket);
            if wait.is_none() {
                self.buckets.remove(server);
            }
            permits.insert(
                server.clone(),
                SendPermit { wait, probe_due: now > last.at + PROBE_AFTER },
            );
        }
        permits
    }

    /// Records that a request was sent to a limited server.
    pub fn record_send(&mut self, server: &ServerInstance, share: RateShare, now: Moment) {
        self.buckets.entry(server.clone()).or_insert(TokenBucket::new(now)).take(share, now);
    }

    /// Drops servers that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&ServerInstance) -> bool + Copy) {
        self.advertised.retain(|instance, _| known(instance));
        self.buckets.retain(|instance, _| known(instance));
        self.unreadable.retain(known);
    }
}
