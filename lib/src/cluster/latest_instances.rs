//! Which start of each backend server is the newest.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::ServerId;
use crate::ids::StartTime;

/// For this long after its last word a server that is not listed any more is remembered: many times
/// what a relayed entry or a datagram takes.
const REMEMBERED: Duration = Duration::from_mins(2);

/// How a start that somebody names stands to the newest one known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceOrder {
    /// It is over: what it says changes nothing.
    Older,
    /// It is the newest one, or none is known to compare it with.
    Same,
    /// It is newer: nothing that is believed of the server holds any more.
    Newer,
}

#[derive(Debug)]
struct Newest {
    born: StartTime,
    /// When it was last named.
    heard: Moment,
}

/// The newest start of each server, by whoever named it.
///
/// It outlives the server's entry. Otherwise an entry of the last start, relayed late, would bring a
/// server back that is gone.
#[derive(Debug, Default)]
pub struct LatestInstances {
    newest: HashMap<ServerId, Newest>,
    swept: Moment,
}

impl LatestInstances {
    /// Takes in that somebody named a start, and returns how it stands to those known before.
    ///
    /// Without a time of its start a server cannot be told from itself: heartbeats alone decide then.
    pub fn observe(&mut self, start: &ServerInstance, now: Moment) -> InstanceOrder {
        let Some(born) = start.born else { return InstanceOrder::Same };
        let first = || Newest { born, heard: now };
        let newest = self.newest.entry(start.id.clone()).or_insert_with(first);
        match born.cmp(&newest.born) {
            Ordering::Less => InstanceOrder::Older,
            Ordering::Equal => {
                newest.heard = now;
                InstanceOrder::Same
            }
            Ordering::Greater => {
                *newest = first();
                InstanceOrder::Newer
            }
        }
    }

    /// Forgets servers that are no longer listed and were not named for long.
    pub fn sweep(&mut self, now: Moment, is_listed: impl Fn(&str) -> bool) {
        if now < self.swept + REMEMBERED {
            return;
        }
        self.swept = now;
        self.newest.retain(|id, newest| now <= newest.heard + REMEMBERED || is_listed(id));
    }
}
