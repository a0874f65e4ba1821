//! Client for the platform's host list, and a cache that applies its changes.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

use crate::host::Host;

/// Timeout for a request, in whole seconds.
const TIMEOUT_S: u64 = 2;

/// The host list did not answer, or its answer cannot be decoded.
#[derive(Debug, Error)]
#[error("host list unavailable: {0}")]
pub struct HostListError(pub String);

/// Changes since a version of the host list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct HostChange {
    /// Version of the list after the change.
    pub version: u64,
    /// Whether `hosts` is the whole list, which replaces the previous one.
    pub whole: bool,
    /// Hosts that are new or changed.
    pub hosts: Vec<Host>,
    /// Names of hosts that are no longer in the list.
    pub removed: Vec<SmolStr>,
}

/// The list of running and leaving hosts. It lags behind the actual state.
pub trait HostList: fmt::Debug + Send + Sync {
    /// Returns the changes since `version`; version 0 requests the whole list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list does not answer or its answer cannot be decoded.
    fn changes(&self, version: u64) -> Result<HostChange, HostListError>;
}

/// The host list over HTTP.
#[derive(Debug)]
pub struct HttpHostList {
    base: String,
}

impl HttpHostList {
    /// Creates a client for the host list at URL `base`.
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

/// The whole host list, assembled from its changes.
#[derive(Debug, Default)]
pub struct HostListCache {
    version: u64,
    hosts: BTreeMap<SmolStr, Host>,
}

impl HostListCache {
    /// Returns the current version, from which the next changes must be requested.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a change. Returns the whole list, or `None` if the version is unchanged.
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
