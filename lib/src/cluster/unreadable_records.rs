//! Records of the store that cannot be parsed, and which of them are logged.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::store::Feed;

/// Most log lines in a `WINDOW`: another program may write thousands of unreadable records, or new ones all
/// the time.
const MAX_LINES: u32 = 20;
/// Time in which at most `MAX_LINES` are logged.
const WINDOW: Duration = Duration::from_mins(1);
/// Most records that are remembered; each time that a further one is met counts as a change.
const MAX_RECORDS: usize = 500;
/// Longest text of a key or reason in characters; both come from the other program.
const MAX_CHARS: usize = 120;

/// Reasons why records cannot be parsed, by feed and key.
#[derive(Debug, Default)]
pub struct UnreadableRecords {
    reasons: BTreeMap<(Feed, SmolStr), String>,
    /// Start of the current window.
    window_start: Moment,
    /// Lines logged in that window.
    lines: u32,
    /// Changes since the last line that were not logged.
    unlogged: u64,
}

/// What is logged about an unreadable record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableReport {
    /// The record's key, or as much of it as could be read.
    pub key: SmolStr,
    /// Why the record cannot be parsed.
    pub reason: String,
    /// Changes since the previous line that were not logged.
    pub unlogged: u64,
}

fn truncate(text: &str) -> String {
    text.chars().take(MAX_CHARS).collect()
}

/// Returns a reason without the position in the text, which shifts with each number that gains a digit.
fn strip_position(reason: &str) -> String {
    let end = reason.find(" at line ").unwrap_or(reason.len());
    truncate(&reason[..end])
}

impl UnreadableRecords {
    /// Records an unreadable record; returns what to log if the record or its reason is new and the line
    /// limit allows.
    pub fn record(
        &mut self,
        feed: Feed,
        key: &str,
        reason: &str,
        now: Moment,
    ) -> Option<UnreadableReport> {
        let (key, reason) = (SmolStr::from(truncate(key)), strip_position(reason));
        let record_key = (feed, key.clone());
        if self.reasons.get(&record_key) == Some(&reason) {
            return None;
        }
        if self.reasons.len() < MAX_RECORDS || self.reasons.contains_key(&record_key) {
            self.reasons.insert(record_key, reason.clone());
        }
        if now >= self.window_start + WINDOW {
            self.window_start = now;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES {
            self.unlogged += 1;
            return None;
        }
        self.lines += 1;
        Some(UnreadableReport { key, reason, unlogged: std::mem::take(&mut self.unlogged) })
    }

    /// Records that the record under a key can be parsed again, or was removed.
    pub fn clear(&mut self, feed: Feed, key: &str) {
        if !self.reasons.is_empty() {
            self.reasons.remove(&(feed, SmolStr::from(truncate(key))));
        }
    }
}
