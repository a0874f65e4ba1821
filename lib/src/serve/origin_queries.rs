//! Queries to peers for the origins of streams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::boot_clock::Moment;
use crate::cluster::origin_message::OriginReport;
use crate::cluster::origin_message::QueryId;

/// Most queries that begin in a second: callers may name any stream, and each query goes to several peers. Callers
/// resume fewer when a busy daemon fails.
const MAX_QUERIES_PER_SECOND: u32 = 200;

#[derive(Debug, Default)]
struct Query {
    /// Peers that have not replied.
    unanswered: Vec<SocketAddr>,
    found: Option<OriginReport>,
    changed: Rc<Notify>,
}

#[derive(Debug, Default)]
struct Tables {
    queries: HashMap<QueryId, Query>,
    last_id: QueryId,
    second: (Moment, u32),
}

/// The queries in progress.
#[derive(Clone, Debug, Default)]
pub struct OriginQueries {
    tables: Rc<RefCell<Tables>>,
}

/// A query in progress; it ends when this is dropped.
#[derive(Debug)]
pub struct OriginQuery {
    queries: OriginQueries,
    /// Number of the query.
    pub id: QueryId,
    /// Signalled when a peer has replied.
    pub changed: Rc<Notify>,
}

impl OriginQueries {
    /// Begins a query of some peers; `None` if too many began in this second.
    pub fn begin(&self, peers: Vec<SocketAddr>, now: Moment) -> Option<OriginQuery> {
        let mut tables = self.tables.borrow_mut();
        let (began, count) = tables.second;
        tables.second =
            if now >= began + Duration::from_secs(1) { (now, 1) } else { (began, count + 1) };
        if tables.second.1 > MAX_QUERIES_PER_SECOND {
            return None;
        }
        tables.last_id = tables.last_id.wrapping_add(1);
        let id = tables.last_id;
        let query = Query { unanswered: peers, ..Query::default() };
        let changed = Rc::clone(&query.changed);
        tables.queries.insert(id, query);
        Some(OriginQuery { queries: self.clone(), id, changed })
    }

    /// Records a peer's reply.
    pub fn record_reply(&self, id: QueryId, from: SocketAddr, report: Option<OriginReport>) {
        let mut tables = self.tables.borrow_mut();
        let Some(query) = tables.queries.get_mut(&id) else { return };
        query.unanswered.retain(|peer| *peer != from);
        query.found = query.found.or(report);
        query.changed.notify_one();
    }
}

impl OriginQuery {
    /// Returns the origin, once a peer has reported it.
    pub fn found(&self) -> Option<OriginReport> {
        self.queries.tables.borrow().queries.get(&self.id)?.found
    }

    /// Returns the peers that have not replied.
    pub fn unanswered(&self) -> Vec<SocketAddr> {
        let tables = self.queries.tables.borrow();
        tables.queries.get(&self.id).map(|query| query.unanswered.clone()).unwrap_or_default()
    }
}

impl Drop for OriginQuery {
    fn drop(&mut self) {
        self.queries.tables.borrow_mut().queries.remove(&self.id);
    }
}
