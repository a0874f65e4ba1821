//! Records of the store that cannot be read, and which of them are worth a line in the log.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::store::Feed;

/// Most lines within `WINDOW`: another program may write thousands of records, or new ones all the time.
const LINES: u32 = 20;
/// Time in which so many lines are allowed.
const WINDOW: Duration = Duration::from_mins(1);
/// Most records that are remembered; of further ones each sight would be a change.
const KEPT: usize = 500;
/// Longest text of a key or reason in characters; both come from the other program.
const TEXT: usize = 120;

/// Records that cannot be read, by feed and key.
#[derive(Debug, Default)]
pub struct UnreadableRecords {
    reasons: BTreeMap<(Feed, SmolStr), String>,
    /// When the window of the last lines began.
    began: Moment,
    /// Lines in that window.
    lines: u32,
    /// Changes without a line since the last one.
    unlogged: u64,
}

/// What the log says of a record that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableReport {
    /// Its key, or what there is of it.
    pub key: SmolStr,
    /// Why it cannot be read.
    pub reason: String,
    /// Changes before this one that had no line.
    pub unlogged: u64,
}

fn cut(text: &str) -> String {
    text.chars().take(TEXT).collect()
}

/// A reason without the place in the text, which moves with each number that grows by a digit.
fn plain(reason: &str) -> String {
    let end = reason.find(" at line ").unwrap_or(reason.len());
    cut(&reason[..end])
}

impl UnreadableRecords {
    /// Takes in a record that cannot be read; returns what to log, where that changed.
    pub fn record(
        &mut self,
        feed: Feed,
        key: &str,
        reason: &str,
        now: Moment,
    ) -> Option<UnreadableReport> {
        let (key, reason) = (SmolStr::from(cut(key)), plain(reason));
        let place = (feed, key.clone());
        if self.reasons.get(&place) == Some(&reason) {
            return None;
        }
        if self.reasons.len() < KEPT || self.reasons.contains_key(&place) {
            self.reasons.insert(place, reason.clone());
        }
        if now >= self.began + WINDOW {
            self.began = now;
            self.lines = 0;
        }
        if self.lines >= LINES {
            self.unlogged += 1;
            return None;
        }
        self.lines += 1;
        Some(UnreadableReport { key, reason, unlogged: std::mem::take(&mut self.unlogged) })
    }

    /// Takes in that the record under a key can be read, or was removed.
    pub fn clear(&mut self, feed: Feed, key: &str) {
        if !self.reasons.is_empty() {
            self.reasons.remove(&(feed, SmolStr::from(cut(key))));
        }
    }
}
