//! Limits that servers in need name in their answers, as heard here and by peers.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::boot_clock::Moment;
use crate::picture::rate_limit::RateLimit;
use crate::picture::server_start::ServerStart;

/// What a server last said of its limit.
#[derive(Clone, Copy, Debug)]
struct Word {
    /// None where it no longer names one.
    limit: Option<RateLimit>,
    /// When it said so.
    at: Moment,
}

/// Limits by start of a server.
#[derive(Debug, Default)]
pub struct RateLimits {
    words: HashMap<ServerStart, Word>,
    /// Servers that named a limit that cannot be read.
    unread: HashSet<ServerStart>,
}

impl RateLimits {
    /// Takes in an answer to a request that was `sent` then; returns whether the limit changed.
    ///
    /// Answers overtake each other: one that names no limit ends it only where its request was sent after the
    /// limit was last named.
    pub fn answered(
        &mut self,
        server: &ServerStart,
        limit: Option<RateLimit>,
        sent: Moment,
        now: Moment,
    ) -> bool {
        let before = self.words.get(server).copied();
        if limit.is_none() && before.is_none_or(|word| word.limit.is_none() || sent < word.at) {
            return false;
        }
        self.words.insert(server.clone(), Word { limit, at: now });
        before.and_then(|word| word.limit) != limit
    }

    /// Takes in that a server named a limit that cannot be read; returns whether that is news.
    pub fn unread(&mut self, server: &ServerStart) -> bool {
        self.unread.insert(server.clone())
    }

    /// Returns a server's limit.
    pub fn limit(&self, server: &ServerStart) -> Option<RateLimit> {
        self.words.get(server)?.limit
    }

    /// Forgets servers other than `known`.
    pub fn retain(&mut self, known: impl Fn(&ServerStart) -> bool + Copy) {
        self.words.retain(|start, _| known(start));
        self.unread.retain(known);
    }
}
