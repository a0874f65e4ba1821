//! Which backend servers to avoid, judged by what their answers did.

use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::server_instance::ServerInstance;

/// First time of avoidance; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time of avoidance: a recovered server is tried again this soon at the latest.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Weight of the newest outcome in the rate of failures.
const NEWEST: f64 = 0.15;
/// Rate of failures above the service's own from which a server is avoided.
const EXCESS: f64 = 0.25;

/// What an answer, or its lack, says of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// A sound answer.
    Sound,
    /// A failure of the server's own, or a broken or missing answer.
    Failed,
    /// It could not be reached, or was silent on a connection that went dark.
    Unreachable,
    /// Its address belongs to another server now.
    Misdirected,
}

#[derive(Clone, Debug, Default)]
struct Record {
    service: ServiceName,
    rate: f64,
    pause: Duration,
    until: Moment,
    /// Whether it is avoided since it could not be reached.
    dark: bool,
}

/// Evidence about starts of backend servers.
#[derive(Debug, Default)]
pub struct ServerHealth {
    records: HashMap<ServerInstance, Record>,
}

impl ServerHealth {
    /// Takes in evidence; returns for how long the server is avoided where that begins.
    pub fn record(
        &mut self,
        service: &ServiceName,
        server: &ServerInstance,
        now: Moment,
        evidence: Evidence,
    ) -> Option<Duration> {
        let others = self.others(service, server);
        let record = self.records.entry(server.clone()).or_default();
        record.service = service.clone();
        let failed = evidence != Evidence::Sound;
        record.rate += NEWEST * (f64::from(u8::from(failed)) - record.rate);
        if !failed {
            if record.rate < EXCESS {
                record.pause = Duration::ZERO;
            }
            return None;
        }
        let at_once = matches!(evidence, Evidence::Unreachable | Evidence::Misdirected);
        if !at_once && record.rate < others + EXCESS {
            return None;
        }
        if now < record.until {
            return None;
        }
        record.pause = (record.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        record.until = now + record.pause;
        record.dark = evidence == Evidence::Unreachable;
        // After the pause it begins between good and bad: one more failure is enough.
        record.rate = record.rate.min(others + EXCESS);
        Some(record.pause)
    }

    /// Returns the rate of failures of the service's other servers: some services fail some requests always.
    fn others(&self, service: &str, server: &ServerInstance) -> f64 {
        let is_other = |id: &ServerInstance, r: &Record| id != server && r.service == service;
        let rates: Vec<f64> =
            self.records.iter().filter(|(id, r)| is_other(id, r)).map(|(_, r)| r.rate).collect();
        if rates.is_empty() {
            return 0.0;
        }
        rates.iter().sum::<f64>() / rates.len() as f64
    }

    /// Returns whether a server is avoided now.
    pub fn is_avoided(&self, server: &ServerInstance, now: Moment) -> bool {
        self.records.get(server).is_some_and(|r| now < r.until)
    }

    /// Returns whether a server could not be reached just now.
    pub fn is_unreachable(&self, server: &ServerInstance, now: Moment) -> bool {
        self.records.get(server).is_some_and(|r| r.dark && now < r.until)
    }

    /// Forgets servers other than `known`.
    pub fn retain(&mut self, known: impl Fn(&ServerInstance) -> bool) {
        self.records.retain(|start, _| known(start));
    }
}
