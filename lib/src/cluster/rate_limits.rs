//! Limits that servers in need name in their answers, as heard here and by peers.

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

/// The end of a limit is told for this long, in ten digests: loss alone does not explain that a peer missed all.
const END_TOLD: Duration = Duration::from_secs(3);
/// A limit that was last named longer ago than this may be over.
const FRESH: Duration = Duration::from_secs(2);
/// Limits in a digest.
const TOLD: usize = 16;

/// What a server last said of its limit.
#[derive(Clone, Copy, Debug)]
struct Word {
    /// None where it no longer names one.
    limit: Option<RateLimit>,
    /// When it said so.
    at: Moment,
    /// Whether it said so to this daemon.
    is_own: bool,
}

/// What a server last said of its limit, as told to peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitReport {
    /// The server.
    pub server: ServerInstance,
    /// Its limit; none where it no longer names one.
    pub limit: Option<RateLimit>,
    /// How long ago it said so.
    pub age: Duration,
}

/// Limits by start of a server.
#[derive(Debug, Default)]
pub struct RateLimits {
    words: HashMap<ServerInstance, Word>,
    /// Servers that named a limit that cannot be read.
    unread: HashSet<ServerInstance>,
    /// Buckets for the limited servers that this daemon may send to.
    buckets: HashMap<ServerInstance, TokenBucket>,
}

impl RateLimits {
    /// Takes in an answer to a request that was `sent` then; returns whether the limit changed.
    ///
    /// Answers overtake each other: one that names no limit ends it only where its request was sent after the
    /// limit was last named.
    pub fn record_answer(
        &mut self,
        server: &ServerInstance,
        limit: Option<RateLimit>,
        sent: Moment,
        now: Moment,
    ) -> bool {
        let before = self.words.get(server).copied();
        if limit.is_none() && before.is_none_or(|word| word.limit.is_none() || sent < word.at) {
            return false;
        }
        self.words.insert(server.clone(), Word { limit, at: now, is_own: true });
        before.and_then(|word| word.limit) != limit
    }

    /// Takes in what a peer heard; returns the servers whose limit changed.
    pub fn merge(&mut self, notes: &[LimitReport], now: Moment) -> Vec<ServerInstance> {
        let mut changed = Vec::new();
        for note in notes {
            let at = now.saturating_sub(note.age);
            let before = self.words.get(&note.server).copied();
            if before.is_some_and(|word| word.at >= at) {
                continue;
            }
            let word = Word { limit: note.limit, at, is_own: false };
            self.words.insert(note.server.clone(), word);
            if before.and_then(|word| word.limit) != note.limit {
                changed.push(note.server.clone());
            }
        }
        changed
    }

    /// Returns what peers should know; a reader also tells what it heard from others.
    pub fn report(&self, now: Moment, is_reader: bool) -> Vec<LimitReport> {
        let is_told = |word: &Word| {
            (word.is_own || is_reader) && (word.limit.is_some() || now <= word.at + END_TOLD)
        };
        let mut told: Vec<_> = self.words.iter().filter(|(_, word)| is_told(word)).collect();
        told.sort_by_key(|(_, word)| Reverse(word.at));
        let note = |(server, word): (&ServerInstance, &Word)| LimitReport {
            server: server.clone(),
            limit: word.limit,
            age: now.saturating_sub(word.at),
        };
        told.into_iter().take(TOLD).map(note).collect()
    }

    /// Takes in that a server named a limit that cannot be read; returns whether that is news.
    pub fn record_unreadable(&mut self, server: &ServerInstance) -> bool {
        self.unread.insert(server.clone())
    }

    /// Returns a server's limit.
    pub fn limit(&self, server: &ServerInstance) -> Option<RateLimit> {
        self.words.get(server)?.limit
    }

    /// Returns whether no server names a limit.
    pub fn is_empty(&self) -> bool {
        self.words.values().all(|word| word.limit.is_none())
    }

    /// Returns this daemon's turns; `share` gives its part of a server's limit, none where other daemons send.
    pub fn send_permits(
        &mut self,
        now: Moment,
        share: impl Fn(&ServerInstance, RateLimit) -> Option<RateShare>,
    ) -> SendPermits {
        let mut turns = SendPermits::new();
        for (server, word) in &self.words {
            let Some(limit) = word.limit else { continue };
            let bucket = |share| {
                let bucket = self.buckets.entry(server.clone()).or_insert(TokenBucket::new(now));
                bucket.wait(share, now)
            };
            let wait = share(server, limit).map(bucket);
            if wait.is_none() {
                self.buckets.remove(server);
            }
            turns.insert(server.clone(), SendPermit { wait, probe_due: now > word.at + FRESH });
        }
        turns
    }

    /// Takes in that a request was sent to a limited server.
    pub fn record_send(&mut self, server: &ServerInstance, share: RateShare, now: Moment) {
        self.buckets.entry(server.clone()).or_insert(TokenBucket::new(now)).take(share, now);
    }

    /// Forgets servers other than `known`.
    pub fn retain(&mut self, known: impl Fn(&ServerInstance) -> bool + Copy) {
        self.words.retain(|start, _| known(start));
        self.buckets.retain(|start, _| known(start));
        self.unread.retain(known);
    }
}
