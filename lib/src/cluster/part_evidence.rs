//! What is known for and against a prompt part, for the log.

use std::fmt;

use crate::ids::PartId;

/// What is known for and against a prompt part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartEvidence {
    /// The part.
    pub id: PartId,
    /// Number of crashes that it is suspected of.
    pub crashes: usize,
    /// Whether this daemon has seen a request with it being served in the last hour.
    pub is_served: bool,
    /// Whether it is held.
    pub is_held: bool,
}

/// Writes the id in hexadecimal and the number of crashes, then `+` if the part was served and `!` if it is held.
impl fmt::Display for PartEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, crashes, is_served, is_held } = self;
        let served = if *is_served { "+" } else { "" };
        let held = if *is_held { "!" } else { "" };
        write!(f, "{id:x}:{crashes}{served}{held}")
    }
}
