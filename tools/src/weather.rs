//! Injected message faults and the weight store of the simulated [`World`](crate::world::World).

use std::time::Duration;

/// Message faults of the simulation. Counters and options are used up; delays apply until changed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Delay added to every message.
    pub delay: Duration,
    /// Number of next appends that take effect but whose response is lost.
    pub lose_appends: u32,
    /// The next append takes effect twice, the second time after this delay.
    pub twice: Option<Duration>,
    /// Number of next orders whose response is lost.
    pub lose_orders: u32,
    /// The next order arrives after this delay, when its sender has already timed out.
    pub late_order: Option<Duration>,
    /// The next order is sent after this delay, as if its sender had been paused just before it sent it.
    pub held_order: Option<Duration>,
    /// Delay of server reports.
    pub lag: Duration,
}

/// The weight store: limits how often loads start and tracks the loads in progress.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Time between the starts of two loads.
    pub spacing: Duration,
    pub(crate) next: Duration,
    pub(crate) ends: Vec<Duration>,
}
