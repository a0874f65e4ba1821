//! Identifies one run of a backend server's process.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::ServerId;
use crate::ids::StartTime;

/// One start of a backend server's process, which may restart under the same id.
///
/// State about a server is keyed by its instance, so that none of it carries over to the next instance.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServerInstance {
    /// The server.
    pub id: ServerId,
    /// When the process started; `None` if the server does not report it.
    pub born: Option<StartTime>,
}

impl From<&str> for ServerInstance {
    fn from(id: &str) -> Self {
        Self { id: SmolStr::new(id), born: None }
    }
}

impl From<&SmolStr> for ServerInstance {
    fn from(id: &SmolStr) -> Self {
        Self { id: id.clone(), born: None }
    }
}

impl From<&Self> for ServerInstance {
    fn from(instance: &Self) -> Self {
        instance.clone()
    }
}

/// Writes only the server's id, as log lines name it.
impl fmt::Display for ServerInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)
    }
}
