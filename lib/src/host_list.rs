//! The platform's host list.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

use crate::host::Host;

/// Longest wait for an answer, in whole seconds.
const TIMEOUT_S: u64 = 2;

/// The host list did not answer.
#[derive(Debug, Error)]
#[error("host list unavailable: {0}")]
pub struct HostListError(pub String);

/// What changed since a version of the list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct HostChange {
    /// Version of the list after the change.
    pub version: u64,
    /// Whether `hosts` is the whole list.
    pub whole: bool,
    /// Hosts that are new or changed.
    pub hosts: Vec<Host>,
    /// Hosts that are no longer in it.
    pub removed: Vec<SmolStr>,
}

/// The list of live and leaving hosts. It lags.
pub trait HostList: fmt::Debug + Send + Sync {
    /// Returns what changed since `version`; 0 asks for the whole list.
    ///
    /// # Errors
    ///
    /// The list did not answer.
    fn changes(&self, version: u64) -> Result<HostChange, HostListError>;
}

/// The host list over HTTP.
#[derive(Debug)]
pub struct HttpHostList {
    base: String,
}

impl HttpHostList {
    /// Creates a client of the list at `base`.
    pub fn new(base: impl Into<String>) -> Self {
        Self { base: base.into() }
    }
}

impl HostList for HttpHostList {
    fn changes(&self, version: u64) -> Result<HostChange, HostListError> {
        let response = minreq::get(format!("{}/hosts?since={version}", self.base))
            .with_timeout(TIMEOUT_S)
            .with_follow_redirects(false)
            .send()
            .map_err(|e| HostListError(e.to_string()))?;
        if response.status_code != 200 {
            return Err(HostListError(format!("status {}", response.status_code)));
        }
        serde_json::from_slice(response.as_bytes()).map_err(|e| HostListError(e.to_string()))
    }
}

/// The whole list, put together from its changes.
#[derive(Debug, Default)]
pub struct HostListCache {
    version: u64,
    hosts: BTreeMap<SmolStr, Host>,
}

impl HostListCache {
    /// Returns the version to ask changes of.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes a change; returns the whole list if it differs from before.
    pub fn apply(&mut self, change: HostChange) -> Option<Vec<Host>> {
        if change.version == self.version && !change.whole {
            return None;
        }
        self.version = change.version;
        if change.whole {
            self.hosts.clear();
        }
        for host in change.hosts {
            self.hosts.insert(host.id.clone(), host);
        }
        for id in change.removed {
            self.hosts.remove(&id);
        }
        Some(self.hosts.values().cloned().collect())
    }
}
