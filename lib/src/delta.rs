//! Compresses bytes against a base that the receiver has too, so that the result grows with what differs.

use std::io;
use std::io::Read as _;
use std::io::Write as _;

use zstd::stream::read::Decoder;
use zstd::stream::write::Encoder;

/// Fast enough for a host with a tenth of a core.
const LEVEL: i32 = 1;
/// Smallest and largest window that the format allows by default, as powers of two.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 10..=27;

/// Compresses `bytes` against `base`, which may be empty.
///
/// # Errors
///
/// The compressor fails, for instance for want of memory.
pub fn compress(bytes: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    // The window must reach back to the start of the base.
    let reach = (bytes.len() + base.len()).max(1);
    encoder.window_log((reach.ilog2() + 1).clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end()))?;
    encoder.long_distance_matching(true)?;
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Restores `length` bytes that [`compress`] compressed against the same `base`.
///
/// # Errors
///
/// The compressed bytes are malformed, or do not result in `length` bytes.
pub fn decompress(compressed: &[u8], base: &[u8], length: usize) -> io::Result<Vec<u8>> {
    let decoder = Decoder::with_ref_prefix(compressed, base)?;
    let mut bytes = Vec::new();
    // One byte more shows that the result is too long, whatever it claims to be.
    decoder.take(length as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() == length { Ok(bytes) } else { Err(io::ErrorKind::InvalidData.into()) }
}
