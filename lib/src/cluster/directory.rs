//! The backend servers that the store lists, with what is known of each.
//!
//! Entries come from the store's feed or are relayed by peers; the directory decides which of them are newer,
//! and which servers may get requests.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::digest::ServerDeparture;
use crate::cluster::directory_entry::Entry;
use crate::cluster::ended_instances::EndedInstances;
use crate::cluster::latest_instances::InstanceOrder;
use crate::cluster::latest_instances::LatestInstances;
use crate::cluster::server_instance::ServerInstance;
use crate::cluster::workload_table::server_key;
use crate::feed_offset;
use crate::ids::CentreId;
use crate::ids::FeedOffset;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::ids::SoftwareVersion;
use crate::ids::StartTime;

/// Servers renew entries that lapsed during an outage of the store within two seconds of its recovery. A
/// server whose entry is still missing then is removed and must get no more requests.
const RETURN_GRACE: Duration = Duration::from_millis(2200);
/// Time from a recovery of the store to a read that shows which entries have returned, before `RETURN_GRACE` ends.
const RETURN_READ_AFTER: Duration = Duration::from_secs(2);
/// A gap between reads longer than this counts as an outage of the store: entries may have lapsed
/// meanwhile, which takes three heartbeats.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(3);
/// How long joins and departures are reported to peers: longer than the interval between any daemon's reads.
const HISTORY_TIME: Duration = Duration::from_secs(4);

/// A server whose entry was overwritten is removed after this long without a readable entry. The platform
/// removes the entry of a server that misses three heartbeats, of 1.2 s each.
const SUSPENSION_TIMEOUT: Duration = Duration::from_secs(4);

/// A model that is loaded in a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: ModelName,
    /// Names of the adapters that are loaded with it.
    pub adapters: Vec<SmolStr>,
}

/// Local copies of weights, which make loads faster than a fetch from the weight store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WeightCopies {
    /// Models with a copy in the host's memory.
    pub memory: Vec<ModelName>,
    /// Models with a copy on the host's disk.
    pub disk: Vec<ModelName>,
}

/// A server instance as its entry describes it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Id, which stays the same across restarts.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// Its data centre.
    pub centre: CentreId,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving: no new request may be sent to it.
    pub leaving: bool,
    /// Models that it has loaded.
    pub models: Vec<LoadedModel>,
    /// Local copies of weights on its host.
    pub copies: WeightCopies,
    /// Heartbeat counter; later entries of the same instance have a higher one.
    pub heartbeat: u64,
    /// Time of its start; `None` if the entry has none.
    pub born: Option<StartTime>,
}

impl Server {
    /// Returns the instance that wrote the entry.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance { id: self.id.clone(), born: self.born }
    }

    fn departure(&self) -> ServerDeparture {
        ServerDeparture { server: self.instance(), heartbeat: self.heartbeat, announced: false }
    }

    /// Resets this to a newer instance whose entry has not been read yet: the address is kept, as it may not
    /// have changed, and what the old instance had loaded is cleared.
    fn reset_to_instance(&mut self, born: Option<StartTime>) {
        self.born = born;
        self.heartbeat = 0;
        self.leaving = false;
        self.version = SoftwareVersion::default();
        self.models.clear();
        self.copies = WeightCopies::default();
    }
}

/// Effect of an update on the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that affects routing.
    None,
    /// A server was added.
    Joined,
    /// A server restarted under the same id.
    Restarted,
    /// A server must get no new requests.
    Leaving,
    /// A server's entry was removed.
    Removed,
    /// A server's entry is missing, but the server may still be running.
    Lapsed,
    /// The loaded models of a server changed.
    Updated,
    /// A server's entry was overwritten by one that describes no server.
    Suspended,
    /// The entry of a suspended server is readable again.
    Resumed,
}

/// The backend servers by id.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<ServerId, Entry>,
    /// Offset in the feed of servers up to which the entries were read.
    feed_end: FeedOffset,
    /// When the feed was last read.
    last_read: Option<Moment>,
    /// When the feed was first read after the last outage of the store.
    recovered_at: Option<Moment>,
    /// Whether the store was ever restored from an older copy, which may have entries of servers that ended since.
    was_restored: bool,
    /// Recent departures read from the feed, and when each was noticed.
    departures: Vec<(Moment, ServerDeparture)>,
    /// Recent departures that a peer reported, and servers that did not return in time, with the time at which
    /// each was noticed. Not reported to peers that read the feed: they detect these themselves.
    inferred_departures: Vec<(Moment, ServerDeparture)>,
    /// Servers that recently joined, restarted or resumed, and when that was noticed.
    joins: Vec<(Moment, ServerId)>,
    /// Recent reads of the feed: the time and the offset at which each began.
    recent_reads: VecDeque<(Moment, FeedOffset)>,
    latest_instances: LatestInstances,
    ended: EndedInstances,
}

impl Directory {
    /// Records a read of the feed; called before its records are applied.
    pub fn record_read(&mut self, now: Moment) {
        self.detect_recovery(now);
        self.last_read = Some(now);
        self.recent_reads.push_back((now, self.feed_end));
        while self.recent_reads.front().is_some_and(|(at, _)| now > *at + HISTORY_TIME) {
            self.recent_reads.pop_front();
        }
    }

    /// Records that a reader reported having read the feed at `read`, up to `end`.
    pub fn record_relayed_read(&mut self, read: Moment, end: FeedOffset) {
        self.advance(end);
        if self.last_read.is_none_or(|known| known < read) {
            self.detect_recovery(read);
            self.last_read = Some(read);
        }
    }

    fn detect_recovery(&mut self, now: Moment) {
        if self.last_read.is_some_and(|read| now > read + OUTAGE_THRESHOLD) {
            self.recovered_at = Some(now);
        }
    }

    /// Records that the store was restored from an older copy: servers write again what it lost.
    pub fn record_restore(&mut self, now: Moment) {
        self.recovered_at = Some(now);
        self.was_restored = true;
    }

    /// Discards the history because all entries were listed anew: the changes in between are unknown.
    pub fn clear_history(&mut self) {
        self.recent_reads.clear();
        self.joins.clear();
    }

    /// Returns the feed offset from which on [`Self::recent_departures`] and [`Self::recent_joins`] contain
    /// all changes.
    pub fn history_start(&self) -> FeedOffset {
        self.recent_reads.front().map_or(self.feed_end, |(_, from)| *from)
    }

    /// Returns the servers that recently joined, restarted or resumed, with their entries as stored by the
    /// platform.
    pub fn recent_joins(&mut self, now: Moment) -> Vec<(ServerId, Bytes)> {
        self.joins.retain(|(at, _)| now <= *at + HISTORY_TIME);
        let listed = self.joins.iter().filter_map(|(_, id)| Some((id, self.entries.get(id)?)));
        let usable = listed.filter(|(_, e)| !e.is_awaited() && !e.server.leaving);
        usable.map(|(id, e)| (id.clone(), e.raw.clone())).collect()
    }

    /// Returns the feed offset up to which the entries were read.
    pub fn feed_end(&self) -> FeedOffset {
        self.feed_end
    }

    /// Returns this offset as log lines show it.
    pub fn shown_end(&self) -> String {
        feed_offset::show(self.feed_end)
    }

    /// Advances the feed offset to `end`; a lower one changes nothing.
    pub fn advance(&mut self, end: FeedOffset) {
        self.feed_end = self.feed_end.max(end);
    }

    /// Sets the feed offset to that of a listing, also if it is lower: a restored store that names no era gives out offsets
    /// again.
    pub fn restart_feed(&mut self, end: FeedOffset) {
        self.feed_end = end;
    }

    /// Records that an entry or a peer's message names a server instance. Everything read or received about
    /// servers passes through here: callers ignore an older instance, and a newer one replaces what was known.
    pub fn observe_instance(&mut self, instance: &ServerInstance, now: Moment) -> InstanceOrder {
        let order = self.latest_instances.observe(instance, now);
        if order == InstanceOrder::Newer
            && let Some(entry) = self.entries.get_mut(&instance.id)
        {
            Rc::make_mut(&mut entry.server).reset_to_instance(instance.born);
            entry.lapsed_at = None;
            entry.returned_at = None;
        }
        order
    }

    /// Returns whether a server instance is the one that is listed.
    pub fn is_current(&self, instance: &ServerInstance) -> bool {
        self.entries.get(&instance.id).is_some_and(|e| e.server.born == instance.born)
    }

    /// Applies a server's entry and returns its effect.
    pub fn put(&mut self, mut server: Server, raw: Bytes, now: Moment) -> Change {
        let order = self.observe_instance(&server.instance(), now);
        if order == InstanceOrder::Older {
            return Change::None;
        }
        let is_known = self.entries.contains_key(&server.id);
        if self.was_restored && !is_known && !server.leaving && self.is_ended(&server) {
            self.put_unconfirmed(server, raw, now);
            return Change::None;
        }
        // Entries may be older than the announcement.
        server.leaving |= self.ended.has_announced(&server.instance());
        let old = self.entries.get(&server.id);
        // A server that may have returned gets no requests until that is confirmed, but its entry is applied.
        let returned_at = old.and_then(|old| old.returned_at).filter(|_| !server.leaving);
        server.leaving |= returned_at.is_some() && old.is_some_and(|old| old.server.leaving);
        // The feed may repeat old entries; an instance that announced its departure never returns.
        if let Some(old) = old
            && (old.server.heartbeat > server.heartbeat || old.server.leaving && !server.leaving)
        {
            if let Some(entry) = self.entries.get_mut(&server.id) {
                entry.lapsed_at = None;
            }
            return Change::None;
        }
        let change = match old {
            None if server.leaving => Change::Leaving,
            None => Change::Joined,
            Some(_) if order == InstanceOrder::Newer && !server.leaving => Change::Restarted,
            Some(old) if server.leaving && !old.server.leaving => Change::Leaving,
            Some(old) if old.suspended_at.is_some() => Change::Resumed,
            Some(old) if old.server.models != server.models => Change::Updated,
            Some(_) => Change::None,
        };
        match change {
            Change::Leaving => self.departures.push((now, server.departure())),
            Change::Joined | Change::Restarted | Change::Resumed => {
                self.joins.retain(|(_, id)| *id != server.id);
                self.joins.push((now, server.id.clone()));
            }
            _ => {}
        }
        let entry = Entry {
            server: Rc::new(server),
            raw,
            lapsed_at: None,
            suspended_at: None,
            returned_at,
        };
        self.entries.insert(entry.server.id.clone(), entry);
        change
    }

    /// Returns whether an instance announced in a response that it is leaving.
    pub fn has_announced(&self, server: &ServerInstance) -> bool {
        self.ended.has_announced(server)
    }

    /// Returns whether an entry was written before its instance ended.
    fn is_ended(&self, server: &Server) -> bool {
        self.ended.is_outdated(&server.instance(), server.heartbeat)
    }

    /// Adds a server that ended, by what was read before the store was restored. It gets no requests until it is still
    /// listed after a while.
    fn put_unconfirmed(&mut self, mut server: Server, raw: Bytes, now: Moment) {
        if self.ended.has_announced(&server.instance()) {
            return;
        }
        server.leaving = true;
        let (lapsed_at, suspended_at, returned_at) = (None, None, Some(now));
        let entry = Entry { server: Rc::new(server), raw, lapsed_at, suspended_at, returned_at };
        self.entries.insert(entry.server.id.clone(), entry);
    }

    /// Applies an entry relayed by a peer if it is newer than the known one.
    ///
    /// The known entry may have lapsed or been overwritten since, and a peer that got it from a third daemon
    /// does not know that. When such entries counted as a return, the entry of a crashed server stayed listed
    /// for twenty seconds. The same holds for a server that was removed: copies of its entry live on at peers.
    pub fn put_relayed(&mut self, server: Server, raw: Bytes, now: Moment) -> Change {
        if !server.leaving && self.is_ended(&server) {
            return Change::None;
        }
        let known = self.entries.get(&server.id).filter(|e| e.server.born == server.born);
        let is_leave_notice = |e: &Entry| server.leaving && !e.server.leaving;
        if known.is_some_and(|e| e.server.heartbeat >= server.heartbeat && !is_leave_notice(e)) {
            return Change::None;
        }
        self.put(server, raw, now)
    }

    /// Suspends a server because the entry stored under its id describes no server.
    ///
    /// Another writer overwrote it; the server, if it still runs, writes its entry again within a heartbeat.
    /// Until then it gets no new requests. Its state is kept and no departure is reported to peers:
    /// otherwise its models would be loaded elsewhere, and a server that left can never return.
    pub fn suspend(&mut self, id: &str, now: Moment) -> Change {
        match self.entries.get_mut(id) {
            Some(entry) if entry.suspended_at.is_none() => {
                entry.suspended_at = Some(now);
                Change::Suspended
            }
            _ => Change::None,
        }
    }

    /// Applies the removal of an entry that was read from the store.
    ///
    /// During an outage of the store servers cannot renew their entries; those of healthy servers lapse and
    /// return after it. Removing these servers would leave callers without any server.
    pub fn remove(&mut self, id: &str, now: Moment) -> Change {
        let Some(entry) = self.entries.get_mut(id) else {
            return Change::None;
        };
        let may_return = self.recovered_at.is_some_and(|at| now < at + RETURN_GRACE);
        if may_return && !entry.server.leaving {
            if entry.lapsed_at.is_some() {
                return Change::None;
            }
            entry.lapsed_at = Some(now);
            return Change::Lapsed;
        }
        if let Some(server) = self.take(id) {
            self.departures.push((now, server.departure()));
        }
        Change::Removed
    }

    /// Removes an entry and remembers its end.
    fn take(&mut self, id: &str) -> Option<Rc<Server>> {
        let server = self.entries.remove(id)?.server;
        self.ended.record_end(&server.instance(), server.heartbeat);
        Some(server)
    }

    /// Returns the recent departures read from the feed. They are published to peers, since each daemon reads
    /// the feed at a different time.
    pub fn recent_departures(&mut self, now: Moment) -> Vec<ServerDeparture> {
        self.departures.retain(|(at, _)| now <= *at + HISTORY_TIME);
        self.departures.iter().map(|(_, departure)| departure.clone()).collect()
    }

    /// Returns all recent departures, including those that peers reported and servers that did not return, for
    /// daemons that rely on this one's reports instead of reading the feed.
    pub fn all_departures(&mut self, now: Moment) -> Vec<ServerDeparture> {
        self.inferred_departures.retain(|(at, _)| now <= *at + HISTORY_TIME);
        let mut list = self.recent_departures(now);
        list.extend(self.inferred_departures.iter().map(|(_, departure)| departure.clone()));
        list
    }

    /// Applies a peer's report that a server left.
    ///
    /// The server may only have been disconnected until its entry expired, and may return while peers still
    /// report the departure; [`Self::confirm_returns`] makes it usable again.
    pub fn apply_departure(&mut self, departure: &ServerDeparture, now: Moment) -> Change {
        if self.observe_instance(&departure.server, now) == InstanceOrder::Older {
            return Change::None;
        }
        if departure.announced {
            return self.announce_leave(&departure.server, now);
        }
        self.ended.record_end(&departure.server, departure.heartbeat);
        let entry = self.entries.get_mut(&departure.server.id);
        if !entry.is_some_and(|entry| entry.apply_departure(departure, now)) {
            return Change::None;
        }
        // The server's own leave notice will change nothing here any more, so that this record is the only
        // one from which daemons that do not read the feed learn of the departure.
        self.inferred_departures.push((now, departure.clone()));
        Change::Leaving
    }

    /// Applies a server's own announcement that it is leaving, from its response or as a peer reports it.
    pub fn announce_leave(&mut self, server: &ServerInstance, now: Moment) -> Change {
        if self.observe_instance(server, now) == InstanceOrder::Older
            || !self.ended.announce(server)
        {
            return Change::None;
        }
        let entry = self.entries.get_mut(&server.id).filter(|e| e.server.born == server.born);
        let heartbeat = entry.as_ref().map_or(0, |e| e.server.heartbeat);
        let departure = ServerDeparture { server: server.clone(), heartbeat, announced: true };
        self.departures.push((now, departure));
        let Some(entry) = entry else { return Change::None };
        entry.returned_at = None;
        let was_leaving = std::mem::replace(&mut Rc::make_mut(&mut entry.server).leaving, true);
        if was_leaving { Change::None } else { Change::Leaving }
    }

    /// Returns a checksum of the server instances that may get requests; it does not depend on their heartbeats.
    pub fn checksum(&self) -> u64 {
        let usable = self.entries.values().filter(|e| !e.server.leaving);
        usable.map(|e| u64::from(server_key(&e.server.instance()))).fold(0, u64::wrapping_add)
    }

    /// Returns the ids of the entries that are not in `listed`.
    pub fn missing(&self, listed: &[ServerId]) -> Vec<ServerId> {
        self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect()
    }

    /// Removes an entry that is missing from a peer's newer snapshot. If the entry might have returned, the
    /// peer has already waited for that.
    pub fn forget(&mut self, id: &str) -> Change {
        self.take(id).map_or(Change::None, |_| Change::Removed)
    }

    /// Makes servers usable again whose departure a peer reported and whose return is now confirmed; returns
    /// their ids.
    pub fn confirm_returns(&mut self, now: Moment) -> Vec<ServerId> {
        let mut returned = Vec::new();
        for (id, entry) in &mut self.entries {
            if entry.confirm_return(now) {
                returned.push(id.clone());
            }
        }
        returned
    }

    /// Returns when to read which lapsed entries have returned; `None` if no entry has lapsed.
    pub fn returns_due(&self) -> Option<Moment> {
        let due = self.recovered_at? + RETURN_READ_AFTER;
        self.entries.values().any(|e| e.lapsed_at.is_some()).then_some(due)
    }

    /// Removes entries that did not return after an outage of the store or have been overwritten for
    /// `SUSPENSION_TIMEOUT`; returns their ids.
    pub fn sweep(&mut self, now: Moment) -> Vec<ServerId> {
        self.latest_instances.sweep(now, |id| self.entries.contains_key(id));
        if self.recovered_at.is_some_and(|at| now < at + RETURN_GRACE) {
            return Vec::new();
        }
        let is_expired = |e: &Entry| {
            e.lapsed_at.is_some()
                || e.suspended_at.is_some_and(|since| now >= since + SUSPENSION_TIMEOUT)
        };
        let expired: Vec<_> =
            self.entries.iter().filter(|(_, e)| is_expired(e)).map(|(id, _)| id.clone()).collect();
        for id in &expired {
            if let Some(server) = self.take(id) {
                self.inferred_departures.push((now, server.departure()));
            }
        }
        expired
    }

    /// Returns a server, even if it is suspended.
    pub fn get(&self, id: &str) -> Option<&Rc<Server>> {
        self.entries.get(id).map(|e| &e.server)
    }

    /// Returns all servers that are not suspended, including leaving ones.
    pub fn servers(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.entries.values().filter(|e| e.suspended_at.is_none()).map(|e| &e.server)
    }

    /// Returns all servers, including suspended ones, which may resume shortly.
    pub fn all_servers(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.entries.values().map(|e| &e.server)
    }

    /// Returns the ids of the servers whose entries were overwritten.
    pub fn suspended(&self) -> impl Iterator<Item = &ServerId> {
        self.entries.iter().filter(|(_, e)| e.suspended_at.is_some()).map(|(id, _)| id)
    }

    /// Returns the ids of the servers whose entries have lapsed or were overwritten, and which may return
    /// shortly.
    pub fn awaited(&self) -> impl Iterator<Item = &ServerId> {
        self.entries.iter().filter(|(_, e)| e.is_awaited()).map(|(id, _)| id)
    }

    /// Returns the entries as stored by the platform, except lapsed and overwritten ones.
    pub fn raw_entries(&self) -> impl Iterator<Item = (&ServerId, &Bytes)> {
        let readable = self.entries.iter().filter(|(_, e)| !e.is_awaited());
        readable.map(|(id, e)| (id, &e.raw))
    }
}
