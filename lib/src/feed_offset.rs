//! Offsets in feeds of the platform's store that can be compared after it was restored from an older copy.
//!
//! A restored store gives out the offsets of its lost records again. So an offset contains the era in which it was given
//! out, in its high bits: every offset of a later era is greater than all of earlier ones, and offsets of one era are
//! consecutive.

use crate::ids::FeedOffset;
use crate::ids::Offset;
use crate::ids::StoreEra;

/// Low bits that hold the offset within its era: 3 years at 10,000 records a second.
const OFFSET_BITS: u32 = 40;
/// Latest era that an offset can contain. Fencing numbers are offsets, and readers of JSON take numbers up to 2^53.
pub const MAX_ERA: StoreEra = (1 << (53 - OFFSET_BITS)) - 1;

/// Combines an era and an offset within it.
pub fn feed_offset(era: StoreEra, offset: Offset) -> FeedOffset {
    era << OFFSET_BITS | offset & ((1 << OFFSET_BITS) - 1)
}

/// Returns the era in which an offset was given out.
pub fn era_of(offset: FeedOffset) -> StoreEra {
    offset >> OFFSET_BITS
}

/// Returns an offset within its era, as the store numbers its records.
pub fn offset_in_era(offset: FeedOffset) -> Offset {
    offset & ((1 << OFFSET_BITS) - 1)
}

/// Returns an offset as log lines show it: `ERA:OFFSET`.
pub fn show(offset: FeedOffset) -> String {
    format!("{}:{}", era_of(offset), offset_in_era(offset))
}
