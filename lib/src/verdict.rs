//! What is known about whether a request ran.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Says whether a request may have run on a backend server.
///
/// Only [`Verdict::DidNotRun`] allows another attempt of a request that may not be repeated, and
/// only it may be told to a caller as "did not run".
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// No byte of the request reached a backend server, or the server refused it before running.
    DidNotRun,
    /// A byte may have been written and no complete answer came back.
    MayHaveRun,
    /// The backend server gave its complete answer.
    Ran,
}

impl Verdict {
    /// Joins the verdicts of two attempts of one request: the more doubtful one stands.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::DidNotRun, Self::DidNotRun) => Self::DidNotRun,
        }
    }

    /// Returns the wire word that callers see in the `X-Request-Verdict` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DidNotRun => "did-not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
