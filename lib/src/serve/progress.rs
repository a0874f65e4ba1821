//! Limits on transfers by their progress. Their length follows their size and the rate of the link, so that a limit on
//! the whole time would fail large ones over and over.

use std::io;
use std::time::Duration;

use tokio::time::timeout;

/// Time within which each [`PROGRESS_BYTES`] of a transfer must be read or written.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that show progress: a tenth of what each of a few transfers gets within the limit on half a link of 10 Mbit/s.
pub const PROGRESS_BYTES: usize = 16 * 1024;

/// Runs one step of a transfer.
///
/// # Errors
///
/// Fails if the step does, or with [`io::ErrorKind::TimedOut`] if it takes longer than [`PROGRESS_TIMEOUT`].
pub async fn with_progress<T>(step: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let expired = |_elapsed| io::Error::new(io::ErrorKind::TimedOut, "no progress");
    timeout(PROGRESS_TIMEOUT, step).await.map_err(expired)?
}
