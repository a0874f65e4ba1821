//! The newest known instance of each backend server, to detect outdated and restarted ones.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;
use crate::ids::ServerId;
use crate::ids::StartTime;

/// How long a server that is no longer listed is remembered after it was last named: many times the delay
/// of a relayed entry or a datagram.
const RETENTION_TIME: Duration = Duration::from_mins(2);

/// How an instance named by an entry or message compares to the newest known one of its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceOrder {
    /// It has been superseded; anything reported about it is ignored.
    Older,
    /// It is the newest one, or there is none to compare it with.
    Same,
    /// It is newer: everything known of the previous instance is obsolete.
    Newer,
}

#[derive(Debug)]
struct LatestInstance {
    born: StartTime,
    /// When an entry or message last named it.
    last_seen: Moment,
}

/// The newest instance of each server, from entries and peers' messages.
///
/// Records are kept after the server's entry is removed. Otherwise an entry of the last instance that is relayed
/// late would add the removed server again.
#[derive(Debug, Default)]
pub struct LatestInstances {
    latest: HashMap<ServerId, LatestInstance>,
    last_sweep: Moment,
}

impl LatestInstances {
    /// Records that an entry or message named an instance, and returns how it compares to the newest known one.
    ///
    /// Instances without a start time cannot be distinguished; only heartbeats show then which entry is newer.
    pub fn observe(&mut self, instance: &ServerInstance, now: Moment) -> InstanceOrder {
        let Some(born) = instance.born else { return InstanceOrder::Same };
        let observed = || LatestInstance { born, last_seen: now };
        let latest = self.latest.entry(instance.id.clone()).or_insert_with(observed);
        match born.cmp(&latest.born) {
            Ordering::Less => InstanceOrder::Older,
            Ordering::Equal => {
                latest.last_seen = now;
                InstanceOrder::Same
            }
            Ordering::Greater => {
                *latest = observed();
                InstanceOrder::Newer
            }
        }
    }

    /// Removes servers that are no longer listed and were last named longer than `RETENTION_TIME` ago.
    pub fn sweep(&mut self, now: Moment, is_listed: impl Fn(&str) -> bool) {
        if now < self.last_sweep + RETENTION_TIME {
            return;
        }
        self.last_sweep = now;
        self.latest.retain(|id, latest| now <= latest.last_seen + RETENTION_TIME || is_listed(id));
    }
}
