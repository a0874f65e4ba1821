//! Counted faults of the stand-ins and fakes.

/// Takes one of a count of faults; returns whether there was one.
pub fn take(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}
