//! The boot-time clock, for times on which other hosts rely, such as the end of a lease.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use crate::host_clock::HostClock;

/// Time since this host booted, including time in suspension.
pub type Moment = Duration;

/// Reads the boot-time clock.
///
/// The monotonic clock of the standard library stops while a host is suspended: a lease timed with
/// it would still look valid after a suspension in which it expired. The wall clock can jump.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl HostClock for BootClock {
    fn now(&self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
    }
}
