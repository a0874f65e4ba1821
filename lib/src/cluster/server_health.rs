//! Which backend servers to avoid, from the outcomes of requests sent to them.

use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::server_instance::ServerInstance;

/// How long a server is avoided at first; doubled each further time.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Longest time that a server is avoided: a recovered server is tried again after this at the latest.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Weight of the newest outcome in the moving average of the failure rate.
const NEWEST_WEIGHT: f64 = 0.15;
/// A server is avoided if its failure rate exceeds that of the service's other servers by this much.
const EXCESS_RATE: f64 = 0.25;

/// What the outcome of a request indicates about its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// A valid response.
    Sound,
    /// A failure of the server itself, or a truncated or missing response.
    Failed,
    /// The server could not be reached, or sent no bytes on a connection that became unreachable.
    Unreachable,
    /// The address now belongs to another server.
    Misdirected,
}

#[derive(Clone, Debug, Default)]
struct Record {
    service: ServiceName,
    failure_rate: f64,
    pause: Duration,
    avoided_until: Moment,
    /// Whether the server is avoided because it could not be reached.
    unreachable: bool,
}

/// Failure rates and pauses by server instance.
#[derive(Debug, Default)]
pub struct ServerHealth {
    records: HashMap<ServerInstance, Record>,
}

impl ServerHealth {
    /// Records an outcome; returns how long the server is avoided if avoidance begins now.
    pub fn record(
        &mut self,
        service: &ServiceName,
        server: &ServerInstance,
        now: Moment,
        evidence: Evidence,
    ) -> Option<Duration> {
        let others_rate = self.others_rate(service, server);
        let record = self.records.entry(server.clone()).or_default();
        record.service = service.clone();
        let failed = evidence != Evidence::Sound;
        record.failure_rate += NEWEST_WEIGHT * (f64::from(u8::from(failed)) - record.failure_rate);
        if !failed {
            if record.failure_rate < EXCESS_RATE {
                record.pause = Duration::ZERO;
            }
            return None;
        }
        let at_once = matches!(evidence, Evidence::Unreachable | Evidence::Misdirected);
        if !at_once && record.failure_rate < others_rate + EXCESS_RATE {
            return None;
        }
        if now < record.avoided_until {
            return None;
        }
        record.pause = (record.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        record.avoided_until = now + record.pause;
        record.unreachable = evidence == Evidence::Unreachable;
        // Capped at the threshold, so that one more failure after the pause is enough to avoid the server
        // again.
        record.failure_rate = record.failure_rate.min(others_rate + EXCESS_RATE);
        Some(record.pause)
    }

    /// Returns the mean failure rate of the service's other servers: some services always fail some requests.
    fn others_rate(&self, service: &str, server: &ServerInstance) -> f64 {
        let is_other = |id: &ServerInstance, r: &Record| id != server && r.service == service;
        let rates: Vec<f64> = self
            .records
            .iter()
            .filter(|(id, r)| is_other(id, r))
            .map(|(_, r)| r.failure_rate)
            .collect();
        if rates.is_empty() {
            return 0.0;
        }
        rates.iter().sum::<f64>() / rates.len() as f64
    }

    /// Returns whether a server is avoided now.
    pub fn is_avoided(&self, server: &ServerInstance, now: Moment) -> bool {
        self.records.get(server).is_some_and(|r| now < r.avoided_until)
    }

    /// Returns whether a server is avoided now because it could not be reached.
    pub fn is_unreachable(&self, server: &ServerInstance, now: Moment) -> bool {
        self.records.get(server).is_some_and(|r| r.unreachable && now < r.avoided_until)
    }

    /// Drops servers that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&ServerInstance) -> bool) {
        self.records.retain(|instance, _| known(instance));
    }
}
