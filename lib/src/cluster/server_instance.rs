//! One start of a backend server.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::ServerId;
use crate::ids::StartTime;

/// One start of a backend server, which may start again under its id.
///
/// What is believed of a server is kept under one of its starts: another start has nothing of it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServerInstance {
    /// The server.
    pub id: ServerId,
    /// When it started; none where it does not say.
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
    fn from(start: &Self) -> Self {
        start.clone()
    }
}

/// Shows the server only, as lines of the log name it.
impl fmt::Display for ServerInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)
    }
}
