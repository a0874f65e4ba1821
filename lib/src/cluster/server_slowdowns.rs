//! Slowdowns of servers, from the load headers of responses to this daemon and from reports of its peers.
//!
//! Servers of one service run on unlike hosts, and some state in their responses how long work takes there. In a large
//! fleet a daemon sends a server one request a minute or none, so that daemons exchange their observations. Reports hold
//! state rather than changes: one that is lost or repeated changes nothing in the end.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::slowdown_estimate::DatedEstimate;
use crate::cluster::slowdown_estimate::SlowdownEstimate;
use crate::cluster::slowdown_report::SlowdownRow;
use crate::cluster::workload_table::ServerKey;
use crate::cluster::workload_table::server_key;
use crate::ids::CentreId;
use crate::ids::DaemonId;

/// A row of another daemon counts for this long after its last report; longer than a full turn of a report over 12,000
/// servers.
const RETENTION: Duration = Duration::from_mins(2);

/// Time for which an expected slowdown is used again, while no report on the server arrives: its weight hardly changes.
const CACHE_TIME: Duration = Duration::from_secs(1);
/// Factor by which an estimate must change to be logged again.
const SHOWN_FACTOR: f64 = 1.3;

/// Who reported a row.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SlowdownSource {
    /// A daemon, of its own observations.
    Daemon(DaemonId),
    /// A reader of another data centre, of the observations there.
    Centre(CentreId),
    /// A reader of this data centre, of all observations.
    Fleet,
}

/// The estimate from a server's responses to this daemon.
#[derive(Clone, Copy, Debug, Default)]
struct OwnEstimate {
    dated: DatedEstimate,
    /// The expected slowdown in the last log line.
    shown: Option<f64>,
}

#[derive(Debug, Default)]
struct Tables {
    own: BTreeMap<ServerKey, OwnEstimate>,
    received: BTreeMap<SlowdownSource, HashMap<ServerKey, DatedEstimate>>,
    /// The key up to which rows were last reported, so that the next report goes on after it.
    reported_to: ServerKey,
    /// Expected slowdowns, and when they were computed: each choice needs those of all candidates.
    cached: HashMap<ServerKey, (Moment, f64)>,
}

impl Tables {
    fn own_at(&self, key: ServerKey, now: Moment) -> SlowdownEstimate {
        self.own.get(&key).map(|known| known.dated.at(now)).unwrap_or_default()
    }

    fn received_at(
        &self,
        key: ServerKey,
        now: Moment,
        counts: impl Fn(&SlowdownSource) -> bool,
    ) -> SlowdownEstimate {
        let tables = self.received.iter().filter(|(source, _)| counts(source));
        let known = tables.filter_map(|(_, table)| table.get(&key));
        let fresh = known.filter(|known| now <= known.at + RETENTION);
        fresh.map(|known| known.at(now)).fold(SlowdownEstimate::default(), SlowdownEstimate::merged)
    }

    /// Returns the estimate from the observations of this daemon's data centre.
    fn centre_at(&self, key: ServerKey, now: Moment) -> SlowdownEstimate {
        let is_daemon = |source: &SlowdownSource| matches!(source, SlowdownSource::Daemon(_));
        self.own_at(key, now).merged(self.received_at(key, now, is_daemon))
    }

    /// Returns the estimate from the observations that daemons and data centres reported by themselves.
    fn direct_at(&self, key: ServerKey, now: Moment) -> SlowdownEstimate {
        let is_centre = |source: &SlowdownSource| matches!(source, SlowdownSource::Centre(_));
        self.centre_at(key, now).merged(self.received_at(key, now, is_centre))
    }

    /// Returns the estimate from all observations. What a reader reports contains those of this daemon, but maybe not the
    /// last ones, so the estimate of more observations counts.
    fn fleet_at(&self, key: ServerKey, now: Moment) -> SlowdownEstimate {
        let direct = self.direct_at(key, now);
        let relayed = self.received_at(key, now, |source| *source == SlowdownSource::Fleet);
        if relayed.weight() > direct.weight() { relayed } else { direct }
    }

    /// Returns up to `limit` keys, from the one after the last that was returned on.
    fn next_keys(&mut self, limit: usize, of_all: bool) -> Vec<ServerKey> {
        let mut keys: Vec<ServerKey> = self.own.keys().copied().collect();
        if of_all {
            keys.extend(self.received.values().flat_map(HashMap::keys));
            keys.sort_unstable();
            keys.dedup();
        }
        let start = keys.partition_point(|key| *key <= self.reported_to);
        keys.rotate_left(start);
        keys.truncate(limit);
        self.reported_to = keys.last().copied().unwrap_or_default();
        keys
    }
}

/// What a reader reports of some servers.
#[derive(Clone, Debug, Default)]
pub struct RelayedRows {
    /// Its own observations, for the other readers of its data centre.
    pub own: Vec<SlowdownRow>,
    /// Those of its data centre, for the readers of other data centres.
    pub centre: Vec<SlowdownRow>,
    /// Those of all, for the daemons of its data centre.
    pub fleet: Vec<SlowdownRow>,
}

/// Slowdowns by server instance.
#[derive(Debug, Default)]
pub struct ServerSlowdowns {
    tables: RefCell<Tables>,
    /// Bound of what is expected of a server; at least 1, or 0 for no bound.
    limit: Cell<f64>,
}

impl ServerSlowdowns {
    /// Sets how many times the usual time, or how small a part of it, work is expected to take at most.
    pub fn set_limit(&self, limit: f64) {
        self.limit.set(limit);
    }

    /// Returns whether decisions use no slowdown: the limit is 1, or no observation is known.
    pub fn is_unused(&self) -> bool {
        (1.0..=1.0).contains(&self.limit.get()) || self.is_empty()
    }

    /// Records the slowdown in a server's response. Returns the estimate if it differs by [`SHOWN_FACTOR`] from the one
    /// that was last returned, and should be logged.
    pub fn record_response(
        &self,
        server: &ServerInstance,
        slowdown: f64,
        now: Moment,
    ) -> Option<SlowdownEstimate> {
        let mut tables = self.tables.borrow_mut();
        tables.cached.remove(&server_key(server));
        let known = tables.own.entry(server_key(server)).or_default();
        let mut estimate = known.dated.at(now);
        estimate.record(slowdown);
        known.dated = DatedEstimate { estimate, at: now };
        let change = estimate.expected() / known.shown.unwrap_or(1.0);
        let is_change = !(1.0 / SHOWN_FACTOR..SHOWN_FACTOR).contains(&change);
        is_change.then(|| {
            known.shown = Some(estimate.expected());
            estimate
        })
    }

    /// Records rows that another daemon reported. They replace its earlier rows for these servers.
    pub fn record_report(&self, source: SlowdownSource, rows: &[SlowdownRow], now: Moment) {
        let mut tables = self.tables.borrow_mut();
        for row in rows {
            tables.cached.remove(&row.server);
        }
        let table = tables.received.entry(source).or_default();
        for row in rows {
            table.insert(row.server, DatedEstimate { estimate: (*row).into(), at: now });
        }
    }

    /// Returns the estimate for a server from all observations.
    pub fn estimate(&self, server: &ServerInstance, now: Moment) -> SlowdownEstimate {
        self.tables.borrow().fleet_at(server_key(server), now)
    }

    /// Returns how many times the usual time work is expected to take at a server; 1 if nothing is known.
    pub fn expected(&self, server: &ServerInstance, now: Moment) -> f64 {
        let mut tables = self.tables.borrow_mut();
        if tables.own.is_empty() && tables.received.is_empty() {
            return 1.0;
        }
        let key = server_key(server);
        let cached = tables.cached.get(&key).filter(|(at, _)| now < *at + CACHE_TIME);
        let expected = if let Some((_, expected)) = cached {
            *expected
        } else {
            let expected = tables.fleet_at(key, now).expected();
            tables.cached.insert(key, (now, expected));
            expected
        };
        let limit = self.limit.get();
        if limit < 1.0 { expected } else { expected.clamp(1.0 / limit, limit) }
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        let tables = self.tables.borrow();
        tables.own.is_empty() && tables.received.is_empty()
    }

    /// Returns up to `limit` rows of this daemon's own observations. Calls take turns through all servers.
    pub fn own_rows(&self, limit: usize, now: Moment) -> Vec<SlowdownRow> {
        let mut tables = self.tables.borrow_mut();
        let keys = tables.next_keys(limit, false);
        keys.into_iter().filter_map(|k| SlowdownRow::new(k, tables.own_at(k, now))).collect()
    }

    /// Returns the rows of up to `limit` servers that a reader reports. Calls take turns through all servers.
    pub fn relayed_rows(&self, limit: usize, now: Moment) -> RelayedRows {
        let mut tables = self.tables.borrow_mut();
        let keys = tables.next_keys(limit, true);
        let rows = |estimate: &dyn Fn(ServerKey) -> SlowdownEstimate| {
            keys.iter().filter_map(|key| SlowdownRow::new(*key, estimate(*key))).collect()
        };
        RelayedRows {
            own: rows(&|key| tables.own_at(key, now)),
            centre: rows(&|key| tables.centre_at(key, now)),
            fleet: rows(&|key| tables.direct_at(key, now)),
        }
    }

    /// Drops this daemon's observations of servers that are not among `known`, and expired reports.
    pub fn retain<'a>(&self, now: Moment, known: impl Iterator<Item = &'a ServerInstance>) {
        let mut tables = self.tables.borrow_mut();
        if tables.own.is_empty() && tables.received.is_empty() {
            return;
        }
        let known: HashSet<ServerKey> = known.map(server_key).collect();
        tables.own.retain(|key, _| known.contains(key));
        tables.cached.retain(|key, _| known.contains(key));
        for table in tables.received.values_mut() {
            table.retain(|key, row| known.contains(key) && now <= row.at + RETENTION);
        }
        tables.received.retain(|_, table| !table.is_empty());
    }
}
