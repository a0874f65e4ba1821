//! The verdict on a request: whether it ran on a backend server.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request may have run on a backend server.
///
/// A request that must not run twice may be retried only after [`Verdict::DidNotRun`]. Only this
/// verdict may be reported to a caller as "did not run".
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// No byte of the request reached a backend server, or the server refused it before running.
    DidNotRun,
    /// A byte may have been written, and no complete response was received.
    MayHaveRun,
    /// The backend server sent its complete response.
    Ran,
}

impl Verdict {
    /// Combines the verdicts of two attempts of one request: `Ran` takes precedence over
    /// `MayHaveRun`, and that over `DidNotRun`.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::DidNotRun, Self::DidNotRun) => Self::DidNotRun,
        }
    }

    /// Returns the value that callers receive in the `X-Request-Verdict` header.
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
