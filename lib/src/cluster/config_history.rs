//! The last configurations as the platform stores them, from which updates for peers are made.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use crate::cluster::configuration::ConfigVersion;
use crate::cluster::peer_update::Compressed;
use crate::cluster::peer_update::ConfigId;
use crate::cluster::peer_update::ConfigUpdate;

/// Most configurations that are kept: peers lag behind by one or two versions.
const MAX_KEPT: usize = 4;
/// Most bytes of configurations that are kept beside the newest.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

struct StoredConfig {
    id: ConfigId,
    /// The text, which contains API keys.
    raw: Bytes,
}

impl fmt::Debug for StoredConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoredConfig").field("id", &self.id).finish_non_exhaustive()
    }
}

/// The last configurations, the newest first.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    kept: VecDeque<StoredConfig>,
    /// Updates to the newest configuration, by what the receiver has.
    updates: HashMap<Option<ConfigId>, Rc<ConfigUpdate>>,
}

impl ConfigHistory {
    /// Adds a configuration that is newer than all others.
    pub fn push(&mut self, version: ConfigVersion, raw: Bytes) {
        let id = ConfigId { version, checksum: xxh3_64(&raw) };
        self.updates.clear();
        self.kept.push_front(StoredConfig { id, raw });
        self.kept.truncate(MAX_KEPT);
        while self.kept.len() > 1 && self.older_bytes() > MAX_KEPT_BYTES {
            self.kept.pop_back();
        }
    }

    fn older_bytes(&self) -> usize {
        self.kept.iter().skip(1).map(|c| c.raw.len()).sum()
    }

    /// Returns the newest configuration's id; `None` before the first.
    pub fn newest(&self) -> Option<ConfigId> {
        self.kept.front().map(|c| c.id)
    }

    fn raw(&self, id: ConfigId) -> Option<&Bytes> {
        self.kept.iter().find(|c| c.id == id).map(|c| &c.raw)
    }

    /// Returns an update to the newest configuration for a peer that has `known`; `None` if none is later.
    ///
    /// # Errors
    ///
    /// The compressor fails.
    pub fn update_from(&mut self, known: Option<ConfigId>) -> io::Result<Option<Rc<ConfigUpdate>>> {
        let Some(newest) = self.kept.front() else { return Ok(None) };
        if known.is_some_and(|known| known.version >= newest.id.version) {
            return Ok(None);
        }
        let base = known.filter(|known| self.raw(*known).is_some());
        if let Some(update) = self.updates.get(&base) {
            return Ok(Some(Rc::clone(update)));
        }
        let base_raw = base.and_then(|base| self.raw(base)).cloned().unwrap_or_default();
        let content = Compressed::new(&newest.raw, &base_raw)?;
        let update = Rc::new(ConfigUpdate { id: newest.id, base, content });
        self.updates.insert(base, Rc::clone(&update));
        Ok(Some(update))
    }

    /// Restores the configuration in a peer's update.
    ///
    /// # Errors
    ///
    /// The update is malformed or too large, or its base is not kept here.
    pub fn restore(&self, update: &ConfigUpdate) -> io::Result<Bytes> {
        let base = match update.base {
            None => Bytes::new(),
            Some(base) => self.raw(base).cloned().ok_or(io::ErrorKind::NotFound)?,
        };
        let raw = update.content.restore(&base)?;
        if xxh3_64(&raw) != update.id.checksum {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(Bytes::from(raw))
    }
}
