//! A simulated daemon: its control state machine and faults, in virtual time.

use std::time::Duration;

use comfreymux_lib::control::Controller;
use comfreymux_lib::demand::WaitingRequests;
use comfreymux_lib::ids::CentreId;
use comfreymux_lib::ids::Incarnation;

/// A simulated daemon.
#[derive(Debug)]
pub struct FakeDaemon {
    /// Its data centre.
    pub centre: CentreId,
    /// Number of starts so far.
    pub incarnation: Incarnation,
    /// Its state machine; `None` after it was killed.
    pub control: Option<Controller>,
    /// Time until which it is paused.
    pub paused: Duration,
    /// Whether the log and the host list are unreachable from it.
    pub cut: bool,
    /// Rate of its clock relative to true time.
    pub rate: f64,
    /// Requests queued at it, per model.
    pub waiting: Vec<WaitingRequests>,
    pub(crate) started: Duration,
    pub(crate) hosts_version: u64,
}
