//! Software versions of each service's servers, present ones and those of streams that may still be resumed.

use std::collections::BTreeMap;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::stream_origins::MAX_STREAM_TIME;
use crate::ids::SoftwareVersion;

/// Versions by service, as stored.
pub type StoredVersions = BTreeMap<ServiceName, Vec<SoftwareVersion>>;

/// Software versions by service, with the time at which a server of each was last listed.
///
/// A daemon that starts lists only the present servers. It also needs the versions whose servers left shortly before,
/// so they are stored, and a daemon's history is complete once it has read them.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: Versions,
    /// Versions that the store names, as far as this daemon has read or written them.
    stored: StoredVersions,
    is_complete: bool,
    /// Whether changes were missed since the last read of the stored versions began.
    has_gap: bool,
}

type Versions = BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Moment>>;

fn observe(all: &mut Versions, service: &ServiceName, version: &SoftwareVersion, now: Moment) {
    if let Some(versions) = all.get_mut(service)
        && let Some(last_listed) = versions.get_mut(version)
    {
        *last_listed = now;
        return;
    }
    all.entry(service.clone()).or_default().insert(version.clone(), now);
}

impl VersionHistory {
    /// Records that a server of this version is listed.
    pub fn observe(&mut self, service: &ServiceName, version: &SoftwareVersion, now: Moment) {
        observe(&mut self.services, service, version, now);
    }

    /// Replaces the stored versions of all services.
    pub fn set_stored(&mut self, stored: StoredVersions) {
        self.stored = stored;
    }

    /// Records that the versions of a service were stored.
    pub fn record_stored(&mut self, service: ServiceName, versions: Vec<SoftwareVersion>) {
        self.stored.insert(service, versions);
    }

    /// Returns the stored versions of a service; `None` if there is no record.
    pub fn stored(&self, service: &str) -> Option<&[SoftwareVersion]> {
        self.stored.get(service).map(Vec::as_slice)
    }

    /// Returns whether the store names a version, so that daemons which start later know of its streams. Servers without a
    /// version count as stored.
    pub fn is_stored(&self, service: &str, version: &SoftwareVersion) -> bool {
        version.is_empty()
            || self.stored(service).is_some_and(|versions| versions.contains(version))
    }

    /// Adds the stored versions, as just read, which counts as if their servers had been listed until now.
    pub fn load(
        &mut self,
        stored: impl IntoIterator<Item = (ServiceName, Vec<SoftwareVersion>)>,
        now: Moment,
    ) {
        self.stored = stored.into_iter().collect();
        for (service, versions) in &self.stored {
            for version in versions {
                observe(&mut self.services, service, version, now);
            }
        }
        self.is_complete = !self.has_gap;
    }

    /// Records that changes of the servers were missed: they may have listed and removed a version, so the stored versions
    /// must be read again.
    pub fn record_gap(&mut self) {
        self.is_complete = false;
        self.has_gap = true;
    }

    /// Records that a read of the stored versions begins.
    pub fn begin_read(&mut self) {
        self.has_gap = false;
    }

    /// Returns whether the stored versions were read, and no changes of the servers were missed since.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the versions of a service whose streams may still be resumed, in order.
    pub fn versions<'a>(
        &'a self,
        service: &str,
        now: Moment,
    ) -> impl Iterator<Item = &'a SoftwareVersion> + use<'a> {
        let all = self.services.get(service).into_iter().flatten();
        all.filter(move |(_, last)| now <= **last + MAX_STREAM_TIME).map(|(version, _)| version)
    }

    /// Returns the version of all streams of a service that may still be resumed; `None` if there may be several.
    pub fn only_version(&self, service: &str, now: Moment) -> Option<&SoftwareVersion> {
        let mut versions = self.versions(service, now);
        let only = versions.next().filter(|_| self.is_complete)?;
        versions.next().is_none().then_some(only)
    }

    /// Returns whether streams of several versions of a service may still be resumed.
    pub fn has_several(&self, service: &str, now: Moment) -> bool {
        self.versions(service, now).nth(1).is_some()
    }

    /// Returns whether streams of several versions of one service may still be resumed.
    pub fn is_mixed(&self, now: Moment) -> bool {
        self.services.keys().any(|service| self.has_several(service, now))
    }

    /// Returns all services with their versions.
    pub fn all(&self, now: Moment) -> BTreeMap<ServiceName, Vec<SoftwareVersion>> {
        let list = |service: &ServiceName| self.versions(service, now).cloned().collect();
        self.services.keys().map(|service| (service.clone(), list(service))).collect()
    }
}
