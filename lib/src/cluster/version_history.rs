//! Software versions of each service's servers, present ones and those of streams that may still be resumed.

use std::collections::BTreeMap;

use crate::boot_clock::Moment;
use crate::cluster::configuration::ServiceName;
use crate::cluster::stream_origins::MAX_STREAM_TIME;
use crate::ids::SoftwareVersion;

/// Software versions by service, with the time at which a server of each was last listed.
///
/// A daemon that starts lists only the present servers. It also needs the versions whose servers left shortly before,
/// so they are stored, and a daemon's history is complete once it has read them.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Moment>>,
    is_complete: bool,
    /// Whether changes were missed since the last read of the stored versions began.
    has_gap: bool,
}

impl VersionHistory {
    /// Records that a server of this version is listed.
    pub fn observe(&mut self, service: &ServiceName, version: &SoftwareVersion, now: Moment) {
        if let Some(versions) = self.services.get_mut(service)
            && let Some(last_listed) = versions.get_mut(version)
        {
            *last_listed = now;
            return;
        }
        self.services.entry(service.clone()).or_default().insert(version.clone(), now);
    }

    /// Adds the stored versions, as just read, which counts as if their servers had been listed until now.
    pub fn load(
        &mut self,
        stored: impl IntoIterator<Item = (ServiceName, Vec<SoftwareVersion>)>,
        now: Moment,
    ) {
        for (service, versions) in stored {
            for version in versions {
                self.observe(&service, &version, now);
            }
        }
        self.is_complete = !self.has_gap;
    }

    /// Records that changes of the servers were missed: a version may have come and gone meanwhile, so that the stored
    /// versions must be read again.
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
