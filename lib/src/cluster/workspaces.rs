//! The workspaces of a configuration, found by API key.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use blake3::Hash;
use rand::RngExt as _;

use crate::cluster::quota_message::WorkspaceId;
use crate::cluster::quota_message::workspace_id;
use crate::cluster::workspace::Workspace;

/// Length of the key under which API keys are hashed, in bytes.
const HASH_KEY_BYTES: usize = 32;

/// The workspaces of a configuration.
///
/// API keys are kept as keyed hashes, so that neither a dump of the memory nor a log shows them. The hash key is drawn
/// at random for each configuration, so that API keys with equal hashes cannot be chosen, and the time of a comparison
/// reveals no key.
pub struct Workspaces {
    hash_key: [u8; HASH_KEY_BYTES],
    by_key: HashMap<Hash, Rc<Workspace>>,
    by_id: HashMap<WorkspaceId, Rc<Workspace>>,
}

impl Workspaces {
    /// Creates a table of workspaces with their API keys. A key of several workspaces belongs to the first of them.
    pub fn new<K: AsRef<[u8]>>(list: impl IntoIterator<Item = (Workspace, Vec<K>)>) -> Self {
        let mut table = Self::default();
        for (workspace, keys) in list {
            let workspace = Rc::new(workspace);
            for key in &keys {
                let hash = table.hash(key.as_ref());
                table.by_key.entry(hash).or_insert_with(|| Rc::clone(&workspace));
            }
            table.by_id.insert(workspace_id(&workspace.name), workspace);
        }
        table
    }

    fn hash(&self, api_key: &[u8]) -> Hash {
        blake3::keyed_hash(&self.hash_key, api_key)
    }

    /// Returns whether there is no workspace, so that requests need no API key.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of API keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the workspace that holds an API key.
    pub fn find(&self, api_key: &[u8]) -> Option<&Rc<Workspace>> {
        self.by_key.get(&self.hash(api_key))
    }

    /// Returns the workspace with an id.
    pub fn by_id(&self, id: WorkspaceId) -> Option<&Rc<Workspace>> {
        self.by_id.get(&id)
    }
}

impl Default for Workspaces {
    fn default() -> Self {
        Self { hash_key: rand::rng().random(), by_key: HashMap::new(), by_id: HashMap::new() }
    }
}

impl fmt::Debug for Workspaces {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Workspaces")
            .field("workspaces", &self.by_id.len())
            .field("api_keys", &self.by_key.len())
            .finish_non_exhaustive()
    }
}
