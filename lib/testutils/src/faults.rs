//! Countdown of injected faults, for the stand-ins and fakes.

/// Decrements a count of remaining faults; returns whether one remained.
pub fn take(count: &mut u32) -> bool {
    let remained = *count > 0;
    *count = count.saturating_sub(1);
    remained
}
