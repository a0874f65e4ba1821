//! The clock for everything that another host relies on.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use crate::host_clock::HostClock;

/// Time since this host started, time in suspension included.
pub type Moment = Duration;

/// Reads the boot-time clock.
///
/// The steady clock of the standard library stands still while a host is suspended: a lease counted
/// on it would seem valid after a freeze that outlasted it. The time of day jumps.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl HostClock for BootClock {
    fn now(&self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
    }
}
