//! How the fake log, the messages and the weight store behave.

use std::time::Duration;

/// How messages go wrong until told otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Delay of everything.
    pub delay: Duration,
    /// Next appends that take effect and whose answer is lost.
    pub lose_appends: u32,
    /// Next appends that the log takes twice, the second time after this delay.
    pub twice: Option<Duration>,
    /// Next orders whose answer is lost.
    pub lose_orders: u32,
    /// The next order arrives this late, after its sender has given up on the connection.
    pub late_order: Option<Duration>,
    /// The next order is sent this late: its sender was paused with it in hand.
    pub held_order: Option<Duration>,
    /// Lag of load reports.
    pub lag: Duration,
}

/// The weight store: loads that may begin in a second, and those under way.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Time between the starts of two loads.
    pub spacing: Duration,
    pub(crate) next: Duration,
    pub(crate) ends: Vec<Duration>,
}
